//! Adjusts the ages in a message, which are relative to its send time, for the time it was queued before being read.

use super::{CopyState, Digest, Gossip, Message};

impl Gossip {
    /// Increases all ages in the datagram by the time it was queued, in milliseconds.
    pub fn add_age_ms(&mut self, queued_ms: u64) {
        self.digest.add_age_ms(queued_ms);
        self.limits.iter_mut().for_each(|limit| limit.add_age_ms(queued_ms));
        self.brittle.iter_mut().for_each(|brittle| brittle.add_age_ms(queued_ms));
        self.quarantine.add_age_ms(queued_ms);
    }
}

impl Message {
    /// Increases all ages in the message by the time it was queued, in milliseconds.
    pub fn add_age_ms(&mut self, queued_ms: u64) {
        match self {
            Self::Config { copy_state, .. } | Self::Vms { copy_state, .. } => {
                copy_state.add_age_ms(queued_ms)
            }
            Self::PermitRequest { limit_update, .. } => limit_update.add_age_ms(queued_ms),
            Self::SeatRequest { brittle, .. } => brittle.add_age_ms(queued_ms),
            Self::StreamOrigins { streams, .. } => {
                for copy in streams {
                    copy.left_ms = copy.left_ms.saturating_sub(queued_ms);
                }
            }
            _ => {}
        }
    }
}

impl Digest {
    fn add_age_ms(&mut self, queued_ms: u64) {
        self.configuration.add_age_ms(queued_ms);
        self.servers.add_age_ms(queued_ms);
    }
}

impl CopyState {
    fn add_age_ms(&mut self, queued_ms: u64) {
        self.age_ms = self.age_ms.map(|age_ms| age_ms.saturating_add(queued_ms));
    }
}
