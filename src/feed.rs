//! Asks the platform's store for what the core wants to follow.

mod pause;
mod unreadable;

use crate::{control, logging};
use actix::prelude::Addr;
use doorswitch_core::{config, evacuation, servers, watch};
use doorswitch_platform::{configuration, servers as records, store};
use snafu::ResultExt;
use std::time::{Duration, Instant};
use std::{net, str};

/// Under this prefix routers record where their peers reach them.
const ROUTERS: &str = "doorswitch/routers/";

/// Asks the store, and reports once each entry that cannot be read.
#[derive(Clone)]
pub struct Feed {
    store: store::Client,
    unreadable: unreadable::Reported,
}

impl Feed {
    /// Asks by this client.
    pub fn new(store: store::Client) -> Self {
        Self { store, unreadable: unreadable::Reported::default() }
    }

    /// Makes one call of the core.
    pub async fn ask(self, call: watch::Call) -> watch::Outcome {
        let prefix = prefix(call.topic);
        let whole = call.after.is_none();
        let asked = Instant::now();
        let answer = match call.after {
            None => self.store.list(prefix).await,
            Some(after) => {
                let wait = Duration::from_millis(call.wait_ms);
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
                let news = match call.topic {
                    watch::Topic::Configuration => self.configuration_news(&changes.changes, whole),
                    watch::Topic::Servers if whole => self.all_servers(&changes.changes),
                    watch::Topic::Servers => self.server_news(&changes.changes),
                };
                watch::Outcome::Answered { position, news }
            }
            Err(store::Error::Forgotten) => {
                log::info!("event=history_forgotten prefix={prefix}");
                watch::Outcome::Forgotten
            }
            Err(error) => {
                log::info!(
                    "event=watch_failed prefix={prefix} wait_ms={} after_ms={} fault={}",
                    call.wait_ms,
                    asked.elapsed().as_millis(),
                    logging::quoted(&error)
                );
                match error {
                    store::Error::Status { .. } => watch::Outcome::Refused,
                    store::Error::Restored => watch::Outcome::Forgotten,
                    _ => watch::Outcome::Silent,
                }
            }
        }
    }

    fn configuration_news(&self, changes: &[store::Change], whole: bool) -> watch::News {
        let evacuated = changes.iter().filter_map(|change| {
            let domain = configuration::evacuated_domain(&change.key)?.to_owned();
            let evacuated = change.content != store::Content::Gone;
            Some(evacuation::Change { position: change.position, domain, evacuated })
        });
        let evacuations = match whole {
            true => evacuation::Update::All(evacuated.map(|change| change.domain).collect()),
            false => evacuation::Update::Changes(evacuated.collect()),
        };
        let written = changes.iter().rev().filter(|change| change.key == configuration::KEY);
        // One that cannot be read does not hide the one before it.
        let published = written.filter_map(|change| self.configuration(change)).next();
        let published = published.map(Box::new);
        watch::News::Configuration(watch::ConfigurationNews { published, evacuations })
    }

    fn configuration(&self, change: &store::Change) -> Option<config::Published> {
        let decoded = configuration::decode(&change.content);
        decoded.inspect_err(|error| self.unreadable.report(change, error)).ok()
    }

    fn all_servers(&self, items: &[store::Change]) -> watch::News {
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
        watch::News::AllServers(all)
    }

    fn server_news(&self, changes: &[store::Change]) -> watch::News {
        let changes = changes.iter().filter_map(|change| {
            let record = match change.content {
                store::Content::Gone => watch::ServerRecord::Gone,
                _ => self
                    .record(change)
                    .map_or(watch::ServerRecord::Unreadable, watch::ServerRecord::Listed),
            };
            let vm = records::name(&change.key)?.to_owned();
            Some(watch::ServerChange { vm, position: change.position, record })
        });
        watch::News::Servers(changes.collect())
    }

    fn record(&self, change: &store::Change) -> Result<servers::Vm, records::Error> {
        let decoded = records::decode(&change.key, &change.content);
        decoded.inspect_err(|error| self.unreadable.report(change, error))
    }
}

/// Records this router's address for peers, and learns those of the others: whoever records itself
/// later finds who did before, and gossip does the rest.
pub async fn find_peers(
    store: store::Client,
    vm: String,
    address: String,
    control: Addr<control::Control>,
) {
    let key = format!("{ROUTERS}{vm}");
    let mut pause = pause::Pause::default();
    let unreadable = unreadable::Reported::default();
    while let Err(error) = store.put(&key, address.as_bytes()).await {
        pause.wait("router_record_failed", ROUTERS, &error).await;
    }
    loop {
        match store.list(ROUTERS).await {
            Ok(found) => {
                let addresses =
                    found.changes.iter().filter_map(|change| peer_address(change, &unreadable));
                let seeds = addresses.filter(|found| *found != address).collect();
                control.do_send(control::OfferSeeds(seeds));
                return;
            }
            Err(error) => pause.wait("list_failed", ROUTERS, &error).await,
        }
    }
}

/// Why a record of a router names no address.
#[derive(Debug, snafu::Snafu)]
enum AddressError {
    #[snafu(display("the value is not encoded as the store encodes values"))]
    Undecodable,
    #[snafu(display("the value is no text: {source}"))]
    Text { source: str::Utf8Error },
    #[snafu(display("the text is no address: {source}"))]
    Address { source: net::AddrParseError },
}

/// The address in a router's record.
fn peer_address(change: &store::Change, unreadable: &unreadable::Reported) -> Option<String> {
    let read = || {
        let value = match &change.content {
            store::Content::Value(value) => value,
            store::Content::Undecodable => return UndecodableSnafu.fail(),
            store::Content::Gone => return Ok(None),
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
