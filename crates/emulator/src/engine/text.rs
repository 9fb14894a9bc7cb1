//! Tokenization and text generation of the emulated engine.
//!
//! The generated text is a pure function of the prompt. A client that knows the
//! conversation can check every answer, so a lost, duplicated or mixed-up history
//! changes the text.

use fieldhook_model::api::Message;
use xxhash_rust::xxh3::xxh3_64;

/// Number of text bytes per token.
const TOKEN_BYTES: usize = 4;
/// Number of tokens that the chat template adds to each message.
const TEMPLATE_TOKENS: u64 = 4;
/// Number of tokens per cache block.
pub const BLOCK_TOKENS: usize = 16;

/// Number of tokens of a message, including the chat template.
pub fn count_tokens(message: &Message) -> u64 {
    message.content.len().div_ceil(TOKEN_BYTES) as u64 + TEMPLATE_TOKENS
}

/// Hashes of the complete blocks of a prompt. Each hash covers all blocks before
/// it, so equal hashes mean equal prefixes.
pub fn block_hashes(messages: &[Message]) -> Vec<u64> {
    let mut hashes = Vec::new();
    let mut prefix_hash = 0u64;
    let mut tokens_in_block = 0usize;
    for message in messages {
        let template = [message.role.as_str(); TEMPLATE_TOKENS as usize];
        let content = message.content.as_bytes().chunks(TOKEN_BYTES);
        for token in template.iter().map(|role| role.as_bytes()).chain(content) {
            prefix_hash = xxh3_64(token)
                ^ prefix_hash
                    .rotate_left(17)
                    .wrapping_mul(0x9E37_79B9_7F4A_7C15);
            tokens_in_block += 1;
            if tokens_in_block == BLOCK_TOKENS {
                hashes.push(prefix_hash);
                tokens_in_block = 0;
            }
        }
    }
    hashes
}

/// Digest of a conversation, which determines the answer to it.
pub fn prompt_digest(messages: &[Message]) -> u64 {
    let mut text = String::new();
    for message in messages {
        text.push_str(&message.role);
        text.push('\n');
        text.push_str(&message.content);
        text.push('\n');
    }
    xxh3_64(text.as_bytes())
}

/// Word number `index` of the answer to the prompt with this digest. One word is
/// one token.
pub fn answer_word(digest: u64, index: u64) -> String {
    if index == 0 {
        return format!("[{digest:016x}]");
    }
    let hash = xxh3_64(&[digest.to_le_bytes(), index.to_le_bytes()].concat());
    format!(" w{:03}", hash % 1000)
}

/// The complete answer of `word_count` words to a prompt.
pub fn expected_answer(messages: &[Message], word_count: u64) -> String {
    let digest = prompt_digest(messages);
    (0..word_count)
        .map(|index| answer_word(digest, index))
        .collect()
}
