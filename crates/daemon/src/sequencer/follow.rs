//! Letting a reader follow a recorded call to its end, from wherever it is.

use crate::sequencer::message::{CallMessage, Position};
use crate::shard::{LiveCall, ShardHost};
use fieldhook_model::api::StreamEvent;
use fieldhook_program::CallState;
use ntex::time::{Millis, timeout};
use std::rc::Rc;
use tokio::sync::mpsc;

/// Silence after which the reader is told that this owner lives.
const KEEP_ALIVE_INTERVAL: Millis = Millis(400);

/// The reader is gone.
struct ReaderGone;

/// Sends a recorded call's events until its closing one.
pub async fn follow(host: &Rc<ShardHost>, call: &CallMessage, out: &mpsc::Sender<StreamEvent>) {
    let mut position = call.position;
    record_delivered(host, call);
    loop {
        let Some(live) = host.live_call(call.program, call.call_number) else {
            send_record(host, call, position, out).await;
            return;
        };
        let changed = live.changed();
        if send_new_text(&live, &mut position, out).await.is_err() {
            return;
        }
        if let Some(end) = live.end() {
            let _ = out.send(end).await;
            return;
        }
        if timeout(KEEP_ALIVE_INTERVAL, changed).await.is_err()
            && out.send(StreamEvent::KeepAlive).await.is_err()
        {
            return;
        }
    }
}

/// Passes on text that a former owner had delivered, for a new attempt to
/// continue; only text of the recorded lineage may be continued.
fn record_delivered(host: &ShardHost, call: &CallMessage) {
    let (Some(delivered), Some(live)) = (
        &call.delivered,
        host.live_call(call.program, call.call_number),
    ) else {
        return;
    };
    let state = host.state.borrow();
    let record = state
        .programs
        .get(&call.program)
        .and_then(|item| item.call(call.call_number));
    if record.is_some_and(|record| record.attempt.lineage == call.position.lineage) {
        live.record_delivered(delivered);
    }
}

async fn send_new_text(
    live: &LiveCall,
    position: &mut Position,
    out: &mpsc::Sender<StreamEvent>,
) -> Result<(), ReaderGone> {
    let lineage = live.lineage();
    if lineage == 0 {
        return Ok(());
    }
    move_to_lineage(position, lineage, out).await?;
    let new_text = live
        .text()
        .get(position.offset as usize..)
        .unwrap_or_default()
        .to_owned();
    send_text(position, new_text, out).await
}

async fn move_to_lineage(
    position: &mut Position,
    lineage: u32,
    out: &mpsc::Sender<StreamEvent>,
) -> Result<(), ReaderGone> {
    if position.lineage == lineage {
        return Ok(());
    }
    let had_text = position.offset > 0;
    *position = Position { lineage, offset: 0 };
    if had_text {
        out.send(StreamEvent::Reset).await.map_err(|_| ReaderGone)?;
    }
    Ok(())
}

async fn send_text(
    position: &mut Position,
    text: String,
    out: &mpsc::Sender<StreamEvent>,
) -> Result<(), ReaderGone> {
    if text.is_empty() {
        return Ok(());
    }
    let offset = position.offset;
    position.offset += text.len() as u64;
    let delta = StreamEvent::Delta {
        lineage: position.lineage,
        offset,
        text,
    };
    out.send(delta).await.map_err(|_| ReaderGone)
}

/// Answers from the record of a call that no longer runs.
async fn send_record(
    host: &Rc<ShardHost>,
    call: &CallMessage,
    mut position: Position,
    out: &mpsc::Sender<StreamEvent>,
) {
    let record = {
        let state = host.state.borrow();
        let program = state.programs.get(&call.program);
        program
            .and_then(|program| program.call(call.call_number))
            .cloned()
    };
    let is_owned = host.is_owned();
    let closing = match record {
        Some(record) if is_owned => match record.state {
            CallState::Answered(answer) => {
                let lineage = record.attempt.lineage;
                if move_to_lineage(&mut position, lineage, out).await.is_err() {
                    return;
                }
                let rest = answer
                    .content
                    .get(position.offset as usize..)
                    .unwrap_or_default();
                if send_text(&mut position, rest.to_owned(), out)
                    .await
                    .is_err()
                {
                    return;
                }
                StreamEvent::Done(answer)
            }
            CallState::Failed(error) => StreamEvent::Failed(error),
            CallState::Running => StreamEvent::OwnerLost,
        },
        _ => StreamEvent::OwnerLost,
    };
    let _ = out.send(closing).await;
}
