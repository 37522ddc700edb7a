//! Runs of a scripted server that are stopped on request and continued from where they stopped, as model engines that
//! move runs allow it.

use crate::backend::{self, ReceivedRequest, Step};
use crate::wire;
use std::collections::HashMap;
use std::io::{self, Write};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use std::{net, thread};

/// The runs of one server. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Runs {
    runs: Arc<Mutex<HashMap<String, Run>>>,
    /// How many replies to requests to stop a run are still to be lost.
    replies_to_lose: Arc<AtomicUsize>,
    framing: Framing,
}

/// How the end of an answer is told.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Framing {
    #[default]
    Chunks,
    /// The answer ends with its connection.
    Connection,
}

impl PartialEq for Runs {
    fn eq(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.runs, &other.runs)
    }
}

impl Eq for Runs {}

#[derive(Clone, Copy, Debug, Default)]
struct Run {
    /// The number of events that were made.
    made: u64,
    state: State,
    /// How often the run was continued.
    continued: usize,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Running,
    Stopped,
    Ended,
}

/// A part of a run, which writes its events to one connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    runs: Runs,
    id: String,
    /// How often the run was continued before this part.
    continued: usize,
    /// The last event that the client has; the part begins after it.
    after: u64,
    events: u64,
    interval: Duration,
}

impl Runs {
    /// Runs whose answers have neither a length nor chunks and end with their connections.
    pub fn unframed() -> Self {
        Self { framing: Framing::Connection, ..Self::default() }
    }

    /// The script of a server whose answers are streams of this many events, one at each interval. It keeps stopped runs
    /// if `keeps` is set.
    pub fn script(&self, events: u64, interval: Duration, keeps: bool) -> backend::Script {
        let runs = self.clone();
        Box::new(move |_, request| match request.line.split(' ').nth(1) {
            Some("/kv-move") if !keeps => vec![backend::response("404 Not Found", "")],
            Some("/kv-move") => vec![runs.stop(request)],
            Some(path) if path.starts_with("/kv-handle/") => vec![backend::response("200 OK", "")],
            _ => runs.begin(request, events, interval),
        })
    }

    /// Has the connections reset on which the next `count` runs are stopped, after they were.
    pub fn lose_replies(&self, count: usize) {
        self.replies_to_lose.store(count, Ordering::Relaxed);
    }

    /// The number of runs that began.
    pub fn begun(&self) -> usize {
        self.lock().len()
    }

    /// How often runs were continued after they had been stopped.
    pub fn continued(&self) -> usize {
        self.lock().values().map(|run| run.continued).sum()
    }

    /// The number of runs that are not stopped and have not ended.
    pub fn running(&self) -> usize {
        self.lock().values().filter(|run| run.state == State::Running).count()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Run>> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Stops the run that a request names; one that is stopped already is kept for the next request too.
    fn stop(&self, request: &ReceivedRequest) -> Step {
        let body: serde_json::Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let id = body["id"].as_str().unwrap_or_default();
        let mut runs = self.lock();
        if body["targetVersion"].as_str() == request.header("host") {
            return backend::response("503 Service Unavailable", "");
        }
        match runs.get_mut(id).filter(|run| run.state != State::Ended && body["last"] == true) {
            None => backend::response("404 Not Found", "{}"),
            Some(run) => {
                run.state = State::Stopped;
                let lost = |count: usize| count.checked_sub(1);
                let replies = &self.replies_to_lose;
                if replies.fetch_update(Ordering::Relaxed, Ordering::Relaxed, lost).is_ok() {
                    return Step::Reset;
                }
                let body =
                    serde_json::json!({ "handle": format!("handle-{id}"), "made": run.made });
                backend::response("200 OK", &body.to_string())
            }
        }
    }

    /// Begins a run, or continues a stopped one.
    fn begin(&self, request: &ReceivedRequest, events: u64, interval: Duration) -> Vec<Step> {
        let id = request.id().unwrap_or_default().to_owned();
        let after = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let handle = request.header("kv-from").and_then(|from| from.split('/').nth(1));
        let mut runs = self.lock();
        let mut continued = 0;
        if let Some(handle) = handle {
            let stopped = runs.get_mut(&id).filter(|run| run.state == State::Stopped);
            let Some(run) = stopped.filter(|_| handle == format!("handle-{id}")) else {
                let lines = "Not-Executed: 1\r\n";
                return vec![backend::response_with_headers("503 Service Unavailable", lines, "")];
            };
            run.state = State::Running;
            run.continued += 1;
            continued = run.continued;
        } else {
            runs.insert(id.clone(), Run::default());
        }
        let part = Part { runs: self.clone(), id, continued, after, events, interval };
        let head = match self.framing {
            Framing::Chunks => wire::STREAM_HEAD,
            Framing::Connection => wire::UNFRAMED_STREAM_HEAD,
        };
        vec![Step::Write(head.to_owned()), Step::Run(part)]
    }

    /// Records that an event of a part is made; `None` if the run was stopped since the part began.
    fn record_event(&self, part: &Part, number: u64) -> Option<()> {
        let mut runs = self.lock();
        let run = runs.get_mut(&part.id).filter(|run| run.state == State::Running)?;
        if run.continued != part.continued {
            return None;
        }
        run.made = run.made.max(number);
        Some(())
    }

    fn end(&self, id: &str) {
        if let Some(run) = self.lock().get_mut(id) {
            run.state = State::Ended;
        }
    }
}

impl Part {
    /// Writes the events until the run ends or is stopped; `false` ends the connection.
    pub(crate) fn write(&self, writer: &mut net::TcpStream) -> io::Result<bool> {
        for number in self.after + 1..=self.events {
            thread::sleep(self.interval);
            if self.runs.record_event(self, number).is_none() {
                return Ok(false);
            }
            let event = format!("id: {number}\ndata: piece {number}\n\n");
            // The run goes on if its connection has ended: this server does not notice that.
            let _ = match self.runs.framing {
                Framing::Chunks => write!(writer, "{:x}\r\n{event}\r\n", event.len()),
                Framing::Connection => writer.write_all(event.as_bytes()),
            };
        }
        self.runs.end(&self.id);
        if self.runs.framing == Framing::Connection {
            return Ok(false);
        }
        writer.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }
}
