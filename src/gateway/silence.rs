//! Detects connections to servers on which nothing arrives any more.
//!
//! A kept connection whose link was lost looks the same as one to a server that takes long. A second connection by the
//! same way tells the two apart. It is made only while requests wait, and kept for the next request.

use super::backends;
use crate::upstream;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task;

/// The time between two looks at the connections.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// A server is checked if nothing arrived from it for this long.
const SERVER_SILENCE_MAX: Duration = Duration::from_millis(500);
/// A way is checked if nothing arrived on any of its connections for this multiple of its longest recent silence.
const WAY_SILENCE_FACTOR: f64 = 2.0;
/// The bounds of that silence.
const WAY_SILENCE_MIN: Duration = Duration::from_millis(150);
const WAY_SILENCE_MAX: Duration = Duration::from_millis(500);
/// How long the silence of a way that is no longer used is remembered.
const SILENCE_TTL: Duration = Duration::from_secs(60);
/// The longest recent silence shrinks by this factor at each look.
const SILENCE_DECAY: f64 = 0.999;
/// The minimum time between two checks of the same way to the same server. It doubles with each check up to the
/// maximum, while the server stays silent.
const CHECK_INTERVAL_MIN: Duration = Duration::from_secs(1);
const CHECK_INTERVAL_MAX: Duration = Duration::from_secs(30);
/// An exchange on a lost way is given up after this silence if its request may be repeated. A shorter loss of the link
/// delays it only.
const GIVE_UP_SILENCE: Duration = Duration::from_millis(1_000);
/// How long a router that did not answer a check counts as lost.
const RELAY_LOST_TIME: Duration = Duration::from_secs(2);

/// The router through which a connection leads; `None` for the own link.
type Way = Option<Rc<str>>;

/// Watches the connections until it is dropped.
pub async fn watch(backends: Rc<backends::Backends>) {
    let mut watch = Watch::new(backends);
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
    /// The last check of each way to each server, by the server's address.
    checked: HashMap<(Way, String), Check>,
    /// Routers that did not connect when they were checked, and when that was.
    lost_relays: HashMap<Rc<str>, Instant>,
    silences: HashMap<Way, Silence>,
}

/// A check of a way to a server.
#[derive(Clone, Copy, Debug)]
struct Check {
    at: Instant,
    /// The time until the next one.
    interval: Duration,
}

/// How long nothing arrives by one way.
#[derive(Debug)]
struct Silence {
    /// At the last look.
    last: Duration,
    /// The longest one that ended lately.
    longest: Duration,
    looked_at: Instant,
}

impl Silence {
    fn new(now: Instant) -> Self {
        Self { last: Duration::ZERO, longest: Duration::ZERO, looked_at: now }
    }

    /// Records the silence at a look; it has ended if it was longer at the last one. Silences that a lost link causes
    /// are not `usual`.
    fn record(&mut self, current: Duration, usual: bool, now: Instant) {
        self.longest = self.longest.mul_f64(SILENCE_DECAY);
        if usual && current < self.last {
            self.longest = self.longest.max(self.last);
        }
        self.last = current;
        self.looked_at = now;
    }

    fn is_unusual(&self) -> bool {
        let usual = self.longest.mul_f64(WAY_SILENCE_FACTOR);
        self.last >= usual.clamp(WAY_SILENCE_MIN, WAY_SILENCE_MAX)
    }
}

/// What arrives on some connections that have their way in common, and maybe their server.
struct Group<'a> {
    /// When data last arrived on any of them.
    received_at: Instant,
    /// The one whose exchange has waited for the longest time, with the start of the exchange.
    longest: Option<(Instant, &'a backends::OpenConnection)>,
}

impl<'a> Group<'a> {
    fn add(group: Option<Self>, connection: &'a backends::OpenConnection) -> Self {
        let began = connection.exchange.map(|exchange| (exchange.began, connection));
        let Some(group) = group else {
            return Self { received_at: connection.received_at, longest: began };
        };
        let longest = [group.longest, began].into_iter().flatten();
        Self {
            received_at: group.received_at.max(connection.received_at),
            longest: longest.min_by_key(|(began, _)| *began),
        }
    }

    /// How long nothing has arrived while an exchange waits.
    fn silence(&self, now: Instant) -> Duration {
        let since = self.longest.map(|(began, _)| began.max(self.received_at));
        since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}

impl Watch {
    fn new(backends: Rc<backends::Backends>) -> Self {
        Self {
            backends,
            checked: HashMap::new(),
            lost_relays: HashMap::new(),
            silences: HashMap::new(),
        }
    }

    /// Gives up exchanges on lost ways, and returns the ways to check, each with the server to connect to.
    fn look(&mut self, now: Instant) -> Vec<(Rc<upstream::Placement>, Way)> {
        let connections = self.backends.connections_if_waiting();
        self.checked.retain(|_, check| now.duration_since(check.at) < 2 * check.interval);
        self.lost_relays.retain(|_, at| now.duration_since(*at) < RELAY_LOST_TIME);
        self.silences.retain(|_, silence| now.duration_since(silence.looked_at) < SILENCE_TTL);
        let groups = groups(&connections);
        for ((way, address), group) in &groups {
            if let (None, Some(address)) = (way, address) {
                self.backends.links().record_received(address, group.received_at);
            }
        }
        for one in &connections {
            let server = (one.via.as_deref(), Some(one.placement.address.as_str()));
            let silence = groups.get(&server).map_or(Duration::ZERO, |group| group.silence(now));
            if silence >= WAY_SILENCE_MIN && self.is_lost(one) {
                one.report_link_lost();
                if silence >= GIVE_UP_SILENCE {
                    give_up(one, now);
                }
            }
        }
        let usual = !self.backends.links().any_lost();
        let mut due = Vec::new();
        for ((way, address), group) in groups {
            let current = group.silence(now);
            let unusual = if address.is_some() {
                current >= SERVER_SILENCE_MAX
            } else {
                let silence = self.silences.entry(way.map(Rc::from));
                let silence = silence.or_insert_with(|| Silence::new(now));
                silence.record(current, usual, now);
                silence.is_unusual()
            };
            if let Some((_, suspect)) = group.longest.filter(|_| unusual)
                && self.take_check(suspect, now)
            {
                due.push((suspect.placement.clone(), suspect.via.clone()));
            }
        }
        due
    }

    /// Whether the way of a connection is to be checked; if so, the next check is due later.
    fn take_check(&mut self, suspect: &backends::OpenConnection, now: Instant) -> bool {
        let key = (suspect.via.clone(), suspect.placement.address.clone());
        let last = self.checked.get(&key);
        let due = last.is_none_or(|check| now.duration_since(check.at) >= check.interval);
        if self.is_lost(suspect) || !due {
            return false;
        }
        let interval =
            last.map_or(CHECK_INTERVAL_MIN, |check| (2 * check.interval).min(CHECK_INTERVAL_MAX));
        self.checked.insert(key, Check { at: now, interval });
        true
    }

    fn is_lost(&self, connection: &backends::OpenConnection) -> bool {
        match &connection.via {
            None => self.backends.links().is_lost(&connection.placement.address),
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

/// The connections by their way, and by their way and server.
fn groups(
    connections: &[backends::OpenConnection],
) -> HashMap<(Option<&str>, Option<&str>), Group<'_>> {
    let mut groups = HashMap::new();
    for one in connections {
        let (way, address) = (one.via.as_deref(), one.placement.address.as_str());
        for key in [(way, None), (way, Some(address))] {
            let group = Group::add(groups.remove(&key), one);
            groups.insert(key, group);
        }
    }
    groups
}

/// Aborts a connection if the request on it may be repeated.
fn give_up(connection: &backends::OpenConnection, now: Instant) {
    let Some(exchange) = connection.exchange.filter(|exchange| exchange.repeatable) else { return };
    log::info!(
        "event=exchange_given_up vm={} via={} waited_ms={}",
        connection.placement.vm,
        connection.via.as_deref().unwrap_or("own_link"),
        now.saturating_duration_since(exchange.began).as_millis()
    );
    connection.abort();
}
