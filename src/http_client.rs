//! HTTP clients that detect half-open connections.

use crate::{keep_alive, links};
use actix_service::ServiceExt;
use actix_tls::connect;
use std::net;
use std::sync::Arc;
use std::time::Duration;

/// Clients for backend servers, whose connections are made over the router's links.
#[derive(Clone)]
pub struct ServerClients {
    links: Arc<links::Links>,
    direct: awc::Client,
    /// For servers whose links are lost: it keeps no connections that were made before.
    relayed: awc::Client,
    /// For calls that close their connections, so that none is shared with an earlier call.
    unshared: awc::Client,
}

impl ServerClients {
    /// The links over which the connections are made.
    pub fn links(&self) -> &links::Links {
        &self.links
    }

    /// Clients without connections.
    pub fn new(links: Arc<links::Links>) -> Self {
        let connector = || {
            let links = links.clone();
            let connect = move |request: connect::ConnectInfo<awc::http::Uri>| {
                let links = links.clone();
                async move {
                    let address = format!("{}:{}", request.hostname(), request.port());
                    let connected = links.connect(&address).await;
                    let established =
                        connected.map_err(|error| connect::ConnectError::Io(error.into()))?;
                    Ok(connect::Connection::new(request.request().clone(), established.stream))
                }
            };
            awc::Connector::new().connector(actix_service::fn_service(connect))
        };
        let build = |connector| {
            awc::Client::builder()
                .connector(connector)
                .disable_redirects()
                .disable_timeout()
                .finish()
        };
        let direct = build(connector());
        let relayed = build(connector().conn_lifetime(links::RELAYED_AGE_MAX));
        let unshared = build(connector());
        Self { links, direct, relayed, unshared }
    }

    /// Starts a call on a connection of its own, on which no answer to another call can arrive.
    pub fn request_alone(&self, method: awc::http::Method, url: String) -> awc::ClientRequest {
        self.unshared.request(method, url).force_close()
    }

    /// The client for the server at an address.
    pub fn client(&self, address: &str) -> &awc::Client {
        match self.links.is_lost(address) {
            true => &self.relayed,
            false => &self.direct,
        }
    }
}

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
