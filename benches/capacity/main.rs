//! Measures the costs per item that `docs/CAPACITY.md` multiplies: time, memory and bytes at several sizes.
//!
//! `cargo bench --bench capacity` prints the tables. Times depend on the machine; what matters is how they grow, and
//! their ratio to one another in the same run.

#![allow(missing_docs, clippy::unwrap_used)]

mod control;
mod limits;
mod messages;
mod path;
mod quarantine;
mod streams;
mod values;

#[global_allocator]
static ALLOCATOR: &stats_alloc::StatsAlloc<std::alloc::System> = &stats_alloc::INSTRUMENTED_SYSTEM;

/// The number of bytes that are allocated now.
pub fn allocated_bytes() -> usize {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated.saturating_sub(stats.bytes_deallocated)
}

/// The mean time of one run of `work`, in nanoseconds.
pub fn nanoseconds(mut work: impl FnMut()) -> f64 {
    const MEASURE_FOR: std::time::Duration = std::time::Duration::from_millis(150);
    let begin = std::time::Instant::now();
    let mut runs = 0_u32;
    while begin.elapsed() < MEASURE_FOR {
        work();
        runs += 1;
    }
    begin.elapsed().as_nanos() as f64 / f64::from(runs)
}

fn main() {
    let selected: Vec<String> =
        std::env::args().skip(1).filter(|name| !name.starts_with("--")).collect();
    let parts: [(&str, fn()); 7] = [
        ("control", control::show),
        ("messages", messages::show),
        ("values", values::show),
        ("path", path::show),
        ("quarantine", quarantine::show),
        ("limits", limits::show),
        ("streams", streams::show),
    ];
    for (name, show) in parts {
        if selected.is_empty() || selected.iter().any(|part| part == name) {
            show();
        }
    }
}
