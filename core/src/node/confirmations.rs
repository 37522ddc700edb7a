//! Determines whether the routers that could have drawn tokens before a restore of the store have written their copies
//! of the ledger back to it, so that fewer tokens have to be withheld.
//!
//! A router confirms this for itself and for earlier incarnations at its address. It can confirm the latter if it read
//! the shard before the restore, or had run for longer than the age of any backup when it last knew the store to be in
//! an earlier era; or if the requesting router read the shard after it discovered the incarnation that replies.

use super::{Action, Node, Notice, ledger_copies};
use crate::{ids, ledger_writer, members, message, rendezvous};
use std::collections;

/// Interval between requests to the same router.
const REQUEST_INTERVAL_MS: u64 = 300;
/// Time after which the replies of routers are considered final.
const REPLIES_FINAL_MS: u64 = 3_000;
/// Maximum number of routers to which recovery requests are sent at once.
const RECIPIENTS_MAX: usize = 32;

/// The replies of other routers in an era.
#[derive(Debug, Default)]
pub(super) struct Confirmations {
    era: u64,
    /// When the first requests of the era were due.
    since_ms: u64,
    /// When requests were last sent.
    requested_ms: u64,
    /// The replies, by the address of the router.
    replies: collections::BTreeMap<String, Reply>,
}

/// The reply of the router at an address.
#[derive(Debug, Default)]
struct Reply {
    /// The recovered part of each shard. A shard that is recovered in full stays so for the rest of the era.
    shards: collections::BTreeMap<u32, message::Recovered>,
    /// The addresses of the routers in its view, if they differ from this router's view.
    addresses: Vec<String>,
}

impl Node {
    /// Requests confirmations from other routers while tokens are withheld that their replies may release.
    pub(super) fn tick_confirmations(&mut self, now_ms: u64) {
        let era = self.store_era();
        if era == 0 || now_ms < self.confirmations.requested_ms + REQUEST_INTERVAL_MS {
            return;
        }
        if self.confirmations.era != era {
            let since_ms = now_ms;
            self.confirmations = Confirmations { era, since_ms, ..Confirmations::default() };
        }
        let shards: Vec<(u32, u64)> = (0_u32..)
            .zip(&self.ledgers)
            .filter_map(|(shard, ledger)| Some((shard, ledger.unconfirmed_since_era(era)?)))
            .collect();
        if shards.is_empty() {
            return;
        }
        self.confirmations.requested_ms = now_ms;
        let routers = routers_digest(&self.router_addresses());
        for router in self.unconfirmed_routers(&shards) {
            let shards = shards.clone();
            self.send(router, message::Message::RecoveryRequest { era, shards, routers });
        }
        let others = self.other_router_addresses();
        let replies_final = now_ms > self.confirmations.since_ms + REPLIES_FINAL_MS;
        for (shard, since_era) in shards {
            let Some(decision) = self.recovery_decision(shard, since_era, &others, replies_final)
            else {
                continue;
            };
            if self.ledgers[shard as usize].recovery_decision(era) != Some(decision) {
                self.ledgers[shard as usize].set_recovery_decision(era, decision);
                self.actions.push(Action::Notice(Notice::RecoveryDecided { shard, era, decision }));
            }
        }
    }

    /// The decision on draws that may have been lost; `None` before this router has recovered its own data. If
    /// `replies_final`, no reply is expected to change any more.
    fn recovery_decision(
        &self,
        shard: u32,
        since_era: u64,
        others: &collections::BTreeSet<String>,
        replies_final: bool,
    ) -> Option<ledger_writer::RecoveryDecision> {
        let own = self.recovered(shard, since_era);
        if own == message::Recovered::Nothing {
            return None;
        }
        let replies = &self.confirmations.replies;
        let reply = |address| replies.get(address)?.shards.get(&shard).copied();
        let all: Vec<_> = others.iter().map(reply).chain([Some(own)]).collect();
        let silent_routers =
            all.iter().filter(|recovered| **recovered != Some(message::Recovered::All)).count()
                as u64;
        let answered = all.iter().all(|recovered| {
            recovered.is_some_and(|recovered| recovered != message::Recovered::Nothing)
        });
        let is_final = replies_final && answered && silent_routers > 0;
        let unavailable_max = ledger_copies::unavailable_max(others.len());
        let silent_routers = Some(silent_routers).filter(|count| *count <= unavailable_max);
        (is_final || silent_routers.is_some())
            .then_some(ledger_writer::RecoveryDecision { silent_routers, is_final })
    }

    /// Releases the tokens of a budget that are withheld since restores of the store, on an operator's command. Returns
    /// their number, without releasing them if `dry_run`; `None` if there is no such budget.
    pub fn release_withheld(&mut self, budget: &str, dry_run: bool) -> Option<u64> {
        let slot = self.grants.find(budget)?;
        let withheld_tokens = self.grants.account(slot).withheld.tokens();
        let shard = self.ledger_shard(slot);
        if let Some(ledger) =
            self.ledgers.get_mut(shard).filter(|_| !dry_run && withheld_tokens > 0)
        {
            ledger.release(budget);
        }
        Some(withheld_tokens)
    }

    /// The addresses of routers that have not confirmed that they recovered all their data of a budget; empty if no
    /// tokens are withheld until they do.
    pub(super) fn awaited_routers(&self, budget: ids::BudgetSlot) -> Vec<String> {
        let shard = self.ledger_shard(budget);
        let era = self.store_era();
        let is_unconfirmed = self
            .ledgers
            .get(shard)
            .is_some_and(|ledger| ledger.unconfirmed_since_era(era).is_some());
        let replies = &self.confirmations.replies;
        let awaited = |address: &String| {
            replies.get(address).is_none_or(|reply| !reply.has_recovered_all(shard as u32))
        };
        let others = self.other_router_addresses().into_iter();
        others.filter(|address| is_unconfirmed && awaited(address)).collect()
    }

    /// Up to [`RECIPIENTS_MAX`] live routers that have not confirmed the full recovery of each of the shards.
    fn unconfirmed_routers(&self, shards: &[(u32, u64)]) -> Vec<ids::Incarnation> {
        let replies = &self.confirmations.replies;
        let unconfirmed = |record: &&members::Record| {
            replies.get(&record.address).is_none_or(|reply| {
                shards.iter().any(|(shard, _)| !reply.has_recovered_all(*shard))
            })
        };
        let live = self.members.live().filter(unconfirmed);
        live.map(|record| record.id).take(RECIPIENTS_MAX).collect()
    }

    /// The addresses of all routers that may be running, in this router's view of the membership.
    fn router_addresses(&self) -> collections::BTreeSet<String> {
        let may_run =
            self.members.records().filter(|record| record.health != members::Health::Left);
        may_run.map(|record| &record.address).chain([&self.settings.address]).cloned().collect()
    }

    /// The same without this router's own address, and with the addresses that other routers reported in their replies.
    fn other_router_addresses(&self) -> collections::BTreeSet<String> {
        let mut addresses = self.router_addresses();
        let replies = self.confirmations.replies.values();
        addresses.extend(replies.flat_map(|reply| &reply.addresses).cloned());
        addresses.remove(&self.settings.address);
        addresses
    }

    /// The part that this router has recovered of the data that it and earlier incarnations at its address had of a
    /// shard before `since_era`.
    fn recovered(&self, shard: u32, since_era: u64) -> message::Recovered {
        let Some(ledger) = self.ledgers.get(shard as usize) else {
            return message::Recovered::Nothing;
        };
        let ran_longer_than_backups = self.ran_before_era_ms(since_era) >= self.backup_age_ms;
        match ledger.has_recovered(self.store_era()) {
            false => message::Recovered::Nothing,
            true if ran_longer_than_backups || ledger.read_before_ms(since_era).is_some() => {
                message::Recovered::All
            }
            true => message::Recovered::OwnIncarnation,
        }
    }

    /// Handles a request of a router that waits for this one to recover its data.
    pub(super) fn handle_recovery_request(
        &mut self,
        from: ids::Incarnation,
        era: u64,
        shards: &[(u32, u64)],
        routers: u64,
    ) {
        if era != self.store_era() {
            return;
        }
        let recovered =
            shards.iter().map(|(shard, since)| (*shard, self.recovered(*shard, *since)));
        let shards = recovered.collect();
        let addresses = self.router_addresses();
        let addresses = match routers_digest(&addresses) == routers {
            true => Vec::new(),
            false => addresses.into_iter().collect(),
        };
        self.send(from, message::Message::RecoveryReply { era, shards, addresses });
    }

    /// Handles another router's reply to a recovery request.
    pub(super) fn handle_recovery_reply(
        &mut self,
        from: ids::Incarnation,
        era: u64,
        shards: &[(u32, message::Recovered)],
        addresses: Vec<String>,
    ) {
        let current = era == self.confirmations.era && era == self.store_era();
        let Some(record) = self.members.find(from).filter(|_| current) else { return };
        let address = record.address.clone();
        self.confirmations.replies.entry(address.clone()).or_default().addresses = addresses;
        for (shard, recovered) in shards {
            let recovered = match recovered {
                message::Recovered::OwnIncarnation
                    if self.covers_earlier_incarnations(*shard, from) =>
                {
                    message::Recovered::All
                }
                recovered => *recovered,
            };
            let reply = self.confirmations.replies.entry(address.clone()).or_default();
            if !reply.has_recovered_all(*shard) {
                reply.shards.insert(*shard, recovered);
            }
        }
    }

    /// Whether this router read the shard after it discovered the router `incarnation`, and before draws may have been
    /// lost. Then it has read all draws of earlier incarnations at that address.
    fn covers_earlier_incarnations(&self, shard: u32, incarnation: ids::Incarnation) -> bool {
        let discovered_ms = self.members.added_ms(incarnation);
        let ledger = self.ledgers.get(shard as usize);
        let read_ms = ledger.and_then(|ledger| {
            ledger.read_before_ms(ledger.unconfirmed_since_era(self.store_era())?)
        });
        read_ms.zip(discovered_ms).is_some_and(|(read_ms, discovered_ms)| read_ms >= discovered_ms)
    }
}

impl Reply {
    /// Whether the router confirmed the full recovery of a shard.
    fn has_recovered_all(&self, shard: u32) -> bool {
        self.shards.get(&shard) == Some(&message::Recovered::All)
    }
}

/// A digest of a set of addresses, which doesn't depend on their order.
fn routers_digest(addresses: &collections::BTreeSet<String>) -> u64 {
    addresses.iter().fold(0, |digest, address| digest ^ rendezvous::digest(address))
}
