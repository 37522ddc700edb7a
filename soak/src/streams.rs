//! Streams that clients continue, and servers that name their version in each event.

use crate::fleet;
use doorswitch_standins::{backend, wire};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// The number of events of a whole stream.
const EVENTS: u64 = 8;
/// The time between two events.
pub const EVENT_INTERVAL: Duration = Duration::from_millis(30);
/// The time after which a client gives an answer up that says nothing.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A server that continues any stream, and breaks one in `broken_every` answers off.
pub fn script(version: &'static str, broken_every: u64) -> backend::Script {
    Box::new(move |number, received| {
        let continued = received.header("last-event-id").and_then(|id| id.parse::<u64>().ok());
        let breaks = (number as u64).is_multiple_of(broken_every);
        let mut steps = vec![backend::Step::Write(wire::STREAM_HEAD.to_owned())];
        for event in continued.map_or(1, |last| last + 1)..=EVENTS {
            steps.push(backend::Step::Pause(EVENT_INTERVAL));
            let text = format!("id: {event}\ndata: {version}\n\n");
            steps.push(backend::Step::Write(format!("{:x}\r\n{text}\r\n", text.len())));
            if breaks && event == EVENTS / 2 {
                steps.push(backend::Step::Reset);
                return steps;
            }
        }
        steps.push(backend::Step::Write("0\r\n\r\n".to_owned()));
        steps
    })
}

/// What a client has received of one stream.
#[derive(Default)]
pub struct Received {
    /// The id of the request whose answer brought the first event.
    first: String,
    /// The number of the last event; 0 if there is none.
    pub last_id: u64,
    /// The versions that the events name.
    pub versions: BTreeSet<String>,
}

impl Received {
    /// Whether all events have arrived.
    pub fn is_whole(&self) -> bool {
        self.last_id == EVENTS
    }

    /// Sends one request that begins or continues the stream, and adds the events that arrive.
    pub fn request(&mut self, router: SocketAddr, path: &str, id: &str) {
        let continuation = (self.last_id > 0)
            .then(|| wire::Continuation { last_id: self.last_id, first: &self.first });
        // What arrived before the connection broke counts.
        let answer = wire::get_stream(router, fleet::HOST, path, id, continuation, SILENCE_TIMEOUT);
        for event in wire::events(&answer) {
            if event.number != self.last_id + 1 {
                return;
            }
            self.last_id = event.number;
            self.versions.insert(event.data);
            if self.first.is_empty() {
                self.first = id.to_owned();
            }
        }
    }
}
