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
/// The same where its server took a new connection after that: one that started again at once is recorded soon.
const KEPT_ACCEPTED_MS: u64 = 3_000;
/// A refused connection shows what broke the runs of the last second; what broke before, the server may have outlived.
const REFUSAL_TELLS_MS: u64 = 1_000;
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
    /// Until when the end of its server's life is taken for what broke it.
    kept_until_ms: u64,
}

/// Runs that broke off lately, by the lives of their servers.
#[derive(Debug, Default)]
pub struct Runs {
    lives: collections::BTreeMap<LifeOf, Life>,
    revision: u64,
}

impl Runs {
    /// Notes a run that broke off; whether its server is known to have crashed.
    pub fn broke(
        &mut self,
        server: &LifeOf,
        address: &str,
        request: ids::Fingerprint,
        now_ms: u64,
    ) -> bool {
        if self.lives.len() >= LIVES_MAX && !self.lives.contains_key(server) {
            let oldest = self.lives.iter().min_by_key(|(_, life)| life.noted_ms);
            if let Some(oldest) = oldest.map(|(server, _)| server.clone()) {
                self.lives.remove(&oldest);
            }
        }
        let life = self.lives.entry(server.clone()).or_insert_with(|| Life {
            address: address.to_owned(),
            crashed_ms: None,
            noted_ms: now_ms,
            broken: Vec::new(),
        });
        life.noted_ms = now_ms;
        self.revision += 1;
        let crashed = life.crashed(server.life, now_ms);
        if !crashed && life.broken.len() < RUNS_MAX {
            life.broken.push(Broken { request, at_ms: now_ms, kept_until_ms: now_ms + KEPT_MS });
        }
        crashed
    }

    /// Notes that a server takes connections: what broke its runs was most likely no crash.
    pub fn accepted(&mut self, server: &LifeOf) {
        let Some(life) = self.lives.get_mut(server) else { return };
        for run in &mut life.broken {
            run.kept_until_ms = run.kept_until_ms.min(run.at_ms + KEPT_ACCEPTED_MS);
        }
    }

    /// Notes that a server's address refuses connections; the requests whose runs its crash broke.
    pub fn refused(&mut self, server: &LifeOf, now_ms: u64) -> Vec<(ids::Fingerprint, u64)> {
        let broken = self.crashed(server, now_ms);
        let lately = broken.into_iter().filter(|(_, at_ms)| now_ms < at_ms + REFUSAL_TELLS_MS);
        lately.collect()
    }

    /// Notes that a server crashed; the requests whose runs that may have broken, with the time when.
    pub fn crashed(&mut self, server: &LifeOf, now_ms: u64) -> Vec<(ids::Fingerprint, u64)> {
        let Some(life) = self.lives.get_mut(server) else { return Vec::new() };
        life.crashed_ms = Some(now_ms);
        let broken = std::mem::take(&mut life.broken);
        broken.into_iter().map(|run| (run.request, run.at_ms)).collect()
    }

    /// Notes that a run of a request ended well: what broke its earlier runs was not the request.
    pub fn ended_well(&mut self, request: ids::Fingerprint) {
        for life in self.lives.values_mut() {
            life.broken.retain(|run| run.request != request);
        }
        self.revision += 1;
    }

    /// What the fingerprints have in common of requests whose runs broke off.
    pub fn heads(&self) -> impl Iterator<Item = u64> {
        self.lives.values().flat_map(|life| life.broken.iter().map(|run| run.request.head))
    }

    /// Grows with each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Notes that a server answered a request in full that was sent to it then: it did not crash before.
    pub fn answered(&mut self, server: &LifeOf, sent_ms: u64) {
        if let Some(life) = self.lives.get_mut(server) {
            life.broken.retain(|run| run.at_ms >= sent_ms);
        }
    }

    /// Whether there is any.
    pub fn is_empty(&self) -> bool {
        self.lives.is_empty()
    }

    /// Lives with broken runs of which nobody knows whether a crash broke them, with their addresses.
    pub fn open(&self) -> impl Iterator<Item = (&LifeOf, &str)> {
        let open = self.lives.iter().filter(|(_, life)| !life.broken.is_empty());
        open.map(|(server, life)| (server, life.address.as_str()))
    }

    /// Forgets what is too old to be told from chance.
    pub fn forget_old(&mut self, now_ms: u64) {
        for life in self.lives.values_mut() {
            life.broken.retain(|run| now_ms < run.kept_until_ms);
        }
        self.lives.retain(|_, life| now_ms < life.noted_ms + KEPT_MS);
    }
}
