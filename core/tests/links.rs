//! A router's own links to servers, and when other routers are used instead. Guards against routers that take the state
//! of their own links for the state of servers.

#![allow(clippy::unwrap_used, missing_docs)]

use doorswitch_core::links::{Change, Order, Peer, ServerFault, Table};
use doorswitch_core::{ids, message, servers};
use rand::SeedableRng;
use rand::rngs::StdRng;

const FIRST: &str = "10.0.0.1:80";
const SECOND: &str = "10.0.0.2:80";
const THIRD: &str = "10.0.0.3:80";

fn rng() -> StdRng {
    StdRng::seed_from_u64(1)
}

/// A table in which all three servers were reached at 1 s.
fn reached() -> Table {
    let mut table = Table::default();
    for address in [FIRST, SECOND, THIRD] {
        assert_eq!(table.record_reached(address, 1, 1_000), None);
    }
    table
}

fn peer(id: u64, failure_domain: &str) -> Peer {
    Peer {
        id: ids::Incarnation(id),
        address: format!("10.1.0.{id}:90"),
        vm: format!("entry-{id}"),
        failure_domain: failure_domain.to_owned(),
    }
}

fn ids_of(peers: &[Peer]) -> Vec<u64> {
    peers.iter().map(|peer| peer.id.0).collect()
}

#[test]
fn a_link_is_lost_once_another_router_reaches_the_server_and_only_this_link() {
    let mut table = reached();
    assert_eq!(table.record_lost(FIRST, 2_000), Some(Change::Lost(FIRST.to_owned())));
    assert_eq!(table.record_lost(FIRST, 2_001), None);
    assert_eq!(table.order(FIRST, 2_002), Order::PeersOnly);
    assert!(matches!(table.order(SECOND, 2_002), Order::OwnFirst { .. }));
}

#[test]
fn a_server_that_does_not_connect_is_no_lost_link() {
    let mut table = reached();
    for at_ms in 2_000..2_010 {
        table.record_not_reached(FIRST, at_ms);
    }
    assert!(matches!(table.order(FIRST, 2_010), Order::OwnFirst { .. }));
}

#[test]
fn a_lost_link_is_checked_at_intervals_and_restored_by_a_connection() {
    let mut table = reached();
    table.record_lost(FIRST, 2_000);
    assert!(table.checks_due(2_499, &mut rng()).is_empty());
    assert_eq!(table.checks_due(2_500, &mut rng()), [FIRST]);
    assert!(table.checks_due(2_999, &mut rng()).is_empty());
    assert_eq!(table.checks_due(3_000, &mut rng()), [FIRST]);
    assert_eq!(table.record_reached(FIRST, 1, 3_001), Some(Change::Restored(FIRST.to_owned())));
    assert!(matches!(table.order(FIRST, 3_002), Order::OwnFirst { .. }));
    assert!(!table.any_lost());
}

#[test]
fn all_links_are_lost_if_a_comparison_reaches_no_server_and_restored_by_one() {
    let mut table = reached();
    table.record_lost(FIRST, 2_000);
    let mut compared = table.start_comparison(FIRST, 2_000, &mut rng()).unwrap();
    compared.of_others.sort();
    assert_eq!(compared.of_others, [SECOND, THIRD]);
    assert_eq!(table.record_none_reached(2_060), Some(Change::AllLost));
    for address in [FIRST, SECOND, THIRD, "10.0.0.4:80"] {
        assert_eq!(table.order(address, 2_061), Order::PeersOnly);
    }
    let restored = Change::AllRestored { lost_ms: 1_000 };
    assert_eq!(table.record_reached(SECOND, 1, 3_060), Some(restored));
    for address in [FIRST, SECOND, THIRD] {
        assert!(matches!(table.order(address, 3_061), Order::OwnFirst { .. }));
    }
}

#[test]
fn no_way_is_tried_while_neither_own_links_nor_other_routers_reach_any_server() {
    let mut table = reached();
    table.record_none_reached(2_000);
    table.record_server_fault(FIRST, ServerFault::Unknown, 2_000);
    assert_eq!(table.order(SECOND, 2_499), Order::None);
    assert_eq!(table.order(SECOND, 2_500), Order::PeersOnly);
    table.record_reached(THIRD, 1, 2_501);
    table.record_server_fault(FIRST, ServerFault::Unknown, 2_502);
    assert!(matches!(table.order(SECOND, 2_503), Order::OwnFirst { .. }));
}

#[test]
fn open_connections_are_used_while_data_arrives_on_them_after_the_loss() {
    let mut table = reached();
    table.record_received(FIRST, 1_990);
    assert!(table.open_connections_work(FIRST, 2_000));
    table.record_lost(FIRST, 2_000);
    assert!(!table.open_connections_work(FIRST, 2_001));
    assert!(table.open_connections_work(SECOND, 2_001));
    table.record_received(FIRST, 2_049);
    assert!(!table.open_connections_work(FIRST, 2_050), "data that was on its way");
    table.record_received(FIRST, 2_050);
    assert!(table.open_connections_work(FIRST, 3_049));
    assert!(!table.open_connections_work(FIRST, 3_050));
    table.record_none_reached(4_000);
    assert!(!table.open_connections_work(SECOND, 4_001));
    table.record_received(THIRD, 4_050);
    assert!(table.open_connections_work(SECOND, 4_051));
}

#[test]
fn comparisons_are_not_repeated_at_once() {
    let mut table = reached();
    assert!(table.start_comparison(FIRST, 2_000, &mut rng()).is_some());
    assert_eq!(table.start_comparison(SECOND, 2_499, &mut rng()), None);
    assert!(table.start_comparison(SECOND, 2_500, &mut rng()).is_some());
}

#[test]
fn a_distant_server_has_more_time_before_other_routers_are_asked() {
    let mut table = reached();
    table.record_reached(FIRST, 80, 2_000);
    assert_eq!(table.order(FIRST, 2_001), Order::OwnFirst { head_start_ms: 320 });
    assert_eq!(table.order(SECOND, 2_001), Order::OwnFirst { head_start_ms: 30 });
}

#[test]
fn routers_that_could_not_connect_are_asked_last_and_those_of_the_own_domain_first() {
    let mut table = reached();
    let peers: Vec<Peer> =
        (1..=10).map(|id| peer(id, if id <= 3 { "own" } else { "other" })).collect();
    let (first, further) = table.peers_to_ask(&peers, "own", FIRST, 2_000, &mut rng());
    let mut own = ids_of(&first[..3]);
    own.sort_unstable();
    assert_eq!((own, first.len(), further.len()), (vec![1, 2, 3], 4, 4));
    table.record_peer_failed(ids::Incarnation(1), None, 2_000);
    table.record_peer_failed(ids::Incarnation(2), Some(SECOND), 2_000);
    let (first, _) = table.peers_to_ask(&peers, "own", FIRST, 2_001, &mut rng());
    assert!(!ids_of(&first).contains(&1) && ids_of(&first).contains(&2));
    let (first, _) = table.peers_to_ask(&peers, "own", SECOND, 2_001, &mut rng());
    assert!(!ids_of(&first).contains(&1) && !ids_of(&first).contains(&2));
    let (first, _) = table.peers_to_ask(&peers, "own", SECOND, 3_000, &mut rng());
    assert!(ids_of(&first).contains(&1) && ids_of(&first).contains(&2));
}

#[test]
fn servers_that_failed_since_they_were_reached_are_the_last_evidence_of_a_link() {
    let mut table = reached();
    table.record_reached(SECOND, 1, 1_500);
    table.record_not_reached(SECOND, 1_600);
    assert_eq!(table.others(FIRST, 1, &mut rng()), [THIRD]);
}

#[test]
fn only_servers_of_the_same_service_tell_a_failed_server_from_lost_links_to_its_service() {
    let mut table = reached();
    let services =
        [(FIRST, "model"), (SECOND, "plain"), (THIRD, "model"), ("10.0.0.4:80", "alone")];
    table.set_services(services.map(|(one, two)| (one.to_owned(), two.to_owned())).into());
    assert_eq!(
        table.others_of_service(FIRST, ServerFault::Refused, 4, &mut rng()).unwrap(),
        [THIRD]
    );
    assert_eq!(table.others_of_service("10.0.0.4:80", ServerFault::Refused, 4, &mut rng()), None);
    table.record_lost(THIRD, 2_000);
    assert!(
        table.others_of_service(FIRST, ServerFault::Refused, 4, &mut rng()).unwrap().is_empty()
    );
}

// Guards against the crash of a service's last server being taken for lost links, as the others had crashed before.
#[test]
fn servers_that_are_known_to_fail_tell_nothing_of_links_until_they_are_reached_again() {
    let mut table = reached();
    let services = [(FIRST, "model"), (SECOND, "model"), (THIRD, "model")];
    table.set_services(services.map(|(one, two)| (one.to_owned(), two.to_owned())).into());
    table.record_server_fault(SECOND, ServerFault::Refused, 2_000);
    assert_eq!(
        table.others_of_service(FIRST, ServerFault::Refused, 4, &mut rng()).unwrap(),
        [THIRD]
    );
    table.record_refused_peer(THIRD, message::ConnectReply::Refused, 2_010);
    assert_eq!(table.others_of_service(FIRST, ServerFault::Refused, 4, &mut rng()), None);
    table.record_reached(SECOND, 1, 5_000);
    assert_eq!(
        table.others_of_service(FIRST, ServerFault::Refused, 4, &mut rng()).unwrap(),
        [SECOND]
    );
    table.record_lost(THIRD, 5_001);
    table.record_lost(SECOND, 5_001);
    assert!(
        table.others_of_service(FIRST, ServerFault::Refused, 4, &mut rng()).unwrap().is_empty()
    );
    // A word that is no verdict on the server.
    table.record_reached(SECOND, 1, 6_000);
    table.record_server_fault(SECOND, ServerFault::Unknown, 6_001);
    table.record_refused_peer(SECOND, message::ConnectReply::Unavailable, 6_001);
    assert_eq!(
        table.others_of_service(FIRST, ServerFault::Refused, 4, &mut rng()).unwrap(),
        [SECOND]
    );
}

// Guards against the loss of all links, of one after another, being taken for the failure of all servers.
#[test]
fn servers_that_do_not_respond_still_tell_silent_servers_from_lost_links() {
    let mut table = reached();
    let services = [(FIRST, "model"), (SECOND, "model"), (THIRD, "model")];
    table.set_services(services.map(|(one, two)| (one.to_owned(), two.to_owned())).into());
    table.record_server_fault(SECOND, ServerFault::Unresponsive, 2_000);
    table.record_refused_peer(THIRD, message::ConnectReply::Unresponsive, 2_010);
    let silent =
        |table: &Table| table.others_of_service(FIRST, ServerFault::Unresponsive, 4, &mut rng());
    assert_eq!(silent(&table).unwrap().len(), 2);
    // A crash of the last server is still recognized.
    assert_eq!(table.others_of_service(FIRST, ServerFault::Refused, 4, &mut rng()), None);
    table.record_server_fault(SECOND, ServerFault::Refused, 2_020);
    assert_eq!(silent(&table).unwrap(), [THIRD]);
}

#[test]
fn what_other_routers_found_of_a_failed_server_holds_for_a_moment_and_until_it_is_reached() {
    let mut table = reached();
    table.record_server_fault(FIRST, ServerFault::Refused, 2_000);
    assert_eq!(table.server_fault(FIRST, 2_499), Some(ServerFault::Refused));
    assert_eq!(table.server_fault(FIRST, 2_500), None);
    table.record_refused_peer(FIRST, message::ConnectReply::Refused, 3_000);
    table.record_server_fault(FIRST, ServerFault::Refused, 3_000);
    table.record_reached(FIRST, 1, 3_001);
    assert_eq!(table.server_fault(FIRST, 3_002), None);
    assert_eq!(table.refused_peer(FIRST, 3_002), None);
}

#[test]
fn links_to_servers_that_left_the_list_are_forgotten() {
    let mut table = reached();
    table.record_lost(FIRST, 2_000);
    table.set_services([(SECOND.to_owned(), "model".to_owned())].into());
    assert!(!table.any_lost());
    assert_eq!(table.others(SECOND, 4, &mut rng()), Vec::<String>::new());
}

#[test]
fn links_that_are_no_longer_used_are_forgotten() {
    let mut table = reached();
    table.record_lost(FIRST, 1_000);
    table.record_none_reached(1_000);
    assert!(table.checks_due(61_000, &mut rng()).is_empty());
    assert!(!table.any_lost());
}

/// A table with one server, and its slot.
fn one_server() -> (servers::Table, ids::ServerSlot) {
    let mut table = servers::Table::default();
    let vm = servers::Vm {
        vm: "vm-0".to_owned(),
        service: "app".to_owned(),
        address: FIRST.to_owned(),
        class: "small".to_owned(),
        version: String::new(),
        failure_domain: "a".to_owned(),
        state: servers::VmState::Live,
        slots: 8,
        incarnation: ids::ServerIncarnation(1),
        cold_ms: 0,
    };
    table.apply_list(&[vm], 0);
    let slot = table.find("vm-0").unwrap();
    (table, slot)
}

#[test]
fn failures_of_requests_that_were_sent_over_a_lost_link_do_not_eject_a_server() {
    let (mut table, slot) = one_server();
    table.forgive_failures(Some(FIRST), 2_000);
    for _ in 0..5 {
        assert_eq!(table.record_failure(slot, 1_999, 2_500), None);
    }
    let ejected = (0..3).filter_map(|_| table.record_failure(slot, 2_000, 2_500)).count();
    assert_eq!(ejected, 1);
}

#[test]
fn an_ejection_ends_with_the_loss_of_the_link() {
    let (mut table, slot) = one_server();
    for _ in 0..8 {
        table.record_failure(slot, 1_000, 1_000);
    }
    table.forgive_failures(None, 1_100);
    let ejected = (0..2).filter_map(|_| table.record_failure(slot, 1_200, 1_200)).count();
    assert_eq!(ejected, 0, "earlier failures still count");
}

/// A table of three services, of which the first has three servers.
fn of_services() -> Table {
    let mut table = Table::default();
    let services = [
        (FIRST, "first"),
        (SECOND, "first"),
        (THIRD, "first"),
        ("10.0.0.4:80", "second"),
        ("10.0.0.5:80", "third"),
    ];
    table.set_services(
        services.map(|(address, service)| (address.to_owned(), service.to_owned())).into(),
    );
    for (address, _) in services {
        table.record_reached(address, 1, 1_000);
    }
    table
}

#[test]
fn the_links_to_a_service_are_lost_if_a_comparison_reaches_no_server_of_it_and_restored_by_one() {
    let mut table = of_services();
    table.record_lost(FIRST, 2_000);
    let mut compared = table.start_comparison(FIRST, 2_000, &mut rng()).unwrap();
    compared.of_service.sort();
    compared.of_others.sort();
    assert_eq!(compared.of_service, [SECOND, THIRD]);
    assert_eq!(compared.of_others, ["10.0.0.4:80", "10.0.0.5:80"]);
    let (service, addresses) = ("first".to_owned(), [FIRST, SECOND, THIRD].map(str::to_owned));
    let lost = Change::ServiceLost { service: service.clone(), addresses: addresses.to_vec() };
    assert_eq!(table.record_service_not_reached(FIRST, 2_060), Some(lost));
    assert_eq!(table.record_service_not_reached(SECOND, 2_061), None);
    for address in [FIRST, SECOND, THIRD] {
        assert_eq!(table.order(address, 2_062), Order::PeersOnly);
        assert!(!table.open_connections_work(address, 2_062));
    }
    assert!(matches!(table.order("10.0.0.4:80", 2_062), Order::OwnFirst { .. }));
    let lost: Vec<&str> = table.lost(2_062).map(|(address, _)| address).collect();
    assert_eq!(lost, [FIRST, SECOND, THIRD]);
    assert_eq!(table.checks_due(2_600, &mut rng()).len(), 3);

    let restored = Change::ServiceRestored { service, addresses: addresses.to_vec(), lost_ms: 640 };
    assert_eq!(table.record_reached(SECOND, 1, 2_700), Some(restored));
    for address in [FIRST, SECOND, THIRD] {
        assert!(matches!(table.order(address, 2_701), Order::OwnFirst { .. }));
    }
    assert!(!table.any_lost());
}

#[test]
fn links_of_different_services_are_compared_independently() {
    let mut table = of_services();
    assert!(table.start_comparison(FIRST, 2_000, &mut rng()).is_some());
    assert_eq!(table.start_comparison(SECOND, 2_001, &mut rng()), None);
    assert!(table.start_comparison("10.0.0.4:80", 2_002, &mut rng()).is_some());
}

#[test]
fn servers_of_a_service_whose_links_are_lost_are_no_evidence_against_one_of_them() {
    let mut table = of_services();
    table.record_service_not_reached(FIRST, 2_000);
    let others = table.others_of_service(SECOND, ServerFault::Refused, 4, &mut rng());
    assert_eq!(others, Some(Vec::new()));
}

#[test]
fn a_service_that_has_left_the_list_is_no_longer_lost() {
    let mut table = of_services();
    table.record_service_not_reached(FIRST, 2_000);
    table.set_services([("10.0.0.4:80".to_owned(), "second".to_owned())].into());
    assert!(!table.any_lost());
}
