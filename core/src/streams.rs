//! The origins of streams: which service and software version wrote the first event of a stream that may be continued
//! after its connection broke. What servers of two versions write does not fit together, so a stream goes on only at
//! its origin.

use crate::ids;
use serde::{Deserialize, Serialize};
use std::collections;

/// The longest time for which an origin is kept.
pub const KEPT_MAX_MS: u64 = 120_000;
/// The maximum number of origins that are kept; beyond it, those that expire first are dropped.
pub const STREAMS_MAX: usize = 65_536;

/// The service and the software version of the server that wrote the first event of a stream. A client that continues a
/// broken stream is served by a server with the same.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Origin {
    /// Name of the service.
    pub service: String,
    /// Software version; empty if the records of the service's servers name none.
    pub version: String,
}

/// A stream in a message between routers with its origin, of which the receiver keeps a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamCopy {
    /// The stream.
    pub stream: ids::StreamId,
    /// How much longer the origin is to be kept, in milliseconds.
    pub left_ms: u64,
}

/// The origin that one router has of a stream, and how recent it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// The service and version.
    pub origin: Origin,
    /// The router that placed the stream there.
    pub router: ids::Incarnation,
    /// The number of that router's message with the origin; `None` if this is that router itself. Until the first event
    /// the router may place the stream elsewhere, and a later message has a higher number.
    pub number: Option<u64>,
}

/// What a router answers to another one that asks for the origin of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The origin of the stream.
    Known(Placement),
    /// The stream is unknown.
    Unknown {
        /// The origins that it can have, as far as the router has seen; of several, the first two.
        candidates: Vec<Origin>,
        /// Whether the router has seen all versions at which it can have begun.
        complete: bool,
    },
}

/// From where a router has the origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// It placed the stream at a server itself; `begun` is whether the server wrote the first event. Before that, the
    /// stream may be placed elsewhere.
    Own { begun: bool },
    /// Another router sent it, in the message with this number.
    Router { router: ids::Incarnation, number: u64 },
    /// Several routers placed a stream with this id at different origins, of which none can be told from the others.
    Conflicting,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    origin: ids::OriginSlot,
    expires_ms: u64,
    source: Source,
}

#[derive(Debug)]
struct Interned {
    origin: Origin,
    /// The number of entries that refer to it.
    entries: usize,
}

/// The origins of streams that one router keeps: of those that it placed itself, and copies of those of other routers.
#[derive(Debug, Default)]
pub struct Table {
    entries: collections::HashMap<ids::StreamId, Entry>,
    expiries: collections::BTreeSet<(u64, ids::StreamId)>,
    origins: slotmap::SlotMap<ids::OriginSlot, Interned>,
    by_origin: collections::HashMap<Origin, ids::OriginSlot>,
}

impl Table {
    /// Returns the number of streams whose origin is kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no origin is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the origin of a stream; `None` if it is unknown.
    pub fn origin(&self, stream: ids::StreamId) -> Option<&Origin> {
        let entry = self.entries.get(&stream)?;
        if entry.source == Source::Conflicting {
            return None;
        }
        self.origins.get(entry.origin).map(|interned| &interned.origin)
    }

    /// Returns the origin of a stream and where `own`, this router, has it from; `None` if it is unknown.
    pub fn placement(&self, stream: ids::StreamId, own: ids::Incarnation) -> Option<Placement> {
        let origin = self.origin(stream)?.clone();
        let (router, number) = match self.entries.get(&stream)?.source {
            Source::Own { .. } => (own, None),
            Source::Router { router, number } => (router, Some(number)),
            Source::Conflicting => return None,
        };
        Some(Placement { origin, router, number })
    }

    /// Returns when the origin of a stream expires; `None` if the stream is unknown.
    pub fn expires_ms(&self, stream: ids::StreamId) -> Option<u64> {
        self.entries.get(&stream).map(|entry| entry.expires_ms)
    }

    /// Iterates over all streams that have begun and whose origin is kept.
    pub fn streams(&self) -> impl Iterator<Item = ids::StreamId> {
        let begun =
            self.entries.iter().filter(|(_, entry)| entry.source != Source::Own { begun: false });
        begun.map(|(stream, _)| *stream)
    }

    /// Iterates over the streams that have begun at this router, with their origins.
    pub fn own_streams(&self) -> impl Iterator<Item = (ids::StreamId, &Origin)> {
        let own =
            self.entries.iter().filter(|(_, entry)| entry.source == Source::Own { begun: true });
        own.filter_map(|(stream, entry)| Some((*stream, &self.origins.get(entry.origin)?.origin)))
    }

    /// Records the origin of a stream that this router places at a server, or that has begun there. Returns whether other
    /// routers may have another origin of it, or none.
    pub fn record_own(
        &mut self,
        stream: ids::StreamId,
        origin: &Origin,
        expires_ms: u64,
        begun: bool,
    ) -> bool {
        let known = self.entries.get(&stream).map(|entry| (entry.source, entry.expires_ms));
        let unchanged = self.origin(stream) == Some(origin)
            && known.is_some_and(|(source, known_ms)| {
                source == Source::Own { begun } && known_ms >= expires_ms
            });
        if !unchanged {
            let expires_ms = known.map_or(expires_ms, |(_, known_ms)| known_ms.max(expires_ms));
            self.insert(stream, origin, expires_ms, Source::Own { begun });
        }
        !unchanged
    }

    /// Records an origin that another router sent in its message `number`, unless the same router has sent a later one
    /// before. If another router, or this one, has placed a stream with the same id elsewhere, the origin is unknown.
    pub fn record_copy(
        &mut self,
        stream: ids::StreamId,
        origin: &Origin,
        expires_ms: u64,
        (router, number): (ids::Incarnation, u64),
    ) {
        let received = Source::Router { router, number };
        let Some(known) = self.entries.get(&stream).copied() else {
            self.insert(stream, origin, expires_ms, received);
            return;
        };
        let same_origin = self.origin(stream) == Some(origin);
        let source = match known.source {
            Source::Router { router: earlier, number: latest } if earlier == router => {
                if number <= latest {
                    return;
                }
                received
            }
            source if same_origin => source,
            _ => Source::Conflicting,
        };
        self.insert(stream, origin, expires_ms.max(known.expires_ms), source);
    }

    /// Removes the origins that have expired.
    pub fn expire(&mut self, now_ms: u64) {
        while self.expiries.first().is_some_and(|(expires_ms, _)| now_ms >= *expires_ms) {
            self.remove_first();
        }
    }

    fn insert(&mut self, stream: ids::StreamId, origin: &Origin, expires_ms: u64, source: Source) {
        self.remove(stream);
        let origin = self.intern(origin);
        self.entries.insert(stream, Entry { origin, expires_ms, source });
        self.expiries.insert((expires_ms, stream));
        if self.entries.len() > STREAMS_MAX {
            self.remove_first();
        }
    }

    fn remove_first(&mut self) {
        if let Some((_, stream)) = self.expiries.first().copied() {
            self.remove(stream);
        }
    }

    fn remove(&mut self, stream: ids::StreamId) {
        let Some(entry) = self.entries.remove(&stream) else { return };
        self.expiries.remove(&(entry.expires_ms, stream));
        let Some(interned) = self.origins.get_mut(entry.origin) else { return };
        interned.entries -= 1;
        if interned.entries == 0
            && let Some(unused) = self.origins.remove(entry.origin)
        {
            self.by_origin.remove(&unused.origin);
        }
    }

    fn intern(&mut self, origin: &Origin) -> ids::OriginSlot {
        let slot = match self.by_origin.get(origin) {
            Some(slot) => *slot,
            None => {
                let interned = Interned { origin: origin.clone(), entries: 0 };
                let slot = self.origins.insert(interned);
                self.by_origin.insert(origin.clone(), slot);
                slot
            }
        };
        self.origins[slot].entries += 1;
        slot
    }
}
