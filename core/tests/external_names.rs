//! Guards against unintended changes of texts that leave the process: labels of metrics, values in log lines, stored
//! values and the dump. Each text stays the same if the type or field behind it is renamed.

#![allow(clippy::unwrap_used, missing_docs)]

use doorswitch_core::{
    config, ids, leaving_servers, ledger, ledger_writer, log_index, machine_clock, members, node,
    quarantine, routes, servers, store, watch,
};
use std::collections;

macro_rules! texts {
    ($($name:ident: $found:expr => $expected:expr;)*) => { $(
        #[test]
        fn $name() {
            assert_eq!($found, $expected);
        }
    )* };
}

fn json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap()
}

fn service() -> config::Service {
    config::Service {
        name: "notes".to_owned(),
        kind: config::Kind::Model,
        policy: "all".to_owned(),
        models: vec!["roast".to_owned()],
        answer_tokens_max: 1,
        call_tokens: 2,
        unrepeatable: vec![config::CallPattern {
            method: "POST".to_owned(),
            path_prefix: "/pay".to_owned(),
        }],
        queue_length: 3,
        queue_age_ms: 4,
        answer_time_ms: 5,
        connections_max: Some(6),
        event_tokens: 7,
        cold_milli_per_s: 8,
        cold_start_ms: 9,
    }
}

fn budget() -> config::Budget {
    config::Budget {
        name: "main".to_owned(),
        cover_s: 1,
        minimum_grant_tokens: 2,
        prepaid_tokens: Some(3),
        held_percent: 4,
        holders: 5,
        loss_spread_s: 6,
    }
}

fn document() -> config::Document {
    let key = config::Key { name: "desk".to_owned(), sha256: "00".to_owned() };
    let workspace = config::Workspace {
        name: "cafe".to_owned(),
        keys: vec![key],
        budgets: vec![budget()],
        priority: 6,
    };
    let target = |service: &str, weight| routes::Target { service: service.to_owned(), weight };
    let route = |kind, name: &str| routes::Route {
        name: name.to_owned(),
        host: "host".to_owned(),
        path_prefix: "/".to_owned(),
        kind,
        timeout_ms: 1,
        target_ms: 2,
        priority: 3,
        targets: vec![target("notes", 4)],
        attempts_max: 5,
        public: true,
        resumable: false,
    };
    let mut plain = service();
    plain.kind = config::Kind::Plain;
    config::Document {
        layout: config::Layout::default(),
        workspaces: vec![workspace],
        services: vec![service(), plain],
        policies: vec![config::Policy { name: "all".to_owned(), program: "deny(1)".to_owned() }],
        routes: vec![
            route(routes::RouteKind::Idempotent, "a"),
            route(routes::RouteKind::AtMostOnce, "b"),
            route(routes::RouteKind::Stream, "c"),
        ],
        callers: config::CallerLimits::default(),
        evacuated: vec!["east".to_owned()],
    }
}

fn published() -> config::Published {
    config::Published::next(None, "operation-1", document())
}

fn shard() -> ledger::Shard {
    let holder = ids::Incarnation(17);
    let grant = ledger::Grant {
        granted_tokens: 1,
        consumed_tokens: 2,
        free_tokens: 3,
        rate_tokens_per_s: 4,
        idle: true,
        pace: Some(ledger::Pace { era: 5, at_ms: 6, limit_tokens: 7, tokens_per_s: 8 }),
    };
    let closed_before = ledger::ClosedTotals {
        spent_tokens: 1,
        received_tokens: 2,
        consumed_tokens: 3,
        written_off_tokens: 4,
    };
    let budget = ledger::Budget {
        paid_tokens: 1,
        paid_version: 2,
        payments: vec![ledger::Payment { operation: "op".to_owned(), tokens: 3 }],
        grants: collections::BTreeMap::from([(holder, grant)]),
        closed_spent_tokens: 4,
        closed_received_tokens: 5,
        closed_consumed_tokens: 6,
        written_off_tokens: 7,
        closed_before,
        reserve: ledger::Reserve {
            tokens: 8,
            next: Some(ledger::NextReserve { tokens: 9, writer: holder, write: 10 }),
        },
        withheld: ledger::Withheld { unconfirmed_tokens: 11, lost_tokens: 12 },
    };
    let description = ledger::Holder {
        vm: "vm-1".to_owned(),
        address: "a:1".to_owned(),
        listed_index: 1,
        listed_era: 2,
        clock_run: Some(machine_clock::ClockRun { boot: "b".to_owned(), epoch_ms: 3 }),
    };
    ledger::Shard {
        format: 1,
        era: Some(2),
        writes: collections::BTreeMap::from([(holder, 3)]),
        holders: collections::BTreeMap::from([(holder, description)]),
        budgets: collections::BTreeMap::from([("cafe/main".to_owned(), budget)]),
        unconfirmed_since_era: Some(4),
        silent_routers: Some(5),
    }
}

fn settlement() -> log_index::Settlement {
    log_index::Settlement {
        key: ids::RequestKey { high: 1, low: 2 },
        attempt: ids::AttemptId(3),
        origin: ids::Incarnation(4),
        number: 5,
        keyed: true,
        body_hash: 6,
        budget: "cafe/main".to_owned(),
        region: "north".to_owned(),
        consumed_tokens: 7,
        outcome: Some(log_index::Outcome {
            status: 200,
            content_type: "text/plain".to_owned(),
            body: Some("done".to_owned()),
        }),
    }
}

fn segment() -> log_index::Segment {
    let claim = |low| log_index::Claim {
        key: ids::RequestKey { high: 1, low },
        attempt: ids::AttemptId(8),
        body_hash: 9,
    };
    let entries = vec![
        log_index::Entry::Claim(claim(3)),
        log_index::Entry::Claim(claim(4)),
        log_index::Entry::Release {
            key: ids::RequestKey { high: 1, low: 3 },
            attempt: ids::AttemptId(8),
        },
        log_index::Entry::Settle(settlement()),
    ];
    log_index::Segment { writer: ids::Incarnation(1), nonce: 2, written_s: 3, entries }
}

fn checkpoint() -> log_index::Checkpoint {
    let mut index = log_index::Index::default();
    index.apply_segment(&segment());
    index.checkpoint(12)
}

fn quarantine_record() -> quarantine::Record {
    let request = ids::Fingerprint { head: 1, whole: [2; 16] };
    let crash = |server, age_ms| quarantine::Crash { server, age_ms };
    let crashes =
        vec![crash(quarantine::Server::Incarnation(3), 4), crash(quarantine::Server::Vm(5), 6)];
    let report = quarantine::Report { request, crashes, cleared_age_ms: Some(7) };
    quarantine::Record::new(vec![report], 1_000)
}

fn member(health: members::Health) -> members::Record {
    members::Record {
        id: ids::Incarnation(1),
        address: "a:1".to_owned(),
        vm: "vm-1".to_owned(),
        failure_domain: "east".to_owned(),
        beat: 2,
        health,
    }
}

fn vm(state: servers::VmState) -> servers::Vm {
    servers::Vm {
        vm: "vm-1".to_owned(),
        service: "notes".to_owned(),
        address: "a:1".to_owned(),
        class: "old".to_owned(),
        version: String::new(),
        failure_domain: "east".to_owned(),
        state,
        slots: 1,
        incarnation: ids::ServerIncarnation(2),
        cold_ms: 3,
    }
}

fn counters() -> node::Counters {
    let mut counters = node::Counters::default();
    for (count, reason) in REASONS.into_iter().enumerate() {
        counters.refused.insert(reason, count as u64);
    }
    counters.refused_for_limits.insert("notes".to_owned(), 1);
    counters.server_backoffs.insert("notes".to_owned(), 2);
    counters.stream_origins.insert(node::OriginSource::Router, 3);
    counters
}

const REASONS: [node::Reason; 22] = [
    node::Reason::NotReady,
    node::Reason::Stopping,
    node::Reason::Fenced,
    node::Reason::Unconfigured,
    node::Reason::BudgetExhausted,
    node::Reason::BudgetLow,
    node::Reason::BudgetUnreachable,
    node::Reason::Overloaded,
    node::Reason::NoServer,
    node::Reason::DeadlineTooClose,
    node::Reason::ClaimUnreachable,
    node::Reason::InProgress,
    node::Reason::IdConflict,
    node::Reason::RetriesExhausted,
    node::Reason::Quarantined,
    node::Reason::PartQuarantined,
    node::Reason::Suspended,
    node::Reason::Limited,
    node::Reason::Backoff,
    node::Reason::NoServerOfVersion,
    node::Reason::StreamOriginUnknown,
    node::Reason::VersionUnrecorded,
];

texts! {
    reasons: REASONS.map(node::Reason::as_str).join(" ") => r#"NotReady Stopping Fenced Unconfigured BudgetExhausted BudgetLow BudgetUnreachable Overloaded NoServer DeadlineTooClose ClaimUnreachable InProgress IdConflict RetriesExhausted Quarantined PartQuarantined Suspended Limited Backoff NoServerOfVersion StreamOriginUnknown VersionUnrecorded"#;
    reasons_in_the_dump: json(&REASONS) => r#"["not_ready","stopping","fenced","unconfigured","budget_exhausted","budget_low","budget_unreachable","overloaded","no_server","deadline_too_close","claim_unreachable","in_progress","id_conflict","retries_exhausted","quarantined","part_quarantined","suspended","limited","backoff","no_server_of_version","stream_origin_unknown","version_unrecorded"]"#;
    sources_of_origins: [
        node::OriginSource::Own,
        node::OriginSource::Router,
        node::OriginSource::OnlyVersion,
    ].map(node::OriginSource::as_str).join(" ") => "own router only_version";
    purposes_of_calls: [
        node::CallPurpose::WatchConfiguration,
        node::CallPurpose::WatchServers,
        node::CallPurpose::Announce,
        node::CallPurpose::LedgerRead,
        node::CallPurpose::LedgerWrite,
        node::CallPurpose::LogRead,
        node::CallPurpose::LogWrite,
        node::CallPurpose::QuarantineRead,
        node::CallPurpose::QuarantineWrite,
        node::CallPurpose::VersionsRead,
        node::CallPurpose::VersionsWrite,
    ].map(node::CallPurpose::as_str).join(" ") => r#"WatchConfiguration WatchServers Announce LedgerRead LedgerWrite LogRead LogWrite QuarantineRead QuarantineWrite VersionsRead VersionsWrite"#;
    outcomes_of_calls: [
        node::CallOutcome::Sent,
        node::CallOutcome::News,
        node::CallOutcome::Empty,
        node::CallOutcome::Forgotten,
        node::CallOutcome::Refused,
        node::CallOutcome::Silent,
        node::CallOutcome::Overtaken,
        node::CallOutcome::GivenUp,
        node::CallOutcome::Late,
        node::CallOutcome::EarlierEra,
    ].map(node::CallOutcome::as_str).join(" ") => "Sent News Empty Forgotten Refused Silent Overtaken GivenUp Late EarlierEra";
    topics: watch::Topic::ALL.map(watch::Topic::as_str).join(" ") => "Configuration Servers";
    watch_roles: [
        watch::Role::Joining,
        watch::Role::EveryRouter,
        watch::Role::Watcher,
        watch::Role::Listener,
    ].map(watch::Role::as_str).join(" ") => "Joining EveryRouter Watcher Listener";
    evidence: [watch::Evidence::LaterCall, watch::Evidence::Peer]
        .map(watch::Evidence::as_str)
        .join(" ") => "LaterCall Peer";
    sources_of_leaving_servers: [leaving_servers::Source::Record, leaving_servers::Source::Answer]
        .map(leaving_servers::Source::as_str)
        .join(" ") => "Record Answer";
    sources_of_leaving_servers_in_the_dump: json(&[
        leaving_servers::Source::Record,
        leaving_servers::Source::Answer,
    ])
        => r#"["record","answer"]"#;
    sources_of_quarantines: [
        node::QuarantineSource::Observed,
        node::QuarantineSource::Peer,
        node::QuarantineSource::Store,
        node::QuarantineSource::SuccessfulRun,
        node::QuarantineSource::Operator,
    ].map(node::QuarantineSource::as_str).join(" ") => "Seen Peer Store GoodEnd Operator";
    headers: [servers::Header::Limit, servers::Header::Leaving, servers::Header::Backoff, servers::Header::Brittle]
        .map(servers::Header::as_str)
        .join(" ") => "Limit Leaving Backoff Brittle";
    recovery_decision: ledger_writer::RecoveryDecision { silent_routers: Some(2), is_final: false }
        .to_string() => "Verdict { silent: Some(2), is_final: false }";
    final_recovery_decision: ledger_writer::RecoveryDecision { silent_routers: None, is_final: true }
        .to_string() => "Verdict { silent: None, is_final: true }";
    a_service_in_publish: format!("{:?}", service()) => r#"Service { name: "notes", kind: Model, policy: "all", models: ["roast"], answer_tokens_max: 1, call_tokens: 2, unrepeatable: [Call { method: "POST", path_prefix: "/pay" }], queue_length: 3, queue_age_ms: 4, answer_time_ms: 5, connections_max: Some(6), event_tokens: 7, cold_milli_per_s: 8, cold_start_ms: 9 }"#;
    a_budget_in_publish: format!("{:?}", budget().cover()) => "Cover { cover_s: 1, minimum_grant_tokens: 2, held_percent: 4, holders: 5, loss_spread_s: 6 }";
    configuration: json(&published()) => r#"{"version":1,"operations":{"1":"operation-1"},"document":{"layout":{"ledger_shards":4,"log_shards":4,"log_epoch_segments":256},"workspaces":[{"name":"cafe","keys":[{"name":"desk","sha256":"00"}],"budgets":[{"name":"main","cover_s":1,"minimum_grant_tokens":2,"prepaid_tokens":3,"held_percent":4,"holders":5,"loss_spread_s":6}],"priority":6}],"services":[{"name":"notes","kind":"model","policy":"all","models":["roast"],"answer_tokens_max":1,"call_tokens":2,"unrepeatable":[{"method":"POST","path_prefix":"/pay"}],"queue_length":3,"queue_age_ms":4,"answer_time_ms":5,"connections_max":6,"event_tokens":7,"cold_milli_per_s":8,"cold_start_ms":9},{"name":"notes","kind":"plain","policy":"all","models":["roast"],"answer_tokens_max":1,"call_tokens":2,"unrepeatable":[{"method":"POST","path_prefix":"/pay"}],"queue_length":3,"queue_age_ms":4,"answer_time_ms":5,"connections_max":6,"event_tokens":7,"cold_milli_per_s":8,"cold_start_ms":9}],"policies":[{"name":"all","program":"deny(1)"}],"routes":[{"name":"a","host":"host","path_prefix":"/","kind":"idempotent","timeout_ms":1,"target_ms":2,"priority":3,"targets":[{"service":"notes","weight":4}],"attempts_max":5,"public":true,"resumable":false},{"name":"b","host":"host","path_prefix":"/","kind":"at_most_once","timeout_ms":1,"target_ms":2,"priority":3,"targets":[{"service":"notes","weight":4}],"attempts_max":5,"public":true,"resumable":false},{"name":"c","host":"host","path_prefix":"/","kind":"stream","timeout_ms":1,"target_ms":2,"priority":3,"targets":[{"service":"notes","weight":4}],"attempts_max":5,"public":true,"resumable":false}],"callers":{"head_bytes_max":16384,"body_bytes_max":2097152,"head_read_ms":5000,"idle_ms":60000},"evacuated":["east"]}}"#;
    ledger_shard: String::from_utf8(shard().encode()).unwrap() => r#"{"format":1,"era":2,"writes":{"17":3},"holders":{"17":{"vm":"vm-1","address":"a:1","listed_index":1,"listed_era":2,"clock_run":{"boot":"b","epoch_ms":3}}},"budgets":{"cafe/main":{"paid_tokens":1,"paid_version":2,"payments":[{"operation":"op","tokens":3}],"grants":{"17":{"granted_tokens":1,"consumed_tokens":2,"free_tokens":3,"rate_tokens_per_s":4,"idle":true,"pace":{"era":5,"at_ms":6,"limit_tokens":7,"tokens_per_s":8}}},"closed_spent_tokens":4,"closed_received_tokens":5,"closed_consumed_tokens":6,"written_off_tokens":7,"closed_before":{"spent_tokens":1,"received_tokens":2,"consumed_tokens":3,"written_off_tokens":4},"reserve":{"tokens":8,"next":{"tokens":9,"writer":17,"write":10}},"withheld":{"unconfirmed_tokens":11,"lost_tokens":12}}},"unconfirmed_since_era":4,"silent_routers":5}"#;
    ledger_era: String::from_utf8(ledger::EraRecord { era: 1, settled: true }.encode()).unwrap()
        => r#"{"era":1,"settled":true}"#;
    log_segment: String::from_utf8(segment().encode()).unwrap() => r#"{"writer":1,"nonce":2,"written_s":3,"entries":[{"Claim":{"key":{"high":1,"low":3},"attempt":8,"body_hash":9}},{"Claim":{"key":{"high":1,"low":4},"attempt":8,"body_hash":9}},{"Release":{"key":{"high":1,"low":3},"attempt":8}},{"Settle":{"key":{"high":1,"low":2},"attempt":3,"origin":4,"number":5,"keyed":true,"body_hash":6,"budget":"cafe/main","region":"north","consumed_tokens":7,"outcome":{"status":200,"content_type":"text/plain","body":"done"}}}]}"#;
    log_checkpoint: String::from_utf8(checkpoint().encode()).unwrap() => r#"{"upto":12,"clock_s":3,"ids":[[{"high":1,"low":4},{"Claimed":{"key":{"high":1,"low":4},"attempt":8,"body_hash":9}},3],[{"high":1,"low":2},{"Settled":{"body_hash":6,"outcome":{"status":200,"content_type":"text/plain","body":"done"}}},3]],"origins":{"4":{"below":0,"above":[5],"seen_s":3}},"released":[8],"totals":[["cafe/main","north",{"billed_tokens":7,"billed_requests":1,"repeated_tokens":0}]]}"#;
    record_of_quarantined_requests: String::from_utf8(quarantine_record().encode()).unwrap()
        => r#"{"requests":[{"request":{"head":1,"whole":[2,2,2,2,2,2,2,2,2,2,2,2,2,2,2,2]},"crashes":[{"server":{"Life":3},"at_unix_ms":996},{"server":{"Vm":5},"at_unix_ms":994}]}]}"#;
    counters_in_the_dump: json(&counters()) => r#"{"admitted":0,"dispatched":0,"settled":0,"closed_unsafe":0,"not_run":0,"replayed":0,"server_crashes":0,"refused":{"not_ready":0,"stopping":1,"fenced":2,"unconfigured":3,"budget_exhausted":4,"budget_low":5,"budget_unreachable":6,"overloaded":7,"no_server":8,"deadline_too_close":9,"claim_unreachable":10,"in_progress":11,"id_conflict":12,"retries_exhausted":13,"quarantined":14,"part_quarantined":15,"suspended":16,"limited":17,"backoff":18,"no_server_of_version":19,"stream_origin_unknown":20,"version_unrecorded":21},"refused_for_limits":{"notes":1},"brittle_rejections":{},"seat_requests":0,"server_backoffs":{"notes":2},"stream_origins":{"router":3},"consumed_tokens":0,"written_off_tokens":0,"overrun_tokens":0,"platform_reads":0,"platform_writes":0,"platform_unknown":0,"platform_conflicts":0,"messages_sent":0,"gossip_sent":0,"transfers_sent":0,"transfers_received":0,"store_restores":0}"#;
    lifecycles: json(&[
        node::Lifecycle::Starting,
        node::Lifecycle::Ready,
        node::Lifecycle::Fenced,
        node::Lifecycle::Stopping,
        node::Lifecycle::Stopped,
    ]) => r#"["starting","ready","fenced","stopping","stopped"]"#;
    members_in_the_dump: json(&[
        member(members::Health::Alive),
        member(members::Health::Suspect),
        member(members::Health::Dead),
        member(members::Health::Left),
    ]) => r#"[{"id":1,"address":"a:1","vm":"vm-1","failure_domain":"east","beat":2,"health":"Alive"},{"id":1,"address":"a:1","vm":"vm-1","failure_domain":"east","beat":2,"health":"Suspect"},{"id":1,"address":"a:1","vm":"vm-1","failure_domain":"east","beat":2,"health":"Dead"},{"id":1,"address":"a:1","vm":"vm-1","failure_domain":"east","beat":2,"health":"Left"}]"#;
    servers_in_the_dump: json(&[vm(servers::VmState::Live), vm(servers::VmState::Leaving)])
        => r#"[{"vm":"vm-1","service":"notes","address":"a:1","class":"old","version":"","failure_domain":"east","state":"live","slots":1,"life":2,"cold_ms":3},{"vm":"vm-1","service":"notes","address":"a:1","class":"old","version":"","failure_domain":"east","state":"leaving","slots":1,"life":2,"cold_ms":3}]"#;
    load_in_the_dump: json(&servers::Load { running: 1, queued: 2, slots: 3 }) => r#"{"running":1,"queued":2,"slots":3}"#;
    positions: json(&store::Position::new(1, 2)) => r#"{"era":1,"revision":2}"#;
    keys_of_the_store: [
        ledger::era_record_key(),
        ledger::key(3),
        log_index::key(3, 4, 256),
        log_index::checkpoint_key(3),
        quarantine::KEY.to_owned(),
        node::ROUTER_SERVICE.to_owned(),
    ].join(" ") => r#"doorswitch/ledger/era doorswitch/ledger/3 doorswitch/log/3/00000000/000000000004 doorswitch/checkpoint/3 doorswitch/quarantine doorswitch"#;
}
