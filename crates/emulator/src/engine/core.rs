//! Continuous batching without I/O: each step prefills some prompt tokens and
//! generates one token for every running sequence.

use crate::engine::cache::PrefixCache;
use crate::engine::text::{answer_word, block_hashes, count_tokens, prompt_digest};
use fieldhook_model::api::{Message, Usage};
use fieldhook_model::platform::GenerateRequest;

/// Cost model and limits of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSettings {
    /// Time of an empty step, in microseconds.
    pub step_base_us: u64,
    /// Added by each generating sequence, in microseconds.
    pub decode_us: u64,
    /// Added by each prefilled token, in microseconds.
    pub prefill_us: u64,
    /// Most tokens that one step prefills.
    pub prefill_tokens_per_step: u64,
    /// Most sequences in the batch.
    pub max_running: usize,
    /// Size of the prefix cache in tokens.
    pub cache_tokens: u64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            step_base_us: 4_000,
            decode_us: 60,
            prefill_us: 10,
            prefill_tokens_per_step: 1_024,
            max_running: 16,
            cache_tokens: 200_000,
        }
    }
}

#[derive(Debug)]
struct Sequence {
    request: GenerateRequest,
    digest: u64,
    hashes: Vec<u64>,
    usage: Usage,
    to_prefill: u64,
    next_word: u64,
    arrival: u64,
}

/// Words that one step added to a stream, and its end if it ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepReport {
    /// Name of the stream.
    pub stream: String,
    /// New text.
    pub text: String,
    /// Usage, once the stream is complete.
    pub finished: Option<Usage>,
}

/// The batch, the queue and the cache.
#[derive(Debug)]
pub struct EngineCore {
    settings: EngineSettings,
    /// The prefix cache.
    pub cache: PrefixCache,
    waiting: Vec<Sequence>,
    running: Vec<Sequence>,
    arrivals: u64,
}

impl EngineCore {
    /// An idle engine with an empty cache.
    pub fn new(settings: EngineSettings) -> Self {
        Self {
            settings,
            cache: PrefixCache::new(settings.cache_tokens),
            waiting: Vec::new(),
            running: Vec::new(),
            arrivals: 0,
        }
    }

    /// Queues a request.
    pub fn submit(&mut self, request: GenerateRequest) {
        self.arrivals += 1;
        let (question, words_so_far) = split_continuation(&request);
        let sequence = Sequence {
            digest: prompt_digest(question),
            hashes: block_hashes(&request.messages),
            usage: Usage {
                prompt_tokens: request.messages.iter().map(count_tokens).sum(),
                ..Usage::default()
            },
            to_prefill: 0,
            next_word: words_so_far,
            arrival: self.arrivals,
            request,
        };
        self.waiting.push(sequence);
    }

    /// Drops a stream.
    pub fn cancel(&mut self, stream: &str) {
        self.waiting
            .retain(|sequence| sequence.request.stream != stream);
        self.running
            .retain(|sequence| sequence.request.stream != stream);
    }

    /// Drops all streams of a program and what its cache alone held.
    pub fn release(&mut self, program: &str) {
        self.waiting
            .retain(|sequence| sequence.request.program != program);
        self.running
            .retain(|sequence| sequence.request.program != program);
        self.cache.release(program);
    }

    /// Sequences in the batch.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Sequences in the queue.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Runs one step; returns its length in microseconds and what it produced.
    pub fn step(&mut self) -> (u64, Vec<StepReport>) {
        self.admit();
        let prefilled = self.prefill();
        let (decoded, reports) = self.decode();
        let span_us = self.settings.step_base_us
            + prefilled * self.settings.prefill_us
            + decoded * self.settings.decode_us;
        (span_us, reports)
    }

    fn admit(&mut self) {
        while self.running.len() < self.settings.max_running && !self.waiting.is_empty() {
            let first = |sequence: &&mut Sequence| {
                (
                    std::cmp::Reverse(sequence.request.priority),
                    sequence.arrival,
                )
            };
            let Some(best) = self
                .waiting
                .iter_mut()
                .min_by_key(first)
                .map(|item| item.arrival)
            else {
                return;
            };
            let place = self.waiting.iter().position(|item| item.arrival == best);
            let Some(place) = place else { return };
            let mut sequence = self.waiting.swap_remove(place);
            let cached = self.cache.cached_prefix(&sequence.hashes);
            sequence.usage.cached_tokens = cached.min(sequence.usage.prompt_tokens);
            sequence.to_prefill = sequence.usage.prompt_tokens - sequence.usage.cached_tokens;
            self.cache
                .insert(&sequence.request.program, &sequence.hashes);
            self.running.push(sequence);
        }
    }

    fn prefill(&mut self) -> u64 {
        let mut room = self.settings.prefill_tokens_per_step;
        for sequence in &mut self.running {
            let part = sequence.to_prefill.min(room);
            sequence.to_prefill -= part;
            room -= part;
        }
        self.settings.prefill_tokens_per_step - room
    }

    fn decode(&mut self) -> (u64, Vec<StepReport>) {
        let mut reports = Vec::new();
        for sequence in self
            .running
            .iter_mut()
            .filter(|sequence| sequence.to_prefill == 0)
        {
            let text = answer_word(sequence.digest, sequence.next_word);
            sequence.next_word += 1;
            sequence.usage.completion_tokens += 1;
            let done = sequence.usage.completion_tokens >= u64::from(sequence.request.max_tokens);
            reports.push(StepReport {
                stream: sequence.request.stream.clone(),
                text,
                finished: done.then_some(sequence.usage),
            });
        }
        let finished = |sequence: &Sequence| {
            sequence.usage.completion_tokens >= u64::from(sequence.request.max_tokens)
        };
        self.running.retain(|sequence| !finished(sequence));
        (reports.len() as u64, reports)
    }
}

/// The messages before a continued answer, and the words that answer has.
fn split_continuation(request: &GenerateRequest) -> (&[Message], u64) {
    match request.messages.split_last() {
        Some((last, before)) if request.continues => {
            (before, last.content.split_whitespace().count() as u64)
        }
        _ => (&request.messages, 0),
    }
}
