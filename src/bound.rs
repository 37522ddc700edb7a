//! The most tokens that a request can cost, known before anything is sent.
//!
//! A token stands for at least one byte of text, so the bytes of a prompt bound its tokens. Chat
//! templates add a few tokens around each message.

/// Tokens that a chat template may add to each message.
const MESSAGE_OVERHEAD_TOKENS: u64 = 8;

/// The most tokens that a prompt of these parts can have.
pub fn prompt_tokens(parts: &[String]) -> u64 {
    let bytes: u64 = parts.iter().map(|part| part.len() as u64).sum();
    bytes + parts.len() as u64 * MESSAGE_OVERHEAD_TOKENS
}
