//! Guards against routers that miss later writes after the store was restored from a backup.

#![allow(clippy::unwrap_used, missing_docs)]

mod watch_fleet;

use doorswitch_core::{message, servers, store, watch};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use watch_fleet::{BOUNDS, Fleet, StoreMode, up_to_date_fleet};

/// How long a server gets no requests if a restore brought back its removed record.
const HELD_BACK_MS: u64 = 5_000;
/// The limit on reads of the store per second for the whole fleet.
const READS_PER_S: u64 = 2_000;

fn start_leaving(fleet: &mut Fleet, server: usize) {
    fleet.put_server(&format!("server-{server}"), servers::VmState::Leaving);
}

/// Whether no running router uses a server.
fn is_unused(fleet: &Fleet, server: usize) -> bool {
    let name = format!("server-{server}");
    fleet.routers.iter().filter(|router| router.alive).all(|router| {
        !router.node.servers().iter().any(|(_, listed)| listed.vm.vm == name && listed.is_live())
    })
}

/// Restores the store from a backup that lacks the latest changes. Before it answers calls again, server 0 starts to
/// leave and `other_writes` writes are made that no router watches.
fn check_restore(routers: usize, store: StoreMode, other_writes: usize, seed: u64) {
    let mut fleet = up_to_date_fleet(routers, BOUNDS, seed);
    let backup = fleet.back_up();
    for _ in 0..20 {
        fleet.publish();
        fleet.put_server("server-4", servers::VmState::Live);
    }
    start_leaving(&mut fleet, 1);
    fleet.remove_server("server-2");
    fleet.evacuate("b", true);
    fleet.put_server("server-new", servers::VmState::Live);
    fleet.run_until("all routers are up to date", 4_000, Fleet::all_up_to_date);
    let before_restore = fleet.back_up();
    fleet.set_store(store);
    fleet.run_ms(500);
    fleet.restore(&backup);
    start_leaving(&mut fleet, 0);
    (0..other_writes).for_each(|_| fleet.write_unwatched_key());
    fleet.set_store(StoreMode::Available);
    let calls = fleet.calls;
    let elapsed_ms = fleet.run_until("server 0 is unused", 4_000, |fleet| is_unused(fleet, 0));
    let calls = fleet.calls - calls;
    println!(
        "routers={routers} store={store:?} other_writes={other_writes} elapsed_ms={elapsed_ms} calls={calls}"
    );
    assert!(calls <= READS_PER_S * (1 + elapsed_ms / 1_000), "{calls} calls in {elapsed_ms} ms");
    let evacuated = |router: &watch_fleet::Router| router.node.evacuated().contains("b");
    assert!(
        fleet.routers.iter().all(evacuated),
        "a router uses domain b, which was evacuated in the lost history"
    );
    assert!(is_unused(&fleet, 1), "a router uses server 1, which left in the lost history");
    assert!(is_unused(&fleet, 2), "a router uses server 2, which was removed in the lost history");
    fleet.run_ms(1_000);
    fleet.repeat_lost_writes(&before_restore, &backup);
    fleet.run_until("all routers are up to date", HELD_BACK_MS + 4_000, Fleet::all_up_to_date);
}

macro_rules! restores {
    ($($name:ident: $routers:literal;)*) => {$(
        #[test]
        fn $name() {
            for (seed, other_writes) in [(1, 0), (2, 100)] {
                check_restore($routers, StoreMode::Rejecting, other_writes, seed);
                check_restore($routers, StoreMode::Silent, other_writes, seed);
            }
        }
    )*};
}

restores! {
    one_router_follows_a_restored_store: 1;
    two_routers_follow_a_restored_store: 2;
    seven_routers_follow_a_restored_store: 7;
    thirty_routers_follow_a_restored_store: 30;
    a_hundred_routers_follow_a_restored_store: 100;
    three_hundred_routers_follow_a_restored_store: 300;
}

/// Runs a random schedule of restores, some in quick succession, with outages, cuts, restarts, freezes and lost
/// datagrams.
fn random_schedule(routers: usize, seed: u64) {
    let mut fleet = Fleet::new(routers, 3, BOUNDS, seed);
    let mut rng = StdRng::seed_from_u64(seed ^ 0x7e57);
    fleet.loss_percent = rng.random_range(0..15);
    fleet.answer_delay_max_ms = rng.random_range(20..400);
    fleet.run_ms(5_000);
    let mut backup = fleet.back_up();
    let mut pending_rewrite: Option<(watch_fleet::Backup, watch_fleet::Backup)> = None;
    for _ in 0..50 {
        let index = rng.random_range(0..routers);
        match rng.random_range(0..14) {
            0 | 1 => fleet.publish(),
            2 => start_leaving(&mut fleet, index % 6),
            3 => {
                fleet.restart_server(&format!("server-{}", index % 6), servers::VmState::Live);
            }
            4 => fleet.remove_server(&format!("server-{}", index % 6)),
            5 => fleet.restart(index),
            6 => {
                let cut = rng.random_bool(0.5);
                fleet.set_cut(index, cut);
            }
            7 => {
                let frozen = rng.random_bool(0.5);
                fleet.set_frozen(index, frozen);
            }
            8 => fleet.leave_polls_unanswered(index),
            9 => {
                let evacuated = rng.random_bool(0.5);
                fleet.evacuate("a", evacuated);
            }
            10 => (0..rng.random_range(1..80)).for_each(|_| fleet.write_unwatched_key()),
            11 => backup = fleet.back_up(),
            _ if pending_rewrite.is_none() => {
                let silent = rng.random_bool(0.5);
                fleet.set_store(if silent { StoreMode::Silent } else { StoreMode::Rejecting });
                fleet.run_ms(rng.random_range(0..1_500));
                let before_restore = fleet.back_up();
                fleet.restore(&backup);
                fleet.set_store(StoreMode::Available);
                pending_rewrite = Some((before_restore, backup.clone()));
            }
            _ => {
                if let Some((before_restore, restored)) = pending_rewrite.take() {
                    fleet.repeat_lost_writes(&before_restore, &restored);
                }
            }
        }
        fleet.run_ms(rng.random_range(0..900));
    }
    if let Some((before_restore, restored)) = pending_rewrite.take() {
        fleet.repeat_lost_writes(&before_restore, &restored);
    }
    for index in 0..routers {
        fleet.set_cut(index, false);
        fleet.set_frozen(index, false);
    }
    fleet.run_until("all routers are up to date", HELD_BACK_MS + 10_000, Fleet::all_up_to_date);
}

macro_rules! schedules {
    ($($name:ident: $routers:literal routers, $seeds:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in $seeds {
                random_schedule($routers, seed);
            }
        }
    )*};
}

schedules! {
    one_router_follows_restores_with_other_faults: 1 routers, 0..20;
    two_routers_follow_restores_with_other_faults: 2 routers, 0..30;
    seven_routers_follow_restores_with_other_faults: 7 routers, 0..30;
    thirty_routers_follow_restores_with_other_faults: 30 routers, 0..6;
}

/// Guards against a false era from a peer that replaces the copies of routers, or stops them from following the store.
#[test]
fn an_era_reported_only_by_a_peer_is_not_applied() {
    let mut fleet = up_to_date_fleet(7, BOUNDS, 3);
    let before: Vec<_> = fleet.routers.iter().map(|router| router.node.vms_index()).collect();
    for _ in 0..20 {
        let era = 1 << 40;
        let position = store::Position::new(era, 1);
        let copy_state = message::CopyState { position, age_ms: Some(0) };
        let digest = message::Digest {
            era,
            configuration: copy_state,
            servers: copy_state,
            ..Default::default()
        };
        fleet.gossip_from_unknown_peer(0, digest);
        fleet.perform_actions(0);
        fleet.run_ms(100);
    }
    let after: Vec<_> = fleet.routers.iter().map(|router| router.node.vms_index()).collect();
    assert_eq!(before, after);
    let bound = watch::Bounds { configuration_ms: 2_000, ..BOUNDS };
    start_leaving(&mut fleet, 0);
    fleet.run_until("server 0 is unused", bound.configuration_ms, |fleet| is_unused(fleet, 0));
}
