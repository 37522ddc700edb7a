//! Polls the platform's store for the topics that the core follows.

mod retry_delay;
mod unreadable;

use crate::{control, logging};
use actix::prelude::Addr;
use doorswitch_core::{config, evacuation, servers, watch};
use doorswitch_platform::{configuration, servers as records, store};
use snafu::ResultExt;
use std::time::{Duration, Instant};
use std::{net, str};

/// The prefix under which each router records its address for peers.
const ROUTERS_PREFIX: &str = "doorswitch/routers/";

/// Polls the store, and reports each unreadable entry once.
#[derive(Clone)]
pub struct Feed {
    store: store::Client,
    unreadable: unreadable::ReportedEntries,
}

impl Feed {
    /// Creates a feed that polls with this client.
    pub fn new(store: store::Client) -> Self {
        Self { store, unreadable: unreadable::ReportedEntries::default() }
    }

    /// Makes one poll for the core.
    pub async fn poll(self, poll: watch::Poll) -> watch::Outcome {
        let prefix = prefix(poll.topic);
        let complete = poll.after.is_none();
        let started = Instant::now();
        let answer = match poll.after {
            None => self.store.list(prefix).await,
            Some(after) => {
                let wait = Duration::from_millis(poll.wait_ms);
                self.store.watch(prefix, after.revision, wait).await
            }
        };
        match answer {
            Ok(changes) => {
                let (position, count) = (changes.position, changes.changes.len());
                if count > 0 {
                    log::info!(
                        "event=store_changed prefix={prefix} era={} revision={} changes={count}",
                        position.era,
                        position.revision,
                    );
                }
                let update = match poll.topic {
                    watch::Topic::Configuration => {
                        self.configuration_update(&changes.changes, complete)
                    }
                    watch::Topic::Servers if complete => self.all_servers(&changes.changes),
                    watch::Topic::Servers => self.server_updates(&changes.changes),
                };
                watch::Outcome::Answered { position, update }
            }
            Err(store::Error::Forgotten) => {
                log::info!("event=history_forgotten prefix={prefix}");
                watch::Outcome::HistoryLost
            }
            Err(error) => {
                log::info!(
                    "event=watch_failed prefix={prefix} wait_ms={} after_ms={} fault={}",
                    poll.wait_ms,
                    started.elapsed().as_millis(),
                    logging::quoted(&error)
                );
                match error {
                    store::Error::Status { .. } => watch::Outcome::Rejected,
                    store::Error::Restored => watch::Outcome::HistoryLost,
                    _ => watch::Outcome::NoAnswer,
                }
            }
        }
    }

    fn configuration_update(&self, changes: &[store::Change], complete: bool) -> watch::Update {
        let evacuated = changes.iter().filter_map(|change| {
            let domain = configuration::evacuated_domain(&change.key)?.to_owned();
            let evacuated = change.content != store::Content::Removed;
            Some(evacuation::Change { position: change.position, domain, evacuated })
        });
        let evacuations = match complete {
            true => evacuation::Update::All(evacuated.map(|change| change.domain).collect()),
            false => evacuation::Update::Changes(evacuated.collect()),
        };
        let written = changes.iter().rev().filter(|change| change.key == configuration::KEY);
        // An unreadable configuration does not hide the one before it.
        let published = written.filter_map(|change| self.configuration(change)).next();
        let published = published.map(Box::new);
        watch::Update::Configuration(watch::ConfigurationUpdate { published, evacuations })
    }

    fn configuration(&self, change: &store::Change) -> Option<config::Published> {
        let decoded = configuration::decode(&change.content);
        decoded.inspect_err(|error| self.unreadable.report(change, error)).ok()
    }

    fn all_servers(&self, items: &[store::Change]) -> watch::Update {
        let mut all = watch::AllServers::default();
        for item in items {
            match self.record(item) {
                Ok(vm) => {
                    all.revisions.insert(vm.vm.clone(), item.position.revision);
                    all.listed.push(vm);
                }
                Err(_) => all.unreadable.extend(records::name(&item.key).map(str::to_owned)),
            }
        }
        watch::Update::AllServers(all)
    }

    fn server_updates(&self, changes: &[store::Change]) -> watch::Update {
        let changes = changes.iter().filter_map(|change| {
            let record = match change.content {
                store::Content::Removed => watch::ServerRecord::Removed,
                _ => self
                    .record(change)
                    .map_or(watch::ServerRecord::Unreadable, watch::ServerRecord::Listed),
            };
            let vm = records::name(&change.key)?.to_owned();
            Some(watch::ServerChange { vm, position: change.position, record })
        });
        watch::Update::Servers(changes.collect())
    }

    fn record(&self, change: &store::Change) -> Result<servers::Vm, records::Error> {
        let decoded = records::decode(&change.key, &change.content);
        decoded.inspect_err(|error| self.unreadable.report(change, error))
    }
}

/// Records this router's address for peers and reads those of the others. Of two routers, the one that records its
/// address later finds the other; gossip spreads the addresses from there.
pub async fn record_and_find_peers(
    store: store::Client,
    vm: String,
    address: String,
    control: Addr<control::Control>,
) {
    let key = format!("{ROUTERS_PREFIX}{vm}");
    let mut retry_delay = retry_delay::RetryDelay::default();
    let unreadable = unreadable::ReportedEntries::default();
    while let Err(error) = store.put(&key, address.as_bytes()).await {
        retry_delay.wait("router_record_failed", ROUTERS_PREFIX, &error).await;
    }
    loop {
        match store.list(ROUTERS_PREFIX).await {
            Ok(found) => {
                let addresses =
                    found.changes.iter().filter_map(|change| peer_address(change, &unreadable));
                let seeds = addresses.filter(|found| *found != address).collect();
                control.do_send(control::OfferSeeds(seeds));
                return;
            }
            Err(error) => retry_delay.wait("list_failed", ROUTERS_PREFIX, &error).await,
        }
    }
}

/// Why the address in a router's record cannot be read.
#[derive(Debug, snafu::Snafu)]
enum AddressError {
    #[snafu(display("the value is not encoded as the store encodes values"))]
    Undecodable,
    #[snafu(display("the value is not UTF-8: {source}"))]
    Text { source: str::Utf8Error },
    #[snafu(display("the value is not a socket address: {source}"))]
    Address { source: net::AddrParseError },
}

/// Decodes the address in a router's record; reports a record that is unreadable.
fn peer_address(
    change: &store::Change,
    unreadable: &unreadable::ReportedEntries,
) -> Option<String> {
    let read = || {
        let value = match &change.content {
            store::Content::Value(value) => value,
            store::Content::Undecodable => return UndecodableSnafu.fail(),
            store::Content::Removed => return Ok(None),
        };
        let text = str::from_utf8(value).context(TextSnafu)?;
        let address: net::SocketAddr = text.parse().context(AddressSnafu)?;
        Ok(Some(address.to_string()))
    };
    read().inspect_err(|error| unreadable.report(change, error)).ok().flatten()
}

fn prefix(topic: watch::Topic) -> &'static str {
    match topic {
        watch::Topic::Configuration => configuration::PREFIX,
        watch::Topic::Servers => records::PREFIX,
    }
}
