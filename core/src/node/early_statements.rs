//! What peers told of servers before this router had a list of them. It is kept until then: a server that is brittle may
//! be full, and a single request to it can make it fall over.

use super::Node;
use crate::{ids, message, servers, store};

/// Number of datagrams that are kept until the first list of servers.
const KEPT_MAX: usize = 16;

/// The statements of servers in a peer's datagram.
#[derive(Debug)]
pub(super) struct EarlyStatements {
    from: ids::Incarnation,
    limits: Vec<servers::LimitUpdate>,
    brittle: Vec<servers::BrittleUpdate>,
    received_ms: u64,
}

impl Node {
    /// Merges what a peer has heard of limited and brittle servers, or keeps it until the first list of servers.
    pub(super) fn merge_statements(&mut self, gossip: &message::Gossip, now_ms: u64) {
        if self.vms_index > store::Position::START {
            self.merge_limits(&gossip.limits, now_ms);
            self.merge_brittle(gossip.from.id, &gossip.brittle, now_ms);
            return;
        }
        let has_statements = !gossip.limits.is_empty() || !gossip.brittle.is_empty();
        if has_statements && self.early_statements.len() < KEPT_MAX {
            self.early_statements.push(EarlyStatements {
                from: gossip.from.id,
                limits: gossip.limits.clone(),
                brittle: gossip.brittle.clone(),
                received_ms: now_ms,
            });
        }
    }

    /// Merges what was kept, when this router has a list of servers.
    pub(super) fn merge_early_statements(&mut self, now_ms: u64) {
        for mut early in std::mem::take(&mut self.early_statements) {
            let kept_ms = now_ms.saturating_sub(early.received_ms);
            early.limits.iter_mut().for_each(|update| update.add_age_ms(kept_ms));
            early.brittle.iter_mut().for_each(|update| update.add_age_ms(kept_ms));
            self.merge_limits(&early.limits, now_ms);
            self.merge_brittle(early.from, &early.brittle, now_ms);
        }
    }
}
