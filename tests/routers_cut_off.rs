//! Routers that lose their links to the servers while clients, the store and their peers still reach them. Guards
//! against routers that have no other way to a server than their own link.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use doorswitch_standins::network::{Faults, OpenConnections};
use routes::{World, answers, request};
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

const ROUTERS: usize = 3;
const SERVERS: usize = 4;
const CUT_TIME: Duration = Duration::from_secs(4);
/// The proxies apply changed faults within this time.
const FAULTS_APPLIED: Duration = Duration::from_millis(20);
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Requests that are sent later than this after the start of a cut have to be served.
const NOTICE_BOUND: Duration = Duration::from_secs(1);
/// The least share of requests that a router serves while it is cut off, in percent.
const SERVED_PERCENT_MIN: usize = 95;

fn address(router: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 91, 0, 1 + u8::try_from(router).unwrap()))
}

/// Starts three routers with addresses of their own, in front of four servers behind proxies.
fn start(name: &str) -> World {
    let mut world = World::unready(name, (0..SERVERS).map(|_| answers("served")).collect());
    world.put_proxies_before_servers();
    world.publish(&[routes::KEY], routes::PREPAID);
    world.add_fleet((0..ROUTERS).map(address));
    world
}

/// Drops the segments of some routers at the first servers, or ends that.
fn cut(world: &World, routers: &[usize], servers: usize, open: Option<OpenConnections>) {
    let dropped = open.map(|open| routers.iter().map(|router| (address(*router), open)).collect());
    for proxy in world.server_proxies.iter().take(servers) {
        let dropped = dropped.clone().unwrap_or_default();
        proxy.set_faults(Faults { dropped, ..Faults::default() });
    }
    std::thread::sleep(FAULTS_APPLIED);
}

/// The answers of one router to requests sent at intervals, with the time since the first at which each was sent.
fn send_requests(world: &World, router: usize, path: &str, time: Duration) -> Vec<(Duration, u16)> {
    let started = Instant::now();
    std::thread::scope(|scope| {
        let mut calls = Vec::new();
        while started.elapsed() < time {
            let sent = started.elapsed();
            let id = format!("id-{router}-{}", sent.as_micros());
            calls.push(scope.spawn(move || {
                let request = routes::Request { deadline_ms: 1_000, ..request(path, &id) };
                (sent, world.call(router, &request).status)
            }));
            std::thread::sleep(REQUEST_INTERVAL);
        }
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    })
}

fn assert_served(world: &World, router: usize, answers: &[(Duration, u16)]) {
    let counted: Vec<u16> = answers
        .iter()
        .filter(|(sent, _)| *sent >= NOTICE_BOUND)
        .map(|(_, status)| *status)
        .collect();
    let served = counted.iter().filter(|status| **status == 200).count();
    assert!(
        served * 100 >= counted.len() * SERVED_PERCENT_MIN,
        "{served} of {} requests were served: {answers:?}\n{}",
        counted.len(),
        world.log(router)
    );
}

macro_rules! routers_cut_off {
    ($($name:ident: $path:expr, $routers:expr, $servers:expr, $open:expr;)*) => {$(
        #[test]
        fn $name() {
            let world = start(stringify!($name));
            // A router without open connections needs new ones.
            let warmed_up = if $open == OpenConnections::Unaffected { 0 } else { ROUTERS };
            for router in 0..warmed_up {
                let before = send_requests(&world, router, $path, Duration::from_millis(500));
                assert!(before.iter().all(|(_, status)| *status == 200), "{before:?}");
            }
            cut(&world, &$routers, $servers, Some($open));
            std::thread::scope(|scope| {
                let world = &world;
                let cuts = $routers.map(|router| {
                    scope.spawn(move || (router, send_requests(world, router, $path, CUT_TIME)))
                });
                for cut in cuts {
                    let (router, answers) = cut.join().unwrap();
                    assert_served(world, router, &answers);
                }
            });
            cut(&world, &$routers, $servers, None);
            for router in 0..ROUTERS {
                assert!(!world.log(router).contains("event=server_crashed"), "{}", world.log(router));
            }
        }
    )*};
}

routers_cut_off! {
    a_router_whose_links_to_all_servers_go_silent_serves_through_its_peers:
        "/read/x", [0], SERVERS, OpenConnections::Silent;
    a_router_whose_links_to_all_servers_are_reset_serves_through_its_peers:
        "/read/x", [0], SERVERS, OpenConnections::Reset;
    a_router_that_can_open_no_connection_to_servers_serves_through_its_peers:
        "/read/x", [0], SERVERS, OpenConnections::Unaffected;
    two_of_three_routers_cut_off_from_all_servers_serve_through_the_third:
        "/read/x", [0, 1], SERVERS, OpenConnections::Silent;
    two_of_three_routers_whose_links_to_all_servers_are_reset_serve_through_the_third:
        "/read/x", [0, 1], SERVERS, OpenConnections::Reset;
    two_of_three_routers_that_can_open_no_connection_to_servers_serve_through_the_third:
        "/read/x", [0, 1], SERVERS, OpenConnections::Unaffected;
    unrepeatable_requests_of_a_router_cut_off_from_all_servers_are_served_through_its_peers:
        "/pay/x", [0], SERVERS, OpenConnections::Silent;
    a_router_whose_links_to_half_of_the_servers_go_silent_serves_all_requests:
        "/read/x", [0], SERVERS / 2, OpenConnections::Silent;
    a_router_that_can_open_no_connection_to_all_servers_but_one_serves_unrepeatable_requests:
        "/pay/x", [0], SERVERS - 1, OpenConnections::Unaffected;
}

const OTHER_SERVICE: &str = "other";
/// The loss of the links to one service is known within this time.
const SERVICE_NOTICE_BOUND: Duration = Duration::from_millis(500);

/// Adds a service whose servers are those from `first` on, with a route of its own.
fn add_other_service(world: &mut World, first: usize) {
    let configuration = routes::configuration(4, &[routes::KEY], routes::PREPAID);
    let mut configuration: serde_json::Value = serde_json::from_slice(&configuration).unwrap();
    let mut service = configuration["services"][0].clone();
    service["name"] = OTHER_SERVICE.into();
    configuration["services"].as_array_mut().unwrap().push(service);
    let mut route = configuration["routes"][0].clone();
    (route["name"], route["pathPrefix"]) = ("other".into(), "/other/".into());
    route["service"] = OTHER_SERVICE.into();
    configuration["routes"].as_array_mut().unwrap().push(route);
    world.version = 4;
    world.store.put("op/config", configuration.to_string().as_bytes());
    for server in first..world.backends.len() {
        world.record_server_of(server, OTHER_SERVICE);
    }
}

#[test]
fn the_loss_of_the_links_to_one_service_is_known_by_one_request() {
    let scripts = (0..2 * SERVERS).map(|_| answers("served")).collect();
    let mut world = World::unready("one-service", scripts);
    world.put_proxies_before_servers();
    add_other_service(&mut world, SERVERS);
    world.add_fleet((0..ROUTERS).map(address));
    let time = Duration::from_secs(1);
    std::thread::scope(|scope| {
        let others = scope.spawn(|| send_requests(&world, 0, "/other/x", 5 * time));
        let before = send_requests(&world, 0, "/pay/x", 2 * time);
        assert!(before.iter().all(|(_, status)| *status == 200), "{before:?}");
        cut(&world, &[0], SERVERS, Some(OpenConnections::Silent));
        let answers = send_requests(&world, 0, "/pay/x", 2 * time);
        let lost = answers.iter().filter(|(_, status)| *status != 200);
        let lost_late = lost.clone().filter(|(sent, _)| *sent >= SERVICE_NOTICE_BOUND);
        let log = world.log(0);
        assert_eq!(lost_late.count(), 0, "{answers:?}\n{log}");
        assert!(lost.count() <= answers.len() / 4, "{answers:?}\n{log}");
        assert!(log.contains("event=service_links_lost"), "{log}");
        let others = others.join().unwrap();
        assert!(others.iter().all(|(_, status)| *status == 200), "{others:?}");
        assert!(!log.contains("event=all_links_lost"), "{log}");
        cut(&world, &[0], SERVERS, None);
    });
    fleet::eventually("the links are restored", || {
        world.log(0).contains("event=service_links_restored")
    });
}
