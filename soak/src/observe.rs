//! Records faults and acknowledged configurations, and checks answers against the guarantees that hold at the time.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::time::{Duration, Instant};

/// The time after its acknowledgement within which a configuration is in force on every connected router.
const CONFIGURATION_DEADLINE: Duration = Duration::from_millis(2_000);
/// A router counts as connected when it has had no fault for this time.
const RECONNECTION_TIME: Duration = Duration::from_millis(3_000);
/// The time after its last fault within which a router serves requests.
const SERVING_DEADLINE: Duration = Duration::from_millis(8_000);

/// An answer that a prober received, or the lack of one.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The router that was asked.
    pub router: usize,
    /// The configuration version whose route was requested.
    pub version: u64,
    /// When the request was sent.
    pub sent: Instant,
    /// When the answer was received, or no longer awaited.
    pub received: Instant,
    /// The status; `None` if there was no answer.
    pub status: Option<u16>,
    /// The number of the server incarnation that answered.
    pub server_incarnation: Option<usize>,
}

/// The kind of a violation. Reports are sorted by the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ViolationKind {
    /// A configuration was not in force in time.
    ConfigurationStale,
    /// A router process served a configuration version and later an older one.
    ConfigurationReverted,
    /// A router did not serve requests although it had had no fault for long enough.
    RouterUnready,
    /// A server incarnation that had ended, or had announced that it is leaving, received a request.
    RequestToEndedServer,
    /// A poison request reached a server long after it had crashed several.
    PoisonRequestSent,
    /// A request that crashes no server was quarantined.
    HarmlessRequestQuarantined,
    /// A server received more requests from all routers together than its limit allows.
    LimitExceeded,
    /// A request was refused because no server was available, although one server accepted all requests.
    RefusedWithFreeServer,
    /// A request reached a server long after its router had received and passed on that the server is leaving.
    SentToLeavingServer,
    /// Requests of a router reached a server that had requested a backoff from this router.
    SentDuringBackoff,
    /// A stream holds events of servers of two software versions.
    StreamOfTwoVersions,
    /// A request ran although its client was told that it had not.
    RefusedButExecuted,
    /// A request that must run at most once ran more often.
    ExecutedTwice,
    /// A complete answer holds something else than what a server answered to this request.
    WrongAnswer,
}

impl ViolationKind {
    /// The text in the output of a run.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ConfigurationStale => "Stale",
            Self::ConfigurationReverted => "Reverted",
            Self::RouterUnready => "Unready",
            Self::RequestToEndedServer => "EarlierLife",
            Self::PoisonRequestSent => "PoisonSent",
            Self::HarmlessRequestQuarantined => "InnocentKept",
            Self::LimitExceeded => "LimitExceeded",
            Self::RefusedWithFreeServer => "RefusedBesideFree",
            Self::SentToLeavingServer => "SentToLeaving",
            Self::SentDuringBackoff => "SentInBackoff",
            Self::StreamOfTwoVersions => "StreamOfTwoVersions",
            Self::RefusedButExecuted => "RefusedButExecuted",
            Self::ExecutedTwice => "ExecutedTwice",
            Self::WrongAnswer => "WrongAnswer",
        }
    }
}

impl fmt::Display for ViolationKind {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.as_str())
    }
}

/// A violation of a guarantee, with the answer that shows it.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The kind of the violation.
    pub kind: ViolationKind,
    /// The answer that shows the violation.
    pub answer: Answer,
    /// The time from the acknowledgement of the configuration to the request.
    pub after_ack: Duration,
    /// The time from the last fault of the router to the request.
    pub after_fault: Duration,
}

/// The observations of a run so far.
#[derive(Debug)]
pub struct Observations {
    /// For each router, the number of faults under way and when a fault last began or ended.
    faults: Vec<(u32, Instant)>,
    /// The newest configuration version that each router's current process has served.
    newest_served: Vec<u64>,
    /// How often each router's process was restarted.
    restarts: Vec<u64>,
    acknowledged: HashMap<u64, Instant>,
    /// When each server incarnation ended or announced that it is leaving; it must receive no new requests afterwards.
    ended_servers: HashMap<usize, Instant>,
    /// When servers started again without leaving before, and the routers that have failed a probe because of it.
    server_restarts: Vec<(Instant, HashSet<usize>)>,
    newest_acknowledged: u64,
    /// The number of probes by status of their answers; 0 for no answer.
    statuses: HashMap<u16, u64>,
    violations: Vec<Violation>,
}

impl Observations {
    /// Creates the observations of a run whose routers all start now.
    pub fn new(routers: usize) -> Self {
        Self {
            faults: vec![(0, Instant::now()); routers],
            newest_served: vec![0; routers],
            restarts: vec![0; routers],
            acknowledged: HashMap::new(),
            ended_servers: HashMap::new(),
            server_restarts: Vec::new(),
            newest_acknowledged: 0,
            statuses: HashMap::new(),
            violations: Vec::new(),
        }
    }

    /// Records that the store has acknowledged a configuration version.
    pub fn acknowledge(&mut self, version: u64) {
        self.acknowledged.insert(version, Instant::now());
        self.newest_acknowledged = version;
    }

    /// Records that the store has acknowledged that a server incarnation has ended or is leaving.
    pub fn end_server_incarnation(&mut self, incarnation: usize) {
        self.ended_servers.entry(incarnation).or_insert_with(Instant::now);
    }

    /// Records that a server starts again from `at` on, without leaving before.
    pub fn record_server_restart(&mut self, at: Instant) {
        self.server_restarts.push((at, HashSet::new()));
    }

    /// Whether a probe failed because it was open when its router read that a server had started again. The router ends
    /// the connections to the earlier incarnation then, and a prober has one request open at a time.
    fn fails_by_restart(&mut self, answer: &Answer) -> bool {
        if answer.status != Some(502) {
            return false;
        }
        let open = |at: Instant| answer.received > at && answer.sent < at + CONFIGURATION_DEADLINE;
        let mut restarts = self.server_restarts.iter_mut().filter(|(at, _)| open(*at));
        restarts.any(|(_, failed)| failed.insert(answer.router))
    }

    /// The newest configuration version that was acknowledged; 0 before the first.
    pub fn newest_acknowledged(&self) -> u64 {
        self.newest_acknowledged
    }

    /// Records that a fault of a router begins.
    pub fn begin_fault(&mut self, router: usize) {
        self.faults[router].0 += 1;
        self.faults[router].1 = Instant::now();
    }

    /// Records that a fault of a router ends.
    pub fn end_fault(&mut self, router: usize) {
        self.faults[router].0 = self.faults[router].0.saturating_sub(1);
        self.faults[router].1 = Instant::now();
    }

    /// Records that a router's process was restarted.
    pub fn router_restarted(&mut self, router: usize) {
        self.newest_served[router] = 0;
        self.restarts[router] += 1;
    }

    /// How often a router's process was restarted.
    pub fn restarts(&self, router: usize) -> u64 {
        self.restarts[router]
    }

    /// Whether a router has been without faults for long enough that its guarantees hold.
    pub fn is_connected(&self, router: usize) -> bool {
        let (active_faults, changed_at) = self.faults[router];
        active_faults == 0 && changed_at.elapsed() > RECONNECTION_TIME
    }

    /// Records a violation that another client has found.
    pub fn record_violation(&mut self, kind: ViolationKind, router: usize, sent: Instant) {
        let answer = Answer {
            router,
            version: self.newest_acknowledged,
            sent,
            received: Instant::now(),
            status: None,
            server_incarnation: None,
        };
        let (after_ack, after_fault) = (Duration::ZERO, self.faults[router].1.elapsed());
        self.violations.push(Violation { kind, answer, after_ack, after_fault });
    }

    /// Counts an answer and checks it against the guarantees.
    pub fn check_answer(&mut self, answer: Answer) {
        *self.statuses.entry(answer.status.unwrap_or(0)).or_default() += 1;
        let (active_faults, changed_at) = self.faults[answer.router];
        let after_fault = answer.sent.saturating_duration_since(changed_at);
        let after_ack = match self.acknowledged.get(&answer.version) {
            Some(acknowledged) => answer.sent.saturating_duration_since(*acknowledged),
            None => Duration::ZERO,
        };
        let connected = active_faults == 0 && after_fault > RECONNECTION_TIME;
        let newest_served = self.newest_served[answer.router];
        let ended =
            answer.server_incarnation.and_then(|incarnation| self.ended_servers.get(&incarnation));
        let long_ended = ended.is_some_and(|ended| {
            answer.sent.saturating_duration_since(*ended) > CONFIGURATION_DEADLINE
        });
        let kind = match answer.status {
            Some(200) if connected && long_ended => Some(ViolationKind::RequestToEndedServer),
            Some(404) if newest_served >= answer.version => {
                Some(ViolationKind::ConfigurationReverted)
            }
            Some(404) if connected && after_ack > CONFIGURATION_DEADLINE => {
                Some(ViolationKind::ConfigurationStale)
            }
            Some(200 | 404) => None,
            _ if active_faults == 0 && after_fault > SERVING_DEADLINE => {
                (!self.fails_by_restart(&answer)).then_some(ViolationKind::RouterUnready)
            }
            _ => None,
        };
        if answer.status == Some(200) {
            self.newest_served[answer.router] = newest_served.max(answer.version);
        }
        if let Some(kind) = kind {
            self.violations.push(Violation { kind, answer, after_ack, after_fault });
        }
    }

    /// All violations that were recorded so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// The number of probes by status of their answers, in order of the statuses; 0 stands for no answer.
    pub fn statuses(&self) -> Vec<(u16, u64)> {
        let mut statuses: Vec<(u16, u64)> = self.statuses.iter().map(|(k, v)| (*k, *v)).collect();
        statuses.sort_unstable();
        statuses
    }
}
