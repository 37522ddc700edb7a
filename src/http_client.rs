//! HTTP clients that detect half-open connections.

use crate::keep_alive;
use actix_service::ServiceExt;
use actix_tls::connect;
use std::net;
use std::time::Duration;

/// Builds a client that connects from the address `local`, unless that is unspecified, within `connect_timeout`. The
/// client has no timeout for calls; each call sets its own.
pub fn build(
    keep_alive: keep_alive::KeepAlive,
    connect_timeout: Duration,
    local: Option<net::IpAddr>,
) -> awc::Client {
    let tcp = connect::Connector::new(connect::Resolver::default()).service();
    let with_keep_alive = tcp.map(move |connection: connect::Connection<awc::http::Uri, _>| {
        keep_alive.apply_to(connection.io_ref());
        connection
    });
    let connector = awc::Connector::new().connector(with_keep_alive).timeout(connect_timeout);
    let builder = awc::Client::builder().connector(connector).disable_redirects().disable_timeout();
    match local.filter(|ip| !ip.is_unspecified()) {
        Some(local) => builder.local_address(local).finish(),
        None => builder.finish(),
    }
}
