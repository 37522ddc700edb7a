//! Gossip of store updates between routers.
//!
//! Every datagram contains the positions and ages of the sender's copies of the store, and the latest changes. A router
//! that receives an update forwards it to a few random members, so that updates reach all routers after a few
//! steps, whichever of them fail. What does not fit into a datagram is requested over a connection.

use super::{Action, ConfigSource, Node, Notice};
use crate::{config, evacuation, ids, members, message, servers, store, watch};
use rand::seq::IndexedRandom;
use std::collections;

/// Members that an update is forwarded to. With four, 98 in 100 routers receive it by the push itself, the others by
/// the next push or by a probe.
const FANOUT: usize = 4;
/// Delay after which an update is pushed a second time, which reaches nearly all of the routers that the first push
/// missed. AgeSource that a copy is current is pushed only once.
const SECOND_PUSH_DELAY_MS: u64 = 100;
/// Upper bound on the changes in one datagram; at about 150 bytes each they stay below its maximum size.
const CHANGES_MAX: usize = 16;
/// Upper bound on the size of the changes in one datagram, estimated from their texts: names that another writer chose
/// for servers may be long, and a datagram that is too large is not sent at all.
const CHANGES_BYTES_MAX: usize = 4 << 10;
/// Time for which a change is repeated in datagrams, so that a lost datagram does not require a request.
const CHANGE_RETENTION_MS: u64 = 3_000;
/// Time after which an unanswered request for VMs is repeated, to any peer with a newer copy.
const VMS_REQUEST_RETRY_MS: u64 = 400;
/// The same for a configuration: a large one takes longer on the link of a small VM.
const CONFIG_REQUEST_RETRY_MS: u64 = 1_000;
/// Minimum interval between requests for members that peers have and this router does not.
const MEMBERS_REQUEST_INTERVAL_MS: u64 = 1_000;
/// Divisor of the fleet's size that gives the tolerated difference between two member counts: views of a fleet differ
/// by about this fraction while members join and leave.
const MEMBERS_TOLERANCE_DIVISOR: u64 = 16;

/// What the age of a peer's copy refers to.
#[derive(Clone, Copy, Debug)]
enum AgeSource {
    /// The poll that confirmed the copy.
    Poll(watch::Confirmation),
    /// Unknown to the peer: the age may have been renewed on the way, and is not used.
    Unknown,
    /// The peer's build does not tell. The age is used as it is.
    OlderBuild,
}

impl AgeSource {
    /// The source of the age of one of the copies in a datagram.
    fn of(
        confirmations: Option<message::Confirmations>,
        poll: fn(message::Confirmations) -> Option<watch::Confirmation>,
    ) -> Self {
        match confirmations {
            None => Self::OlderBuild,
            Some(confirmations) => poll(confirmations).map_or(Self::Unknown, Self::Poll),
        }
    }
}

/// A peer's statement on a copy that this router does not have yet.
#[derive(Clone, Copy, Debug)]
struct AnnouncedCopy {
    config_version: u64,
    copy_state: message::CopyState,
    source: AgeSource,
    received_ms: u64,
}

/// State of the gossip of store updates.
#[derive(Debug, Default)]
pub(super) struct Relay {
    /// Whether something was received since the last push that other routers need.
    pub(super) push_due: bool,
    /// Time of the second push of the latest update.
    second_push_ms: Option<u64>,
    /// The latest changes of servers' records, with the time at which they were received.
    changes: collections::VecDeque<(u64, watch::ServerChange)>,
    /// `changes` is complete after this position.
    changes_after: store::Position,
    /// The configuration in force, encoded for peers, with its version.
    encoded_config: Option<(u64, Vec<u8>)>,
    config_requested_ms: Option<u64>,
    vms_requested_ms: Option<u64>,
    members_requested_ms: Option<u64>,
    /// The latest statements on copies that were requested.
    announced_config: Option<AnnouncedCopy>,
    announced_vms: Option<AnnouncedCopy>,
}

impl Relay {
    /// Schedules two pushes after an update was received.
    pub(super) fn schedule_pushes(&mut self, now_ms: u64) {
        self.push_due = true;
        self.second_push_ms = Some(now_ms + SECOND_PUSH_DELAY_MS);
    }

    /// Adds a change that was applied to this router's copy.
    pub(super) fn record_change(&mut self, change: watch::ServerChange, now_ms: u64) {
        self.changes.push_back((now_ms, change));
        while self.changes.len() > CHANGES_MAX || self.changes_bytes() > CHANGES_BYTES_MAX {
            self.drop_oldest();
        }
    }

    /// Discards the changes after the copy was replaced by one at `position`.
    pub(super) fn reset_changes(&mut self, position: store::Position) {
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

    fn expire_changes(&mut self, now_ms: u64) {
        while self.changes.front().is_some_and(|(at_ms, _)| now_ms >= at_ms + CHANGE_RETENTION_MS) {
            self.drop_oldest();
        }
    }
}

impl Node {
    /// Summary of this router's copies of the store, for datagrams.
    pub(super) fn digest(&self, now_ms: u64) -> message::Digest {
        let copy_state = |subscription: &watch::Subscription| message::CopyState {
            position: subscription.position(),
            age_ms: subscription.age_ms(now_ms),
        };
        let configuration =
            self.watching.as_ref().map(|watching| copy_state(&watching.configuration));
        let servers = self.watching.as_ref().map(|watching| copy_state(&watching.servers));
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

    /// The polls that confirmed the copies in [`Self::digest`].
    pub(super) fn confirmations(&self) -> message::Confirmations {
        let Some(watching) = &self.watching else { return Default::default() };
        message::Confirmations {
            configuration: watching.configuration.confirmation(),
            servers: watching.servers.confirmation(),
        }
    }

    /// Merges the digest of a peer's copies into this router's copies, and requests what is missing.
    pub(super) fn merge_digest(
        &mut self,
        from: ids::Incarnation,
        digest: &message::Digest,
        confirmations: Option<message::Confirmations>,
        now_ms: u64,
    ) {
        let Some(watching) = &mut self.watching else { return };
        watching.gossip_received_ms = Some(now_ms);
        if !self.accepts_era(digest.era.max(digest.servers.position.era)) {
            self.handle_unconfirmed_era(from, digest, now_ms);
        }
        let source = |poll: fn(message::Confirmations) -> Option<watch::Confirmation>| {
            AgeSource::of(confirmations, poll)
        };
        self.merge_servers(from, digest, source(|polls| polls.servers), now_ms);
        self.merge_configuration(from, digest, source(|polls| polls.configuration), now_ms);
        self.request_members(from, digest.routers, now_ms);
    }

    fn merge_servers(
        &mut self,
        from: ids::Incarnation,
        digest: &message::Digest,
        source: AgeSource,
        now_ms: u64,
    ) {
        let reported = digest.servers.position;
        if !self.accepts_era(reported.era) || reported.era < self.vms_index.era {
            return;
        }
        let own_position = self.vms_index;
        let continues_copy =
            own_position != store::Position::START && own_position.era == reported.era;
        if reported > own_position && continues_copy && digest.changes_after <= own_position {
            let changes = digest.changes.iter().filter(|change| change.position > own_position);
            let missed_updates = self.watching.as_mut().is_some_and(|watching| {
                watching.rejected_ms = watching.servers.last_rejected_ms();
                watching.missed_server_updates(now_ms)
            });
            let changes: Vec<watch::ServerChange> = changes.cloned().collect();
            // The store's revision grows with every write, also with writes outside the subscribed keys.
            if !changes.is_empty() {
                self.record_peer_update(watch::Topic::Servers, now_ms);
            }
            self.apply_changes(reported, changes, missed_updates, now_ms);
        }
        if reported > self.vms_index {
            self.relay.announced_vms = Some(AnnouncedCopy {
                config_version: digest.config_version,
                copy_state: digest.servers,
                source,
                received_ms: now_ms,
            });
            if may_request(&mut self.relay.vms_requested_ms, VMS_REQUEST_RETRY_MS, now_ms) {
                self.send(from, message::Message::VmsRequest);
            }
            return;
        }
        let copy_state = message::CopyState { position: self.vms_index, ..digest.servers };
        self.confirm_copy(watch::Topic::Servers, copy_state, source, now_ms);
    }

    fn merge_configuration(
        &mut self,
        from: ids::Incarnation,
        digest: &message::Digest,
        source: AgeSource,
        now_ms: u64,
    ) {
        if self.accepts_era(digest.evacuations.position.era)
            && self.merge_evacuations(&digest.evacuations, now_ms)
        {
            self.record_peer_update(watch::Topic::Configuration, now_ms);
        }
        if digest.config_version > self.config_version() {
            self.relay.announced_config = Some(AnnouncedCopy {
                config_version: digest.config_version,
                copy_state: digest.configuration,
                source,
                received_ms: now_ms,
            });
            let requested_before_ms = self.relay.config_requested_ms;
            if may_request(&mut self.relay.config_requested_ms, CONFIG_REQUEST_RETRY_MS, now_ms) {
                self.report_config_not_received(from, digest, requested_before_ms, now_ms);
                self.send(from, message::Message::ConfigRequest);
            }
            return;
        }
        let reported = digest.configuration.position;
        let own_position = self.watching.as_ref().map(|watching| watching.configuration.position());
        if !self.accepts_era(reported.era)
            || own_position.is_some_and(|own_position| reported.era < own_position.era)
        {
            return;
        }
        let same_version = digest.config_version == self.config_version();
        let position = if same_version { reported } else { store::Position::START };
        let copy_state = message::CopyState { position, ..digest.configuration };
        self.confirm_copy(watch::Topic::Configuration, copy_state, source, now_ms);
    }

    /// Reports a newer configuration that was requested from a peer one or two retries ago and has not arrived.
    fn report_config_not_received(
        &mut self,
        from: ids::Incarnation,
        digest: &message::Digest,
        requested_before_ms: Option<u64>,
        now_ms: u64,
    ) {
        let waited_ms = requested_before_ms.map(|at_ms| now_ms.saturating_sub(at_ms));
        let Some(waited_ms) = waited_ms.filter(|ms| *ms <= 2 * CONFIG_REQUEST_RETRY_MS) else {
            return;
        };
        let notice = Notice::ConfigurationNotReceived {
            version: digest.config_version,
            own_version: self.config_version(),
            peer: from,
            waited_ms,
            age_ms: self.age_ms(watch::Topic::Configuration, now_ms),
            open_polls: self.open_polls(watch::Topic::Configuration, now_ms),
        };
        self.actions.push(Action::Notice(notice));
    }

    /// Merges a peer's evidence that a copy at the same position was current into this router's subscription.
    fn confirm_copy(
        &mut self,
        topic: watch::Topic,
        copy_state: message::CopyState,
        source: AgeSource,
        now_ms: u64,
    ) {
        let own = self.settings.incarnation;
        let gossips_store_updates = self.gossips_store_updates();
        let Some(watching) = &mut self.watching else { return };
        let position = copy_state.position;
        watching.topic(topic).adopt(position);
        let Some(age_ms) = copy_state.age_ms else { return };
        let reported_ms = now_ms.saturating_sub(age_ms);
        let (confirmed_ms, confirmation) = match source {
            AgeSource::Poll(poll) if poll.router == own => {
                (poll.at_ms.min(reported_ms), Some(poll))
            }
            AgeSource::Poll(poll) => (watching.peer_clocks.local_ms(poll, reported_ms), Some(poll)),
            AgeSource::OlderBuild => (reported_ms, None),
            AgeSource::Unknown => return,
        };
        let subscription = watching.topic(topic);
        let gained_ms = subscription.confirm(position, confirmed_ms, confirmation);
        self.relay.push_due |=
            gossips_store_updates && gained_ms >= subscription.notable_improvement_ms();
    }

    /// Records that this router has taken over a peer's copy, and whether it is the one that a datagram announced. The age
    /// in the message itself counts only if there was no copy before, as nothing tells which poll it refers to.
    fn record_copy_taken_over(
        &mut self,
        topic: watch::Topic,
        copy_state: message::CopyState,
        announced: Option<AnnouncedCopy>,
        now_ms: u64,
    ) {
        if let Some(announced) = announced {
            self.confirm_copy(topic, announced.copy_state, announced.source, announced.received_ms);
        }
        let Some(watching) = &mut self.watching else { return };
        let subscription = watching.topic(topic);
        subscription.adopt(copy_state.position);
        if let (None, Some(age_ms)) = (subscription.age_ms(now_ms), copy_state.age_ms) {
            subscription.confirm(copy_state.position, now_ms.saturating_sub(age_ms), None);
        }
    }

    /// Records that a peer sent an update, which supersedes this router's own poll.
    fn record_peer_update(&mut self, topic: watch::Topic, now_ms: u64) {
        self.relay.schedule_pushes(now_ms);
        if let Some(watching) = &mut self.watching {
            watching.topic(topic).supersede(watch::Evidence::Peer, now_ms);
        }
    }

    /// Whether routers receive store updates from each other.
    fn gossips_store_updates(&self) -> bool {
        self.watching.is_some()
    }

    /// Pushes updates to other members if a push is due.
    pub(super) fn push_updates(&mut self, now_ms: u64) {
        self.relay.expire_changes(now_ms);
        let second_push = self.relay.second_push_ms.take_if(|at_ms| now_ms >= *at_ms).is_some();
        if !(std::mem::take(&mut self.relay.push_due) || second_push)
            || !self.gossips_store_updates()
        {
            return;
        }
        self.push_to_random_members(now_ms);
    }

    /// Sends the state of this router to a few random members.
    pub(super) fn push_to_random_members(&mut self, now_ms: u64) {
        // With datagram loss, a suspected member may be alive; terminated members are suspected for a few seconds only.
        let (alive, suspected): (Vec<&members::Record>, Vec<&members::Record>) =
            self.members.live().partition(|record| record.health == members::Health::Alive);
        let chosen = alive.sample(&mut self.rng, FANOUT);
        let mut chosen: Vec<String> = chosen.map(|record| record.address.clone()).collect();
        chosen.extend(suspected.choose(&mut self.rng).map(|record| record.address.clone()));
        for address in chosen {
            let updates = self.members.take_updates();
            self.push_gossip(address, message::GossipKind::Push, updates, now_ms);
        }
    }

    fn request_members(&mut self, from: ids::Incarnation, routers: u64, now_ms: u64) {
        let live_count = self.members.live_count();
        let peer_has_more = routers > live_count + (live_count / MEMBERS_TOLERANCE_DIVISOR).max(1);
        if peer_has_more
            && may_request(
                &mut self.relay.members_requested_ms,
                MEMBERS_REQUEST_INTERVAL_MS,
                now_ms,
            )
        {
            self.send(from, message::Message::MembersRequest);
        }
    }

    pub(super) fn send_members(&mut self, to: ids::Incarnation) {
        let records = self.members.live().cloned().collect();
        self.send(to, message::Message::Members(records));
    }

    pub(super) fn send_vms(&mut self, to: ids::Incarnation, now_ms: u64) {
        let mut vms = self.stored_records();
        vms.sort_by(|left, right| left.vm.cmp(&right.vm));
        let copy_state = self.digest(now_ms).servers;
        self.send(to, message::Message::Vms { copy_state, vms });
    }

    pub(super) fn send_config(&mut self, to: ids::Incarnation, now_ms: u64) {
        let Some(published) = &self.config else { return };
        let version = published.version;
        let cached = self
            .relay
            .encoded_config
            .take()
            .filter(|(encoded_version, _)| *encoded_version == version);
        let value = match cached {
            Some((_, value)) => value,
            None => match postcard::to_stdvec(published) {
                Ok(value) => value,
                Err(fault) => {
                    let notice = Notice::UnusableValue(format!("configuration {version}: {fault}"));
                    self.actions.push(Action::Notice(notice));
                    return;
                }
            },
        };
        self.relay.encoded_config = Some((version, value.clone()));
        let copy_state = self.digest(now_ms).configuration;
        let evacuations = self.evacuations.clone();
        self.send(to, message::Message::Config { version, copy_state, evacuations, value });
    }

    pub(super) fn handle_config(
        &mut self,
        from: ids::Incarnation,
        copy_state: message::CopyState,
        evacuations: &evacuation::Evacuations,
        value: Vec<u8>,
        now_ms: u64,
    ) {
        self.relay.config_requested_ms = None;
        let accepted = self.accepts_era(copy_state.position.era.max(evacuations.position.era));
        if accepted {
            self.merge_evacuations(evacuations, now_ms);
        }
        match postcard::from_bytes::<config::Published>(&value) {
            Ok(published) => {
                let version = published.version;
                self.apply_config(published, ConfigSource::Peer(from), now_ms);
                if version == self.config_version() {
                    self.relay.encoded_config = Some((version, value));
                    self.record_peer_update(watch::Topic::Configuration, now_ms);
                    let announced = self.relay.announced_config.take();
                    let announced = announced.filter(|known| known.config_version <= version);
                    if accepted {
                        self.record_copy_taken_over(
                            watch::Topic::Configuration,
                            copy_state,
                            announced,
                            now_ms,
                        );
                    }
                }
            }
            Err(fault) => {
                let notice = Notice::UnusableValue(format!("a peer's configuration: {fault}"));
                self.actions.push(Action::Notice(notice));
            }
        }
    }

    /// Replaces this router's list of VMs by a peer's if that is newer.
    pub(super) fn handle_vms(
        &mut self,
        copy_state: message::CopyState,
        vms: Vec<servers::Vm>,
        now_ms: u64,
    ) {
        self.relay.vms_requested_ms = None;
        if copy_state.position <= self.vms_index || !self.accepts_era(copy_state.position.era) {
            return;
        }
        self.lapsed.clear();
        if self.vms_index != store::Position::START && copy_state.position.era > self.vms_index.era
        {
            let all = watch::AllServers { listed: vms.clone(), ..Default::default() };
            self.prepare_era_change(&all, now_ms);
        }
        self.relay.reset_changes(copy_state.position);
        let vms = self.records_in_use(vms, now_ms);
        self.replace_vms(copy_state.position, vms, now_ms);
        self.record_peer_update(watch::Topic::Servers, now_ms);
        let announced = self.relay.announced_vms.take();
        let position = copy_state.position;
        let announced = announced.filter(|known| known.copy_state.position <= position);
        self.record_copy_taken_over(watch::Topic::Servers, copy_state, announced, now_ms);
    }
}

/// Whether a request may be sent now, `interval_ms` after the last one; records that it is.
fn may_request(requested_ms: &mut Option<u64>, interval_ms: u64, now_ms: u64) -> bool {
    if requested_ms.is_some_and(|at_ms| now_ms < at_ms + interval_ms) {
        return false;
    }
    *requested_ms = Some(now_ms);
    true
}
