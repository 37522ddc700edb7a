//! The bytes of gossip between routers. Guards against an extension that keeps builds which do not know it from reading
//! the other fields.

#![allow(clippy::unwrap_used, missing_docs)]

use doorswitch::peers;
use doorswitch_core::{ids, members, message, quarantine, store, version_record, watch};

fn gossip(extension: Option<message::GossipExtension>) -> message::Datagram {
    let from = members::Record {
        id: ids::Incarnation(1),
        address: "10.0.0.1:1".to_owned(),
        vm: "entry-1".to_owned(),
        failure_domain: "a".to_owned(),
        beat: 2,
        health: members::Health::Alive,
    };
    message::Datagram::Gossip(Box::new(message::Gossip {
        from,
        kind: message::GossipKind::Push,
        digest: message::Digest::default(),
        member_updates: Vec::new(),
        leaving: Vec::new(),
        quarantine: Default::default(),
        limits: Vec::new(),
        brittle: Vec::new(),
        extension,
        confirmations: None,
    }))
}

fn extension() -> message::GossipExtension {
    let mut record = version_record::Record::new(0);
    record.set("app", "v1", version_record::State::Current);
    let versions_position = store::Position::new(0, 7);
    message::GossipExtension {
        versions_position,
        versions: Some(record),
        older_build_age_ms: Some(8),
    }
}

/// Gossip with all that follows its fields.
fn complete_gossip() -> message::Datagram {
    let confirmation = |router| watch::Confirmation { router: ids::Incarnation(router), at_ms: 9 };
    let message::Datagram::Gossip(mut gossip) = gossip(Some(extension())) else { unreachable!() };
    gossip.confirmations = Some(message::Confirmations {
        configuration: Some(confirmation(1)),
        servers: Some(confirmation(2)),
    });
    gossip.quarantine.sends = vec![quarantine::SendReport {
        subject: ids::Fingerprint { head: 1, whole: [2; 16] },
        id: quarantine::SendId { router: ids::Incarnation(3), sent_ms: 4 },
        age_ms: 5,
        withdrawn: false,
    }];
    message::Datagram::Gossip(gossip)
}

#[test]
fn gossip_of_builds_without_sends_is_read() {
    let message::Datagram::Gossip(mut sent) = complete_gossip() else { unreachable!() };
    sent.quarantine.sends.clear();
    let sent = message::Datagram::Gossip(sent);
    let frame = peers::encode_datagram(&sent);
    // An empty list takes one byte.
    assert_eq!(peers::decode_datagram(&frame[..frame.len() - 1]).unwrap(), sent);
}

#[test]
fn gossip_with_confirmations_is_read_whole() {
    let sent = complete_gossip();
    assert_eq!(peers::decode_datagram(&peers::encode_datagram(&sent)).unwrap(), sent);
}

#[test]
fn gossip_of_builds_without_confirmations_is_read() {
    let sent = gossip(Some(extension()));
    assert_eq!(peers::decode_datagram(&peers::encode_datagram(&sent)).unwrap(), sent);
}

#[test]
fn gossip_with_an_extension_is_read_by_builds_that_do_not_know_it() {
    let frame = peers::encode_datagram(&complete_gossip());
    let read: message::Datagram = peers::decode(&frame).unwrap();
    assert_eq!(read, gossip(None));
}

#[test]
fn gossip_of_builds_without_an_extension_is_read() {
    let frame = peers::encode(&gossip(None));
    assert_eq!(peers::decode_datagram(&frame).unwrap(), gossip(None));
}

#[test]
fn gossip_that_a_later_build_continues_is_read() {
    let mut frame = peers::encode_datagram(&complete_gossip());
    frame.extend([1, 2, 3]);
    assert_eq!(peers::decode_datagram(&frame).unwrap(), complete_gossip());
}

#[test]
fn an_unreadable_extension_is_refused() {
    let mut frame = peers::encode(&gossip(None));
    frame.extend([0xff; 4]);
    assert!(peers::decode_datagram(&frame).is_err());
}
