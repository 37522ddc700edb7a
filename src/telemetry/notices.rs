//! Log lines for notices of the core.

use crate::logging;
use doorswitch_core::{ids, ledger, node};

/// Logs a grant that was written off.
fn log_written_off_grant(holder: ids::Incarnation, dead: &ledger::WrittenOffGrant) {
    log::warn!(
        "event=grant_written_off holder={holder} budget={} written_off_tokens={} returned_tokens={} \
         granted_tokens={} reported_tokens={} free_tokens={} rate_tokens_per_s={}",
        dead.budget,
        dead.written_off_tokens(),
        dead.returned_tokens(),
        dead.grant.granted_tokens,
        dead.grant.consumed_tokens,
        dead.grant.free_tokens,
        dead.grant.rate_tokens_per_s,
    );
}

/// Logs how the search for an unknown stream ended, with what the router knew.
fn log_unknown_origin(unknown: &node::UnknownOrigin) {
    let age = |age_ms: Option<u64>| age_ms.map_or_else(|| "none".to_owned(), |ms| ms.to_string());
    log::info!(
        "event=stream_origin_unknown continued={} candidates={} asked={} unanswered={} live_routers={} \
         list_age_ms={} record_age_ms={}",
        unknown.continued,
        unknown.candidates,
        unknown.asked,
        unknown.unanswered,
        unknown.live_routers,
        age(unknown.list_age_ms),
        age(unknown.record_age_ms),
    );
}

/// Logs a notice of the core.
pub fn log_notice(notice: &node::Notice) {
    match notice {
        node::Notice::TerminatedHolderClosed { holder, written_off_tokens, grants } => {
            log::warn!(
                "event=dead_holder_closed holder={holder} written_off_tokens={written_off_tokens}"
            );
            grants.iter().for_each(|dead| log_written_off_grant(*holder, dead));
        }
        node::Notice::HolderSilent { vm, budget } => {
            log::warn!("event=holder_silent vm={vm} budget={budget}");
        }
        node::Notice::ServerLimit { vm, service, limit_milli_per_s, source } => log::info!(
            "event=server_limit vm={vm} service={service} limit_per_s={} source={}",
            limit_milli_per_s
                .map_or_else(|| "none".to_owned(), |limit| format!("{:.3}", limit as f64 / 1e3)),
            match source {
                node::LimitSource::Answer => "answer".to_owned(),
                node::LimitSource::Peer(peer) => peer.to_string(),
                node::LimitSource::Expired => "lapsed".to_owned(),
            }
        ),
        node::Notice::ServerBrittle { vm, service, rejections_per_s, from } => log::info!(
            "event=server_brittle vm={vm} service={service} rejections_per_s={} from={}",
            rejections_per_s.map_or_else(|| "none".to_owned(), |rejections| rejections.to_string()),
            from.map_or_else(|| "self".to_owned(), |peer| peer.to_string()),
        ),
        node::Notice::ServerLeaving { vm, incarnation, service, source, from } => log::info!(
            "event=server_leaving vm={vm} born_ms={} service={service} source={} from={}",
            incarnation.0,
            source.as_str(),
            from.map_or_else(|| "self".to_owned(), |peer| peer.to_string()),
        ),
        node::Notice::ServerLeavingEnded { vm, incarnation } => {
            log::info!("event=server_leaving_ended vm={vm} born_ms={}", incarnation.0);
        }
        node::Notice::ServerBackoff { vm, incarnation, service, for_ms } => log::info!(
            "event=server_backoff vm={vm} born_ms={} service={service} for_ms={for_ms}",
            incarnation.0,
        ),
        node::Notice::ServerBackoffEnded { vm, service } => {
            log::info!("event=server_backoff_ended vm={vm} service={service}");
        }
        node::Notice::HeaderUnreadable { vm, header } => {
            log::warn!("event=header_unreadable vm={vm} header={}", header.as_str());
        }
        node::Notice::RecordLapsed { vm, kept_ms } => {
            log::info!("event=item_lapsed vm={vm} kept_ms={kept_ms}");
        }
        node::Notice::Evacuation { failure_domain, evacuated, servers } => log::info!(
            "event=evacuation failure_domain={failure_domain} evacuated={evacuated} servers={servers}"
        ),
        node::Notice::PollGivenUp { topic, call } => log::warn!(
            "event=call_given_up topic={} evidence={} waited_ms={}",
            topic.as_str(),
            call.evidence.as_str(),
            call.waited_ms,
        ),
        node::Notice::ConfigurationNotReceived {
            version,
            own_version,
            peer,
            waited_ms,
            age_ms,
            open_polls,
        } => log::warn!(
            "event=config_not_received version={version} own_version={own_version} peer={peer} \
             waited_ms={waited_ms} age_ms={} open_calls={}",
            logging::ms_or_never(*age_ms),
            super::open_calls(open_polls),
        ),
        node::Notice::StaleAnswerIgnored { topic, position, own_position } => log::info!(
            "event=stale_answer_ignored topic={} era={} revision={} known_era={} known_revision={}",
            topic.as_str(),
            position.era,
            position.revision,
            own_position.era,
            own_position.revision,
        ),
        node::Notice::RecoveryDecided { shard, era, decision } => {
            log::info!("event=withheld_tokens_decided shard={shard} era={era} verdict={decision}");
        }
        node::Notice::ProcessPaused { paused_ms } => {
            log::warn!("event=process_paused paused_ms={paused_ms}");
            metrics::counter!("doorswitch_process_pauses_total").increment(1);
            metrics::histogram!("doorswitch_process_pause_ms").record(*paused_ms as f64);
        }
        node::Notice::StoreRestored { era, previous } => {
            log::warn!("event=store_restored era={era} previous={previous}");
        }
        node::Notice::EraUnconfirmed { era } => {
            log::warn!("event=store_era_unconfirmed era={era}");
        }
        node::Notice::ServerHeldBack { vm, for_ms } => {
            log::info!("event=server_held_back vm={vm} for_ms={for_ms}");
        }
        node::Notice::WatchRole { role } => log::info!("event=watch_duty duty={}", role.as_str()),
        node::Notice::Ejected { vm, ejected_ms } => {
            log::info!("event=server_ejected vm={vm} ejected_ms={ejected_ms}");
        }
        node::Notice::ServerRestarted(restarted) => log::info!(
            "event=server_restarted vm={} born_ms={} open_requests={}",
            restarted.vm,
            restarted.incarnation.0,
            restarted.open_requests,
        ),
        node::Notice::ServerCrashed { vm, incarnation, requests } => {
            log::warn!(
                "event=server_crashed vm={vm} born_ms={} requests={requests}",
                incarnation.0
            );
        }
        node::Notice::RequestSuspected { request, crashes, source } => log::info!(
            "event=request_suspected kind={} fingerprint={request} crashes={crashes} source={}",
            request.kind(),
            source.as_str()
        ),
        node::Notice::RequestQuarantined { request, for_ms, source } => log::warn!(
            "event=request_quarantined kind={} fingerprint={request} for_ms={for_ms} source={}",
            request.kind(),
            source.as_str()
        ),
        node::Notice::RequestCleared { request, crashes, source } => log::info!(
            "event=request_cleared kind={} fingerprint={request} crashes={crashes} source={}",
            request.kind(),
            source.as_str()
        ),
        node::Notice::RecordUnreadable { key, fault } => {
            log::error!("event=record_unreadable key={key} fault={}", logging::quoted(fault));
        }
        node::Notice::StreamOriginUnknown(unknown) => log_unknown_origin(unknown),
        node::Notice::Fenced => log::error!("event=fenced cause=written_off_by_another_router"),
        node::Notice::UnusableValue(fault) => {
            log::error!("event=ledger_unusable fault={}", logging::quoted(fault));
        }
        node::Notice::Overrun { budget, tokens } => {
            log::error!("event=overrun budget={budget} tokens={tokens}");
        }
    }
}
