//! The log and its writer: the first claim runs, the first settlement is billed, whatever is lost.

#![allow(clippy::unwrap_used, missing_docs)]

use doorswitch_core::{ids, log_index, log_writer, store};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;

const KEY: ids::RequestKey = ids::RequestKey { high: 0, low: 7 };

fn claim(attempt: u64) -> log_index::Claim {
    log_index::Claim { key: KEY, attempt: ids::AttemptId(attempt), body_hash: 1 }
}

fn settlement(attempt: u64, tokens: u64) -> log_index::Settlement {
    log_index::Settlement {
        key: KEY,
        attempt: ids::AttemptId(attempt),
        body_hash: 1,
        budget: "w/main".to_owned(),
        region: "r".to_owned(),
        consumed_tokens: tokens,
        outcome: None,
    }
}

/// A store of segments and some writers that race for them.
struct Bench {
    values: BTreeMap<String, Vec<u8>>,
    writers: Vec<log_writer::Writer>,
    calls: u64,
    rng: StdRng,
}

impl Bench {
    fn new(writers: u64) -> Self {
        let writer = |id| log_writer::Writer::new(0, ids::Incarnation(id));
        Self {
            values: BTreeMap::new(),
            writers: (1..=writers).map(writer).collect(),
            calls: 0,
            rng: StdRng::seed_from_u64(3),
        }
    }

    fn append(&mut self, at: usize, entry: log_index::Entry) -> Option<log_writer::Done> {
        self.writers[at].append(entry, log_writer::Waiter::Outbox, log_writer::Urgency::Waited, 0)
    }

    fn start(&mut self, at: usize) -> (ids::CallId, store::Request) {
        self.calls += 1;
        let call = ids::CallId(self.calls);
        (call, self.writers[at].start(call, &mut self.rng))
    }

    fn apply(&mut self, request: store::Request) -> store::Reply {
        match request {
            store::Request::Read { key } => match self.values.get(&key) {
                Some(value) => store::Reply::Found { index: 1, value: value.clone() },
                None => store::Reply::Missing,
            },
            store::Request::Write { key, value, .. } => {
                if self.values.contains_key(&key) {
                    return store::Reply::Conflict;
                }
                self.values.insert(key, value);
                store::Reply::Written
            }
        }
    }

    fn reply(
        &mut self,
        at: usize,
        call: ids::CallId,
        reply: store::Reply,
    ) -> Vec<log_writer::Done> {
        self.writers[at].reply(call, reply, 0, &mut self.rng)
    }

    /// One call that works.
    fn call(&mut self, at: usize) -> Vec<log_writer::Done> {
        let (call, request) = self.start(at);
        let reply = self.apply(request);
        self.reply(at, call, reply)
    }

    /// Calls until something is done.
    fn finish(&mut self, at: usize) -> Vec<log_writer::Done> {
        for _ in 0..20 {
            let done = self.call(at);
            if !done.is_empty() {
                return done;
            }
        }
        panic!("nothing became durable");
    }
}

fn verdict(done: &[log_writer::Done]) -> Option<log_index::Verdict> {
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
    assert_eq!(verdict(&bench.finish(1)), Some(log_index::Verdict::Granted));
    assert_eq!(verdict(&bench.finish(0)), Some(log_index::Verdict::Taken));
}

#[test]
fn a_segment_whose_reply_was_lost_is_recognised_as_ones_own() {
    let mut bench = Bench::new(1);
    bench.append(0, log_index::Entry::Claim(claim(1)));
    bench.call(0);
    let (call, request) = bench.start(0);
    bench.apply(request);
    assert!(bench.reply(0, call, store::Reply::Unknown).is_empty());
    assert_eq!(verdict(&bench.finish(0)), Some(log_index::Verdict::Granted));
    assert_eq!(bench.values.len(), 1);
}

#[test]
fn a_write_that_never_arrived_is_made_again() {
    let mut bench = Bench::new(1);
    bench.append(0, log_index::Entry::Claim(claim(1)));
    bench.call(0);
    let (call, _) = bench.start(0);
    assert!(bench.reply(0, call, store::Reply::Unknown).is_empty());
    assert_eq!(verdict(&bench.finish(0)), Some(log_index::Verdict::Granted));
}

#[test]
fn a_claim_that_was_given_up_is_void_even_if_it_arrives_later() {
    let mut index = log_index::Index::default();
    index.apply(&log_index::Entry::Release { key: KEY, attempt: ids::AttemptId(1) });
    index.apply(&log_index::Entry::Claim(claim(1)));
    index.apply(&log_index::Entry::Claim(claim(2)));
    assert_eq!(index.verdict(&claim(2)), Some(log_index::Verdict::Granted));
}

#[test]
fn of_two_claims_in_the_log_the_first_one_holds() {
    let mut index = log_index::Index::default();
    index.apply(&log_index::Entry::Claim(claim(1)));
    index.apply(&log_index::Entry::Claim(claim(2)));
    assert_eq!(index.verdict(&claim(1)), Some(log_index::Verdict::Granted));
    assert_eq!(index.verdict(&claim(2)), Some(log_index::Verdict::Taken));
}

#[test]
fn a_release_does_not_void_anothers_claim() {
    let mut index = log_index::Index::default();
    index.apply(&log_index::Entry::Claim(claim(1)));
    index.apply(&log_index::Entry::Release { key: KEY, attempt: ids::AttemptId(2) });
    assert_eq!(index.verdict(&claim(3)), Some(log_index::Verdict::Taken));
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
    assert_eq!(verdict(&bench.finish(1)), Some(log_index::Verdict::Done(None)));
}

#[test]
fn another_body_under_the_same_id_is_a_conflict() {
    let mut index = log_index::Index::default();
    index.apply(&log_index::Entry::Claim(claim(1)));
    let other = log_index::Claim { body_hash: 2, ..claim(2) };
    assert_eq!(index.verdict(&other), Some(log_index::Verdict::Conflict));
    index.apply(&log_index::Entry::Settle(settlement(1, 5)));
    assert_eq!(index.verdict(&other), Some(log_index::Verdict::Conflict));
}
