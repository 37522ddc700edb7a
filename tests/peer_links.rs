//! Links between routers, through a proxy that can silence open connections. Guards against a router that keeps sending
//! on a connection which no longer delivers.

#![allow(clippy::unwrap_used, missing_docs)]

use actix::Actor;
use doorswitch::links::relay;
use doorswitch::peers;
use doorswitch_core::{ids, message};
use doorswitch_standins::network;
use std::net::{IpAddr, Ipv4Addr, TcpListener, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

const LOCAL: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// The maximum time until messages are delivered again: a silent link is detected within 3 s, and a new one opens at
/// once.
const DELIVERY_BOUND: Duration = Duration::from_secs(6);

/// Receives for a router: counts the messages that arrive over its links and ignores gossip.
struct MessageCounter(Arc<AtomicUsize>);

impl Actor for MessageCounter {
    type Context = actix::Context<Self>;
}

impl actix::Handler<peers::MessageReceived> for MessageCounter {
    type Result = ();

    fn handle(&mut self, _: peers::MessageReceived, _: &mut Self::Context) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }
}

impl actix::Handler<peers::GossipReceived> for MessageCounter {
    type Result = ();

    fn handle(&mut self, _: peers::GossipReceived, _: &mut Self::Context) {}
}

impl actix::Handler<relay::Open> for MessageCounter {
    type Result = Result<relay::Opened, message::ConnectReply>;

    fn handle(&mut self, _: relay::Open, _: &mut Self::Context) -> Self::Result {
        Err(message::ConnectReply::Unavailable)
    }
}

impl peers::Receiver for MessageCounter {}

/// Starts the peer sockets of a router; returns them, their address and the number of received messages.
fn start() -> (peers::Peers, std::net::SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind((LOCAL, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let datagrams = UdpSocket::bind((LOCAL, 0)).unwrap();
    let arrived = Arc::new(AtomicUsize::new(0));
    let counter = MessageCounter(arrived.clone()).start();
    (peers::Peers::start(listener, datagrams, counter).unwrap(), address, arrived)
}

/// Sends messages until one arrives; false if none does within `time`.
async fn delivers(from: &peers::Peers, to: &str, arrived: &AtomicUsize, time: Duration) -> bool {
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

/// Checks that messages are delivered again after a fault of the link's connection.
fn check_delivery_after(fault: fn(&network::Proxy)) {
    actix_rt::System::new().block_on(async {
        let (sender, _, _) = start();
        let (_receiver, address, arrived) = start();
        let proxy = network::Proxy::start(LOCAL, Some(address)).unwrap();
        let to = proxy.address.to_string();
        assert!(
            delivers(&sender, &to, &arrived, DELIVERY_BOUND).await,
            "no message arrives before the fault"
        );
        fault(&proxy);
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        assert!(
            delivers(&sender, &to, &arrived, DELIVERY_BOUND).await,
            "the faulty link is still used"
        );
    });
}

macro_rules! links_are_replaced {
    ($($name:ident: $fault:expr;)*) => {$(
        #[test]
        fn $name() {
            check_delivery_after($fault);
        }
    )*};
}

links_are_replaced! {
    a_silent_link_is_replaced_while_messages_are_sent: network::Proxy::blackhole_connections;
    a_link_whose_messages_are_not_acknowledged_is_replaced: network::Proxy::discard_connection_data;
}
