//! What an engine holds besides its batch: streams, cache events, models, its load report.

use crate::engine::core::{EngineCore, EngineSettings, StepReport};
use crate::faults::Faults;
use fieldhook_model::api::Usage;
use fieldhook_model::platform::{EngineLoad, GenerateRequest};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long a finished stream can still be resumed.
const STREAM_RETENTION: Duration = Duration::from_secs(60);
/// Cache events that are kept for readers.
const EVENT_RETENTION: usize = 10_000;

/// A cache event: blocks of a program came or went.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Place in the sequence; a missing number is a gap.
    pub sequence: u64,
    /// The program.
    pub program: String,
    /// Tokens now held; 0 after a release.
    pub tokens: u64,
}

#[derive(Debug, Default)]
pub(super) struct StreamState {
    pub(super) text: String,
    pub(super) finished: Option<Usage>,
    pub(super) finished_at: Option<Instant>,
    pub(super) cancelled: bool,
}

/// The engine behind its HTTP shell.
pub(super) struct Engine {
    pub(super) core: EngineCore,
    pub(super) settings: EngineSettings,
    pub(super) incarnation: u64,
    pub(super) models: Vec<String>,
    pub(super) role: String,
    pub(super) fence: u64,
    pub(super) leaving: bool,
    pub(super) streams: BTreeMap<String, Rc<RefCell<StreamState>>>,
    pub(super) events: VecDeque<(Instant, CacheEvent)>,
    pub(super) event_sequence: u64,
    pub(super) generated: u64,
    pub(super) load: EngineLoad,
    pub(super) load_at: Instant,
}

impl Engine {
    pub(super) fn new(settings: EngineSettings, models: Vec<String>) -> Self {
        let started = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            core: EngineCore::new(settings),
            settings,
            incarnation: started.as_millis() as u64,
            models,
            role: "mixed".to_owned(),
            fence: 0,
            leaving: false,
            streams: BTreeMap::new(),
            events: VecDeque::new(),
            event_sequence: 0,
            generated: 0,
            load: EngineLoad::default(),
            load_at: Instant::now(),
        }
    }

    pub(super) fn submit(&mut self, request: GenerateRequest) -> Rc<RefCell<StreamState>> {
        if let Some(stream) = self.streams.get(&request.stream) {
            return stream.clone();
        }
        let stream = Rc::new(RefCell::new(StreamState::default()));
        self.streams.insert(request.stream.clone(), stream.clone());
        self.core.submit(request);
        self.generated += 1;
        stream
    }

    pub(super) fn step(&mut self) -> u64 {
        let (span_us, reports) = self.core.step();
        for report in reports {
            self.deliver(report);
        }
        span_us
    }

    fn deliver(&mut self, report: StepReport) {
        let Some(stream) = self.streams.get(&report.stream) else {
            return;
        };
        let mut stream = stream.borrow_mut();
        stream.text.push_str(&report.text);
        stream.finished = report.finished;
        stream.finished_at = report.finished.map(|_| Instant::now());
    }

    pub(super) fn note_event(&mut self, program: &str, faults: &Faults) {
        self.event_sequence += 1;
        if faults.drops_event() {
            return;
        }
        let tokens = self
            .core
            .cache
            .held_tokens()
            .get(program)
            .copied()
            .unwrap_or(0);
        let event = CacheEvent {
            sequence: self.event_sequence,
            program: program.to_owned(),
            tokens,
        };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > EVENT_RETENTION {
            self.events.pop_front();
        }
    }

    pub(super) fn drop_old_streams(&mut self) {
        self.streams.retain(|_, stream| {
            let finished_at = stream.borrow().finished_at;
            finished_at.is_none_or(|at| at.elapsed() < STREAM_RETENTION)
        });
    }

    pub(super) fn measure(&mut self, step_us: u64) {
        self.load_at = Instant::now();
        self.load = EngineLoad {
            incarnation: self.incarnation,
            running: self.core.running() as u32,
            waiting: self.core.waiting() as u32,
            max_running: self.settings.max_running as u32,
            step_us,
            prefill_tokens_per_step: self.settings.prefill_tokens_per_step as u32,
            cached_tokens: self.core.cache.used_tokens(),
            cache_capacity_tokens: self.settings.cache_tokens,
            leaving: self.leaving,
        };
    }
}
