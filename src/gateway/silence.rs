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
/// A way is checked if nothing arrived for this multiple of the longest recent silence: on any of its connections, from
/// any server of a service, or from one server.
const SILENCE_FACTOR: f64 = 2.0;
/// The bounds of that silence.
const SILENCE_MIN: Duration = Duration::from_millis(150);
const SILENCE_MAX: Duration = Duration::from_millis(500);
/// The more exchanges wait, the shorter silences are. From this number on they are not told apart.
const WAITING_MAX: usize = 4;
/// How long the silences on connections that are no longer used are remembered.
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

/// The connections by one way that are watched together.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Scope {
    /// All of them.
    All,
    /// Those to the servers of a service.
    Service(Rc<str>),
    /// Those to the server at an address.
    Server(Rc<str>),
}

/// Names a group of connections.
type GroupKey = (Way, Scope);

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
    silences: HashMap<GroupKey, Silence>,
}

/// A check of a way to a server.
#[derive(Clone, Copy, Debug)]
struct Check {
    at: Instant,
    /// The time until the next one.
    interval: Duration,
}

/// How long nothing arrives on a group of connections.
#[derive(Debug)]
struct Silence {
    /// At the last look.
    last: Duration,
    /// How many exchanges waited then.
    waiting: usize,
    /// The longest one that ended lately while one exchange waited, while two did, and so on.
    longest: [Duration; WAITING_MAX],
    looked_at: Instant,
}

impl Silence {
    fn new(now: Instant) -> Self {
        let longest = [Duration::ZERO; WAITING_MAX];
        Self { last: Duration::ZERO, waiting: 1, longest, looked_at: now }
    }

    /// Records the silence at a look; it has ended if it was longer at the last one. Silences that a lost link causes
    /// are not `usual`.
    fn record(&mut self, current: Duration, waiting: usize, usual: bool, now: Instant) {
        for longest in &mut self.longest {
            *longest = longest.mul_f64(SILENCE_DECAY);
        }
        if usual && current < self.last {
            let longest = &mut self.longest[self.waiting - 1];
            *longest = self.last.max(*longest);
        }
        self.last = current;
        self.waiting = waiting.clamp(1, WAITING_MAX);
        self.looked_at = now;
    }

    /// The longest silence that is usual with the present number of exchanges.
    fn usual(&self) -> Duration {
        self.longest[self.waiting - 1]
    }

    fn is_unusual(&self, usual: Duration) -> bool {
        self.last >= usual.mul_f64(SILENCE_FACTOR).clamp(SILENCE_MIN, SILENCE_MAX)
    }
}

/// What arrives on a group of connections.
struct Group<'a> {
    /// When data last arrived on any of them.
    received_at: Instant,
    /// The one whose exchange has waited for the longest time, with the start of the exchange.
    longest: Option<(Instant, &'a backends::OpenConnection)>,
    /// The number of exchanges that wait.
    waiting: usize,
    service: Option<Rc<str>>,
}

impl<'a> Group<'a> {
    fn add(group: Option<Self>, connection: &'a backends::OpenConnection) -> Self {
        let began = connection.exchange.map(|exchange| (exchange.began, connection));
        let waiting = usize::from(began.is_some());
        let Some(group) = group else {
            let service = connection.service.clone();
            return Self { received_at: connection.received_at, longest: began, waiting, service };
        };
        let longest = [group.longest, began].into_iter().flatten();
        Self {
            received_at: group.received_at.max(connection.received_at),
            longest: longest.min_by_key(|(began, _)| *began),
            waiting: group.waiting + waiting,
            service: group.service,
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
        for ((way, scope), group) in &groups {
            if let (None, Scope::Server(address)) = (way, scope) {
                self.backends.links().record_received(address, group.received_at);
            }
        }
        for one in &connections {
            let silence =
                groups.get(&server_key(one)).map_or(Duration::ZERO, |group| group.silence(now));
            if silence >= SILENCE_MIN && self.is_lost(one) {
                one.report_link_lost();
                if silence >= GIVE_UP_SILENCE {
                    give_up(one, now);
                }
            }
        }
        self.record_silences(&groups, now);
        let usual_by_service = self.usual_silences_of_servers(&groups);
        let mut due = Vec::new();
        for (key, group) in groups {
            let Some(silence) = self.silences.get(&key) else { continue };
            let usual = match &key {
                (way, Scope::Server(_)) => usual_by_service[&(way.clone(), group.service.clone())],
                _ => silence.usual(),
            };
            if let Some((_, suspect)) = group.longest.filter(|_| silence.is_unusual(usual))
                && self.take_check(suspect, now)
            {
                due.push((suspect.placement.clone(), suspect.via.clone()));
            }
        }
        due
    }

    fn record_silences(&mut self, groups: &HashMap<GroupKey, Group<'_>>, now: Instant) {
        let usual = !self.backends.links().any_lost();
        for (key, group) in groups {
            let silence = self.silences.entry(key.clone()).or_insert_with(|| Silence::new(now));
            silence.record(group.silence(now), group.waiting, usual, now);
        }
    }

    /// The longest usual silence of one server, by way and service. A single server answers too seldom to tell.
    fn usual_silences_of_servers(
        &self,
        groups: &HashMap<GroupKey, Group<'_>>,
    ) -> HashMap<(Way, Option<Rc<str>>), Duration> {
        let mut usual = HashMap::new();
        for (key, group) in groups {
            let (way, Scope::Server(_)) = key else { continue };
            let of_server = self.silences.get(key).map_or(Duration::ZERO, Silence::usual);
            let of_service = usual.entry((way.clone(), group.service.clone())).or_default();
            *of_service = of_server.max(*of_service);
        }
        usual
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

/// The groups that the connections belong to: all by one way, and those of them to one service and to one server.
fn groups(connections: &[backends::OpenConnection]) -> HashMap<GroupKey, Group<'_>> {
    let mut groups = HashMap::new();
    for one in connections {
        let service = one.service.clone().map(|service| (one.via.clone(), Scope::Service(service)));
        let keys = [(one.via.clone(), Scope::All), server_key(one)].into_iter().chain(service);
        for key in keys {
            let group = Group::add(groups.remove(&key), one);
            groups.insert(key, group);
        }
    }
    groups
}

fn server_key(connection: &backends::OpenConnection) -> GroupKey {
    (connection.via.clone(), Scope::Server(connection.address.clone()))
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
