//! The settings of one router process, read from a YAML file.

use doorswitch_core::{grants, watch};
use serde::Deserialize;
use snafu::{ResultExt, ensure};
use std::{fs, net, path};

/// The default time within which changes in the store must take effect, in milliseconds.
const DEFAULT_CHANGE_DELAY_MS: u64 = 2_000;

/// Why settings could not be read or are invalid.
#[derive(Debug, snafu::Snafu)]
#[allow(missing_docs)]
pub enum Error {
    #[snafu(display("cannot read {}: {source}", file.display()))]
    Read { file: path::PathBuf, source: std::io::Error },
    #[snafu(display("{}: {fault}", file.display()))]
    Parse { file: path::PathBuf, fault: String },
    #[snafu(display(
        "{}: {key}: {found} is out of range ({min} to {max} is allowed)",
        file.display()
    ))]
    Range { file: path::PathBuf, key: &'static str, found: u64, min: u64, max: u64 },
}

/// The settings of one router.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The name of the VM that the process runs on, as in the platform's list.
    pub vm: String,
    /// The name of the region.
    pub region: String,
    /// The name of the failure domain.
    pub failure_domain: String,
    /// The address for callers of the API, which is not served if this is absent.
    pub callers: Option<Callers>,
    /// The address for clients of the routes, which are not served if this is absent.
    pub gateway: Option<Gateway>,
    /// The address for operators.
    pub operators: Operators,
    /// The addresses for other routers.
    pub peers: Peers,
    /// The platform's service with its store.
    pub platform: Platform,
    /// The limits of callers, requests and the process.
    #[serde(default)]
    pub limits: Limits,
}

/// The address for callers of the API.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Callers {
    /// The address to listen on.
    pub listen: net::SocketAddr,
    /// The number of threads that serve callers.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: u64,
}

/// The address for clients of the routes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Gateway {
    /// The address to listen on.
    pub listen: net::SocketAddr,
    /// How long a planned stop still accepts connections, in milliseconds, until the load balancer has detected it.
    #[serde(default = "default_drain_ms")]
    pub drain_ms: u64,
}

/// The address for operators.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operators {
    /// The address to listen on.
    pub listen: net::SocketAddr,
    /// The SHA-256 digest of the operators' key in hexadecimal. Without it, requests that need the key are refused.
    pub key_sha256: Option<String>,
}

/// The addresses for other routers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// The address to listen on, for connections and datagrams.
    pub listen: net::SocketAddr,
    /// The address at which other routers reach this one, if it is not the one to listen on.
    pub advertise: Option<net::SocketAddr>,
    /// Addresses at which other routers may be reached.
    #[serde(default)]
    pub seeds: Vec<net::SocketAddr>,
    /// The port for peers of the seeds, if their addresses contain another port.
    pub seeds_port: Option<u16>,
}

impl Peers {
    /// The addresses of the seeds, with their port for peers.
    pub fn seed_addresses(&self) -> Vec<String> {
        let at_port = |seed: &net::SocketAddr| {
            net::SocketAddr::new(seed.ip(), self.seeds_port.unwrap_or(seed.port())).to_string()
        };
        self.seeds.iter().map(at_port).collect()
    }
}

/// Settings of the calls to the platform's service.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The address of the service, as `http://host:port`.
    pub url: String,
    /// The protocol of the store.
    #[serde(default)]
    pub protocol: Protocol,
    /// The timeout of a call, in milliseconds.
    #[serde(default = "default_platform_timeout_ms")]
    pub timeout_ms: u64,
    /// Reads per second that the service accepts from all routers together.
    #[serde(default = "default_reads_per_s")]
    pub reads_per_s: u64,
    /// Writes per second that the service accepts from all routers together.
    #[serde(default = "default_writes_per_s")]
    pub writes_per_s: u64,
    /// The time within which a configuration must be in force at every router, in milliseconds.
    #[serde(default)]
    pub configuration_ms: Option<u64>,
    /// The time within which all routers must stop sending to a server that is leaving, in milliseconds.
    #[serde(default)]
    pub leaving_ms: Option<u64>,
    /// The maximum age of a backup when the store is restored from it, in seconds.
    #[serde(default = "default_backup_age_s")]
    pub backup_age_s: u64,
    /// Whether this is the first start of the whole deployment. Then an earlier restore of the store has lost nothing
    /// of the ledger.
    #[serde(default)]
    pub first_start: Option<bool>,
}

impl Platform {
    /// The times within which changes in the store must take effect; `None` if the core does not poll for them with
    /// this protocol.
    pub fn watch_bounds(&self) -> Option<watch::Bounds> {
        match self.protocol {
            Protocol::Consul => None,
            Protocol::Revisions => Some(watch::Bounds {
                configuration_ms: self.configuration_ms.unwrap_or(DEFAULT_CHANGE_DELAY_MS),
                servers_ms: self.leaving_ms.unwrap_or(DEFAULT_CHANGE_DELAY_MS),
            }),
        }
    }
}

/// The protocol of the platform's store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Protocol {
    /// The Consul HTTP API, and a list of VMs.
    #[default]
    Consul,
    /// Keys with revisions, transactions and watches. Operators and servers write to the store directly.
    Revisions,
}

/// The limits of callers, requests and the process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The largest body of a request, in bytes.
    pub body_bytes_max: u64,
    /// How long a caller may take to send the head of a request, in milliseconds.
    pub head_read_ms: u64,
    /// How long a caller may take to send the body of a request, in milliseconds.
    pub body_read_ms: u64,
    /// The maximum number of open connections of callers for each traffic thread.
    pub connections_max: u64,
    /// The number of established connections that wait at each listening socket until they are accepted. The kernel may
    /// allow fewer.
    pub listen_backlog: u64,
    /// How long a request may wait for tokens, in milliseconds.
    pub budget_wait_ms: u64,
    /// How long an unrepeatable request may wait for its claim, in milliseconds.
    pub claim_wait_ms: u64,
    /// How long the last chunk of an answer waits for the settlement to be safe, in milliseconds.
    pub handover_wait_ms: u64,
    /// The deadline of requests that contain none, in milliseconds.
    pub deadline_ms: u64,
    /// The time between two requests for the load of a backend server, in milliseconds.
    pub load_poll_ms: u64,
    /// The number of servers of each service that this router requests the load of.
    pub load_subset: u64,
    /// How long a planned stop may take, in seconds.
    pub stop_grace_s: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body_bytes_max: 2 << 20,
            head_read_ms: 5_000,
            body_read_ms: 10_000,
            connections_max: 10_000,
            listen_backlog: 4_096,
            budget_wait_ms: 500,
            claim_wait_ms: 3_000,
            handover_wait_ms: 1_000,
            deadline_ms: 120_000,
            load_poll_ms: 500,
            load_subset: 32,
            stop_grace_s: 300,
        }
    }
}

fn default_drain_ms() -> u64 {
    3_000
}

fn default_traffic_threads() -> u64 {
    2
}

fn default_platform_timeout_ms() -> u64 {
    1_000
}

fn default_backup_age_s() -> u64 {
    grants::DEFAULT_BACKUP_AGE_MS / 1_000
}

fn default_reads_per_s() -> u64 {
    2_000
}

fn default_writes_per_s() -> u64 {
    100
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn load(file: &path::Path) -> Result<Self, Error> {
        let text = fs::read_to_string(file).context(ReadSnafu { file })?;
        Self::parse(&text, file)
    }

    /// Parses and checks settings that were read from `file`.
    pub fn parse(text: &str, file: &path::Path) -> Result<Self, Error> {
        let settings: Self = serde_saphyr::from_str(text).map_err(|error| {
            let fault = fault_with_field(text, &error);
            Error::Parse { file: file.to_owned(), fault }
        })?;
        settings.check(file)?;
        Ok(settings)
    }

    /// The address at which other routers reach this one.
    pub fn advertised(&self) -> net::SocketAddr {
        self.peers.advertise.unwrap_or(self.peers.listen)
    }

    fn check(&self, file: &path::Path) -> Result<(), Error> {
        let limits = &self.limits;
        let traffic_threads = self.callers.as_ref().map_or(1, |callers| callers.traffic_threads);
        let drain_ms = self.gateway.as_ref().map_or(0, |gateway| gateway.drain_ms);
        let configuration_ms = self.platform.configuration_ms.unwrap_or(DEFAULT_CHANGE_DELAY_MS);
        let leaving_ms = self.platform.leaving_ms.unwrap_or(DEFAULT_CHANGE_DELAY_MS);
        let ranges = [
            ("callers.traffic_threads", traffic_threads, 1, 256),
            ("gateway.drain_ms", drain_ms, 0, 600_000),
            ("platform.timeout_ms", self.platform.timeout_ms, 10, 60_000),
            ("platform.reads_per_s", self.platform.reads_per_s, 1, 1_000_000),
            ("platform.writes_per_s", self.platform.writes_per_s, 1, 1_000_000),
            ("platform.configuration_ms", configuration_ms, 500, 600_000),
            ("platform.leaving_ms", leaving_ms, 500, 600_000),
            ("platform.backup_age_s", self.platform.backup_age_s, 1, 86_400),
            ("limits.body_bytes_max", limits.body_bytes_max, 1_024, 1 << 30),
            ("limits.head_read_ms", limits.head_read_ms, 100, 600_000),
            ("limits.body_read_ms", limits.body_read_ms, 100, 600_000),
            ("limits.connections_max", limits.connections_max, 1, 1_000_000),
            ("limits.listen_backlog", limits.listen_backlog, 1, 65_535),
            ("limits.budget_wait_ms", limits.budget_wait_ms, 0, 60_000),
            ("limits.claim_wait_ms", limits.claim_wait_ms, 100, 60_000),
            ("limits.handover_wait_ms", limits.handover_wait_ms, 0, 60_000),
            ("limits.deadline_ms", limits.deadline_ms, 100, 3_600_000),
            ("limits.load_poll_ms", limits.load_poll_ms, 50, 60_000),
            ("limits.load_subset", limits.load_subset, 1, 10_000),
            ("limits.stop_grace_s", limits.stop_grace_s, 1, 86_400),
        ];
        for (key, found, min, max) in ranges {
            let allowed = min..=max;
            ensure!(allowed.contains(&found), RangeSnafu { file, key, found, min, max });
        }
        let is_digest = |digest: &String| {
            digest.len() == 64 && digest.bytes().all(|byte| byte.is_ascii_hexdigit())
        };
        let valid = self.operators.key_sha256.as_ref().is_none_or(is_digest);
        let fault = "operators.key_sha256: 64 hexadecimal digits are allowed";
        ensure!(valid, ParseSnafu { file, fault });
        Ok(())
    }
}

/// Describes an error in settings in one line: the number of the line, the field if it can be found, and what was
/// expected.
fn fault_with_field(text: &str, error: &serde_saphyr::Error) -> String {
    let without_field = error.without_snippet().to_string();
    let Ok(tree) = serde_saphyr::from_str::<serde_json::Value>(text) else { return without_field };
    match (serde_path_to_error::deserialize::<_, Settings>(tree), error.location()) {
        (Err(fault), Some(location)) => format!("line {}: {fault}", location.line()),
        _ => without_field,
    }
}
