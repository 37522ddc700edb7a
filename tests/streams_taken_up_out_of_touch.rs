//! Guards against streams that go on at another version because the router at which a client takes them up was cut off
//! from the store and from other routers when that version joined, and concluded from what it knew before.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use doorswitch_standins::{backend, network, store};
use routes::streams;
use std::collections::{HashMap, HashSet};
use std::net::IpAddr;
use std::ops::Range;
use std::thread;
use std::time::{Duration, Instant};

const STREAMS: usize = 24;
/// The proxies apply changed faults within this time.
const FAULTS_APPLIED: Duration = Duration::from_millis(30);

#[derive(Clone, Copy, Debug)]
struct Cut {
    routers: usize,
    /// The number of routers that are cut off together.
    together: usize,
    /// What happens to connections that are open.
    open: network::OpenConnections,
    /// How long the cut lasts before clients take their streams up.
    lasts: Duration,
    /// Whether it ends just before that.
    healed: bool,
}

fn start(name: &str, versions: &[&'static str], routers: usize) -> routes::World {
    let mut world =
        routes::World::unready(name, versions.iter().copied().map(streams::server).collect());
    world.put_proxies_before_store_and_peers();
    for (index, version) in versions.iter().enumerate() {
        world.record_version(index, &format!("i-{index}"), version, "ready");
    }
    world.publish(&[routes::KEY], routes::PREPAID);
    world.add_fleet((0..routers).map(streams::address));
    world
}

/// The faults of a proxy that drops all traffic of these routers.
fn faults(dropped: Range<usize>, open: network::OpenConnections) -> network::Faults {
    let sources: Vec<IpAddr> = dropped.map(streams::address).collect();
    let connections: HashMap<IpAddr, _> = sources.iter().map(|source| (*source, open)).collect();
    let datagrams: HashSet<IpAddr> = sources.into_iter().collect();
    network::Faults { dropped: connections, dropped_datagrams: datagrams, ..Default::default() }
}

/// Cuts the first routers off from the store and from all others but each other, or ends that.
fn set_cut(world: &routes::World, cut: &Cut, active: bool) {
    let first = match active {
        true => 0..cut.together,
        false => 0..0,
    };
    let others = match active {
        true => cut.together..cut.routers,
        false => 0..0,
    };
    world.store_proxy.as_ref().unwrap().set_faults(faults(first.clone(), cut.open));
    for (router, proxy) in world.peer_proxies.iter().enumerate() {
        let dropped = if router < cut.together { others.clone() } else { first.clone() };
        proxy.set_faults(faults(dropped, cut.open));
    }
    thread::sleep(FAULTS_APPLIED);
}

/// Servers of a second version join while routers are cut off, and streams begin at the others. Clients take them up at
/// the routers that are cut off, and then at the others.
fn take_up_at_routers_out_of_touch(name: &str, cut: Cut, old_leave: bool) {
    let mut world = start(name, &["v1", "v1"], cut.routers);
    set_cut(&world, &cut, true);
    let since = Instant::now();
    for index in 2..4 {
        world.backends.push(backend::Backend::start(streams::server("v2")).unwrap());
        world.record_version(index, &format!("i-{index}"), "v2", "ready");
    }
    let in_touch = cut.together..cut.routers;
    for router in in_touch.clone() {
        fleet::eventually("the router lists the new version", || {
            let versions = &world.dump(router)["versions"]["app"];
            versions.as_object().is_some_and(|versions| versions.len() == 2)
        });
    }
    let in_touch_at = |number: usize| in_touch.start + number % in_touch.len();
    let mut begun = streams::begin_all(&world, STREAMS, in_touch_at);
    begun.retain(|stream| stream.last_id > 0);
    assert!(begun.len() * 2 > STREAMS, "only {} streams began", begun.len());
    if old_leave {
        (0..2).for_each(|index| world.remove_record(&format!("i-{index}")));
    }
    thread::sleep(cut.lasts.saturating_sub(since.elapsed()));
    if cut.healed {
        set_cut(&world, &cut, false);
    }
    let at_cut = |number: usize| number % cut.together;
    streams::for_each(&mut begun, |number, stream| {
        streams::continue_once(&world, at_cut(number), stream);
    });
    streams::assert_unmixed(&begun);
    for stream in &begun {
        let (status, took) = *stream.answers.last().unwrap();
        assert!(status == 200 || took <= streams::REFUSAL_MAX, "refused after {took:?}");
    }
    let stays = |stream: &streams::Received| !old_leave || stream.versions.contains("v2");
    begun.retain(stays);
    streams::for_each(&mut begun, |number, stream| {
        streams::continue_stream(&world, in_touch_at(number), stream);
    });
    streams::assert_unmixed(&begun);
    streams::assert_continued(&begun);
}

macro_rules! streams_taken_up_at_routers_out_of_touch_hold_one_version {
    ($($name:ident: $together:expr, $routers:expr, $open:ident, $lasts_ms:expr, $healed:expr, $old_leave:expr;)*) => {$(
        #[test]
        fn $name() {
            let cut = Cut {
                routers: $routers,
                together: $together,
                open: network::OpenConnections::$open,
                lasts: Duration::from_millis($lasts_ms),
                healed: $healed,
            };
            take_up_at_routers_out_of_touch(stringify!($name), cut, $old_leave);
        }
    )*};
}

streams_taken_up_at_routers_out_of_touch_hold_one_version! {
    one_of_three_cut_off_silently: 1, 3, Silent, 1_000, false, false;
    one_of_three_cut_off_while_the_old_version_leaves: 1, 3, Reset, 1_000, false, true;
    one_of_three_cut_off_for_long: 1, 3, Silent, 8_000, false, true;
    one_of_two_cut_off: 1, 2, Silent, 1_100, false, true;
    two_of_five_cut_off_together: 2, 5, Silent, 1_500, false, true;
    two_of_five_cut_off_together_for_long: 2, 5, Reset, 8_000, false, false;
    one_of_three_whose_cut_has_just_healed: 1, 3, Silent, 8_000, true, true;
    two_of_five_whose_cut_has_just_healed: 2, 5, Reset, 8_000, true, true;
}

/// Streams begin at three routers. Clients take them up at the last two while the store is away for all, after the first
/// router was killed or not, and go on trying after the store is back.
fn take_up_without_the_store(name: &str, versions: &[&'static str], away_ms: u64, killed: bool) {
    let mut world = start(name, versions, streams::ROUTERS);
    let mut begun = streams::begin_named(&world, 0, STREAMS, streams::ROUTERS);
    assert!(begun.iter().all(|stream| stream.last_id > 0), "{begun:?}");
    world.store.set_mode(store::Mode::Down);
    thread::sleep(Duration::from_millis(away_ms));
    if killed {
        world.kill(0);
    }
    streams::for_each(&mut begun, |number, stream| {
        streams::continue_once(&world, 1 + number % 2, stream);
    });
    world.store.set_mode(store::Mode::Normal);
    streams::for_each(&mut begun, |number, stream| {
        streams::continue_stream(&world, 1 + number % 2, stream);
    });
    streams::assert_unmixed(&begun);
    streams::assert_continued(&begun);
}

macro_rules! streams_go_on_while_the_store_is_away {
    ($($name:ident: $versions:expr, $away_ms:expr, $killed:expr;)*) => {$(
        #[test]
        fn $name() {
            take_up_without_the_store(stringify!($name), &$versions, $away_ms, $killed);
        }
    )*};
}

streams_go_on_while_the_store_is_away! {
    one_version_and_a_short_outage: ["v1", "v1"], 300, false;
    one_version_a_short_outage_and_a_killed_router: ["v1", "v1"], 300, true;
    one_version_and_a_long_outage: ["v1", "v1"], 6_000, false;
    one_version_a_long_outage_and_a_killed_router: ["v1", "v1"], 6_000, true;
    two_versions_a_short_outage_and_a_killed_router: ["v1", "v2"], 300, true;
    two_versions_a_long_outage_and_a_killed_router: ["v1", "v2"], 6_000, true;
}
