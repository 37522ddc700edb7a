//! Follows the settings file: on SIGHUP, and when the file changes without one.
//!
//! What may change while a router runs is taken over (the platform's rates). A file that cannot be
//! used changes nothing: the last good settings stay in force.

use crate::{control, logging, settings};
use actix::prelude::Addr;
use std::path::PathBuf;
use std::time::{Duration, SystemTime};
use tokio::signal::unix;

/// How often the file is looked at.
const LOOK_EVERY: Duration = Duration::from_secs(2);

/// Follows the file for ever.
pub async fn follow(file: PathBuf, control: Addr<control::Control>) {
    // Installed before anything else can fail: the signal's default would end the process.
    let mut hangup = unix::signal(unix::SignalKind::hangup()).ok();
    let mut seen = modified(&file);
    loop {
        let signalled = tokio::select! {
            () = next(&mut hangup) => true,
            () = tokio::time::sleep(LOOK_EVERY) => false,
        };
        let now = modified(&file);
        if signalled || now != seen {
            seen = now;
            reload(&file, &control);
        }
    }
}

fn reload(file: &std::path::Path, control: &Addr<control::Control>) {
    match settings::Settings::load(file) {
        Ok(settings) => {
            log::info!(
                "event=settings_read reads_per_s={} writes_per_s={}",
                settings.platform.reads_per_s,
                settings.platform.writes_per_s,
            );
            control.do_send(control::Rates {
                reads_per_s: settings.platform.reads_per_s,
                writes_per_s: settings.platform.writes_per_s,
            });
        }
        Err(error) => log::error!("event=settings_refused fault={}", logging::quoted(error)),
    }
}

fn modified(file: &std::path::Path) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|metadata| metadata.modified()).ok()
}

async fn next(signal: &mut Option<unix::Signal>) {
    match signal {
        Some(signal) => {
            signal.recv().await;
        }
        None => std::future::pending().await,
    }
}
