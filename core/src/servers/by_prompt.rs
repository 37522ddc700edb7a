//! The choice of a server for a prompt with named parts: the server that has its shared parts
//! cached, as far as the load allows.
//!
//! Rendezvous hashing over the deepest shared part assigns every prompt a home server on which all
//! routers agree without a message. A prompt goes to another server if waiting at its home costs
//! more than processing it again. Costs are counted in tokens to process before the first token of
//! the answer.

use super::{Criteria, Table, Unavailable};
use crate::{ids, rendezvous};
use std::collections;

/// Number of servers that are compared for a prompt: those with room that are ranked highest, of which the home is the
/// first.
const SERVERS_COMPARED: usize = 3;
/// Time after which a part that this router sent to a server no longer counts as cached there.
const CACHED_MS: u64 = 30_000;
/// Number of recorded pairs of server and part above which each send first removes the pairs that have expired. Pairs
/// that have not expired may exceed it.
const SENT_PARTS_CLEANUP_THRESHOLD: usize = 16_384;
/// Assumed number of tokens that a queued request adds to a server's work.
const QUEUED_REQUEST_TOKENS: u64 = 3_000;
/// Cost of a running request for another one on the same server, in tokens.
const RUNNING_REQUEST_TOKENS: u64 = 60;

/// One section of a request's prompt, identified by the hash of it and of all sections before it. It is used to choose
/// a server that has the beginning of the prompt cached: a server can have a part cached only together with all parts
/// before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Hash of this part and all parts before it.
    pub chain: u64,
    /// Number of tokens in this part.
    pub tokens: u64,
}

/// Computes the chained hashes of parts, given their `(id, tokens)` in order.
pub fn chain(parts: impl Iterator<Item = (u64, u64)>) -> Vec<Part> {
    let mut digest = 0;
    let chained = parts.map(|(id, tokens)| {
        digest = rendezvous::mix(digest ^ id);
        Part { chain: digest, tokens }
    });
    chained.collect()
}

/// The prompt parts that this router sent to each backend server, with the time of the last send. It is used to
/// estimate which parts of a prompt a server has cached.
#[derive(Debug, Default)]
pub struct SentParts {
    sent_ms: collections::HashMap<(ids::ServerSlot, u64), u64>,
}

impl SentParts {
    fn record(&mut self, slot: ids::ServerSlot, parts: &[Part], now_ms: u64) {
        if self.sent_ms.len() > SENT_PARTS_CLEANUP_THRESHOLD {
            self.sent_ms.retain(|_, sent_ms| now_ms < *sent_ms + CACHED_MS);
        }
        for part in parts {
            self.sent_ms.insert((slot, part.chain), now_ms);
        }
    }

    fn contains(&self, slot: ids::ServerSlot, part: &Part, now_ms: u64) -> bool {
        self.sent_ms.get(&(slot, part.chain)).is_some_and(|sent_ms| now_ms < *sent_ms + CACHED_MS)
    }
}

/// The backend server that a router's [`Table`] of servers chose for a request, and the number of the prompt's tokens
/// that the server is not expected to have cached. The router counts them as work of the server until they are
/// processed or the request has left it, and compares that work when it chooses servers for later prompts. The number
/// is 0 for requests without prompt parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Slot of the server.
    pub slot: ids::ServerSlot,
    /// Number of prompt tokens that the server has to process first.
    pub unread_tokens: u64,
}

impl Table {
    /// Chooses a server for a prompt and counts the request on it.
    pub(super) fn choose_for_prompt(
        &mut self,
        criteria: &Criteria<'_>,
        now_ms: u64,
    ) -> Result<Choice, Unavailable> {
        let mut matching = self.matching(criteria, now_ms);
        if matching.is_empty() {
            return Err(Unavailable::None);
        }
        let key = home_key(criteria.parts);
        matching.sort_by_key(|slot| std::cmp::Reverse(self.home_weight(*slot, key)));
        let open = matching.iter().enumerate();
        let open = open.filter(|(_, slot)| self.is_open(**slot, now_ms));
        let choice = |(rank, slot): (usize, &ids::ServerSlot)| {
            let unread_tokens = self.unread_tokens(*slot, criteria.parts, rank == 0, now_ms);
            Choice { slot: *slot, unread_tokens }
        };
        let trial = open.clone().find(|(_, slot)| self.is_trial_due(**slot, now_ms));
        let cheapest = || {
            open.take(SERVERS_COMPARED)
                .map(choice)
                .min_by_key(|choice| self.processing_cost(*choice))
        };
        let choice = trial
            .map(choice)
            .or_else(cheapest)
            .ok_or_else(|| self.unavailability(&matching, now_ms))?;
        self.count_held_back(criteria.service, &matching, now_ms);
        self.count_sent(choice.slot, now_ms);
        if let Some(server) = self.servers.get_mut(choice.slot) {
            server.unread_tokens += choice.unread_tokens;
        }
        self.sent_parts.record(choice.slot, criteria.parts, now_ms);
        Ok(choice)
    }

    /// Records that a server has processed this many tokens of a prompt, or will not process them any more.
    pub fn record_prompt_processed(&mut self, slot: ids::ServerSlot, tokens: u64) {
        if let Some(server) = self.servers.get_mut(slot) {
            server.unread_tokens = server.unread_tokens.saturating_sub(tokens);
        }
    }

    fn home_weight(&self, slot: ids::ServerSlot, key: u64) -> u64 {
        rendezvous::weight(key, self.servers[slot].name_hash)
    }

    /// Number of tokens that a server has to process: all after the last cached part. A prompt's
    /// home is assumed to have the shared parts cached, whichever router sent them.
    fn unread_tokens(&self, slot: ids::ServerSlot, parts: &[Part], home: bool, now_ms: u64) -> u64 {
        let shared = parts.len().saturating_sub(1);
        let cached = |(index, part): &(usize, &Part)| {
            (home && *index < shared) || self.sent_parts.contains(slot, part, now_ms)
        };
        let unread = parts.iter().enumerate().skip_while(cached);
        unread.map(|(_, part)| part.tokens).sum()
    }

    fn processing_cost(&self, choice: Choice) -> u64 {
        let server = &self.servers[choice.slot];
        let waiting = server.load.map_or(0, |load| load.queued);
        choice.unread_tokens
            + server.unread_tokens
            + waiting * QUEUED_REQUEST_TOKENS
            + server.estimated_load() * RUNNING_REQUEST_TOKENS
    }
}

/// Hash of the deepest shared part; a prompt of a single part uses that part.
fn home_key(parts: &[Part]) -> u64 {
    let index = parts.len().saturating_sub(2);
    parts.get(index).map_or(0, |part| part.chain)
}
