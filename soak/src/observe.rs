//! What was harmed when, what was acknowledged when, and which answers that does not excuse.

use std::collections::HashMap;
use std::fmt;
use std::time::{Duration, Instant};

/// A configuration is in force everywhere this long after it was acknowledged.
const IN_FORCE: Duration = Duration::from_millis(2_000);
/// A router is bound by that when nothing harmed it for this long.
const IN_TOUCH: Duration = Duration::from_millis(3_000);
/// A router in touch serves this long after the last harm.
const SERVES: Duration = Duration::from_millis(8_000);

/// An answer that a prober got.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Which router gave it.
    pub router: usize,
    /// Which version's route was asked for.
    pub version: u64,
    /// When.
    pub sent: Instant,
    /// Its status; `None` if there was none.
    pub status: Option<u16>,
    /// The life of a server that gave it.
    pub life: Option<usize>,
}

/// A broken promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Broken {
    /// A configuration was not in force in time.
    Stale,
    /// A life of a router served by a version and later by an older one.
    Reverted,
    /// A router in touch did not serve.
    Unready,
    /// A life of a server that had ended, or had said that it leaves, got a request.
    EarlierLife,
    /// A request that crashes servers reached one, long after it had crashed the third.
    PoisonSent,
    /// A request that crashes none was kept from servers.
    InnocentKept,
    /// A server got more requests than it takes from all routers together.
    LimitExceeded,
    /// A request was refused for want of a server while one stood there that takes all.
    RefusedBesideFree,
    /// A request reached a server long after its router had passed on that this server leaves.
    SentToLeaving,
    /// Requests reached a server that had asked their router for none.
    SentInBackoff,
}

impl Broken {
    /// The text in the output of a run.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stale => "Stale",
            Self::Reverted => "Reverted",
            Self::Unready => "Unready",
            Self::EarlierLife => "EarlierLife",
            Self::PoisonSent => "PoisonSent",
            Self::InnocentKept => "InnocentKept",
            Self::LimitExceeded => "LimitExceeded",
            Self::RefusedBesideFree => "RefusedBesideFree",
            Self::SentToLeaving => "SentToLeaving",
            Self::SentInBackoff => "SentInBackoff",
        }
    }
}

impl fmt::Display for Broken {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.as_str())
    }
}

/// A broken promise, with the answer that shows it.
#[derive(Clone, Debug)]
pub struct Violation {
    /// What.
    pub broken: Broken,
    /// The answer.
    pub answer: Answer,
    /// How long after the acknowledgement it was sent.
    pub after_ack: Duration,
    /// How long after the last harm it was sent.
    pub after_harm: Duration,
}

/// What a run has seen so far.
#[derive(Debug)]
pub struct Record {
    /// When the last harm to each router ended; `None` while one lasts.
    harmed: Vec<(u32, Instant)>,
    /// The newest version that each router's present life has shown.
    shown: Vec<u64>,
    /// How often each router's process started anew.
    lives: Vec<u64>,
    acknowledged: HashMap<u64, Instant>,
    /// Since when a life of a server must get nothing new.
    ended: HashMap<usize, Instant>,
    newest: u64,
    /// Answers by status; 0 for none.
    statuses: HashMap<u16, u64>,
    violations: Vec<Violation>,
}

impl Record {
    /// Nothing has happened yet; all routers start now.
    pub fn new(routers: usize) -> Self {
        Self {
            harmed: vec![(0, Instant::now()); routers],
            shown: vec![0; routers],
            lives: vec![0; routers],
            acknowledged: HashMap::new(),
            ended: HashMap::new(),
            newest: 0,
            statuses: HashMap::new(),
            violations: Vec::new(),
        }
    }

    /// Notes that the store has acknowledged a version.
    pub fn acknowledge(&mut self, version: u64) {
        self.acknowledged.insert(version, Instant::now());
        self.newest = version;
    }

    /// Notes that the store has acknowledged that a life of a server ended or leaves.
    pub fn end_life(&mut self, life: usize) {
        self.ended.entry(life).or_insert_with(Instant::now);
    }

    /// The newest version that was acknowledged; 0 before the first.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Notes that a harm to a router begins.
    pub fn harm(&mut self, router: usize) {
        self.harmed[router].0 += 1;
        self.harmed[router].1 = Instant::now();
    }

    /// Notes that a harm to a router ends.
    pub fn heal(&mut self, router: usize) {
        self.harmed[router].0 = self.harmed[router].0.saturating_sub(1);
        self.harmed[router].1 = Instant::now();
    }

    /// Notes that a router's process started anew.
    pub fn restarted(&mut self, router: usize) {
        self.shown[router] = 0;
        self.lives[router] += 1;
    }

    /// How often a router's process started anew.
    pub fn life(&self, router: usize) -> u64 {
        self.lives[router]
    }

    /// Whether a router is bound by its promises now.
    pub fn in_touch(&self, router: usize) -> bool {
        let (harms, harmed) = self.harmed[router];
        harms == 0 && harmed.elapsed() > IN_TOUCH
    }

    /// Notes a promise that was broken by an answer which another judged.
    pub fn break_promise(&mut self, broken: Broken, router: usize, sent: Instant) {
        let answer = Answer { router, version: self.newest, sent, status: None, life: None };
        let (after_ack, after_harm) = (Duration::ZERO, self.harmed[router].1.elapsed());
        self.violations.push(Violation { broken, answer, after_ack, after_harm });
    }

    /// Judges an answer.
    pub fn take(&mut self, answer: Answer) {
        *self.statuses.entry(answer.status.unwrap_or(0)).or_default() += 1;
        let (harms, harmed) = self.harmed[answer.router];
        let after_harm = answer.sent.saturating_duration_since(harmed);
        let after_ack = match self.acknowledged.get(&answer.version) {
            Some(acknowledged) => answer.sent.saturating_duration_since(*acknowledged),
            None => Duration::ZERO,
        };
        let in_touch = harms == 0 && after_harm > IN_TOUCH;
        let shown = self.shown[answer.router];
        let ended = answer.life.and_then(|life| self.ended.get(&life));
        let long_ended =
            ended.is_some_and(|ended| answer.sent.saturating_duration_since(*ended) > IN_FORCE);
        let broken = match answer.status {
            Some(200) if in_touch && long_ended => Some(Broken::EarlierLife),
            Some(404) if shown >= answer.version => Some(Broken::Reverted),
            Some(404) if in_touch && after_ack > IN_FORCE => Some(Broken::Stale),
            Some(200 | 404) => None,
            _ if harms == 0 && after_harm > SERVES => Some(Broken::Unready),
            _ => None,
        };
        if answer.status == Some(200) {
            self.shown[answer.router] = shown.max(answer.version);
        }
        if let Some(broken) = broken {
            self.violations.push(Violation { broken, answer, after_ack, after_harm });
        }
    }

    /// What was broken.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Answers by status, in order; 0 stands for none.
    pub fn statuses(&self) -> Vec<(u16, u64)> {
        let mut statuses: Vec<(u16, u64)> = self.statuses.iter().map(|(k, v)| (*k, *v)).collect();
        statuses.sort_unstable();
        statuses
    }
}
