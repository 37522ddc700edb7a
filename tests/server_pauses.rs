//! Servers that say nothing for a moment and go on. Guards against servers that are ejected for up to 30 s because all
//! requests that they had then failed together.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use doorswitch_standins::replies::Reply;
use routes::load::check_served;
use routes::scripted::ScriptedWorld;
use std::thread;
use std::time::Duration;

const SERVERS: usize = 4;
const SERVICE_TIME: Duration = Duration::from_millis(250);
const REQUEST_INTERVAL_MS: u64 = 20;
/// Longer than half of a request's deadline, after which a router repeats it.
const PAUSE: Duration = Duration::from_millis(2_000);
/// The time within which a server gets its share of the requests again.
const RECOVERY_MS: u64 = 1_000;
const SHARE_WINDOW: Duration = Duration::from_secs(3);

macro_rules! servers_that_pause {
    ($($name:ident: $path:literal, $paused:expr;)*) => {$(
        #[test]
        fn $name() {
            let replying = ScriptedWorld::start(stringify!($name), 2, SERVERS, SERVICE_TIME);
            check_served(&replying.send($path, REQUEST_INTERVAL_MS, 1_000));
            thread::scope(|scope| {
                scope.spawn(|| {
                    let paused = &replying.servers[..$paused];
                    paused.iter().for_each(|server| server.set(Reply::served(PAUSE)));
                    thread::sleep(PAUSE);
                    paused.iter().for_each(|server| server.set(Reply::served(SERVICE_TIME)));
                });
                replying.send($path, REQUEST_INTERVAL_MS, PAUSE.as_millis() as u64 + RECOVERY_MS);
            });
            let window_ms = SHARE_WINDOW.as_millis() as u64;
            check_served(&replying.send($path, REQUEST_INTERVAL_MS, window_ms));
            (0..$paused).for_each(|server| replying.check_share(server, SHARE_WINDOW));
        }
    )*};
}

servers_that_pause! {
    a_server_that_pauses_gets_its_share_within_a_second: "/read/x", 1;
    half_of_the_servers_that_pause_get_their_share_within_a_second: "/read/x", SERVERS / 2;
}
