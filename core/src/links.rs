//! The links of one router to the backend servers, and the choice between its own link and one through another router.
//!
//! A connection that cannot be established shows either that the server does not respond or that this router's link to
//! it has failed. Another router that reaches the server tells the two apart, and forwards the connection meanwhile.
//! The router's own link is used again as soon as a check, which no request waits for, succeeds on it.

use crate::{ids, message};
use rand::rngs;
use rand::seq::{IndexedRandom, IteratorRandom, SliceRandom};
use std::{cmp, collections};

/// The minimum time for which a connection over the router's own link is awaited before other routers are asked.
const HEAD_START_MIN_MS: u64 = 30;
/// The time to wait for a connection, as a multiple of the time that earlier ones to the same server took.
const PATIENCE_FACTOR: u64 = 4;
/// The interval between two checks of a lost link.
const CHECK_INTERVAL_MS: u64 = 500;
/// The minimum interval between two comparisons of all links.
const COMPARISON_INTERVAL_MS: u64 = 500;
/// The number of links that are compared, and of lost links that are checked at once.
const CHECKED_MAX: usize = 4;
/// The number of routers that are asked for one connection.
const PEERS_ASKED_MAX: usize = 4;
/// The number of routers that are asked before a server counts as refusing connections. Each of them may have lost its
/// link to this server too.
const PEERS_ASKED_IN_DOUBT: usize = 8;
/// How long a router is asked last after it could not forward a connection.
const PEER_AVOIDED_MS: u64 = 1_000;
/// How long other routers' word that a server fails is not asked for again.
const SERVER_FAULT_TTL_MS: u64 = 500;
/// The minimum interval between two checks of a link because a server did not answer a poll of its load.
const POLL_CHECK_INTERVAL_MS: u64 = 2_000;
/// Open connections over a lost link work if data arrived on one of them this recently, and this long after the loss.
const OPEN_WORKS_TTL_MS: u64 = 1_000;
const OPEN_WORKS_MIN_MS: u64 = 50;
/// A link that was not used for this long is forgotten.
const UNUSED_TTL_MS: u64 = 60_000;

/// Another router that may forward connections to servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The router incarnation, to which the request for a connection is addressed.
    pub id: ids::Incarnation,
    /// The address at which it accepts connections of other routers.
    pub address: String,
    /// The VM that it runs on.
    pub vm: String,
    /// The failure domain of that VM.
    pub failure_domain: String,
}

/// In which order the ways to a server are tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// The router's own link, and from this many milliseconds later other routers too.
    OwnFirst {
        /// How long the own link is tried alone.
        head_start_ms: u64,
    },
    /// Only other routers: the own link is lost.
    PeersOnly,
    /// None: no server is reached over an own link, and other routers could not connect to one just now either.
    None,
}

/// How a server fails according to other routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerFault {
    /// Its address refuses connections.
    Refused,
    /// It does not respond.
    Unresponsive,
    /// None of them could tell: they reach no other server of its service either, or did not answer.
    Unknown,
}

/// A change of the links, for the log and for the failures that were counted against servers because of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The link to the server at this address is lost: another router reaches it.
    Lost(String),
    /// The link to the server at this address works again.
    Restored(String),
    /// The links to all servers of a service are lost.
    ServiceLost {
        /// The name of the service.
        service: String,
        /// The addresses of its servers.
        addresses: Vec<String>,
    },
    /// A server of a service is reached again after the links to all of them were lost.
    ServiceRestored {
        /// The name of the service.
        service: String,
        /// The addresses of its servers.
        addresses: Vec<String>,
        /// The time without any own link to them, in milliseconds.
        lost_ms: u64,
    },
    /// No server is reached over an own link.
    AllLost,
    /// A server is reached again after all links were lost for this time.
    AllRestored {
        /// The time without any own link, in milliseconds.
        lost_ms: u64,
    },
}

/// The servers to connect to over the own links, in order to find out how many of these are lost.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Comparison {
    /// Other servers of the same service.
    pub of_service: Vec<String>,
    /// Servers of other services.
    pub of_others: Vec<String>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Link {
    /// The longest time that a recent connection took.
    connect_ms: u64,
    /// Since when the link is lost.
    lost_since_ms: Option<u64>,
    /// When the lost link was last checked, or else lost.
    checked_ms: u64,
    /// When a connection over the link was last requested or recorded.
    used_ms: u64,
    /// When a connection over the own link was last established.
    reached_ms: Option<u64>,
    /// When one last failed.
    failed_ms: Option<u64>,
    /// When data last arrived on an open connection.
    received_ms: Option<u64>,
    /// The last word of other routers that the server fails, and when it was received.
    server_fault: Option<(ServerFault, u64)>,
    /// How the server itself, and not the link, was found to fail; until it is reached again.
    server_failure: Option<ServerFault>,
    /// The last answer to another router that asked for a connection to this server, if there was none, and its time.
    refused_peers: Option<(message::ConnectReply, u64)>,
    /// When the link was last checked because of a poll.
    poll_checked_ms: Option<u64>,
}

/// The state of all links of one router, by server address.
#[derive(Debug, Default)]
pub struct Table {
    links: collections::BTreeMap<String, Link>,
    /// The services of the servers in the list, by address.
    services: collections::BTreeMap<String, String>,
    all_lost_since_ms: Option<u64>,
    /// Services of which no server is reached over an own link, and since when.
    lost_services: collections::BTreeMap<String, u64>,
    /// When other routers were last asked for a server and none of them could tell.
    peers_unknown_ms: Option<u64>,
    /// When links were last compared because of a server of a service.
    compared_ms: collections::BTreeMap<Option<String>, u64>,
    /// Until when routers that could not forward a connection are asked last: to any server, or to one address.
    avoided_until_ms: collections::BTreeMap<(ids::Incarnation, Option<String>), u64>,
}

impl Table {
    /// The order of ways to the server at an address.
    pub fn order(&mut self, address: &str, now_ms: u64) -> Order {
        let all_lost = self.all_lost();
        let peers_unknown = self.peers_unknown_ms;
        self.link(address, now_ms);
        if all_lost && peers_unknown.is_some_and(|at_ms| now_ms < at_ms + SERVER_FAULT_TTL_MS) {
            return Order::None;
        }
        match self.is_lost(address) {
            true => Order::PeersOnly,
            false => Order::OwnFirst { head_start_ms: self.patience_ms(address) },
        }
    }

    /// How long to wait for a connection to the server before it counts as slow, in milliseconds.
    pub fn patience_ms(&self, address: &str) -> u64 {
        let known = self.links.get(address).map(|link| link.connect_ms).filter(|ms| *ms > 0);
        let longest = || self.links.values().map(|link| link.connect_ms).max();
        let expected_ms = known.or_else(longest).unwrap_or(0);
        HEAD_START_MIN_MS.max(expected_ms * PATIENCE_FACTOR)
    }

    /// Whether the router's own link to the server at an address is lost.
    pub fn is_lost(&self, address: &str) -> bool {
        let link_lost = || self.links.get(address).is_some_and(|link| link.lost_since_ms.is_some());
        self.all_lost() || self.service_lost_since_ms(address).is_some() || link_lost()
    }

    /// Since when the links to all servers of the same service are lost.
    fn service_lost_since_ms(&self, address: &str) -> Option<u64> {
        self.lost_services.get(self.services.get(address)?).copied()
    }

    /// The name of the service of the server at an address.
    pub fn service_of(&self, address: &str) -> Option<&str> {
        self.services.get(address).map(String::as_str)
    }

    /// The addresses of the servers of a service.
    fn addresses_of(&self, service: &str) -> Vec<String> {
        let of_service = self.services.iter().filter(|(_, of)| *of == service);
        of_service.map(|(address, _)| address.clone()).collect()
    }

    /// Whether no server is reached over an own link.
    pub fn all_lost(&self) -> bool {
        self.all_lost_since_ms.is_some()
    }

    /// The addresses whose links are lost, with the time since then in milliseconds.
    pub fn lost(&self, now_ms: u64) -> impl Iterator<Item = (&str, u64)> {
        let unlisted = self.links.keys().filter(|address| !self.services.contains_key(*address));
        self.services.keys().chain(unlisted).filter_map(move |address| {
            let link_lost_ms = self.links.get(address).and_then(|link| link.lost_since_ms);
            let since_ms = self.service_lost_since_ms(address).or(link_lost_ms)?;
            Some((address.as_str(), now_ms.saturating_sub(since_ms)))
        })
    }

    /// For how many milliseconds no server was reached over an own link; `None` if one is.
    pub fn all_lost_ms(&self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(self.all_lost_since_ms?))
    }

    /// Records a connection over the own link that was established after `took_ms`.
    pub fn record_reached(&mut self, address: &str, took_ms: u64, now_ms: u64) -> Option<Change> {
        let link = self.link(address, now_ms);
        link.connect_ms = took_ms.max((link.connect_ms + took_ms) / 2);
        link.reached_ms = Some(now_ms);
        link.server_fault = None;
        link.server_failure = None;
        link.refused_peers = None;
        let lost_since_ms = link.lost_since_ms.take();
        if let Some(since_ms) = self.all_lost_since_ms.take() {
            self.links.values_mut().for_each(|link| link.lost_since_ms = None);
            self.lost_services.clear();
            return Some(Change::AllRestored { lost_ms: now_ms.saturating_sub(since_ms) });
        }
        if let Some(since_ms) = self.service_lost_since_ms(address) {
            return self.restore_service(address, now_ms.saturating_sub(since_ms));
        }
        lost_since_ms.map(|_| Change::Restored(address.to_owned()))
    }

    fn restore_service(&mut self, address: &str, lost_ms: u64) -> Option<Change> {
        let service = self.services.get(address)?.clone();
        self.lost_services.remove(&service);
        let addresses = self.addresses_of(&service);
        for address in &addresses {
            if let Some(link) = self.links.get_mut(address) {
                link.lost_since_ms = None;
            }
        }
        Some(Change::ServiceRestored { service, addresses, lost_ms })
    }

    /// Records when data last arrived on an open connection over the own link.
    pub fn record_received(&mut self, address: &str, at_ms: u64) {
        if let Some(link) = self.links.get_mut(address) {
            link.received_ms = link.received_ms.max(Some(at_ms));
        }
    }

    /// Whether connections over the own link that are open work: the link is not lost, or only new connections fail.
    pub fn open_connections_work(&self, address: &str, now_ms: u64) -> bool {
        let link = self.links.get(address);
        let (since_ms, received_ms) = match self.all_lost_since_ms {
            Some(since_ms) => {
                (since_ms, self.links.values().filter_map(|link| link.received_ms).max())
            }
            None => match self.service_lost_since_ms(address) {
                Some(since_ms) => (since_ms, self.last_received_ms(self.services.get(address))),
                None => match link.and_then(|link| link.lost_since_ms) {
                    Some(since_ms) => (since_ms, link.and_then(|link| link.received_ms)),
                    None => return true,
                },
            },
        };
        received_ms.is_some_and(|at_ms| {
            at_ms >= since_ms + OPEN_WORKS_MIN_MS && now_ms < at_ms + OPEN_WORKS_TTL_MS
        })
    }

    /// When data last arrived on an open connection over the own link to a server of a service.
    fn last_received_ms(&self, service: Option<&String>) -> Option<u64> {
        let of_service =
            self.links.iter().filter(|(address, _)| self.services.get(*address) == service);
        of_service.filter_map(|(_, link)| link.received_ms).max()
    }

    /// Records that a connection over the own link failed.
    pub fn record_not_reached(&mut self, address: &str, now_ms: u64) {
        self.link(address, now_ms).failed_ms = Some(now_ms);
    }

    /// Records the word of other routers that a server fails.
    pub fn record_server_fault(&mut self, address: &str, fault: ServerFault, now_ms: u64) {
        let link = self.link(address, now_ms);
        link.server_fault = Some((fault, now_ms));
        match fault {
            ServerFault::Refused | ServerFault::Unresponsive => link.server_failure = Some(fault),
            ServerFault::Unknown => self.peers_unknown_ms = Some(now_ms),
        }
    }

    /// The word of other routers that a server fails, if it is recent.
    pub fn server_fault(&self, address: &str, now_ms: u64) -> Option<ServerFault> {
        let (fault, at_ms) = self.links.get(address)?.server_fault?;
        (now_ms < at_ms + SERVER_FAULT_TTL_MS).then_some(fault)
    }

    /// Records the answer to another router for which no connection to a server could be opened.
    pub fn record_refused_peer(
        &mut self,
        address: &str,
        reply: message::ConnectReply,
        now_ms: u64,
    ) {
        let link = self.link(address, now_ms);
        link.refused_peers = Some((reply, now_ms));
        match reply {
            message::ConnectReply::Refused => link.server_failure = Some(ServerFault::Refused),
            message::ConnectReply::Unresponsive => {
                link.server_failure = Some(ServerFault::Unresponsive);
            }
            _ => {}
        }
    }

    /// The answer that other routers get without another attempt, because one failed lately.
    pub fn refused_peer(&self, address: &str, now_ms: u64) -> Option<message::ConnectReply> {
        let (reply, at_ms) = self.links.get(address)?.refused_peers?;
        (now_ms < at_ms + SERVER_FAULT_TTL_MS).then_some(reply)
    }

    /// Whether a link is to be checked because the server did not answer a poll; if so, the next check is due later.
    pub fn take_poll_check(&mut self, address: &str, now_ms: u64) -> bool {
        let link = self.link(address, now_ms);
        let due = link.poll_checked_ms.is_none_or(|at_ms| now_ms >= at_ms + POLL_CHECK_INTERVAL_MS);
        if due {
            link.poll_checked_ms = Some(now_ms);
        }
        due
    }

    /// Records that another router reached a server that was not reached over the own link.
    pub fn record_lost(&mut self, address: &str, now_ms: u64) -> Option<Change> {
        let link = self.link(address, now_ms);
        link.server_failure = None;
        if link.lost_since_ms.is_some() {
            return None;
        }
        link.lost_since_ms = Some(now_ms);
        link.checked_ms = now_ms;
        Some(Change::Lost(address.to_owned()))
    }

    /// Starts a comparison after a connection to the server at `address` failed for a reason that may be the own link:
    /// returns the servers to connect to over the own links; `None` if none is due.
    pub fn start_comparison(
        &mut self,
        address: &str,
        now_ms: u64,
        rng: &mut rngs::StdRng,
    ) -> Option<Comparison> {
        let service = self.services.get(address).cloned();
        let compared_ms = self.compared_ms.get(&service);
        let due = compared_ms.is_none_or(|at_ms| now_ms >= at_ms + COMPARISON_INTERVAL_MS);
        if !due || self.all_lost() {
            return None;
        }
        let of_service =
            |other: &str| service.is_some() && self.services.get(other) == service.as_ref();
        let comparison = Comparison {
            of_service: self.select_others(address, of_service, CHECKED_MAX, rng),
            of_others: self.select_others(address, |other| !of_service(other), CHECKED_MAX, rng),
        };
        self.compared_ms.insert(service, now_ms);
        Some(comparison)
    }

    /// Sets the services of the servers in the list, by address. Links to other addresses are forgotten.
    pub fn set_services(&mut self, services: collections::BTreeMap<String, String>) {
        self.links.retain(|address, _| services.contains_key(address));
        let listed = |service: &String| services.values().any(|listed| listed == service);
        self.lost_services.retain(|service, _| listed(service));
        self.compared_ms.retain(|service, _| service.as_ref().is_none_or(listed));
        self.services = services;
    }

    /// Addresses of at most `count` other servers of the same service whose links are not known to be lost; `None` if
    /// the service has no other server. They show whether a server that seems to fail as in `fault` has failed or the
    /// links to its service. Servers that refused connections are left out, because that they are not reached shows
    /// neither. Servers that did not respond are left out only for other faults: if the links are lost one after
    /// another, all but the last server were found not to respond.
    pub fn others_of_service(
        &self,
        address: &str,
        fault: ServerFault,
        count: usize,
        rng: &mut rngs::StdRng,
    ) -> Option<Vec<String>> {
        let service = self.services.get(address)?;
        let is_left_out = |other: &str| match self.links.get(other).and_then(|l| l.server_failure) {
            Some(ServerFault::Unresponsive) => fault != ServerFault::Unresponsive,
            failure => failure.is_some(),
        };
        let of_service =
            |other: &str| self.services.get(other) == Some(service) && !is_left_out(other);
        let any = self.services.keys().any(|other| other != address && of_service(other));
        any.then(|| self.select_others(address, of_service, count, rng))
    }

    /// The address of another server of the same service that is not known to fail; `None` if there is none.
    pub fn another_of_service(&self, address: &str, rng: &mut rngs::StdRng) -> Option<String> {
        let service = self.services.get(address)?;
        let fails = |other: &str| self.links.get(other).is_some_and(|l| l.server_failure.is_some());
        let others = self
            .services
            .iter()
            .filter(|(other, of)| *other != address && *of == service && !fails(other));
        others.map(|(other, _)| other).choose(rng).cloned()
    }

    /// Addresses of at most `count` other servers whose links are not known to be lost.
    pub fn others(&self, address: &str, count: usize, rng: &mut rngs::StdRng) -> Vec<String> {
        self.select_others(address, |_| true, count, rng)
    }

    /// Those that were reached last come first, and those that failed since then last.
    fn select_others(
        &self,
        address: &str,
        allowed: impl Fn(&str) -> bool,
        count: usize,
        rng: &mut rngs::StdRng,
    ) -> Vec<String> {
        let unused = self.services.keys().filter(|other| !self.links.contains_key(*other));
        let unused = unused.map(|other| (other, Link::default()));
        let used = self.links.iter().map(|(other, link)| (other, *link));
        let others = used.chain(unused);
        let mut others: Vec<(&String, Link)> = others
            .filter(|(other, link)| *other != address && link.lost_since_ms.is_none())
            .filter(|(other, _)| self.service_lost_since_ms(other).is_none())
            .filter(|(other, _)| allowed(other))
            .collect();
        others.shuffle(rng);
        others.sort_by_key(|(_, link)| {
            (link.failed_ms > link.reached_ms, cmp::Reverse(link.reached_ms))
        });
        others.into_iter().take(count).map(|(other, _)| other.clone()).collect()
    }

    /// Records that a comparison reached no server over an own link.
    pub fn record_none_reached(&mut self, now_ms: u64) -> Option<Change> {
        if self.all_lost() {
            return None;
        }
        self.all_lost_since_ms = Some(now_ms);
        Some(Change::AllLost)
    }

    /// Records that a comparison reached no server of the service of `address` over an own link, and others.
    pub fn record_service_not_reached(&mut self, address: &str, now_ms: u64) -> Option<Change> {
        let service = self.services.get(address)?.clone();
        if self.all_lost() || self.lost_services.contains_key(&service) {
            return None;
        }
        let addresses = self.addresses_of(&service);
        self.lost_services.insert(service.clone(), now_ms);
        Some(Change::ServiceLost { service, addresses })
    }

    /// Lost links that are due for a check, and the removal of those that are no longer used.
    pub fn checks_due(&mut self, now_ms: u64, rng: &mut rngs::StdRng) -> Vec<String> {
        self.links.retain(|_, link| now_ms < link.used_ms + UNUSED_TTL_MS);
        self.avoided_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        let all_lost = self.all_lost();
        let due: Vec<String> = self
            .links
            .iter()
            .filter(|(address, _)| self.is_lost(address))
            .filter(|(_, link)| now_ms >= link.checked_ms + CHECK_INTERVAL_MS)
            .map(|(address, _)| address.clone())
            .collect();
        if all_lost && self.links.is_empty() {
            self.all_lost_since_ms = None;
        }
        let due: Vec<String> = due.sample(rng, CHECKED_MAX).cloned().collect();
        for address in &due {
            if let Some(link) = self.links.get_mut(address) {
                link.checked_ms = now_ms;
            }
        }
        due
    }

    /// Whether any link is lost, so that checks may become due.
    pub fn any_lost(&self) -> bool {
        let any_link = || self.links.values().any(|link| link.lost_since_ms.is_some());
        self.all_lost() || !self.lost_services.is_empty() || any_link()
    }

    /// The routers to ask for a connection to the server at an address, the first one first: those that could not
    /// forward one lately last, and otherwise those of the own failure domain first. The second list is asked too if
    /// one of the first finds that the server refuses connections, or if none of them can tell.
    pub fn peers_to_ask(
        &self,
        peers: &[Peer],
        own_domain: &str,
        address: &str,
        now_ms: u64,
        rng: &mut rngs::StdRng,
    ) -> (Vec<Peer>, Vec<Peer>) {
        let avoided = |peer: &Peer| {
            let until_ms = |key| self.avoided_until_ms.get(&key).copied().unwrap_or(0);
            now_ms < until_ms((peer.id, None))
                || now_ms < until_ms((peer.id, Some(address.to_owned())))
        };
        let mut ranked: Vec<&Peer> = peers.iter().collect();
        ranked.shuffle(rng);
        ranked.sort_by_key(|peer| (avoided(peer), peer.failure_domain != own_domain));
        let mut asked = ranked.into_iter().take(PEERS_ASKED_IN_DOUBT).cloned();
        (asked.by_ref().take(PEERS_ASKED_MAX).collect(), asked.collect())
    }

    /// Records that a router could not forward a connection, to any server or to the one at an address.
    pub fn record_peer_failed(&mut self, id: ids::Incarnation, address: Option<&str>, now_ms: u64) {
        let key = (id, address.map(str::to_owned));
        self.avoided_until_ms.insert(key, now_ms + PEER_AVOIDED_MS);
    }

    fn link(&mut self, address: &str, now_ms: u64) -> &mut Link {
        let link = self.links.entry(address.to_owned()).or_default();
        link.used_ms = now_ms;
        link
    }
}
