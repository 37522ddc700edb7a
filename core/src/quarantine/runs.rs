//! Interrupted runs, until it is known whether their server crashed.
//!
//! A connection can break for many reasons; a server has crashed if its incarnation has ended.
//! Refused connections at its address show that at once. Another incarnation or another server
//! recorded at its address, or a record that disappears without the server having announced that it
//! is leaving, shows it later. A server that answers a later request has not crashed.

use super::SAME_CRASH_WINDOW_MS;
use crate::ids;
use std::collections;

/// Time for which an interrupted run is kept: twice the sum of three heartbeats of a server and the
/// delay of updates.
const INTERRUPTED_RUN_TTL_MS: u64 = 15_000;
/// Time for which an interrupted run is kept if its server accepted a new connection since: the
/// record of a server that restarted at once appears soon.
const ACCEPTED_RUN_TTL_MS: u64 = 3_000;
/// A refused connection explains only runs that were interrupted within this time; the server may
/// have survived what interrupted earlier ones.
const REFUSAL_WINDOW_MS: u64 = 1_000;
/// Maximum number of server incarnations, and of interrupted requests and prompt parts on each.
const INSTANCES_MAX: usize = 256;
const RUNS_PER_INSTANCE_MAX: usize = 256;

/// One run of a VM's backend server from start to end. It identifies the server on which a run of a request was
/// interrupted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerInstance {
    /// VM of the server.
    pub vm: String,
    /// Incarnation of the server.
    pub incarnation: ids::ServerIncarnation,
}

#[derive(Debug)]
struct InstanceRuns {
    address: String,
    /// Time at which the crash of the incarnation was detected.
    crashed_ms: Option<u64>,
    updated_ms: u64,
    interrupted: Vec<InterruptedRun>,
}

impl InstanceRuns {
    /// Whether the incarnation is known to have crashed. Incarnations without an identifier are
    /// distinguished by the times of their crashes.
    fn crashed(&self, incarnation: ids::ServerIncarnation, now_ms: u64) -> bool {
        let identified = incarnation != ids::ServerIncarnation::UNKNOWN;
        self.crashed_ms.is_some_and(|at_ms| identified || now_ms < at_ms + SAME_CRASH_WINDOW_MS)
    }
}

#[derive(Clone, Copy, Debug)]
struct InterruptedRun {
    /// Fingerprint of the request, or of a part of its prompt.
    request: ids::Fingerprint,
    at_ms: u64,
    /// Time until which the end of the incarnation counts as the cause of the interruption.
    kept_until_ms: u64,
}

/// The requests whose connection to a backend server broke recently, by the server's VM and incarnation. They are kept
/// until it is known whether the server crashed, which then counts against these requests.
#[derive(Debug, Default)]
pub struct Runs {
    instances: collections::BTreeMap<ServerInstance, InstanceRuns>,
    revision: u64,
}

impl Runs {
    /// Records an interrupted run; returns whether its server is known to have crashed.
    pub fn record_interrupted(
        &mut self,
        server: &ServerInstance,
        address: &str,
        request: ids::Fingerprint,
        now_ms: u64,
    ) -> bool {
        if self.instances.len() >= INSTANCES_MAX && !self.instances.contains_key(server) {
            let oldest = self.instances.iter().min_by_key(|(_, runs)| runs.updated_ms);
            if let Some(oldest) = oldest.map(|(server, _)| server.clone()) {
                self.instances.remove(&oldest);
            }
        }
        let runs = self.instances.entry(server.clone()).or_insert_with(|| InstanceRuns {
            address: address.to_owned(),
            crashed_ms: None,
            updated_ms: now_ms,
            interrupted: Vec::new(),
        });
        runs.updated_ms = now_ms;
        self.revision += 1;
        let crashed = runs.crashed(server.incarnation, now_ms);
        if request.is_part() {
            // Of the runs that share a part, the last one stands for all.
            runs.interrupted.retain(|run| run.request != request);
        }
        if !crashed && runs.interrupted.len() < RUNS_PER_INSTANCE_MAX {
            runs.interrupted.push(InterruptedRun {
                request,
                at_ms: now_ms,
                kept_until_ms: now_ms + INTERRUPTED_RUN_TTL_MS,
            });
        }
        crashed
    }

    /// Records that a server accepts connections: its runs were most likely not interrupted by a
    /// crash.
    pub fn record_accepted(&mut self, server: &ServerInstance) {
        let Some(runs) = self.instances.get_mut(server) else { return };
        for run in &mut runs.interrupted {
            run.kept_until_ms = run.kept_until_ms.min(run.at_ms + ACCEPTED_RUN_TTL_MS);
        }
    }

    /// Records that a server's address refuses connections; returns the requests that its crash
    /// interrupted, with the times of the interruptions.
    pub fn record_refused(
        &mut self,
        server: &ServerInstance,
        now_ms: u64,
    ) -> Vec<(ids::Fingerprint, u64)> {
        let interrupted = self.record_crash(server, now_ms);
        let recent =
            interrupted.into_iter().filter(|(_, at_ms)| now_ms < at_ms + REFUSAL_WINDOW_MS);
        recent.collect()
    }

    /// Records that a server crashed; returns the requests that the crash may have interrupted,
    /// with the times of the interruptions.
    pub fn record_crash(
        &mut self,
        server: &ServerInstance,
        now_ms: u64,
    ) -> Vec<(ids::Fingerprint, u64)> {
        let Some(runs) = self.instances.get_mut(server) else { return Vec::new() };
        runs.crashed_ms = Some(now_ms);
        let interrupted = std::mem::take(&mut runs.interrupted);
        interrupted.into_iter().map(|run| (run.request, run.at_ms)).collect()
    }

    /// Records that a run of a request succeeded: the request did not cause the interruption of its
    /// earlier runs.
    pub fn record_success(&mut self, request: ids::Fingerprint) {
        let mut removed = 0;
        for runs in self.instances.values_mut() {
            removed += runs.interrupted.extract_if(.., |run| run.request == request).count();
        }
        self.revision += u64::from(removed > 0);
    }

    /// Fingerprint heads of the requests with interrupted runs.
    pub fn heads(&self) -> impl Iterator<Item = u64> {
        let interrupted = self.instances.values().flat_map(|runs| &runs.interrupted);
        interrupted.filter(|run| !run.request.is_part()).map(|run| run.request.head)
    }

    /// Counter that increases with each change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Records that a server completely answered a request that was sent at `sent_ms`: it did not
    /// crash before.
    pub fn record_answer(&mut self, server: &ServerInstance, sent_ms: u64) {
        if let Some(runs) = self.instances.get_mut(server) {
            runs.interrupted.retain(|run| run.at_ms >= sent_ms);
        }
    }

    /// Whether no incarnations are recorded.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    /// Incarnations with interrupted runs whose cause is not known, with their addresses.
    pub fn open(&self) -> impl Iterator<Item = (&ServerInstance, &str)> {
        let open = self.instances.iter().filter(|(_, runs)| !runs.interrupted.is_empty());
        open.map(|(server, runs)| (server, runs.address.as_str()))
    }

    /// Removes runs that are too old to be attributed to a crash.
    pub fn remove_expired(&mut self, now_ms: u64) {
        for runs in self.instances.values_mut() {
            runs.interrupted.retain(|run| now_ms < run.kept_until_ms);
        }
        self.instances.retain(|_, runs| now_ms < runs.updated_ms + INTERRUPTED_RUN_TTL_MS);
    }
}
