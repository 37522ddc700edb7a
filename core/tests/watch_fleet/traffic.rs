//! Clients of a fleet, and the troubles that its routers get into.

use super::{BOUNDS, Fleet, Store, TICK_MS};
use doorswitch_core::{ids, node, servers};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

/// A request that was handed to a router, by its place, its life and the request's slot there.
pub type Handed = (usize, u64, ids::RequestSlot);

pub struct Traffic {
    pub fleet: Fleet,
    pub rng: StdRng,
    pub per_s: u64,
    owed_milli: u64,
    keys: u64,
}

impl Traffic {
    /// A fleet that serves a service without servers yet, and loses some datagrams.
    pub fn new(routers: usize, seed: u64, salt: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ salt);
        let mut fleet = Fleet::with_service(routers, 3, BOUNDS, seed);
        fleet.loss_percent = rng.random_range(0..15);
        for place in 0..6 {
            fleet.remove_server(&format!("server-{place}"));
        }
        Self { fleet, rng, per_s: 0, owed_milli: 0, keys: 0 }
    }

    /// The requests that are due in this step; each is to be handed to a router that is up.
    pub fn due(&mut self) -> u64 {
        self.owed_milli += self.per_s * TICK_MS;
        let due = self.owed_milli / 1_000;
        self.owed_milli %= 1_000;
        due
    }

    /// Hands a request to a router that is up, if there is one. Its answer is in the fleet's.
    pub fn hand(&mut self) -> Option<Handed> {
        let up = |place: &usize| {
            let router = &self.fleet.routers[*place];
            router.alive && !router.frozen
        };
        let places: Vec<usize> = (0..self.fleet.routers.len()).filter(up).collect();
        let place = *places.choose(&mut self.rng)?;
        let wanted = self.wanted();
        let now_ms = self.fleet.now_ms;
        let router = &mut self.fleet.routers[place];
        let slot = router.node.admit(wanted, now_ms);
        let handed = (place, router.incarnation, slot);
        self.fleet.carry_out(place);
        Some(handed)
    }

    fn wanted(&mut self) -> node::AdmissionRequest {
        self.keys += 1;
        let parts = match self.rng.random_bool(0.5) {
            true => {
                servers::chain([(self.rng.random_range(0..20), 500), (self.keys, 50)].into_iter())
            }
            false => Vec::new(),
        };
        node::AdmissionRequest {
            key: ids::RequestKey { high: self.keys, low: 1 },
            keyed: false,
            body_hash: 1,
            budget: String::new(),
            service: "service".to_owned(),
            classes: Vec::new(),
            priority: self.rng.random_range(0..3),
            bound_tokens: 0,
            unrepeatable: false,
            attempts_max: 2,
            prefix_hash: None,
            fingerprint: None,
            parts,
            deadline_ms: self.fleet.now_ms + 3_000,
        }
    }

    /// One of the troubles of a router or the store, or the end of one: numbers 0 to 10.
    pub fn trouble(&mut self, place: usize, number: u32) {
        match number {
            0 | 1 => self.fleet.restart(place),
            2 => self.fleet.set_frozen(place, true),
            3 | 4 => self.fleet.set_frozen(place, false),
            5 => self.fleet.set_cut(place, true),
            6 => self.fleet.set_cut(place, false),
            7 => self.fleet.set_store(Store::Refuses),
            8 => self.fleet.set_store(Store::Well),
            9 => self.set_group(place, 1),
            _ => self.set_group(place, 0),
        }
    }

    pub fn set_group(&mut self, place: usize, group: u64) {
        self.fleet.routers[place].group = group;
        self.fleet.trouble(place);
    }

    pub fn end_troubles(&mut self) {
        self.fleet.set_store(Store::Well);
        for place in 0..self.fleet.routers.len() {
            self.fleet.set_frozen(place, false);
            self.fleet.set_cut(place, false);
            self.set_group(place, 0);
        }
    }
}
