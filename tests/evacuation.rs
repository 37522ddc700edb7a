//! Evacuated failure domains, with a router before a store and servers of two failure domains.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use routes::{World, answers, request};

const DOMAINS: [&str; 2] = ["a", "b"];

/// A server in each of two failure domains; each one answers with its own.
fn world(name: &str) -> World {
    let mut world = World::unready(name, vec![answers("a"), answers("b")]);
    for (place, domain) in DOMAINS.iter().enumerate() {
        world.record_server_in(place, "ready", domain);
    }
    world.publish(&[routes::KEY], routes::PREPAID);
    world
}

fn start(name: &str) -> World {
    let mut world = world(name);
    world.add_router();
    world.wait_ready(0);
    world
}

fn ask(world: &World) -> (u16, String) {
    let answer = world.ask(0, &request("/read/x", "id"));
    (answer.status, answer.text())
}

fn evacuate(world: &World, domain: &str) {
    world.store.put(&format!("op/evacuate/{domain}"), b"{}");
}

fn take_back(world: &World, domain: &str) {
    world.store.remove(&format!("op/evacuate/{domain}"));
}

fn only(world: &World, domain: &str) -> bool {
    (0..20).all(|_| ask(world) == (200, domain.to_owned()))
}

#[test]
fn servers_of_an_evacuated_domain_get_nothing_new_until_it_is_taken_back() {
    let world = start("evacuated");
    evacuate(&world, "a");
    fleet::eventually("the evacuation is heard", || only(&world, "b"));
    take_back(&world, "a");
    evacuate(&world, "b");
    fleet::eventually("its servers are back, the others are left", || only(&world, "a"));
    take_back(&world, "b");
    evacuate(&world, "a");
    fleet::eventually("and the other way round", || only(&world, "b"));
}

#[test]
fn where_all_servers_are_evacuated_requests_are_refused_at_once() {
    let world = start("all-evacuated");
    DOMAINS.iter().for_each(|domain| evacuate(&world, domain));
    fleet::eventually("nothing is left", || ask(&world).0 == 503);
    let answer = world.ask(0, &request("/read/x", "refused"));
    assert!(answer.header("retry-after").is_some(), "{}", answer.head);
}

#[test]
fn a_router_that_starts_sends_nothing_to_an_evacuated_domain() {
    let mut world = world("evacuated-start");
    evacuate(&world, "a");
    world.add_router();
    world.wait_ready(0);
    assert!(only(&world, "b"));
}

#[test]
fn an_evacuation_of_an_unknown_domain_changes_nothing_else() {
    let world = start("evacuated-unknown");
    world.store.put("op/evacuate/nowhere", b"not even an object");
    world.store.put("op/evacuate/", b"{}");
    let told = || {
        world.log(0).contains("event=evacuation failure_domain=nowhere evacuated=true servers=0")
    };
    fleet::eventually("it is told", told);
    assert_eq!(ask(&world).0, 200);
    evacuate(&world, "a");
    fleet::eventually("known ones are heard of", || only(&world, "b"));
}
