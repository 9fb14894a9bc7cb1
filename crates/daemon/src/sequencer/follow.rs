//! Streams the events of a recorded call to a reader, starting at the reader's position.

use crate::sequencer::message::{CallMessage, Position};
use crate::shard::{LiveCall, ShardHost};
use fieldhook_model::api::StreamEvent;
use fieldhook_program::CallState;
use ntex::time::{Millis, timeout};
use std::rc::Rc;
use tokio::sync::mpsc;

/// Interval of keep-alive events while there is no other event.
const KEEP_ALIVE_INTERVAL: Millis = Millis(400);

/// Error: the reader closed its channel.
struct ReaderGone;

/// Sends the events of a recorded call up to and including its closing event.
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

/// Records text that was delivered under a previous owner, so that a new attempt can continue it.
/// Text of another lineage than the recorded one is ignored, because it must not be continued.
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

/// Sends the output that the reader does not have yet.
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

/// Resets the reader if it has text of another lineage.
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

/// Sends the rest of the output and the closing event from the record of a call that no longer runs
/// here.
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
