//! Tokens and generated text of the stand-in.
//!
//! The text is a pure function of the prompt: a reader who knows the true
//! conversation can check every answer, so a lost, doubled or mixed history
//! shows in the words.

use fieldhook_model::api::Message;
use xxhash_rust::xxh3::xxh3_64;

/// Bytes of text in a token.
const TOKEN_BYTES: usize = 4;
/// Tokens that the chat template adds to each message.
const TEMPLATE_TOKENS: u64 = 4;
/// Tokens in a cache block.
pub const BLOCK_TOKENS: usize = 16;

/// Tokens of a message with its template.
pub fn count_tokens(message: &Message) -> u64 {
    message.content.len().div_ceil(TOKEN_BYTES) as u64 + TEMPLATE_TOKENS
}

/// Hashes of the whole blocks of a prompt; each covers all before it, so equal
/// hashes mean equal prefixes.
pub fn block_hashes(messages: &[Message]) -> Vec<u64> {
    let mut hashes = Vec::new();
    let mut chain = 0u64;
    let mut tokens_in_block = 0usize;
    for message in messages {
        let template = [message.role.as_str(); TEMPLATE_TOKENS as usize];
        let content = message.content.as_bytes().chunks(TOKEN_BYTES);
        for token in template.iter().map(|role| role.as_bytes()).chain(content) {
            chain = xxh3_64(token) ^ chain.rotate_left(17).wrapping_mul(0x9E37_79B9_7F4A_7C15);
            tokens_in_block += 1;
            if tokens_in_block == BLOCK_TOKENS {
                hashes.push(chain);
                tokens_in_block = 0;
            }
        }
    }
    hashes
}

/// Digest of a conversation up to the turn that is to be answered.
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

/// Word number `index` of the answer to a prompt; one word is one token.
pub fn answer_word(digest: u64, index: u64) -> String {
    if index == 0 {
        return format!("[{digest:016x}]");
    }
    let mixed = xxh3_64(&[digest.to_le_bytes(), index.to_le_bytes()].concat());
    format!(" w{:03}", mixed % 1000)
}

/// The whole answer of `words` words to a prompt.
pub fn expected_answer(messages: &[Message], words: u64) -> String {
    let digest = prompt_digest(messages);
    (0..words).map(|index| answer_word(digest, index)).collect()
}
