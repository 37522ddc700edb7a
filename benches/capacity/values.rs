//! Values in the store: their sizes, and the times to decode and encode them.

use crate::nanoseconds;
use doorswitch::policy;
use doorswitch_core::{config, ids, ledger, log_index, machine_clock};

pub fn show() {
    ledgers();
    segments();
    documents();
    policies();
}

fn ledgers() {
    println!("\na ledger shard");
    println!(
        "{:>8} {:>8} {:>12} {:>14} {:>14}",
        "budgets", "holders", "bytes", "decode us", "encode us"
    );
    for (budgets, holders) in [(10, 8), (100, 8), (344, 9), (344, 36), (1_000, 9), (29, 760)] {
        let shard = ledger_shard(budgets, holders);
        let value = shard.encode();
        let decode = nanoseconds(|| {
            ledger::Shard::decode(&value).unwrap();
        });
        let encode = nanoseconds(|| {
            shard.encode();
        });
        println!(
            "{budgets:>8} {holders:>8} {:>12} {:>14.1} {:>14.1}",
            value.len(),
            decode / 1e3,
            encode / 1e3
        );
    }
}

fn ledger_shard(budgets: usize, holders: usize) -> ledger::Shard {
    let mut shard = ledger::Shard::default();
    for holder in 0..holders {
        let id = ids::Incarnation(u64::MAX - holder as u64);
        let description = ledger::Holder {
            vm: format!("entry-{holder}"),
            address: format!("10.1.{}.{}:7100", holder / 250, holder % 250),
            listed_index: 1,
            listed_era: 0,
            clock_run: Some(machine_clock::ClockRun {
                boot: "8d6f3c52a41b9e70".to_owned(),
                epoch_ms: 1_796_440_000_000,
            }),
        };
        shard.holders.insert(id, description);
    }
    for budget in 0..budgets {
        let name = format!("workspace-{budget}/main");
        for payment in 0..3 {
            shard.pay(&name, &format!("invoice-{payment}-{budget}"), 1_000_000_000).unwrap();
        }
        for holder in 0..holders {
            shard.draw(&name, ids::Incarnation(u64::MAX - holder as u64), 1_000_000);
        }
    }
    shard
}

fn segments() {
    println!("\na log segment");
    println!(
        "{:>8} {:>12} {:>12} {:>14} {:>14}",
        "entries", "bytes", "bytes each", "decode us", "apply us"
    );
    for entries in [1, 10, 100, 1_000] {
        let segment = segment(entries);
        let value = segment.encode();
        let decode = nanoseconds(|| {
            log_index::Segment::decode(&value).unwrap();
        });
        let apply = nanoseconds(|| {
            let mut index = log_index::Index::default();
            segment.entries.iter().for_each(|entry| index.apply(entry));
        });
        println!(
            "{entries:>8} {:>12} {:>12} {:>14.1} {:>14.1}",
            value.len(),
            value.len() / entries,
            decode / 1e3,
            apply / 1e3
        );
    }
    let before = crate::allocated_bytes();
    let mut index = log_index::Index::default();
    for segment_number in 0..100 {
        segment_from(segment_number * 1_000, 1_000)
            .entries
            .iter()
            .for_each(|entry| index.apply(entry));
    }
    let bytes = crate::allocated_bytes() - before;
    println!(
        "remembered in memory, bytes for each of {} ids: {}",
        index.len(),
        bytes / index.len()
    );
}

fn segment(entries: usize) -> log_index::Segment {
    segment_from(0, entries)
}

fn segment_from(first: usize, entries: usize) -> log_index::Segment {
    let entry = |number: usize| {
        log_index::Entry::Settle(log_index::Settlement {
            key: ids::RequestKey { high: u64::MAX - number as u64, low: u64::MAX },
            attempt: ids::AttemptId(u64::MAX - number as u64),
            origin: ids::Incarnation(u64::MAX),
            number: number as u64,
            keyed: true,
            body_hash: u64::MAX,
            budget: format!("workspace-{}/main", number % 100),
            region: "region-1".to_owned(),
            consumed_tokens: 430,
            outcome: None,
        })
    };
    log_index::Segment {
        writer: ids::Incarnation(u64::MAX),
        nonce: u64::MAX,
        written_s: 1_800_000_000,
        entries: (first..first + entries).map(entry).collect(),
    }
}

fn documents() {
    println!("\na configuration document");
    println!(
        "{:>11} {:>8} {:>12} {:>14} {:>14}",
        "workspaces", "budgets", "bytes", "decode us", "held bytes"
    );
    for workspaces in [10, 100, 1_000, 2_600] {
        let published = config::Published::next(None, "bench", document(workspaces));
        let value = serde_json::to_vec(&published).unwrap();
        let decode = nanoseconds(|| {
            serde_json::from_slice::<config::Published>(&value).unwrap();
        });
        let budgets = workspaces * 8;
        let before = crate::allocated_bytes();
        let decoded: config::Published = serde_json::from_slice(&value).unwrap();
        let held_bytes = crate::allocated_bytes() - before;
        drop(decoded);
        println!(
            "{workspaces:>11} {budgets:>8} {:>12} {:>14.1} {held_bytes:>14}",
            value.len(),
            decode / 1e3
        );
    }
}

fn document(workspaces: usize) -> config::Document {
    let budget = |number: usize| config::Budget {
        name: format!("budget-{number}"),
        cover_s: 600,
        minimum_grant_tokens: 0,
        prepaid_tokens: None,
        held_percent: 0,
        holders: 0,
        loss_spread_s: 0,
    };
    let workspace = |number: usize| config::Workspace {
        priority: 0,
        name: format!("workspace-{number}"),
        keys: vec![config::Key { name: "main".to_owned(), sha256: "0".repeat(64) }],
        budgets: (0..8).map(budget).collect(),
    };
    config::Document {
        evacuated: Vec::new(),
        routes: Vec::new(),
        callers: config::CallerLimits::default(),
        layout: config::Layout::default(),
        workspaces: (0..workspaces).map(workspace).collect(),
        services: Vec::new(),
        policies: Vec::new(),
    }
}

fn policies() {
    let program = r#"if workspace == "canteens" { allow("main", 7, []) }
        else if max_tokens > 1024 { allow("main", 3, ["new"]) } else { allow("main", 5, []) }"#;
    let policy = config::Policy { name: "p".to_owned(), program: program.to_owned() };
    let program = policy::Program::compile(&policy).unwrap();
    let facts = policy::Facts { workspace: "cafes".to_owned(), ..policy::Facts::default() };
    let each = nanoseconds(|| {
        program.decide(&facts).unwrap();
    });
    println!("\na policy decision: {each:.0} ns");
}
