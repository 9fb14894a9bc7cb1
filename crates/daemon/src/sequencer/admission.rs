//! Admission of calls. A call is either recorded exactly once in the order of its program, or
//! refused.

use crate::node::Node;
use crate::sequencer::attempt::start_call;
use crate::sequencer::follow::follow;
use crate::sequencer::message::CallMessage;
use crate::sequencer::placement::choose_target;
use crate::shard::{ProposeError, ShardHost};
use fieldhook_model::api::StreamEvent;
use fieldhook_model::error::{CallError, Executed};
use fieldhook_program::{Admission, BeginCall, Command, Reply};
use ntex::time::{Millis, timeout};
use std::rc::Rc;
use tokio::sync::mpsc;

/// How often a waiting call checks whether it can be admitted.
const WAIT_RECHECK_INTERVAL: Millis = Millis(200);

/// Why a call was not admitted.
enum AdmitError {
    /// The call is refused. The refusal may have to be recorded, see [`record_refusal`].
    Refused(CallError),
    /// This daemon does not own the shard.
    NotOwner,
    /// Ownership was lost while the call was being recorded, so it may be recorded or not.
    OwnerLost,
}

impl From<ProposeError> for AdmitError {
    fn from(error: ProposeError) -> Self {
        match error {
            ProposeError::NotOwner => Self::NotOwner,
            ProposeError::OwnershipLost => Self::OwnerLost,
        }
    }
}

/// Serves a call as owner of its shard. Sends the events of the call to `out`; the last one says
/// how it ended, or that this daemon is not the owner.
pub async fn serve_call(node: Rc<Node>, call: CallMessage, out: mpsc::Sender<StreamEvent>) {
    let Some(host) = node.shard(call.program.shard) else {
        let _ = out.send(StreamEvent::NotOwner).await;
        return;
    };
    let closing = match admit(&node, &host, &call, &out).await {
        Ok(()) => return follow(&host, &call, &out).await,
        Err(AdmitError::NotOwner) => StreamEvent::NotOwner,
        Err(AdmitError::OwnerLost) => StreamEvent::OwnerLost,
        // This daemon may have lost the shard without knowing it yet; its state may then be
        // outdated and must not lead to a refusal.
        Err(AdmitError::Refused(_)) if !host.confirm_ownership().await => StreamEvent::NotOwner,
        Err(AdmitError::Refused(error)) => match record_refusal(&host, &call, error).await {
            Ok(event) => event,
            Err(()) => return follow(&host, &call, &out).await,
        },
    };
    let _ = out.send(closing).await;
}

/// Waits until the previous call of the program has ended, then records the call and starts it.
async fn admit(
    node: &Rc<Node>,
    host: &Rc<ShardHost>,
    call: &CallMessage,
    out: &mpsc::Sender<StreamEvent>,
) -> Result<(), AdmitError> {
    loop {
        if !host.is_owned() {
            return Err(AdmitError::NotOwner);
        }
        let ended = host.call_ended.notified();
        let admission =
            host.state
                .borrow()
                .check_admission(call.program, call.call_number, &call.request_key);
        match admission.map_err(AdmitError::Refused)? {
            Admission::AlreadyRecorded => return Ok(()),
            Admission::PreviousRunning => {
                let _ = timeout(WAIT_RECHECK_INTERVAL, ended).await;
                // Shows the reader that the owner is alive; fails if the reader is gone.
                if out.send(StreamEvent::KeepAlive).await.is_err() {
                    return Err(AdmitError::NotOwner);
                }
            }
            Admission::Next if host.handing_over.get() => return Err(AdmitError::NotOwner),
            Admission::Next => return begin(node, host, call).await,
        }
    }
}

/// Chooses a target, records the call and starts its first attempt.
async fn begin(
    node: &Rc<Node>,
    host: &Rc<ShardHost>,
    call: &CallMessage,
) -> Result<(), AdmitError> {
    let target =
        choose_target(node, host, call.program, &call.spec, &[]).map_err(AdmitError::Refused)?;
    let command = Command::BeginCall(BeginCall {
        program: call.program,
        call_number: call.call_number,
        request_key: call.request_key.clone(),
        spec: call.spec.clone(),
        repeatable: call.repeatable,
        target: target.address,
    });
    match host.propose(command).await? {
        Reply::Dispatch(attempt) => {
            start_call(
                node,
                host,
                call.program,
                call.call_number,
                attempt,
                target.priority,
            );
            Ok(())
        }
        Reply::Refused(error) => Err(AdmitError::Refused(error)),
        Reply::AlreadyRecorded | Reply::Done | Reply::Stale => Ok(()),
    }
}

/// Makes sure that a refused call never runs, and returns the closing event. If an earlier copy of
/// the message may still arrive, the refusal of its request key has to be recorded. Returns `Err`
/// if the call turns out to be recorded already.
async fn record_refusal(
    host: &Rc<ShardHost>,
    call: &CallMessage,
    error: CallError,
) -> Result<StreamEvent, ()> {
    if !call.has_earlier_copy || error.executed != Executed::No {
        return Ok(StreamEvent::Failed(error));
    }
    let command = Command::RefuseKey {
        program: call.program,
        call_number: call.call_number,
        request_key: call.request_key.clone(),
    };
    match host.propose(command).await {
        Ok(Reply::AlreadyRecorded) => Err(()),
        Ok(_) => Ok(StreamEvent::Failed(error)),
        Err(ProposeError::NotOwner) => Ok(StreamEvent::NotOwner),
        Err(ProposeError::OwnershipLost) => Ok(StreamEvent::OwnerLost),
    }
}
