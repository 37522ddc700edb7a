//! An upper bound on the tokens of a prompt, computed before the request is sent.
//!
//! A token represents at least one byte of text, so a prompt has at most as many tokens as bytes. Chat templates add a
//! few tokens around each message.

/// The number of tokens that a chat template may add to each message.
const MESSAGE_OVERHEAD_TOKENS: u64 = 8;

/// An upper bound on the tokens of a prompt that consists of these parts.
pub fn prompt_tokens(parts: &[String]) -> u64 {
    let bytes: u64 = parts.iter().map(|part| part.len() as u64).sum();
    bytes + parts.len() as u64 * MESSAGE_OVERHEAD_TOKENS
}
