//! How news of the store travels between routers.
//!
//! Every datagram tells what the sender knows of the store, how old that is, and the latest changes. Whoever
//! learns something by it passes it on to a few members drawn at random, so that news reach all routers
//! after a few steps, whichever of them fail. What a datagram does not hold is asked for over a connection.

use super::{Action, ConfigSource, Node, Notice};
use crate::{config, evacuation, ids, members, message, servers, store, watch};
use rand::seq::IndexedRandom;
use std::collections;

/// Members that news is passed on to. With four, 98 in 100 hear it by the push itself, the others by the next one
/// or by a probe.
const FANOUT: usize = 4;
/// News, unlike the mere proof that there are none, are passed on once more after this long: of those whom the first
/// push missed, nearly all hear the second.
const PUSH_AGAIN_MS: u64 = 100;
/// The most changes in one datagram; at about 150 bytes each they stay below its size.
const CHANGES_MAX: usize = 16;
/// The most that the changes in one datagram take, by their names: what another writer calls a server may be long, and a
/// datagram that is too large tells nothing at all.
const CHANGES_BYTES_MAX: usize = 4 << 10;
/// Changes are repeated for so long, so that a lost datagram costs no question.
const CHANGES_KEPT_MS: u64 = 3_000;
/// A question to a peer that stays unanswered is asked again, of whoever knows, after this long.
const ASK_AGAIN_MS: u64 = 400;
/// The same for a configuration: a large one takes a while on a small VM's link.
const ASK_CONFIG_AGAIN_MS: u64 = 1_000;
/// How often a router asks for members that a peer knows and it does not.
const MEMBERS_ASK_MS: u64 = 1_000;
/// Views of a fleet differ by one part in so many while members come and go.
const MEMBERS_SLACK: u64 = 16;

/// What passing news on has to remember.
#[derive(Debug, Default)]
pub(super) struct Relay {
    /// Whether something was learned that others should know.
    pub(super) push_due: bool,
    /// When the latest news are passed on once more.
    push_again_ms: Option<u64>,
    /// The latest changes of servers' records, with the time when they were heard.
    changes: collections::VecDeque<(u64, watch::ServerChange)>,
    /// They are all changes after this position.
    changes_after: store::Position,
    /// The configuration in force as it is sent to peers, with its version.
    encoded: Option<(u64, Vec<u8>)>,
    asked_config_ms: Option<u64>,
    asked_vms_ms: Option<u64>,
    asked_members_ms: Option<u64>,
}

impl Relay {
    /// Notes that something new was learned.
    pub(super) fn heard_news(&mut self, now_ms: u64) {
        self.push_due = true;
        self.push_again_ms = Some(now_ms + PUSH_AGAIN_MS);
    }

    /// Notes a change that was applied.
    pub(super) fn note_change(&mut self, change: watch::ServerChange, now_ms: u64) {
        self.changes.push_back((now_ms, change));
        while self.changes.len() > CHANGES_MAX || self.changes_bytes() > CHANGES_BYTES_MAX {
            self.drop_oldest();
        }
    }

    /// Notes that the copy was replaced by one that stands for `position`.
    pub(super) fn restart_changes(&mut self, position: store::Position) {
        self.changes.clear();
        self.changes_after = position;
    }

    fn changes_bytes(&self) -> usize {
        self.changes.iter().map(|(_, change)| change.text_bytes()).sum()
    }

    fn drop_oldest(&mut self) {
        if let Some((_, change)) = self.changes.pop_front() {
            self.changes_after = self.changes_after.max(change.position);
        }
    }

    fn forget_old(&mut self, now_ms: u64) {
        while self.changes.front().is_some_and(|(at_ms, _)| now_ms >= at_ms + CHANGES_KEPT_MS) {
            self.drop_oldest();
        }
    }
}

impl Node {
    /// What this router knows of the store.
    pub(super) fn digest(&self, now_ms: u64) -> message::Digest {
        let seen = |watched: &watch::Subscription| message::CopyState {
            position: watched.position(),
            age_ms: watched.age_ms(now_ms),
        };
        let configuration = self.watching.as_ref().map(|it| seen(&it.configuration));
        let servers = self.watching.as_ref().map(|it| seen(&it.servers));
        message::Digest {
            era: self.store_era(),
            config_version: self.config_version(),
            configuration: configuration.unwrap_or_default(),
            evacuations: self.evacuations.clone(),
            servers: message::CopyState { position: self.vms_index, ..servers.unwrap_or_default() },
            changes_after: self.relay.changes_after,
            changes: self.relay.changes.iter().map(|(_, change)| change.clone()).collect(),
            routers: self.members.live_count(),
        }
    }

    /// Takes in what a peer knows of the store.
    pub(super) fn hear_digest(
        &mut self,
        from: ids::Incarnation,
        digest: &message::Digest,
        now_ms: u64,
    ) {
        let Some(watching) = &mut self.watching else { return };
        watching.heard_ms = Some(now_ms);
        if !self.accepts_era(digest.era.max(digest.servers.position.era)) {
            self.hear_unconfirmed_era(from, digest, now_ms);
        }
        self.hear_servers(from, digest, now_ms);
        self.hear_configuration(from, digest, now_ms);
        self.ask_members(from, digest.routers, now_ms);
    }

    fn hear_servers(&mut self, from: ids::Incarnation, digest: &message::Digest, now_ms: u64) {
        let told = digest.servers.position;
        if !self.accepts_era(told.era) || told.era < self.vms_index.era {
            return;
        }
        let known = self.vms_index;
        let continues_copy = known != store::Position::START && known.era == told.era;
        if told > known && continues_copy && digest.changes_after <= known {
            let changes = digest.changes.iter().filter(|change| change.position > known);
            let missed_store = self.watching.as_ref().is_some_and(|it| it.missed_store(now_ms));
            let changes: Vec<watch::ServerChange> = changes.cloned().collect();
            // The store's revision moves with every write, also where nothing that is followed changes.
            if !changes.is_empty() {
                self.hear_news(watch::Topic::Servers, now_ms);
            }
            self.apply_changes(told, changes, missed_store, now_ms);
        }
        if told > self.vms_index {
            if may_ask(&mut self.relay.asked_vms_ms, ASK_AGAIN_MS, now_ms) {
                self.send(from, message::Message::VmsRequest);
            }
            return;
        }
        let seen = message::CopyState { position: self.vms_index, ..digest.servers };
        self.confirm(watch::Topic::Servers, seen, now_ms);
    }

    fn hear_configuration(
        &mut self,
        from: ids::Incarnation,
        digest: &message::Digest,
        now_ms: u64,
    ) {
        if self.accepts_era(digest.evacuations.position.era)
            && self.hear_evacuations(&digest.evacuations, now_ms)
        {
            self.hear_news(watch::Topic::Configuration, now_ms);
        }
        if digest.config_version > self.config_version() {
            if may_ask(&mut self.relay.asked_config_ms, ASK_CONFIG_AGAIN_MS, now_ms) {
                self.send(from, message::Message::ConfigRequest);
            }
            return;
        }
        let told = digest.configuration.position;
        let known = self.watching.as_ref().map(|it| it.configuration.position());
        if !self.accepts_era(told.era) || known.is_some_and(|known| told.era < known.era) {
            return;
        }
        let same = digest.config_version == self.config_version();
        let position = if same { told } else { store::Position::START };
        let seen = message::CopyState { position, ..digest.configuration };
        self.confirm(watch::Topic::Configuration, seen, now_ms);
    }

    /// Takes in that this router's copy held all that the store had, as a peer's does.
    pub(super) fn confirm(&mut self, topic: watch::Topic, seen: message::CopyState, now_ms: u64) {
        let passes_on = self.passes_on();
        let Some(watching) = &mut self.watching else { return };
        let watched = watching.topic(topic);
        watched.adopt(seen.position);
        let Some(age_ms) = seen.age_ms else { return };
        let gained_ms = watched.confirm(seen.position, now_ms.saturating_sub(age_ms));
        self.relay.push_due |= passes_on && gained_ms >= watched.notable_improvement_ms();
    }

    /// Notes that a peer told news, which this router's own call should have brought.
    fn hear_news(&mut self, topic: watch::Topic, now_ms: u64) {
        self.relay.heard_news(now_ms);
        if let Some(watching) = &mut self.watching {
            watching.topic(topic).supersede(watch::Evidence::Peer, now_ms);
        }
    }

    /// Whether routers hear news of the store from each other.
    fn passes_on(&self) -> bool {
        self.watching.is_some()
    }

    /// Passes news on, if there are any.
    pub(super) fn push_news(&mut self, now_ms: u64) {
        self.relay.forget_old(now_ms);
        let again = self.relay.push_again_ms.take_if(|at_ms| now_ms >= *at_ms).is_some();
        if !(std::mem::take(&mut self.relay.push_due) || again) || !self.passes_on() {
            return;
        }
        self.push_to_some(now_ms);
    }

    /// Tells a few members, drawn at random, what this router knows.
    pub(super) fn push_to_some(&mut self, now_ms: u64) {
        // Where datagrams are lost, a suspected member may live; those that died are suspected for a few seconds only.
        let (alive, suspected): (Vec<&members::Record>, Vec<&members::Record>) =
            self.members.live().partition(|record| record.health == members::Health::Alive);
        let chosen = alive.sample(&mut self.rng, FANOUT);
        let mut chosen: Vec<String> = chosen.map(|record| record.address.clone()).collect();
        chosen.extend(suspected.choose(&mut self.rng).map(|record| record.address.clone()));
        for address in chosen {
            let news = self.members.take_updates();
            self.push_gossip(address, message::GossipKind::Push, news, now_ms);
        }
    }

    fn ask_members(&mut self, from: ids::Incarnation, routers: u64, now_ms: u64) {
        let known = self.members.live_count();
        let more = routers > known + (known / MEMBERS_SLACK).max(1);
        if more && may_ask(&mut self.relay.asked_members_ms, MEMBERS_ASK_MS, now_ms) {
            self.send(from, message::Message::MembersRequest);
        }
    }

    pub(super) fn send_members(&mut self, to: ids::Incarnation) {
        let records = self.members.live().cloned().collect();
        self.send(to, message::Message::Members(records));
    }

    pub(super) fn send_vms(&mut self, to: ids::Incarnation, now_ms: u64) {
        let mut vms: Vec<_> = self.vms.values().cloned().collect();
        vms.sort_by(|one, other| one.vm.cmp(&other.vm));
        let copy_state = self.digest(now_ms).servers;
        self.send(to, message::Message::Vms { copy_state, vms });
    }

    pub(super) fn send_config(&mut self, to: ids::Incarnation, now_ms: u64) {
        let Some(published) = &self.config else { return };
        let version = published.version;
        let kept = self.relay.encoded.take().filter(|(known, _)| *known == version);
        let value = match kept {
            Some((_, value)) => value,
            None => match postcard::to_stdvec(published) {
                Ok(value) => value,
                Err(fault) => {
                    let notice = Notice::Unusable(format!("configuration {version}: {fault}"));
                    self.actions.push(Action::Notice(notice));
                    return;
                }
            },
        };
        self.relay.encoded = Some((version, value.clone()));
        let copy_state = self.digest(now_ms).configuration;
        let evacuations = self.evacuations.clone();
        self.send(to, message::Message::Config { version, copy_state, evacuations, value });
    }

    pub(super) fn take_config(
        &mut self,
        from: ids::Incarnation,
        seen: message::CopyState,
        evacuations: &evacuation::Evacuations,
        value: Vec<u8>,
        now_ms: u64,
    ) {
        self.relay.asked_config_ms = None;
        let accepted = self.accepts_era(seen.position.era.max(evacuations.position.era));
        if accepted {
            self.hear_evacuations(evacuations, now_ms);
        }
        match postcard::from_bytes::<config::Published>(&value) {
            Ok(published) => {
                let version = published.version;
                self.adopt_config(published, ConfigSource::Peer(from), now_ms);
                if version == self.config_version() {
                    self.relay.encoded = Some((version, value));
                    self.hear_news(watch::Topic::Configuration, now_ms);
                    if accepted {
                        self.confirm(watch::Topic::Configuration, seen, now_ms);
                    }
                }
            }
            Err(fault) => {
                let notice = Notice::Unusable(format!("a peer's configuration: {fault}"));
                self.actions.push(Action::Notice(notice));
            }
        }
    }

    /// Follows a peer's list of VMs, if it is newer than what is known here.
    pub(super) fn hear_vms(
        &mut self,
        seen: message::CopyState,
        vms: Vec<servers::Vm>,
        now_ms: u64,
    ) {
        self.relay.asked_vms_ms = None;
        if seen.position <= self.vms_index || !self.accepts_era(seen.position.era) {
            return;
        }
        self.lapsed.clear();
        if self.vms_index != store::Position::START && seen.position.era > self.vms_index.era {
            let all = watch::AllServers { listed: vms.clone(), ..Default::default() };
            self.prepare_era_change(&all, now_ms);
        }
        self.relay.restart_changes(seen.position);
        self.follow_vms(seen.position, vms, now_ms);
        self.hear_news(watch::Topic::Servers, now_ms);
        self.confirm(watch::Topic::Servers, seen, now_ms);
    }
}

/// Whether a question may be asked now; notes that it is.
fn may_ask(asked_ms: &mut Option<u64>, again_ms: u64, now_ms: u64) -> bool {
    if asked_ms.is_some_and(|at_ms| now_ms < at_ms + again_ms) {
        return false;
    }
    *asked_ms = Some(now_ms);
    true
}
