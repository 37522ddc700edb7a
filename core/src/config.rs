//! The configuration that operators publish: workspaces, budgets, services and policies.
//!
//! One versioned document for the whole fleet. Settings of one process are not here but in its own
//! file.

mod callers;
mod check;

pub use callers::CallerLimits;

use crate::routes;
use serde::{Deserialize, Serialize};
use std::{collections, fmt};

/// The store's key for the published configuration.
pub const KEY: &str = "doorswitch/config";

/// How many publishes are remembered by their operation id.
const REMEMBERED_PUBLISHES: u64 = 64;
/// The most shards that a layout may name.
const SHARDS_MAX: u32 = 1024;
const TOKENS_MAX: u64 = 1 << 40;
const COVER_MAX_S: u64 = 7 * 24 * 3600;

/// A configuration as it lies in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Published {
    /// Counts up by one with every publish.
    pub version: u64,
    /// The latest publishes by version, this one last, so that a lost reply is not a second publish.
    pub operations: collections::BTreeMap<u64, String>,
    /// What was published.
    pub document: Document,
}

impl Published {
    /// The version after `earlier`, made by `operation`.
    pub fn next(earlier: Option<&Published>, operation: &str, document: Document) -> Self {
        let version = earlier.map_or(0, |earlier| earlier.version) + 1;
        let mut operations = earlier.map(|earlier| earlier.operations.clone()).unwrap_or_default();
        operations.insert(version, operation.to_owned());
        operations.retain(|known, _| *known + REMEMBERED_PUBLISHES > version);
        Self { version, operations, document }
    }

    /// The version that an operation made, if it is one of the latest.
    pub fn version_of(&self, operation: &str) -> Option<u64> {
        let mut operations = self.operations.iter();
        operations.find(|(_, known)| *known == operation).map(|(version, _)| *version)
    }
}

/// What an operator writes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// How the store's values are divided; fixed by the first publish.
    #[serde(default)]
    pub layout: Layout,
    /// Who may call.
    pub workspaces: Vec<Workspace>,
    /// What can be called.
    pub services: Vec<Service>,
    /// Who may use what, at which priority and on which class of VM.
    pub policies: Vec<Policy>,
    /// Which service answers which host and path.
    #[serde(default)]
    pub routes: Vec<routes::Route>,
    /// What a caller of a route may send, and how slowly.
    #[serde(default)]
    pub callers: CallerLimits,
    /// Failure domains whose servers get nothing new.
    #[serde(default)]
    pub evacuated: Vec<String>,
}

/// Numbers of shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Layout {
    /// Values that the budgets are spread over.
    pub ledger_shards: u32,
    /// Logs that the request ids are spread over.
    pub log_shards: u32,
    /// Segments of a log between two checkpoints; they are cleared together.
    #[serde(default = "default_log_epoch_segments")]
    pub log_epoch_segments: u64,
}

fn default_log_epoch_segments() -> u64 {
    256
}

impl Default for Layout {
    fn default() -> Self {
        Self { ledger_shards: 4, log_shards: 4, log_epoch_segments: default_log_epoch_segments() }
    }
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Its name.
    pub name: String,
    /// The keys that it may call with.
    pub keys: Vec<Key>,
    /// Its prepaid budgets.
    pub budgets: Vec<Budget>,
    /// Its rank, for policy programs; higher goes first.
    #[serde(default)]
    pub priority: u8,
}

/// A bearer key, kept as a digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// What the operator calls it.
    pub name: String,
    /// SHA-256 of the key, in hexadecimal.
    pub sha256: String,
}

/// A prepaid budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// Its name within the workspace.
    pub name: String,
    /// Spending that a router keeps in hand, in seconds of its present rate.
    #[serde(default = "default_cover_s")]
    pub cover_s: u64,
    /// What a router keeps in hand at the least.
    #[serde(default = "default_minimum_grant_tokens")]
    pub minimum_grant_tokens: u64,
    /// All tokens paid in, where the configuration says it; otherwise the ledger does.
    #[serde(default)]
    pub prepaid_tokens: Option<u64>,
    /// How much of what is unspent all routers together hold in hand at most, in percent, however fast they spend; a
    /// loss of all routers costs at most about twice this share. 0: the cover alone decides.
    #[serde(default)]
    pub held_percent: u64,
    /// How many routers hold it in hand; the others ask these. 0: every router holds it.
    #[serde(default)]
    pub holders: u64,
}

impl Budget {
    /// How far ahead routers draw from it.
    pub fn cover(&self) -> Cover {
        Cover {
            cover_s: self.cover_s,
            minimum_grant_tokens: self.minimum_grant_tokens,
            held_percent: self.held_percent,
            holders: self.holders,
        }
    }
}

/// How far ahead a router draws tokens. More cover outlasts a longer outage or cut, and loses more
/// when a router dies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cover {
    /// Spending that a router keeps in hand, in seconds of its present rate.
    pub cover_s: u64,
    /// What a router keeps in hand at the least.
    pub minimum_grant_tokens: u64,
    /// The share of what is unspent that all routers together hold, in percent; 0: no share.
    pub held_percent: u64,
    /// How many routers hold the budget in hand; 0: every one.
    pub holders: u64,
}

impl Default for Cover {
    fn default() -> Self {
        Self {
            cover_s: default_cover_s(),
            minimum_grant_tokens: default_minimum_grant_tokens(),
            held_percent: 0,
            holders: 0,
        }
    }
}

fn default_cover_s() -> u64 {
    600
}

fn default_minimum_grant_tokens() -> u64 {
    2_000
}

/// A kind of backend server that callers reach by one name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name; the platform's list of VMs says which VM serves it.
    pub name: String,
    /// What it speaks.
    pub kind: Kind,
    /// The policy that decides over it.
    pub policy: String,
    /// For a model service: the model names that callers use.
    #[serde(default)]
    pub models: Vec<String>,
    /// For a model service: the most tokens that one answer may have.
    #[serde(default = "default_answer_tokens")]
    pub answer_tokens_max: u64,
    /// For a plain service: what one call costs.
    #[serde(default)]
    pub call_tokens: u64,
    /// For a plain service: calls that must run at most once.
    #[serde(default)]
    pub unrepeatable: Vec<Call>,
    /// Requests that a router lets wait for a server.
    #[serde(default = "default_queue_length")]
    pub queue_length: usize,
    /// How long a request may wait for a server.
    #[serde(default = "default_queue_age_ms")]
    pub queue_age_ms: u64,
    /// How long a backend server may take for a whole answer.
    #[serde(default = "default_answer_time_ms")]
    pub answer_time_ms: u64,
    /// Connections that a backend server takes from all routers together; no limit if absent.
    #[serde(default)]
    pub connections_max: Option<u64>,
    /// For a model service: the most tokens in one event of a streamed answer.
    #[serde(default = "default_event_tokens")]
    pub event_tokens: u64,
    /// Requests a second that a cold server bears from all routers together, in thousandths; 0 for no limit.
    #[serde(default)]
    pub cold_milli_per_s: u64,
    /// How long a server is cold after its start, in milliseconds.
    #[serde(default)]
    pub cold_start_ms: u64,
}

fn default_event_tokens() -> u64 {
    1
}

fn default_answer_tokens() -> u64 {
    4_096
}

fn default_queue_length() -> usize {
    64
}

fn default_queue_age_ms() -> u64 {
    500
}

fn default_answer_time_ms() -> u64 {
    120_000
}

/// What a service speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine: metered by the tokens of each answer.
    Model,
    /// A plain HTTP service: metered by the call.
    Plain,
}

/// Calls of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// The HTTP method.
    pub method: String,
    /// What the path begins with.
    pub path_prefix: String,
}

/// A policy program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// Its name.
    pub name: String,
    /// An expression that gives `allow(budget, priority, classes)` or `deny(reason)`.
    pub program: String,
}

/// Something wrong with a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Where: names joined by dots.
    pub place: String,
    /// What is wrong, and what is allowed.
    pub fault: Fault,
}

/// What can be wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A name is empty, too long or has other characters than letters, digits, `-`, `_`, `.`.
    BadName(String),
    /// A name stands twice.
    Duplicate(String),
    /// A number is out of its range.
    OutOfRange {
        /// What was given.
        found: u64,
        /// The least allowed.
        least: u64,
        /// The most allowed.
        most: u64,
    },
    /// Not 64 hexadecimal digits.
    BadDigest,
    /// A reference to something that is not declared.
    Unknown(String),
    /// Another version divided the store's values in another way.
    LayoutChanged,
    /// A policy program does not compile or misbehaves.
    Policy(String),
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.fault)
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadName(name) => write!(
                f,
                "{name:?} is not a name (1 to 64 letters, digits, '-', '_' or '.' are allowed)"
            ),
            Self::Duplicate(name) => write!(f, "{name:?} stands twice"),
            Self::OutOfRange { found, least, most } => {
                write!(f, "{found} is out of range ({least} to {most} is allowed)")
            }
            Self::BadDigest => {
                write!(f, "not a SHA-256 digest (64 hexadecimal digits are allowed)")
            }
            Self::Unknown(name) => write!(f, "{name:?} is not declared"),
            Self::LayoutChanged => write!(f, "the layout is fixed by the first publish"),
            Self::Policy(fault) => write!(f, "{fault}"),
        }
    }
}

/// The name of a budget in the ledger.
pub fn budget_name(workspace: &str, budget: &str) -> String {
    format!("{workspace}/{budget}")
}

impl Document {
    /// Everything wrong with the document but its policy programs, which the caller compiles.
    pub fn problems(&self, earlier: Option<&Document>) -> Vec<Problem> {
        let mut checker = check::Checker::default();
        checker.layout(&self.layout, earlier.map(|earlier| &earlier.layout));
        checker.names("workspaces", self.workspaces.iter().map(|it| it.name.as_str()));
        checker.names("services", self.services.iter().map(|it| it.name.as_str()));
        checker.names("policies", self.policies.iter().map(|it| it.name.as_str()));
        for workspace in &self.workspaces {
            checker.workspace(workspace);
        }
        for service in &self.services {
            checker.service(service, self);
        }
        checker.problems
    }

    /// The service that answers for a model.
    pub fn service_of_model(&self, model: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.models.iter().any(|name| name == model))
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}
