//! Guards against an unusable value of a ledger shard that is overwritten, reported more than once, or leads to
//! spending beyond the granted tokens.

#![allow(clippy::unwrap_used, missing_docs)]

mod ledger_harness;

use doorswitch_core::{ids, ledger_writer, store};
use ledger_harness::Harness;

const INDEX: store::Position = store::Position::new(0, 7);

/// Lets the writer read `reply` twice and returns the reported events.
fn read_twice(harness: &mut Harness, reply: &store::Reply) -> Vec<ledger_writer::Event> {
    let mut events = Vec::new();
    for number in [501, 502] {
        let call = ids::CallId(number);
        harness.writer.request_sync();
        let request = harness.start(call);
        assert!(matches!(request, store::Request::Read { .. }), "{request:?} is not a read");
        let (sent, reported) = harness.reply(call, reply.clone());
        assert!(sent.is_none(), "the unusable value was overwritten");
        events.extend(reported);
    }
    events
}

fn check_unusable_value(reply: &store::Reply) {
    let mut harness = Harness::new(100_000);
    harness.sync();
    let free = harness.account().free_tokens();
    assert!(free > 0);
    // Between syncs the writer keeps a copy of the value; an unanswered call makes it read the value again.
    let call = ids::CallId(500);
    harness.start(call);
    harness.reply(call, store::Reply::Unknown);
    let events = read_twice(&mut harness, reply);
    let unusable =
        |event: &&ledger_writer::Event| matches!(event, ledger_writer::Event::Unusable(_));
    assert_eq!(
        events.iter().filter(unusable).count(),
        1,
        "the unusable value was not reported exactly once: {events:?}"
    );
    assert_eq!(
        harness.account().free_tokens(),
        free,
        "the granted tokens are not available any more"
    );
    harness.assert_safe();
    harness.index += 10;
    harness.sync();
    harness.assert_safe();
    assert!(harness.account().free_tokens() >= free, "the readable value was not used");
}

macro_rules! unusable_values {
    ($($name:ident: $reply:expr;)*) => { $(
        #[test]
        fn $name() {
            check_unusable_value(&$reply);
        }
    )* };
}

unusable_values! {
    an_undecodable_value_is_reported_once: store::Reply::Undecodable { index: INDEX };
    a_value_that_is_no_shard_is_reported_once: store::Reply::Found { index: INDEX, value: b"{".to_vec() };
    an_empty_value_is_reported_once: store::Reply::Found { index: INDEX, value: Vec::new() };
    a_removed_value_is_not_replaced_by_an_empty_shard: store::Reply::Missing { era: 0 };
}
