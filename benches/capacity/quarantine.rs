//! The cost of the quarantine of requests that crash servers: for every request while there are none, and for a fleet
//! with some.

use crate::{allocated_bytes, nanoseconds};
use doorswitch::{fingerprint, snapshot};
use doorswitch_core::{ids, quarantine};
use std::hint::black_box;

/// The size of a large prompt.
const BODY_BYTES: usize = 18_000;
/// The maximum number of requests in the table.
const ENTRIES: u64 = 2_048;
const NOW_MS: u64 = 100_000;

fn head() -> fingerprint::Head<'static> {
    fingerprint::Head {
        workspace: "roastery",
        method: "POST",
        host: "roastery.example",
        target: "/profiles/2f?batch=7",
    }
}

fn request(number: u64) -> ids::Fingerprint {
    let mut whole = [0; 16];
    whole[..8].copy_from_slice(&number.to_be_bytes());
    ids::Fingerprint { head: number, whole }
}

/// A full table of requests with this many crashes each.
fn full_table(crashes: u64) -> quarantine::Table {
    let mut table = quarantine::Table::default();
    for number in 0..ENTRIES {
        for crash in 0..crashes {
            let server = quarantine::Server::new("vm", ids::ServerIncarnation(1 + crash));
            table.record_crash(request(number), server, NOW_MS + crash * 1_000);
        }
    }
    table
}

pub fn show() {
    println!("\n# Requests that crash servers");
    let body = vec![7; BODY_BYTES];
    let published = snapshot::Published::default();
    let check = || {
        black_box(published.suspected(|| head().digest(), &body));
    };
    println!("each request, nothing suspected: {:.0} ns", nanoseconds(check));
    published.set_suspected([1].into());
    println!("each request, another head suspected: {:.0} ns", nanoseconds(check));
    published.set_suspected([head().digest().key()].into());
    println!("its own head suspected, {BODY_BYTES} bytes: {:.0} ns", nanoseconds(check));
    let empty = quarantine::Updates::default();
    println!("calm datagram: {} bytes more", postcard::to_stdvec(&empty).unwrap_or_default().len());
    for crashes in [1, 3, 8] {
        let before = allocated_bytes();
        let mut table = full_table(crashes);
        let bytes = allocated_bytes() - before;
        let updates = table.next_updates(true, NOW_MS + 10_000);
        let datagram_bytes = postcard::to_stdvec(&updates).unwrap_or_default().len();
        let tick = nanoseconds(|| {
            black_box(table.urgency());
        });
        println!(
            "{ENTRIES} requests with {crashes} crashes: {} bytes each, {datagram_bytes} bytes for {} in a datagram, \
             looked through in {:.1} us",
            bytes as u64 / ENTRIES,
            updates.reports.len(),
            tick / 1_000.0,
        );
    }
}
