//! The configuration that operators publish: workspaces, budgets, services and policies.
//!
//! There is one versioned document for the whole fleet. The settings of a single process are in its own file.

mod callers;
mod check;

pub use callers::CallerLimits;

use crate::routes;
use serde::{Deserialize, Serialize};
use std::{collections, fmt};

/// The store's key for the published configuration.
pub const KEY: &str = "doorswitch/config";

/// The number of latest publishes whose operation ids are kept.
const OPERATION_IDS_MAX: u64 = 64;
/// The maximum number of ledger shards or log shards in a layout.
const SHARDS_MAX: u32 = 1024;
/// The maximum number of tokens in a field of the configuration.
const TOKENS_MAX: u64 = 1 << 40;
/// The largest headroom of a budget, in seconds.
const COVER_MAX_S: u64 = 7 * 24 * 3600;

/// One version of the configuration of all routers, as it is stored in the platform's store: the operator's
/// [`Document`] with its version number and the ids of the latest publishes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Published {
    /// The version, incremented with every publish.
    pub version: u64,
    /// The operation ids of the latest publishes by version, including this one, so that a publish repeated after a
    /// lost reply has no effect.
    pub operations: collections::BTreeMap<u64, String>,
    /// The document that was published.
    pub document: Document,
}

impl Published {
    /// Returns the version that follows `earlier`, published by `operation`.
    pub fn next(earlier: Option<&Published>, operation: &str, document: Document) -> Self {
        let version = earlier.map_or(0, |earlier| earlier.version) + 1;
        let mut operations = earlier.map(|earlier| earlier.operations.clone()).unwrap_or_default();
        operations.insert(version, operation.to_owned());
        operations.retain(|recorded, _| *recorded + OPERATION_IDS_MAX > version);
        Self { version, operations, document }
    }

    /// Returns the version that an operation published; `None` if it is none of the latest.
    pub fn version_of(&self, operation: &str) -> Option<u64> {
        let mut operations = self.operations.iter();
        operations.find(|(_, recorded)| *recorded == operation).map(|(version, _)| *version)
    }
}

/// The configuration document that an operator writes and publishes to all routers. It lists the workspaces (customers)
/// with their prepaid token budgets, the services (groups of backend servers), the policies, which decide who may use a
/// service, the routes from hosts and paths to services, and the evacuated failure domains, whose servers get no new
/// requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The division of the store's values into shards; fixed by the first publish.
    #[serde(default)]
    pub layout: Layout,
    /// The workspaces, whose keys callers authenticate with.
    pub workspaces: Vec<Workspace>,
    /// The services that can be called.
    pub services: Vec<Service>,
    /// The policies, which decide who may use a service, at which priority and on which class of VM.
    pub policies: Vec<Policy>,
    /// The routes from hosts and paths to services.
    #[serde(default)]
    pub routes: Vec<routes::Route>,
    /// The limits on the size and duration of what clients of routes send.
    #[serde(default)]
    pub callers: CallerLimits,
    /// The failure domains whose servers get no new requests.
    #[serde(default)]
    pub evacuated: Vec<String>,
}

/// How the data that routers write to the platform's store are divided, so that fewer routers compete to write the same
/// value: the number of values (shards) for the ledger, the record of all token budgets; the number of logs (shards),
/// divided by request id, that record who may run a request and what it cost; and the number of segments (stored
/// batches of log entries) that are deleted together. It is fixed by the first publish of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Layout {
    /// The number of stored values among which the budgets are divided.
    pub ledger_shards: u32,
    /// The number of logs among which the request ids are divided.
    pub log_shards: u32,
    /// The number of segments of a log between two checkpoints; they are deleted together.
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

/// A customer of the deployment, as the operator configures it: the keys with which its callers authenticate, and its
/// prepaid token budgets, from which their requests are paid.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The name of the workspace.
    pub name: String,
    /// The bearer keys of its callers.
    pub keys: Vec<Key>,
    /// The prepaid budgets of the workspace.
    pub budgets: Vec<Budget>,
    /// The priority that policy programs get as input; higher is served first.
    #[serde(default)]
    pub priority: u8,
}

/// A bearer key with which callers authenticate as a [`Workspace`], a customer whose prepaid token budgets pay for
/// their requests. The operator enters it in the configuration of the workspace. Only its name and its digest are
/// stored, so that the key cannot be read from the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// The name that the operator gave the key.
    pub name: String,
    /// The SHA-256 digest of the key, in hexadecimal.
    pub sha256: String,
}

/// The operator's settings of a prepaid token budget of a [`Workspace`], a customer: the tokens paid in, how many
/// tokens each router takes from it in advance, and how many routers do so. The amounts spent are in
/// [`crate::ledger::Budget`], the stored record of the same budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    /// The name of the budget, unique within the workspace.
    pub name: String,
    /// The headroom that a router keeps, in seconds of spending at its present rate.
    #[serde(default = "default_cover_s")]
    pub cover_s: u64,
    /// The minimum headroom that a router keeps, in tokens.
    #[serde(default = "default_minimum_grant_tokens")]
    pub minimum_grant_tokens: u64,
    /// The total of tokens paid in; `None` if it is recorded in the ledger only.
    #[serde(default)]
    pub prepaid_tokens: Option<u64>,
    /// The largest share of the unspent tokens that is granted to all routers together, in percent, however fast they
    /// spend. A loss of all routers costs at most about twice this share. 0: only the headroom limits it.
    #[serde(default)]
    pub held_percent: u64,
    /// The number of routers that hold grants of the budget; the others request tokens from these. 0: every router
    /// holds grants.
    #[serde(default)]
    pub holders: u64,
    /// The seconds over which the last part of the budget is spread after crashes of routers lost a part of it; most of
    /// the last part is then spent on requests of at most the average size. 0: the budget is spent as fast as requests
    /// arrive until no token is left.
    #[serde(default)]
    pub loss_spread_s: u64,
}

impl Budget {
    /// Returns how far ahead routers draw tokens from the budget.
    pub fn cover(&self) -> Cover {
        Cover {
            cover_s: self.cover_s,
            minimum_grant_tokens: self.minimum_grant_tokens,
            held_percent: self.held_percent,
            holders: self.holders,
            loss_spread_s: self.loss_spread_s,
        }
    }
}

/// The settings of one budget by which a router decides how many tokens it takes in advance from the ledger, the stored
/// record of all token budgets, to spend them without a call to the store. More such headroom lasts through a longer
/// outage or network partition, and loses more tokens when a router fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cover {
    /// The headroom that a router keeps, in seconds of spending at its present rate.
    pub cover_s: u64,
    /// The minimum headroom that a router keeps, in tokens.
    pub minimum_grant_tokens: u64,
    /// The largest share of the unspent tokens that is granted to all routers together, in percent; 0: no such limit.
    pub held_percent: u64,
    /// The number of routers that hold grants of the budget; 0: every router.
    pub holders: u64,
    /// The seconds over which the last part of the budget is spread after crashes lost a part of it; 0: not at all.
    pub loss_spread_s: u64,
}

impl Default for Cover {
    fn default() -> Self {
        Self {
            cover_s: default_cover_s(),
            minimum_grant_tokens: default_minimum_grant_tokens(),
            held_percent: 0,
            holders: 0,
            loss_spread_s: 0,
        }
    }
}

fn default_cover_s() -> u64 {
    600
}

fn default_minimum_grant_tokens() -> u64 {
    2_000
}

/// A group of interchangeable backend servers that callers and routes refer to by one name, as the operator configures
/// it: whether they are model servers or plain HTTP servers ([`Kind`]), the policy, and the limits on queues, answers
/// and connections.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name of the service, by which the platform's list of VMs refers to it.
    pub name: String,
    /// The protocol and metering of the service.
    pub kind: Kind,
    /// The name of the policy that decides on its requests.
    pub policy: String,
    /// For a model service: the model names that callers use.
    #[serde(default)]
    pub models: Vec<String>,
    /// For a model service: the maximum number of tokens in one answer.
    #[serde(default = "default_answer_tokens")]
    pub answer_tokens_max: u64,
    /// For a plain service: the cost of one call, in tokens.
    #[serde(default)]
    pub call_tokens: u64,
    /// For a plain service: the calls that must run at most once, by method and path.
    #[serde(default)]
    pub unrepeatable: Vec<CallPattern>,
    /// The maximum number of requests that wait for a server at one router.
    #[serde(default = "default_queue_length")]
    pub queue_length: usize,
    /// The longest wait of a request for a server, in milliseconds.
    #[serde(default = "default_queue_age_ms")]
    pub queue_age_ms: u64,
    /// The longest time that a backend server may take for a whole answer, in milliseconds.
    #[serde(default = "default_answer_time_ms")]
    pub answer_time_ms: u64,
    /// The maximum number of connections of all routers together to one backend server; `None` for no limit. The
    /// routers do not apply it.
    #[serde(default)]
    pub connections_max: Option<u64>,
    /// For a model service: the maximum number of tokens in one event of a streamed answer.
    #[serde(default = "default_event_tokens")]
    pub event_tokens: u64,
    /// The maximum rate of requests of all routers together to a cold server, in thousandths of a request per second; 0
    /// for no limit.
    #[serde(default)]
    pub cold_milli_per_s: u64,
    /// How long a server is considered cold after its start, in milliseconds.
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

/// Whether a [`Service`] consists of model servers, whose answers are charged by their tokens, or of plain HTTP
/// servers, where each call costs a fixed number of tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine, metered by the tokens of each answer.
    Model,
    /// A plain HTTP service, metered by the call.
    Plain,
}

/// A pattern in the configuration that selects calls by their HTTP method and the beginning of their path. It applies
/// to a [`Service`] of plain HTTP servers ([`Kind::Plain`]) and marks the calls that must run at most once, so that a
/// router does not repeat one that may have run.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallPattern {
    /// The HTTP method of the calls; its case is ignored.
    pub method: String,
    /// The prefix of the path of the calls.
    pub path_prefix: String,
}

impl fmt::Debug for CallPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // `doorswitch publish` writes this text in its list of changes.
        let Self { method, path_prefix } = self;
        f.debug_struct("Call").field("method", method).field("path_prefix", path_prefix).finish()
    }
}

/// A named program in the configuration that decides for each request to a [`Service`] whether it is allowed, and if
/// so, from which budget it is paid, with which priority, and on which classes of VM it may run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// The name of the policy.
    pub name: String,
    /// An expression that evaluates to `allow(budget, priority, classes)` or `deny(reason)`.
    pub program: String,
}

/// An error that was found in a configuration [`Document`], with the path of the invalid field. It is reported to the
/// operator, and the document is not published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The path of the invalid field, with its names joined by dots.
    pub field: String,
    /// The error, with what is allowed.
    pub fault: Fault,
}

/// What is wrong with a field of a configuration [`Document`], such as an invalid name, a number out of its range or a
/// reference to an undeclared name; [`Problem`] adds the path of the field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A name is empty, too long or contains other characters than letters, digits, `-`, `_` and `.`.
    BadName(String),
    /// A name is used more than once.
    Duplicate(String),
    /// A number is out of its range.
    OutOfRange {
        /// The number in the document.
        found: u64,
        /// The smallest number allowed.
        min: u64,
        /// The greatest number allowed.
        max: u64,
    },
    /// A digest does not consist of 64 hexadecimal digits.
    BadDigest,
    /// A reference to a name that is not declared.
    Unknown(String),
    /// The layout differs from that of the version before.
    LayoutChanged,
    /// A policy program does not compile or fails.
    Policy(String),
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.fault)
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadName(name) => write!(
                f,
                "{name:?} is not a valid name (1 to 64 letters, digits, '-', '_' or '.' are allowed)"
            ),
            Self::Duplicate(name) => write!(f, "{name:?} is used more than once"),
            Self::OutOfRange { found, min, max } => {
                write!(f, "{found} is out of range ({min} to {max} is allowed)")
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

/// Returns the name of a budget in the ledger.
pub fn budget_name(workspace: &str, budget: &str) -> String {
    format!("{workspace}/{budget}")
}

impl Document {
    /// Returns all errors in the document except those in policy programs, which the caller compiles.
    pub fn problems(&self, earlier: Option<&Document>) -> Vec<Problem> {
        let mut checker = check::Checker::default();
        checker.layout(&self.layout, earlier.map(|earlier| &earlier.layout));
        checker
            .names("workspaces", self.workspaces.iter().map(|workspace| workspace.name.as_str()));
        checker.names("services", self.services.iter().map(|service| service.name.as_str()));
        checker.names("policies", self.policies.iter().map(|policy| policy.name.as_str()));
        for workspace in &self.workspaces {
            checker.workspace(workspace);
        }
        for service in &self.services {
            checker.service(service, self);
        }
        checker.problems
    }

    /// Returns the service that serves a model; `None` if there is none.
    pub fn service_of_model(&self, model: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.models.iter().any(|name| name == model))
    }

    /// Returns the service with this name; `None` if there is none.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}
