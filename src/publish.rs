//! Operators' changes in the platform's store: configurations and payments.
//!
//! Each change has an operation id, so that repeating it after a lost reply does not apply it twice.

use crate::platform;
use doorswitch_core::{config, ledger};
use snafu::ResultExt;
use std::time::{Duration, Instant};

/// The delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Why a change was not made, or may not have been made.
#[derive(Debug, snafu::Snafu)]
#[allow(missing_docs)]
pub enum Error {
    #[snafu(display(
        "the platform cannot be reached, and it is unknown whether the change was made; \
         repeat the command with --operation {operation:?} ({source})"
    ))]
    Unknown { operation: String, source: platform::Error },
    #[snafu(display("{source}"))]
    Unreachable { source: platform::Error },
    #[snafu(display(
        "version {published_version} is published, but the document was made from version {base}; \
         compare the two versions, then publish again with --base {published_version}"
    ))]
    Conflict { base: u64, published_version: u64 },
    #[snafu(display("the published configuration is not readable: {source}"))]
    Unreadable { source: serde_json::Error },
    #[snafu(display("{source}"))]
    Ledger { source: ledger::Error },
    #[snafu(display("workspace {workspace:?} has no budget {budget:?} in the configuration"))]
    NoBudget { workspace: String, budget: String },
}

/// The published configuration, with its index in the store.
#[derive(Clone, Debug)]
pub struct Current {
    /// The modification index; 0 before the first publish.
    pub index: u64,
    /// The published configuration; `None` if there is none.
    pub published: Option<config::Published>,
}

impl Current {
    /// The version of the configuration; 0 before the first publish.
    pub fn version(&self) -> u64 {
        self.published.as_ref().map_or(0, |published| published.version)
    }
}

/// Reads the published configuration.
pub async fn current(platform: &platform::Client) -> Result<Current, Error> {
    let entry = platform.read(config::KEY).await.context(UnreachableSnafu)?;
    let Some(entry) = entry else { return Ok(Current { index: 0, published: None }) };
    let published = serde_json::from_slice(&entry.value).context(UnreadableSnafu)?;
    Ok(Current { index: entry.index, published: Some(published) })
}

/// Publishes a document that was made from version `base`; returns its version.
///
/// Retries for as long as `retry_time`. After a lost reply, the configuration is read again: a version with the same
/// operation id is the one that was published.
pub async fn publish(
    platform: &platform::Client,
    document: &config::Document,
    base: u64,
    operation: &str,
    retry_time: Duration,
) -> Result<u64, Error> {
    let deadline = Instant::now() + retry_time;
    let mut sent = false;
    loop {
        match try_publish(platform, document, base, operation, &mut sent).await {
            Ok(Some(version)) => return Ok(version),
            Ok(None) => {}
            Err(Error::Unreachable { source }) => {
                if Instant::now() >= deadline {
                    return Err(match sent {
                        true => Error::Unknown { operation: operation.to_owned(), source },
                        false => Error::Unreachable { source },
                    });
                }
            }
            Err(other) => return Err(other),
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

async fn try_publish(
    platform: &platform::Client,
    document: &config::Document,
    base: u64,
    operation: &str,
    sent: &mut bool,
) -> Result<Option<u64>, Error> {
    let current = current(platform).await?;
    let earlier = current.published.as_ref();
    if let Some(version) = earlier.and_then(|published| published.version_of(operation)) {
        return Ok(Some(version));
    }
    let published_version = current.version();
    snafu::ensure!(published_version == base, ConflictSnafu { base, published_version });
    let published = config::Published::next(earlier, operation, document.clone());
    let version = published.version;
    let value = serde_json::to_vec(&published).context(UnreadableSnafu)?;
    *sent = true;
    let written =
        platform.write(config::KEY, current.index, value).await.context(UnreachableSnafu)?;
    Ok(written.then_some(version))
}

/// Adds tokens to a budget, once for each operation id; returns the total of tokens paid into it. Retries for as long
/// as `retry_time`.
pub async fn pay(
    platform: &platform::Client,
    workspace: &str,
    budget: &str,
    tokens: u64,
    operation: &str,
    retry_time: Duration,
) -> Result<u64, Error> {
    let published = current(platform).await?.published;
    let document = published.map(|published| published.document);
    let shards = document.as_ref().map_or(1, |document| document.layout.ledger_shards);
    let declared = document.is_some_and(|document| {
        let mut workspaces =
            document.workspaces.iter().filter(|declared| declared.name == workspace);
        workspaces.any(|declared| declared.budgets.iter().any(|candidate| candidate.name == budget))
    });
    snafu::ensure!(declared, NoBudgetSnafu { workspace, budget });
    let name = config::budget_name(workspace, budget);
    let key = ledger::key(ledger::shard_of(&name, shards));
    let deadline = Instant::now() + retry_time;
    loop {
        match try_pay(platform, &key, &name, tokens, operation).await {
            Ok(Some(paid_tokens)) => return Ok(paid_tokens),
            Ok(None) => {}
            Err(Error::Unreachable { source }) if Instant::now() >= deadline => {
                return Err(Error::Unknown { operation: operation.to_owned(), source });
            }
            Err(Error::Unreachable { .. }) => {}
            Err(other) => return Err(other),
        }
        tokio::time::sleep(RETRY_DELAY.mul_f64(rand::random_range(0.1..1.0))).await;
    }
}

async fn try_pay(
    platform: &platform::Client,
    key: &str,
    name: &str,
    tokens: u64,
    operation: &str,
) -> Result<Option<u64>, Error> {
    let entry = platform.read(key).await.context(UnreachableSnafu)?;
    let (index, mut shard) = match entry {
        Some(entry) => (entry.index, ledger::Shard::decode(&entry.value).context(LedgerSnafu)?),
        None => (0, ledger::Shard::default()),
    };
    let new = shard.pay(name, operation, tokens).context(LedgerSnafu)?;
    let paid_tokens = shard.budgets.get(name).map_or(0, |budget| budget.paid_tokens);
    if !new {
        return Ok(Some(paid_tokens));
    }
    let written = platform.write(key, index, shard.encode()).await.context(UnreachableSnafu)?;
    Ok(written.then_some(paid_tokens))
}
