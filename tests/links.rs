//! The links of one router beside other routers whose answers a test decides.

#![allow(clippy::unwrap_used, missing_docs)]

use doorswitch::{links, peers, settings};
use doorswitch_core::{ids, links as core_links, message};
use std::io::{Read, Write};
use std::net::TcpListener;
use std::path::Path;
use std::thread;

const SETTINGS: &str = "
vm: vm-1
region: r
failure_domain: a
operators: { listen: \"127.0.0.1:1\" }
peers: { listen: \"127.0.0.1:2\", seeds: [] }
platform: { url: \"http://127.0.0.1:3\", reads_per_s: 1, writes_per_s: 1 }
";
/// Connecting to it from a loopback address fails at once, in another way than by a refusal or a timeout.
const UNREACHABLE: &str = "255.255.255.255:9";

/// Starts a router that answers one request for a connection with `reply`.
fn peer_that_replies(reply: message::ConnectReply) -> core_links::Peer {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut length = [0; 4];
        stream.read_exact(&mut length).unwrap();
        let mut request = vec![0; u32::from_be_bytes(length) as usize];
        stream.read_exact(&mut request).unwrap();
        let reply = peers::encode(&reply);
        stream.write_all(&u32::try_from(reply.len()).unwrap().to_be_bytes()).unwrap();
        stream.write_all(&reply).unwrap();
    });
    core_links::Peer {
        id: ids::Incarnation(2),
        address,
        vm: "vm-2".to_owned(),
        failure_domain: "a".to_owned(),
    }
}

fn links_beside(reply: message::ConnectReply) -> links::Links {
    let settings = settings::Settings::parse(SETTINGS, Path::new("settings")).unwrap();
    let links = links::Links::new(&settings, ids::Incarnation(1));
    links.set_peers(vec![peer_that_replies(reply)]);
    links
}

macro_rules! own_connection_fails {
    ($($name:ident: $reply:ident => $error:pat,)*) => {$(
        #[actix_rt::test]
        async fn $name() {
            let timeout = links::CONNECT_TIMEOUT;
            let links = links_beside(message::ConnectReply::$reply);
            let probed = links.probe(UNREACHABLE, timeout).await.unwrap_err();
            assert!(matches!(probed, $error), "probed: {probed:?}");
            let links = links_beside(message::ConnectReply::$reply);
            let connected = links.connect(UNREACHABLE).await.unwrap_err();
            assert!(matches!(connected, $error), "connected: {connected:?}");
        }
    )*};
}

// Guards against a crash that is not counted because the connection was reset as the server's listener closed.
own_connection_fails! {
    a_server_that_refuses_another_router_counts_as_refusing: Refused => links::Error::Refused,
    a_failure_that_another_router_cannot_explain_stays_as_it_is: Unavailable => links::Error::Failed { .. },
}
