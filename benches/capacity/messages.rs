//! The sizes of messages between routers.

use crate::control;
use doorswitch::peers;
use doorswitch_core::{ids, log_index, message};

pub fn show() {
    println!("\nmessages between routers, bytes with the protocol's version");
    for (name, bytes) in sizes() {
        println!("{name:<40} {bytes:>8}");
    }
}

fn sizes() -> Vec<(&'static str, usize)> {
    let claim = log_index::Claim {
        key: ids::RequestKey { high: u64::MAX, low: u64::MAX },
        attempt: ids::AttemptId(u64::MAX),
        body_hash: u64::MAX,
    };
    let settlement = log_index::Settlement {
        key: claim.key,
        attempt: claim.attempt,
        origin: ids::Incarnation(u64::MAX),
        number: 100_000,
        keyed: true,
        body_hash: u64::MAX,
        budget: "workspace-1234/main".to_owned(),
        region: "region-1".to_owned(),
        consumed_tokens: 1_000,
        outcome: None,
    };
    let message_bytes = |message| {
        let id = ids::Incarnation(u64::MAX);
        let envelope = message::Envelope { from: id, to: id, message };
        peers::encode(&message::Frame::Message(envelope)).len()
    };
    let with_updates = |items: usize| {
        let mut gossip = control::gossip(0);
        gossip.member_updates = (0..items).map(control::record).collect();
        peers::encode(&gossip).len()
    };
    let transfer = message::Message::Transfer {
        number: 1_000,
        open_from: 900,
        in_reply_to: 1_000,
        budget: settlement.budget.clone(),
        tokens: 100_000,
    };
    vec![
        ("gossip without news", with_updates(0)),
        ("gossip with 8 news items", with_updates(8)),
        ("claim", message_bytes(message::Message::Claim(claim))),
        (
            "claim reply",
            message_bytes(message::Message::ClaimReply {
                claim,
                verdict: log_index::ClaimVerdict::Granted,
            }),
        ),
        ("settlement", message_bytes(message::Message::Settle(settlement))),
        ("settlement stored", message_bytes(message::Message::SettleStored(claim.attempt))),
        ("settlement durable", message_bytes(message::Message::SettleDurable(claim.attempt))),
        ("transfer", message_bytes(transfer)),
    ]
}
