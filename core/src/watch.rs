//! When a router asks the platform's store for news itself, and how old its knowledge is.
//!
//! In a small fleet every router watches the store. In a larger one a few watch, by rendezvous rank, and the
//! others hear the news, and how old it is, from peers. A router whose knowledge gets too old asks the store
//! itself, at a moment drawn at random, so that the whole fleet makes a bounded number of such calls a second.

mod calls;
mod copy;
mod news;
mod watchers;

pub use calls::{Evidence, Fleet, Flight, GivenUp, OpenCall};
pub use news::{AllServers, ConfigurationNews, News, Outcome, ServerChange, ServerRecord};
pub use watchers::{WATCHERS, watchers};

use crate::{backoff, store};
use rand::RngExt;
use rand::rngs;
use serde::{Deserialize, Serialize};

/// Up to so many routers each one watches: two that watch with short waits for all would make as many
/// calls (docs/DESIGN.md, "Who asks the store").
pub const ALL_WATCH_MAX: usize = 12;
/// How long a call waits for news where every router watches: the longer, the fewer calls.
const ALL_WATCH_WAIT_MS: u64 = 25_000;
/// Where every router watches, knowledge that is older than this part of the bound is overdue, in percent: whoever
/// hears of no news may have a call that is never answered. Together with [`OVERDUE_WINDOW_PERCENT`] it leaves the
/// rest of the bound for the answer and its way to the others.
const ALL_WATCH_OVERDUE_PERCENT: u64 = 60;
/// By then the others know what the first in rank has learned: its call, and two steps from router to router.
const TURN_MS: u64 = 80;
/// A call that others' newer news show to be unanswered is given up after this long: its answer may be on its way.
const ANSWER_GRACE_MS: u64 = 500;
/// A watcher's call waits for this part of the bound, in percent: each answer is the proof that the others are
/// up to date.
const WAIT_PERCENT: u64 = 25;
/// Knowledge that is older than this part of the bound is overdue, in percent: two proofs failed to come.
const OVERDUE_PERCENT: u64 = 50;
/// A call that only has to prove that nothing is new waits this long.
const PROOF_WAIT_MS: u64 = 10;
/// Calls a second that all routers together make while such calls fail, so that an outage costs no more than
/// this. The first ones of a large fleet come sooner.
const OVERDUE_CALLS_PER_S: u64 = 12;
/// The moment of such a call lies within this part of the bound, in percent, however large the fleet is: the others
/// may be out of touch, and then nobody tells this router what it waits for.
const OVERDUE_WINDOW_PERCENT: u64 = 25;
/// Pauses after failures: refused calls cost the store as well.
const PAUSE_FIRST_MS: u64 = 250;
const PAUSE_LONGEST_MS: u64 = 1_000;

/// What is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Topic {
    /// What the operator writes: the configuration, and what is evacuated.
    Configuration,
    /// The list of backend servers.
    Servers,
}

impl Topic {
    /// The value of the label `topic` in metrics, and of the key `topic` in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "Configuration",
            Self::Servers => "Servers",
        }
    }
}

impl Topic {
    /// All of them.
    pub const ALL: [Self; 2] = [Self::Configuration, Self::Servers];
}

/// How soon news must be in force at every router that reaches the store or a peer, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Of the configuration.
    pub configuration_ms: u64,
    /// Of the list of servers.
    pub servers_ms: u64,
}

/// A router's part in following a topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Duty {
    /// It has just started and asks peers first.
    Joining,
    /// The fleet is small: every router watches.
    EveryRouter,
    /// It watches for the others.
    Watcher,
    /// It hears the news from peers.
    Listener,
}

impl Duty {
    /// The value of the key `duty` in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Joining => "Joining",
            Self::EveryRouter => "EveryRouter",
            Self::Watcher => "Watcher",
            Self::Listener => "Listener",
        }
    }
}

/// A call to the store that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// Tells it from the other calls for this topic.
    pub number: u64,
    /// What to ask for.
    pub topic: Topic,
    /// Request changes after this position; `None` requests the full state.
    pub after: Option<store::Position>,
    /// How long the store may wait for a change.
    pub wait_ms: u64,
}

/// One topic as one router follows it.
#[derive(Debug)]
pub struct Watch {
    topic: Topic,
    bound_ms: u64,
    /// The position that this router's copy stands for; [`store::Position::START`] if it has none.
    position: store::Position,
    /// At this time the copy held all that the store had.
    confirmed_ms: Option<u64>,
    /// The history since the copy's revision is gone: all is asked for next.
    forgotten: bool,
    /// The call that waits for news.
    waiting: Option<Flight>,
    /// A call beside it that proves that there are none.
    proving: Option<Flight>,
    calls: u64,
    /// News came that the waiting call should have brought: since when, and from where.
    overtaken: Option<(u64, Evidence)>,
    /// The last call had no answer: the next one may have none either, and must not wait for long.
    unanswered: bool,
    not_before_ms: u64,
    pause: backoff::Backoff,
    /// When the store said last that it does not serve, unless its state was known after that.
    refused_ms: Option<u64>,
    /// When a call last failed.
    failed_ms: Option<u64>,
    /// When this router asks because its knowledge is overdue.
    overdue_call_ms: Option<u64>,
}

impl Watch {
    /// A topic of which nothing is known yet.
    pub fn new(topic: Topic, bound_ms: u64) -> Self {
        Self {
            topic,
            bound_ms,
            position: store::Position::START,
            confirmed_ms: None,
            forgotten: false,
            waiting: None,
            proving: None,
            calls: 0,
            overtaken: None,
            unanswered: false,
            not_before_ms: 0,
            pause: backoff::Backoff::new(PAUSE_FIRST_MS, PAUSE_LONGEST_MS),
            refused_ms: None,
            failed_ms: None,
            overdue_call_ms: None,
        }
    }

    /// What is followed.
    pub fn topic(&self) -> Topic {
        self.topic
    }

    /// The position that the copy stands for; [`store::Position::START`] if there is none.
    pub fn position(&self) -> store::Position {
        self.position
    }

    /// How long ago the copy held all that the store had, in milliseconds; `None` if it never did.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.confirmed_ms.map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// When the copy was last known to be current or a call last failed, whichever is later; `None` if neither happened.
    /// A restore that is detected later is assumed to be later than that.
    pub fn last_current_or_failed_ms(&self) -> Option<u64> {
        self.confirmed_ms.max(self.failed_ms)
    }

    /// Knowledge that is older than this is overdue, in milliseconds.
    pub fn overdue_ms(&self) -> u64 {
        self.bound_ms * OVERDUE_PERCENT / 100
    }

    /// An improvement of the age by this much is worth passing on, in milliseconds.
    pub fn notable_ms(&self) -> u64 {
        self.bound_ms * WAIT_PERCENT / 200
    }

    /// The call to make now, if one is due.
    pub fn due(
        &mut self,
        duty: Duty,
        fleet: Fleet,
        now_ms: u64,
        rng: &mut rngs::StdRng,
    ) -> Option<Call> {
        let overdue = self.is_overdue_for(duty, now_ms);
        if !overdue {
            // A peer that is as late as this router may tell a slightly newer state again and again: only a state
            // that is new enough makes the call needless.
            self.overdue_call_ms = None;
        }
        if now_ms < self.not_before_ms {
            return None;
        }
        if let Some(waiting) = self.waiting {
            // A call that was made in a small fleet waits for long; it may never be answered, whatever the fleet is now.
            let long = duty == Duty::EveryRouter || waiting.wait_ms >= ALL_WATCH_WAIT_MS;
            let proves = long && overdue && self.proving.is_none();
            if !proves || !self.has_turn(fleet, now_ms) {
                return None;
            }
            let flight = self.start(PROOF_WAIT_MS, now_ms);
            self.proving = Some(flight);
            return Some(self.call(flight));
        }
        let wait_ms = match duty {
            Duty::Joining => return None,
            // The first answer after an outage is wanted at once: it tells what lapsed.
            Duty::EveryRouter if self.refused_ms.is_some() || self.unanswered => PROOF_WAIT_MS,
            Duty::EveryRouter => ALL_WATCH_WAIT_MS,
            Duty::Watcher if overdue => PROOF_WAIT_MS,
            Duty::Watcher => self.bound_ms * WAIT_PERCENT / 100,
            Duty::Listener
                if overdue && (fleet.alone || self.draws_call(fleet.routers, now_ms, rng)) =>
            {
                PROOF_WAIT_MS
            }
            Duty::Listener => return None,
        };
        let flight = self.start(wait_ms, now_ms);
        self.waiting = Some(flight);
        Some(self.call(flight))
    }

    fn start(&mut self, wait_ms: u64, now_ms: u64) -> Flight {
        self.calls += 1;
        let has_copy = self.position != store::Position::START && !self.forgotten;
        let after = has_copy.then_some(self.position);
        Flight { number: self.calls, sent_ms: now_ms, wait_ms, after }
    }

    fn call(&self, flight: Flight) -> Call {
        let Flight { number, wait_ms, after, .. } = flight;
        Call { number, topic: self.topic, after, wait_ms }
    }

    /// Starts a short call whose answer shows the store's era; `None` if such a call is already in flight.
    pub fn start_era_call(&mut self, now_ms: u64) -> Option<Call> {
        if self.proving.is_some() {
            return None;
        }
        let flight = self.start(PROOF_WAIT_MS, now_ms);
        self.proving = Some(flight);
        Some(self.call(flight))
    }

    /// The calls that wait for the store now.
    pub fn open_calls(&self, now_ms: u64) -> Vec<OpenCall> {
        let open = |flight: &Flight| OpenCall {
            number: flight.number,
            wait_ms: flight.wait_ms,
            sent_ms_ago: now_ms.saturating_sub(flight.sent_ms),
        };
        self.waiting.iter().chain(&self.proving).map(open).collect()
    }

    /// Takes the call with this number out of those in flight; `None` if it was given up before.
    pub fn ended(&mut self, number: u64) -> Option<Flight> {
        let ends = |flight: &mut Flight| flight.number == number;
        let waited = self.waiting.take_if(ends);
        if waited.is_some() {
            self.overtaken = None;
        }
        waited.or_else(|| self.proving.take_if(ends))
    }

    /// Notes that news came which the waiting call should have brought.
    pub fn overtake(&mut self, evidence: Evidence, now_ms: u64) {
        if self.waiting.is_some() {
            self.overtaken.get_or_insert((now_ms, evidence));
        }
    }

    /// Gives up the waiting call, if news came by other ways and its own answer did not come soon after.
    pub fn give_up(&mut self, now_ms: u64) -> Option<GivenUp> {
        let (_, evidence) =
            self.overtaken.take_if(|(since_ms, _)| now_ms >= *since_ms + ANSWER_GRACE_MS)?;
        let flight = self.waiting.take()?;
        self.unanswered = true;
        let waited_ms = now_ms.saturating_sub(flight.sent_ms);
        Some(GivenUp { number: flight.number, waited_ms, evidence })
    }

    /// Whether it is this router's turn to prove that there are no news: the first in rank proves it for all, the
    /// next ones follow if it does not.
    fn has_turn(&mut self, fleet: Fleet, now_ms: u64) -> bool {
        let window_ms = self.bound_ms * OVERDUE_WINDOW_PERCENT / 100;
        let turn_ms = TURN_MS.min(window_ms / fleet.routers.max(1));
        let at_ms = *self.overdue_call_ms.get_or_insert(now_ms + fleet.rank * turn_ms);
        now_ms >= at_ms
    }

    /// Whether the moment has come that was drawn for a call because of overdue knowledge.
    fn draws_call(&mut self, routers: u64, now_ms: u64, rng: &mut rngs::StdRng) -> bool {
        let fleet_ms = routers * 1_000 / OVERDUE_CALLS_PER_S;
        let window_ms = fleet_ms.min(self.bound_ms * OVERDUE_WINDOW_PERCENT / 100);
        let at_ms =
            *self.overdue_call_ms.get_or_insert_with(|| now_ms + rng.random_range(0..=window_ms));
        now_ms >= at_ms
    }

    /// Whether the store said to this router that it does not serve, and peers told no newer state meanwhile: records
    /// that are missing from its next answer may have lapsed only. Mere silence may be this router's own.
    pub fn was_refused(&self, duty: Duty, now_ms: u64) -> bool {
        // Where every router watches, calls wait long and peers tell little: knowledge is never young.
        self.refused_ms.is_some() && (duty == Duty::EveryRouter || self.is_overdue(now_ms))
    }

    /// Whether a peer's word that records lapsed may be so for this router as well: one that knew the store's state all
    /// the while saw them leave.
    pub fn missed_store(&self, duty: Duty, now_ms: u64) -> bool {
        match duty {
            Duty::EveryRouter | Duty::Joining => self.refused_ms.is_some(),
            Duty::Watcher | Duty::Listener => self.is_overdue(now_ms),
        }
    }

    fn is_overdue_for(&self, duty: Duty, now_ms: u64) -> bool {
        match duty {
            Duty::EveryRouter => {
                let overdue_ms = self.bound_ms * ALL_WATCH_OVERDUE_PERCENT / 100;
                self.age_ms(now_ms).is_none_or(|age_ms| age_ms >= overdue_ms)
            }
            _ => self.is_overdue(now_ms),
        }
    }

    fn is_overdue(&self, now_ms: u64) -> bool {
        self.age_ms(now_ms).is_none_or(|age_ms| age_ms >= self.overdue_ms())
    }
}
