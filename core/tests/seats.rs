//! Seats at brittle servers: when a server counts as brittle, and how its seats are dealt to the routers.

#![allow(clippy::unwrap_used, missing_docs)]

use doorswitch_core::{ids, servers};
use servers::{Pool, Seats, SeatsDealt, SeatsRequested, Table, Vm, VmState};

/// The time after which a dealer deals seats that an earlier one may have dealt.
const DEALER_SETTLED_MS: u64 = 3_000;
const NO_SHARE: u64 = 0;

fn vm(name: &str, incarnation: u64) -> Vm {
    Vm {
        vm: name.to_owned(),
        service: "service".to_owned(),
        address: "10.0.0.1:1".to_owned(),
        class: String::new(),
        version: String::new(),
        failure_domain: "a".to_owned(),
        state: VmState::Live,
        slots: 8,
        incarnation: ids::ServerIncarnation(incarnation),
        cold_ms: 0,
    }
}

fn table() -> (Table, ids::ServerSlot) {
    let mut table = Table::default();
    table.apply_list(&[vm("vm-1", 1), vm("vm-2", 1)], 0);
    let slot = table.find("vm-1").unwrap();
    (table, slot)
}

fn router(number: u64) -> ids::Incarnation {
    ids::Incarnation(number)
}

fn requested(number: u64, replied: u64, held: u64, wanted: u64) -> SeatsRequested {
    SeatsRequested { number, replied, held, wanted, rejections: 0 }
}

/// The dealer of a brittle server with eight seats.
struct Dealer {
    seats: Seats,
    slot: ids::ServerSlot,
    routers: Vec<ids::Incarnation>,
    share: u64,
}

impl Dealer {
    /// A dealer that has been one for long enough.
    fn settled(routers: u64, share: u64) -> Self {
        let (_, slot) = table();
        let mut seats = Seats::default();
        seats.record_statement(slot, 1, 0);
        let routers = (1..=routers).map(router).collect();
        let mut dealer = Self { seats, slot, routers, share };
        dealer.deal(99, requested(1, 0, 0, 0), 0);
        dealer
    }

    fn deal(
        &mut self,
        from: u64,
        requested: SeatsRequested,
        at_ms: u64,
    ) -> Vec<(ids::Incarnation, u64, SeatsDealt)> {
        let pool = Pool { seats: 8, share: self.share, routers: &self.routers, is_settled: true };
        self.seats.deal(self.slot, router(from), requested, pool, at_ms)
    }

    /// The seats that a router gets for a request.
    fn seats(&mut self, from: u64, requested: SeatsRequested, at_ms: u64) -> u64 {
        let replies = self.deal(from, requested, at_ms);
        replies.iter().find(|(to, ..)| *to == router(from)).unwrap().2.seats
    }
}

#[test]
fn a_server_is_brittle_until_a_later_request_is_answered_without_the_statement() {
    let (_, slot) = table();
    let mut seats = Seats::default();
    assert!(seats.record_statement(slot, 3, 1_000));
    assert!(!seats.record_statement(slot, 3, 1_100), "the same statement is no change");
    assert!(seats.record_statement(slot, 5, 1_200));
    assert!(!seats.record_statement(slot, 4, 1_150), "an earlier statement came late");
    assert_eq!(seats.get(slot).unwrap().rejections_per_s, 5);
    assert!(!seats.record_end(slot, 1_199, 1_300), "the request was sent before the statement");
    assert!(seats.record_end(slot, 1_201, 1_400));
    assert!(!seats.record_statement(slot, 5, 1_390), "a statement from before the end came late");
    assert!(seats.is_empty());
    assert!(seats.record_statement(slot, 5, 1_500));
}

#[test]
fn a_statement_expires_that_no_answer_confirms() {
    let (_, slot) = table();
    let mut seats = Seats::default();
    seats.record_statement(slot, 3, 1_000);
    assert!(seats.expire(30_999).is_empty());
    assert_eq!(seats.expire(31_000), [slot]);
    assert!(seats.is_empty());
}

/// Guards against a server that comes back after it fell over and is filled by each router before its first answer.
#[test]
fn a_later_incarnation_of_a_brittle_server_is_brittle_until_it_answers() {
    let (mut table, slot) = table();
    table.seats_mut().record_statement(slot, 3, 1_000);
    table.apply_list(&[vm("vm-1", 2), vm("vm-2", 1), vm("vm-3", 1)], 2_000);
    for name in ["vm-1", "vm-3"] {
        let later = table.find(name).unwrap();
        assert_eq!(table.seats().get(later).unwrap().rejections_per_s, 3, "{name}");
        assert!(table.seats_mut().record_end(later, 2_010, 2_020), "{name}");
    }
    let unchanged = table.find("vm-2").unwrap();
    assert!(table.seats().get(unchanged).is_none());
}

#[test]
fn no_more_seats_are_dealt_than_there_are() {
    let mut dealer = Dealer::settled(3, NO_SHARE);
    let now_ms = DEALER_SETTLED_MS;
    assert_eq!(dealer.seats(1, requested(1, 0, 0, 5), now_ms), 5);
    assert_eq!(dealer.seats(2, requested(1, 0, 0, 5), now_ms), 3);
    assert_eq!(dealer.seats(3, requested(1, 0, 0, 5), now_ms), 0);
}

/// Guards against the first router with requests that keeps all seats.
#[test]
fn seats_are_evened_out_as_routers_confirm_fewer() {
    let mut dealer = Dealer::settled(2, NO_SHARE);
    let now_ms = DEALER_SETTLED_MS;
    assert_eq!(dealer.seats(1, requested(1, 0, 0, 8), now_ms), 8);
    assert_eq!(dealer.seats(2, requested(1, 0, 0, 8), now_ms), 0);
    assert_eq!(dealer.seats(1, requested(2, 1, 8, 8), now_ms + 300), 4);
    assert_eq!(dealer.seats(2, requested(2, 1, 0, 8), now_ms + 300), 0, "not confirmed yet");
    assert_eq!(dealer.seats(1, requested(3, 2, 4, 8), now_ms + 600), 4);
    assert_eq!(dealer.seats(2, requested(3, 2, 0, 8), now_ms + 600), 4);
}

#[test]
fn returned_seats_go_to_the_router_that_waits_for_the_longest_time() {
    let mut dealer = Dealer::settled(4, NO_SHARE);
    let now_ms = DEALER_SETTLED_MS;
    dealer.deal(1, requested(1, 0, 0, 8), now_ms);
    dealer.deal(3, requested(7, 0, 0, 1), now_ms + 1);
    dealer.deal(2, requested(5, 0, 0, 1), now_ms + 2);
    let replies = dealer.deal(1, requested(2, 1, 7, 7), now_ms + 10);
    let receivers: Vec<(u64, u64, u64)> =
        replies.iter().map(|(to, number, dealt)| (to.0, *number, dealt.seats)).collect();
    assert_eq!(receivers, [(1, 2, 6), (3, 7, 1)]);
}

/// Guards against seats of a router whose reply was lost being dealt twice.
#[test]
fn seats_count_until_their_router_has_applied_a_later_reply() {
    let mut dealer = Dealer::settled(2, NO_SHARE);
    let now_ms = DEALER_SETTLED_MS;
    assert_eq!(dealer.seats(1, requested(1, 0, 0, 6), now_ms), 6);
    assert_eq!(dealer.seats(1, requested(2, 0, 0, 0), now_ms + 100), 0);
    assert_eq!(dealer.seats(2, requested(1, 0, 0, 8), now_ms + 110), 2);
    assert_eq!(dealer.seats(1, requested(3, 2, 0, 0), now_ms + 200), 0);
    assert_eq!(dealer.seats(2, requested(2, 1, 2, 8), now_ms + 210), 8);
}

#[test]
fn a_request_that_was_overtaken_is_ignored() {
    let mut dealer = Dealer::settled(1, NO_SHARE);
    dealer.deal(1, requested(2, 0, 0, 1), DEALER_SETTLED_MS);
    assert!(dealer.deal(1, requested(1, 0, 0, 8), DEALER_SETTLED_MS).is_empty());
}

#[test]
fn the_equal_parts_of_routers_that_did_not_ask_are_kept_free() {
    let mut dealer = Dealer::settled(4, 2);
    assert_eq!(dealer.seats(1, requested(1, 0, 2, 8), DEALER_SETTLED_MS), 2);
    for other in 2..=4 {
        dealer.deal(other, requested(1, 0, 2, 0), DEALER_SETTLED_MS);
        dealer.deal(other, requested(2, 1, 0, 0), DEALER_SETTLED_MS + 10);
    }
    assert_eq!(dealer.seats(1, requested(2, 1, 2, 8), DEALER_SETTLED_MS + 20), 8);
}

#[test]
fn a_new_dealer_confirms_seats_and_deals_no_others_at_first() {
    let mut dealer = Dealer::settled(2, NO_SHARE);
    dealer.seats.remove(dealer.slot);
    dealer.seats.record_statement(dealer.slot, 1, 10_000);
    assert_eq!(dealer.seats(1, requested(1, 0, 3, 8), 10_000), 3);
    assert_eq!(dealer.seats(1, requested(2, 1, 3, 8), 10_000 + DEALER_SETTLED_MS), 8);
}

#[test]
fn fewer_seats_are_dealt_after_a_rejection_and_more_again_later() {
    let mut dealer = Dealer::settled(1, NO_SHARE);
    let now_ms = DEALER_SETTLED_MS;
    assert_eq!(dealer.seats(1, requested(1, 0, 0, 8), now_ms), 8);
    let rejected = SeatsRequested { rejections: 1, ..requested(2, 1, 8, 8) };
    assert_eq!(dealer.seats(1, rejected, now_ms + 100), 6);
    assert_eq!(dealer.seats(1, requested(3, 2, 6, 8), now_ms + 600), 7);
    assert_eq!(dealer.seats(1, requested(4, 3, 7, 8), now_ms + 1_100), 8);
}

#[test]
fn a_router_without_a_reply_uses_its_equal_part() {
    let (_, slot) = table();
    let mut seats = Seats::default();
    seats.record_statement(slot, 1, 0);
    let (in_flight, share) = (1, 2);
    assert_eq!(seats.free(slot, in_flight, share, 10), Some(1));
    let request = seats.request(slot, in_flight, 6, share, 10).unwrap();
    assert_eq!((request.held, request.wanted), (2, 7));
    let dealt = SeatsDealt { seats: 4, in_turn: false, retry_ms: 50 };
    seats.handle_reply(slot, request.number, dealt, 20);
    assert_eq!(seats.free(slot, in_flight, share, 20), Some(3));
    assert_eq!(seats.free(slot, in_flight, share, 1_010), Some(1), "the lease has ended");
}

#[test]
fn nothing_is_sent_for_a_moment_to_a_server_that_rejected_a_request() {
    let (_, slot) = table();
    let mut seats = Seats::default();
    seats.record_statement(slot, 1, 0);
    seats.record_rejection(slot, 1_000);
    assert_eq!(seats.free(slot, 0, 2, 1_299), Some(0));
    assert_eq!(seats.free(slot, 0, 2, 1_300), Some(2));
}

#[test]
fn the_parts_of_routers_that_are_cut_off_are_together_not_more_than_all() {
    let (mut table, slot) = table();
    let members: Vec<ids::Incarnation> = (1..=30).map(router).collect();
    let (own, routers) = (router(1), 30);
    table.set_fleet(servers::Fleet { own, members, routers, settled: true });
    for cut_off in 0..=30 {
        let parts = table.seats_of(slot, cut_off) + table.seats_of(slot, 30 - cut_off);
        assert!(parts <= 8, "{cut_off} of 30 routers: {parts}");
    }
    assert_eq!(table.seats_of(slot, 29), 8, "a single router takes none away");
}
