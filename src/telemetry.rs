//! Metrics in Prometheus text, and log lines for what the core notices.

use crate::logging;
use doorswitch_core::node;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::sync::OnceLock;

/// The time between two updates of the metrics.
const REPORT_EVERY_MS: u64 = 500;
/// The time between two rounds of log lines about budgets.
const BALANCES_EVERY_MS: u64 = 5_000;

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the recorder for this process.
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

/// Copies the core's counts into the metrics now and then.
#[derive(Debug, Default)]
pub struct Reporter {
    balances_ms: u64,
    reported_ms: u64,
}

impl Reporter {
    /// Updates the metrics, if it is time.
    pub fn report(&mut self, node: &node::Node, now_ms: u64) {
        if now_ms < self.reported_ms + REPORT_EVERY_MS {
            return;
        }
        self.reported_ms = now_ms;
        if now_ms >= self.balances_ms + BALANCES_EVERY_MS {
            self.balances_ms = now_ms;
            log_fleet(node);
            log_balances(node);
        }
        let counters = node.counters();
        let counts = [
            ("doorswitch_admitted_total", counters.admitted),
            ("doorswitch_dispatched_total", counters.dispatched),
            ("doorswitch_settled_total", counters.settled),
            ("doorswitch_closed_unsafe_total", counters.closed_unsafe),
            ("doorswitch_not_run_total", counters.not_run),
            ("doorswitch_replayed_total", counters.replayed),
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
        ];
        for (name, value) in counts {
            metrics::counter!(name).absolute(value);
        }
        for (reason, count) in &counters.refused {
            let reason = format!("{reason:?}");
            metrics::counter!("doorswitch_refused_total", "reason" => reason).absolute(*count);
        }
        for ((purpose, outcome), count) in &counters.store_calls {
            let labels = [("purpose", format!("{purpose:?}")), ("outcome", format!("{outcome:?}"))];
            metrics::counter!("doorswitch_store_calls_total", &labels).absolute(*count);
        }
        metrics::gauge!("doorswitch_config_version").set(node.config_version() as f64);
        metrics::gauge!("doorswitch_members").set(node.members().live_count() as f64);
        for (_, account) in node.grants().iter() {
            let budget = account.name.clone();
            let free = account.free_tokens() as f64;
            metrics::gauge!("doorswitch_budget_free_tokens", "budget" => budget).set(free);
        }
    }
}

/// Writes a log line on the fleet as seen from here, and on the calls to the store.
fn log_fleet(node: &node::Node) {
    let counters = node.counters();
    let holds = node.grants().iter().filter(|(_, account)| account.holder).count();
    let rows = node.grants().iter().filter(|(_, account)| account.has_row).count();
    log::info!(
        "event=fleet routers={} suspected={} budgets_held={holds} budgets_with_grant={rows} \
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
    let calls = calls.map(|((purpose, outcome), count)| format!("{purpose:?}_{outcome:?}={count}"));
    log::info!("event=store_calls {}", calls.collect::<Vec<_>>().join(" "));
}

/// Writes a log line for each budget that was spent from here.
fn log_balances(node: &node::Node) {
    for (_, account) in
        node.grants().iter().filter(|(_, account)| account.consumed_tokens > 0 || account.has_row)
    {
        log::info!(
            "event=balance budget={} free_tokens={} target_tokens={} rate_tokens_per_s={} \
             undrawn_tokens={} held_tokens={} consumed_tokens={}",
            account.name,
            account.free_tokens(),
            account.target_tokens(),
            account.rate_tokens_per_s(),
            account.remaining_tokens.unwrap_or(0),
            account.held_tokens,
            account.consumed_tokens,
        );
    }
}

/// Writes a log line for something the core noticed.
pub fn log_notice(notice: &node::Notice) {
    match notice {
        node::Notice::ClosedDead { holder, written_off_tokens } => {
            log::warn!(
                "event=dead_holder_closed holder={holder} written_off_tokens={written_off_tokens}"
            );
        }
        node::Notice::HolderSilent { vm, budget } => {
            log::warn!("event=holder_silent vm={vm} budget={budget}");
        }
        node::Notice::ItemLapsed { vm, kept_ms } => {
            log::info!("event=item_lapsed vm={vm} kept_ms={kept_ms}");
        }
        node::Notice::WatchDuty { duty } => log::info!("event=watch_duty duty={duty:?}"),
        node::Notice::Ejected { vm, ejected_ms } => {
            log::info!("event=server_ejected vm={vm} ejected_ms={ejected_ms}");
        }
        node::Notice::Fenced => log::error!("event=fenced cause=written_off_by_another_router"),
        node::Notice::Unusable(fault) => {
            log::error!("event=ledger_unusable fault={}", logging::quoted(fault));
        }
        node::Notice::Overrun { budget, tokens } => {
            log::error!("event=overrun budget={budget} tokens={tokens}");
        }
    }
}
