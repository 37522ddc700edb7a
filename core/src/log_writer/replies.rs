//! Processes the store's replies to a writer's calls.

use super::{Completed, ReadState, State, Waiter, Writer};
use crate::{ids, log_index, store};
use rand::rngs;

impl Writer {
    /// Handles a reply of the store. Returns the entries that became durable.
    pub fn handle_reply(
        &mut self,
        call: ids::CallId,
        reply: store::Reply,
        now_ms: u64,
        rng: &mut rngs::StdRng,
    ) -> Vec<Completed> {
        match std::mem::replace(&mut self.state, State::Idle) {
            State::LoadingCheckpoint(expected) if expected == call => {
                self.handle_loaded(reply, now_ms, rng)
            }
            State::ReadingSegment(expected) if expected == call => {
                self.handle_segment(reply, now_ms, rng)
            }
            State::CreatingSegment { call: expected, segment } if expected == call => {
                self.handle_created(reply, segment, now_ms, rng)
            }
            State::VerifyingCheckpoint(expected) if expected == call => {
                return self.handle_verified(reply, now_ms, rng);
            }
            State::SavingCheckpoint { call: expected, upto } if expected == call => {
                self.handle_saved(reply, upto, now_ms, rng)
            }
            State::DeletingEpoch(expected) if expected == call => {
                self.handle_deleted(reply, now_ms, rng)
            }
            // A late reply to a call that was abandoned.
            other => self.state = other,
        }
        Vec::new()
    }

    fn handle_loaded(&mut self, reply: store::Reply, now_ms: u64, rng: &mut rngs::StdRng) {
        match reply {
            store::Reply::Found { index, value } => {
                match log_index::Checkpoint::decode(&value) {
                    Ok(checkpoint) => {
                        self.checkpoint_index = index;
                        self.checkpoint_upto = checkpoint.upto;
                        self.next = checkpoint.upto;
                        self.index = checkpoint.restore();
                        self.set_read_state(ReadState::Behind);
                    }
                    // Continuing without the checkpoint could grant a claim twice.
                    Err(_) => self.delay_next_call(now_ms, rng),
                }
            }
            store::Reply::Missing { .. } => {
                self.next = 0;
                self.index = log_index::Index::default();
                self.set_read_state(ReadState::Behind);
            }
            _ => self.delay_next_call(now_ms, rng),
        }
    }

    fn handle_segment(&mut self, reply: store::Reply, now_ms: u64, rng: &mut rngs::StdRng) {
        match reply {
            store::Reply::Found { value, .. } => match log_index::Segment::decode(&value) {
                Ok(segment) => {
                    self.unresolved = None;
                    self.apply_next_segment(&segment);
                    self.set_read_state(ReadState::Behind);
                }
                // Continuing past an undecodable segment could grant a claim twice.
                Err(_) => self.delay_next_call(now_ms, rng),
            },
            store::Reply::Missing { .. } => self.set_read_state(ReadState::Unverified),
            _ => self.delay_next_call(now_ms, rng),
        }
    }

    fn handle_created(
        &mut self,
        reply: store::Reply,
        segment: log_index::Segment,
        now_ms: u64,
        rng: &mut rngs::StdRng,
    ) {
        match reply {
            store::Reply::Written { .. } => {
                self.apply_next_segment(&segment);
                self.set_read_state(ReadState::Unverified);
            }
            // The segment exists, perhaps this one, written by a call whose reply was lost.
            store::Reply::Conflict => self.set_read_state(ReadState::Behind),
            _ => {
                self.unresolved = Some(segment);
                self.read_state = ReadState::Behind;
                self.delay_next_call(now_ms, rng);
            }
        }
    }

    fn handle_verified(
        &mut self,
        reply: store::Reply,
        now_ms: u64,
        rng: &mut rngs::StdRng,
    ) -> Vec<Completed> {
        let (index, upto) = match reply {
            store::Reply::Found { index, value } => match log_index::Checkpoint::decode(&value) {
                Ok(checkpoint) => (index, checkpoint.upto),
                Err(_) => {
                    self.delay_next_call(now_ms, rng);
                    return Vec::new();
                }
            },
            store::Reply::Missing { .. } => (store::Position::START, 0),
            _ => {
                self.delay_next_call(now_ms, rng);
                return Vec::new();
            }
        };
        if upto > self.unverified_from.unwrap_or(self.next) {
            // Other writers have saved a checkpoint beyond the segments applied here, which may therefore not be part
            // of the log.
            self.unresolved = None;
            self.set_read_state(ReadState::None);
            return Vec::new();
        }
        self.checkpoint_index = index;
        self.checkpoint_upto = self.checkpoint_upto.max(upto);
        self.set_read_state(ReadState::Verified);
        self.take_completed()
    }

    fn handle_saved(
        &mut self,
        reply: store::Reply,
        upto: u64,
        now_ms: u64,
        rng: &mut rngs::StdRng,
    ) {
        match reply {
            store::Reply::Written { .. } => {
                let epoch = upto / self.epoch_segments;
                // Two epochs, because the writer of the previous checkpoint may have failed before deleting its epoch.
                self.obsolete_epochs = (epoch.saturating_sub(2)..epoch).collect();
                self.checkpoint_upto = upto;
                self.set_read_state(ReadState::Unverified);
            }
            store::Reply::Conflict => self.set_read_state(ReadState::Unverified),
            _ => {
                self.read_state = ReadState::Unverified;
                self.delay_next_call(now_ms, rng);
            }
        }
    }

    fn handle_deleted(&mut self, reply: store::Reply, now_ms: u64, rng: &mut rngs::StdRng) {
        match reply {
            store::Reply::Written { .. } => {
                self.obsolete_epochs.pop();
                self.backoff.reset();
            }
            _ => self.delay_next_call(now_ms, rng),
        }
    }

    fn set_read_state(&mut self, read_state: ReadState) {
        self.read_state = read_state;
        self.backoff.reset();
        if matches!(read_state, ReadState::Verified | ReadState::None) {
            self.unverified_from = None;
        }
    }

    fn delay_next_call(&mut self, now_ms: u64, rng: &mut rngs::StdRng) {
        self.not_before_ms = now_ms + self.backoff.next_delay_ms(rng);
    }

    /// Applies the segment numbered `next`.
    fn apply_next_segment(&mut self, segment: &log_index::Segment) {
        self.unverified_from.get_or_insert(self.next);
        self.next += 1;
        self.index.apply_segment(segment);
    }

    /// Removes and returns the pending entries that the verified log contains or decides.
    fn take_completed(&mut self) -> Vec<Completed> {
        let mut done = Vec::new();
        let pending = std::mem::take(&mut self.pending);
        for awaited in pending {
            match self.completed(&awaited.entry, awaited.waiter) {
                Some(completed) => done.push(completed),
                None => self.pending.push(awaited),
            }
        }
        done
    }

    pub(super) fn completed(&self, entry: &log_index::Entry, waiter: Waiter) -> Option<Completed> {
        if self.read_state != ReadState::Verified {
            return None;
        }
        let verdict = match entry {
            log_index::Entry::Claim(claim) => Some(self.index.claim_verdict(claim)?),
            other if !self.index.contains(other) => return None,
            _ => None,
        };
        Some(Completed { entry: entry.clone(), waiter, verdict })
    }
}
