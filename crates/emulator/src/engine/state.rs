//! State of an engine besides its batch: streams, cache events, loaded models and the load report.

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
/// Number of cache events that are kept for readers.
const EVENT_RETENTION: usize = 10_000;

/// Reports that the number of cached tokens of a program may have changed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number; a missing number means that an event was lost.
    pub sequence: u64,
    /// Identifier of the program.
    pub program: String,
    /// Number of tokens now cached for the program; 0 after a release.
    pub tokens: u64,
}

/// Generated text of a stream and whether it is complete or cancelled.
#[derive(Debug, Default)]
pub(super) struct StreamState {
    pub(super) text: String,
    pub(super) finished: Option<Usage>,
    pub(super) finished_at: Option<Instant>,
    pub(super) cancelled: bool,
}

/// An engine and the state that its HTTP interface serves.
pub(super) struct Engine {
    pub(super) core: EngineCore,
    pub(super) settings: EngineSettings,
    /// Start time in milliseconds; distinguishes restarts of the engine.
    pub(super) incarnation: u64,
    pub(super) models: Vec<String>,
    pub(super) role: String,
    /// Highest epoch of an accepted command.
    pub(super) fence: u64,
    pub(super) leaving: bool,
    pub(super) streams: BTreeMap<String, Rc<RefCell<StreamState>>>,
    pub(super) events: VecDeque<(Instant, CacheEvent)>,
    pub(super) event_sequence: u64,
    /// Number of generate requests accepted so far.
    pub(super) generate_count: u64,
    /// Latest load report.
    pub(super) load: EngineLoad,
    pub(super) load_measured_at: Instant,
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
            generate_count: 0,
            load: EngineLoad::default(),
            load_measured_at: Instant::now(),
        }
    }

    /// Starts a stream, or returns the existing one of the same name.
    pub(super) fn submit(&mut self, request: GenerateRequest) -> Rc<RefCell<StreamState>> {
        if let Some(stream) = self.streams.get(&request.stream) {
            return stream.clone();
        }
        let stream = Rc::new(RefCell::new(StreamState::default()));
        self.streams.insert(request.stream.clone(), stream.clone());
        self.core.submit(request);
        self.generate_count += 1;
        stream
    }

    /// Runs one step and returns its duration in microseconds.
    pub(super) fn step(&mut self) -> u64 {
        let (duration_us, reports) = self.core.step();
        for report in reports {
            self.append_to_stream(report);
        }
        duration_us
    }

    fn append_to_stream(&mut self, report: StepReport) {
        let Some(stream) = self.streams.get(&report.stream) else {
            return;
        };
        let mut stream = stream.borrow_mut();
        stream.text.push_str(&report.text);
        stream.finished = report.finished;
        stream.finished_at = report.finished.map(|_| Instant::now());
    }

    /// Records the cached tokens of a program as an event, unless a fault drops it.
    pub(super) fn record_cache_event(&mut self, program: &str, faults: &Faults) {
        self.event_sequence += 1;
        if faults.take_event_drop() {
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

    /// Drops the streams that finished too long ago to be resumed.
    pub(super) fn drop_old_streams(&mut self) {
        self.streams.retain(|_, stream| {
            let finished_at = stream.borrow().finished_at;
            finished_at.is_none_or(|at| at.elapsed() < STREAM_RETENTION)
        });
    }

    /// Replaces the load report.
    pub(super) fn update_load(&mut self, step_us: u64) {
        self.load_measured_at = Instant::now();
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
