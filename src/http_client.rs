//! HTTP clients that detect half-open connections.

use crate::{keep_alive, links};
use actix_service::ServiceExt;
use actix_tls::connect;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::{collections, net};

/// The most addresses that are remembered; those of servers that have gone are among them.
const NAMING_MAX: usize = 8_192;

/// Clients for backend servers, whose connections are made over the router's links.
#[derive(Clone)]
pub struct ServerClients {
    links: Arc<links::Links>,
    direct: awc::Client,
    /// For servers whose links are lost: it keeps no connections that were made before.
    relayed: awc::Client,
    /// For calls that close their connections, so that none is shared with an earlier call.
    unshared: awc::Client,
    /// The addresses of the servers that named the call in their last answer.
    naming: Rc<RefCell<collections::HashSet<String>>>,
}

/// A call that is ready to be completed and sent.
pub struct Started {
    /// The call.
    pub request: awc::ClientRequest,
    /// Whether its connection may have carried another call, so that only an answer that names this one belongs to it.
    pub shared: bool,
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
        Self { links, direct, relayed, unshared, naming: Rc::default() }
    }

    /// Starts a call to the server at an address. It has a connection of its own, on which no answer to another call can
    /// arrive, unless it `may_share` one and the server names the call in its answers.
    pub fn start(
        &self,
        address: &str,
        method: awc::http::Method,
        path: &str,
        may_share: bool,
    ) -> Started {
        let url = format!("http://{address}{path}");
        if may_share && self.naming.borrow().contains(address) {
            return Started { request: self.client(address).request(method, url), shared: true };
        }
        Started { request: self.unshared.request(method, url).force_close(), shared: false }
    }

    /// Records whether the server at an address has named the call in its answer.
    pub fn record_naming(&self, address: &str, named: bool) {
        let mut naming = self.naming.borrow_mut();
        if !named {
            naming.remove(address);
        } else if !naming.contains(address) {
            if naming.len() >= NAMING_MAX {
                naming.clear();
            }
            naming.insert(address.to_owned());
        }
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
