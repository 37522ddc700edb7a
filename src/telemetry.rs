//! Metrics in the Prometheus text format, and log lines for notices of the core.

mod notices;
mod overflows;

pub use notices::log_notice;

use crate::{links, logging};
use doorswitch_core::{grants, node, servers, watch};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::sync::OnceLock;

/// The time between two updates of the metrics.
const METRICS_INTERVAL_MS: u64 = 500;
/// The time between two sets of log lines on the fleet, staleness and budgets.
const LOG_INTERVAL_MS: u64 = 5_000;

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the metrics recorder of this process.
pub fn start() {
    HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        let _ = metrics::set_global_recorder(recorder);
        handle
    });
}

/// All metrics as Prometheus text.
pub fn render() -> String {
    HANDLE.get().map(PrometheusHandle::render).unwrap_or_default()
}

/// Copies the core's counters to the metrics at intervals, and writes the periodic log lines.
#[derive(Debug, Default)]
pub struct Reporter {
    logged_ms: u64,
    reported_ms: u64,
    /// The count of dropped connections in the last log line on them, or at the start.
    overflows_logged: Option<u64>,
}

impl Reporter {
    /// Updates the metrics and writes the log lines whose interval has passed.
    pub fn report(&mut self, node: &node::Node, now_ms: u64) {
        if now_ms < self.reported_ms + METRICS_INTERVAL_MS {
            return;
        }
        self.reported_ms = now_ms;
        if now_ms >= self.logged_ms + LOG_INTERVAL_MS {
            self.logged_ms = now_ms;
            log_fleet(node);
            log_staleness(node, now_ms);
            log_balances(node, now_ms);
        }
        self.report_overflows(now_ms);
        let counters = node.counters();
        let counts = [
            ("doorswitch_admitted_total", counters.admitted),
            ("doorswitch_dispatched_total", counters.dispatched),
            ("doorswitch_settled_total", counters.settled),
            ("doorswitch_closed_unsafe_total", counters.closed_unsafe),
            ("doorswitch_not_run_total", counters.not_run),
            ("doorswitch_replayed_total", counters.replayed),
            ("doorswitch_server_crashes_total", counters.server_crashes),
            ("doorswitch_consumed_tokens_total", counters.consumed_tokens),
            ("doorswitch_written_off_tokens_total", counters.written_off_tokens),
            ("doorswitch_overrun_tokens_total", counters.overrun_tokens),
            ("doorswitch_platform_reads_total", counters.platform_reads),
            ("doorswitch_platform_writes_total", counters.platform_writes),
            ("doorswitch_platform_unknown_total", counters.platform_unknown),
            ("doorswitch_platform_conflicts_total", counters.platform_conflicts),
            ("doorswitch_messages_sent_total", counters.messages_sent),
            ("doorswitch_gossip_sent_total", counters.gossip_sent),
            ("doorswitch_transfers_sent_total", counters.transfers_sent),
            ("doorswitch_transfers_received_total", counters.transfers_received),
            ("doorswitch_store_restores_total", counters.store_restores),
            ("doorswitch_seat_requests_total", counters.seat_requests),
        ];
        for (name, value) in counts {
            metrics::counter!(name).absolute(value);
        }
        for (reason, count) in &counters.refused {
            metrics::counter!("doorswitch_refused_total", "reason" => reason.as_str())
                .absolute(*count);
        }
        for (source, count) in &counters.stream_origins {
            metrics::counter!("doorswitch_stream_origins_total", "source" => source.as_str())
                .absolute(*count);
        }
        metrics::gauge!("doorswitch_stream_origins").set(node.stream_origins_kept() as f64);
        report_directives(node);
        for ((purpose, outcome), count) in &counters.store_calls {
            let labels = [("purpose", purpose.as_str()), ("outcome", outcome.as_str())];
            metrics::counter!("doorswitch_store_calls_total", &labels).absolute(*count);
        }
        for (topic, age_ms) in node.staleness_ms(now_ms) {
            let Some(age_ms) = age_ms else { continue };
            metrics::gauge!("doorswitch_news_age_ms", "topic" => topic.as_str()).set(age_ms as f64);
        }
        metrics::gauge!("doorswitch_store_era").set(node.store_era() as f64);
        metrics::gauge!("doorswitch_config_version").set(node.config_version() as f64);
        metrics::gauge!("doorswitch_members").set(node.members().live_count() as f64);
        let quarantined = node.quarantine().quarantined(now_ms).len();
        metrics::gauge!("doorswitch_quarantined_requests").set(quarantined as f64);
        let suspected = node.quarantine().suspected();
        metrics::gauge!("doorswitch_suspected_requests").set(suspected as f64);
        for (_, account) in node.grants().iter() {
            let budget = account.name.clone();
            let free = account.free_tokens() as f64;
            metrics::gauge!("doorswitch_budget_free_tokens", "budget" => budget).set(free);
            if account.has_grant || account.consumed_tokens > 0 {
                report_tokens(account);
            }
        }
    }

    /// Counts the connections that the kernel dropped, and logs how many since the last line.
    fn report_overflows(&mut self, now_ms: u64) {
        let Some(count) = overflows::read() else { return };
        metrics::counter!("doorswitch_listen_overflows_total").absolute(count);
        let logged = self.overflows_logged.get_or_insert(count);
        if *logged < count && self.logged_ms == now_ms {
            log::warn!("event=connections_dropped count={}", count - *logged);
            *logged = count;
        }
    }
}

/// Sets the metrics of this router's links to servers.
pub fn report_links(state: &links::State) {
    metrics::gauge!("doorswitch_all_links_lost").set(f64::from(state.all_lost_ms.is_some()));
    metrics::gauge!("doorswitch_links_lost").set(state.lost_ms.len() as f64);
    metrics::gauge!("doorswitch_relayed_connections").set(state.relayed_connections as f64);
}

/// Sets the metrics of servers that limit or refuse requests by directives, and of the requests that this affected, by
/// service.
fn report_directives(node: &node::Node) {
    let servers = node.servers();
    let limited = servers.limited_services();
    let seats = servers.seats();
    for service in node.config().iter().flat_map(|config| &config.document.services) {
        let of_service = |server: &servers::Server| server.vm.service == service.name;
        let backing_off = servers.backing_off().filter_map(|(slot, _)| servers.get(slot));
        let leaving = servers.iter().filter(|(_, server)| server.is_leaving());
        let counts = [
            ("doorswitch_limited_servers", limited.get(service.name.as_str()).map_or(0, Vec::len)),
            (
                "doorswitch_backing_off_servers",
                backing_off.filter(|server| of_service(server)).count(),
            ),
            (
                "doorswitch_brittle_servers",
                seats
                    .iter()
                    .filter_map(|(slot, _)| servers.get(slot))
                    .filter(|s| of_service(s))
                    .count(),
            ),
            (
                "doorswitch_leaving_servers",
                leaving.filter(|(_, server)| of_service(server)).count(),
            ),
        ];
        for (name, count) in counts {
            metrics::gauge!(name, "service" => service.name.clone()).set(count as f64);
        }
    }
    for (service, count) in &node.counters().server_backoffs {
        let service = service.clone();
        metrics::counter!("doorswitch_server_backoffs_total", "service" => service)
            .absolute(*count);
    }
    for (service, count) in &node.counters().brittle_rejections {
        let service = service.clone();
        metrics::counter!("doorswitch_brittle_rejections_total", "service" => service)
            .absolute(*count);
    }
    for (service, count) in servers.held_back() {
        let service = service.clone();
        metrics::counter!("doorswitch_held_back_total", "service" => service).absolute(*count);
    }
    for (service, count) in &node.counters().refused_for_limits {
        let service = service.clone();
        metrics::counter!("doorswitch_refused_for_limits_total", "service" => service)
            .absolute(*count);
    }
}

/// Sets the tokens of a budget that this router has or had, by state.
fn report_tokens(account: &grants::Account) {
    let states = [
        ("granted", account.granted_tokens),
        ("received", account.received_tokens),
        ("reserved", account.reserved_tokens),
        ("consumed", account.consumed_tokens),
        ("sent", account.sent_tokens),
        ("returning", account.returning_tokens),
        ("written_off", account.written_off_tokens),
    ];
    for (state, tokens) in states {
        let labels = [("budget", account.name.clone()), ("state", state.to_owned())];
        metrics::gauge!("doorswitch_budget_tokens", &labels).set(tokens as f64);
    }
}

/// Logs this router's view of the fleet, and its calls to the store.
fn log_fleet(node: &node::Node) {
    let counters = node.counters();
    let budgets_held = node.grants().iter().filter(|(_, account)| account.holder).count();
    let budgets_with_grant = node.grants().iter().filter(|(_, account)| account.has_grant).count();
    log::info!(
        "event=fleet routers={} suspected={} budgets_held={budgets_held} budgets_with_grant={budgets_with_grant} \
         store_reads={} store_writes={} store_unanswered={} store_conflicts={} messages={} \
         gossip={} transfers_sent={} transfers_received={} written_off_tokens={}",
        node.members().live_count(),
        node.members().suspected_count(),
        counters.platform_reads,
        counters.platform_writes,
        counters.platform_unknown,
        counters.platform_conflicts,
        counters.messages_sent,
        counters.gossip_sent,
        counters.transfers_sent,
        counters.transfers_received,
        counters.written_off_tokens,
    );
    let calls = counters.store_calls.iter();
    let calls = calls.map(|((purpose, outcome), count)| {
        format!("{}_{}={count}", purpose.as_str(), outcome.as_str())
    });
    log::info!("event=store_calls {}", calls.collect::<Vec<_>>().join(" "));
}

/// Logs the staleness of the copy of each topic. A copy that is older than the wait of a poll is no longer kept
/// current by polls.
fn log_staleness(node: &node::Node, now_ms: u64) {
    for (topic, age_ms) in node.staleness_ms(now_ms) {
        log::info!(
            "event=news_age topic={} age_ms={}",
            topic.as_str(),
            logging::ms_or_never(age_ms)
        );
    }
}

/// Logs a configuration that came into force, with its source and the staleness of the copy that it replaced.
pub fn log_config(
    node: &node::Node,
    version: u64,
    source: node::ConfigSource,
    prepaid_tokens: u64,
    now_ms: u64,
) {
    let source = match source {
        node::ConfigSource::Store => "store".to_owned(),
        node::ConfigSource::Peer(peer) => peer.to_string(),
    };
    let age_ms = node.age_ms(watch::Topic::Configuration, now_ms);
    let polls = node.open_polls(watch::Topic::Configuration, now_ms);
    log::info!(
        "event=config_in_force version={version} source={source} age_ms={} open_calls={} \
         prepaid_tokens={prepaid_tokens}",
        logging::ms_or_never(age_ms),
        open_calls(&polls),
    );
}

/// The value of the key `open_calls`: each poll in flight, when it was sent, and how long the store may wait.
fn open_calls(polls: &[watch::OpenPoll]) -> String {
    logging::quoted(logging::joined(polls.iter().map(|poll| {
        let watch::OpenPoll { number, wait_ms, sent_ms_ago } = poll;
        format!("{number}:wait_ms={wait_ms}:sent_ms_ago={sent_ms_ago}")
    })))
}

/// Logs each budget of which this router has a grant or consumed tokens.
fn log_balances(node: &node::Node, now_ms: u64) {
    let used = |account: &&grants::Account| account.consumed_tokens > 0 || account.has_grant;
    for account in node.grants().iter().map(|(_, account)| account).filter(used) {
        log_balance(account, now_ms);
    }
}

/// Logs the tokens of a budget by state: first this router's own, where `granted + received` is the sum of the states
/// that follow, then those of the ledger as last read, with the age of that read.
fn log_balance(account: &grants::Account, now_ms: u64) {
    let ledger_age_ms = account.ledger_read_ms.map(|at_ms| now_ms.saturating_sub(at_ms));
    log::info!(
        "event=balance budget={} holds={} target_tokens={} rate_tokens_per_s={} granted_tokens={} \
         received_tokens={} free_tokens={} reserved_tokens={} consumed_tokens={} sent_tokens={} \
         returning_tokens={} ledger_age_ms={} paid_tokens={} undrawn_tokens={} held_tokens={} \
         holders={} written_off_tokens={} reserve_tokens={} withheld_tokens={}",
        account.name,
        account.holder,
        account.target_tokens(),
        account.rate_tokens_per_s(),
        account.granted_tokens,
        account.received_tokens,
        account.free_tokens(),
        account.reserved_tokens,
        account.consumed_tokens,
        account.sent_tokens,
        account.returning_tokens,
        logging::ms_or_never(ledger_age_ms),
        account.paid_tokens,
        account.remaining_tokens.unwrap_or(0),
        account.held_tokens,
        account.grant_count,
        account.written_off_tokens,
        account.undrawn.reserve.tokens,
        account.withheld.tokens(),
    );
}
