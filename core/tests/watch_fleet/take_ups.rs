//! What becomes of streams that clients take up at routers of a simulated fleet.

use super::Fleet;
use doorswitch_core::{ids, node};

/// The time within which a search for the origin of a stream ends.
pub const SEARCH_MAX_MS: u64 = 450;

/// The number of streams that may go on, by whether they may at the version that began them, and of those refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub continued: usize,
    pub refused: usize,
    pub mixed: usize,
}

/// A stream that a client takes up.
pub struct TakeUp {
    pub stream: ids::StreamId,
    /// The version that began it.
    pub version: String,
    pub router: usize,
    /// The services to which the request may go.
    pub services: Vec<String>,
}

impl Fleet {
    /// Takes all streams up at once, and waits until the routers have decided.
    pub fn take_up(&mut self, take_ups: Vec<TakeUp>) -> Counts {
        let mut waiting = Vec::new();
        for TakeUp { stream, version, router, services } in take_ups {
            let search = node::OriginSearch { stream: Some(stream), services };
            let slot = self.routers[router].node.find_stream_origin(search, self.now_ms);
            self.perform_actions(router);
            waiting.push((router, slot, version));
        }
        self.run_ms(SEARCH_MAX_MS);
        let mut counts = Counts::default();
        for (router, slot, version) in waiting {
            let mut found = self.origins_found.iter();
            let found = found.find(|(at, _, other, _)| (*at, *other) == (router, slot));
            match &found.expect("the search has ended").3 {
                node::OriginFound::Origin { origin, .. } if origin.version == version => {
                    counts.continued += 1;
                }
                node::OriginFound::Origin { .. } => counts.mixed += 1,
                node::OriginFound::Refused { .. } => counts.refused += 1,
            }
        }
        counts
    }
}
