//! Guards against digests and configurations of peers that wrongly replace a router's copy of the store.

#![allow(clippy::unwrap_used, missing_docs)]

mod watch_fleet;

use doorswitch_core::{ids, message, node, store, watch};
use watch_fleet::{BOUNDS, Fleet, up_to_date_fleet};

/// A digest as a peer, or another sender that pretends to be one, may send it.
fn digest(config_version: u64, position: store::Position) -> message::Digest {
    message::Digest {
        config_version,
        configuration: message::CopyState { position, age_ms: Some(0) },
        servers: message::CopyState { position, age_ms: Some(0) },
        ..message::Digest::default()
    }
}

fn handle(fleet: &mut Fleet, digest: message::Digest) -> Vec<node::Action> {
    fleet.gossip_from_unknown_peer(0, digest);
    fleet.routers[0].node.take_actions()
}

#[test]
fn a_digest_of_an_older_state_changes_nothing() {
    let mut fleet = up_to_date_fleet(20, BOUNDS, 13);
    let node = &fleet.routers[0].node;
    let before = (node.config_version(), node.vms_index(), node.servers().iter().count());
    let gone = watch::ServerChange {
        vm: "server-3".to_owned(),
        position: store::Position::new(0, 1),
        record: watch::ServerRecord::Removed,
    };
    let old = message::Digest { changes: vec![gone], ..digest(0, store::Position::new(0, 2)) };
    handle(&mut fleet, old);
    let node = &fleet.routers[0].node;
    let after = (node.config_version(), node.vms_index(), node.servers().iter().count());
    assert_eq!(before, after);
}

#[test]
fn a_digest_with_missing_changes_is_not_applied_and_causes_one_request_of_each_kind() {
    let mut fleet = up_to_date_fleet(20, BOUNDS, 14);
    let node = &fleet.routers[0].node;
    let (config_version, index) = (node.config_version(), node.vms_index());
    let later = |revisions| store::Position::new(index.era, index.revision + revisions);
    let gap = message::Digest { changes_after: later(5), ..digest(config_version + 1, later(10)) };
    let actions = handle(&mut fleet, gap.clone());
    let node = &fleet.routers[0].node;
    assert_eq!((node.config_version(), node.vms_index()), (config_version, index));
    let requests = |actions: &[node::Action]| {
        let sent = actions.iter().filter(|action| {
            let node::Action::Send { envelope, .. } = action else { return false };
            matches!(
                envelope.message,
                message::Message::VmsRequest | message::Message::ConfigRequest
            )
        });
        sent.count()
    };
    assert_eq!(requests(&actions), 2, "not one request for each topic");
    for _ in 0..50 {
        let again = handle(&mut fleet, gap.clone());
        assert_eq!(requests(&again), 0, "a request was repeated while its reply may be on its way");
    }
}

#[test]
fn a_peers_configuration_that_cannot_be_read_changes_nothing() {
    let mut fleet = up_to_date_fleet(20, BOUNDS, 15);
    let version = fleet.routers[0].node.config_version();
    let copy_state =
        message::CopyState { position: store::Position::new(0, 1_000), age_ms: Some(0) };
    for value in [Vec::new(), vec![0xff; 40], vec![9, 9]] {
        let message = message::Message::Config {
            version: version + 1,
            copy_state,
            evacuations: Default::default(),
            value,
        };
        let to = fleet.routers[0].node.members().own().id;
        let now_ms = fleet.now_ms;
        let node = &mut fleet.routers[0].node;
        node.handle_message(message::Envelope { from: ids::Incarnation(77), to, message }, now_ms);
        assert_eq!(node.config_version(), version);
        let is_notice = |action: &node::Action| {
            matches!(action, node::Action::Notice(node::Notice::UnusableValue(_)))
        };
        assert!(node.take_actions().iter().any(is_notice), "the unusable value is not reported");
    }
}
