//! What schedules are drawn from seeds. Guards against partitions that change the other faults of a seed, and against ones
//! that cannot show a router that missed a version.

#![allow(clippy::unwrap_used, missing_docs)]

use doorswitch_soak::schedule::{Action, PARTITIONS_MAX, Schedule, Step};
use doorswitch_standins::network::OpenConnections;
use std::collections::HashSet;

const SEEDS: std::ops::Range<u64> = 0..300;
const ROUTERS: usize = 8;
const FAULTS_BEGIN_WITHIN_MS: u64 = 20_000;

fn without_partitions(seed: u64) -> Schedule {
    Schedule::generate(seed, ROUTERS, FAULTS_BEGIN_WITHIN_MS)
        .with_writers(seed, FAULTS_BEGIN_WITHIN_MS)
}

fn with_partitions(seed: u64) -> Schedule {
    without_partitions(seed).with_partitions(seed, ROUTERS, FAULTS_BEGIN_WITHIN_MS)
}

#[test]
fn partitions_are_added_to_the_steps_of_a_seed_which_stay() {
    for seed in SEEDS {
        let added = with_partitions(seed).steps;
        let mut added = added.into_iter();
        for Step { at_ms, action, .. } in without_partitions(seed).steps {
            let stays = added.any(|step| step.at_ms == at_ms && step.action == action);
            assert!(stays, "seed {seed} lacks {action} at {at_ms} ms");
        }
    }
}

#[test]
fn a_version_joins_during_each_partition_and_a_router_stays_in_touch() {
    for seed in SEEDS {
        let steps = with_partitions(seed).steps;
        let mut services = HashSet::new();
        let joins: Vec<u64> = steps
            .iter()
            .filter_map(|step| match step.action {
                Action::VersionJoins { service, .. } => {
                    assert!(service < PARTITIONS_MAX && services.insert(service), "seed {seed}");
                    Some(step.at_ms)
                }
                _ => None,
            })
            .collect();
        let mut partitions = 0;
        for step in &steps {
            let Action::Partition { routers, for_ms, .. } = &step.action else { continue };
            partitions += 1;
            assert!((300..=9_000).contains(for_ms), "seed {seed} has {}", step.action);
            assert!(!routers.is_empty() && routers.len() < ROUTERS, "seed {seed}: {routers:?}");
            let during = step.at_ms..=step.at_ms + for_ms;
            assert!(joins.iter().any(|at_ms| during.contains(at_ms)), "seed {seed}: {step}");
        }
        assert!(partitions >= 2 && partitions == joins.len(), "seed {seed}");
    }
}

#[test]
fn partitions_separate_one_router_a_few_half_and_all_but_one_silently_and_by_resets() {
    let drawn: HashSet<(usize, bool)> = SEEDS
        .flat_map(|seed| with_partitions(seed).steps)
        .filter_map(|step| match step.action {
            Action::Partition { routers, open, .. } => {
                Some((routers.len(), open == OpenConnections::Reset))
            }
            _ => None,
        })
        .collect();
    let sizes = [1, 2, 3, ROUTERS / 2, ROUTERS - 1];
    let expected = sizes.into_iter().flat_map(|size| [(size, false), (size, true)]);
    assert_eq!(drawn, expected.collect());
}
