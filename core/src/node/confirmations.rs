//! Finds out whether the routers that could have drawn tokens before a restore of the store have recovered what they
//! knew, so that less has to be withheld.
//!
//! A router answers for itself and for earlier lives at its address. It can answer for those if it has read the shard
//! before the restore, or had run for longer than the age of any backup; or the router that asks has read the shard
//! after it heard of the life that answers.

use super::{Action, Node, Notice};
use crate::{ids, ledger_writer, members, message, rendezvous};
use std::collections;

/// The time between two questions.
const ASK_INTERVAL_MS: u64 = 300;
/// After this long, routers that have answered have nothing to add.
const SETTLE_MS: u64 = 3_000;
/// The most routers that are asked at once.
const ASKED_MAX: usize = 32;

/// What routers answered in an era.
#[derive(Debug, Default)]
pub(super) struct Confirmations {
    era: u64,
    since_ms: u64,
    asked_ms: u64,
    answers: collections::BTreeMap<String, Answer>,
}

/// The answer of the router at an address.
#[derive(Debug, Default)]
struct Answer {
    /// What is recovered of each shard. It stays so for the rest of the era.
    shards: collections::BTreeMap<u32, message::Recovered>,
    /// The addresses of the routers that it knows, where they are others than this router's.
    addresses: Vec<String>,
}

impl Node {
    /// Asks other routers while tokens are withheld that their answers may release.
    pub(super) fn tick_confirmations(&mut self, now_ms: u64) {
        let era = self.store_era();
        if era == 0 || now_ms < self.confirmations.asked_ms + ASK_INTERVAL_MS {
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
        self.confirmations.asked_ms = now_ms;
        let routers = routers_digest(&self.router_addresses());
        for router in self.unconfirmed_routers(&shards) {
            let shards = shards.clone();
            self.send(router, message::Message::RecoveryRequest { era, shards, routers });
        }
        let others = self.other_router_addresses();
        let long = now_ms > self.confirmations.since_ms + SETTLE_MS;
        for (shard, since_era) in shards {
            let Some(verdict) = self.verdict(shard, since_era, &others, long) else { continue };
            if self.ledgers[shard as usize].verdict(era) != Some(verdict) {
                self.ledgers[shard as usize].decide(era, verdict);
                self.actions.push(Action::Notice(Notice::RecoveryDecided { shard, era, verdict }));
            }
        }
    }

    /// What can be said of draws that may be unknown; `None` before this router has recovered what it knew. After `long`,
    /// routers that have answered have nothing to add.
    fn verdict(
        &self,
        shard: u32,
        since_era: u64,
        others: &collections::BTreeSet<String>,
        long: bool,
    ) -> Option<ledger_writer::Verdict> {
        let own = self.recovered(shard, since_era);
        if own == message::Recovered::Nothing {
            return None;
        }
        let answers = &self.confirmations.answers;
        let answer = |address| answers.get(address)?.shards.get(&shard).copied();
        let all: Vec<_> = others.iter().map(answer).chain([Some(own)]).collect();
        let silent = all.iter().filter(|it| **it != Some(message::Recovered::All)).count() as u64;
        let answered = all.iter().all(|it| it.is_some_and(|it| it != message::Recovered::Nothing));
        let is_final = long && answered && silent > 0;
        let silent = Some(silent).filter(|silent| *silent <= self.silent_max());
        (is_final || silent.is_some()).then_some(ledger_writer::Verdict { silent, is_final })
    }

    /// Releases what is withheld of a budget since restores of the store, on an operator's word; only tells if `dry_run`.
    /// Returns how many tokens it is; `None` if there is no such budget.
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

    /// The addresses of routers that have not told whether they recovered all they knew of a budget; empty if nothing
    /// waits for that.
    pub(super) fn awaited_routers(&self, budget: ids::BudgetSlot) -> Vec<String> {
        let shard = self.ledger_shard(budget);
        let era = self.store_era();
        let waits =
            self.ledgers.get(shard).is_some_and(|it| it.unconfirmed_since_era(era).is_some());
        let answers = &self.confirmations.answers;
        let awaited = |address: &String| {
            answers.get(address).is_none_or(|answer| !answer.has_recovered_all(shard as u32))
        };
        let others = self.other_router_addresses().into_iter();
        others.filter(|address| waits && awaited(address)).collect()
    }

    /// Live routers that have not recovered all of one of the shards, some of them.
    fn unconfirmed_routers(&self, shards: &[(u32, u64)]) -> Vec<ids::Incarnation> {
        let answers = &self.confirmations.answers;
        let unconfirmed = |record: &&members::Record| {
            answers.get(&record.address).is_none_or(|answer| {
                shards.iter().any(|(shard, _)| !answer.has_recovered_all(*shard))
            })
        };
        let live = self.members.live().filter(unconfirmed);
        live.map(|record| record.id).take(ASKED_MAX).collect()
    }

    /// The addresses of all routers that may run, as far as this one knows.
    fn router_addresses(&self) -> collections::BTreeSet<String> {
        let may_run = self.members.records().filter(|it| it.health != members::Health::Left);
        may_run.map(|it| &it.address).chain([&self.settings.address]).cloned().collect()
    }

    /// The same without this one, and with those that others named in their answers.
    fn other_router_addresses(&self) -> collections::BTreeSet<String> {
        let mut addresses = self.router_addresses();
        let answers = self.confirmations.answers.values();
        addresses.extend(answers.flat_map(|answer| &answer.addresses).cloned());
        addresses.remove(&self.settings.address);
        addresses
    }

    /// What this router has recovered of what was known of a shard at its address before `since_era`.
    fn recovered(&self, shard: u32, since_era: u64) -> message::Recovered {
        let Some(ledger) = self.ledgers.get(shard as usize) else {
            return message::Recovered::Nothing;
        };
        let ran_long = self.ran_before_era_ms(since_era) >= self.backup_age_ms;
        match ledger.has_recovered(self.store_era()) {
            false => message::Recovered::Nothing,
            true if ran_long || ledger.read_before_ms(since_era).is_some() => {
                message::Recovered::All
            }
            true => message::Recovered::OwnIncarnation,
        }
    }

    /// Answers a router that waits for this one to recover what it knows.
    pub(super) fn take_recovery_ask(
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

    /// Takes in another router's answer.
    pub(super) fn take_recovery_reply(
        &mut self,
        from: ids::Incarnation,
        era: u64,
        shards: &[(u32, message::Recovered)],
        addresses: Vec<String>,
    ) {
        let current = era == self.confirmations.era && era == self.store_era();
        let Some(record) = self.members.find(from).filter(|_| current) else { return };
        let address = record.address.clone();
        self.confirmations.answers.entry(address.clone()).or_default().addresses = addresses;
        for (shard, recovered) in shards {
            let recovered = match recovered {
                message::Recovered::OwnIncarnation if self.knows_earlier_lives(*shard, from) => {
                    message::Recovered::All
                }
                recovered => *recovered,
            };
            let answer = self.confirmations.answers.entry(address.clone()).or_default();
            if !answer.has_recovered_all(*shard) {
                answer.shards.insert(*shard, recovered);
            }
        }
    }

    /// Whether this router read the shard, before draws may be unknown, after it heard of a life: then it knows all that
    /// earlier lives at that address drew.
    fn knows_earlier_lives(&self, shard: u32, life: ids::Incarnation) -> bool {
        let heard_ms = self.members.added_ms(life);
        let ledger = self.ledgers.get(shard as usize);
        let read_ms = ledger.and_then(|ledger| {
            ledger.read_before_ms(ledger.unconfirmed_since_era(self.store_era())?)
        });
        read_ms.zip(heard_ms).is_some_and(|(read_ms, heard_ms)| read_ms >= heard_ms)
    }
}

impl Answer {
    fn has_recovered_all(&self, shard: u32) -> bool {
        self.shards.get(&shard) == Some(&message::Recovered::All)
    }
}

/// The same for the same addresses.
fn routers_digest(addresses: &collections::BTreeSet<String>) -> u64 {
    addresses.iter().fold(0, |digest, address| digest ^ rendezvous::digest(address))
}
