//! Decides when a router polls the platform's store for updates, and tracks the staleness of its copy.
//!
//! In a small fleet every router polls the store. In a larger one a few watchers, chosen by rendezvous rank, poll it,
//! and the others receive updates and the age of the copy from peers. A router whose copy is stale polls the store
//! itself after a random delay, so that the whole fleet makes a bounded number of such polls a second.

mod confirmation;
mod copy;
mod polls;
mod updates;
mod watchers;

pub use confirmation::{Confirmation, PeerClocks};
pub use polls::{AbandonedPoll, Evidence, Fleet, OpenPoll, PollInFlight};
pub use updates::{AllServers, ConfigurationUpdate, Outcome, ServerChange, ServerRecord, Update};
pub use watchers::{WATCHERS, watchers};

use crate::{backoff, ids, store};
use rand::RngExt;
use rand::rngs;
use serde::{Deserialize, Serialize};

/// The largest fleet in which every router polls the store. Up to this size, two watchers with short waits would make
/// as many calls (docs/DESIGN.md, "Who asks the store").
pub const EVERY_ROUTER_FLEET_MAX: usize = 12;
/// How long a poll waits for a change where every router polls: a longer wait means fewer calls.
const EVERY_ROUTER_WAIT_MS: u64 = 25_000;
/// The part of the bound after which a copy is stale where every router polls, in percent. A router that receives no
/// updates may have a poll that is never answered. Together with [`STALE_POLL_WINDOW_PERCENT`] this leaves the rest of
/// the bound for the answer and for passing it on to the other routers.
const EVERY_ROUTER_STALE_PERCENT: u64 = 60;
/// The delay between freshness checks of routers of successive ranks: enough for the check of the previous rank and
/// two gossip hops.
const RANK_STEP_MS: u64 = 80;
/// How long a superseded poll stays in flight before it is canceled, because its answer may be in transit.
const ANSWER_GRACE_MS: u64 = 500;
/// The part of the bound that a watcher's poll waits, in percent: each answer confirms to the other routers that their
/// copies are current.
const WATCHER_WAIT_PERCENT: u64 = 25;
/// The part of the bound after which a copy is stale, in percent: two confirmations are missing by then.
const STALE_PERCENT: u64 = 50;
/// How long a freshness check waits for a change.
const FRESHNESS_CHECK_WAIT_MS: u64 = 10;
/// The rate of polls because of stale copies that all routers together make while such polls fail, which bounds the
/// load on the store in an outage. The first polls of a large fleet are closer together.
const STALE_POLLS_PER_S: u64 = 12;
/// The part of the bound within which a router polls because of a stale copy, in percent, however large the fleet is:
/// if the other routers are unreachable, none of them passes on the awaited update.
const STALE_POLL_WINDOW_PERCENT: u64 = 25;
/// The delay before the first retry; retries are delayed because rejected calls load the store as well.
const RETRY_DELAY_FIRST_MS: u64 = 250;
/// The longest delay before a retry.
const RETRY_DELAY_MAX_MS: u64 = 1_000;

/// One of the two parts of the platform's store of which every router keeps a copy: what operators publish (the
/// configuration and the evacuations), or the list of backend servers. Each is polled separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Topic {
    /// What operators publish: the configuration and the evacuations.
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
    /// All topics, in their declared order.
    pub const ALL: [Self; 2] = [Self::Configuration, Self::Servers];
}

/// For each [`Topic`] (what operators publish, or the list of backend servers: the two parts of the platform's store
/// that routers keep copies of), the longest time from a change in the store until it is in force at every router that
/// reaches the store or another router, in milliseconds. It comes from the settings of the router's process and decides
/// how often routers poll the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// The bound for the configuration.
    pub configuration_ms: u64,
    /// The bound for the list of servers.
    pub servers_ms: u64,
}

/// How a router currently receives changes of the platform's store: it has just started, it polls the store for itself
/// or on behalf of all routers, or it receives the changes from other routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The router has just started and requests the state from peers first.
    Joining,
    /// The fleet is small: every router polls the store.
    EveryRouter,
    /// The router polls the store on behalf of the fleet.
    Watcher,
    /// The router receives updates from peers.
    Listener,
}

impl Role {
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

/// One request to the platform's store for the changes or the full state of a [`Topic`] (what operators publish, or the
/// list of backend servers), which the store answers when there is a change or after a maximum wait. The process around
/// [`crate::node::Node`], which does its input and output, sends the poll and reports its [`Outcome`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    /// Distinguishes the poll from the other polls of this topic.
    pub number: u64,
    /// The topic to poll.
    pub topic: Topic,
    /// Request changes after this position; `None` requests the full state.
    pub after: Option<store::Position>,
    /// How long the store may wait for a change, in milliseconds.
    pub wait_ms: u64,
}

/// One [`Topic`] (what operators publish, or the list of backend servers: the two parts of the platform's store that
/// routers keep copies of) as one router follows it: the position of its copy in the store's history, the copy's age,
/// and the polls in flight. A router has one for each topic; it decides when the next poll is sent.
#[derive(Debug)]
pub struct Subscription {
    router: ids::Incarnation,
    topic: Topic,
    bound_ms: u64,
    /// The position of this router's copy; [`store::Position::START`] if it has none.
    position: store::Position,
    /// The latest time at which the copy is known to have matched the store.
    confirmed_ms: Option<u64>,
    /// The poll that showed this; `None` if it is unknown, because a router of an older build stated it.
    confirmation: Option<Confirmation>,
    /// The store no longer has the history since the copy's revision, so the next poll requests the full state.
    needs_full_state: bool,
    /// The poll that waits for a change.
    long_poll: Option<PollInFlight>,
    /// A short poll beside it that checks that the copy is current.
    freshness_check: Option<PollInFlight>,
    polls_started: u64,
    /// Set once an update has arrived that the long poll should have returned: when, and what showed it.
    superseded: Option<(u64, Evidence)>,
    /// Whether the last poll failed or was abandoned: the next one may get no answer either, and must not wait for
    /// long.
    unanswered: bool,
    not_before_ms: u64,
    retry_backoff: backoff::Backoff,
    /// When the store last rejected a poll, unless its state was confirmed after that.
    last_rejected_ms: Option<u64>,
    /// When a poll last failed.
    last_failed_ms: Option<u64>,
    /// When this router is to poll because its copy is stale.
    stale_poll_ms: Option<u64>,
}

impl Subscription {
    /// Returns the state of a topic at `router`, without a copy.
    pub fn new(router: ids::Incarnation, topic: Topic, bound_ms: u64) -> Self {
        Self {
            router,
            topic,
            bound_ms,
            position: store::Position::START,
            confirmed_ms: None,
            confirmation: None,
            needs_full_state: false,
            long_poll: None,
            freshness_check: None,
            polls_started: 0,
            superseded: None,
            unanswered: false,
            not_before_ms: 0,
            retry_backoff: backoff::Backoff::new(RETRY_DELAY_FIRST_MS, RETRY_DELAY_MAX_MS),
            last_rejected_ms: None,
            last_failed_ms: None,
            stale_poll_ms: None,
        }
    }

    /// Returns the topic that is followed.
    pub fn topic(&self) -> Topic {
        self.topic
    }

    /// Returns the position of the copy; [`store::Position::START`] if there is none.
    pub fn position(&self) -> store::Position {
        self.position
    }

    /// Returns how long ago the copy was last known to match the store, in milliseconds; `None` if it never was.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.confirmed_ms.map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// Returns the poll that showed the copy to be current at the time to which its age refers.
    pub fn confirmation(&self) -> Option<Confirmation> {
        self.confirmation
    }

    /// Returns when the copy was last known to be current or a poll last failed, whichever is later; `None` if neither
    /// happened. A restore that is detected later is assumed to be later than that.
    pub fn last_current_or_failed_ms(&self) -> Option<u64> {
        self.confirmed_ms.max(self.last_failed_ms)
    }

    /// Whether the store may be out of this router's reach: a poll has failed since the copy was last confirmed, or the
    /// copy is older than polls let it become.
    pub fn may_be_out_of_reach(&self, now_ms: u64) -> bool {
        let has_failed = self.last_failed_ms.is_some_and(|at_ms| self.confirmed_ms < Some(at_ms));
        has_failed || self.age_ms(now_ms).is_some_and(|age_ms| age_ms > self.bound_ms)
    }

    /// Returns the age from which the copy is stale, in milliseconds.
    pub fn stale_after_ms(&self) -> u64 {
        self.bound_ms * STALE_PERCENT / 100
    }

    /// Returns the smallest improvement of the copy's age that is passed on to peers, in milliseconds.
    pub fn notable_improvement_ms(&self) -> u64 {
        self.bound_ms * WATCHER_WAIT_PERCENT / 200
    }

    /// Returns the poll to send now, if one is due.
    pub fn due_poll(
        &mut self,
        role: Role,
        fleet: Fleet,
        now_ms: u64,
        rng: &mut rngs::StdRng,
    ) -> Option<Poll> {
        let stale = self.is_stale_for(role, now_ms);
        if !stale {
            // A peer whose copy is about as stale may repeatedly report a slightly newer state. Only a state that is
            // new enough makes the poll unnecessary.
            self.stale_poll_ms = None;
        }
        if now_ms < self.not_before_ms {
            return None;
        }
        if let Some(in_flight) = self.long_poll {
            // A poll that was sent in a small fleet has a long wait and may never be answered, whatever the fleet's
            // size is now.
            let has_long_wait =
                role == Role::EveryRouter || in_flight.wait_ms >= EVERY_ROUTER_WAIT_MS;
            let check_now = has_long_wait && stale && self.freshness_check.is_none();
            if !check_now || !self.is_turn_to_check(fleet, now_ms) {
                return None;
            }
            let flight = self.start_poll(FRESHNESS_CHECK_WAIT_MS, now_ms);
            self.freshness_check = Some(flight);
            return Some(self.poll(flight));
        }
        let wait_ms = match role {
            Role::Joining => return None,
            // The first poll after an outage has a short wait, because its answer shows which records have lapsed.
            Role::EveryRouter if self.last_rejected_ms.is_some() || self.unanswered => {
                FRESHNESS_CHECK_WAIT_MS
            }
            Role::EveryRouter => EVERY_ROUTER_WAIT_MS,
            Role::Watcher if stale => FRESHNESS_CHECK_WAIT_MS,
            Role::Watcher => self.bound_ms * WATCHER_WAIT_PERCENT / 100,
            Role::Listener
                if stale && (fleet.alone || self.is_stale_poll_due(fleet.routers, now_ms, rng)) =>
            {
                FRESHNESS_CHECK_WAIT_MS
            }
            Role::Listener => return None,
        };
        let flight = self.start_poll(wait_ms, now_ms);
        self.long_poll = Some(flight);
        Some(self.poll(flight))
    }

    fn start_poll(&mut self, wait_ms: u64, now_ms: u64) -> PollInFlight {
        self.polls_started += 1;
        let has_copy = self.position != store::Position::START && !self.needs_full_state;
        let after = has_copy.then_some(self.position);
        PollInFlight { number: self.polls_started, sent_ms: now_ms, wait_ms, after }
    }

    fn poll(&self, flight: PollInFlight) -> Poll {
        let PollInFlight { number, wait_ms, after, .. } = flight;
        Poll { number, topic: self.topic, after, wait_ms }
    }

    /// Starts a short poll whose answer contains the store's era; `None` if a freshness check is already in flight.
    pub fn start_era_check(&mut self, now_ms: u64) -> Option<Poll> {
        if self.freshness_check.is_some() {
            return None;
        }
        let flight = self.start_poll(FRESHNESS_CHECK_WAIT_MS, now_ms);
        self.freshness_check = Some(flight);
        Some(self.poll(flight))
    }

    /// Returns the polls in flight.
    pub fn open_polls(&self, now_ms: u64) -> Vec<OpenPoll> {
        let open = |flight: &PollInFlight| OpenPoll {
            number: flight.number,
            wait_ms: flight.wait_ms,
            sent_ms_ago: now_ms.saturating_sub(flight.sent_ms),
        };
        self.long_poll.iter().chain(&self.freshness_check).map(open).collect()
    }

    /// Removes the poll with this number from those in flight and returns it; `None` if it was abandoned before.
    pub fn finish(&mut self, number: u64) -> Option<PollInFlight> {
        let matches = |flight: &mut PollInFlight| flight.number == number;
        let long_poll = self.long_poll.take_if(matches);
        if long_poll.is_some() {
            self.superseded = None;
        }
        long_poll.or_else(|| self.freshness_check.take_if(matches))
    }

    /// Records that an update arrived which the long poll should have returned.
    pub fn supersede(&mut self, evidence: Evidence, now_ms: u64) {
        if self.long_poll.is_some() {
            self.superseded.get_or_insert((now_ms, evidence));
        }
    }

    /// Abandons the long poll if it was superseded and its answer did not arrive within `ANSWER_GRACE_MS`.
    pub fn abandon_superseded(&mut self, now_ms: u64) -> Option<AbandonedPoll> {
        let (_, evidence) =
            self.superseded.take_if(|(since_ms, _)| now_ms >= *since_ms + ANSWER_GRACE_MS)?;
        let flight = self.long_poll.take()?;
        self.unanswered = true;
        let waited_ms = now_ms.saturating_sub(flight.sent_ms);
        Some(AbandonedPoll { number: flight.number, waited_ms, evidence })
    }

    /// Returns whether it is this router's turn to check the freshness of the copy. The first router in rank checks for
    /// all; the next ones follow if it doesn't.
    fn is_turn_to_check(&mut self, fleet: Fleet, now_ms: u64) -> bool {
        let window_ms = self.bound_ms * STALE_POLL_WINDOW_PERCENT / 100;
        let turn_ms = RANK_STEP_MS.min(window_ms / fleet.routers.max(1));
        let at_ms = *self.stale_poll_ms.get_or_insert(now_ms + fleet.rank * turn_ms);
        now_ms >= at_ms
    }

    /// Draws the time of a poll because of a stale copy, unless it is drawn already, and returns whether it has come.
    fn is_stale_poll_due(&mut self, routers: u64, now_ms: u64, rng: &mut rngs::StdRng) -> bool {
        let rate_window_ms = routers * 1_000 / STALE_POLLS_PER_S;
        let window_ms = rate_window_ms.min(self.bound_ms * STALE_POLL_WINDOW_PERCENT / 100);
        let at_ms =
            *self.stale_poll_ms.get_or_insert_with(|| now_ms + rng.random_range(0..=window_ms));
        now_ms >= at_ms
    }

    /// Returns whether the store rejected this router's polls and peers have reported no newer state since. Records
    /// that are missing from the next answer may then merely have lapsed. A missing answer doesn't count: the cause may
    /// be this router's own connection.
    pub fn was_rejected(&self, role: Role, now_ms: u64) -> bool {
        // Where every router polls, polls have long waits and peers report little, so the copy is never recent.
        self.last_rejected_ms.is_some() && (role == Role::EveryRouter || self.is_stale(now_ms))
    }

    /// Returns when the store last rejected a poll of this router; `None` if its state was confirmed after that.
    pub fn last_rejected_ms(&self) -> Option<u64> {
        self.last_rejected_ms
    }

    /// Returns whether records that a peer reports as lapsed may have lapsed for this router as well. A router whose
    /// copy has stayed current has received their removals.
    pub fn may_have_missed_removals(&self, role: Role, now_ms: u64) -> bool {
        match role {
            Role::EveryRouter | Role::Joining => self.last_rejected_ms.is_some(),
            Role::Watcher | Role::Listener => self.is_stale(now_ms),
        }
    }

    fn is_stale_for(&self, role: Role, now_ms: u64) -> bool {
        match role {
            Role::EveryRouter => {
                let stale_ms = self.bound_ms * EVERY_ROUTER_STALE_PERCENT / 100;
                self.age_ms(now_ms).is_none_or(|age_ms| age_ms >= stale_ms)
            }
            _ => self.is_stale(now_ms),
        }
    }

    fn is_stale(&self, now_ms: u64) -> bool {
        self.age_ms(now_ms).is_none_or(|age_ms| age_ms >= self.stale_after_ms())
    }
}
