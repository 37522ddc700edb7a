//! Membership of routers by gossip, at a cost for each router that does not grow with the fleet.
//!
//! At each interval a router probes one member, in shuffled rounds, and adds a few updates to the datagram. A member
//! that does not answer is suspected, then considered dead unless it refutes the suspicion in time with a higher beat.
//! A dead member may be alive on the other side of a network partition, so dead members are probed occasionally, by
//! which the two sides find each other again. Membership decides which router does which work, never which may spend.

use crate::{ids, message};
use rand::rngs;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use std::collections;

/// The interval between two probes.
pub const PROBE_EVERY_MS: u64 = 500;
/// The interval between two probes while this router has no live peer: a seed may be about to start.
const PROBE_ALONE_EVERY_MS: u64 = 100;
/// How long a probe waits for its reply.
const PROBE_TIMEOUT_MS: u64 = 400;
/// The number of successive unanswered probes after which a member is suspected.
const SUSPECT_AFTER_PROBES: u32 = 2;
/// How long a suspected member may take to refute the suspicion.
const SUSPICION_TIMEOUT_MS: u64 = 3_000;
/// How long the record of a dead member is kept, and the member probed occasionally.
const DEAD_RECORD_TTL_MS: u64 = 3_600_000;
/// One of this many probes goes to a dead member or a seed.
const PROBE_DEAD_EVERY: u64 = 4;
/// The maximum number of records of other members in one datagram.
const GOSSIP_RECORDS_MAX: usize = 8;
/// The maximum number of new addresses that are probed ahead of the rounds, one each tick; the others are found by
/// gossip.
const UNPROBED_MAX: usize = 100;
/// How often a changed record is sent.
const RECORD_TRANSMISSIONS: u32 = 6;

/// What routers pass on to each other about one router process: its identity, address, VM and failure domain, and
/// whether it is assumed to be alive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The incarnation: this run of the router process. A restarted router has another record.
    pub id: ids::Incarnation,
    /// The address at which peers reach the router, for connections as well as for datagrams.
    pub address: String,
    /// The VM that the router runs on.
    pub vm: String,
    /// The failure domain of that VM.
    pub failure_domain: String,
    /// Incremented with each refutation; a record with a higher beat replaces one with a lower beat.
    pub beat: u64,
    /// The assumed state of the router.
    pub health: Health,
}

/// Whether a router is assumed to be alive, is suspected because it did not answer probes, is considered dead, or was
/// stopped on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
    /// The member answers probes.
    Alive,
    /// The member has not answered the latest probes.
    Suspect,
    /// The member did not refute a suspicion in time.
    Dead,
    /// The member was stopped on purpose and will not return.
    Left,
}

#[derive(Debug)]
struct Member {
    record: Record,
    added_ms: u64,
    unanswered_probes: u32,
    changed_ms: u64,
    sends_left: u32,
}

/// The address of another router to which a probe is to be sent now, to find out whether that router is alive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    /// The peer address to probe.
    pub address: String,
}

/// All other routers that one router has received records of, with their assumed state. It selects which router is
/// probed next and which records are passed on.
#[derive(Debug)]
pub struct Table {
    own: Record,
    members: collections::BTreeMap<ids::Incarnation, Member>,
    seeds: Vec<String>,
    /// New addresses that have not been probed yet.
    unprobed: collections::VecDeque<String>,
    /// The members that are still to be probed in this round, the next one last.
    probe_order: Vec<ids::Incarnation>,
    probing: Option<(ids::Incarnation, u64)>,
    next_probe_ms: u64,
    probes: u64,
    next_seed: usize,
    /// Whether this router's own address is among the seeds, which other routers contact first.
    is_seed: bool,
    /// When the latest new member was added.
    last_added_ms: u64,
}

impl Table {
    /// Returns a table with this router's own record and some addresses to probe.
    pub fn new(own: Record, seeds: Vec<String>) -> Self {
        let is_seed = seeds.contains(&own.address);
        let seeds: Vec<String> = seeds.into_iter().filter(|seed| *seed != own.address).collect();
        Self {
            own,
            members: Default::default(),
            unprobed: seeds.iter().take(UNPROBED_MAX).cloned().collect(),
            seeds,
            probe_order: Vec::new(),
            probing: None,
            next_probe_ms: 0,
            probes: 0,
            next_seed: 0,
            is_seed,
            last_added_ms: 0,
        }
    }

    /// Returns this router's own record.
    pub fn own(&self) -> &Record {
        &self.own
    }

    /// Marks this router as stopped on purpose; gossip passes this on.
    pub fn leave(&mut self) {
        self.own.health = Health::Left;
        self.own.beat += 1;
    }

    /// Adds addresses at which routers may run.
    pub fn add_seeds(&mut self, addresses: impl Iterator<Item = String>) {
        for address in addresses {
            if address != self.own.address && !self.seeds.contains(&address) {
                if self.unprobed.len() < UNPROBED_MAX {
                    self.unprobed.push_back(address.clone());
                }
                self.seeds.push(address);
            }
        }
    }

    /// Returns when the latest new member was added.
    pub fn last_added_ms(&self) -> u64 {
        self.last_added_ms
    }

    /// Returns whether this router, when it has just started, can request its initial state from a seed.
    pub fn can_join_from_seeds(&self) -> bool {
        !self.is_seed && !self.seeds.is_empty()
    }

    /// Merges the records that another member considers live.
    pub fn merge_all(&mut self, records: Vec<Record>, now_ms: u64) {
        for record in records {
            let id = record.id;
            let listed_before = self.members.contains_key(&id);
            self.merge(record, now_ms);
            // A router that lacks the record can request the whole list, so it isn't queued for gossip.
            if let Some(member) = self.members.get_mut(&id).filter(|_| !listed_before) {
                member.sends_left = 0;
            }
        }
    }

    /// Returns all records except this router's own.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.members.values().map(|member| &member.record)
    }

    /// Returns the record of a member; `None` if it is unknown.
    pub fn find(&self, id: ids::Incarnation) -> Option<&Record> {
        self.members.get(&id).map(|member| &member.record)
    }

    /// Returns when this router added a member; `None` if it is unknown.
    pub fn added_ms(&self, id: ids::Incarnation) -> Option<u64> {
        self.members.get(&id).map(|member| member.added_ms)
    }

    /// Returns the members that are alive or suspected, without this router.
    pub fn live(&self) -> impl Iterator<Item = &Record> {
        self.records().filter(|record| record.health <= Health::Suspect)
    }

    /// Whether a member is alive or suspected.
    pub fn is_live(&self, id: ids::Incarnation) -> bool {
        self.find(id).is_some_and(|record| record.health <= Health::Suspect)
    }

    /// Returns the number of live routers, including this one.
    pub fn live_count(&self) -> u64 {
        self.live().count() as u64 + 1
    }

    /// Returns the number of known addresses, except this router's own, at which routers may run.
    pub fn other_addresses(&self) -> usize {
        let may_run = self.records().filter(|record| record.health != Health::Left);
        let addresses = may_run.map(|record| &record.address).chain(&self.seeds);
        let others = addresses.filter(|address| **address != self.own.address);
        others.collect::<collections::BTreeSet<_>>().len()
    }

    /// Returns the number of suspected members.
    pub fn suspected_count(&self) -> u64 {
        self.records().filter(|record| record.health == Health::Suspect).count() as u64
    }

    /// Expires probes and suspicions; called each tick. Returns the probe to send, if one is due.
    pub fn tick(&mut self, now_ms: u64, rng: &mut rngs::StdRng) -> Option<Probe> {
        self.expire_probe(now_ms);
        self.expire_suspicions(now_ms);
        if let Some(address) = self.unprobed.pop_front() {
            return Some(Probe { address });
        }
        if now_ms < self.next_probe_ms {
            return None;
        }
        let alone = self.live().next().is_none();
        let every_ms = if alone { PROBE_ALONE_EVERY_MS } else { PROBE_EVERY_MS };
        self.next_probe_ms = now_ms + every_ms;
        self.probes += 1;
        if self.probes.is_multiple_of(PROBE_DEAD_EVERY) || alone {
            return self.probe_dead_or_seed(rng);
        }
        self.probe_live(now_ms, rng)
    }

    /// Handles a datagram that was received directly from a member.
    pub fn handle_gossip(&mut self, gossip: &message::Gossip, now_ms: u64) {
        let mut direct = gossip.from.clone();
        if direct.health != Health::Left {
            direct.health = Health::Alive;
        }
        self.merge_direct(direct, now_ms);
        for record in &gossip.member_updates {
            self.merge(record.clone(), now_ms);
        }
        if self.probing.is_some_and(|(id, _)| id == gossip.from.id) {
            self.probing = None;
        }
    }

    /// Merges the record that a member sent of itself.
    pub fn merge_self_reported(&mut self, record: Record, now_ms: u64) {
        if record.id != self.own.id {
            self.merge_direct(record, now_ms);
        }
    }

    /// Returns the records to add to a datagram, those that were sent the fewest times first.
    pub fn take_updates(&mut self) -> Vec<Record> {
        let mut queued: Vec<&mut Member> =
            self.members.values_mut().filter(|member| member.sends_left > 0).collect();
        queued.sort_by_key(|member| std::cmp::Reverse(member.sends_left));
        queued.truncate(GOSSIP_RECORDS_MAX);
        queued.into_iter().map(take_for_gossip).collect()
    }

    /// Returns a random sample of the live members, for a router that has just started.
    pub fn sample(&self, rng: &mut rngs::StdRng) -> Vec<Record> {
        let mut records: Vec<Record> = self.live().cloned().collect();
        records.shuffle(rng);
        records.truncate(GOSSIP_RECORDS_MAX);
        records
    }

    fn expire_probe(&mut self, now_ms: u64) {
        let Some((id, sent_ms)) = self.probing else { return };
        if now_ms < sent_ms + PROBE_TIMEOUT_MS {
            return;
        }
        self.probing = None;
        let Some(member) = self.members.get_mut(&id) else { return };
        member.unanswered_probes += 1;
        if member.unanswered_probes < SUSPECT_AFTER_PROBES {
            // Probed again before all others, because a round through a large fleet takes long.
            self.probe_order.push(id);
        } else if member.record.health == Health::Alive {
            set_health(member, Health::Suspect, now_ms);
        }
    }

    fn expire_suspicions(&mut self, now_ms: u64) {
        for member in self.members.values_mut() {
            let unchanged_ms = now_ms.saturating_sub(member.changed_ms);
            if member.record.health == Health::Suspect && unchanged_ms >= SUSPICION_TIMEOUT_MS {
                set_health(member, Health::Dead, now_ms);
            }
        }
        self.members.retain(|_, member| {
            let unchanged_ms = now_ms.saturating_sub(member.changed_ms);
            member.record.health <= Health::Suspect || unchanged_ms < DEAD_RECORD_TTL_MS
        });
    }

    fn probe_dead_or_seed(&mut self, rng: &mut rngs::StdRng) -> Option<Probe> {
        let live_addresses: Vec<&str> = self.live().map(|record| record.address.as_str()).collect();
        let dead = self.records().filter(|record| record.health == Health::Dead);
        let mut addresses: Vec<String> = dead.map(|record| record.address.clone()).collect();
        addresses.extend(
            self.seeds.iter().filter(|seed| !live_addresses.contains(&seed.as_str())).cloned(),
        );
        addresses.shuffle(rng);
        self.next_seed += 1;
        addresses.into_iter().next().map(|address| Probe { address })
    }

    fn probe_live(&mut self, now_ms: u64, rng: &mut rngs::StdRng) -> Option<Probe> {
        if self.probe_order.is_empty() {
            self.probe_order = self.live().map(|record| record.id).collect();
            self.probe_order.shuffle(rng);
        }
        let id = self.probe_order.pop()?;
        let record = self.find(id)?;
        let address = record.address.clone();
        self.probing = Some((id, now_ms));
        Some(Probe { address })
    }

    fn merge_direct(&mut self, record: Record, now_ms: u64) {
        // Another incarnation at the same address shows that the earlier one has terminated.
        let same_address =
            |other: &Member| other.record.address == record.address && other.record.id != record.id;
        for earlier in self.members.values_mut().filter(|other| same_address(other)) {
            if earlier.record.health <= Health::Suspect {
                set_health(earlier, Health::Dead, now_ms);
            }
        }
        if let Some(member) = self.members.get_mut(&record.id) {
            member.unanswered_probes = 0;
            if member.record.health > Health::Suspect && member.record.health != Health::Left {
                // Its own datagram is newer than any other router's report, which it refutes on receipt.
                set_health(member, Health::Alive, now_ms);
            }
        }
        self.merge(record, now_ms);
    }

    fn merge(&mut self, record: Record, now_ms: u64) {
        if record.id == self.own.id {
            if record.health != Health::Alive && self.own.health == Health::Alive {
                self.own.beat = self.own.beat.max(record.beat + 1);
            }
            return;
        }
        match self.members.get_mut(&record.id) {
            None if record.health <= Health::Suspect => {
                let member = Member {
                    record,
                    added_ms: now_ms,
                    unanswered_probes: 0,
                    changed_ms: now_ms,
                    sends_left: RECORD_TRANSMISSIONS,
                };
                self.members.insert(member.record.id, member);
                self.last_added_ms = now_ms;
            }
            None => {}
            Some(member) => {
                let newer =
                    (record.beat, record.health) > (member.record.beat, member.record.health);
                if newer && member.record.health != Health::Left {
                    let changed = record.health != member.record.health;
                    member.record = record;
                    member.sends_left = RECORD_TRANSMISSIONS;
                    if changed {
                        member.changed_ms = now_ms;
                    }
                }
            }
        }
    }
}

fn set_health(member: &mut Member, health: Health, now_ms: u64) {
    member.record.health = health;
    member.changed_ms = now_ms;
    member.sends_left = RECORD_TRANSMISSIONS;
}

fn take_for_gossip(member: &mut Member) -> Record {
    member.sends_left -= 1;
    member.record.clone()
}
