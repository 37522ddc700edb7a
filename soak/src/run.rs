//! Runs a schedule against a fleet and reports the results.

use crate::{
    directives, fleet, late_copies, limited, observe, partitions, poison, prober, schedule,
    versions,
};
use doorswitch_standins::{network, store};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The options of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program of the routers.
    pub binary: PathBuf,
    /// The folder for settings and logs.
    pub folder: PathBuf,
    /// The number of routers.
    pub routers: usize,
    /// The second and third byte of the fleet's loopback addresses, which keep it apart from other fleets on this
    /// machine.
    pub net: [u8; 2],
    /// The seed of the order in which processes start.
    pub seed: u64,
}

/// The results of a run.
#[derive(Debug)]
pub struct Report {
    /// All violations of guarantees that clients have observed.
    pub violations: Vec<observe::Violation>,
    /// The number of probes by status of their answers; 0 stands for no answer.
    pub statuses: Vec<(u16, u64)>,
    /// When the run of the schedule began, after the fleet was started.
    pub began: Instant,
    /// Routers whose processes ended unexpectedly.
    pub ended: Vec<usize>,
    /// Results of the requests that crash servers.
    pub poison: poison::Summary,
    /// Results of the requests with a prompt part that crashes servers.
    pub poison_parts: poison::Summary,
    /// Results of the servers that announce rate limits.
    pub limited: limited::Summary,
    /// Results of the servers that announce that they are leaving, or request backoffs.
    pub directives: directives::Summary,
    /// Results of the streams of servers of several software versions.
    pub versions: versions::Summary,
    /// Results of the servers that send late copies of their answers.
    pub late_copies: late_copies::Summary,
    /// Results of the streams that are taken up at separated routers; `None` if the schedule has no partitions.
    pub partitions: Option<partitions::Summary>,
}

/// A timed event of a run.
enum Event {
    /// Takes the backup that the step of this number restores.
    TakeBackup(usize),
    /// Restores the backup of the step of this number.
    RestoreBackup(usize, schedule::Action),
    BeginAction(schedule::Action),
    EndAction(schedule::Action),
}

struct Run {
    fleet: fleet::Fleet,
    /// The number of the current incarnation of the second server.
    second_server_incarnation: usize,
    shared: Arc<prober::Shared>,
    /// Backups by the numbers of the steps that restore them.
    backups: HashMap<usize, store::Backup>,
    /// The store's state before and after the latest restore, kept until the lost writes are repeated.
    pending_rewrite: Option<(store::Backup, store::Backup)>,
    /// The partitions that are in force.
    active_partitions: Vec<fleet::Partition>,
    /// The servers and clients for partitions, if the schedule has any.
    partitions: Option<partitions::Partitions>,
    rng: StdRng,
}

/// Starts a fleet, runs a schedule against it and stops the fleet.
pub fn run(options: &Options, schedule: &schedule::Schedule) -> Result<Report, fleet::Error> {
    let Options { binary, folder, routers, net, seed } = options;
    let mut fleet = fleet::Fleet::prepare(binary, folder, *routers, *net)?;
    let shared = prober::Shared::new(observe::Observations::new(*routers));
    if schedule.has_partitions() {
        fleet.add_partition_services();
    }
    let version = fleet.publish();
    shared.observations().acknowledge(version);
    // The first incarnations of the servers have the numbers 0 and 1.
    let rng = StdRng::seed_from_u64(*seed);
    let backups = HashMap::new();
    let mut run = Run {
        fleet,
        second_server_incarnation: 1,
        shared,
        backups,
        pending_rewrite: None,
        active_partitions: Vec::new(),
        partitions: None,
        rng,
    };
    run.start_all()?;
    let probers: Vec<thread::JoinHandle<()>> = (0..*routers)
        .map(|index| prober::start(index, run.fleet.clients_address(index), run.shared.clone()))
        .collect();
    let store = run.fleet.store().clone();
    let clients: Vec<SocketAddr> =
        (0..*routers).map(|index| run.fleet.clients_address(index)).collect();
    let limited = limited::start(&store, clients.clone(), run.shared.clone(), *seed)?;
    let directives = directives::start(store.clone(), clients.clone(), run.shared.clone(), *seed)?;
    let versions = versions::start(store.clone(), clients.clone(), run.shared.clone(), *seed)?;
    let late_copies = late_copies::start(&store, clients.clone(), run.shared.clone(), *seed)?;
    if schedule.has_partitions() {
        let started = partitions::start(store.clone(), clients.clone(), run.shared.clone(), *seed)?;
        run.partitions = Some(started);
    }
    let poison_parts = poison::Poison::Part;
    let poison_parts =
        poison::start(poison_parts, store.clone(), clients.clone(), run.shared.clone())?;
    let poison = poison::start(poison::Poison::Request, store, clients, run.shared.clone())?;
    let began = Instant::now();
    let executed = run.execute(schedule, began);
    run.shared.end();
    for prober in probers {
        let _ = prober.join();
    }
    let poison = poison.join().unwrap_or_default();
    let poison_parts = poison_parts.join().unwrap_or_default();
    let limited = limited.join().unwrap_or_default();
    let directives = directives.join().unwrap_or_default();
    let versions = versions.join().unwrap_or_default();
    let late_copies = late_copies.join().unwrap_or_default();
    let partitions = run.partitions.take().map(partitions::Partitions::join);
    let ended = run.fleet.unexpectedly_ended().into_iter().collect();
    executed?;
    let observations = run.shared.observations();
    Ok(Report {
        violations: observations.violations().to_vec(),
        statuses: observations.statuses(),
        began,
        ended,
        poison,
        poison_parts,
        limited,
        directives,
        versions,
        late_copies,
        partitions,
    })
}

impl Run {
    fn execute(
        &mut self,
        schedule: &schedule::Schedule,
        began: Instant,
    ) -> Result<(), fleet::Error> {
        let mut events: Vec<(u64, Event)> = Vec::new();
        for step in &schedule.steps {
            let duration_ms = step.action.duration_ms();
            if let schedule::Action::StoreRestored { backup_age_ms, outage_ms, .. } = &step.action {
                let backed_up_ms = step.at_ms.saturating_sub(*backup_age_ms);
                events.push((backed_up_ms, Event::TakeBackup(step.number)));
                let action = step.action.clone();
                events.push((step.at_ms + outage_ms, Event::RestoreBackup(step.number, action)));
            }
            events.push((step.at_ms, Event::BeginAction(step.action.clone())));
            events.push((step.at_ms + duration_ms, Event::EndAction(step.action.clone())));
        }
        // The sort is stable, so that an action without duration begins before it ends.
        events.sort_by_key(|(at_ms, _)| *at_ms);
        for (at_ms, event) in events {
            wait_until(began + Duration::from_millis(at_ms));
            match event {
                Event::TakeBackup(number) => {
                    self.backups.insert(number, self.fleet.store().back_up());
                }
                Event::RestoreBackup(number, action) => self.restore(number, &action),
                Event::BeginAction(action) => self.begin(&action)?,
                Event::EndAction(action) => self.end(&action)?,
            }
        }
        wait_until(began + Duration::from_millis(schedule.ends_ms));
        Ok(())
    }

    fn begin_fault(&self, routers: &[usize]) {
        routers.iter().for_each(|index| self.shared.observations().begin_fault(*index));
    }

    fn end_fault(&self, routers: &[usize]) {
        routers.iter().for_each(|index| self.shared.observations().end_fault(*index));
    }

    fn all_routers(&self) -> Vec<usize> {
        (0..self.fleet.routers()).collect()
    }

    fn start_all(&mut self) -> Result<(), fleet::Error> {
        let mut order = self.all_routers();
        order.shuffle(&mut self.rng);
        self.fleet.start_all(&order)
    }

    fn publish(&mut self) {
        let version = self.fleet.publish();
        self.shared.observations().acknowledge(version);
    }

    fn begin(&mut self, action: &schedule::Action) -> Result<(), fleet::Error> {
        use schedule::Action;
        match action {
            Action::Publish => self.publish(),
            Action::StoreUnavailable { .. } | Action::StoreRestored { .. } => {
                self.begin_fault(&self.all_routers());
                self.fleet.store().set_mode(store::Mode::Down);
            }
            Action::StoreUnresponsive { .. } => {
                self.begin_fault(&self.all_routers());
                self.fleet.store().leave_open_watches_unanswered();
                self.fleet.store().set_mode(store::Mode::Silent);
            }
            Action::StoreLeavesWatchesUnanswered => {
                self.begin_fault(&self.all_routers());
                self.fleet.store().leave_open_watches_unanswered();
            }
            Action::StoreDiscardsHistory => self.fleet.store().discard_history(),
            Action::StoreHidesChanges { .. } => {
                self.begin_fault(&self.all_routers());
                self.fleet.store().hide_changes();
            }
            Action::UnreadableEntries => self.fleet.put_unreadable_entries(),
            Action::ServerRestarts => {
                let ended = self.second_server_incarnation;
                self.shared.observations().record_server_restart(Instant::now());
                self.second_server_incarnation = self.fleet.start_server(fleet::SECOND_SERVER)?;
                self.shared.observations().end_server_incarnation(ended);
            }
            Action::ServerLeaves => {
                self.fleet.record_server(
                    fleet::SECOND_SERVER,
                    self.second_server_incarnation,
                    "draining",
                );
                self.shared.observations().end_server_incarnation(self.second_server_incarnation);
            }
            Action::ServerRecordCorrupted => {
                self.fleet.corrupt_record(fleet::SECOND_SERVER);
                self.shared.observations().end_server_incarnation(self.second_server_incarnation);
            }
            Action::StoreConnectionsFail { routers, fault } => {
                self.begin_fault(routers);
                for index in routers {
                    fail_connections(self.fleet.store_network(*index), *fault);
                }
            }
            Action::StoreCut { routers, .. } => {
                self.begin_fault(routers);
                self.change_store_network(routers, |faults| faults.cut_all = true);
            }
            Action::StoreStalls { routers, .. } => {
                self.begin_fault(routers);
                self.change_store_network(routers, |faults| faults.stalled = true);
            }
            Action::StoreDelayed { routers, delay_ms, .. } => {
                self.begin_fault(routers);
                self.change_store_network(routers, |faults| faults.delay_ms = *delay_ms);
            }
            Action::PeerConnectionsFail { routers, fault } => {
                self.begin_fault(routers);
                for index in routers {
                    fail_connections(self.fleet.peer_network(*index), *fault);
                }
            }
            Action::PeersCut { routers, .. } => {
                self.begin_fault(routers);
                self.change_peer_network(routers, |faults| faults.cut_all = true);
            }
            Action::ServersCut { routers, .. } => {
                self.begin_fault(routers);
                self.fleet.cut_from_servers(routers);
            }
            Action::Partition { routers, open, .. } => {
                self.begin_fault(routers);
                let partition = fleet::Partition { routers: routers.clone(), open: *open };
                self.active_partitions.push(partition);
                self.apply_partitions();
            }
            Action::VersionJoins { service, replaces } => {
                if let Some(partitions) = &mut self.partitions {
                    partitions.release(*service, *replaces)?;
                }
            }
            Action::DatagramsLost { routers, percent, .. } => {
                self.begin_fault(routers);
                self.change_peer_network(routers, |faults| {
                    faults.lose_datagrams_percent = *percent;
                });
            }
            Action::Suspend { routers, .. } => {
                self.begin_fault(routers);
                for index in routers {
                    self.fleet.signal(*index, "STOP")?;
                }
            }
            Action::Kill { routers, .. } => {
                self.begin_fault(routers);
                for index in routers {
                    self.fleet.kill(*index)?;
                }
            }
            Action::KillAll { blackhole_first, .. } => self.kill_all(*blackhole_first)?,
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
        // Lost writes of an earlier restore that have not been repeated yet are repeated with those of this restore.
        let before = self
            .pending_rewrite
            .take()
            .map_or(before.clone(), |(lost, after)| before.with_lost_writes(&lost, &after));
        self.pending_rewrite = Some((before, backup));
        if *rewrite_delay_ms == 0 {
            self.repeat_lost_writes();
        }
        self.fleet.store().set_mode(store::Mode::Normal);
    }

    /// Repeats the writes of the operator and the servers that restores lost.
    fn repeat_lost_writes(&mut self) {
        if let Some((before, after)) = self.pending_rewrite.take() {
            self.fleet.store().repeat_lost_writes(&before, &after);
        }
    }

    /// Kills every router just after a configuration was acknowledged.
    fn kill_all(&mut self, blackhole_first: bool) -> Result<(), fleet::Error> {
        self.begin_fault(&self.all_routers());
        self.publish();
        thread::sleep(Duration::from_millis(self.rng.random_range(0..40)));
        for index in self.all_routers() {
            if blackhole_first {
                self.fleet.store_network(index).blackhole_connections();
                self.fleet.peer_network(index).blackhole_connections();
            }
            self.fleet.kill(index)?;
        }
        self.shared.record_loss();
        Ok(())
    }

    fn end(&mut self, action: &schedule::Action) -> Result<(), fleet::Error> {
        use schedule::Action;
        match action {
            Action::Publish
            | Action::StoreDiscardsHistory
            | Action::UnreadableEntries
            | Action::ServerRestarts
            | Action::ServerLeaves
            | Action::ServerRecordCorrupted
            | Action::VersionJoins { .. } => {}
            Action::StoreHidesChanges { .. } => {
                self.fleet.store().discard_history();
                self.end_fault(&self.all_routers());
            }
            Action::StoreUnavailable { .. } | Action::StoreUnresponsive { .. } => {
                self.fleet.store().set_mode(store::Mode::Normal);
                self.end_fault(&self.all_routers());
            }
            Action::StoreRestored { .. } => {
                self.repeat_lost_writes();
                self.end_fault(&self.all_routers());
            }
            Action::StoreLeavesWatchesUnanswered => self.end_fault(&self.all_routers()),
            Action::StoreConnectionsFail { routers, .. }
            | Action::PeerConnectionsFail { routers, .. } => {
                self.end_fault(routers);
            }
            Action::StoreCut { routers, .. } => {
                self.change_store_network(routers, |faults| faults.cut_all = false);
                self.end_fault(routers);
            }
            Action::StoreStalls { routers, .. } => {
                self.change_store_network(routers, |faults| faults.stalled = false);
                self.end_fault(routers);
            }
            Action::StoreDelayed { routers, .. } => {
                self.change_store_network(routers, |faults| faults.delay_ms = 0);
                self.end_fault(routers);
            }
            Action::PeersCut { routers, .. } => {
                self.change_peer_network(routers, |faults| faults.cut_all = false);
                self.end_fault(routers);
            }
            Action::ServersCut { routers, .. } => {
                self.fleet.reconnect_to_servers(routers);
                self.end_fault(routers);
            }
            Action::Partition { routers, open, .. } => {
                let ended = fleet::Partition { routers: routers.clone(), open: *open };
                let mut active = self.active_partitions.iter();
                if let Some(index) = active.position(|partition| *partition == ended) {
                    self.active_partitions.remove(index);
                }
                self.apply_partitions();
                self.end_fault(routers);
            }
            Action::DatagramsLost { routers, .. } => {
                self.change_peer_network(routers, |faults| faults.lose_datagrams_percent = 0);
                self.end_fault(routers);
            }
            Action::Suspend { routers, .. } => {
                for index in routers {
                    self.fleet.signal(*index, "CONT")?;
                }
                self.end_fault(routers);
            }
            Action::Kill { routers, .. } => {
                for index in routers {
                    self.restart(*index)?;
                }
                self.end_fault(routers);
            }
            Action::KillAll { .. } => {
                let mut order = self.all_routers();
                order.shuffle(&mut self.rng);
                for index in order {
                    self.restart(index)?;
                }
                self.end_fault(&self.all_routers());
            }
        }
        Ok(())
    }

    /// Restarts a router, also if another step has already restarted it.
    fn restart(&mut self, index: usize) -> Result<(), fleet::Error> {
        self.fleet.kill(index)?;
        self.shared.observations().router_restarted(index);
        self.fleet.start(index)
    }

    fn apply_partitions(&self) {
        self.fleet.set_partitions(&self.active_partitions);
        if let Some(partitions) = &self.partitions {
            let routers = self.active_partitions.iter().flat_map(|partition| &partition.routers);
            let separated: BTreeSet<usize> = routers.copied().collect();
            partitions.set_separated(&separated.into_iter().collect::<Vec<_>>());
        }
    }

    fn change_store_network(&self, routers: &[usize], change: impl Fn(&mut network::Faults)) {
        routers.iter().for_each(|index| self.fleet.store_network(*index).change(&change));
    }

    fn change_peer_network(&self, routers: &[usize], change: impl Fn(&mut network::Faults)) {
        routers.iter().for_each(|index| self.fleet.peer_network(*index).change(&change));
    }
}

fn fail_connections(network: &network::Proxy, fault: schedule::ConnectionFault) {
    match fault {
        schedule::ConnectionFault::Blackholed => network.blackhole_connections(),
        schedule::ConnectionFault::Discarding => network.discard_connection_data(),
    }
}

fn wait_until(time: Instant) {
    thread::sleep(time.saturating_duration_since(Instant::now()));
}
