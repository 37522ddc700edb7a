//! Follows the configuration and the list of servers in the platform's store, by watches.

use crate::{control, logging};
use actix::prelude::Addr;
use doorswitch_core::servers;
use doorswitch_platform::{configuration, servers as records, store};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long one watch waits for a change.
const WATCH: Duration = Duration::from_secs(10);
/// After a failure the next call waits about this long.
const AGAIN: Duration = Duration::from_millis(250);
/// After a change of the list of servers the next watch waits this long, so that servers that come or go
/// together cost one call: well below the time within which a leaving server must get nothing new.
const GATHER: Duration = Duration::from_millis(300);
/// Under this prefix every router records where its peers reach it.
const ROUTERS: &str = "doorswitch/routers/";

/// What a prefix holds, as last heard.
#[derive(Debug, Default)]
struct Mirror {
    revision: u64,
    items: BTreeMap<String, store::Change>,
}

impl Mirror {
    fn replace(&mut self, changes: store::Changes) {
        self.items.clear();
        self.apply(changes);
    }

    fn apply(&mut self, changes: store::Changes) {
        self.revision = changes.revision;
        for change in changes.changes {
            // A page may be newer than the watch that follows it.
            let known = self.items.get(&change.key).map_or(0, |known| known.revision);
            match change.value {
                _ if change.revision < known => {}
                Some(_) => {
                    self.items.insert(change.key.clone(), change);
                }
                None => {
                    self.items.remove(&change.key);
                }
            }
        }
    }
}

/// Follows the configuration for ever.
pub async fn follow_configuration(store: store::Client, control: Addr<control::Control>) {
    follow(&store, configuration::PREFIX, Duration::ZERO, |mirror| {
        let Some(change) = mirror.items.get(configuration::KEY) else { return };
        let Some(value) = &change.value else { return };
        match configuration::decode(value) {
            Ok(published) => control.do_send(control::OfferConfig(published)),
            Err(error) => {
                log::error!("event=config_unreadable fault={}", logging::quoted(error));
            }
        }
    })
    .await;
}

/// Follows the list of servers for ever.
pub async fn follow_servers(store: store::Client, control: Addr<control::Control>) {
    follow(&store, records::PREFIX, GATHER, |mirror| {
        let decoded = mirror.items.values().filter_map(|change| {
            let value = change.value.as_ref()?;
            records::decode(&change.key, value)
        });
        let vms: Vec<servers::Vm> = decoded.collect();
        control.do_send(control::OfferVms { index: mirror.revision, vms });
    })
    .await;
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
    while let Err(error) = store.put(&key, address.as_bytes()).await {
        pause("router_record_failed", &error).await;
    }
    loop {
        match store.list(ROUTERS).await {
            Ok(found) => {
                let values = found.changes.into_iter().filter_map(|change| change.value);
                let addresses = values.filter_map(|value| String::from_utf8(value).ok());
                let seeds = addresses.filter(|found| *found != address).collect();
                control.do_send(control::OfferSeeds(seeds));
                return;
            }
            Err(error) => pause("router_list_failed", &error).await,
        }
    }
}

async fn follow(
    store: &store::Client,
    prefix: &str,
    gather: Duration,
    mut changed: impl FnMut(&Mirror),
) {
    let mut mirror = Mirror::default();
    loop {
        match store.list(prefix).await {
            Ok(all) => {
                mirror.replace(all);
                changed(&mirror);
            }
            Err(error) => {
                pause("list_failed", &error).await;
                continue;
            }
        }
        loop {
            match store.watch(prefix, mirror.revision, WATCH).await {
                Ok(changes) if changes.changes.is_empty() => mirror.revision = changes.revision,
                Ok(changes) => {
                    log::info!(
                        "event=store_changed prefix={prefix} revision={} changes={}",
                        changes.revision,
                        changes.changes.len(),
                    );
                    mirror.apply(changes);
                    changed(&mirror);
                    tokio::time::sleep(gather).await;
                }
                Err(store::Error::Forgotten) => {
                    log::info!("event=history_forgotten prefix={prefix}");
                    break;
                }
                Err(error) => pause("watch_failed", &error).await,
            }
        }
    }
}

async fn pause(event: &str, error: &store::Error) {
    log::debug!("event={event} fault={}", logging::quoted(error));
    tokio::time::sleep(AGAIN.mul_f64(rand::random_range(0.5..1.5))).await;
}
