//! The requests that one connection to a server has carried, and which of them the server refused.
//!
//! A connection never carries an id twice: a copy of the first answer may still arrive, and can't be told from the second.

use std::hash::{BuildHasher, RandomState};

/// The most requests that one connection carries, which bounds the memory for their ids (16 KB).
const REQUESTS_MAX: usize = 1_000;

thread_local! {
    /// Ids come from clients, so they are hashed with a key that these don't know.
    static HASHER: RandomState = RandomState::new();
}

/// A request that was sent over the connection.
#[derive(Clone, Copy, Debug)]
struct Sent {
    id_digest: u64,
    refused: bool,
}

/// The requests that were sent over one connection, in their order.
#[derive(Clone, Debug, Default)]
pub struct History {
    sent: Vec<Sent>,
}

impl History {
    /// Adds a request that is about to be sent.
    pub fn record_sent(&mut self, id: &str) {
        self.sent.push(Sent { id_digest: digest(id), refused: false });
    }

    /// Records that the server refused the request that was sent last.
    pub fn record_refused(&mut self) {
        if let Some(last) = self.sent.last_mut() {
            last.refused = true;
        }
    }

    /// Whether a request with this id may be sent.
    pub fn allows(&self, id: &str) -> bool {
        let id_digest = digest(id);
        !self.sent.iter().any(|sent| sent.id_digest == id_digest)
    }

    /// Whether no more requests may be sent.
    pub fn is_full(&self) -> bool {
        self.sent.len() >= REQUESTS_MAX
    }

    /// The number of requests that were sent.
    pub fn len(&self) -> usize {
        self.sent.len()
    }

    /// How often a request with this id was sent.
    pub fn sends_of(&self, id: &str) -> usize {
        let id_digest = digest(id);
        self.sent.iter().filter(|sent| sent.id_digest == id_digest).count()
    }

    /// Whether the server refused a request with this id.
    pub fn was_refused(&self, id: &str) -> bool {
        let id_digest = digest(id);
        self.sent.iter().any(|sent| sent.id_digest == id_digest && sent.refused)
    }
}

fn digest(id: &str) -> u64 {
    HASHER.with(|hasher| hasher.hash_one(id))
}
