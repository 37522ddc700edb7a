//! Detects connections to servers on which nothing arrives any more.
//!
//! A kept connection whose link was lost looks the same as one to a server that takes long. A second connection by the
//! same way tells the two apart. It is made only while requests wait, and kept for the next request.

use super::backends;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task;

/// The time between two looks at the connections.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// A way is checked if nothing arrived on any of its connections for this long.
const WAY_SILENCE_MAX: Duration = Duration::from_millis(150);
/// A server is checked if nothing arrived from it for this multiple of the time that it takes for an answer.
const SERVER_SILENCE_FACTOR: u32 = 4;
const SERVER_SILENCE_MIN: Duration = Duration::from_millis(100);
const SERVER_SILENCE_MAX: Duration = Duration::from_millis(500);
/// The minimum time between two checks of the same way to the same server.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// An exchange on a lost way is given up after this silence if its request may be repeated. A shorter loss of the link
/// delays it only.
const GIVE_UP_SILENCE: Duration = Duration::from_millis(500);
/// How long a router that did not answer a check counts as lost.
const RELAY_LOST_TIME: Duration = Duration::from_secs(2);

/// The router through which a connection leads; `None` for the own link.
type Way = Option<Rc<str>>;

/// Watches the connections until it is dropped.
pub async fn watch(backends: Rc<backends::Backends>) {
    let mut watch = Watch { backends, checked: HashMap::new(), lost_relays: HashMap::new() };
    let mut checks = task::JoinSet::new();
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        while let Some(ended) = checks.try_join_next() {
            if let Ok((way, works)) = ended {
                watch.record_check(way, works);
            }
        }
        for (placement, via) in watch.look(Instant::now()) {
            let backends = watch.backends.clone();
            checks.spawn_local(async move {
                let works = backends.check_way(&placement, via.as_deref()).await;
                (via, works)
            });
        }
    }
}

struct Watch {
    backends: Rc<backends::Backends>,
    /// When each way to each server was last checked, by the server's address.
    checked: HashMap<(Way, String), Instant>,
    /// Routers that did not connect when they were checked, and when that was.
    lost_relays: HashMap<Rc<str>, Instant>,
}

impl Watch {
    /// Gives up exchanges on lost ways, and returns the ways to check, each with the server to connect to.
    fn look(&mut self, now: Instant) -> Vec<(Rc<crate::upstream::Placement>, Way)> {
        let waiting = self.backends.waiting();
        if waiting.is_empty() {
            return Vec::new();
        }
        self.checked.retain(|_, at| now.duration_since(*at) < CHECK_INTERVAL);
        self.lost_relays.retain(|_, at| now.duration_since(*at) < RELAY_LOST_TIME);
        let mut ways: HashMap<Way, Vec<&backends::Waiting>> = HashMap::new();
        for one in &waiting {
            ways.entry(one.via.clone()).or_default().push(one);
            let quiet = now.saturating_duration_since(one.exchange.quiet_since());
            let hopeless =
                || quiet >= GIVE_UP_SILENCE && self.is_lost(one) && !delivers(one, &waiting, now);
            if one.exchange.repeatable && hopeless() {
                log::info!(
                    "event=exchange_given_up vm={} via={} quiet_ms={}",
                    one.placement.vm,
                    one.via.as_deref().unwrap_or("own_link"),
                    quiet.as_millis()
                );
                one.abort();
            }
        }
        if let Some(received) = ways.get(&None).and_then(|direct| last_received(direct)) {
            self.backends.links().record_received(received);
        }
        let suspects = ways.values().flat_map(|waiting| self.suspects(waiting, now));
        let suspects: Vec<backends::Waiting> = suspects.cloned().collect();
        let mut due = Vec::new();
        for suspect in suspects {
            let key = (suspect.via.clone(), suspect.placement.address.clone());
            if !self.is_lost(&suspect) && !self.checked.contains_key(&key) {
                self.checked.insert(key, now);
                due.push((suspect.placement, suspect.via));
            }
        }
        due
    }

    /// The connections of one way whose servers are to be checked.
    fn suspects<'a>(
        &self,
        waiting: &[&'a backends::Waiting],
        now: Instant,
    ) -> Vec<&'a backends::Waiting> {
        let quiet =
            |one: &backends::Waiting| now.saturating_duration_since(one.exchange.quiet_since());
        let began = waiting.iter().map(|one| one.exchange.began).min();
        let way_quiet = last_received(waiting)
            .max(began)
            .is_some_and(|since| now.saturating_duration_since(since) >= WAY_SILENCE_MAX);
        let longest = waiting.iter().copied().max_by_key(|one| quiet(one));
        let silent = waiting.iter().copied().filter(|one| {
            let head_time = self.backends.head_time(&one.placement.address);
            let usual = head_time.unwrap_or(SERVER_SILENCE_MAX) * SERVER_SILENCE_FACTOR;
            quiet(one) >= usual.clamp(SERVER_SILENCE_MIN, SERVER_SILENCE_MAX)
        });
        longest.filter(|_| way_quiet).into_iter().chain(silent).collect()
    }

    fn is_lost(&self, waiting: &backends::Waiting) -> bool {
        match &waiting.via {
            None => self.backends.links().is_lost(&waiting.placement.address),
            Some(relay) => self.lost_relays.contains_key(relay),
        }
    }

    fn record_check(&mut self, way: Way, works: bool) {
        if let Some(relay) = way.filter(|_| !works) {
            log::warn!("event=relay_lost via={relay}");
            self.backends.close_idle_via(&relay);
            self.lost_relays.insert(relay, Instant::now());
        }
    }
}

/// Whether data arrived lately on a connection that leads the same way to the same server: connections that were open
/// before a link was lost may live on.
fn delivers(one: &backends::Waiting, waiting: &[backends::Waiting], now: Instant) -> bool {
    waiting.iter().any(|other| {
        other.via == one.via
            && other.placement.address == one.placement.address
            && now.saturating_duration_since(other.exchange.received_at) < GIVE_UP_SILENCE
    })
}

/// When data last arrived on any of these connections.
fn last_received(waiting: &[&backends::Waiting]) -> Option<Instant> {
    waiting.iter().map(|one| one.exchange.received_at).max()
}
