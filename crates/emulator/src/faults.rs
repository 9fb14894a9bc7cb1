//! Fault injection for an emulator, set by `POST /control/faults`.

use fieldhook_http::{aborted, json, text};
use ntex::time::{Millis, sleep};
use ntex::util::Bytes;
use ntex::web::{self, HttpResponse, ServiceConfig};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Faults to inject. A new plan replaces the previous one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultPlan {
    /// Every request fails immediately and has no effect.
    pub down: bool,
    /// Every request is rejected as by an overloaded service and has no effect.
    pub busy: bool,
    /// The connection of every request is reset before the request takes effect.
    pub reset: bool,
    /// Every request gets no response and has no effect.
    pub silent: bool,
    /// Partitions of the log's topics that `down`, `busy`, `reset`, `silent` and `slow_ms` apply
    /// to; all if empty.
    pub partitions: Vec<u32>,
    /// Appends take effect after this delay, in milliseconds, and get no response.
    pub late_ms: u64,
    /// The log drops the history of its topics once.
    pub forget: bool,
    /// Delay before every request takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Number of requests that take effect and whose connection is then reset.
    pub lose_answers: u32,
    /// Number of requests that take effect and then get no response.
    pub hang: u32,
    /// Blocks the whole process once, for this long, in milliseconds.
    pub freeze_ms: u64,
    /// Number of streams whose text does not end.
    pub endless: u32,
    /// Number of cache events to drop.
    pub drop_events: u32,
}

/// What happens to the response of a request that has taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ResponseAction {
    Send,
    Abort,
    Withhold,
}

/// Delay of a response that is to be withheld; it stands for no response at all.
const WITHHOLD_TIME: Millis = Millis(600_000);
/// Time to send the response of the control request before the process blocks.
const FREEZE_DELAY: Millis = Millis(5);

/// The fault plan, shared by the request handlers of one emulator.
#[derive(Clone, Default)]
pub struct Faults {
    plan: Rc<RefCell<FaultPlan>>,
}

impl Faults {
    /// Applies the faults that act before a request takes effect.
    ///
    /// # Errors
    /// The request must fail with the returned response.
    pub async fn before_request(&self) -> Result<(), HttpResponse> {
        let plan = self.plan.borrow().clone();
        Self::apply(plan).await
    }

    /// Applies the faults that act before a call to one partition of the log takes effect.
    ///
    /// # Errors
    /// The call must fail with the returned response.
    pub async fn before_partition_call(&self, number: u32) -> Result<(), HttpResponse> {
        let plan = self.plan.borrow().clone();
        if !plan.partitions.is_empty() && !plan.partitions.contains(&number) {
            return Ok(());
        }
        Self::apply(plan).await
    }

    /// Delay after which appends take effect without a response, if one is set.
    pub fn append_delay(&self) -> Option<Duration> {
        let late_ms = self.plan.borrow().late_ms;
        (late_ms > 0).then(|| Duration::from_millis(late_ms))
    }

    /// Returns whether the log must drop its history, and clears that fault.
    pub fn take_history_drop(&self) -> bool {
        std::mem::take(&mut self.plan.borrow_mut().forget)
    }

    /// Waits so long that the response counts as withheld.
    pub async fn withhold() {
        sleep(WITHHOLD_TIME).await;
    }

    async fn apply(plan: FaultPlan) -> Result<(), HttpResponse> {
        if plan.silent {
            Self::withhold().await;
        }
        if plan.reset {
            return Err(aborted());
        }
        if plan.busy {
            return Err(text(429, "busy by plan"));
        }
        if plan.slow_ms > 0 {
            sleep(Millis(plan.slow_ms.min(u64::from(u32::MAX)) as u32)).await;
        }
        if plan.down {
            return Err(text(503, "down by plan"));
        }
        Ok(())
    }

    /// Sends, aborts or withholds the response of a request that has taken effect.
    pub async fn finish_request(&self, response: HttpResponse) -> HttpResponse {
        match self.next_action() {
            ResponseAction::Send => response,
            ResponseAction::Abort => aborted(),
            ResponseAction::Withhold => {
                Self::withhold().await;
                response
            }
        }
    }

    /// Returns whether the text of the next stream must not end, and counts it.
    pub fn take_endless(&self) -> bool {
        let mut plan = self.plan.borrow_mut();
        let is_endless = plan.endless > 0;
        plan.endless = plan.endless.saturating_sub(1);
        is_endless
    }

    /// Returns whether the next cache event must be dropped, and counts it.
    pub fn take_event_drop(&self) -> bool {
        let mut plan = self.plan.borrow_mut();
        let must_drop = plan.drop_events > 0;
        plan.drop_events = plan.drop_events.saturating_sub(1);
        must_drop
    }

    fn next_action(&self) -> ResponseAction {
        let mut plan = self.plan.borrow_mut();
        if plan.lose_answers > 0 {
            plan.lose_answers -= 1;
            return ResponseAction::Abort;
        }
        if plan.hang > 0 {
            plan.hang -= 1;
            return ResponseAction::Withhold;
        }
        ResponseAction::Send
    }

    /// Adds the control route to a service.
    pub fn configure(&self, config: &mut ServiceConfig) {
        config
            .state(self.clone())
            .route("/control/faults", web::post().to(set_faults));
    }
}

async fn set_faults(faults: web::types::State<Faults>, body: Bytes) -> HttpResponse {
    match serde_json::from_slice::<FaultPlan>(&body) {
        Ok(plan) => {
            *faults.plan.borrow_mut() = plan.clone();
            ntex::rt::spawn(freeze(plan.freeze_ms));
            json(200, &plan)
        }
        Err(error) => text(400, error.to_string()),
    }
}

/// Blocks the only worker thread after the control request got its response.
async fn freeze(duration_ms: u64) {
    if duration_ms > 0 {
        sleep(FREEZE_DELAY).await;
        std::thread::sleep(Duration::from_millis(duration_ms));
    }
}
