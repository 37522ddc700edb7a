//! Scripted servers that send late copies of their answers: in the place where the next answer on the connection is due, or
//! while the connection is idle. If a connection carries an id again, the copy may be of the earlier answer to this id.

use crate::backend::{self, ReceivedRequest, Step};
use crate::wire;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The number of events of a stream.
pub const EVENTS: u64 = 3;
const EVENT_INTERVAL: Duration = Duration::from_millis(4);
/// How long a server runs a call, in milliseconds.
const WORK_MS: std::ops::RangeInclusive<u64> = 0..=20;
/// The time from a copy to the answer that is due there, in milliseconds.
const ANSWER_DELAY_MS: std::ops::RangeInclusive<u64> = 0..=30;
/// The time from an answer to a copy on the idle connection, in milliseconds.
const IDLE_COPY_DELAY_MS: std::ops::RangeInclusive<u64> = 1..=20;
/// The number of answers of each connection that a server remembers.
const REMEMBERED_MAX: usize = 16;
/// Status lines and headers by which a server states that it did not run a request.
const REFUSALS: [(&str, &str); 3] = [
    ("503 Busy", "Not-Executed: full\r\n"),
    ("429 Too Many Requests", "Not-Executed: limit\r\n"),
    ("421 Misdirected Request", ""),
];

/// The probabilities of what a server does, each from 0 to 1.
#[derive(Clone, Copy, Debug)]
pub struct Odds {
    /// It refuses a request.
    pub refuses: f64,
    /// It sends a copy of the earlier answer to a request before the answer, if the connection carries its id again.
    pub copies_answer_of_id: f64,
    /// It sends a copy of another earlier answer before the answer.
    pub copies_before_answer: f64,
    /// It sends a copy of an earlier answer shortly after the answer.
    pub copies_after_answer: f64,
}

/// The number of copies that servers sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Copies {
    /// Of an answer to the same id, before the answer to it.
    pub of_id: usize,
    /// Of an answer to another id, before an answer.
    pub before_answer: usize,
    /// After an answer.
    pub after_answer: usize,
}

#[derive(Debug, Default)]
struct State {
    /// When requests began to run, by their ids.
    executions: HashMap<String, Vec<Instant>>,
    /// How often each id was received.
    arrivals: HashMap<String, u64>,
    copies: Copies,
}

/// Servers that send late copies. What they do with a request depends on the seed, its id and how often the id was received,
/// but not on other requests.
#[derive(Clone, Debug)]
pub struct LateCopies {
    seed: u64,
    odds: Odds,
    /// The paths of requests that are answered by streams of events begin with this.
    streams_path: &'static str,
    state: Arc<Mutex<State>>,
}

/// An answer that was sent on a connection.
#[derive(Clone, Debug)]
struct Answer {
    id: String,
    text: String,
}

/// What all executions of a request answer: the body of a call, or the data of each event of a stream. `number` counts the
/// executions of the id from 0.
pub fn content(id: &str, number: usize) -> String {
    format!("{id} execution {number}")
}

impl LateCopies {
    /// Servers without a request so far.
    pub fn new(seed: u64, odds: Odds, streams_path: &'static str) -> Self {
        Self { seed, odds, streams_path, state: Arc::default() }
    }

    /// The script of one server.
    pub fn script(&self) -> backend::Script {
        let servers = self.clone();
        let mut answers: HashMap<usize, Vec<Answer>> = HashMap::new();
        Box::new(move |_, request| {
            let Some(id) = request.id() else {
                return vec![backend::response("404 Not Found", "")];
            };
            let mut rng = servers.next_rng(id);
            let earlier = answers.entry(request.connection).or_default();
            let before = servers.copy_before(earlier, id, &mut rng);
            let own = servers.answer(request, id, &mut rng);
            if earlier.len() == REMEMBERED_MAX {
                earlier.remove(0);
            }
            earlier.push(Answer { id: id.to_owned(), text: whole_text(&own) });
            let after = servers.copy_after(earlier, &mut rng);
            [before, own, after].concat()
        })
    }

    /// When requests with this id began to run, in order.
    pub fn executions(&self, id: &str) -> Vec<Instant> {
        self.lock().executions.get(id).cloned().unwrap_or_default()
    }

    /// The number of copies sent so far.
    pub fn copies(&self) -> Copies {
        self.lock().copies
    }

    /// The generator for the next request with this id.
    fn next_rng(&self, id: &str) -> StdRng {
        let mut state = self.lock();
        let arrivals = state.arrivals.entry(id.to_owned()).or_default();
        *arrivals += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, id, *arrivals).hash(&mut hasher);
        StdRng::seed_from_u64(hasher.finish())
    }

    fn copy_before(&self, earlier: &[Answer], id: &str, rng: &mut StdRng) -> Vec<Step> {
        let of_id = earlier.iter().rev().find(|answer| answer.id == id);
        let copied = match of_id {
            Some(answer) => rng.random_bool(self.odds.copies_answer_of_id).then_some(answer),
            None if rng.random_bool(self.odds.copies_before_answer) => earlier.choose(rng),
            None => None,
        };
        let Some(copied) = copied else { return Vec::new() };
        let copies = &mut self.lock().copies;
        match of_id {
            Some(_) => copies.of_id += 1,
            None => copies.before_answer += 1,
        }
        vec![Step::Write(copied.text.clone()), Step::Pause(random_time(rng, ANSWER_DELAY_MS))]
    }

    fn copy_after(&self, earlier: &[Answer], rng: &mut StdRng) -> Vec<Step> {
        if !rng.random_bool(self.odds.copies_after_answer) {
            return Vec::new();
        }
        let Some(copied) = earlier.choose(rng) else { return Vec::new() };
        self.lock().copies.after_answer += 1;
        let delay = random_time(rng, IDLE_COPY_DELAY_MS);
        vec![Step::Pause(delay), Step::Write(copied.text.clone())]
    }

    /// Refuses a request, or runs it and records that.
    fn answer(&self, request: &ReceivedRequest, id: &str, rng: &mut StdRng) -> Vec<Step> {
        if rng.random_bool(self.odds.refuses) {
            let (status, lines) = REFUSALS.choose(rng).copied().unwrap_or(REFUSALS[0]);
            return vec![with_id(backend::response_with_headers(status, lines, ""), id)];
        }
        let number = {
            let mut state = self.lock();
            let executions = state.executions.entry(id.to_owned()).or_default();
            executions.push(Instant::now());
            executions.len() - 1
        };
        let content = content(id, number);
        let path = request.line.split(' ').nth(1).unwrap_or_default();
        match path.starts_with(self.streams_path) {
            true => stream(id, &content),
            false => {
                let answer = with_id(backend::response("200 OK", &content), id);
                vec![Step::Pause(random_time(rng, WORK_MS)), answer]
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn random_time(rng: &mut StdRng, range_ms: std::ops::RangeInclusive<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range_ms))
}

/// A stream of events in chunks.
fn stream(id: &str, content: &str) -> Vec<Step> {
    let head = with_id(Step::Write(wire::STREAM_HEAD.to_owned()), id);
    let events = (1..=EVENTS).flat_map(|number| {
        let event = format!("id: {number}\ndata: {content}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        [Step::Pause(EVENT_INTERVAL), Step::Write(chunk)]
    });
    let end = Step::Write("0\r\n\r\n".to_owned());
    [head].into_iter().chain(events).chain([end]).collect()
}

/// Fills in the id of the request, as a copy may be written in answer to another one.
fn with_id(step: Step, id: &str) -> Step {
    match step {
        Step::Write(text) => Step::Write(text.replace("{id}", id)),
        step => step,
    }
}

fn whole_text(steps: &[Step]) -> String {
    let written = |step: &Step| match step {
        Step::Write(text) => Some(text.clone()),
        _ => None,
    };
    steps.iter().filter_map(written).collect()
}
