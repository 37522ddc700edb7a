//! Follows the configuration and the list of servers in the platform's store, by watches.

use crate::{control, logging};
use actix::prelude::Addr;
use doorswitch_core::{ledger, servers};
use doorswitch_platform::{configuration, servers as records, store};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tokio::time;

/// How long one watch waits for a change.
const WATCH: Duration = Duration::from_secs(10);
/// After a failure the next call waits about this long, twice as long after each further one in a row up to
/// the limit: refused calls cost the store as well.
const AGAIN: Duration = Duration::from_millis(250);
const AGAIN_MAX: Duration = Duration::from_millis(1_000);
/// After a change of the list of servers the next watch waits this long, so that servers that come or go
/// together cost one call: well below the time within which a leaving server must get nothing new.
const GATHER: Duration = Duration::from_millis(300);
/// Items that go while the store was away are kept for so long after its return: servers that live are back
/// in its list within about two seconds. No longer: to a router that was cut off by itself, the same silence
/// may have hidden servers that left.
const LAPSED_KEPT: Duration = Duration::from_millis(2_100);
/// Under this prefix every router records where its peers reach it.
const ROUTERS: &str = "doorswitch/routers/";

/// What a prefix holds, as last heard.
#[derive(Debug, Default)]
struct Mirror {
    revision: u64,
    items: BTreeMap<String, store::Change>,
    /// Items that went while the store was away or just after: leases lapse then although their owners
    /// live, and these write again soon.
    lapsed: BTreeMap<String, store::Change>,
    returned: Option<Instant>,
}

impl Mirror {
    /// Notes that the store answered; `again` tells that it did not before.
    fn heard(&mut self, again: bool) {
        if again {
            self.returned = Some(Instant::now());
        }
    }

    /// Whether an item that is missing may be back soon.
    fn settling(&self) -> bool {
        self.returned.is_some_and(|returned| returned.elapsed() < LAPSED_KEPT)
    }

    /// When what lapsed is to be forgotten; far away if nothing did.
    fn forgets_at(&self) -> time::Instant {
        let kept = self.returned.filter(|_| !self.lapsed.is_empty());
        let at = kept.map_or_else(|| Instant::now() + WATCH * 2, |returned| returned + LAPSED_KEPT);
        time::Instant::from_std(at)
    }

    /// Forgets what lapsed and did not come back in time; tells whether there was any.
    fn forget_lapsed(&mut self) -> bool {
        if self.settling() || self.lapsed.is_empty() {
            return false;
        }
        self.lapsed.clear();
        true
    }

    /// All items, with those that may be back soon.
    fn present(&self) -> impl Iterator<Item = &store::Change> {
        self.items.values().chain(self.lapsed.values())
    }

    fn replace(&mut self, changes: store::Changes) {
        let earlier = std::mem::take(&mut self.items);
        self.apply(changes);
        for (key, item) in earlier {
            if !self.items.contains_key(&key) {
                self.went(key, item);
            }
        }
    }

    fn apply(&mut self, changes: store::Changes) {
        self.revision = changes.revision;
        for change in changes.changes {
            // A page may be newer than the watch that follows it.
            let known = self.items.get(&change.key).map_or(0, |known| known.revision);
            match change.value {
                _ if change.revision < known => {}
                Some(_) => {
                    self.lapsed.remove(&change.key);
                    self.items.insert(change.key.clone(), change);
                }
                None => {
                    if let Some(item) = self.items.remove(&change.key) {
                        self.went(change.key, item);
                    }
                }
            }
        }
    }

    fn went(&mut self, key: String, item: store::Change) {
        if self.settling() {
            log::info!("event=item_lapsed key={key} kept_ms={}", LAPSED_KEPT.as_millis());
            self.lapsed.insert(key, item);
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
        let decoded = mirror.present().filter_map(|change| {
            let value = change.value.as_ref()?;
            records::decode(&change.key, value)
        });
        let vms: Vec<servers::Vm> = decoded.collect();
        control.do_send(control::OfferVms { index: mirror.revision, vms });
    })
    .await;
}

/// Reads the ledger's values once, for what an earlier life of this router left there.
pub async fn find_inheritance(store: store::Client, control: Addr<control::Control>) {
    let mut again = Again::default();
    loop {
        match store.list(ledger::PREFIX).await {
            Ok(found) => {
                let values = found.changes.into_iter();
                let values = values.filter_map(|change| Some((change.key, change.value?)));
                control.do_send(control::OfferLedgers(values.collect()));
                return;
            }
            Err(error) => again.pause("list_failed", ledger::PREFIX, &error).await,
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
    let mut again = Again::default();
    while let Err(error) = store.put(&key, address.as_bytes()).await {
        again.pause("router_record_failed", ROUTERS, &error).await;
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
            Err(error) => again.pause("list_failed", ROUTERS, &error).await,
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
    let mut again = Again::default();
    loop {
        match store.list(prefix).await {
            Ok(all) => {
                mirror.heard(again.succeeded());
                mirror.replace(all);
                changed(&mirror);
            }
            Err(error) => {
                again.pause("list_failed", prefix, &error).await;
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
                    mirror.heard(again.succeeded());
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
                        time::sleep(gather).await;
                    }
                }
                Err(store::Error::Forgotten) => {
                    log::info!("event=history_forgotten prefix={prefix}");
                    break;
                }
                Err(error) => again.pause("watch_failed", prefix, &error).await,
            }
        }
    }
}

/// The pauses after failures in a row.
#[derive(Debug)]
struct Again {
    next: Duration,
    failed: bool,
}

impl Default for Again {
    fn default() -> Self {
        Self { next: AGAIN, failed: false }
    }
}

impl Again {
    /// Waits after a failure.
    async fn pause(&mut self, event: &str, prefix: &str, error: &store::Error) {
        let level = if self.failed { log::Level::Debug } else { log::Level::Warn };
        log::log!(level, "event={event} prefix={prefix} fault={}", logging::quoted(error));
        self.failed = true;
        time::sleep(self.next.mul_f64(rand::random_range(0.5..1.5))).await;
        self.next = (self.next * 2).min(AGAIN_MAX);
    }

    /// Notes a success; tells whether it was the first after a failure.
    fn succeeded(&mut self) -> bool {
        std::mem::take(self).failed
    }
}
