//! The configuration and the backend servers of a simulated fleet.

use super::Shape;
use doorswitch_core::{config, servers};

pub(super) fn backend_vms(shape: &Shape) -> Vec<servers::Vm> {
    let vm = |index| servers::Vm {
        vm: format!("server-{index}"),
        service: "service".to_owned(),
        address: format!("10.2.0.{index}:1"),
        class: "new".to_owned(),
        version: String::new(),
        failure_domain: "a".to_owned(),
        state: servers::VmState::Live,
        slots: 0,
        incarnation: Default::default(),
        cold_ms: 0,
    };
    (0..shape.servers).map(vm).collect()
}

pub(super) fn document(shape: &Shape) -> config::Document {
    config::Document {
        evacuated: Vec::new(),
        routes: Vec::new(),
        callers: config::CallerLimits::default(),
        layout: config::Layout { ledger_shards: 2, log_shards: 2, log_epoch_segments: 8 },
        workspaces: vec![config::Workspace {
            priority: 0,
            name: "workspace".to_owned(),
            keys: Vec::new(),
            budgets: shape.budgets.clone(),
        }],
        services: vec![config::Service {
            name: "service".to_owned(),
            kind: config::Kind::Model,
            policy: "policy".to_owned(),
            models: vec!["model".to_owned()],
            answer_tokens_max: 1 << 30,
            call_tokens: 0,
            unrepeatable: Vec::new(),
            queue_length: shape.queue_length,
            queue_age_ms: 10_000,
            answer_time_ms: 60_000,
            connections_max: None,
            event_tokens: 1,
            cold_milli_per_s: 0,
            cold_start_ms: 0,
        }],
        policies: vec![config::Policy { name: "policy".to_owned(), program: String::new() }],
    }
}
