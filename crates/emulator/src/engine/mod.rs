//! Emulator of a model engine: continuous batching over a prefix cache, with a
//! model of step times. `core` and `cache` do no I/O; `service` is the HTTP
//! interface.

mod cache;
mod core;
mod service;
mod state;
mod text;

pub use cache::PrefixCache;
pub use core::{EngineCore, EngineSettings, StepReport};
pub use service::{CacheExport, Command, Options, run};
pub use state::CacheEvent;
pub use text::{BLOCK_TOKENS, answer_word, count_tokens, expected_answer, prompt_digest};
