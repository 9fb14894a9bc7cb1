//! Faults of a stand-in, set by `POST /control/faults`.

use fieldhook_http::{aborted, json, text};
use ntex::time::{Millis, sleep};
use ntex::util::Bytes;
use ntex::web::{self, HttpResponse, ServiceConfig};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// What goes wrong, until it is set anew.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FaultPlan {
    /// Every request fails at once, without effect.
    pub down: bool,
    /// Every request is refused for lack of room, without effect.
    pub busy: bool,
    /// The connection of every request is reset, without effect.
    pub reset: bool,
    /// Every request is left without an answer, without effect.
    pub silent: bool,
    /// Partitions of the log's topics that the fields above concern; all if none
    /// are named.
    pub partitions: Vec<u32>,
    /// Appends take effect so many milliseconds later and are never answered.
    pub late_ms: u64,
    /// The log drops the history of its topics, once.
    pub forget: bool,
    /// Every request waits this long first, in milliseconds.
    pub slow_ms: u64,
    /// So many answers are lost after the effect.
    pub lose_answers: u32,
    /// So many requests take effect and are then never answered.
    pub hang: u32,
    /// The whole process stops for this long, in milliseconds, once.
    pub freeze_ms: u64,
    /// So many cache events are left out.
    pub drop_events: u32,
}

/// How a request that has taken effect must be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Answer,
    Lose,
    Hang,
}

const HANG: Millis = Millis(600_000);
const FREEZE_PAUSE: Millis = Millis(5);

/// The plan, shared by the handlers of one stand-in.
#[derive(Clone, Default)]
pub struct Faults {
    plan: Rc<RefCell<FaultPlan>>,
}

impl Faults {
    /// Waits or fails as planned before a request takes effect.
    ///
    /// # Errors
    /// The answer to give instead.
    pub async fn before(&self) -> Result<(), HttpResponse> {
        let plan = self.plan.borrow().clone();
        Self::act(plan).await
    }

    /// The same for a call of one partition of the log.
    ///
    /// # Errors
    /// The answer to give instead.
    pub async fn before_partition(&self, number: u32) -> Result<(), HttpResponse> {
        let plan = self.plan.borrow().clone();
        if !plan.partitions.is_empty() && !plan.partitions.contains(&number) {
            return Ok(());
        }
        Self::act(plan).await
    }

    /// How much later an append takes effect, if it is to be late.
    pub fn lateness(&self) -> Option<Duration> {
        let late_ms = self.plan.borrow().late_ms;
        (late_ms > 0).then(|| Duration::from_millis(late_ms))
    }

    /// Whether the log drops its history now.
    pub fn forgets(&self) -> bool {
        std::mem::take(&mut self.plan.borrow_mut().forget)
    }

    /// Never answers.
    pub async fn hang() {
        sleep(HANG).await;
    }

    async fn act(plan: FaultPlan) -> Result<(), HttpResponse> {
        if plan.silent {
            Self::hang().await;
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

    /// Gives, loses or withholds the answer to a request that took effect.
    pub async fn after(&self, answer: HttpResponse) -> HttpResponse {
        match self.next_fate() {
            Fate::Answer => answer,
            Fate::Lose => aborted(),
            Fate::Hang => {
                Self::hang().await;
                answer
            }
        }
    }

    /// Whether the next cache event is left out.
    pub fn drops_event(&self) -> bool {
        let mut plan = self.plan.borrow_mut();
        let drops = plan.drop_events > 0;
        plan.drop_events = plan.drop_events.saturating_sub(1);
        drops
    }

    fn next_fate(&self) -> Fate {
        let mut plan = self.plan.borrow_mut();
        if plan.lose_answers > 0 {
            plan.lose_answers -= 1;
            return Fate::Lose;
        }
        if plan.hang > 0 {
            plan.hang -= 1;
            return Fate::Hang;
        }
        Fate::Answer
    }

    /// Adds the control route.
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

/// Stops the stand-in's only thread, after the control request is answered.
async fn freeze(span_ms: u64) {
    if span_ms > 0 {
        sleep(FREEZE_PAUSE).await;
        std::thread::sleep(Duration::from_millis(span_ms));
    }
}
