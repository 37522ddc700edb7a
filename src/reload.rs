//! Reloads the settings file on SIGHUP and when it is modified.
//!
//! Only the platform's rates can change while a router runs. A file that is unreadable or invalid changes nothing: the
//! last valid settings stay in force.

use crate::{control, logging, settings};
use actix::prelude::Addr;
use std::path::PathBuf;
use std::time::{Duration, SystemTime};
use tokio::signal::unix;

/// The time between two checks of whether the file was modified.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Reloads the file on each change and each SIGHUP; does not return.
pub async fn follow(file: PathBuf, control: Addr<control::Control>) {
    // Installed first, as the default action of the signal would terminate the process.
    let mut hangup = unix::signal(unix::SignalKind::hangup()).ok();
    let mut last_modified = modified(&file);
    loop {
        let signalled = tokio::select! {
            () = next_signal(&mut hangup) => true,
            () = tokio::time::sleep(POLL_INTERVAL) => false,
        };
        let current = modified(&file);
        if signalled || current != last_modified {
            last_modified = current;
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
            control.do_send(control::SetPlatformRates {
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

async fn next_signal(signal: &mut Option<unix::Signal>) {
    match signal {
        Some(signal) => {
            signal.recv().await;
        }
        None => std::future::pending().await,
    }
}
