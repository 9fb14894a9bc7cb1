//! Continuous batching without I/O: each step prefills a limited number of prompt
//! tokens and generates one token for every running sequence that is prefilled.

use crate::engine::cache::PrefixCache;
use crate::engine::text::{answer_word, block_hashes, count_tokens, prompt_digest};
use fieldhook_model::api::{Message, Usage};
use fieldhook_model::platform::GenerateRequest;

/// Step-time model and limits of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSettings {
    /// Duration of an empty step, in microseconds.
    pub step_base_us: u64,
    /// Step time added by each generating sequence, in microseconds.
    pub decode_us: u64,
    /// Step time added by each prefilled token, in microseconds.
    pub prefill_us: u64,
    /// Maximum number of prompt tokens prefilled per step.
    pub prefill_tokens_per_step: u64,
    /// Maximum number of sequences in the batch.
    pub max_running: usize,
    /// Capacity of the prefix cache, in tokens.
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
    prompt_digest: u64,
    block_hashes: Vec<u64>,
    usage: Usage,
    /// Prompt tokens that are not yet prefilled.
    remaining_prefill: u64,
    /// Index of the next word of the answer.
    next_word: u64,
    /// Position in the order of arrival.
    arrival: u64,
}

/// Text that one step added to a stream, and the usage if the stream is complete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepReport {
    /// Name of the stream.
    pub stream: String,
    /// Added text.
    pub text: String,
    /// Usage if the stream is complete.
    pub finished: Option<Usage>,
}

/// The batch, the queue of waiting requests and the prefix cache.
#[derive(Debug)]
pub struct EngineCore {
    settings: EngineSettings,
    pub cache: PrefixCache,
    waiting: Vec<Sequence>,
    running: Vec<Sequence>,
    /// Number of requests submitted so far.
    arrivals: u64,
}

impl EngineCore {
    /// Creates an idle engine with an empty cache.
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
        let (prompt, words_so_far) = split_continuation(&request);
        let sequence = Sequence {
            prompt_digest: prompt_digest(prompt),
            block_hashes: block_hashes(&request.messages),
            usage: Usage {
                prompt_tokens: request.messages.iter().map(count_tokens).sum(),
                ..Usage::default()
            },
            remaining_prefill: 0,
            next_word: words_so_far,
            arrival: self.arrivals,
            request,
        };
        self.waiting.push(sequence);
    }

    /// Cancels a stream.
    pub fn cancel(&mut self, stream: &str) {
        self.waiting
            .retain(|sequence| sequence.request.stream != stream);
        self.running
            .retain(|sequence| sequence.request.stream != stream);
    }

    /// Cancels all streams of a program and drops the cache blocks that no other program holds.
    pub fn release(&mut self, program: &str) {
        self.waiting
            .retain(|sequence| sequence.request.program != program);
        self.running
            .retain(|sequence| sequence.request.program != program);
        self.cache.release(program);
    }

    /// Number of sequences in the batch.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Number of sequences in the queue.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Runs one step. Returns its duration in microseconds and the generated text.
    pub fn step(&mut self) -> (u64, Vec<StepReport>) {
        self.fill_batch();
        let prefilled = self.prefill();
        let (decoded, reports) = self.decode();
        let duration_us = self.settings.step_base_us
            + prefilled * self.settings.prefill_us
            + decoded * self.settings.decode_us;
        (duration_us, reports)
    }

    /// Moves waiting sequences into the batch, by priority and then by order of arrival.
    fn fill_batch(&mut self) {
        while self.running.len() < self.settings.max_running && !self.waiting.is_empty() {
            let admission_order = |sequence: &&mut Sequence| {
                (
                    std::cmp::Reverse(sequence.request.priority),
                    sequence.arrival,
                )
            };
            let Some(next_arrival) = self
                .waiting
                .iter_mut()
                .min_by_key(admission_order)
                .map(|item| item.arrival)
            else {
                return;
            };
            let index = self
                .waiting
                .iter()
                .position(|item| item.arrival == next_arrival);
            let Some(index) = index else { return };
            let mut sequence = self.waiting.swap_remove(index);
            let cached = self.cache.cached_prefix(&sequence.block_hashes);
            sequence.usage.cached_tokens = cached.min(sequence.usage.prompt_tokens);
            sequence.remaining_prefill =
                sequence.usage.prompt_tokens - sequence.usage.cached_tokens;
            self.cache
                .insert(&sequence.request.program, &sequence.block_hashes);
            self.running.push(sequence);
        }
    }

    /// Prefills prompts up to the limit of the step. Returns the number of tokens.
    fn prefill(&mut self) -> u64 {
        let mut remaining = self.settings.prefill_tokens_per_step;
        for sequence in &mut self.running {
            let tokens = sequence.remaining_prefill.min(remaining);
            sequence.remaining_prefill -= tokens;
            remaining -= tokens;
        }
        self.settings.prefill_tokens_per_step - remaining
    }

    /// Generates one token for each prefilled sequence. Returns their number and the text.
    fn decode(&mut self) -> (u64, Vec<StepReport>) {
        let mut reports = Vec::new();
        for sequence in self
            .running
            .iter_mut()
            .filter(|sequence| sequence.remaining_prefill == 0)
        {
            let text = answer_word(sequence.prompt_digest, sequence.next_word);
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

/// Splits off the last message if the request continues it. Returns the messages of the prompt and
/// the number of words that the answer already has.
fn split_continuation(request: &GenerateRequest) -> (&[Message], u64) {
    match request.messages.split_last() {
        Some((last, before)) if request.continues => {
            (before, last.content.split_whitespace().count() as u64)
        }
        _ => (&request.messages, 0),
    }
}
