//! Servers that send late copies of their answers, and clients that send requests to them through all routers. The clients
//! send some of the ids that were refused again, over the same router, so that copies of a refusal may meet the same id.

use crate::{fleet, observe, prober, servers};
use doorswitch_standins::{late_copies, store, wire};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use std::{fmt, thread};

/// The number of servers.
const SERVERS: usize = 2;
/// The probabilities of what the servers do.
const ODDS: late_copies::Odds = late_copies::Odds {
    refuses: 0.4,
    copies_answer_of_id: 0.5,
    copies_before_answer: 0.03,
    copies_after_answer: 0.05,
};
/// The time between two requests of the client of one router.
const SEND_INTERVAL: Duration = Duration::from_millis(100);
/// The time after which a request counts as unanswered if nothing arrives.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The probability that a client sends an id that was refused again.
const SENT_AGAIN: f64 = 0.25;
/// The time until it does, in milliseconds.
const SEND_AGAIN_DELAY_MS: std::ops::Range<u64> = 0..30;
/// Statuses that promise that the request has not run and will not run.
const REFUSALS: [u16; 4] = [408, 421, 429, 503];
/// When the first server started, in Unix milliseconds.
const FIRST_START_MS: u64 = 1_801_000_000_000;

/// The results of the clients.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// The number of requests, and how many of them were sent more than once.
    pub requests: (usize, usize),
    /// The number of sends by status of their answers; 0 stands for no answer.
    pub statuses: BTreeMap<u16, usize>,
    /// The number of complete answers with status 2xx.
    pub served: usize,
    /// The copies that the servers sent.
    pub copies: late_copies::Copies,
    /// The number of requests that ran although they were refused, that ran too often, and whose answer was wrong.
    pub violations: (usize, usize, usize),
}

impl fmt::Display for Summary {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (requests, sent_again) = self.requests;
        let (refused_executed, executed_twice, wrong) = self.violations;
        let late_copies::Copies { of_id, before_answer, after_answer } = self.copies;
        write!(
            out,
            "copied={requests} copied_served={} copied_sent_again={sent_again} copied_answers={:?} \
             copies_of_id={of_id} copies_before={before_answer} copies_after={after_answer} \
             refused_executed={refused_executed} executed_twice={executed_twice} wrong_answers={wrong}",
            self.served, self.statuses
        )
    }
}

/// The kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Call,
    RepeatableCall,
    Stream,
}

impl Kind {
    fn random(rng: &mut StdRng) -> Self {
        match rng.random_range(0..4) {
            0 => Self::RepeatableCall,
            1 => Self::Stream,
            _ => Self::Call,
        }
    }

    fn path(self) -> &'static str {
        match self {
            Self::Call => fleet::LATE_COPIES_CALLS_PATH,
            Self::RepeatableCall => fleet::LATE_COPIES_REPEATABLE_PATH,
            Self::Stream => fleet::LATE_COPIES_STREAMS_PATH,
        }
    }
}

/// The answer to one send of a request.
#[derive(Clone, Debug)]
struct Answer {
    status: Option<u16>,
    content: Content,
}

/// The content of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Content {
    /// The body of a complete answer, or the data that the events of a stream have in common.
    Known {
        text: String,
        /// Whether the answer arrived whole; a stream may have broken off after an event.
        complete: bool,
    },
    /// No answer, or one that broke off before its content was known.
    Unknown,
    /// Events with different data or out of order, or a complete stream without some of them.
    Mixed,
}

impl Answer {
    fn parse(received: &str, kind: Kind) -> Self {
        let status = received.split(' ').nth(1).and_then(|status| status.parse().ok());
        let content = match kind {
            Kind::Call | Kind::RepeatableCall => body(received),
            Kind::Stream => data(received),
        };
        Self { status, content }
    }

    fn is_refusal(&self) -> bool {
        self.status.is_some_and(|status| REFUSALS.contains(&status))
    }

    fn is_success(&self) -> bool {
        self.status.is_some_and(|status| (200..300).contains(&status))
    }
}

/// The content of the answer to a call, which is complete if its length is that of the head.
fn body(received: &str) -> Content {
    let Some((head, body)) = received.split_once("\r\n\r\n") else { return Content::Unknown };
    let headers = head.lines().filter_map(|line| line.split_once(':'));
    let mut lengths = headers.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length = lengths.next().and_then(|(_, value)| value.trim().parse().ok());
    match length == Some(body.len()) {
        true => Content::Known { text: body.to_owned(), complete: true },
        false => Content::Unknown,
    }
}

/// The content of a stream.
fn data(received: &str) -> Content {
    let events: Vec<wire::Event> = wire::events(received).collect();
    let Some(first) = events.first() else { return Content::Unknown };
    let in_order = events.iter().zip(1..).all(|(event, number)| event.number == number);
    let complete = received.ends_with("\r\n0\r\n\r\n");
    let all = events.len() as u64 == late_copies::EVENTS;
    match in_order && events.iter().all(|event| event.data == first.data) && (all || !complete) {
        true => Content::Known { text: first.data.clone(), complete },
        false => Content::Mixed,
    }
}

/// A request, with the answer to each time that it was sent. All but the last are refusals.
struct Request {
    id: String,
    kind: Kind,
    router: usize,
    sent: Instant,
    answers: Vec<Answer>,
}

impl Request {
    /// The guarantee that does not hold for the request, which ran `executions` times.
    fn violation(&self, executions: usize) -> Option<observe::ViolationKind> {
        let last = self.answers.last()?;
        if last.is_refusal() && executions > 0 {
            return Some(observe::ViolationKind::RefusedButExecuted);
        }
        if self.kind != Kind::RepeatableCall && executions > 1 {
            return Some(observe::ViolationKind::ExecutedTwice);
        }
        let own = |text: &str| {
            (0..executions).any(|number| late_copies::content(&self.id, number) == text)
        };
        let is_wrong = match &last.content {
            Content::Known { text, .. } => !own(text),
            Content::Unknown => false,
            Content::Mixed => true,
        };
        (last.is_success() && is_wrong).then_some(observe::ViolationKind::WrongAnswer)
    }
}

/// Starts the servers and the clients.
pub fn start(
    store: &store::Store,
    routers: Vec<SocketAddr>,
    shared: Arc<prober::Shared>,
    seed: u64,
) -> Result<thread::JoinHandle<Summary>, fleet::Error> {
    let copying = late_copies::LateCopies::new(seed, ODDS, fleet::LATE_COPIES_STREAMS_PATH);
    let mut backends = Vec::new();
    for index in 0..SERVERS {
        let backend = servers::start(copying.script())?;
        let name = format!("i-copying-{index}");
        let started_ms = FIRST_START_MS + index as u64;
        servers::record(store, fleet::LATE_COPIES_SERVICE, &name, &backend, started_ms);
        backends.push(backend);
    }
    Ok(thread::spawn(move || {
        let requests = send_until_end(&routers, &shared, seed);
        let summary = check(&requests, &copying, &shared);
        drop(backends);
        summary
    }))
}

/// Sends requests through each router until the run ends.
fn send_until_end(routers: &[SocketAddr], shared: &prober::Shared, seed: u64) -> Vec<Request> {
    thread::scope(|scope| {
        let client = |(router, address): (usize, &SocketAddr)| {
            let rng = StdRng::seed_from_u64(seed ^ 0xc0b1 ^ (router as u64) << 32);
            let client = Client { router, address: *address, shared, rng };
            scope.spawn(move || client.run())
        };
        let clients: Vec<_> = routers.iter().enumerate().map(client).collect();
        clients.into_iter().flat_map(|client| client.join().unwrap_or_default()).collect()
    })
}

/// Checks all requests, also for executions after their answers.
fn check(
    requests: &[Request],
    copying: &late_copies::LateCopies,
    shared: &prober::Shared,
) -> Summary {
    let mut summary = Summary { copies: copying.copies(), ..Summary::default() };
    for request in requests {
        summary.requests.0 += 1;
        summary.requests.1 += usize::from(request.answers.len() > 1);
        for answer in &request.answers {
            *summary.statuses.entry(answer.status.unwrap_or(0)).or_default() += 1;
            let complete = matches!(&answer.content, Content::Known { complete: true, .. });
            summary.served += usize::from(answer.is_success() && complete);
        }
        let executions = copying.executions(&request.id).len();
        let Some(kind) = request.violation(executions) else { continue };
        let (refused_executed, executed_twice, wrong) = &mut summary.violations;
        match kind {
            observe::ViolationKind::RefusedButExecuted => *refused_executed += 1,
            observe::ViolationKind::ExecutedTwice => *executed_twice += 1,
            _ => *wrong += 1,
        }
        let statuses: Vec<u16> =
            request.answers.iter().map(|answer| answer.status.unwrap_or(0)).collect();
        eprintln!(
            "event=soak_request_broken kind={kind} id={} router={} statuses={statuses:?} executions={executions}",
            request.id, request.router
        );
        shared.observations().record_violation(kind, request.router, request.sent);
    }
    summary
}

/// The client of one router.
struct Client<'a> {
    router: usize,
    address: SocketAddr,
    shared: &'a prober::Shared,
    rng: StdRng,
}

impl Client<'_> {
    fn run(mut self) -> Vec<Request> {
        let mut requests = Vec::new();
        while !self.shared.ended() {
            let sent = Instant::now();
            requests.push(self.request(requests.len(), sent));
            thread::sleep(SEND_INTERVAL.saturating_sub(sent.elapsed()));
        }
        requests
    }

    /// Sends a request, and some of those that are refused again.
    fn request(&mut self, number: usize, sent: Instant) -> Request {
        let (id, kind) = (format!("copied-{}-{number}", self.router), Kind::random(&mut self.rng));
        let mut answers = vec![self.send(&id, kind)];
        while answers.last().is_some_and(Answer::is_refusal) && self.rng.random_bool(SENT_AGAIN) {
            let delay_ms = self.rng.random_range(SEND_AGAIN_DELAY_MS);
            thread::sleep(Duration::from_millis(delay_ms));
            answers.push(self.send(&id, kind));
        }
        Request { id, kind, router: self.router, sent, answers }
    }

    fn send(&self, id: &str, kind: Kind) -> Answer {
        let path = format!("{}x", kind.path());
        let host = fleet::HOST;
        let received = wire::get_stream(self.address, host, &path, id, None, SILENCE_TIMEOUT);
        Answer::parse(&received, kind)
    }
}
