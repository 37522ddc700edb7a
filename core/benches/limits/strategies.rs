//! The strategies that are compared.

use super::Shape;
use doorswitch_core::rendezvous;
use rand::RngExt;
use rand::rngs::StdRng;

pub const NAMES: [&str; 4] = ["chance", "even", "ranked", "permits"];
/// Permits that may be granted at once after a pause.
const BURST: f64 = 2.0;
/// Time after which an unused permit expires.
const PERMIT_TTL_MS: f64 = 250.0;
/// Time from a permit request to its reply.
const ROUND_TRIP_MS: f64 = 20.0;

pub trait Strategy {
    /// Takes the right to send the first of the waiting requests of a router now, which waits no longer than `left_ms`,
    /// and returns the server.
    fn take_server(
        &mut self,
        router: usize,
        waiting: usize,
        left_ms: u64,
        now_ms: u64,
    ) -> Option<usize>;
    fn messages(&self) -> u64 {
        0
    }
}

pub fn new(name: &str, shape: &Shape, rng: &mut StdRng) -> Box<dyn Strategy> {
    match name {
        "chance" => Box::new(Buckets::new(shape, rng, chance)),
        "even" => Box::new(Buckets::new(shape, rng, even)),
        "ranked" => Box::new(Buckets::new(shape, rng, ranked)),
        _ => Box::new(Permits::new(shape, rng)),
    }
}

/// The summed rates of all routers at each server, in thousandths of a request a second.
pub fn summed_rates(name: &str, shape: &Shape, rng: &mut StdRng) -> Vec<f64> {
    let buckets = Buckets::new(shape, rng, if name == "chance" { chance } else { ranked });
    let rates = |server: usize| buckets.buckets.iter().skip(server).step_by(shape.servers);
    (0..shape.servers).map(|server| rates(server).map(|(rate, ..)| rate).sum()).collect()
}

/// Token buckets with room for one request, one for each router and server.
struct Buckets {
    servers: usize,
    /// By router and server: the rate and the level in thousandths of a request, and when the level was updated.
    buckets: Vec<(f64, f64, u64)>,
}

/// Returns the rate of each router at a server, from the ids of the routers and the id of the server.
type Share = fn(&Shape, &[u64], u64) -> Vec<f64>;

impl Buckets {
    fn new(shape: &Shape, rng: &mut StdRng, share: Share) -> Self {
        let ids: Vec<u64> = (0..shape.routers).map(|_| rng.random()).collect();
        let by_server: Vec<Vec<f64>> =
            (0..shape.servers).map(|_| share(shape, &ids, rng.random())).collect();
        let rates =
            (0..shape.routers).flat_map(|router| by_server.iter().map(move |rates| rates[router]));
        Self { servers: shape.servers, buckets: rates.map(|rate| (rate, 0.0, 0)).collect() }
    }
}

impl Strategy for Buckets {
    fn take_server(&mut self, router: usize, _: usize, _: u64, now_ms: u64) -> Option<usize> {
        let own = &mut self.buckets[router * self.servers..(router + 1) * self.servers];
        for (server, (rate, level, since_ms)) in own.iter_mut().enumerate() {
            *level = (*level + *rate * (now_ms - *since_ms) as f64 / 1e3).min(1_000.0);
            *since_ms = now_ms;
            if *level >= 1_000.0 {
                *level -= 1_000.0;
                return Some(server);
            }
        }
        None
    }
}

/// Selects the routers that may send by a hash, with one request a second each, as for cold servers.
fn chance(shape: &Shape, ids: &[u64], server: u64) -> Vec<f64> {
    let used = shape.milli_per_s as f64 * 0.6;
    let all = ids.len() as f64 * 1_000.0;
    let share = |id: &u64| {
        if used >= all {
            return (used / all).floor() * 1_000.0;
        }
        let score = rendezvous::weight(*id, server) as f64 / u64::MAX as f64;
        if score * all < used { 1_000.0 } else { 0.0 }
    };
    ids.iter().map(share).collect()
}

fn even(shape: &Shape, ids: &[u64], _: u64) -> Vec<f64> {
    vec![shape.milli_per_s as f64 / ids.len() as f64; ids.len()]
}

/// Selects the first routers in rendezvous order, so few that their buckets together stay within the allowed number.
fn ranked(shape: &Shape, ids: &[u64], server: u64) -> Vec<f64> {
    let selected = (shape.milli_per_s as usize / 1_000 + 3).min(ids.len());
    let mut order: Vec<usize> = (0..ids.len()).collect();
    order.sort_by_key(|router| std::cmp::Reverse(rendezvous::weight(server, ids[*router])));
    let mut rates = vec![0.0; ids.len()];
    for router in &order[..selected] {
        rates[*router] = shape.milli_per_s as f64 / selected as f64;
    }
    rates
}

/// One router grants the permits of each server, in the order of the requests, at intervals that follow the limit.
struct Permits {
    servers: usize,
    pacer: Vec<usize>,
    interval_ms: f64,
    next_ms: Vec<f64>,
    /// By router and server: from when a permit may be used, and when it expires.
    granted: Vec<Option<(f64, f64)>>,
    refused_until_ms: Vec<f64>,
    messages: u64,
}

impl Permits {
    fn new(shape: &Shape, rng: &mut StdRng) -> Self {
        let interval_ms = 1e6 / shape.milli_per_s as f64;
        let pairs = shape.routers * shape.servers;
        Self {
            servers: shape.servers,
            pacer: (0..shape.servers).map(|_| rng.random_range(0..shape.routers)).collect(),
            interval_ms,
            next_ms: vec![interval_ms; shape.servers],
            granted: vec![None; pairs],
            refused_until_ms: vec![0.0; pairs],
            messages: 0,
        }
    }

    /// Requests a permit that becomes usable while its request still waits.
    fn request_permit(&mut self, router: usize, server: usize, left_ms: f64, now_ms: f64) {
        let remote = self.pacer[server] != router;
        let delay_ms = if remote { ROUND_TRIP_MS } else { 0.0 };
        self.messages += if remote { 2 } else { 0 };
        let pair = router * self.servers + server;
        let burst_ms = (BURST - 1.0) * self.interval_ms;
        let next_ms = self.next_ms[server].max(now_ms - burst_ms);
        let start_ms = now_ms.max(next_ms);
        if start_ms + delay_ms - now_ms >= left_ms {
            self.refused_until_ms[pair] = start_ms - left_ms / 2.0;
            return;
        }
        self.next_ms[server] = next_ms + self.interval_ms;
        self.granted[pair] = Some((start_ms + delay_ms, start_ms + delay_ms + PERMIT_TTL_MS));
    }
}

impl Strategy for Permits {
    fn take_server(
        &mut self,
        router: usize,
        waiting: usize,
        left_ms: u64,
        now_ms: u64,
    ) -> Option<usize> {
        let (now_ms, left_ms) = (now_ms as f64, left_ms as f64);
        let mut permits = 0;
        // The order of servers differs between routers, so that they do not all wait for the same one.
        let first = rendezvous::mix(router as u64 ^ now_ms.to_bits()) as usize;
        let servers = self.servers;
        for server in (0..servers).map(|offset| (first + offset) % servers) {
            let pair = router * self.servers + server;
            self.granted[pair] = self.granted[pair].filter(|(_, until_ms)| now_ms < *until_ms);
            if self.granted[pair].is_none()
                && permits < waiting
                && now_ms >= self.refused_until_ms[pair]
            {
                self.request_permit(router, server, left_ms, now_ms);
            }
            permits += usize::from(self.granted[pair].is_some());
            if self.granted[pair].is_some_and(|(from_ms, _)| now_ms >= from_ms) {
                self.granted[pair] = None;
                return Some(server);
            }
        }
        None
    }

    fn messages(&self) -> u64 {
        self.messages
    }
}
