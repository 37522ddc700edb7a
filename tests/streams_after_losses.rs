//! Streams that clients continue after a loss of all routers, during which servers are replaced by another software
//! version. Guards against streams that are joined from two versions because a router that has just started takes a
//! missing record for proof that there was one version only.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use doorswitch_standins::{backend, store};
use routes::World;
use routes::streams;
use std::thread;
use std::time::Duration;

const STREAMS: usize = 16;
/// Key of the store's record of software versions.
const RECORD: &str = "doorswitch/stream-versions";

/// What happens between the first events of the streams and their continuation.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Two servers of this version start.
    Start(&'static str),
    /// All servers of this version leave.
    Leave(&'static str),
    Wait(u64),
    /// More streams begin.
    Begin,
    Store(store::Mode),
    BackUp,
    Restore,
    /// Another writer overwrites the record of versions.
    Damage,
    /// Another writer removes the record of versions.
    Remove,
    KillAll,
    SpawnAll,
    /// All routers are started and become ready.
    StartAll,
}

use Step::*;

struct Run {
    world: World,
    servers: Vec<(String, &'static str)>,
    backup: Option<store::Backup>,
    streams: Vec<streams::Received>,
}

impl Run {
    fn start(name: &str, routers: usize) -> Self {
        let world = streams::start_fleet(name, &["v1", "v1"], routers);
        let servers = (0..2).map(|index| (format!("i-{index}"), "v1")).collect();
        let mut run = Self { world, servers, backup: None, streams: Vec::new() };
        run.begin();
        run
    }

    fn begin(&mut self) {
        let routers = self.world.routers.len();
        let begun = streams::begin_named(&self.world, self.streams.len(), STREAMS, routers);
        for stream in &begun {
            // Several events may arrive together.
            assert!(stream.last_id >= streams::BROKEN_AFTER, "a stream did not begin: {stream:?}");
        }
        self.streams.extend(begun);
    }

    fn perform(&mut self, step: Step) {
        let routers = self.world.routers.len();
        match step {
            Start(version) => {
                for _ in 0..2 {
                    let backend = backend::Backend::start(streams::server(version)).unwrap();
                    self.world.backends.push(backend);
                    let index = self.world.backends.len() - 1;
                    self.world.record_version(index, &format!("i-{index}"), version, "ready");
                    self.servers.push((format!("i-{index}"), version));
                }
            }
            Leave(version) => {
                for (server, of_version) in &self.servers {
                    if *of_version == version {
                        self.world.remove_record(server);
                    }
                }
            }
            Wait(time_ms) => thread::sleep(Duration::from_millis(time_ms)),
            Begin => self.begin(),
            Store(mode) => self.world.store.set_mode(mode),
            BackUp => self.backup = Some(self.world.store.back_up()),
            Restore => {
                let backup = self.backup.as_ref().unwrap();
                self.world.store.restore(backup, store::OpenWatches::Ended);
            }
            Damage => self.world.store.put(RECORD, b"\xff{"),
            Remove => self.world.store.remove(RECORD),
            KillAll => (0..routers).for_each(|router| self.world.kill(router)),
            SpawnAll => (0..routers).for_each(|router| self.world.spawn(router)),
            StartAll => {
                (0..routers).for_each(|router| self.world.spawn(router));
                (0..routers).for_each(|router| self.world.wait_ready(router));
            }
        }
    }

    /// Runs the steps, and then has each client continue its stream once.
    fn run(name: &str, routers: usize, steps: &[Step]) -> Vec<streams::Received> {
        let mut run = Self::start(name, routers);
        steps.iter().for_each(|step| run.perform(*step));
        let mut received = std::mem::take(&mut run.streams);
        streams::for_each(&mut received, |number, stream| {
            streams::continue_once(&run.world, number % routers, stream);
        });
        received
    }
}

macro_rules! hold_one_version {
    ($($name:ident: $routers:expr, [$($step:expr),* $(,)?];)*) => { $(
        #[test]
        fn $name() {
            let streams = Run::run(stringify!($name), $routers, &[$($step),*]);
            streams::assert_unmixed(&streams);
            let not_whole = streams.into_iter().filter(|stream| !stream.whole);
            streams::assert_refused(&not_whole.collect::<Vec<_>>());
        }
    )* };
}

hold_one_version! {
    replaced_while_no_router_runs: 3, [KillAll, Start("v2"), Leave("v1"), StartAll];
    replaced_while_the_only_router_is_away_for_long: 1, [
        KillAll, Start("v2"), Leave("v1"), Wait(2_500), StartAll,
    ];
    joined_100_ms_before_the_loss: 3, [Start("v2"), Wait(100), KillAll, Leave("v1"), StartAll];
    joined_700_ms_before_the_loss: 3, [Start("v2"), Wait(700), KillAll, Leave("v1"), StartAll];
    joined_2500_ms_before_the_loss: 3, [Start("v2"), Wait(2_500), KillAll, Leave("v1"), StartAll];
    left_shortly_before_the_loss: 3, [
        Start("v2"), Wait(2_000), Leave("v1"), Wait(200), KillAll, StartAll,
    ];
    replaced_after_the_store_fell_silent: 3, [
        Store(store::Mode::Silent), Wait(300), KillAll, Start("v2"), Leave("v1"),
        Store(store::Mode::Normal), StartAll,
    ];
    replaced_before_the_store_falls_silent: 3, [
        KillAll, Start("v2"), Leave("v1"), Store(store::Mode::Silent), SpawnAll, Wait(1_500),
        Store(store::Mode::Normal), Wait(2_500),
    ];
    joined_while_the_store_loses_answers: 3, [
        Store(store::Mode::LoseAnswers), Start("v2"), Wait(1_000), KillAll, Leave("v1"),
        Store(store::Mode::Normal), StartAll,
    ];
    replaced_twice_in_two_losses: 3, [
        KillAll, Start("v2"), Leave("v1"), StartAll, Begin,
        KillAll, Start("v3"), Leave("v2"), StartAll,
    ];
    replaced_back_in_two_losses: 3, [
        KillAll, Start("v2"), Leave("v1"), StartAll, Begin,
        KillAll, Start("v1"), Leave("v2"), StartAll,
    ];
    restored_to_a_copy_without_the_version: 3, [
        BackUp, Start("v2"), Leave("v1"), Wait(2_000), Begin, KillAll, Restore, StartAll,
    ];
    restored_while_routers_run: 3, [
        BackUp, Start("v2"), Leave("v1"), Wait(2_000), Begin, Restore, Wait(2_500), KillAll, StartAll,
    ];
    replaced_beside_a_damaged_record: 3, [KillAll, Damage, Start("v2"), Leave("v1"), StartAll];
    replaced_beside_a_removed_record: 3, [KillAll, Remove, Start("v2"), Leave("v1"), StartAll];
}

macro_rules! go_on {
    ($($name:ident: $routers:expr, [$($step:expr),* $(,)?];)*) => { $(
        #[test]
        fn $name() {
            let streams = Run::run(stringify!($name), $routers, &[$($step),*]);
            streams::assert_unmixed(&streams);
            streams::assert_continued(&streams);
        }
    )* };
}

go_on! {
    a_version_that_was_never_replaced: 3, [KillAll, StartAll];
    a_version_at_one_router: 1, [KillAll, StartAll];
    a_version_after_two_losses: 3, [KillAll, StartAll, KillAll, StartAll];
    a_version_after_a_silent_store: 3, [
        Store(store::Mode::Silent), Wait(300), KillAll, Store(store::Mode::Normal), StartAll,
    ];
}
