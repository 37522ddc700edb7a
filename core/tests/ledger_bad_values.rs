//! A shard of the ledger that another writer has spoilt: nothing is spent that was not granted before, nothing is
//! written over it, and it is told of once.

#![allow(clippy::unwrap_used, missing_docs)]

mod ledger_bench;

use doorswitch_core::{ids, ledger_writer, store};
use ledger_bench::Bench;

const INDEX: store::Position = store::Position::new(0, 7);

/// Reads what `reply` says twice; returns what was told of.
fn read_twice(bench: &mut Bench, reply: &store::Reply) -> Vec<ledger_writer::Event> {
    let mut events = Vec::new();
    for number in [501, 502] {
        let call = ids::CallId(number);
        bench.writer.request_sync();
        let request = bench.start(call);
        assert!(matches!(request, store::Request::Read { .. }), "{request:?} writes over it");
        let (sent, told) = bench.reply(call, reply.clone());
        assert!(sent.is_none(), "nothing is written over it");
        events.extend(told);
    }
    events
}

fn holds_on_and_recovers(reply: &store::Reply) {
    let mut bench = Bench::new(100_000);
    bench.round();
    let free = bench.account().free_tokens();
    assert!(free > 0);
    // Between two rounds the writer knows what lies there; a call without an answer makes it read again.
    let call = ids::CallId(500);
    bench.start(call);
    bench.reply(call, store::Reply::Unknown);
    let events = read_twice(&mut bench, reply);
    let unusable =
        |event: &&ledger_writer::Event| matches!(event, ledger_writer::Event::Unusable(_));
    assert_eq!(events.iter().filter(unusable).count(), 1, "{events:?}");
    assert_eq!(bench.account().free_tokens(), free, "what was granted stays");
    bench.assert_safe();
    bench.index += 10;
    bench.round();
    bench.assert_safe();
    assert!(bench.account().free_tokens() >= free, "a value that can be read is followed again");
}

macro_rules! spoilt_values {
    ($($name:ident: $reply:expr;)*) => { $(
        #[test]
        fn $name() {
            holds_on_and_recovers(&$reply);
        }
    )* };
}

spoilt_values! {
    a_value_that_is_not_encoded_is_told_of_once: store::Reply::Undecodable { index: INDEX };
    a_value_that_is_no_shard_is_told_of_once: store::Reply::Found { index: INDEX, value: b"{".to_vec() };
    a_value_that_is_empty_is_told_of_once: store::Reply::Found { index: INDEX, value: Vec::new() };
    a_value_that_was_removed_does_not_begin_anew: store::Reply::Missing { era: 0 };
}
