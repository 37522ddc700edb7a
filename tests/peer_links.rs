//! Links between routers, beside a network that can let open connections go silent.

#![allow(clippy::unwrap_used, missing_docs)]

use actix::Actor;
use doorswitch::peers;
use doorswitch_core::{ids, message};
use doorswitch_standins::network;
use std::net::{IpAddr, Ipv4Addr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const LOCAL: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// By when messages pass again: a link's silence shows within 3 s, and a new one comes up at once.
const PASSES_AGAIN: Duration = Duration::from_secs(6);

/// Counts the messages that arrive.
struct Counter(Arc<AtomicUsize>);

impl Actor for Counter {
    type Context = actix::Context<Self>;
}

impl actix::Handler<peers::MessageReceived> for Counter {
    type Result = ();

    fn handle(&mut self, _: peers::MessageReceived, _: &mut Self::Context) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

impl actix::Handler<peers::GossipReceived> for Counter {
    type Result = ();

    fn handle(&mut self, _: peers::GossipReceived, _: &mut Self::Context) {}
}

impl peers::Receiver for Counter {}

/// A router's sockets, and how many messages arrived on them.
fn start() -> (peers::Peers, std::net::SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind((LOCAL, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let datagrams = UdpSocket::bind((LOCAL, 0)).unwrap();
    let arrived = Arc::new(AtomicUsize::new(0));
    let counter = Counter(arrived.clone()).start();
    (peers::Peers::start(listener, datagrams, counter).unwrap(), address, arrived)
}

/// Sends messages until one arrives.
async fn passes(from: &peers::Peers, to: &str, arrived: &AtomicUsize, time: Duration) -> bool {
    let before = arrived.load(Ordering::Relaxed);
    let deadline = Instant::now() + time;
    while arrived.load(Ordering::Relaxed) == before && Instant::now() < deadline {
        let envelope = message::Envelope {
            from: ids::Incarnation(1),
            to: ids::Incarnation(2),
            message: message::Message::StaleHolder { shard: 0 },
        };
        from.send(to, envelope);
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    arrived.load(Ordering::Relaxed) > before
}

/// Messages pass again after the link's connection was harmed.
fn passes_after(harm: fn(&network::Proxy)) {
    actix_rt::System::new().block_on(async {
        let (one, _, _) = start();
        let (_other, address, arrived) = start();
        let proxy = network::Proxy::start(LOCAL, Some(address)).unwrap();
        let to = proxy.address.to_string();
        assert!(passes(&one, &to, &arrived, PASSES_AGAIN).await, "nothing arrives at all");
        harm(&proxy);
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        assert!(passes(&one, &to, &arrived, PASSES_AGAIN).await, "the harmed link is kept");
    });
}

macro_rules! links_are_replaced {
    ($($name:ident: $harm:expr;)*) => {$(
        #[test]
        fn $name() {
            passes_after($harm);
        }
    )*};
}

links_are_replaced! {
    a_link_that_goes_silent_is_replaced_while_messages_are_sent: network::Proxy::blackhole_connections;
    a_link_whose_messages_stay_unanswered_is_replaced: network::Proxy::discard_connection_data;
}
