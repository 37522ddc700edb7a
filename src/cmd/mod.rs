//! The command line: one file for each subcommand.

mod budget;
mod check;
mod completions;
mod config;
mod dump;
mod key;
mod policy;
mod publish;
mod quarantine;
mod router;
mod status;

use crate::{document, platform, publish as publishing, router as running, settings};
use std::path::PathBuf;
use std::time::Duration;

/// The environment variable that holds an operator's key.
const KEY_VARIABLE: &str = "DOORSWITCH_OPERATOR_KEY";
/// How long a command retries calls to the platform, and the timeout of calls to routers.
const TIMEOUT: Duration = Duration::from_secs(10);

const EXIT_CODES: &str = "Exit codes: 0 done, 1 failed or refused, 2 wrong usage, \
    3 another change was made first, 4 the platform or a router cannot be reached.";

/// Why a command failed.
#[derive(Debug, snafu::Snafu)]
#[allow(missing_docs)]
pub enum Error {
    #[snafu(context(false), display("{source}"))]
    Settings { source: settings::Error },
    #[snafu(context(false), display("{source}"))]
    Document { source: document::Error },
    #[snafu(context(false), display("{source}"))]
    Publish { source: publishing::Error },
    #[snafu(context(false), display("{source}"))]
    Platform { source: platform::Error },
    #[snafu(context(false), display("{source}"))]
    Router { source: running::Error },
    #[snafu(context(false), display("{source}"))]
    Policy { source: crate::policy::Error },
    #[snafu(context(false), display("cannot show it as JSON: {source}"))]
    Json { source: serde_json::Error },
    #[snafu(context(false), display("{source}"))]
    Log { source: doorswitch_core::log_index::Error },
    #[snafu(context(false), display("{source}"))]
    Ledger { source: doorswitch_core::ledger::Error },
    #[snafu(context(false), display("{source}"))]
    Operator { source: OperatorError },
}

/// Why a command of an operator failed, apart from the errors of the modules that it uses.
#[derive(Debug, snafu::Snafu)]
#[allow(missing_docs)]
pub enum OperatorError {
    #[snafu(display("set {KEY_VARIABLE} to the operators' key"))]
    NoKey,
    #[snafu(display("router {url} cannot be reached: {fault}"))]
    Unreachable { url: String, fault: String },
    #[snafu(display("router {url} refused with status {status}"))]
    Refused { url: String, status: u16 },
    #[snafu(display("nothing is published yet"))]
    NothingPublished,
    #[snafu(display("no {kind} {name:?} in the document"))]
    NotDeclared { kind: &'static str, name: String },
    #[snafu(display("no crash counts against the request {request}"))]
    NotQuarantined { request: doorswitch_core::ids::Fingerprint },
    #[snafu(display("cannot read standard input: {source}"))]
    Input { source: std::io::Error },
}

impl Error {
    /// The exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Publish { source: publishing::Error::Conflict { .. } } => 3,
            Self::Publish {
                source: publishing::Error::Unknown { .. } | publishing::Error::Unreachable { .. },
            } => 4,
            Self::Platform { .. } => 4,
            Self::Operator { source: OperatorError::Unreachable { .. } } => 4,
            _ => 1,
        }
    }
}

/// The definition of the command line.
pub fn command() -> clap::Command {
    clap::Command::new("doorswitch")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Prepaid token budgets before model and application backend servers")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(router::command())
        .subcommand(check::command())
        .subcommand(publish::command())
        .subcommand(config::command())
        .subcommand(budget::command())
        .subcommand(status::command())
        .subcommand(dump::command())
        .subcommand(quarantine::command())
        .subcommand(policy::command())
        .subcommand(key::command())
        .subcommand(completions::command())
}

/// Runs the subcommand of a parsed command line.
pub fn run(matches: &clap::ArgMatches) -> Result<(), Error> {
    match matches.subcommand() {
        Some(("router", matches)) => router::run(matches),
        Some(("check", matches)) => check::run(matches),
        Some(("publish", matches)) => publish::run(matches),
        Some(("config", matches)) => config::run(matches),
        Some(("budget", matches)) => budget::run(matches),
        Some(("status", matches)) => status::run(matches),
        Some(("dump", matches)) => dump::run(matches),
        Some(("quarantine", matches)) => quarantine::run(matches),
        Some(("policy", matches)) => policy::run(matches),
        Some(("key", matches)) => key::run(matches),
        Some(("completions", matches)) => completions::run(matches),
        // clap rejects all other names.
        _ => Ok(()),
    }
}

fn file_arg(name: &'static str, help: &'static str) -> clap::Arg {
    clap::Arg::new(name).value_name("FILE").value_parser(clap::value_parser!(PathBuf)).help(help)
}

fn platform_arg() -> clap::Arg {
    clap::Arg::new("platform")
        .long("platform")
        .value_name("URL")
        .default_value("http://127.0.0.1:8500")
        .help("The address of the platform's service")
}

fn format_arg() -> clap::Arg {
    clap::Arg::new("format")
        .long("format")
        .value_parser(["table", "json"])
        .default_value("table")
        .help("A table for people, or JSON for scripts")
}

fn operation_arg() -> clap::Arg {
    clap::Arg::new("operation")
        .long("operation")
        .value_name("ID")
        .help("A command that is repeated with the same id is applied once [default: a new id]")
}

fn routers_arg() -> clap::Arg {
    clap::Arg::new("router")
        .long("router")
        .value_name("URL")
        .required(true)
        .action(clap::ArgAction::Append)
        .help("A router's operators' address, as http://host:port")
}

fn urls(matches: &clap::ArgMatches) -> Vec<String> {
    matches.get_many::<String>("router").into_iter().flatten().cloned().collect()
}

fn text(matches: &clap::ArgMatches, name: &str) -> String {
    matches.get_one::<String>(name).cloned().unwrap_or_default()
}

fn path(matches: &clap::ArgMatches, name: &str) -> PathBuf {
    matches.get_one::<PathBuf>(name).cloned().unwrap_or_default()
}

fn as_json(matches: &clap::ArgMatches) -> bool {
    text(matches, "format") == "json"
}

fn operation(matches: &clap::ArgMatches) -> String {
    matches
        .get_one::<String>("operation")
        .cloned()
        .unwrap_or_else(|| uuid::Uuid::new_v4().to_string())
}

fn platform_client(matches: &clap::ArgMatches) -> platform::Client {
    platform::Client::new(&text(matches, "platform"), 2_000, None)
}

fn block_on<T>(work: impl Future<Output = T>) -> T {
    actix::System::new().block_on(work)
}

/// Requests the complete state of a router.
async fn fetch_dump(url: &str) -> Result<serde_json::Value, OperatorError> {
    call_router(url, awc::http::Method::GET, "/dump").await
}

/// Sends a `POST` request without a body to a router's API for operators.
async fn post_to_router(url: &str, target: &str) -> Result<serde_json::Value, OperatorError> {
    call_router(url, awc::http::Method::POST, target).await
}

async fn call_router(
    url: &str,
    method: awc::http::Method,
    target: &str,
) -> Result<serde_json::Value, OperatorError> {
    let key = std::env::var(KEY_VARIABLE).map_err(|_| OperatorError::NoKey)?;
    let client = awc::Client::builder().timeout(TIMEOUT).finish();
    let target = format!("{}{target}", url.trim_end_matches('/'));
    let request = client.request(method, target).bearer_auth(key);
    let unreachable = |fault: String| OperatorError::Unreachable { url: url.to_owned(), fault };
    let mut response = request.send().await.map_err(|error| unreachable(error.to_string()))?;
    let status = response.status().as_u16();
    snafu::ensure!(status == 200, RefusedSnafu { url, status });
    let body = response.json().limit(256 << 20);
    body.await.map_err(|error| unreachable(error.to_string()))
}
