//! The control actor: owns the core's state and all traffic with the platform and with peers.

mod handlers;
mod messages;
mod stores;

pub use messages::*;

use crate::{
    clock, feed, http_client, links, logging, peers, platform, settings, snapshot, telemetry,
};
use actix::prelude::{Actor, ActorFutureExt, AsyncContext, Context, WrapFuture};
use doorswitch_core::{
    config, ids, links as core_links, machine_clock, members, node, servers, store, watch,
};
use futures_util::future;
use std::sync::Arc;
use std::time::{Duration, Instant};
use std::{collections, net};
use tokio::sync::oneshot;

/// The time between two calls of the core's periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// How often the links get the live routers, also if their number is the same, and, if the list has changed, the
/// services of the servers in it.
const LINKS_INTERVAL: Duration = Duration::from_millis(500);
/// The mean delay before a watch that failed is repeated; jitter is added.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(500);
/// How long a poll of a server's load waits for the head of the answer, and then for the rest of it.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);
/// The minimum time between two log lines for unreadable eras, in milliseconds.
const ERA_UNREADABLE_LOG_INTERVAL_MS: u64 = 60_000;
/// Receives the core's answer for a request; the actor keeps the sender.
pub type Reply = oneshot::Receiver<node::Answer>;

/// The parameters of a new control actor.
pub struct Parts {
    /// The settings of this process.
    pub settings: Arc<settings::Settings>,
    /// The state that traffic threads read.
    pub published: Arc<snapshot::Published>,
    /// The bound sockets for peers: connections and datagrams.
    pub sockets: (net::TcpListener, net::UdpSocket),
    /// When the sockets were bound, by the steady clock of the machine; `None` if it has none.
    pub address_bound_ms: Option<u64>,
    /// The incarnation of this router process.
    pub incarnation: ids::Incarnation,
    /// The links of this router to servers.
    pub links: Arc<links::Links>,
}

/// The control actor, which owns the core.
pub struct Control {
    settings: Arc<settings::Settings>,
    published: Arc<snapshot::Published>,
    sockets: Option<(net::TcpListener, net::UdpSocket)>,
    incarnation: ids::Incarnation,
    links: Arc<links::Links>,
    /// The number of live routers when the links last got them.
    links_live_routers: u64,
    /// The position of the list of VMs whose services the links have.
    links_vms_index: store::Position,
    node: node::Node,
    platform: stores::Store,
    /// Polls the store for the core; `None` with the Consul protocol, whose watches this actor makes itself.
    feed: Option<feed::Feed>,
    http: http_client::ServerClients,
    peers: Option<peers::Peers>,
    waiters: collections::HashMap<ids::RequestSlot, oneshot::Sender<node::Answer>>,
    origin_waiters: collections::HashMap<ids::OriginSearchSlot, oneshot::Sender<node::OriginFound>>,
    started: Instant,
    config_index: u64,
    vms_index: u64,
    /// The number of times the index of the platform's list of VMs decreased.
    platform_era: u64,
    load_polls: collections::HashSet<ids::ServerSlot>,
    /// Polls in flight, by topic and number.
    polls: collections::HashMap<(watch::Topic, u64), actix::SpawnHandle>,
    telemetry: telemetry::Reporter,
    /// The last published revision of the suspected requests.
    suspected_revision: u64,
    /// The last logged era of the store.
    logged_era: Option<u64>,
    /// The time at which an unreadable era was last logged, in milliseconds since the start.
    era_unreadable_logged_ms: Option<u64>,
}

impl Control {
    /// Creates an actor without starting it.
    pub fn new(parts: Parts) -> Self {
        let settings = parts.settings;
        let platform = stores::Store::new(&settings);
        // Read before the start of the node's time, so that the node's times on this clock are never too late.
        let machine_clock = clock::machine_clock(parts.address_bound_ms);
        log_machine_clock(machine_clock.as_ref());
        Self {
            node: new_node(core_settings(&settings, parts.incarnation, machine_clock), &settings),
            published: parts.published,
            sockets: Some(parts.sockets),
            incarnation: parts.incarnation,
            links: parts.links.clone(),
            links_live_routers: 1,
            links_vms_index: store::Position::START,
            feed: platform.revisions().cloned().map(feed::Feed::new),
            platform,
            http: http_client::ServerClients::new(parts.links),
            peers: None,
            waiters: Default::default(),
            origin_waiters: Default::default(),
            started: Instant::now(),
            config_index: 0,
            vms_index: 0,
            platform_era: 0,
            load_polls: Default::default(),
            polls: Default::default(),
            telemetry: telemetry::Reporter::default(),
            suspected_revision: 0,
            logged_era: None,
            era_unreadable_logged_ms: None,
            settings,
        }
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn tick(&mut self, context: &mut Context<Self>) {
        let now_ms = self.now_ms();
        for change in self.links.take_changes() {
            self.node.handle_links_changed(&change, now_ms);
        }
        self.node.tick(now_ms);
        let live_routers = self.node.members().live_count();
        if live_routers != self.links_live_routers {
            self.links_live_routers = live_routers;
            self.links.set_peers(self.peers_for_connections());
        }
        self.perform_actions(context);
        let age_ms = self.node.age_ms(watch::Topic::Configuration, now_ms);
        self.published.set_config_age_ms(age_ms);
        if self.node.lifecycle() == node::Lifecycle::Stopped {
            self.published.set_stopped();
        }
        self.telemetry.report(&self.node, now_ms);
    }

    fn perform_actions(&mut self, context: &mut Context<Self>) {
        self.published.set_ready(self.node.lifecycle() == node::Lifecycle::Ready);
        self.publish_suspected();
        self.update_services_of_links();
        let servers = self.node.servers();
        let any_limits = !servers.limits().is_empty() || !servers.seats().is_empty();
        self.published.set_any_limits(any_limits);
        for action in self.node.take_actions() {
            match action {
                node::Action::Store { call, request } => self.call_store(call, request, context),
                node::Action::Send { address, envelope } => {
                    if let Some(peers) = &self.peers {
                        peers.send(&address, envelope);
                    }
                }
                node::Action::Poll(poll) => self.poll_store(poll, context),
                node::Action::CancelPoll { topic, number } => {
                    self.cancel_poll(topic, number, context);
                }
                node::Action::Announce => self.announce(context),
                node::Action::Gossip { address, gossip } => {
                    if let Some(peers) = &self.peers {
                        peers.gossip(&address, gossip);
                    }
                }
                node::Action::Answer { slot, answer } => self.answer(slot, answer),
                node::Action::OriginFound { search, found } => {
                    if let Some(waiter) = self.origin_waiters.remove(&search) {
                        // The client may have closed its connection.
                        let _ = waiter.send(found);
                    }
                }
                node::Action::ConfigInForce { version, source } => {
                    self.publish_config(version, source)
                }
                node::Action::ServerRestarted { vm, incarnation } => {
                    self.published.publish_restart(vm, incarnation);
                }
                node::Action::Notice(notice) => telemetry::log_notice(&notice),
            }
        }
    }

    fn exchange_with_links(&mut self, _: &mut Context<Self>) {
        telemetry::report_links(&self.links.state());
        self.links.set_peers(self.peers_for_connections());
    }

    /// Passes the services of the listed servers to the links if the list has changed. A router without them takes lost
    /// links for the failure of a server.
    fn update_services_of_links(&mut self) {
        if self.node.vms_index() == self.links_vms_index {
            return;
        }
        self.links_vms_index = self.node.vms_index();
        let servers = self.node.servers().iter().filter(|(_, server)| !server.is_superseded());
        let services = servers
            .map(|(_, server)| (server.vm.address.clone(), server.vm.service.clone()))
            .collect();
        self.links.set_services(services);
    }

    /// The live routers that may be asked for connections to servers.
    fn peers_for_connections(&self) -> Vec<core_links::Peer> {
        let live = self.node.members().live();
        live.filter(|record| record.health == members::Health::Alive)
            .map(|record| core_links::Peer {
                id: record.id,
                address: record.address.clone(),
                vm: record.vm.clone(),
                failure_domain: record.failure_domain.clone(),
            })
            .collect()
    }

    /// Passes the store's era to the core, including that of answers without other content.
    fn handle_store_era(&mut self) {
        let Some(store) = self.platform.revisions().cloned() else { return };
        let era = store.era();
        if era != self.logged_era {
            let previous = self.logged_era.map_or_else(|| "none".to_owned(), |era| era.to_string());
            log::info!("event=store_era era={} previous={previous}", era.unwrap_or(0));
            self.logged_era = era;
        }
        let now_ms = self.now_ms();
        if let Some(era) = era {
            self.node.handle_store_era(era, now_ms);
        }
        let due = self
            .era_unreadable_logged_ms
            .is_none_or(|at_ms| now_ms >= at_ms + ERA_UNREADABLE_LOG_INTERVAL_MS);
        if due && store.take_era_unreadable() {
            self.era_unreadable_logged_ms = Some(now_ms);
            log::warn!("event=store_era_unreadable");
        }
    }

    fn publish_suspected(&mut self) {
        let revision = self.node.suspected_revision();
        if revision != self.suspected_revision {
            self.suspected_revision = revision;
            self.published.set_suspected(self.node.suspected_heads());
        }
    }

    fn call_store(
        &self,
        call: ids::CallId,
        request: doorswitch_core::store::Request,
        context: &mut Context<Self>,
    ) {
        let platform = self.platform.clone();
        let reply = async move { platform.call(request).await };
        let done = reply.into_actor(self).map(move |reply, control, context| {
            control.handle_store_era();
            let now_ms = control.now_ms();
            control.node.handle_store_reply(call, reply, now_ms);
            control.perform_actions(context);
        });
        context.spawn(done);
    }

    fn answer(&mut self, slot: ids::RequestSlot, answer: node::Answer) {
        let Some(waiter) = self.waiters.remove(&slot) else { return };
        let dispatched = matches!(answer, node::Answer::Dispatch { .. });
        if waiter.send(answer).is_err() && dispatched {
            // The caller disconnected while the request was queued: nothing was sent to a server.
            let now_ms = self.now_ms();
            self.node.finish(slot, node::RequestOutcome::NotRun, now_ms);
        }
    }

    fn publish_config(&mut self, version: u64, source: node::ConfigSource) {
        let Some(published) = self.node.config().cloned() else { return };
        let workspaces = published.document.workspaces.iter();
        let budgets = workspaces.flat_map(|workspace| &workspace.budgets);
        let prepaid_tokens: u64 = budgets.filter_map(|budget| budget.prepaid_tokens).sum();
        let snapshot = snapshot::Snapshot::new(published);
        self.published.snapshot.store(Some(Arc::new(snapshot)));
        telemetry::log_config(&self.node, version, source, prepaid_tokens, self.now_ms());
    }

    fn register_waiter(&mut self, slot: ids::RequestSlot) -> Reply {
        let (sender, receiver) = oneshot::channel();
        self.waiters.insert(slot, sender);
        receiver
    }

    fn watch_config(&self, platform: platform::Client, context: &mut Context<Self>) {
        let next_client = platform.clone();
        let index = self.config_index;
        let watch = async move { platform.watch(config::KEY, index).await };
        let done = watch.into_actor(self).map(move |result, control, context| {
            let pause = control.handle_config_watch(result);
            control.perform_actions(context);
            context.run_later(pause, |control, context| control.watch_config(next_client, context));
        });
        context.spawn(done);
    }

    /// Passes the result of a watch to the core. Returns the delay before the next watch.
    fn handle_config_watch(
        &mut self,
        result: Result<Option<platform::Entry>, platform::Error>,
    ) -> Duration {
        match result {
            Ok(Some(entry)) => {
                self.config_index = entry.index;
                match serde_json::from_slice::<config::Published>(&entry.value) {
                    Ok(published) => {
                        let now_ms = self.now_ms();
                        self.node.offer_config(published, now_ms);
                    }
                    Err(error) => {
                        log::error!("event=config_unreadable fault={}", logging::quoted(error));
                    }
                }
                jittered(Duration::from_millis(20))
            }
            Ok(None) => jittered(WATCH_RETRY_DELAY),
            Err(error) => {
                log::debug!("event=config_watch_failed fault={}", logging::quoted(error));
                jittered(WATCH_RETRY_DELAY)
            }
        }
    }

    fn watch_vms(&self, platform: platform::Client, context: &mut Context<Self>) {
        let next_client = platform.clone();
        let index = self.vms_index;
        let watch = async move { platform.vms(index).await };
        let done = watch.into_actor(self).map(move |result, control, context| {
            let pause = match result {
                Ok(list) => {
                    // A lower index means that the platform was restored from a snapshot.
                    control.platform_era += u64::from(list.index < control.vms_index);
                    control.vms_index = list.index;
                    let now_ms = control.now_ms();
                    let index = store::Position { era: control.platform_era, revision: list.index };
                    control.node.offer_vms(index, list.vms, now_ms);
                    control.perform_actions(context);
                    Duration::from_millis(20)
                }
                Err(error) => {
                    log::debug!("event=vms_watch_failed fault={}", logging::quoted(error));
                    WATCH_RETRY_DELAY
                }
            };
            context.run_later(jittered(pause), |control, context| {
                control.watch_vms(next_client, context);
            });
        });
        context.spawn(done);
    }

    fn poll_store(&mut self, poll: watch::Poll, context: &mut Context<Self>) {
        let Some(feed) = self.feed.clone() else { return };
        let done = feed.poll(poll).into_actor(self).map(move |outcome, control, context| {
            control.polls.remove(&(poll.topic, poll.number));
            control.handle_store_era();
            let now_ms = control.now_ms();
            control.node.poll_ended(poll, outcome, now_ms);
            control.perform_actions(context);
        });
        self.polls.insert((poll.topic, poll.number), context.spawn(done));
    }

    /// Cancels a poll, which closes its connection.
    fn cancel_poll(&mut self, topic: watch::Topic, number: u64, context: &mut Context<Self>) {
        if let Some(handle) = self.polls.remove(&(topic, number)) {
            context.cancel_future(handle);
        }
    }

    fn announce(&self, context: &mut Context<Self>) {
        let stores::Store::Revisions(client) = self.platform.clone() else { return };
        let advertised = self.settings.advertised().to_string();
        let vm = self.settings.vm.clone();
        actix::spawn(feed::record_and_find_peers(client, vm, advertised, context.address()));
    }

    fn poll_loads(&mut self, context: &mut Context<Self>) {
        let servers_max = self.settings.limits.load_subset as usize;
        let due: Vec<(ids::ServerSlot, String)> = self
            .node
            .servers()
            .subset(self.incarnation, servers_max, self.now_ms())
            .into_iter()
            .filter(|(slot, _)| !self.load_polls.contains(slot))
            .map(|(slot, server)| (slot, server.vm.address.clone()))
            .collect();
        for (slot, address) in due {
            self.load_polls.insert(slot);
            let http = self.http.clone();
            let load = async move { fetch_load(&http, &address).await };
            let done = load.into_actor(self).map(move |load, control, _| {
                control.load_polls.remove(&slot);
                if let Some(load) = load {
                    control.node.report_load(slot, load);
                }
            });
            context.spawn(done);
        }
    }
}

impl Actor for Control {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        use actix::AsyncContext as _;
        if let Some((listener, datagrams)) = self.sockets.take() {
            match peers::Peers::start(listener, datagrams, context.address()) {
                Ok(peers) => self.peers = Some(peers),
                Err(error) => {
                    log::error!("event=peers_failed fault={}", logging::quoted(error));
                }
            }
        }
        context.run_interval(TICK_INTERVAL, Control::tick);
        context.run_interval(LINKS_INTERVAL, Control::exchange_with_links);
        match self.platform.clone() {
            stores::Store::Consul(client) => {
                self.watch_config(client.clone(), context);
                self.watch_vms(client, context);
                let poll = Duration::from_millis(self.settings.limits.load_poll_ms);
                context.run_interval(poll, Control::poll_loads);
            }
            // The core requests its polls by actions.
            stores::Store::Revisions(_) => {}
        }
    }
}

/// Waits for the answer to a message of the control actor; `None` if the actor has stopped.
pub async fn await_answer(reply: Result<Reply, actix::MailboxError>) -> Option<node::Answer> {
    match reply {
        Ok(receiver) => receiver.await.ok(),
        Err(_) => future::ready(None).await,
    }
}

async fn fetch_load(http: &http_client::ServerClients, address: &str) -> Option<servers::Load> {
    let client = http.client(address);
    let request = client.get(format!("http://{address}/load")).timeout(LOAD_TIMEOUT);
    let Ok(response) = request.send().await else {
        http.links().check_after_poll(address).await;
        return None;
    };
    if !response.status().is_success() {
        return None;
    }
    // The timeout of the request ends with the head of the answer.
    let mut response = response.timeout(LOAD_TIMEOUT);
    response.json::<servers::Load>().await.ok()
}

fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::random_range(0.5..1.5))
}

/// Logs the clock by which a successor tells what this router cannot have spent.
fn log_machine_clock(clock: Option<&machine_clock::MachineClock>) {
    match clock {
        Some(clock) => log::info!(
            "event=machine_clock boot={} epoch_ms={} origin_ms={} address_bound_ms={}",
            clock.run.boot,
            clock.run.epoch_ms,
            clock.origin_ms,
            clock.address_bound_ms
        ),
        None => log::warn!("event=machine_clock_unknown"),
    }
}

fn new_node(core_settings: node::Settings, settings: &settings::Settings) -> node::Node {
    let mut node = node::Node::new(core_settings, rand::random(), 0);
    node.set_backup_age_ms(settings.platform.backup_age_s * 1_000);
    if settings.platform.first_start == Some(true) {
        node.set_first_start();
    }
    node
}

fn core_settings(
    settings: &settings::Settings,
    incarnation: ids::Incarnation,
    machine_clock: Option<machine_clock::MachineClock>,
) -> node::Settings {
    node::Settings {
        incarnation,
        vm: settings.vm.clone(),
        address: settings.advertised().to_string(),
        failure_domain: settings.failure_domain.clone(),
        region: settings.region.clone(),
        started_s: clock::unix_time_s(),
        machine_clock,
        seeds: settings.peers.seed_addresses(),
        watch: settings.platform.watch_bounds(),
        platform_reads_per_s: settings.platform.reads_per_s,
        platform_writes_per_s: settings.platform.writes_per_s,
        budget_wait_ms: settings.limits.budget_wait_ms,
        claim_wait_ms: settings.limits.claim_wait_ms,
        handover_wait_ms: settings.limits.handover_wait_ms,
    }
}
