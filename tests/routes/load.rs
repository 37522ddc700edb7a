//! Clients that send to several routers at a steady rate, and what they got.

#![allow(clippy::unwrap_used, missing_docs, dead_code)]

use super::{KEY, PREPAID, World, patient, request};
use crate::fleet;
use doorswitch_standins::backend;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// What a client got, and how long it waited.
#[derive(Clone, Debug)]
pub struct Got {
    pub router: usize,
    pub id: String,
    pub sent: Instant,
    pub status: u16,
    pub took: Duration,
    pub retry_after_s: Option<f64>,
    pub head: String,
}

/// Routers that know each other and serve, before servers that follow these scripts.
pub fn start(name: &str, routers: usize, scripts: Vec<backend::Script>) -> World {
    let mut world = World::unready(name, scripts);
    world.publish(&[KEY], PREPAID);
    for place in 0..routers {
        world.add_router();
        world.wait_ready(place);
    }
    let members = format!("doorswitch_members {routers}");
    for place in 0..routers {
        fleet::eventually("the router serves and knows the others", || {
            let served = world.ask(place, &patient("/read/x", "warm")).status == 200;
            served && world.metrics(place).contains(&members)
        });
    }
    world
}

/// Sends a request to each of these routers again and again, for a while; what clients got.
pub fn send(
    world: &World,
    routers: &[usize],
    path: &str,
    every: Duration,
    for_: Duration,
) -> Vec<Got> {
    let got = Mutex::new(Vec::new());
    let began = Instant::now();
    thread::scope(|scope| {
        for place in routers {
            let got = &got;
            scope.spawn(move || {
                for number in 0.. {
                    let due = every * number;
                    if due >= for_ {
                        return;
                    }
                    thread::sleep((began + due).saturating_duration_since(Instant::now()));
                    scope.spawn(move || {
                        let one = ask(world, *place, path, number);
                        got.lock().unwrap().push(one);
                    });
                }
            });
        }
    });
    got.into_inner().unwrap()
}

/// Sends one request; its id names the router.
pub fn ask(world: &World, place: usize, path: &str, number: u32) -> Got {
    let sent = Instant::now();
    let id = format!("{place}-{number}-{sent:?}");
    let answer = world.ask(place, &request(path, &id));
    let status = if answer.whole { answer.status } else { 0 };
    let retry_after_s = answer.header("retry-after").and_then(|value| value.parse().ok());
    let (took, head) = (sent.elapsed(), answer.head);
    Got { router: place, id, sent, status, took, retry_after_s, head }
}

/// The router that a request's id names.
pub fn router_of(id: &str) -> Option<usize> {
    id.split('-').next()?.parse().ok()
}

/// At least 97 in 100 were served.
pub fn check_served(got: &[Got]) {
    let served = got.iter().filter(|one| one.status == 200).count();
    let others: Vec<u16> = got.iter().map(|one| one.status).filter(|it| *it != 200).collect();
    assert!(served * 100 >= got.len() * 97, "{served} of {} served, others {others:?}", got.len());
}

/// The first of so many places.
pub fn all(routers: usize) -> Vec<usize> {
    (0..routers).collect()
}
