//! Follows the configuration and the list of servers in the platform's store, by watches.

mod mirror;
mod pause;

use crate::{control, logging};
use actix::prelude::Addr;
use doorswitch_core::{ledger, servers};
use doorswitch_platform::{configuration, servers as records, store};
use std::time::Duration;
use tokio::time;

/// How long one watch waits for a change.
const WATCH: Duration = Duration::from_secs(10);
/// After a change the next watch waits this long, so that changes that come together cost each router one call.
/// It is well below the two seconds within which a change of the configuration must be in force everywhere and
/// a leaving server must get nothing new.
const GATHER: Duration = Duration::from_millis(500);
/// Under this prefix every router records where its peers reach it.
const ROUTERS: &str = "doorswitch/routers/";

/// Follows the configuration for ever.
pub async fn follow_configuration(store: store::Client, control: Addr<control::Control>) {
    follow(&store, configuration::PREFIX, |mirror| {
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
    follow(&store, records::PREFIX, |mirror| {
        let vms = mirror.items.values().filter_map(record).collect();
        let lapsed = mirror.lapsed().filter_map(record).collect();
        control.do_send(control::OfferVms { index: mirror.revision, vms, lapsed });
    })
    .await;
}

fn record(change: &store::Change) -> Option<servers::Vm> {
    records::decode(&change.key, change.value.as_ref()?)
}

/// Reads the ledger's values once, for what an earlier life of this router left there.
pub async fn find_inheritance(store: store::Client, control: Addr<control::Control>) {
    let mut pause = pause::Pause::default();
    loop {
        match store.list(ledger::PREFIX).await {
            Ok(found) => {
                let values = found.changes.into_iter();
                let values = values.filter_map(|change| Some((change.key, change.value?)));
                control.do_send(control::OfferLedgers(values.collect()));
                return;
            }
            Err(error) => pause.wait("list_failed", ledger::PREFIX, &error).await,
        }
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
    while let Err(error) = store.put(&key, address.as_bytes()).await {
        pause.wait("router_record_failed", ROUTERS, &error).await;
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
            Err(error) => pause.wait("list_failed", ROUTERS, &error).await,
        }
    }
}

async fn follow(store: &store::Client, prefix: &str, mut changed: impl FnMut(&mirror::Mirror)) {
    let mut mirror = mirror::Mirror::default();
    let mut pause = pause::Pause::default();
    loop {
        match store.list(prefix).await {
            Ok(all) => {
                mirror.heard(pause.succeeded());
                mirror.replace(all);
                changed(&mirror);
            }
            Err(error) => {
                pause.wait("list_failed", prefix, &error).await;
                continue;
            }
        }
        loop {
            let watch = store.watch(prefix, mirror.revision, WATCH);
            let Ok(news) = time::timeout_at(mirror.forgets_at(), watch).await else {
                if mirror.forget_lapsed() {
                    changed(&mirror);
                }
                continue;
            };
            match news {
                Ok(changes) => {
                    mirror.heard(pause.succeeded());
                    let news = changes.changes.len();
                    if news > 0 {
                        let revision = changes.revision;
                        log::info!(
                            "event=store_changed prefix={prefix} revision={revision} changes={news}"
                        );
                    }
                    mirror.apply(changes);
                    if mirror.forget_lapsed() || news > 0 {
                        changed(&mirror);
                        time::sleep(GATHER).await;
                    }
                }
                Err(store::Error::Forgotten) => {
                    log::info!("event=history_forgotten prefix={prefix}");
                    break;
                }
                Err(error) => pause.wait("watch_failed", prefix, &error).await,
            }
        }
    }
}
