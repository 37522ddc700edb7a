//! Finds the origin of a stream that a client continues, and keeps the origins of streams at other routers.
//!
//! While the servers of a service have several software versions, each router sends the origins of the streams that it
//! places to two other routers, which rendezvous hashing over the stream names. Whichever router a client turns to asks
//! those that may have been named, so that the origin is found after the router that placed the stream has ended.
//! Nothing is sent while a service has one version, unless the store may be out of reach: without a read of its record of
//! versions, streams go on only where their origin is known.

use super::{
    Action, Lifecycle, Node, Notice, Reason, UnknownOrigin, admit, record_reads, watching,
};
use crate::{ids, members, message, rendezvous, streams, watch};
use std::collections;

/// Number of other routers to which the origin of a stream is sent.
const COPIES: usize = 2;
/// Number of live routers to which the origin of a stream is sent while some do not acknowledge it.
const COPIES_SENT_MAX: usize = 6;
/// Number of routers that are asked for an origin. More than [`COPIES`], as views of the membership differ and copies
/// are kept in different failure domains.
const ROUTERS_ASKED_MAX: usize = 8;
/// Number of routers that are asked for an origin while the store does not answer.
const ROUTERS_ASKED_WITHOUT_STORE_MAX: usize = 32;
/// Time after which a router that has not replied is not waited for.
const SEARCH_TIMEOUT_MS: u64 = 200;
/// Time for which a search waits until this router is ready.
const READY_TIMEOUT_MS: u64 = SEARCH_TIMEOUT_MS - SECOND_COPY_TIMEOUT_MS;
/// Time after which a single copy of an origin is used.
const SECOND_COPY_TIMEOUT_MS: u64 = 50;
/// Time after which an unanswered request for an origin is repeated.
const REQUEST_REPEAT_MS: u64 = 60;
/// Time after which an unacknowledged message with origins is repeated.
const COPY_REPEAT_MS: u64 = 100;
/// Number of times that a message with origins is sent at most.
const COPY_SENDS_MAX: u32 = 4;
/// Number of streams in one message, which has to fit into a datagram.
const STREAMS_PER_MESSAGE: usize = 64;
/// Number of origins in a reply for an unknown stream: one more than the stream may have to go on.
const CANDIDATES_MAX: usize = 2;
/// Interval between checks whether the routers that keep copies are still live.
const COPIES_CHECK_INTERVAL_MS: u64 = 500;

/// A search for the origin of a stream that a client continues.
#[derive(Clone, Debug)]
pub struct OriginSearch {
    /// The stream; `None` if the client does not name it.
    pub stream: Option<ids::StreamId>,
    /// The services to which the request's route leads.
    pub services: Vec<String>,
}

/// How the origin of a stream was determined. It is a label of a metric and written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OriginSource {
    /// This router had placed the stream, or had a copy of its origin.
    Own,
    /// Another router had it.
    Router,
    /// It was unknown, but only one version can have written the stream.
    OnlyVersion,
}

impl OriginSource {
    /// The value in metrics and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Router => "router",
            Self::OnlyVersion => "only_version",
        }
    }
}

/// The result of an [`OriginSearch`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OriginFound {
    /// The stream may go on at this origin.
    Origin {
        /// The service and version.
        origin: streams::Origin,
        /// How they were determined.
        source: OriginSource,
    },
    /// The stream cannot be continued here now.
    Refused {
        /// The reason.
        reason: Reason,
        /// Time, in milliseconds, after which the caller may try again.
        retry_after_ms: u64,
    },
}

/// A message with origins that is not acknowledged yet.
#[derive(Debug)]
struct UnacknowledgedCopies {
    router: ids::Incarnation,
    origin: streams::Origin,
    streams: Vec<ids::StreamId>,
    sent_ms: u64,
    sends: u32,
}

/// A search whose routers have not all replied.
#[derive(Debug)]
struct RunningSearch {
    search: OriginSearch,
    number: u64,
    /// The routers that were asked.
    asked: collections::BTreeSet<ids::Incarnation>,
    unanswered: collections::BTreeSet<ids::Incarnation>,
    /// The origins that the stream may have according to the replies.
    candidates: collections::BTreeSet<streams::Origin>,
    /// The most recent copy of the origin so far, and from where it is.
    copy: Option<(streams::Placement, OriginSource)>,
    /// Whether a router that replied has seen all versions at which the stream can have begun.
    complete: bool,
    /// The last read of the record of versions that had begun when the client took the stream up. Only a later one shows
    /// each version that can have written the stream.
    last_read: record_reads::ReadNumber,
    /// When this search first needed a later one.
    read_wanted_ms: Option<u64>,
    started_ms: u64,
    /// When this router, which was ready then, looked for the origin; `None` before that.
    begun_ms: Option<u64>,
    sent_ms: u64,
}

/// The state of the exchange of origins with other routers.
#[derive(Debug, Default)]
pub(super) struct StreamOrigins {
    table: streams::Table,
    /// Streams whose origin is to be sent now.
    unsent: collections::BTreeSet<ids::StreamId>,
    /// Streams of which a router that was sent a copy may have ended.
    lacking: collections::BTreeSet<ids::StreamId>,
    /// The routers to which the origins of streams were sent.
    copies: collections::HashMap<ids::StreamId, Vec<ids::Incarnation>>,
    copies_checked_ms: u64,
    /// Routers that have not acknowledged a copy in time, and none since.
    silent: collections::BTreeSet<ids::Incarnation>,
    unacknowledged: collections::BTreeMap<u64, UnacknowledgedCopies>,
    searches: slotmap::SlotMap<ids::OriginSearchSlot, RunningSearch>,
    /// The number of the last message that is repeated until it is answered.
    last_number: u64,
    /// The services whose origins are sent to other routers: those with several recent versions, and all of them while the
    /// store may be out of reach or its record is not complete.
    copied_services: collections::BTreeSet<String>,
}

impl RunningSearch {
    /// Whether routers that have not replied are not waited for any longer.
    fn is_expired(&self, now_ms: u64) -> bool {
        match (&self.copy, self.begun_ms) {
            (Some(_), Some(begun_ms)) => now_ms >= begun_ms + SECOND_COPY_TIMEOUT_MS,
            _ => now_ms >= self.started_ms + SEARCH_TIMEOUT_MS,
        }
    }
}

impl StreamOrigins {
    /// Whether all origins that are to be sent have been acknowledged or abandoned.
    pub(super) fn is_settled(&self) -> bool {
        self.unsent.is_empty() && self.lacking.is_empty() && self.unacknowledged.is_empty()
    }

    pub(super) fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}

impl Node {
    /// Searches for the origin of a stream. [`Action::OriginFound`] follows within 0.2 s, often before this returns.
    pub fn find_stream_origin(
        &mut self,
        search: OriginSearch,
        now_ms: u64,
    ) -> ids::OriginSearchSlot {
        let number = self.stream_origins.next_number();
        let last_read = self.record_reads.last_begun();
        let slot = self.stream_origins.searches.insert(RunningSearch {
            search,
            number,
            asked: Default::default(),
            unanswered: Default::default(),
            candidates: Default::default(),
            copy: None,
            complete: false,
            last_read,
            read_wanted_ms: None,
            started_ms: now_ms,
            begun_ms: None,
            sent_ms: now_ms,
        });
        match self.lifecycle {
            Lifecycle::Ready => self.begin_search(slot, now_ms),
            // It begins when this router is ready.
            Lifecycle::Starting => {}
            Lifecycle::Fenced => self.refuse_continuation(slot, Reason::Fenced),
            Lifecycle::Stopping | Lifecycle::Stopped => {
                self.refuse_continuation(slot, Reason::Stopping);
            }
        }
        slot
    }

    fn begin_search(&mut self, slot: ids::OriginSearchSlot, now_ms: u64) {
        let own = self.settings.incarnation;
        let state = &mut self.stream_origins;
        let search = &mut state.searches[slot];
        (search.begun_ms, search.sent_ms) = (Some(now_ms), now_ms);
        let stream = search.search.stream;
        let placement = stream.and_then(|stream| state.table.placement(stream, own));
        if let Some(placement) = placement
            && self.handle_placement(slot, placement, OriginSource::Own)
        {
            return;
        }
        self.ask_new_routers(slot, now_ms);
        if self.stream_origins.searches[slot].unanswered.is_empty() {
            self.conclude_search(slot, now_ms);
        }
    }

    /// Asks the routers that may have a copy and were not asked yet: a router that has just started learns of the others
    /// while it searches.
    fn ask_new_routers(&mut self, slot: ids::OriginSearchSlot, now_ms: u64) {
        let Some(running) = self.stream_origins.searches.get(slot) else { return };
        // Without the stream's id nobody can know its origin.
        let Some(stream) = running.search.stream else { return };
        let limit = match self.store_may_be_out_of_reach(now_ms)
            || running
                .read_wanted_ms
                .is_some_and(|at_ms| now_ms >= at_ms + record_reads::SLOW_READ_MS)
        {
            // The stream can have begun at routers that have sent no copies yet.
            true => ROUTERS_ASKED_WITHOUT_STORE_MAX,
            false => ROUTERS_ASKED_MAX,
        };
        let new: Vec<ids::Incarnation> = self
            .routers_to_ask(stream)
            .take(limit)
            .filter(|router| !running.asked.contains(router))
            .collect();
        self.send_origin_requests(slot, &new);
        if let Some(running) = self.stream_origins.searches.get_mut(slot) {
            running.asked.extend(&new);
            running.unanswered.extend(&new);
        }
    }

    /// Records the version at which a stream is placed, if its client may continue it. Copies are sent with the first event.
    /// From then on the origin cannot change, so that the copy of a router that is cut off is not outdated.
    pub(super) fn record_stream_origin(
        &mut self,
        slot: ids::RequestSlot,
        server: ids::ServerSlot,
        now_ms: u64,
    ) {
        let Some(request) = self.requests.get(slot) else { return };
        let Some(stream) = &request.admission.stream else { return };
        let Some(server) = self.servers.get(server) else { return };
        let origin = streams::Origin {
            service: server.vm.service.clone(),
            version: server.vm.version.clone(),
        };
        let (stream, kept_ms, begun) = (stream.id, stream.kept_ms, request.version.is_some());
        let expires_ms = now_ms + kept_ms.min(streams::KEPT_MAX_MS);
        let changed = self.stream_origins.table.record_own(stream, &origin, expires_ms, begun);
        if changed && begun && self.stream_origins.copied_services.contains(&origin.service) {
            self.stream_origins.unsent.insert(stream);
            // The first event reaches the client before the next tick.
            self.send_unsent_origins(now_ms);
        }
    }

    /// Sends origins to other routers, repeats what is not answered, and ends searches.
    pub(super) fn tick_stream_origins(&mut self, now_ms: u64) {
        self.stream_origins.table.expire(now_ms);
        self.update_copied_services(now_ms);
        self.check_copies(now_ms);
        self.repeat_unacknowledged_origins(now_ms);
        self.tick_searches(now_ms);
    }

    /// Hands the origins that this router keeps for others over to routers that go on.
    pub(super) fn hand_over_stream_origins(&mut self, now_ms: u64) {
        let state = &mut self.stream_origins;
        let in_copied_service = |stream: &ids::StreamId| {
            let origin = state.table.origin(*stream);
            origin.is_some_and(|origin| state.copied_services.contains(&origin.service))
        };
        let streams = state.table.streams().filter(in_copied_service).collect();
        state.unsent = streams;
        self.send_unsent_origins(now_ms);
    }

    /// Stores the origin of streams that another router sent, and acknowledges it.
    pub(super) fn handle_stream_origins(
        &mut self,
        from: ids::Incarnation,
        number: u64,
        origin: &streams::Origin,
        copies: &[streams::StreamCopy],
        now_ms: u64,
    ) {
        for copy in copies {
            let expires_ms = now_ms + copy.left_ms.min(streams::KEPT_MAX_MS);
            let source = (from, number);
            self.stream_origins.table.record_copy(copy.stream, origin, expires_ms, source);
        }
        self.send(from, message::Message::StreamOriginsStored { number });
    }

    /// Records that another router has stored the origins of message `number`.
    pub(super) fn handle_stream_origins_stored(&mut self, from: ids::Incarnation, number: u64) {
        self.stream_origins.unacknowledged.remove(&number);
        self.stream_origins.silent.remove(&from);
    }

    /// Answers another router that asks for the origin of a stream.
    pub(super) fn handle_origin_request(
        &mut self,
        from: ids::Incarnation,
        number: u64,
        stream: ids::StreamId,
        services: &[String],
        now_ms: u64,
    ) {
        let own = self.settings.incarnation;
        let reply = match self.stream_origins.table.placement(stream, own) {
            Some(placement) => streams::Reply::Known(placement),
            None => streams::Reply::Unknown {
                candidates: self.possible_origins(services, now_ms).take(CANDIDATES_MAX).collect(),
                complete: self.knows_recent_versions(now_ms),
            },
        };
        self.send(from, message::Message::StreamOriginReply { number, reply });
    }

    /// Handles a router's answer to a request for the origin of a stream.
    pub(super) fn handle_origin_reply(
        &mut self,
        from: ids::Incarnation,
        number: u64,
        reply: streams::Reply,
        now_ms: u64,
    ) {
        let mut searches = self.stream_origins.searches.iter_mut();
        let Some((slot, search)) = searches.find(|(_, search)| search.number == number) else {
            return;
        };
        if !search.unanswered.remove(&from) {
            return;
        }
        match reply {
            streams::Reply::Known(placement) => {
                if self.handle_placement(slot, placement, OriginSource::Router) {
                    return;
                }
            }
            streams::Reply::Unknown { candidates, complete } => {
                search.candidates.extend(candidates);
                // Other builds take a missing record for a complete one.
                search.complete |= complete && self.version_record.is_writer(from);
            }
        }
        if self.stream_origins.searches[slot].unanswered.is_empty() {
            self.conclude_search(slot, now_ms);
        }
    }

    /// Handles what this or another router has of a stream. The router that placed it knows where; a copy may have
    /// missed its latest message, so it counts together with another one, or after a while. Returns whether the search
    /// has ended.
    fn handle_placement(
        &mut self,
        slot: ids::OriginSearchSlot,
        placement: streams::Placement,
        source: OriginSource,
    ) -> bool {
        let Some(search) = self.stream_origins.searches.get_mut(slot) else { return true };
        let agrees =
            search.copy.as_ref().is_some_and(|(known, _)| known.origin == placement.origin);
        if placement.number.is_none() || agrees {
            self.accept_origin(slot, placement.origin, source);
            return true;
        }
        match &search.copy {
            Some((known, _)) if known.router != placement.router => {
                // The client has used the id of its request twice.
                self.refuse_continuation(slot, Reason::StreamOriginUnknown);
                return true;
            }
            Some((known, _)) if known.number > placement.number => {}
            _ => search.copy = Some((placement, source)),
        }
        false
    }

    /// The origins that a stream of these services may have, as far as this router has seen. A version at which streams
    /// may begin counts even if this router has not listed it for long: it may have returned since.
    fn possible_origins(
        &self,
        services: &[String],
        now_ms: u64,
    ) -> impl Iterator<Item = streams::Origin> {
        services.iter().flat_map(move |service| {
            let seen = match self.record_names_all_versions(now_ms) {
                true => self.servers.recorded_versions(service, now_ms),
                false => self.servers.recent_versions(service, now_ms),
            };
            let current = self.version_record.current_versions(service);
            let versions: collections::BTreeSet<&str> = seen.into_iter().chain(current).collect();
            versions.into_iter().map(|version| streams::Origin {
                service: service.clone(),
                version: version.to_owned(),
            })
        })
    }

    /// Concludes the searches that waited for the store's record of versions.
    pub(super) fn conclude_answered_searches(&mut self, now_ms: u64) {
        let searches = self.stream_origins.searches.iter();
        let answered = searches
            .filter(|(_, search)| search.begun_ms.is_some() && search.unanswered.is_empty());
        let answered: Vec<ids::OriginSearchSlot> = answered.map(|(slot, _)| slot).collect();
        answered.into_iter().for_each(|slot| self.conclude_search(slot, now_ms));
    }

    /// Whether a search waits for a read of the record of versions.
    pub(super) fn awaits_record_read(&self, number: record_reads::ReadNumber) -> bool {
        self.stream_origins.searches.values().any(|search| search.last_read < number)
    }

    /// Ends a search whose routers have replied or are not waited for any longer.
    fn conclude_search(&mut self, slot: ids::OriginSearchSlot, now_ms: u64) {
        let Some(running) = self.stream_origins.searches.get(slot) else { return };
        // A router that has just started may not know of all others that have copies.
        let knows_routers = running.search.stream.is_none()
            || now_ms >= self.started_ms + watching::MEMBERSHIP_SETTLE_MS;
        if let Some((copy, source)) = running.copy.clone() {
            if knows_routers || running.is_expired(now_ms) {
                self.accept_origin(slot, copy.origin, source);
            }
            return;
        }
        self.conclude_unknown(slot, knows_routers, now_ms);
    }

    /// Ends the search for a stream whose origin no router knows. The stream can go on if only one version can have written
    /// it, according to a read of the store's record that began after the client took the stream up.
    fn conclude_unknown(&mut self, slot: ids::OriginSearchSlot, knows_routers: bool, now_ms: u64) {
        let Some(running) = self.stream_origins.searches.get(slot) else { return };
        let mut candidates = running.candidates.clone();
        candidates.extend(self.possible_origins(&running.search.services, now_ms));
        let complete = running.complete || self.knows_recent_versions(now_ms);
        let is_read = self.record_reads.has_succeeded_after(running.last_read);
        let last_read = running.last_read;
        let awaits_read = !is_read
            && !self.record_reads.has_failed_after(last_read)
            && now_ms < running.started_ms + record_reads::READ_TIMEOUT_MS;
        let expired = running.is_expired(now_ms);
        let mut unknown = UnknownOrigin {
            continued: false,
            candidates: candidates.len(),
            asked: running.asked.len(),
            unanswered: running.unanswered.len(),
            live_routers: self.members.live_count(),
            list_age_ms: self.age_ms(watch::Topic::Servers, now_ms),
            record_age_ms: self.version_record.age_ms(now_ms),
        };
        match (candidates.pop_first(), candidates.is_empty()) {
            (None, _) => self.refuse_continuation(slot, Reason::NoServer),
            (Some(_), true) if awaits_read => self.await_record_read(slot, now_ms),
            (Some(origin), true) if complete && is_read => {
                unknown.continued = true;
                self.actions.push(Action::Notice(Notice::StreamOriginUnknown(unknown)));
                self.accept_origin(slot, origin, OriginSource::OnlyVersion);
            }
            (Some(_), _) if !expired && !knows_routers => {}
            (Some(_), _) => {
                self.actions.push(Action::Notice(Notice::StreamOriginUnknown(unknown)));
                self.refuse_continuation(slot, Reason::StreamOriginUnknown);
            }
        }
    }

    /// Reads the record while routers have not replied, if the search will need it unless they do.
    fn read_record_early(&mut self, slot: ids::OriginSearchSlot, now_ms: u64) {
        let Some(running) = self.stream_origins.searches.get(slot) else { return };
        let last_read = running.last_read;
        let possible = self.possible_origins(&running.search.services, now_ms);
        let candidates: collections::BTreeSet<streams::Origin> =
            possible.chain(running.candidates.iter().cloned()).collect();
        if running.copy.is_none()
            && candidates.len() == 1
            && !self.record_reads.has_succeeded_after(last_read)
        {
            self.await_record_read(slot, now_ms);
        }
    }

    /// Has the record read for a search, and asks more routers for the origin if that takes long.
    fn await_record_read(&mut self, slot: ids::OriginSearchSlot, now_ms: u64) {
        let Some(running) = self.stream_origins.searches.get_mut(slot) else { return };
        running.read_wanted_ms.get_or_insert(now_ms);
        let last_read = running.last_read;
        self.read_record_after(last_read, now_ms);
        self.ask_new_routers(slot, now_ms);
    }

    fn accept_origin(
        &mut self,
        slot: ids::OriginSearchSlot,
        origin: streams::Origin,
        source: OriginSource,
    ) {
        let Some(running) = self.stream_origins.searches.get(slot) else { return };
        if !running.search.services.contains(&origin.service) {
            // The route no longer leads to the service that began the stream.
            self.refuse_continuation(slot, Reason::NoServerOfVersion);
            return;
        }
        *self.counters.stream_origins.entry(source).or_default() += 1;
        self.end_search(slot, OriginFound::Origin { origin, source });
    }

    fn refuse_continuation(&mut self, slot: ids::OriginSearchSlot, reason: Reason) {
        *self.counters.refused.entry(reason).or_default() += 1;
        let retry_after_ms = admit::RETRY_AFTER_SHORT_MS;
        self.end_search(slot, OriginFound::Refused { reason, retry_after_ms });
    }

    fn end_search(&mut self, slot: ids::OriginSearchSlot, found: OriginFound) {
        self.stream_origins.searches.remove(slot);
        self.actions.push(Action::OriginFound { search: slot, found });
    }

    fn tick_searches(&mut self, now_ms: u64) {
        let slots: Vec<ids::OriginSearchSlot> = self.stream_origins.searches.keys().collect();
        for slot in slots {
            self.tick_search(slot, now_ms);
        }
    }

    fn tick_search(&mut self, slot: ids::OriginSearchSlot, now_ms: u64) {
        let Some(search) = self.stream_origins.searches.get_mut(slot) else { return };
        if search.begun_ms.is_none() {
            if self.lifecycle == Lifecycle::Ready {
                self.begin_search(slot, now_ms);
            } else if now_ms >= search.started_ms + READY_TIMEOUT_MS {
                self.refuse_continuation(slot, Reason::NotReady);
            }
            return;
        }
        if search.is_expired(now_ms) || search.unanswered.is_empty() {
            self.conclude_search(slot, now_ms);
            return;
        }
        if now_ms >= search.sent_ms + REQUEST_REPEAT_MS {
            search.sent_ms = now_ms;
            let unanswered: Vec<ids::Incarnation> = search.unanswered.iter().copied().collect();
            self.send_origin_requests(slot, &unanswered);
            self.read_record_early(slot, now_ms);
        }
        if now_ms < self.started_ms + watching::MEMBERSHIP_SETTLE_MS {
            self.ask_new_routers(slot, now_ms);
        }
    }

    fn send_origin_requests(&mut self, slot: ids::OriginSearchSlot, routers: &[ids::Incarnation]) {
        let Some(running) = self.stream_origins.searches.get(slot) else { return };
        let Some(stream) = running.search.stream else { return };
        let (number, services) = (running.number, running.search.services.clone());
        for router in routers {
            let services = services.clone();
            self.send(*router, message::Message::StreamOriginRequest { number, stream, services });
        }
    }

    /// The live routers, those first that are ranked highest for a stream and so may have copies of its origin.
    fn routers_to_ask(&self, stream: ids::StreamId) -> impl Iterator<Item = ids::Incarnation> {
        let mut ranked: Vec<ids::Incarnation> =
            self.members.live().map(|record| record.id).collect();
        ranked.sort_by_key(|router| {
            std::cmp::Reverse(rendezvous::weight(stream.subject(), router.0))
        });
        ranked.into_iter()
    }

    /// The routers that are to keep copies of a stream's origin, beside those that `kept` names: routers that acknowledge
    /// copies, in other failure domains than this one and each other, where there are such.
    fn routers_for_copies(
        &self,
        stream: ids::StreamId,
        kept: &[ids::Incarnation],
    ) -> Vec<ids::Incarnation> {
        let kept_domains = self.members.live().filter(|record| kept.contains(&record.id));
        let mut domains: Vec<&str> =
            kept_domains.map(|record| record.failure_domain.as_str()).collect();
        domains.push(&self.settings.failure_domain);
        let mut chosen: Vec<ids::Incarnation> = Vec::new();
        for _ in kept.len()..COPIES {
            let rank = |record: &&members::Record| {
                let in_other_domain = !domains.contains(&record.failure_domain.as_str());
                let answers = !self.stream_origins.silent.contains(&record.id);
                (answers, in_other_domain, rendezvous::weight(stream.subject(), record.id.0))
            };
            let others = self.members.live();
            let others =
                others.filter(|record| !chosen.contains(&record.id) && !kept.contains(&record.id));
            let Some(best) = others.max_by_key(rank) else { break };
            chosen.push(best.id);
            domains.push(&best.failure_domain);
        }
        chosen
    }

    /// Whether the store may be out of this router's reach, according to its polls and reads.
    fn store_may_be_out_of_reach(&self, now_ms: u64) -> bool {
        let watching = self.watching.as_ref();
        self.record_reads.may_be_out_of_reach(now_ms)
            || watching.is_some_and(|watching| watching.may_be_out_of_reach(now_ms))
    }

    /// Sends the origins of all streams of a service as soon as it has several versions, or the store may be out of reach.
    pub(super) fn update_copied_services(&mut self, now_ms: u64) {
        let several = self.servers.services_of_several_versions(now_ms).map(str::to_owned);
        let mut copied: collections::BTreeSet<String> = several.collect();
        if self.store_may_be_out_of_reach(now_ms) || !self.knows_recent_versions(now_ms) {
            // Where the record proves nothing, other routers need the origin to continue a stream of any service.
            let services = self.config.iter().flat_map(|config| &config.document.services);
            copied.extend(services.map(|service| service.name.clone()));
        }
        let state = &mut self.stream_origins;
        if copied == state.copied_services {
            return;
        }
        let is_newly_copied =
            |service: &String| copied.contains(service) && !state.copied_services.contains(service);
        let streams = state.table.own_streams();
        let newly_copied = streams.filter(|(_, origin)| is_newly_copied(&origin.service));
        let unsent: Vec<ids::StreamId> = newly_copied.map(|(stream, _)| stream).collect();
        state.unsent.extend(unsent);
        state.copied_services = copied;
        self.send_unsent_origins(now_ms);
    }

    /// Has the origins of streams sent again of which a router that kept a copy has ended.
    fn check_copies(&mut self, now_ms: u64) {
        let state = &mut self.stream_origins;
        if state.copies.is_empty() || now_ms < state.copies_checked_ms + COPIES_CHECK_INTERVAL_MS {
            return;
        }
        state.copies_checked_ms = now_ms;
        let table = &state.table;
        state.copies.retain(|stream, _| table.origin(*stream).is_some());
        let live: collections::HashSet<ids::Incarnation> =
            self.members.live().map(|record| record.id).collect();
        state.silent.retain(|router| live.contains(router));
        let wanted = COPIES.min(live.len());
        let lacks_copies = |routers: &Vec<ids::Incarnation>| {
            routers.iter().filter(|router| live.contains(router)).count() < wanted
        };
        let lacking = state.copies.iter().filter(|(_, routers)| lacks_copies(routers));
        let lacking: Vec<ids::StreamId> = lacking.map(|(stream, _)| *stream).collect();
        state.lacking.extend(lacking);
        self.send_unsent_origins(now_ms);
    }

    /// Sends the origins of new placements to all routers that have, or are to have, copies, and the others to routers in
    /// place of those that do not answer.
    fn send_unsent_origins(&mut self, now_ms: u64) {
        let unsent = std::mem::take(&mut self.stream_origins.unsent);
        let lacking = std::mem::take(&mut self.stream_origins.lacking);
        let mut messages = collections::BTreeMap::<_, Vec<ids::StreamId>>::new();
        for stream in unsent.union(&lacking).copied() {
            let state = &self.stream_origins;
            let Some(origin) = state.table.origin(stream).cloned() else { continue };
            let sent = state.copies.get(&stream).into_iter().flatten().copied();
            let sent: Vec<ids::Incarnation> =
                sent.filter(|router| self.members.is_live(*router)).collect();
            let is_new = unsent.contains(&stream);
            if !is_new && sent.len() >= COPIES_SENT_MAX {
                continue;
            }
            let answering = sent.iter().copied().filter(|router| !state.silent.contains(router));
            let answering: Vec<ids::Incarnation> = answering.collect();
            let mut routers = self.routers_for_copies(stream, &answering);
            let copies: collections::BTreeSet<ids::Incarnation> =
                sent.iter().chain(&routers).copied().collect();
            if is_new {
                // A router that has an earlier placement must not be left with it.
                routers = copies.iter().copied().collect();
            }
            for router in routers {
                messages.entry((router, origin.clone())).or_default().push(stream);
            }
            self.stream_origins.copies.insert(stream, copies.into_iter().collect());
        }
        for ((router, origin), streams) in messages {
            for streams in streams.chunks(STREAMS_PER_MESSAGE) {
                let number = self.stream_origins.next_number();
                let copies = UnacknowledgedCopies {
                    router,
                    origin: origin.clone(),
                    streams: streams.to_vec(),
                    sent_ms: now_ms,
                    sends: 1,
                };
                self.stream_origins.unacknowledged.insert(number, copies);
                self.send_origins(number, now_ms);
            }
        }
    }

    fn repeat_unacknowledged_origins(&mut self, now_ms: u64) {
        let state = &mut self.stream_origins;
        state.unacknowledged.retain(|_, copies| {
            copies.sends < COPY_SENDS_MAX || now_ms < copies.sent_ms + COPY_REPEAT_MS
        });
        let due = state
            .unacknowledged
            .iter_mut()
            .filter(|(_, copies)| now_ms >= copies.sent_ms + COPY_REPEAT_MS);
        let due: Vec<u64> = due
            .map(|(number, copies)| {
                copies.sent_ms = now_ms;
                copies.sends += 1;
                if copies.sends == 2 {
                    state.silent.insert(copies.router);
                    state.lacking.extend(&copies.streams);
                }
                *number
            })
            .collect();
        due.into_iter().for_each(|number| self.send_origins(number, now_ms));
        self.send_unsent_origins(now_ms);
    }

    /// Sends message `number`, with the streams that still have its origin.
    fn send_origins(&mut self, number: u64, now_ms: u64) {
        let state = &self.stream_origins;
        let Some(copies) = state.unacknowledged.get(&number) else { return };
        let (router, origin) = (copies.router, copies.origin.clone());
        let unchanged =
            copies.streams.iter().filter(|stream| state.table.origin(**stream) == Some(&origin));
        let streams = unchanged.filter_map(|stream| {
            let left_ms = state.table.expires_ms(*stream)?.saturating_sub(now_ms);
            Some(streams::StreamCopy { stream: *stream, left_ms })
        });
        let streams: Vec<streams::StreamCopy> = streams.collect();
        if !streams.is_empty() {
            self.send(router, message::Message::StreamOrigins { number, origin, streams });
        }
    }

    /// The number of streams whose origin this router keeps.
    pub fn stream_origins_kept(&self) -> usize {
        self.stream_origins.table.len()
    }
}
