//! Log lines: one line of `key=value` pairs for each event.

use std::io::Write;
use std::time;

/// Starts logging to standard error; `RUST_LOG` sets the level.
pub fn start() {
    let env = env_logger::Env::default().default_filter_or("warn,doorswitch=info");
    let _ = env_logger::Builder::from_env(env)
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
