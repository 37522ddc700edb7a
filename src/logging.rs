//! Log lines: one line of `key=value` pairs for each event.
//!
//! A thread of its own writes them, so that a slow or closed reader never delays a request. Lines that do not fit in
//! the queue are dropped, and their number is logged.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::{thread, time};

/// The largest number of lines that wait to be written.
const QUEUE_LENGTH: usize = 4_096;
/// How long a process that ends waits for its last lines to be written, in milliseconds.
const FINISH_TIMEOUT_MS: u64 = 300;

static QUEUED: AtomicU64 = AtomicU64::new(0);
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Queues lines for the thread that writes them.
struct LineQueue(mpsc::SyncSender<Vec<u8>>);

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        QUEUED.fetch_add(1, Ordering::Relaxed);
        if self.0.try_send(line.to_vec()).is_err() {
            QUEUED.fetch_sub(1, Ordering::Relaxed);
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(lines: &mpsc::Receiver<Vec<u8>>) {
    let mut out = io::stderr();
    for line in lines {
        let dropped = DROPPED.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let _ = writeln!(out, "level=warn event=lines_left_out count={dropped}");
        }
        let _ = out.write_all(&line);
        QUEUED.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Waits until the queued lines are written, for a short time at most. To be called at the end of a process.
pub fn finish() {
    let started = time::Instant::now();
    let timeout = time::Duration::from_millis(FINISH_TIMEOUT_MS);
    while QUEUED.load(Ordering::Relaxed) > 0 && started.elapsed() < timeout {
        thread::sleep(time::Duration::from_millis(5));
    }
}

/// The levels at which a router logs.
pub const ROUTER_LEVELS: &str = "warn,doorswitch=info";

/// Starts logging to standard error at these levels, which `RUST_LOG` overrides.
pub fn start(levels: &str) {
    let (sender, lines) = mpsc::sync_channel(QUEUE_LENGTH);
    thread::spawn(move || write_lines(&lines));
    let env = env_logger::Env::default().default_filter_or(levels);
    let _ = env_logger::Builder::from_env(env)
        .target(env_logger::Target::Pipe(Box::new(LineQueue(sender))))
        .format(|out, record| {
            let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
            let time_ms = since.map_or(0, |since| since.as_millis());
            let level = record.level().as_str().to_ascii_lowercase();
            if record.target().starts_with("doorswitch") {
                return writeln!(out, "time_ms={time_ms} level={level} {}", record.args());
            }
            let (target, message) = (record.target(), quoted(record.args()));
            writeln!(
                out,
                "time_ms={time_ms} level={level} event=library target={target} message={message}"
            )
        })
        .try_init();
}

/// Formats a value for a log line: quoted and escaped, on one line.
pub fn quoted(value: impl std::fmt::Display) -> String {
    format!("{:?}", value.to_string())
}

/// Formats a time for a log line, in milliseconds; `never` if there is none.
pub fn ms_or_never(time_ms: Option<u64>) -> String {
    time_ms.map_or_else(|| "never".to_owned(), |time_ms| time_ms.to_string())
}

/// Joins several values for a log line with commas.
pub fn joined(values: impl Iterator<Item = String>) -> String {
    values.collect::<Vec<_>>().join(",")
}
