//! What traffic threads read without asking the control thread: the configuration, compiled.

use crate::{auth, fingerprint, logging, policy};
use doorswitch_core::{config, ids};
use std::{collections, sync::atomic, sync::atomic::AtomicBool, sync::atomic::AtomicU64};
use tokio::sync::watch;

/// A configuration in a form made for lookups.
#[derive(Debug)]
pub struct Snapshot {
    /// The version.
    pub version: u64,
    /// The document.
    pub document: config::Document,
    /// Keys by the first bytes of their digest; the rest is compared in constant time.
    keys: collections::HashMap<[u8; 8], Vec<(auth::KeyDigest, usize)>>,
    programs: collections::HashMap<String, policy::Program>,
}

impl Snapshot {
    /// Compiles a configuration. A policy that does not compile here denies.
    pub fn new(published: config::Published) -> Self {
        let document = published.document;
        let mut keys: collections::HashMap<_, Vec<_>> = collections::HashMap::new();
        for (place, workspace) in document.workspaces.iter().enumerate() {
            for key in &workspace.keys {
                if let Some(digest) = auth::parse_digest(&key.sha256) {
                    keys.entry(first_bytes(&digest)).or_default().push((digest, place));
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

    /// The workspace that a key belongs to.
    pub fn workspace(&self, key: &str) -> Option<&config::Workspace> {
        let digest = auth::digest(key);
        let candidates = self.keys.get(&first_bytes(&digest))?;
        let (_, place) =
            candidates.iter().find(|(known, _)| auth::digests_equal(known, &digest))?;
        self.document.workspaces.get(*place)
    }

    /// What the service's policy says to a request. A failure denies.
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

/// What the control thread publishes to the traffic threads.
#[derive(Debug)]
pub struct Published {
    /// The configuration in force.
    pub snapshot: arc_swap::ArcSwapOption<Snapshot>,
    config_age_ms: AtomicU64,
    /// What the fingerprints have in common of requests under which servers crashed.
    suspected: arc_swap::ArcSwap<collections::HashSet<u64>>,
    restarted: watch::Sender<Lives>,
    knows_limits: AtomicBool,
    ready: AtomicBool,
    draining: AtomicBool,
    stopped: AtomicBool,
    open_answers: AtomicU64,
}

/// The present lives of servers that started again, by their VMs.
pub type Lives = collections::HashMap<String, ids::ServerLife>;

/// So many servers that started again are remembered; beyond that, what was open at the earliest lives ends by itself.
const LIVES_REMEMBERED: usize = 4_096;

/// Stands for an age that is not known.
const AGE_UNKNOWN_MS: u64 = u64::MAX;

impl Default for Published {
    fn default() -> Self {
        Self {
            snapshot: Default::default(),
            config_age_ms: AtomicU64::new(AGE_UNKNOWN_MS),
            suspected: Default::default(),
            restarted: watch::Sender::new(Lives::new()),
            knows_limits: Default::default(),
            ready: Default::default(),
            draining: Default::default(),
            stopped: Default::default(),
            open_answers: Default::default(),
        }
    }
}

impl Published {
    /// How long ago the configuration in force was the store's newest, as of the control thread's last tick; `None` if
    /// it never was, or if nothing tells.
    pub fn config_age_ms(&self) -> Option<u64> {
        let age_ms = self.config_age_ms.load(atomic::Ordering::Relaxed);
        (age_ms != AGE_UNKNOWN_MS).then_some(age_ms)
    }

    /// Says how long ago the configuration in force was the store's newest.
    pub fn set_config_age_ms(&self, age_ms: Option<u64>) {
        self.config_age_ms.store(age_ms.unwrap_or(AGE_UNKNOWN_MS), atomic::Ordering::Relaxed);
    }

    /// The fingerprint of a request, if it may be one under which servers crashed. While there is none, nothing is
    /// computed; a body is read only for a request whose head is suspected.
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

    /// Says which requests are suspected, by what their fingerprints have in common.
    pub fn set_suspected(&self, heads: collections::HashSet<u64>) {
        self.suspected.store(std::sync::Arc::new(heads));
    }

    /// Whether any server is known to limit what it takes: then answers that name no limit say something too.
    pub fn knows_limits(&self) -> bool {
        self.knows_limits.load(atomic::Ordering::Relaxed)
    }

    /// Says whether any server is known to limit what it takes.
    pub fn set_knows_limits(&self, knows_limits: bool) {
        self.knows_limits.store(knows_limits, atomic::Ordering::Relaxed);
    }

    /// Says that a server started again.
    pub fn restarted(&self, vm: String, life: ids::ServerLife) {
        self.restarted.send_modify(|lives| {
            if lives.len() >= LIVES_REMEMBERED {
                lives.clear();
            }
            lives.insert(vm, life);
        });
    }

    /// Follows which servers started again.
    pub fn follow_restarted(&self) -> watch::Receiver<Lives> {
        self.restarted.subscribe()
    }

    /// Whether the router takes work.
    pub fn ready(&self) -> bool {
        self.ready.load(atomic::Ordering::Relaxed) && !self.draining.load(atomic::Ordering::Relaxed)
    }

    /// Says whether the router takes work.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, atomic::Ordering::Relaxed);
    }

    /// Says that no new work is wanted any more, though what comes is still served.
    pub fn set_draining(&self) {
        self.draining.store(true, atomic::Ordering::Relaxed);
    }

    /// Whether everything is handed back.
    pub fn stopped(&self) -> bool {
        self.stopped.load(atomic::Ordering::Relaxed)
    }

    /// Says that everything is handed back.
    pub fn set_stopped(&self) {
        self.stopped.store(true, atomic::Ordering::Relaxed);
    }

    /// Counts an answer that is being given, until the guard is dropped.
    pub fn open_answer(self: &std::sync::Arc<Self>) -> OpenAnswer {
        self.open_answers.fetch_add(1, atomic::Ordering::Relaxed);
        OpenAnswer(self.clone())
    }

    /// Answers that are being given.
    pub fn open_answers(&self) -> u64 {
        self.open_answers.load(atomic::Ordering::Relaxed)
    }
}

/// An answer that is being given.
#[derive(Debug)]
pub struct OpenAnswer(std::sync::Arc<Published>);

impl Drop for OpenAnswer {
    fn drop(&mut self) {
        self.0.open_answers.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}
