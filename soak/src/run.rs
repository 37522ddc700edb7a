//! Carries a schedule out and tells what was seen.

use crate::{fleet, limited, observe, outspoken, poison, prober, schedule};
use doorswitch_standins::{network, store};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// What one run is made of.
#[derive(Clone, Debug)]
pub struct Options {
    /// The routers' program.
    pub binary: PathBuf,
    /// Where settings and logs lie.
    pub folder: PathBuf,
    /// How many routers there are.
    pub routers: usize,
    /// Tells the fleet's loopback addresses from those of others on this machine.
    pub net: [u8; 2],
    /// Draws the order in which processes start.
    pub seed: u64,
}

/// What a run has seen.
#[derive(Debug)]
pub struct Report {
    /// Broken promises.
    pub violations: Vec<observe::Violation>,
    /// Answers by status; 0 stands for none.
    pub statuses: Vec<(u16, u64)>,
    /// When the run began.
    pub began: Instant,
    /// Routers whose processes ended by themselves.
    pub ended: Vec<usize>,
    /// What the request did that crashes servers.
    pub poison: poison::Seen,
    /// What servers got that name how many requests they take.
    pub limited: limited::Seen,
    /// What servers got that say that they leave, or ask for a backoff.
    pub outspoken: outspoken::Seen,
}

/// A moment of a run.
enum Moment {
    /// Takes the backup that this step restores.
    BacksUp(usize),
    /// Restores the backup of this step.
    Restores(usize, schedule::Action),
    Begins(schedule::Action),
    Ends(schedule::Action),
}

struct Run {
    fleet: fleet::Fleet,
    /// The present life of the second server.
    second: usize,
    shared: Arc<prober::Shared>,
    /// Backups by the numbers of the steps that restore them.
    backups: HashMap<usize, store::Backup>,
    /// The store's state before and after the latest restore, until the lost writes are repeated.
    pending_rewrite: Option<(store::Backup, store::Backup)>,
    rng: StdRng,
}

/// Starts a fleet, carries a schedule out and ends the fleet.
pub fn run(options: &Options, schedule: &schedule::Schedule) -> Result<Report, fleet::Error> {
    let Options { binary, folder, routers, net, seed } = options;
    let mut fleet = fleet::Fleet::prepare(binary, folder, *routers, *net)?;
    let shared = prober::Shared::new(observe::Record::new(*routers));
    let version = fleet.publish();
    shared.record().acknowledge(version);
    // The servers' first lives have the numbers 0 and 1.
    let rng = StdRng::seed_from_u64(*seed);
    let backups = HashMap::new();
    let mut run = Run { fleet, second: 1, shared, backups, pending_rewrite: None, rng };
    run.start_all()?;
    let probers: Vec<thread::JoinHandle<()>> = (0..*routers)
        .map(|place| prober::start(place, run.fleet.clients_address(place), run.shared.clone()))
        .collect();
    let store = run.fleet.store().clone();
    let clients: Vec<SocketAddr> =
        (0..*routers).map(|place| run.fleet.clients_address(place)).collect();
    let limited = limited::start(&store, clients.clone(), run.shared.clone(), *seed)?;
    let outspoken = outspoken::start(store.clone(), clients.clone(), run.shared.clone(), *seed)?;
    let poison = poison::start(store, clients, run.shared.clone())?;
    let began = Instant::now();
    let carried_out = run.carry_out(schedule, began);
    run.shared.end();
    for prober in probers {
        let _ = prober.join();
    }
    let poison = poison.join().unwrap_or_default();
    let limited = limited.join().unwrap_or_default();
    let outspoken = outspoken.join().unwrap_or_default();
    let ended = run.fleet.ended_by_itself().into_iter().collect();
    carried_out?;
    let record = run.shared.record();
    Ok(Report {
        violations: record.violations().to_vec(),
        statuses: record.statuses(),
        began,
        ended,
        poison,
        limited,
        outspoken,
    })
}

impl Run {
    fn carry_out(
        &mut self,
        schedule: &schedule::Schedule,
        began: Instant,
    ) -> Result<(), fleet::Error> {
        let mut moments: Vec<(u64, Moment)> = Vec::new();
        for step in &schedule.steps {
            let lasts_ms = step.action.lasts_ms();
            if let schedule::Action::StoreRestored { backup_age_ms, outage_ms, .. } = &step.action {
                let backed_up_ms = step.at_ms.saturating_sub(*backup_age_ms);
                moments.push((backed_up_ms, Moment::BacksUp(step.number)));
                let action = step.action.clone();
                moments.push((step.at_ms + outage_ms, Moment::Restores(step.number, action)));
            }
            moments.push((step.at_ms, Moment::Begins(step.action.clone())));
            moments.push((step.at_ms + lasts_ms, Moment::Ends(step.action.clone())));
        }
        // Stable: what begins and ends at once keeps its order.
        moments.sort_by_key(|(at_ms, _)| *at_ms);
        for (at_ms, moment) in moments {
            wait_until(began + Duration::from_millis(at_ms));
            match moment {
                Moment::BacksUp(number) => {
                    self.backups.insert(number, self.fleet.store().back_up());
                }
                Moment::Restores(number, action) => self.restore(number, &action),
                Moment::Begins(action) => self.begin(&action)?,
                Moment::Ends(action) => self.end(&action)?,
            }
        }
        wait_until(began + Duration::from_millis(schedule.ends_ms));
        Ok(())
    }

    fn harm(&self, routers: &[usize]) {
        routers.iter().for_each(|place| self.shared.record().harm(*place));
    }

    fn heal(&self, routers: &[usize]) {
        routers.iter().for_each(|place| self.shared.record().heal(*place));
    }

    fn all(&self) -> Vec<usize> {
        (0..self.fleet.routers()).collect()
    }

    fn start_all(&mut self) -> Result<(), fleet::Error> {
        let mut order = self.all();
        order.shuffle(&mut self.rng);
        self.fleet.start_all(&order)
    }

    fn publish(&mut self) {
        let version = self.fleet.publish();
        self.shared.record().acknowledge(version);
    }

    fn begin(&mut self, action: &schedule::Action) -> Result<(), fleet::Error> {
        use schedule::Action;
        match action {
            Action::Publish => self.publish(),
            Action::StoreRefuses { .. } | Action::StoreRestored { .. } => {
                self.harm(&self.all());
                self.fleet.store().set_mode(store::Mode::Down);
            }
            Action::StoreSilent { .. } => {
                self.harm(&self.all());
                self.fleet.store().leave_open_watches_unanswered();
                self.fleet.store().set_mode(store::Mode::Silent);
            }
            Action::StoreLeavesWatchesUnanswered => {
                self.harm(&self.all());
                self.fleet.store().leave_open_watches_unanswered();
            }
            Action::StoreForgets => self.fleet.store().forget(),
            Action::StoreDeaf { .. } => {
                self.harm(&self.all());
                self.fleet.store().go_deaf();
            }
            Action::BadEntries => self.fleet.put_bad_entries(),
            Action::ServerRestarts => {
                let ended = self.second;
                self.second = self.fleet.start_server(fleet::SECOND_SERVER)?;
                self.shared.record().end_life(ended);
            }
            Action::ServerLeaves => {
                self.fleet.record_server(fleet::SECOND_SERVER, self.second, "draining");
                self.shared.record().end_life(self.second);
            }
            Action::ServerRecordSpoilt => {
                self.fleet.spoil_record(fleet::SECOND_SERVER);
                self.shared.record().end_life(self.second);
            }
            Action::StoreLinksDie { routers, dead } => {
                self.harm(routers);
                for place in routers {
                    kill_links(self.fleet.store_network(*place), *dead);
                }
            }
            Action::StoreCut { routers, .. } => {
                self.harm(routers);
                self.change_store_network(routers, |faults| faults.cut_all = true);
            }
            Action::StoreStalls { routers, .. } => {
                self.harm(routers);
                self.change_store_network(routers, |faults| faults.stalled = true);
            }
            Action::StoreSlow { routers, delay_ms, .. } => {
                self.harm(routers);
                self.change_store_network(routers, |faults| faults.delay_ms = *delay_ms);
            }
            Action::PeerLinksDie { routers, dead } => {
                self.harm(routers);
                for place in routers {
                    kill_links(self.fleet.peer_network(*place), *dead);
                }
            }
            Action::PeersCut { routers, .. } => {
                self.harm(routers);
                self.change_peer_network(routers, |faults| faults.cut_all = true);
            }
            Action::DatagramsLost { routers, percent, .. } => {
                self.harm(routers);
                self.change_peer_network(routers, |faults| {
                    faults.lose_datagrams_percent = *percent;
                });
            }
            Action::Freeze { routers, .. } => {
                self.harm(routers);
                for place in routers {
                    self.fleet.signal(*place, "STOP")?;
                }
            }
            Action::Kill { routers, .. } => {
                self.harm(routers);
                for place in routers {
                    self.fleet.kill(*place)?;
                }
            }
            Action::LoseAll { silent, .. } => self.lose_all(*silent)?,
        }
        Ok(())
    }

    /// Restores the store from the backup of a step.
    fn restore(&mut self, number: usize, action: &schedule::Action) {
        let schedule::Action::StoreRestored { rewrite_delay_ms, keeps_watches, .. } = action else {
            return;
        };
        let Some(backup) = self.backups.remove(&number) else { return };
        let watches = match keeps_watches {
            true => store::OpenWatches::Kept,
            false => store::OpenWatches::Ended,
        };
        let store = self.fleet.store();
        let before = store.back_up();
        store.restore(&backup, watches);
        // Lost writes of an earlier restore that were not repeated yet are repeated with those of this one.
        let before = self
            .pending_rewrite
            .take()
            .map_or(before.clone(), |(lost, after)| before.with_lost_writes(&lost, &after));
        self.pending_rewrite = Some((before, backup));
        if *rewrite_delay_ms == 0 {
            self.repeat_lost_writes();
        }
        self.fleet.store().set_mode(store::Mode::Well);
    }

    /// Repeats the writes of the operator and the servers that restores lost.
    fn repeat_lost_writes(&mut self) {
        if let Some((before, after)) = self.pending_rewrite.take() {
            self.fleet.store().repeat_lost_writes(&before, &after);
        }
    }

    /// Kills every router just after a configuration was acknowledged.
    fn lose_all(&mut self, silent: bool) -> Result<(), fleet::Error> {
        self.harm(&self.all());
        self.publish();
        thread::sleep(Duration::from_millis(self.rng.random_range(0..40)));
        for place in self.all() {
            if silent {
                self.fleet.store_network(place).silence_connections();
                self.fleet.peer_network(place).silence_connections();
            }
            self.fleet.kill(place)?;
        }
        Ok(())
    }

    fn end(&mut self, action: &schedule::Action) -> Result<(), fleet::Error> {
        use schedule::Action;
        match action {
            Action::Publish
            | Action::StoreForgets
            | Action::BadEntries
            | Action::ServerRestarts
            | Action::ServerLeaves
            | Action::ServerRecordSpoilt => {}
            Action::StoreDeaf { .. } => {
                self.fleet.store().forget();
                self.heal(&self.all());
            }
            Action::StoreRefuses { .. } | Action::StoreSilent { .. } => {
                self.fleet.store().set_mode(store::Mode::Well);
                self.heal(&self.all());
            }
            Action::StoreRestored { .. } => {
                self.repeat_lost_writes();
                self.heal(&self.all());
            }
            Action::StoreLeavesWatchesUnanswered => self.heal(&self.all()),
            Action::StoreLinksDie { routers, .. } | Action::PeerLinksDie { routers, .. } => {
                self.heal(routers);
            }
            Action::StoreCut { routers, .. } => {
                self.change_store_network(routers, |faults| faults.cut_all = false);
                self.heal(routers);
            }
            Action::StoreStalls { routers, .. } => {
                self.change_store_network(routers, |faults| faults.stalled = false);
                self.heal(routers);
            }
            Action::StoreSlow { routers, .. } => {
                self.change_store_network(routers, |faults| faults.delay_ms = 0);
                self.heal(routers);
            }
            Action::PeersCut { routers, .. } => {
                self.change_peer_network(routers, |faults| faults.cut_all = false);
                self.heal(routers);
            }
            Action::DatagramsLost { routers, .. } => {
                self.change_peer_network(routers, |faults| faults.lose_datagrams_percent = 0);
                self.heal(routers);
            }
            Action::Freeze { routers, .. } => {
                for place in routers {
                    self.fleet.signal(*place, "CONT")?;
                }
                self.heal(routers);
            }
            Action::Kill { routers, .. } => {
                for place in routers {
                    self.restart(*place)?;
                }
                self.heal(routers);
            }
            Action::LoseAll { .. } => {
                let mut order = self.all();
                order.shuffle(&mut self.rng);
                for place in order {
                    self.restart(place)?;
                }
                self.heal(&self.all());
            }
        }
        Ok(())
    }

    /// Starts a router anew, whether or not another step has done so meanwhile.
    fn restart(&mut self, place: usize) -> Result<(), fleet::Error> {
        self.fleet.kill(place)?;
        self.shared.record().restarted(place);
        self.fleet.start(place)
    }

    fn change_store_network(&self, routers: &[usize], change: impl Fn(&mut network::Faults)) {
        routers.iter().for_each(|place| self.fleet.store_network(*place).change(&change));
    }

    fn change_peer_network(&self, routers: &[usize], change: impl Fn(&mut network::Faults)) {
        routers.iter().for_each(|place| self.fleet.peer_network(*place).change(&change));
    }
}

fn kill_links(network: &network::Proxy, dead: schedule::Dead) {
    match dead {
        schedule::Dead::Silent => network.silence_connections(),
        schedule::Dead::Swallowing => network.swallow_connections(),
    }
}

fn wait_until(moment: Instant) {
    thread::sleep(moment.saturating_duration_since(Instant::now()));
}
