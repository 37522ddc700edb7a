//! Guards against streams that are joined from two software versions at a router which stood still, or was cut off from the
//! store, while servers of a new version joined and streams began there through other routers.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use doorswitch_standins::{backend, store};
use routes::streams;
use std::thread;
use std::time::Duration;

const STREAMS: usize = 24;
/// The router that is out of step.
const LATE: usize = 0;

/// What keeps a router from hearing of the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    StandsStill,
    /// It stands still, and wakes while the store answers nothing and the other routers stand still.
    WakesAlone,
}

/// Servers of a second version join while a router is out of step, and streams begin at the other routers. Their clients
/// continue them at that router as soon as it runs again.
fn continue_at_a_late_router(name: &str, trouble: Trouble, still: Duration, old_leave: bool) {
    let mut world = streams::start_fleet(name, &["v1", "v1"], streams::ROUTERS);
    let others = [1, 2];
    world.signal(LATE, "STOP");
    for index in 2..4 {
        world.backends.push(backend::Backend::start(streams::server("v2")).unwrap());
        world.record_version(index, &format!("i-{index}"), "v2", "ready");
    }
    for router in others {
        fleet::eventually("the router lists the new version", || {
            let versions = &world.dump(router)["versions"]["app"];
            versions.as_object().is_some_and(|versions| versions.len() == 2)
        });
    }
    let mut begun = streams::begin_all(&world, STREAMS, |number| others[number % others.len()]);
    begun.retain(|stream| stream.last_id > 0);
    assert!(begun.len() * 2 > STREAMS, "only {} streams began", begun.len());
    if old_leave {
        (0..2).for_each(|index| world.remove_record(&format!("i-{index}")));
    }
    thread::sleep(still);
    if trouble == Trouble::WakesAlone {
        world.store.set_mode(store::Mode::Silent);
        others.iter().for_each(|router| world.signal(*router, "STOP"));
    }
    world.signal(LATE, "CONT");
    streams::for_each(&mut begun, |_, stream| streams::continue_once(&world, LATE, stream));
    if trouble == Trouble::WakesAlone {
        world.store.set_mode(store::Mode::Normal);
        others.iter().for_each(|router| world.signal(*router, "CONT"));
    }
    streams::assert_unmixed(&begun);
    streams::for_each(&mut begun, |_, stream| streams::continue_stream(&world, LATE, stream));
    streams::assert_unmixed(&begun);
}

macro_rules! streams_continued_at_a_late_router_hold_one_version {
    ($($name:ident: $trouble:expr, $still_ms:expr, $old_leave:expr;)*) => {$(
        #[test]
        fn $name() {
            let still = Duration::from_millis($still_ms);
            continue_at_a_late_router(stringify!($name), $trouble, still, $old_leave);
        }
    )*};
}

streams_continued_at_a_late_router_hold_one_version! {
    a_router_that_stood_still_briefly: Trouble::StandsStill, 100, false;
    a_router_that_stood_still_for_seconds: Trouble::StandsStill, 2_500, false;
    a_router_that_stood_still_while_the_old_version_left: Trouble::StandsStill, 1_000, true;
    a_router_that_wakes_alone: Trouble::WakesAlone, 1_000, false;
    a_router_that_wakes_alone_after_the_old_version_left: Trouble::WakesAlone, 1_000, true;
}
