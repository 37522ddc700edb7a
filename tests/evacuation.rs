//! Servers of an evacuated failure domain receive no new requests. A router runs with a stand-in store and servers of
//! two failure domains.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;
mod routes;

use routes::{World, answers, request};

const DOMAINS: [&str; 2] = ["a", "b"];

/// Starts a server in each of two failure domains, which answers with the domain's name; no router runs yet.
fn unready(name: &str) -> World {
    let mut world = World::unready(name, vec![answers("a"), answers("b")]);
    for (index, domain) in DOMAINS.iter().enumerate() {
        world.record_server_in(index, "ready", domain);
    }
    world.publish(&[routes::KEY], routes::PREPAID);
    world
}

fn start(name: &str) -> World {
    let mut world = unready(name);
    world.add_router();
    world.wait_ready(0);
    world
}

fn send_request(world: &World) -> (u16, String) {
    let answer = world.call(0, &request("/read/x", "id"));
    (answer.status, answer.text())
}

fn evacuate(world: &World, domain: &str) {
    world.store.put(&format!("op/evacuate/{domain}"), b"{}");
}

fn end_evacuation(world: &World, domain: &str) {
    world.store.remove(&format!("op/evacuate/{domain}"));
}

fn all_answers_from(world: &World, domain: &str) -> bool {
    (0..20).all(|_| send_request(world) == (200, domain.to_owned()))
}

#[test]
fn servers_of_an_evacuated_domain_receive_no_new_request_until_the_evacuation_ends() {
    let world = start("evacuated");
    evacuate(&world, "a");
    fleet::eventually("only servers of domain b are used", || all_answers_from(&world, "b"));
    end_evacuation(&world, "a");
    evacuate(&world, "b");
    fleet::eventually("only servers of domain a are used", || all_answers_from(&world, "a"));
    end_evacuation(&world, "b");
    evacuate(&world, "a");
    fleet::eventually("only servers of domain b are used again", || all_answers_from(&world, "b"));
}

#[test]
fn requests_are_refused_when_all_servers_are_evacuated() {
    let world = start("all-evacuated");
    DOMAINS.iter().for_each(|domain| evacuate(&world, domain));
    fleet::eventually("no server is left", || send_request(&world).0 == 503);
    let answer = world.call(0, &request("/read/x", "refused"));
    assert!(answer.header("retry-after").is_some(), "no Retry-After: {}", answer.head);
}

#[test]
fn a_router_that_starts_sends_nothing_to_an_evacuated_domain() {
    let mut world = unready("evacuated-start");
    evacuate(&world, "a");
    world.add_router();
    world.wait_ready(0);
    assert!(all_answers_from(&world, "b"));
}

#[test]
fn an_evacuation_of_an_unknown_domain_affects_no_server() {
    let world = start("evacuated-unknown");
    world.store.put("op/evacuate/nowhere", b"not even an object");
    world.store.put("op/evacuate/", b"{}");
    let logged = || {
        world.log(0).contains("event=evacuation failure_domain=nowhere evacuated=true servers=0")
    };
    fleet::eventually("the evacuation is logged", logged);
    assert_eq!(send_request(&world).0, 200);
    evacuate(&world, "a");
    fleet::eventually("an evacuation of a known domain is applied", || {
        all_answers_from(&world, "b")
    });
}
