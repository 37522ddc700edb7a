//! Runs that broke off, until it is known whether their server crashed.
//!
//! A connection may break for many reasons; a server crashed when its life is over. That its address refuses
//! connections shows it at once; that another life, or another server, is recorded at its address, or that its record
//! goes without having said that it leaves, shows it later. A server that answers a later request has not crashed.

use super::SAME_CRASH_MS;
use crate::ids;
use std::collections;

/// A run that broke off is kept for so long: three heartbeats of a server and the way of the news, twice.
const KEPT_MS: u64 = 15_000;
/// The most lives of servers, and the most runs on each.
const LIVES_MAX: usize = 256;
const RUNS_MAX: usize = 256;

/// One life of a VM's server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LifeOf {
    /// The VM.
    pub vm: String,
    /// Which of its server's lives.
    pub life: ids::ServerLife,
}

#[derive(Debug)]
struct Life {
    address: String,
    /// When it was known to be over, by a crash.
    crashed_ms: Option<u64>,
    noted_ms: u64,
    broken: Vec<Broken>,
}

impl Life {
    /// Whether it is known to have crashed; lives that have no name are told apart by when they end.
    fn crashed(&self, life: ids::ServerLife, now_ms: u64) -> bool {
        let named = life != ids::ServerLife::UNKNOWN;
        self.crashed_ms.is_some_and(|at_ms| named || now_ms < at_ms + SAME_CRASH_MS)
    }
}

#[derive(Clone, Copy, Debug)]
struct Broken {
    request: ids::Fingerprint,
    at_ms: u64,
}

/// Runs that broke off lately, by the lives of their servers.
#[derive(Debug, Default)]
pub struct Runs(collections::BTreeMap<LifeOf, Life>);

impl Runs {
    /// Notes a run that broke off; whether its server is known to have crashed.
    pub fn broke(
        &mut self,
        server: &LifeOf,
        address: &str,
        request: ids::Fingerprint,
        now_ms: u64,
    ) -> bool {
        if self.0.len() >= LIVES_MAX && !self.0.contains_key(server) {
            let oldest = self.0.iter().min_by_key(|(_, life)| life.noted_ms);
            if let Some(oldest) = oldest.map(|(server, _)| server.clone()) {
                self.0.remove(&oldest);
            }
        }
        let life = self.0.entry(server.clone()).or_insert_with(|| Life {
            address: address.to_owned(),
            crashed_ms: None,
            noted_ms: now_ms,
            broken: Vec::new(),
        });
        life.noted_ms = now_ms;
        let crashed = life.crashed(server.life, now_ms);
        if !crashed && life.broken.len() < RUNS_MAX {
            life.broken.push(Broken { request, at_ms: now_ms });
        }
        crashed
    }

    /// Notes that a server crashed; the requests whose runs that broke, with the time when.
    pub fn crashed(&mut self, server: &LifeOf, now_ms: u64) -> Vec<(ids::Fingerprint, u64)> {
        let Some(life) = self.0.get_mut(server) else { return Vec::new() };
        life.crashed_ms = Some(now_ms);
        let broken = std::mem::take(&mut life.broken);
        broken.into_iter().map(|run| (run.request, run.at_ms)).collect()
    }

    /// Notes that a server answered a request in full that was sent to it then: it did not crash before.
    pub fn answered(&mut self, server: &LifeOf, sent_ms: u64) {
        if let Some(life) = self.0.get_mut(server) {
            life.broken.retain(|run| run.at_ms >= sent_ms);
        }
    }

    /// Whether there is any.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Lives with broken runs of which nobody knows whether a crash broke them, with their addresses.
    pub fn open(&self) -> impl Iterator<Item = (&LifeOf, &str)> {
        let open = self.0.iter().filter(|(_, life)| !life.broken.is_empty());
        open.map(|(server, life)| (server, life.address.as_str()))
    }

    /// Forgets what is too old to be told from chance.
    pub fn forget_old(&mut self, now_ms: u64) {
        for life in self.0.values_mut() {
            life.broken.retain(|run| now_ms < run.at_ms + KEPT_MS);
        }
        self.0.retain(|_, life| now_ms < life.noted_ms + KEPT_MS);
    }
}
