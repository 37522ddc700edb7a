//! What a router believes of a peer's word about the store.

#![allow(clippy::unwrap_used, missing_docs)]

mod watch_fleet;

use doorswitch_core::{ids, message, node, store, watch};
use watch_fleet::{BOUNDS, Fleet, settled};

/// A digest that a peer, or somebody who says so, might send.
fn told(config_version: u64, position: store::Position) -> message::Digest {
    message::Digest {
        config_version,
        configuration: message::CopyState { position, age_ms: Some(0) },
        servers: message::CopyState { position, age_ms: Some(0) },
        ..message::Digest::default()
    }
}

fn hear(fleet: &mut Fleet, digest: message::Digest) -> Vec<node::Action> {
    fleet.gossip_from_unknown_peer(0, digest);
    fleet.routers[0].node.take_actions()
}

#[test]
fn a_digest_of_an_older_state_changes_nothing() {
    let mut fleet = settled(20, BOUNDS, 13);
    let node = &fleet.routers[0].node;
    let known = (node.config_version(), node.vms_index(), node.servers().iter().count());
    let gone = watch::ServerChange {
        vm: "server-3".to_owned(),
        position: store::Position::new(0, 1),
        record: watch::ServerRecord::Gone,
    };
    let old = message::Digest { changes: vec![gone], ..told(0, store::Position::new(0, 2)) };
    hear(&mut fleet, old);
    let node = &fleet.routers[0].node;
    let after = (node.config_version(), node.vms_index(), node.servers().iter().count());
    assert_eq!(known, after);
}

#[test]
fn a_digest_that_leaves_changes_out_is_asked_about_and_not_believed() {
    let mut fleet = settled(20, BOUNDS, 14);
    let node = &fleet.routers[0].node;
    let (config_version, index) = (node.config_version(), node.vms_index());
    let later = |revisions| store::Position::new(index.era, index.revision + revisions);
    let gap = message::Digest { changes_after: later(5), ..told(config_version + 1, later(10)) };
    let actions = hear(&mut fleet, gap.clone());
    let node = &fleet.routers[0].node;
    assert_eq!((node.config_version(), node.vms_index()), (config_version, index));
    let asked = |actions: &[node::Action]| {
        let asks = actions.iter().filter(|action| {
            let node::Action::Send { envelope, .. } = action else { return false };
            matches!(
                envelope.message,
                message::Message::VmsRequest | message::Message::ConfigRequest
            )
        });
        asks.count()
    };
    assert_eq!(asked(&actions), 2, "one question for each");
    for _ in 0..50 {
        let again = hear(&mut fleet, gap.clone());
        assert_eq!(asked(&again), 0, "no more while the answer may be on its way");
    }
}

#[test]
fn a_peers_configuration_that_cannot_be_read_changes_nothing() {
    let mut fleet = settled(20, BOUNDS, 15);
    let known = fleet.routers[0].node.config_version();
    let copy_state =
        message::CopyState { position: store::Position::new(0, 1_000), age_ms: Some(0) };
    for value in [Vec::new(), vec![0xff; 40], vec![9, 9]] {
        let message = message::Message::Config {
            version: known + 1,
            copy_state,
            evacuations: Default::default(),
            value,
        };
        let to = fleet.routers[0].node.members().own().id;
        let now_ms = fleet.now_ms;
        let node = &mut fleet.routers[0].node;
        node.handle_message(message::Envelope { from: ids::Incarnation(77), to, message }, now_ms);
        assert_eq!(node.config_version(), known);
        let noticed = |action: &node::Action| {
            matches!(action, node::Action::Notice(node::Notice::UnusableValue(_)))
        };
        assert!(node.take_actions().iter().any(noticed), "it is logged");
    }
}
