//! Schedules of faults and changes: a list of timed steps, generated from a seed.

use doorswitch_standins::network;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use std::fmt;

/// The time that a fleet has to start before the first fault can begin.
const STARTUP_MS: u64 = 4_000;
/// How long the fleet is observed after the last step.
const OBSERVATION_MS: u64 = 8_000;
/// The longest duration of a fault.
const FAULT_DURATION_MAX_MS: u64 = 5_000;
/// The number of partitions that are added to a schedule. Each has a service of its own, at most [`PARTITIONS_MAX`].
const PARTITIONS: std::ops::RangeInclusive<usize> = 2..=PARTITIONS_MAX;
/// The largest number of partitions of a schedule.
pub const PARTITIONS_MAX: usize = 4;
/// How long a partition lasts, in milliseconds.
const PARTITION_DURATION_MS: std::ops::RangeInclusive<u64> = 300..=9_000;

/// Routers by their indexes in the fleet.
pub type Routers = Vec<usize>;

/// How open connections fail without being closed; new connections work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionFault {
    /// No data arrives and nothing is acknowledged.
    Blackholed,
    /// Data is acknowledged and discarded.
    Discarding,
}

impl ConnectionFault {
    /// The text in the output of a run.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Blackholed => "Silent",
            Self::Discarding => "Swallowing",
        }
    }
}

impl fmt::Display for ConnectionFault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.as_str())
    }
}

/// A fault or a change of a schedule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// The operator publishes a configuration with an additional route.
    Publish,
    /// The store answers every call with 503.
    StoreUnavailable {
        /// How long the fault lasts, in milliseconds.
        for_ms: u64,
    },
    /// The store accepts calls, but never answers those that arrive or wait meanwhile.
    StoreUnresponsive {
        /// How long the fault lasts, in milliseconds.
        for_ms: u64,
    },
    /// The long polls that are open now are never answered; all other calls are.
    StoreLeavesWatchesUnanswered,
    /// The store discards its history.
    StoreDiscardsHistory,
    /// Changes are hidden from watches for a while; then the store discards its history.
    StoreHidesChanges {
        /// How long the fault lasts, in milliseconds.
        for_ms: u64,
    },
    /// The store becomes unavailable and is restored from a backup; the operator and the servers repeat lost writes.
    StoreRestored {
        /// The age of the backup when the outage begins.
        backup_age_ms: u64,
        /// How long the store is unavailable.
        outage_ms: u64,
        /// The time from the restore until lost writes are repeated; 0 if they are repeated before the first call.
        rewrite_delay_ms: u64,
        /// Whether open watches continue after the restore.
        keeps_watches: bool,
    },
    /// Another writer adds unreadable entries under the prefixes that routers follow.
    UnreadableEntries,
    /// The second server restarts under the same name at another address.
    ServerRestarts,
    /// The second server announces in its record that it is leaving.
    ServerLeaves,
    /// Another writer overwrites the record of the second server with an unreadable value.
    ServerRecordCorrupted,
    /// Open connections of these routers to the store fail.
    StoreConnectionsFail {
        /// The routers whose connections fail.
        routers: Routers,
        /// How the connections fail.
        fault: ConnectionFault,
    },
    /// The network between these routers and the store is cut, and open connections are closed.
    StoreCut {
        /// The routers that the fault affects.
        routers: Routers,
        /// How long the fault lasts, in milliseconds.
        for_ms: u64,
    },
    /// Data between these routers and the store is held and arrives afterwards.
    StoreStalls {
        /// The routers that the fault affects.
        routers: Routers,
        /// How long the fault lasts, in milliseconds.
        for_ms: u64,
    },
    /// Data between these routers and the store is delayed.
    StoreDelayed {
        /// The routers that the fault affects.
        routers: Routers,
        /// The delay that is added in each direction, in milliseconds.
        delay_ms: u64,
        /// How long the fault lasts, in milliseconds.
        for_ms: u64,
    },
    /// Open connections from peers to these routers fail.
    PeerConnectionsFail {
        /// The routers whose connections fail.
        routers: Routers,
        /// How the connections fail.
        fault: ConnectionFault,
    },
    /// The network from peers to these routers is cut.
    PeersCut {
        /// The routers that the fault affects.
        routers: Routers,
        /// How long the fault lasts, in milliseconds.
        for_ms: u64,
    },
    /// These routers cannot open connections to servers; open ones are unaffected.
    ServersCut {
        /// The routers that the fault affects.
        routers: Routers,
        /// How long the fault lasts, in milliseconds.
        for_ms: u64,
    },
    /// These routers reach neither the store nor other routers, except each other. Clients and servers are unaffected.
    Partition {
        /// The routers that the fault affects.
        routers: Routers,
        /// What happens to open connections.
        open: network::OpenConnections,
        /// How long the fault lasts, in milliseconds.
        for_ms: u64,
    },
    /// Servers of a second version join a service that had one version until then.
    VersionJoins {
        /// The index of the service among those of partitions.
        service: usize,
        /// Whether the servers of the first version leave the list at the same time.
        replaces: bool,
    },
    /// Some datagrams to these routers are lost.
    DatagramsLost {
        /// The routers that the fault affects.
        routers: Routers,
        /// The percentage of datagrams that are lost.
        percent: u64,
        /// How long the fault lasts, in milliseconds.
        for_ms: u64,
    },
    /// The processes of these routers are suspended, while their kernel still acknowledges data.
    Suspend {
        /// The routers that the fault affects.
        routers: Routers,
        /// How long the fault lasts, in milliseconds.
        for_ms: u64,
    },
    /// The processes of these routers are killed and restarted.
    Kill {
        /// The routers that the fault affects.
        routers: Routers,
        /// The time until the processes are restarted, in milliseconds.
        down_ms: u64,
    },
    /// All routers are killed right after a configuration was acknowledged, and restarted in random order.
    KillAll {
        /// The time until the processes are restarted, in milliseconds.
        down_ms: u64,
        /// Whether open connections are blackholed first, as in a loss of power.
        blackhole_first: bool,
    },
}

impl Action {
    /// The duration in milliseconds; 0 for actions that take effect at once.
    pub fn duration_ms(&self) -> u64 {
        match self {
            Self::StoreUnavailable { for_ms }
            | Self::StoreUnresponsive { for_ms }
            | Self::StoreHidesChanges { for_ms }
            | Self::StoreCut { for_ms, .. }
            | Self::StoreStalls { for_ms, .. }
            | Self::StoreDelayed { for_ms, .. }
            | Self::PeersCut { for_ms, .. }
            | Self::ServersCut { for_ms, .. }
            | Self::Partition { for_ms, .. }
            | Self::DatagramsLost { for_ms, .. }
            | Self::Suspend { for_ms, .. } => *for_ms,
            Self::StoreRestored { outage_ms, rewrite_delay_ms, .. } => outage_ms + rewrite_delay_ms,
            Self::Kill { down_ms, .. } | Self::KillAll { down_ms, .. } => *down_ms,
            Self::Publish
            | Self::StoreLeavesWatchesUnanswered
            | Self::StoreDiscardsHistory
            | Self::UnreadableEntries
            | Self::ServerRestarts
            | Self::ServerLeaves
            | Self::ServerRecordCorrupted
            | Self::VersionJoins { .. }
            | Self::StoreConnectionsFail { .. }
            | Self::PeerConnectionsFail { .. } => 0,
        }
    }
}

/// The text in the output of a run: a name and its fields.
impl fmt::Display for Action {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Publish => out.write_str("Publish"),
            Self::StoreUnavailable { for_ms } => {
                out.debug_struct("StoreRefuses").field("for_ms", for_ms).finish()
            }
            Self::StoreUnresponsive { for_ms } => {
                out.debug_struct("StoreSilent").field("for_ms", for_ms).finish()
            }
            Self::StoreLeavesWatchesUnanswered => out.write_str("StoreLeavesWatchesUnanswered"),
            Self::StoreDiscardsHistory => out.write_str("StoreForgets"),
            Self::StoreHidesChanges { for_ms } => {
                out.debug_struct("StoreDeaf").field("for_ms", for_ms).finish()
            }
            Self::StoreRestored { backup_age_ms, outage_ms, rewrite_delay_ms, keeps_watches } => {
                let mut text = out.debug_struct("StoreRestored");
                text.field("backup_age_ms", backup_age_ms).field("outage_ms", outage_ms);
                text.field("rewrite_delay_ms", rewrite_delay_ms);
                text.field("keeps_watches", keeps_watches).finish()
            }
            Self::UnreadableEntries => out.write_str("BadEntries"),
            Self::ServerRestarts => out.write_str("ServerRestarts"),
            Self::ServerLeaves => out.write_str("ServerLeaves"),
            Self::ServerRecordCorrupted => out.write_str("ServerRecordSpoilt"),
            Self::StoreConnectionsFail { routers, fault } => {
                let mut text = out.debug_struct("StoreLinksDie");
                text.field("routers", routers).field("dead", &format_args!("{fault}")).finish()
            }
            Self::StoreCut { routers, for_ms } => {
                let mut text = out.debug_struct("StoreCut");
                text.field("routers", routers).field("for_ms", for_ms).finish()
            }
            Self::StoreStalls { routers, for_ms } => {
                let mut text = out.debug_struct("StoreStalls");
                text.field("routers", routers).field("for_ms", for_ms).finish()
            }
            Self::StoreDelayed { routers, delay_ms, for_ms } => {
                let mut text = out.debug_struct("StoreSlow");
                text.field("routers", routers).field("delay_ms", delay_ms);
                text.field("for_ms", for_ms).finish()
            }
            Self::PeerConnectionsFail { routers, fault } => {
                let mut text = out.debug_struct("PeerLinksDie");
                text.field("routers", routers).field("dead", &format_args!("{fault}")).finish()
            }
            Self::PeersCut { routers, for_ms } => {
                let mut text = out.debug_struct("PeersCut");
                text.field("routers", routers).field("for_ms", for_ms).finish()
            }
            Self::ServersCut { routers, for_ms } => {
                let mut text = out.debug_struct("ServersCut");
                text.field("routers", routers).field("for_ms", for_ms).finish()
            }
            Self::Partition { routers, open, for_ms } => {
                let mut text = out.debug_struct("Partition");
                text.field("routers", routers).field("open", open);
                text.field("for_ms", for_ms).finish()
            }
            Self::VersionJoins { service, replaces } => {
                let mut text = out.debug_struct("VersionJoins");
                text.field("service", service).field("replaces", replaces).finish()
            }
            Self::DatagramsLost { routers, percent, for_ms } => {
                let mut text = out.debug_struct("DatagramsLost");
                text.field("routers", routers).field("percent", percent);
                text.field("for_ms", for_ms).finish()
            }
            Self::Suspend { routers, for_ms } => {
                let mut text = out.debug_struct("Freeze");
                text.field("routers", routers).field("for_ms", for_ms).finish()
            }
            Self::Kill { routers, down_ms } => {
                let mut text = out.debug_struct("Kill");
                text.field("routers", routers).field("down_ms", down_ms).finish()
            }
            Self::KillAll { down_ms, blackhole_first } => {
                let mut text = out.debug_struct("LoseAll");
                text.field("down_ms", down_ms).field("silent", blackhole_first).finish()
            }
        }
    }
}

/// One step of a schedule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Identifies the step within its schedule.
    pub number: usize,
    /// When the action begins, in milliseconds from the start of the run.
    pub at_ms: u64,
    /// The fault or change that begins with this step.
    pub action: Action,
}

impl fmt::Display for Step {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "step={} at_ms={} action={}", self.number, self.at_ms, self.action)
    }
}

/// The steps of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Schedule {
    /// The steps in order of time.
    pub steps: Vec<Step>,
    /// When the run ends, in milliseconds from its start.
    pub ends_ms: u64,
}

impl Schedule {
    /// Creates a schedule with the actions in order of time, numbered from 0.
    pub fn from_actions(mut actions: Vec<(u64, Action)>) -> Self {
        actions.sort_by_key(|(at_ms, _)| *at_ms);
        let end_times_ms = actions.iter().map(|(at_ms, action)| at_ms + action.duration_ms());
        let ends_ms = end_times_ms.max().unwrap_or(STARTUP_MS) + OBSERVATION_MS;
        let steps = actions.into_iter().enumerate();
        let steps = steps.map(|(number, (at_ms, action))| Step { number, at_ms, action });
        Self { steps: steps.collect(), ends_ms }
    }

    /// Generates the schedule of a seed: faults over `for_ms` that may overlap, configuration changes after each and
    /// during some of them, and in most schedules a kill of all routers.
    pub fn generate(seed: u64, routers: usize, for_ms: u64) -> Self {
        let mut generator =
            Generator { rng: StdRng::seed_from_u64(seed), routers, actions: Vec::new() };
        let last_ms = STARTUP_MS + for_ms;
        for _ in 0..generator.rng.random_range(2..=6) {
            let at_ms = generator.rng.random_range(STARTUP_MS..last_ms);
            let action = generator.random_fault();
            generator.push_with_publishes(at_ms, action);
        }
        if generator.rng.random_bool(0.7) {
            let at_ms = generator.rng.random_range(STARTUP_MS + for_ms / 2..last_ms);
            let (down_ms, blackhole_first) =
                (generator.rng.random_range(200..1_500), generator.rng.random_bool(0.5));
            generator.push_with_publishes(at_ms, Action::KillAll { down_ms, blackhole_first });
        }
        Self::from_actions(generator.actions)
    }

    /// Adds actions of other writers and of a server over `for_ms`, drawn from a separate generator.
    pub fn with_writers(self, seed: u64, for_ms: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(!seed);
        let mut actions: Vec<(u64, Action)> =
            self.steps.into_iter().map(|step| (step.at_ms, step.action)).collect();
        for _ in 0..rng.random_range(2..=8) {
            let at_ms = rng.random_range(STARTUP_MS..STARTUP_MS + for_ms);
            let action = match rng.random_range(0..8) {
                0 => Action::StoreHidesChanges { for_ms: rng.random_range(200..1_500) },
                1 => Action::UnreadableEntries,
                2 | 3 => Action::ServerLeaves,
                4 => Action::ServerRecordCorrupted,
                _ => Action::ServerRestarts,
            };
            let during_ms = at_ms + rng.random_range(0..=action.duration_ms());
            actions.push((at_ms, action));
            actions.push((during_ms, Action::Publish));
        }
        Self::from_actions(actions)
    }

    /// Adds cuts between routers and servers over `for_ms`, drawn from a separate generator. They may overlap.
    pub fn with_server_cuts(self, seed: u64, routers: usize, for_ms: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed ^ 0xc07);
        let mut generator = Generator { rng, routers, actions: Vec::new() };
        for _ in 0..generator.rng.random_range(2..=6) {
            let at_ms = generator.rng.random_range(STARTUP_MS..STARTUP_MS + for_ms);
            let for_ms = generator.rng.random_range(200..=FAULT_DURATION_MAX_MS);
            let routers = generator.random_routers();
            generator.push_with_publishes(at_ms, Action::ServersCut { routers, for_ms });
        }
        let steps = self.steps.into_iter().map(|step| (step.at_ms, step.action));
        Self::from_actions(steps.chain(generator.actions).collect())
    }

    /// Adds partitions over `for_ms`, drawn from a separate generator, and during each of them servers of a second
    /// version of one service. They may overlap.
    pub fn with_partitions(self, seed: u64, routers: usize, for_ms: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed ^ 0x9a7);
        let mut generator = Generator { rng, routers, actions: Vec::new() };
        let count = generator.rng.random_range(PARTITIONS);
        for service in 0..count {
            let share_ms = for_ms / count as u64;
            let first_ms = STARTUP_MS + service as u64 * share_ms;
            let at_ms = generator.rng.random_range(first_ms..first_ms + share_ms);
            let for_ms = generator.rng.random_range(PARTITION_DURATION_MS);
            let routers = generator.random_partition();
            let open = match generator.rng.random_bool(0.5) {
                true => network::OpenConnections::Silent,
                false => network::OpenConnections::Reset,
            };
            generator.push_with_publishes(at_ms, Action::Partition { routers, open, for_ms });
            let joins_ms = at_ms + generator.rng.random_range(0..=for_ms / 2);
            let replaces = generator.rng.random_bool(0.5);
            generator.actions.push((joins_ms, Action::VersionJoins { service, replaces }));
        }
        let steps = self.steps.into_iter().map(|step| (step.at_ms, step.action));
        Self::from_actions(steps.chain(generator.actions).collect())
    }

    /// Whether servers of a second version join during a partition.
    pub fn has_partitions(&self) -> bool {
        let mut actions = self.steps.iter().map(|step| &step.action);
        actions.any(|action| matches!(action, Action::VersionJoins { .. }))
    }

    /// Adds restores of the store over `for_ms`, drawn from a separate generator. They may overlap.
    pub fn with_restores(self, seed: u64, for_ms: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ 0xe7a);
        let mut actions: Vec<(u64, Action)> =
            self.steps.into_iter().map(|step| (step.at_ms, step.action)).collect();
        for _ in 0..rng.random_range(1..=4) {
            let at_ms = rng.random_range(STARTUP_MS..STARTUP_MS + for_ms);
            let action = Action::StoreRestored {
                backup_age_ms: rng.random_range(100..4_000),
                outage_ms: rng.random_range(100..2_500),
                rewrite_delay_ms: if rng.random_bool(0.5) {
                    0
                } else {
                    rng.random_range(50..1_500)
                },
                keeps_watches: rng.random_bool(0.5),
            };
            let end_ms = at_ms + action.duration_ms();
            actions.push((at_ms, action));
            for _ in 0..rng.random_range(1..=3) {
                let published_ms = at_ms.saturating_sub(rng.random_range(0..2_000));
                actions.push((published_ms, Action::Publish));
                actions.push((end_ms + rng.random_range(0..3_000), Action::Publish));
            }
            if rng.random_bool(0.7) {
                let leaves_ms = end_ms + rng.random_range(0..2_000);
                actions.push((leaves_ms, Action::ServerLeaves));
                actions.push((leaves_ms + 3_500, Action::ServerRestarts));
            }
        }
        Self::from_actions(actions)
    }

    /// The predefined schedule of this name; `None` if there is none.
    pub fn named(name: &str, routers: usize) -> Option<Self> {
        let all_routers: Routers = (0..routers).collect();
        let kill_all = (5_000, Action::KillAll { down_ms: 500, blackhole_first: true });
        let publishes =
            [8_000, 11_000, 12_000, 13_000, 14_000].map(|at_ms| (at_ms, Action::Publish));
        let actions = match name {
            "loss-of-all" => vec![kill_all],
            "loss-of-all-then-silent-store" => {
                vec![kill_all, (9_300, Action::StoreUnresponsive { for_ms: 1_500 })]
            }
            "loss-of-all-then-one-call-unanswered" => {
                vec![kill_all, (10_500, Action::StoreLeavesWatchesUnanswered)]
            }
            "loss-of-all-then-one-router-s-connections-silent" => {
                let routers = vec![routers - 1];
                let fault = ConnectionFault::Blackholed;
                vec![
                    kill_all,
                    (10_500, Action::StoreConnectionsFail { routers, fault }),
                    (10_500, Action::PeerConnectionsFail { routers: all_routers, fault }),
                ]
            }
            _ => return None,
        };
        Some(Self::from_actions(actions.into_iter().chain(publishes).collect()))
    }

    /// Removes all steps except those with these numbers.
    pub fn only(mut self, numbers: &[usize]) -> Self {
        self.steps.retain(|step| numbers.contains(&step.number));
        self
    }
}

/// A schedule while it is generated.
struct Generator {
    rng: StdRng,
    routers: usize,
    actions: Vec<(u64, Action)>,
}

impl Generator {
    fn push_with_publishes(&mut self, at_ms: u64, action: Action) {
        let end_ms = at_ms + action.duration_ms();
        self.actions.push((at_ms, action));
        if self.rng.random_bool(0.4) {
            let during_ms = self.rng.random_range(at_ms..=end_ms);
            self.actions.push((during_ms, Action::Publish));
        }
        for _ in 0..self.rng.random_range(1..=3) {
            let after_ms = end_ms + self.rng.random_range(50..4_000);
            self.actions.push((after_ms, Action::Publish));
        }
    }

    /// Draws a set of routers: all, one, or a random number of them.
    fn random_routers(&mut self) -> Routers {
        let all_routers: Routers = (0..self.routers).collect();
        let count = match self.rng.random_range(0..3) {
            0 => self.routers,
            1 => 1,
            _ => self.rng.random_range(1..=self.routers),
        };
        all_routers.sample(&mut self.rng, count).copied().collect()
    }

    /// Draws the routers of a partition: one, a few, half, or all but one.
    fn random_partition(&mut self) -> Routers {
        let all_routers: Routers = (0..self.routers).collect();
        let count = match self.rng.random_range(0..4) {
            0 => 1,
            1 => self.rng.random_range(2..=3),
            2 => self.routers / 2,
            _ => self.routers - 1,
        };
        let count = count.min(self.routers - 1).max(1);
        all_routers.sample(&mut self.rng, count).copied().collect()
    }

    fn random_connection_fault(&mut self) -> ConnectionFault {
        match self.rng.random_bool(0.5) {
            true => ConnectionFault::Blackholed,
            false => ConnectionFault::Discarding,
        }
    }

    fn random_fault(&mut self) -> Action {
        let for_ms = self.rng.random_range(300..=FAULT_DURATION_MAX_MS);
        let (routers, fault) = (self.random_routers(), self.random_connection_fault());
        match self.rng.random_range(0..13) {
            0 => Action::StoreUnavailable { for_ms },
            1 | 2 => Action::StoreUnresponsive { for_ms },
            3 => Action::StoreLeavesWatchesUnanswered,
            4 => Action::StoreDiscardsHistory,
            5 => Action::StoreConnectionsFail { routers, fault },
            6 => Action::StoreCut { routers, for_ms },
            7 => Action::StoreStalls { routers, for_ms },
            8 => {
                let delay_ms = self.rng.random_range(20..400);
                Action::StoreDelayed { routers, delay_ms, for_ms }
            }
            9 => Action::PeerConnectionsFail { routers, fault },
            10 => Action::PeersCut { routers, for_ms },
            11 => {
                let percent = self.rng.random_range(5..=100);
                Action::DatagramsLost { routers, percent, for_ms }
            }
            _ if self.rng.random_bool(0.5) => Action::Suspend { routers, for_ms },
            _ => Action::Kill { routers, down_ms: for_ms },
        }
    }
}
