//! State that traffic threads read without a message to the control actor, such as the compiled configuration.

use crate::{auth, fingerprint, logging, policy};
use doorswitch_core::{config, ids};
use std::{collections, sync::atomic, sync::atomic::AtomicBool, sync::atomic::AtomicU64};
use tokio::sync::watch;

/// A compiled configuration with indexes for lookups.
#[derive(Debug)]
pub struct Snapshot {
    /// The version of the configuration.
    pub version: u64,
    /// The configuration document that it was compiled from.
    pub document: config::Document,
    /// Digests and workspace indexes by the first bytes of the digest; the digests are compared in constant time.
    keys: collections::HashMap<[u8; 8], Vec<(auth::KeyDigest, usize)>>,
    programs: collections::HashMap<String, policy::Program>,
}

impl Snapshot {
    /// Compiles a configuration. A policy that does not compile is logged and denies all requests.
    pub fn new(published: config::Published) -> Self {
        let document = published.document;
        let mut keys: collections::HashMap<_, Vec<_>> = collections::HashMap::new();
        for (index, workspace) in document.workspaces.iter().enumerate() {
            for key in &workspace.keys {
                if let Some(digest) = auth::parse_digest(&key.sha256) {
                    keys.entry(first_bytes(&digest)).or_default().push((digest, index));
                }
            }
        }
        let mut programs = collections::HashMap::new();
        for policy in &document.policies {
            match policy::Program::compile(policy) {
                Ok(program) => {
                    programs.insert(policy.name.clone(), program);
                }
                Err(error) => {
                    log::error!("event=policy_unusable fault={}", logging::quoted(error));
                }
            }
        }
        Self { version: published.version, document, keys, programs }
    }

    /// Returns the workspace of an API key.
    pub fn workspace(&self, key: &str) -> Option<&config::Workspace> {
        let digest = auth::digest(key);
        let candidates = self.keys.get(&first_bytes(&digest))?;
        let (_, index) =
            candidates.iter().find(|(candidate, _)| auth::digests_equal(candidate, &digest))?;
        self.document.workspaces.get(*index)
    }

    /// Evaluates the service's policy for a request. A policy that fails denies it.
    pub fn decide(&self, service: &config::Service, facts: &policy::Facts) -> policy::Decision {
        let Some(program) = self.programs.get(&service.policy) else {
            return policy::Decision::Deny { reason: "the policy is unusable".to_owned() };
        };
        program.decide(facts).unwrap_or_else(|error| {
            log::error!("event=policy_failed fault={}", logging::quoted(error));
            policy::Decision::Deny { reason: "the policy failed".to_owned() }
        })
    }
}

fn first_bytes(digest: &auth::KeyDigest) -> [u8; 8] {
    let mut first = [0; 8];
    first.copy_from_slice(&digest[..8]);
    first
}

/// The state that the control actor publishes to the traffic threads.
#[derive(Debug)]
pub struct Published {
    /// The configuration in force.
    pub snapshot: arc_swap::ArcSwapOption<Snapshot>,
    config_age_ms: AtomicU64,
    /// Head keys of the fingerprints of requests during which servers crashed.
    suspected: arc_swap::ArcSwap<collections::HashSet<u64>>,
    restarted: watch::Sender<ServerIncarnations>,
    any_limits: AtomicBool,
    ready: AtomicBool,
    draining: AtomicBool,
    stopped: AtomicBool,
    open_answers: AtomicU64,
}

/// The current incarnations of servers that restarted, by VM.
pub type ServerIncarnations = collections::HashMap<String, ids::ServerIncarnation>;

/// The number of restarted servers that are recorded. When there are more, all are removed, and requests that are
/// still open at their earlier incarnations have to end by themselves.
const RESTARTED_SERVERS_MAX: usize = 4_096;

/// Represents an unknown age in the atomic field.
const AGE_UNKNOWN_MS: u64 = u64::MAX;

impl Default for Published {
    fn default() -> Self {
        Self {
            snapshot: Default::default(),
            config_age_ms: AtomicU64::new(AGE_UNKNOWN_MS),
            suspected: Default::default(),
            restarted: watch::Sender::new(ServerIncarnations::new()),
            any_limits: Default::default(),
            ready: Default::default(),
            draining: Default::default(),
            stopped: Default::default(),
            open_answers: Default::default(),
        }
    }
}

impl Published {
    /// The time in milliseconds since the configuration in force was known to be the store's newest, as of the last
    /// tick of the control actor; `None` if it never was or if this is unknown.
    pub fn config_age_ms(&self) -> Option<u64> {
        let age_ms = self.config_age_ms.load(atomic::Ordering::Relaxed);
        (age_ms != AGE_UNKNOWN_MS).then_some(age_ms)
    }

    /// Sets the time in milliseconds since the configuration in force was known to be the store's newest.
    pub fn set_config_age_ms(&self, age_ms: Option<u64>) {
        self.config_age_ms.store(age_ms.unwrap_or(AGE_UNKNOWN_MS), atomic::Ordering::Relaxed);
    }

    /// Returns the fingerprint of a request, if servers may have crashed during it. Computes nothing while no request
    /// is suspected, and hashes the body only if the head is suspected.
    pub fn suspected(
        &self,
        head: impl FnOnce() -> fingerprint::HeadDigest,
        body: &[u8],
    ) -> Option<ids::Fingerprint> {
        let suspected = self.suspected.load();
        if suspected.is_empty() {
            return None;
        }
        let head = head();
        suspected.contains(&head.key()).then(|| head.with_body(body))
    }

    /// Sets the suspected requests, by the head keys of their fingerprints.
    pub fn set_suspected(&self, heads: collections::HashSet<u64>) {
        self.suspected.store(std::sync::Arc::new(heads));
    }

    /// Whether any server has a rate limit or is brittle. Then an answer that does not say so is reported too, as it ends
    /// that.
    pub fn any_limits(&self) -> bool {
        self.any_limits.load(atomic::Ordering::Relaxed)
    }

    /// Sets whether any server has a rate limit or is brittle.
    pub fn set_any_limits(&self, any_limits: bool) {
        self.any_limits.store(any_limits, atomic::Ordering::Relaxed);
    }

    /// Publishes the new incarnation of a server that restarted.
    pub fn publish_restart(&self, vm: String, incarnation: ids::ServerIncarnation) {
        self.restarted.send_modify(|incarnations| {
            if incarnations.len() >= RESTARTED_SERVERS_MAX {
                incarnations.clear();
            }
            incarnations.insert(vm, incarnation);
        });
    }

    /// Subscribes to the incarnations of restarted servers.
    pub fn subscribe_restarts(&self) -> watch::Receiver<ServerIncarnations> {
        self.restarted.subscribe()
    }

    /// Whether the router accepts work: it is ready and is not draining.
    pub fn ready(&self) -> bool {
        self.ready.load(atomic::Ordering::Relaxed) && !self.draining.load(atomic::Ordering::Relaxed)
    }

    /// Sets whether the core is ready.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, atomic::Ordering::Relaxed);
    }

    /// Marks the router as draining. It is no longer ready, but serves the requests that still arrive.
    pub fn set_draining(&self) {
        self.draining.store(true, atomic::Ordering::Relaxed);
    }

    /// Whether the core has stopped and returned its grants.
    pub fn stopped(&self) -> bool {
        self.stopped.load(atomic::Ordering::Relaxed)
    }

    /// Marks the core as stopped.
    pub fn set_stopped(&self) {
        self.stopped.store(true, atomic::Ordering::Relaxed);
    }

    /// Counts an answer as open until the returned guard is dropped.
    pub fn open_answer(self: &std::sync::Arc<Self>) -> OpenAnswer {
        self.open_answers.fetch_add(1, atomic::Ordering::Relaxed);
        OpenAnswer(self.clone())
    }

    /// The number of answers that are being sent.
    pub fn open_answers(&self) -> u64 {
        self.open_answers.load(atomic::Ordering::Relaxed)
    }
}

/// A guard that counts an open answer.
#[derive(Debug)]
pub struct OpenAnswer(std::sync::Arc<Published>);

impl Drop for OpenAnswer {
    fn drop(&mut self) {
        self.0.open_answers.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}
