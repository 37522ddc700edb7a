//! Guards against requests that run twice or are billed twice because writes to the log were lost, delayed or raced.

#![allow(clippy::unwrap_used, missing_docs)]

use doorswitch_core::{ids, log_index, log_writer, store};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;

const EPOCH_SEGMENTS: u64 = 8;
const KEY: ids::RequestKey = ids::RequestKey { high: 0, low: 7 };

fn claim(attempt: u64) -> log_index::Claim {
    log_index::Claim { key: KEY, attempt: ids::AttemptId(attempt), body_hash: 1 }
}

fn settlement(attempt: u64, tokens: u64) -> log_index::Settlement {
    log_index::Settlement {
        key: KEY,
        attempt: ids::AttemptId(attempt),
        origin: ids::Incarnation(attempt),
        number: 1,
        keyed: true,
        body_hash: 1,
        budget: "w/main".to_owned(),
        region: "r".to_owned(),
        consumed_tokens: tokens,
        outcome: None,
    }
}

/// A store of log segments and several writers that append to them.
struct Harness {
    values: BTreeMap<String, (u64, Vec<u8>)>,
    index: u64,
    writers: Vec<log_writer::Writer>,
    calls: u64,
    rng: StdRng,
}

impl Harness {
    fn new(writers: u64) -> Self {
        let writer = |id| log_writer::Writer::new(0, ids::Incarnation(id), EPOCH_SEGMENTS);
        Self {
            values: BTreeMap::new(),
            index: 0,
            writers: (1..=writers).map(writer).collect(),
            calls: 0,
            rng: StdRng::seed_from_u64(3),
        }
    }

    fn append(&mut self, writer: usize, entry: log_index::Entry) -> Option<log_writer::Completed> {
        self.writers[writer].append(
            entry,
            log_writer::Waiter::Outbox,
            log_writer::Urgency::Immediate,
            0,
        )
    }

    fn start(&mut self, writer: usize) -> (ids::CallId, store::Request) {
        self.calls += 1;
        let call = ids::CallId(self.calls);
        (call, self.writers[writer].start(call, 0, &mut self.rng))
    }

    fn apply(&mut self, request: store::Request) -> store::Reply {
        match request {
            store::Request::Read { key } => match self.values.get(&key) {
                Some((index, value)) => store::Reply::Found {
                    index: store::Position::new(0, *index),
                    value: value.clone(),
                },
                None => store::Reply::Missing { era: 0 },
            },
            store::Request::Write { key, expected_index, value, .. } => {
                if self.values.get(&key).map_or(0, |(index, _)| *index) != expected_index.revision {
                    return store::Reply::Conflict;
                }
                self.index += 1;
                self.values.insert(key, (self.index, value));
                store::Reply::Written { era: 0 }
            }
            store::Request::DeletePrefix { prefix } => {
                self.values.retain(|key, _| !key.starts_with(&prefix));
                store::Reply::Written { era: 0 }
            }
        }
    }

    fn reply(
        &mut self,
        writer: usize,
        call: ids::CallId,
        reply: store::Reply,
    ) -> Vec<log_writer::Completed> {
        self.writers[writer].handle_reply(call, reply, 0, &mut self.rng)
    }

    /// Performs one call without faults.
    fn call(&mut self, writer: usize) -> Vec<log_writer::Completed> {
        let (call, request) = self.start(writer);
        let reply = self.apply(request);
        self.reply(writer, call, reply)
    }

    /// Performs calls until an entry is durable.
    fn finish(&mut self, writer: usize) -> Vec<log_writer::Completed> {
        for _ in 0..20 {
            let completed = self.call(writer);
            if !completed.is_empty() {
                return completed;
            }
        }
        panic!("no entry became durable within 20 calls");
    }
}

fn verdict(completed: &[log_writer::Completed]) -> Option<log_index::ClaimVerdict> {
    completed.first().and_then(|completed| completed.verdict.clone())
}

#[test]
fn of_two_concurrent_claims_the_first_written_segment_wins() {
    let mut harness = Harness::new(2);
    harness.append(0, log_index::Entry::Claim(claim(1)));
    harness.append(1, log_index::Entry::Claim(claim(2)));
    // Both writers read an empty log and then try to create its first segment.
    harness.call(0);
    harness.call(1);
    assert_eq!(verdict(&harness.finish(1)), Some(log_index::ClaimVerdict::Granted));
    assert_eq!(verdict(&harness.finish(0)), Some(log_index::ClaimVerdict::Taken));
}

#[test]
fn a_writer_recognizes_its_segment_although_the_reply_was_lost() {
    let mut harness = Harness::new(1);
    harness.append(0, log_index::Entry::Claim(claim(1)));
    harness.call(0);
    let (call, request) = harness.start(0);
    harness.apply(request);
    assert!(harness.reply(0, call, store::Reply::Unknown).is_empty());
    assert_eq!(verdict(&harness.finish(0)), Some(log_index::ClaimVerdict::Granted));
    assert_eq!(harness.values.len(), 1);
}

#[test]
fn a_write_that_never_arrived_is_repeated() {
    let mut harness = Harness::new(1);
    harness.append(0, log_index::Entry::Claim(claim(1)));
    harness.call(0);
    let (call, _) = harness.start(0);
    assert!(harness.reply(0, call, store::Reply::Unknown).is_empty());
    assert_eq!(verdict(&harness.finish(0)), Some(log_index::ClaimVerdict::Granted));
}

#[test]
fn a_released_claim_is_void_even_if_it_is_logged_after_its_release() {
    let mut index = log_index::Index::default();
    index.apply(&log_index::Entry::Release { key: KEY, attempt: ids::AttemptId(1) });
    index.apply(&log_index::Entry::Claim(claim(1)));
    index.apply(&log_index::Entry::Claim(claim(2)));
    assert_eq!(index.claim_verdict(&claim(2)), Some(log_index::ClaimVerdict::Granted));
}

#[test]
fn of_two_claims_in_the_log_the_first_one_is_granted() {
    let mut index = log_index::Index::default();
    index.apply(&log_index::Entry::Claim(claim(1)));
    index.apply(&log_index::Entry::Claim(claim(2)));
    assert_eq!(index.claim_verdict(&claim(1)), Some(log_index::ClaimVerdict::Granted));
    assert_eq!(index.claim_verdict(&claim(2)), Some(log_index::ClaimVerdict::Taken));
}

#[test]
fn a_release_does_not_void_the_claim_of_another_attempt() {
    let mut index = log_index::Index::default();
    index.apply(&log_index::Entry::Claim(claim(1)));
    index.apply(&log_index::Entry::Release { key: KEY, attempt: ids::AttemptId(2) });
    assert_eq!(index.claim_verdict(&claim(3)), Some(log_index::ClaimVerdict::Taken));
}

#[test]
fn the_first_settlement_is_billed_and_a_second_run_is_only_consumed() {
    let mut index = log_index::Index::default();
    for (attempt, tokens) in [(1, 10), (1, 10), (2, 30), (2, 30)] {
        index.apply(&log_index::Entry::Settle(settlement(attempt, tokens)));
    }
    let (_, _, totals) = index.totals().next().unwrap();
    assert_eq!((totals.billed_tokens, totals.billed_requests), (10, 1));
    assert_eq!((totals.repeated_tokens, totals.consumed_tokens()), (30, 40));
}

#[test]
fn a_claimed_id_is_read_again_before_it_is_reported_as_taken() {
    let mut harness = Harness::new(2);
    harness.append(0, log_index::Entry::Claim(claim(1)));
    harness.finish(0);
    harness.append(1, log_index::Entry::Claim(claim(2)));
    harness.finish(1);
    harness.append(0, log_index::Entry::Settle(settlement(1, 5)));
    harness.finish(0);
    // The second writer has not read the settlement yet.
    assert!(harness.append(1, log_index::Entry::Claim(claim(3))).is_none());
    assert_eq!(verdict(&harness.finish(1)), Some(log_index::ClaimVerdict::Done(None)));
}

#[test]
fn a_different_body_with_the_same_id_is_a_conflict() {
    let mut index = log_index::Index::default();
    index.apply(&log_index::Entry::Claim(claim(1)));
    let other = log_index::Claim { body_hash: 2, ..claim(2) };
    assert_eq!(index.claim_verdict(&other), Some(log_index::ClaimVerdict::Conflict));
    index.apply(&log_index::Entry::Settle(settlement(1, 5)));
    assert_eq!(index.claim_verdict(&other), Some(log_index::ClaimVerdict::Conflict));
}

/// Writes segments of one settlement each with one writer.
fn write_segments(harness: &mut Harness, writer: usize, numbers: std::ops::RangeInclusive<u64>) {
    for number in numbers {
        let mut settlement = settlement(77, 1);
        settlement.number = number;
        settlement.key = ids::RequestKey { high: 0, low: 1_000 + number };
        harness.append(writer, log_index::Entry::Settle(settlement));
        harness.finish(writer);
    }
    // Writes checkpoints and deletes old segments, as far as these are due.
    for _ in 0..10 {
        if harness.writers[writer].due(0) {
            harness.call(writer);
        }
    }
}

#[test]
fn old_segments_are_replaced_by_a_checkpoint_with_the_same_content() {
    let mut harness = Harness::new(2);
    write_segments(&mut harness, 0, 1..=40);
    let segments = harness.values.keys().filter(|key| key.contains("/log/")).count() as u64;
    assert!(segments < 2 * EPOCH_SEGMENTS, "{segments} segments are left");
    harness.append(1, log_index::Entry::Claim(claim(5)));
    assert_eq!(verdict(&harness.finish(1)), Some(log_index::ClaimVerdict::Granted));
    let (_, _, totals) = harness.writers[1].index().totals().next().unwrap();
    assert_eq!((totals.billed_requests, totals.billed_tokens), (40, 40));
    // Settlements that are included in the checkpoint are still recognized by their numbers.
    let mut again = settlement(77, 1);
    again.number = 3;
    again.key = ids::RequestKey { high: 0, low: 1_003 };
    assert!(harness.append(1, log_index::Entry::Settle(again)).is_some());
}

#[test]
fn a_writer_that_was_suspended_gets_no_claim_by_creating_a_deleted_segment() {
    let mut harness = Harness::new(2);
    write_segments(&mut harness, 0, 1..=7);
    // Writer 1 has read the whole log and is suspended with an unwritten claim.
    let mut other = settlement(9, 1);
    other.key = ids::RequestKey { high: 0, low: 999 };
    harness.append(1, log_index::Entry::Settle(other));
    harness.finish(1);
    harness.append(1, log_index::Entry::Claim(claim(2)));
    // Meanwhile writer 0 is granted the claim, and the segments around it are deleted.
    harness.append(0, log_index::Entry::Claim(claim(1)));
    harness.finish(0);
    write_segments(&mut harness, 0, 8..=40);
    assert!(!harness.values.contains_key(&log_index::key(0, 8, EPOCH_SEGMENTS)));
    let completed = harness.finish(1);
    assert_ne!(verdict(&completed), Some(log_index::ClaimVerdict::Granted));
}

#[test]
fn an_id_expires_only_after_its_retention_time() {
    let mut index = log_index::Index::default();
    let segment = |written_s, entries| log_index::Segment {
        writer: ids::Incarnation(1),
        nonce: 0,
        written_s,
        entries,
    };
    index.apply_segment(&segment(1_000, vec![log_index::Entry::Claim(claim(1))]));
    index.apply_segment(&segment(999 + log_index::ID_RETENTION_S, Vec::new()));
    assert_eq!(index.claim_verdict(&claim(2)), Some(log_index::ClaimVerdict::Taken));
    index.apply_segment(&segment(1_000 + log_index::ID_RETENTION_S, Vec::new()));
    assert_eq!(index.claim_verdict(&claim(2)), None);
}
