//! The client of the platform's store, for each protocol.

use crate::{http_client, keep_alive, platform, settings};
use doorswitch_core::store as core_store;
use doorswitch_platform::store;
use std::time::Duration;

/// A client of the platform's store, by the protocol in the settings.
#[derive(Clone)]
pub(super) enum Store {
    Consul(platform::Client),
    Revisions(store::Client),
}

impl Store {
    pub(super) fn new(settings: &settings::Settings) -> Self {
        let (url, timeout_ms) = (&settings.platform.url, settings.platform.timeout_ms);
        let local = Some(settings.peers.listen.ip());
        match settings.platform.protocol {
            settings::Protocol::Consul => {
                Self::Consul(platform::Client::new(url, timeout_ms, local))
            }
            settings::Protocol::Revisions => {
                let timeout = Duration::from_millis(timeout_ms);
                let http = http_client::build(keep_alive::STORE, timeout, local);
                Self::Revisions(store::Client::new(http, url, timeout))
            }
        }
    }

    /// The client, if the protocol is the one whose changes the core polls for.
    pub(super) fn revisions(&self) -> Option<&store::Client> {
        match self {
            Self::Consul(_) => None,
            Self::Revisions(client) => Some(client),
        }
    }

    pub(super) async fn call(&self, request: core_store::Request) -> core_store::Reply {
        match self {
            Self::Consul(client) => client.call(request).await,
            Self::Revisions(client) => client.call(request).await,
        }
    }
}
