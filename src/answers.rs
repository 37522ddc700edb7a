//! A table of running and recently completed model requests by request id: a repeated request waits for the first one
//! and gets its answer.
//!
//! The table is local to this router and bounded. A request that is repeated through another router may run again; its
//! tokens are then consumed twice but billed once.

use crate::completion;
use doorswitch_core::ids;
use std::collections;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// The largest total size of the text of recorded answers, in bytes.
const TEXT_BYTES_MAX: usize = 16 << 20;
/// The largest number of recorded answers.
const ANSWERS_MAX: usize = 10_000;

/// A complete answer that was sent to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedAnswer {
    /// The id of the answer, as the caller received it.
    pub id: String,
    /// When the answer started, in Unix seconds.
    pub created_s: u64,
    /// The whole text of the answer.
    pub text: String,
    /// The finish reason, such as `stop` or `length`.
    pub finish_reason: String,
    /// The tokens of the prompt and of the answer.
    pub usage: completion::Usage,
}

#[derive(Debug)]
enum State {
    Running(watch::Receiver<()>),
    Complete(Arc<RecordedAnswer>),
}

#[derive(Debug)]
struct Entry {
    body_hash: u64,
    state: State,
}

#[derive(Debug, Default)]
struct Inner {
    entries: collections::HashMap<ids::RequestKey, Entry>,
    completion_order: collections::VecDeque<ids::RequestKey>,
    text_bytes: usize,
}

/// The table of answers. Clones share its content.
#[derive(Clone, Debug, Default)]
pub struct Table(Arc<Mutex<Inner>>);

/// The result of looking up a request.
#[derive(Debug)]
pub enum Lookup {
    /// The request is the first with its id: it must be run, and the entry kept until it ends.
    First(RunningEntry),
    /// The request has been answered before.
    Answered(Arc<RecordedAnswer>),
    /// The id was used before with another body.
    Conflict,
}

/// The table entry of a running request. Dropping it without a recorded answer removes the entry, so that a repeated
/// request runs.
#[derive(Debug)]
pub struct RunningEntry {
    table: Table,
    key: ids::RequestKey,
    body_hash: u64,
    recorded: bool,
    _running: watch::Sender<()>,
}

impl Table {
    /// Looks up a request, and enters it as running if it is the first with its id. Waits while another request with
    /// the same id and body is running.
    pub async fn find_or_start(&self, key: ids::RequestKey, body_hash: u64) -> Lookup {
        loop {
            let mut running = match self.lookup(key, body_hash) {
                Ok(lookup) => return lookup,
                Err(running) => running,
            };
            // Returns an error once the running entry is dropped, which is the event to wait for.
            let _ = running.changed().await;
        }
    }

    /// Looks up a request without waiting. The error is the receiver on which to wait for the running request.
    fn lookup(&self, key: ids::RequestKey, body_hash: u64) -> Result<Lookup, watch::Receiver<()>> {
        let mut inner = self.lock();
        match inner.entries.get(&key) {
            Some(entry) if entry.body_hash != body_hash => Ok(Lookup::Conflict),
            Some(Entry { state: State::Complete(recorded), .. }) => {
                Ok(Lookup::Answered(recorded.clone()))
            }
            Some(Entry { state: State::Running(running), .. }) => Err(running.clone()),
            None => {
                let (sender, receiver) = watch::channel(());
                let entry = Entry { body_hash, state: State::Running(receiver) };
                inner.entries.insert(key, entry);
                let table = self.clone();
                let running_entry =
                    RunningEntry { table, key, body_hash, recorded: false, _running: sender };
                Ok(Lookup::First(running_entry))
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RunningEntry {
    /// Records the answer for requests that wait for it and for later ones.
    pub fn record(mut self, recorded: RecordedAnswer) {
        self.recorded = true;
        let mut inner = self.table.lock();
        inner.text_bytes += recorded.text.len();
        let state = State::Complete(Arc::new(recorded));
        inner.entries.insert(self.key, Entry { body_hash: self.body_hash, state });
        inner.completion_order.push_back(self.key);
        inner.evict_oldest();
    }
}

impl Drop for RunningEntry {
    fn drop(&mut self) {
        if !self.recorded {
            self.table.lock().entries.remove(&self.key);
        }
    }
}

impl Inner {
    /// Removes the oldest answers until both bounds hold.
    fn evict_oldest(&mut self) {
        while self.text_bytes > TEXT_BYTES_MAX || self.completion_order.len() > ANSWERS_MAX {
            let Some(oldest) = self.completion_order.pop_front() else { return };
            if let Some(Entry { state: State::Complete(recorded), .. }) =
                self.entries.remove(&oldest)
            {
                self.text_bytes -= recorded.text.len();
            }
        }
    }
}
