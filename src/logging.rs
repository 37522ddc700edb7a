//! Log lines: one line of `key=value` pairs for each event.
//!
//! A thread of its own writes them, so that a slow or closed reader costs lines and never a request.
//! What did not fit is counted in a line.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::{thread, time};

/// Lines that wait for a slow reader.
const LINES_WAITING: usize = 4_096;
/// How long a process that ends waits for its last lines to be written.
const FINISH_MS: u64 = 300;

static WAITING: AtomicU64 = AtomicU64::new(0);
static LEFT_OUT: AtomicU64 = AtomicU64::new(0);

/// Hands lines to the thread that writes them.
struct Lines(mpsc::SyncSender<Vec<u8>>);

impl Write for Lines {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        WAITING.fetch_add(1, Ordering::Relaxed);
        if self.0.try_send(line.to_vec()).is_err() {
            WAITING.fetch_sub(1, Ordering::Relaxed);
            LEFT_OUT.fetch_add(1, Ordering::Relaxed);
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
        let left_out = LEFT_OUT.swap(0, Ordering::Relaxed);
        if left_out > 0 {
            let _ = writeln!(out, "level=warn event=lines_left_out count={left_out}");
        }
        let _ = out.write_all(&line);
        WAITING.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Waits a little until the lines so far are written; for the end of a process.
pub fn finish() {
    let began = time::Instant::now();
    let most = time::Duration::from_millis(FINISH_MS);
    while WAITING.load(Ordering::Relaxed) > 0 && began.elapsed() < most {
        thread::sleep(time::Duration::from_millis(5));
    }
}

/// Starts logging to standard error; `RUST_LOG` sets the level.
pub fn start() {
    let (sender, lines) = mpsc::sync_channel(LINES_WAITING);
    thread::spawn(move || write_lines(&lines));
    let env = env_logger::Env::default().default_filter_or("warn,doorswitch=info");
    let _ = env_logger::Builder::from_env(env)
        .target(env_logger::Target::Pipe(Box::new(Lines(sender))))
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

/// A value for a log line: quoted, on one line.
pub fn quoted(value: impl std::fmt::Display) -> String {
    format!("{:?}", value.to_string())
}

/// A time for a log line, in milliseconds; `never` if there is none.
pub fn known_ms(time_ms: Option<u64>) -> String {
    time_ms.map_or_else(|| "never".to_owned(), |time_ms| time_ms.to_string())
}

/// Several values for a log line, parted by commas.
pub fn listed(values: impl Iterator<Item = String>) -> String {
    values.collect::<Vec<_>>().join(",")
}
