//! The texts of actions and violations in the output of a run, which operators and tools match.

#![allow(missing_docs)]

use doorswitch_soak::observe::ViolationKind;
use doorswitch_soak::schedule::{Action, ConnectionFault, Schedule};
use doorswitch_standins::network::OpenConnections;

fn printed(action: Action) -> String {
    let schedule = Schedule::from_actions(vec![(5, action)]);
    schedule.steps.iter().map(ToString::to_string).collect()
}

#[test]
fn every_action_is_printed_under_its_name_with_its_fields() {
    let routers = || vec![0, 2];
    let blackholed = ConnectionFault::Blackholed;
    let discarding = ConnectionFault::Discarding;
    let for_ms = 7;
    let texts = [
        (Action::Publish, "Publish"),
        (Action::StoreUnavailable { for_ms }, "StoreRefuses { for_ms: 7 }"),
        (Action::StoreUnresponsive { for_ms }, "StoreSilent { for_ms: 7 }"),
        (Action::StoreLeavesWatchesUnanswered, "StoreLeavesWatchesUnanswered"),
        (Action::StoreDiscardsHistory, "StoreForgets"),
        (Action::StoreHidesChanges { for_ms }, "StoreDeaf { for_ms: 7 }"),
        (
            Action::StoreRestored {
                backup_age_ms: 1,
                outage_ms: 2,
                rewrite_delay_ms: 3,
                keeps_watches: true,
            },
            "StoreRestored { backup_age_ms: 1, outage_ms: 2, rewrite_delay_ms: 3, keeps_watches: true }",
        ),
        (Action::UnreadableEntries, "BadEntries"),
        (Action::ServerRestarts, "ServerRestarts"),
        (Action::ServerLeaves, "ServerLeaves"),
        (Action::ServerRecordCorrupted, "ServerRecordSpoilt"),
        (
            Action::StoreConnectionsFail { routers: routers(), fault: blackholed },
            "StoreLinksDie { routers: [0, 2], dead: Silent }",
        ),
        (
            Action::StoreCut { routers: routers(), for_ms },
            "StoreCut { routers: [0, 2], for_ms: 7 }",
        ),
        (
            Action::StoreStalls { routers: routers(), for_ms },
            "StoreStalls { routers: [0, 2], for_ms: 7 }",
        ),
        (
            Action::StoreDelayed { routers: routers(), delay_ms: 4, for_ms },
            "StoreSlow { routers: [0, 2], delay_ms: 4, for_ms: 7 }",
        ),
        (
            Action::PeerConnectionsFail { routers: routers(), fault: discarding },
            "PeerLinksDie { routers: [0, 2], dead: Swallowing }",
        ),
        (
            Action::PeersCut { routers: routers(), for_ms },
            "PeersCut { routers: [0, 2], for_ms: 7 }",
        ),
        (
            Action::Partition { routers: routers(), open: OpenConnections::Reset, for_ms },
            "Partition { routers: [0, 2], open: Reset, for_ms: 7 }",
        ),
        (
            Action::VersionJoins { service: 1, replaces: true },
            "VersionJoins { service: 1, replaces: true }",
        ),
        (
            Action::DatagramsLost { routers: routers(), percent: 40, for_ms },
            "DatagramsLost { routers: [0, 2], percent: 40, for_ms: 7 }",
        ),
        (Action::Suspend { routers: routers(), for_ms }, "Freeze { routers: [0, 2], for_ms: 7 }"),
        (Action::Kill { routers: routers(), down_ms: 8 }, "Kill { routers: [0, 2], down_ms: 8 }"),
        (
            Action::KillAll { down_ms: 8, blackhole_first: false },
            "LoseAll { down_ms: 8, silent: false }",
        ),
    ];
    for (action, text) in texts {
        assert_eq!(printed(action), format!("step=0 at_ms=5 action={text}"));
    }
}

#[test]
fn every_violation_is_printed_under_its_name_and_in_order() {
    let texts = [
        (ViolationKind::ConfigurationStale, "Stale"),
        (ViolationKind::ConfigurationReverted, "Reverted"),
        (ViolationKind::RouterUnready, "Unready"),
        (ViolationKind::RequestToEndedServer, "EarlierLife"),
        (ViolationKind::PoisonRequestSent, "PoisonSent"),
        (ViolationKind::HarmlessRequestQuarantined, "InnocentKept"),
        (ViolationKind::LimitExceeded, "LimitExceeded"),
        (ViolationKind::RefusedWithFreeServer, "RefusedBesideFree"),
        (ViolationKind::SentToLeavingServer, "SentToLeaving"),
        (ViolationKind::SentDuringBackoff, "SentInBackoff"),
        (ViolationKind::StreamOfTwoVersions, "StreamOfTwoVersions"),
        (ViolationKind::RefusedButExecuted, "RefusedButExecuted"),
        (ViolationKind::ExecutedTwice, "ExecutedTwice"),
        (ViolationKind::WrongAnswer, "WrongAnswer"),
    ];
    assert!(texts.is_sorted_by_key(|(kind, _)| *kind));
    for (kind, text) in texts {
        assert_eq!(kind.to_string(), text);
    }
}
