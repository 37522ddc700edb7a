//! Asks the platform's store for what the core wants to follow.

mod pause;

use crate::{control, logging};
use actix::prelude::Addr;
use doorswitch_core::{evacuation, watch};
use doorswitch_platform::{configuration, servers as records, store};
use std::time::{Duration, Instant};

/// Under this prefix routers record where their peers reach them.
const ROUTERS: &str = "doorswitch/routers/";

/// Makes one call of the core.
pub async fn ask(store: store::Client, call: watch::Call) -> watch::Outcome {
    let prefix = prefix(call.topic);
    let whole = call.revision == 0;
    let asked = Instant::now();
    let answer = match whole {
        true => store.list(prefix).await,
        false => {
            let wait = Duration::from_millis(call.wait_ms);
            store.watch(prefix, call.revision, wait).await
        }
    };
    match answer {
        Ok(changes) => {
            let (revision, count) = (changes.revision, changes.changes.len());
            if count > 0 {
                log::info!(
                    "event=store_changed prefix={prefix} revision={revision} changes={count}"
                );
            }
            let news = match call.topic {
                watch::Topic::Configuration => configuration_news(changes.changes, whole),
                watch::Topic::Servers if whole => all_servers(changes.changes),
                watch::Topic::Servers => server_news(changes.changes),
            };
            watch::Outcome::Answered { revision, news }
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
                _ => watch::Outcome::Silent,
            }
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

fn prefix(topic: watch::Topic) -> &'static str {
    match topic {
        watch::Topic::Configuration => configuration::PREFIX,
        watch::Topic::Servers => records::PREFIX,
    }
}

fn configuration_news(changes: Vec<store::Change>, whole: bool) -> watch::News {
    let evacuated = changes.iter().filter_map(|change| {
        let domain = configuration::evacuated_domain(&change.key)?.to_owned();
        let (revision, evacuated) = (change.revision, change.value.is_some());
        Some(evacuation::Change { revision, domain, evacuated })
    });
    let evacuations = match whole {
        true => evacuation::News::All(evacuated.map(|change| change.domain).collect()),
        false => evacuation::News::Changes(evacuated.collect()),
    };
    let newest = changes.into_iter().rev().find(|change| change.key == configuration::KEY);
    let published = newest.and_then(|change| change.value).and_then(|value| {
        configuration::decode(&value)
            .inspect_err(|error| {
                log::error!("event=config_unreadable fault={}", logging::quoted(error));
            })
            .ok()
    });
    let published = published.map(Box::new);
    watch::News::Configuration(watch::ConfigurationNews { published, evacuations })
}

fn all_servers(items: Vec<store::Change>) -> watch::News {
    let listed = items.into_iter().filter_map(|item| {
        let value = item.value?;
        read_record(&item.key, &value)
    });
    watch::News::AllServers(listed.collect())
}

fn server_news(changes: Vec<store::Change>) -> watch::News {
    let changes = changes.into_iter().filter_map(|change| {
        let record = match &change.value {
            Some(value) => watch::ServerRecord::Listed(read_record(&change.key, value)?),
            None => watch::ServerRecord::Gone,
        };
        let vm = change.key.strip_prefix(records::PREFIX)?.to_owned();
        Some(watch::ServerChange { vm, revision: change.revision, record })
    });
    watch::News::Servers(changes.collect())
}

fn read_record(key: &str, value: &[u8]) -> Option<doorswitch_core::servers::Vm> {
    let record = records::decode(key, value);
    if record.is_none() {
        log::error!("event=server_record_unreadable key={key}");
    }
    record
}
