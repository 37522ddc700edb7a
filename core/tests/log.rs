//! The log and its writer: the first claim runs, the first settlement is billed, whatever is lost.

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

/// A store of segments and some writers that race for them.
struct Bench {
    values: BTreeMap<String, (u64, Vec<u8>)>,
    index: u64,
    writers: Vec<log_writer::Writer>,
    calls: u64,
    rng: StdRng,
}

impl Bench {
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

    fn append(&mut self, at: usize, entry: log_index::Entry) -> Option<log_writer::Completed> {
        self.writers[at].append(
            entry,
            log_writer::Waiter::Outbox,
            log_writer::Urgency::Immediate,
            0,
        )
    }

    fn start(&mut self, at: usize) -> (ids::CallId, store::Request) {
        self.calls += 1;
        let call = ids::CallId(self.calls);
        (call, self.writers[at].start(call, 0, &mut self.rng))
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
        at: usize,
        call: ids::CallId,
        reply: store::Reply,
    ) -> Vec<log_writer::Completed> {
        self.writers[at].handle_reply(call, reply, 0, &mut self.rng)
    }

    /// One call that works.
    fn call(&mut self, at: usize) -> Vec<log_writer::Completed> {
        let (call, request) = self.start(at);
        let reply = self.apply(request);
        self.reply(at, call, reply)
    }

    /// Calls until something is done.
    fn finish(&mut self, at: usize) -> Vec<log_writer::Completed> {
        for _ in 0..20 {
            let done = self.call(at);
            if !done.is_empty() {
                return done;
            }
        }
        panic!("nothing became durable");
    }
}

fn verdict(done: &[log_writer::Completed]) -> Option<log_index::ClaimVerdict> {
    done.first().and_then(|done| done.verdict.clone())
}

#[test]
fn of_two_homes_that_race_the_first_segment_decides() {
    let mut bench = Bench::new(2);
    bench.append(0, log_index::Entry::Claim(claim(1)));
    bench.append(1, log_index::Entry::Claim(claim(2)));
    // Both find the log empty, then both create its first segment.
    bench.call(0);
    bench.call(1);
    assert_eq!(verdict(&bench.finish(1)), Some(log_index::ClaimVerdict::Granted));
    assert_eq!(verdict(&bench.finish(0)), Some(log_index::ClaimVerdict::Taken));
}

#[test]
fn a_segment_whose_reply_was_lost_is_recognised_as_ones_own() {
    let mut bench = Bench::new(1);
    bench.append(0, log_index::Entry::Claim(claim(1)));
    bench.call(0);
    let (call, request) = bench.start(0);
    bench.apply(request);
    assert!(bench.reply(0, call, store::Reply::Unknown).is_empty());
    assert_eq!(verdict(&bench.finish(0)), Some(log_index::ClaimVerdict::Granted));
    assert_eq!(bench.values.len(), 1);
}

#[test]
fn a_write_that_never_arrived_is_made_again() {
    let mut bench = Bench::new(1);
    bench.append(0, log_index::Entry::Claim(claim(1)));
    bench.call(0);
    let (call, _) = bench.start(0);
    assert!(bench.reply(0, call, store::Reply::Unknown).is_empty());
    assert_eq!(verdict(&bench.finish(0)), Some(log_index::ClaimVerdict::Granted));
}

#[test]
fn a_claim_that_was_given_up_is_void_even_if_it_arrives_later() {
    let mut index = log_index::Index::default();
    index.apply(&log_index::Entry::Release { key: KEY, attempt: ids::AttemptId(1) });
    index.apply(&log_index::Entry::Claim(claim(1)));
    index.apply(&log_index::Entry::Claim(claim(2)));
    assert_eq!(index.claim_verdict(&claim(2)), Some(log_index::ClaimVerdict::Granted));
}

#[test]
fn of_two_claims_in_the_log_the_first_one_holds() {
    let mut index = log_index::Index::default();
    index.apply(&log_index::Entry::Claim(claim(1)));
    index.apply(&log_index::Entry::Claim(claim(2)));
    assert_eq!(index.claim_verdict(&claim(1)), Some(log_index::ClaimVerdict::Granted));
    assert_eq!(index.claim_verdict(&claim(2)), Some(log_index::ClaimVerdict::Taken));
}

#[test]
fn a_release_does_not_void_anothers_claim() {
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
fn a_taken_id_is_looked_up_again_before_it_is_called_taken() {
    let mut bench = Bench::new(2);
    bench.append(0, log_index::Entry::Claim(claim(1)));
    bench.finish(0);
    bench.append(1, log_index::Entry::Claim(claim(2)));
    bench.finish(1);
    bench.append(0, log_index::Entry::Settle(settlement(1, 5)));
    bench.finish(0);
    // The second writer has not read the settlement yet.
    assert!(bench.append(1, log_index::Entry::Claim(claim(3))).is_none());
    assert_eq!(verdict(&bench.finish(1)), Some(log_index::ClaimVerdict::Done(None)));
}

#[test]
fn another_body_under_the_same_id_is_a_conflict() {
    let mut index = log_index::Index::default();
    index.apply(&log_index::Entry::Claim(claim(1)));
    let other = log_index::Claim { body_hash: 2, ..claim(2) };
    assert_eq!(index.claim_verdict(&other), Some(log_index::ClaimVerdict::Conflict));
    index.apply(&log_index::Entry::Settle(settlement(1, 5)));
    assert_eq!(index.claim_verdict(&other), Some(log_index::ClaimVerdict::Conflict));
}

/// Writes segments of one settlement each, through one writer.
fn write_segments(bench: &mut Bench, at: usize, numbers: std::ops::RangeInclusive<u64>) {
    for number in numbers {
        let mut settlement = settlement(77, 1);
        settlement.number = number;
        settlement.key = ids::RequestKey { high: 0, low: 1_000 + number };
        bench.append(at, log_index::Entry::Settle(settlement));
        bench.finish(at);
    }
    // Saves and clears what is due by now.
    for _ in 0..10 {
        if bench.writers[at].due(0) {
            bench.call(at);
        }
    }
}

#[test]
fn old_segments_give_way_to_a_checkpoint_that_says_the_same() {
    let mut bench = Bench::new(2);
    write_segments(&mut bench, 0, 1..=40);
    let segments = bench.values.keys().filter(|key| key.contains("/log/")).count() as u64;
    assert!(segments < 2 * EPOCH_SEGMENTS, "{segments} segments are left");
    bench.append(1, log_index::Entry::Claim(claim(5)));
    assert_eq!(verdict(&bench.finish(1)), Some(log_index::ClaimVerdict::Granted));
    let (_, _, totals) = bench.writers[1].index().totals().next().unwrap();
    assert_eq!((totals.billed_requests, totals.billed_tokens), (40, 40));
    // Numbers that the checkpoint holds are still known.
    let mut again = settlement(77, 1);
    again.number = 3;
    again.key = ids::RequestKey { high: 0, low: 1_003 };
    assert!(bench.append(1, log_index::Entry::Settle(again)).is_some());
}

#[test]
fn a_writer_that_slept_past_a_checkpoint_runs_nothing_by_a_cleared_segment() {
    let mut bench = Bench::new(2);
    write_segments(&mut bench, 0, 1..=7);
    // The sleeper knows the log up to its end, and goes to sleep with a claim.
    let mut other = settlement(9, 1);
    other.key = ids::RequestKey { high: 0, low: 999 };
    bench.append(1, log_index::Entry::Settle(other));
    bench.finish(1);
    bench.append(1, log_index::Entry::Claim(claim(2)));
    // Meanwhile another claim wins, and the segments around it are cleared.
    bench.append(0, log_index::Entry::Claim(claim(1)));
    bench.finish(0);
    write_segments(&mut bench, 0, 8..=40);
    assert!(!bench.values.contains_key(&log_index::key(0, 8, EPOCH_SEGMENTS)));
    let done = bench.finish(1);
    assert_ne!(verdict(&done), Some(log_index::ClaimVerdict::Granted));
}

#[test]
fn an_id_is_forgotten_only_after_its_time() {
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
