//! A dump of a router's whole control state, for operators.

use super::{Node, Stage};
use serde_json::json;

impl Node {
    /// The control state as JSON.
    pub fn dump(&self, now_ms: u64) -> serde_json::Value {
        json!({
            "incarnation": self.settings.incarnation.to_string(),
            "vm": self.settings.vm,
            "failure_domain": self.settings.failure_domain,
            "region": self.settings.region,
            "address": self.settings.address,
            "lifecycle": self.lifecycle,
            "config_version": self.config_version(),
            "vms_index": self.vms_index.revision,
            "store_era": self.store_era(),
            "store_era_age_ms": self.era_age_ms(now_ms),
            "leaving_vms": self.leaving_servers.iter().map(|(vm, _)| vm).collect::<Vec<_>>(),
            "leaving_servers": self.dump_leaving_servers(),
            "backing_off_servers": self.dump_backing_off_servers(now_ms),
            "counters": self.counters,
            "quarantine": self.dump_quarantine(now_ms),
            "budgets": self.dump_budgets(),
            "servers": self.dump_servers(),
            "versions": self.servers.live_versions(),
            "stream_origins": self.stream_origins_kept(),
            "limited_servers": self.dump_limited_servers(now_ms),
            "brittle_servers": self.dump_brittle_servers(now_ms),
            "members": self.members.records().collect::<Vec<_>>(),
            "requests": self.dump_requests(now_ms),
            "unsettled": self.outbox.settlements.len(),
            "transfers_unacknowledged": self.outbox.transfers.len(),
            "ledger_shards": self.dump_ledgers(),
            "log_shards": self.dump_logs(),
        })
    }

    fn dump_budgets(&self) -> serde_json::Value {
        let budgets = self.grants.iter().map(|(slot, account)| {
            let figures = json!({
                "granted_tokens": account.granted_tokens,
                "free_tokens": account.free_tokens(),
                "reserved_tokens": account.reserved_tokens,
                "consumed_tokens": account.consumed_tokens,
                "reported_tokens": account.reported_tokens,
                "sent_tokens": account.sent_tokens,
                "received_tokens": account.received_tokens,
                "returning_tokens": account.returning_tokens,
                "shortage_tokens": account.shortage_tokens,
                "remaining_tokens": account.remaining_tokens,
                "locked_tokens": account.locked_tokens,
                "reserve_tokens": account.undrawn.reserve.tokens,
                "withheld": {
                    "unconfirmed_tokens": account.withheld.unconfirmed_tokens,
                    "lost_tokens": account.withheld.lost_tokens,
                    "awaited_routers": self.awaited_routers(slot),
                },
                "paid_tokens": account.paid_tokens,
                "held_tokens": account.held_tokens,
                "written_off_tokens": account.written_off_tokens,
                "ledger_read_ms": account.ledger_read_ms,
                "rate_tokens_per_s": account.rate_tokens_per_s(),
                "target_tokens": account.target_tokens(),
            });
            (account.name.clone(), figures)
        });
        budgets.collect::<serde_json::Map<_, _>>().into()
    }

    fn dump_quarantine(&self, now_ms: u64) -> serde_json::Value {
        let table = self.quarantine();
        let quarantined = table.quarantined(now_ms).into_iter();
        let quarantined = quarantined.map(|(subject, left_ms)| {
            let (fingerprint, kind) = (subject.to_string(), subject.kind());
            json!({ "request": fingerprint, "kind": kind, "left_ms": left_ms })
        });
        json!({
            "suspected": table.suspected(),
            "quarantined": quarantined.collect::<Vec<_>>(),
        })
    }

    fn dump_servers(&self) -> serde_json::Value {
        let servers = self.servers.iter().map(|(_, server)| {
            let figures = json!({
                "vm": server.vm,
                "load": server.load,
                "in_flight": server.in_flight,
                "estimated_load": server.estimated_load(),
            });
            (server.vm.vm.clone(), figures)
        });
        servers.collect::<serde_json::Map<_, _>>().into()
    }

    fn dump_leaving_servers(&self) -> serde_json::Value {
        let leaving_servers = self.leaving_servers.iter().map(|(vm, leaving)| {
            let figures = json!({ "life": leaving.incarnation.0, "source": leaving.source });
            (vm.to_owned(), figures)
        });
        leaving_servers.collect::<serde_json::Map<_, _>>().into()
    }

    fn dump_backing_off_servers(&self, now_ms: u64) -> serde_json::Value {
        let backoffs = self.servers.backing_off().filter_map(|(slot, backoff)| {
            let server = self.servers.get(slot)?;
            let figures = json!({
                "service": server.vm.service,
                "left_ms": backoff.resumes_ms().saturating_sub(now_ms),
            });
            Some((server.vm.vm.clone(), figures))
        });
        backoffs.collect::<serde_json::Map<_, _>>().into()
    }

    fn dump_limited_servers(&self, now_ms: u64) -> serde_json::Value {
        let limits = self.servers.limits().iter_limited().filter_map(|(slot, limited)| {
            let server = self.servers.get(slot)?;
            let figures = json!({
                "service": server.vm.service,
                "limit_milli_per_s": limited.report.limit_milli_per_s,
                "since_ms_ago": now_ms.saturating_sub(limited.since_ms),
                "heard_ms_ago": now_ms.saturating_sub(limited.report.received_ms),
                "heard_by": limited.report.answer.router.to_string(),
                "paced_by": self.pacing_router(slot).map(|router| router.to_string()),
            });
            Some((server.vm.vm.clone(), figures))
        });
        limits.collect::<serde_json::Map<_, _>>().into()
    }

    fn dump_brittle_servers(&self, now_ms: u64) -> serde_json::Value {
        let brittle = self.servers.seats().iter().filter_map(|(slot, brittle)| {
            let server = self.servers.get(slot)?;
            let figures = json!({
                "service": server.vm.service,
                "rejections_per_s": brittle.rejections_per_s,
                "heard_ms_ago": brittle.age_ms(now_ms),
                "slots": server.slots(),
                "in_flight": server.in_flight,
                "seats": brittle.leased(now_ms),
                "equal_part": self.servers.seat_share(slot),
                "dealt_by": self.pacing_router(slot).map(|router| router.to_string()),
            });
            Some((server.vm.vm.clone(), figures))
        });
        brittle.collect::<serde_json::Map<_, _>>().into()
    }

    fn dump_requests(&self, now_ms: u64) -> serde_json::Value {
        let requests = self.requests.values().map(|request| {
            let stage = match &request.stage {
                Stage::WaitingBudget => "waiting_budget",
                Stage::WaitingServer { .. } => "waiting_server",
                Stage::WaitingClaim { .. } => "waiting_claim",
                Stage::Running { .. } => "running",
                Stage::WaitingHandover => "ending",
            };
            json!({
                "key": request.admission.key.to_string(),
                "budget": request.admission.budget,
                "service": request.admission.service,
                "stage": stage,
                "stage_age_ms": now_ms.saturating_sub(request.stage_since_ms),
                "bound_tokens": request.admission.bound_tokens,
            })
        });
        requests.collect::<Vec<_>>().into()
    }

    fn dump_ledgers(&self) -> serde_json::Value {
        let ledgers = self
            .ledgers
            .iter()
            .map(|ledger| json!({ "busy": ledger.busy(), "failures": ledger.failures() }));
        ledgers.collect::<Vec<_>>().into()
    }

    fn dump_logs(&self) -> serde_json::Value {
        let logs = self.logs.iter().map(|log| {
            json!({
                "ids": log.index().len(),
                "pending": log.pending(),
                "failures": log.failures(),
            })
        });
        logs.collect::<Vec<_>>().into()
    }
}
