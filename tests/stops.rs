//! Guards against planned stops that cut off requests or lose grants, and against leaving VMs that get new requests
//! after a few seconds.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;

use doorswitch_standins::{engine, platform};
use fleet::{Fleet, Options, eventually};
use std::io::Read;

const PROMPT: &str = "summarise this crash";

/// An engine that takes 20 ms per token, so that streams stay open during a test.
fn slow_engine() -> engine::Mode {
    engine::Mode { token_ms: 20, ..engine::Mode::default() }
}

#[test]
fn a_planned_stop_of_a_router_finishes_every_stream_and_returns_its_grants() {
    let mut fleet =
        Fleet::start("stops-router", Options { engine_mode: slow_engine(), ..Options::default() });
    fleet.wait_granted("kitchen");
    let body = fleet::completion_body(PROMPT, 60, true);
    let path = "/v1/chat/completions";
    let streams: Vec<_> = (0..5)
        .map(|_| {
            fleet::send(fleet.routers[0].callers, "POST", path, "kitchen-key", &[], &body).unwrap()
        })
        .collect();
    eventually("all streams run", || {
        fleet.engines.iter().map(engine::Engine::running).sum::<usize>() == 5
    });
    fleet.signal(0, "TERM");
    eventually("the readiness endpoint reports the stop", || {
        fleet.get(0, "/readyz", "none").is_none_or(|answer| answer.status == 503)
    });
    let refused = fleet.complete(0, PROMPT, 5, false);
    if let Some(refused) = refused {
        assert_eq!((refused.code().as_str(), refused.ran().as_str()), ("stopping", "not_run"));
    }
    for mut stream in streams {
        let mut received = Vec::new();
        stream.read_to_end(&mut received).unwrap();
        let answer = fleet::parse(&received).unwrap();
        assert_eq!(answer.text(), engine::answer(PROMPT, 60));
        assert!(answer.done());
    }
    assert!(fleet.wait_stopped(0), "the stop failed: {}", fleet.log_text(0));
    let ledger = fleet.ledger("kitchen");
    assert_eq!(ledger.written_off_tokens, 0);
    assert_eq!(ledger.grants.len(), 2, "the stopped router's grant is not closed");
    assert_eq!(ledger.closed_consumed_tokens, 5 * 63);
    eventually("all requests are billed", || fleet.totals("kitchen").billed_requests == 5);
}

#[test]
fn a_leaving_backend_server_finishes_its_streams_and_gets_no_new_requests() {
    let fleet =
        Fleet::start("stops-server", Options { engine_mode: slow_engine(), ..Options::default() });
    let body = fleet::completion_body(PROMPT, 100, true);
    let path = "/v1/chat/completions";
    let streams: Vec<_> = (0..4)
        .map(|number| {
            let callers = fleet.routers[number % 3].callers;
            fleet::send(callers, "POST", path, "kitchen-key", &[], &body).unwrap()
        })
        .collect();
    eventually("all streams run", || {
        fleet.engines.iter().map(engine::Engine::running).sum::<usize>() == 4
    });
    let mut vms = fleet.platform.vms();
    vms.iter_mut().filter(|vm| vm.vm == "engine-0").for_each(|vm| vm.state = "leaving".to_owned());
    fleet.platform.set_vms(vms);
    eventually("every router has the engine as leaving", || {
        (0..3).all(|router| has_leaving_engine(&fleet, router))
    });
    let before = fleet.engines[0].counts().started;
    for number in 0..12 {
        assert_eq!(fleet.complete(number % 3, PROMPT, 3, false).unwrap().status, 200);
    }
    assert_eq!(fleet.engines[0].counts().started, before);
    for mut stream in streams {
        let mut received = Vec::new();
        stream.read_to_end(&mut received).unwrap();
        assert_eq!(fleet::parse(&received).unwrap().text(), engine::answer(PROMPT, 100));
    }
}

#[test]
fn routers_cut_off_from_the_platform_receive_a_leaving_server_by_gossip() {
    let fleet = Fleet::start("stops-gossip", Options::default());
    fleet.cut_platform(&[1, 2], true);
    let mut vms = fleet.platform.vms();
    vms.iter_mut().filter(|vm| vm.vm == "engine-0").for_each(|vm| vm.state = "leaving".to_owned());
    fleet.platform.set_vms(vms);
    eventually("every router has the engine as leaving", || {
        (0..3).all(|router| has_leaving_engine(&fleet, router))
    });
}

/// True if the router's dump shows the first engine as leaving.
fn has_leaving_engine(fleet: &Fleet, router: usize) -> bool {
    fleet.dump(router)["servers"]["engine-0"]["vm"]["state"] == "leaving"
}

#[test]
fn a_planned_stop_during_an_outage_finishes_its_streams_and_returns_its_grants() {
    let mut fleet =
        Fleet::start("stops-outage", Options { engine_mode: slow_engine(), ..Options::default() });
    fleet.wait_granted("kitchen");
    let body = fleet::completion_body(PROMPT, 40, true);
    let path = "/v1/chat/completions";
    let callers = fleet.routers[0].callers;
    let mut stream = fleet::send(callers, "POST", path, "kitchen-key", &[], &body).unwrap();
    eventually("the stream runs", || fleet.generated_tokens() > 0);
    fleet.platform.set_mode(platform::Mode { out: true, ..platform::Mode::default() });
    fleet.signal(0, "TERM");
    let mut received = Vec::new();
    stream.read_to_end(&mut received).unwrap();
    let answer = fleet::parse(&received).unwrap();
    assert_eq!(answer.text(), engine::answer(PROMPT, 40));
    assert!(answer.done());
    fleet.platform.set_mode(platform::Mode::default());
    assert!(fleet.wait_stopped(0), "the stop failed: {}", fleet.log_text(0));
    assert_eq!(fleet.ledger("kitchen").grants.len(), 2);
    assert_eq!(fleet.ledger("kitchen").written_off_tokens, 0);
    eventually("the request is billed", || fleet.totals("kitchen").billed_tokens == 43);
}

#[test]
fn a_hangup_signal_rereads_the_settings_and_cuts_off_no_stream() {
    let fleet =
        Fleet::start("hangup", Options { engine_mode: slow_engine(), ..Options::default() });
    let body = fleet::completion_body(PROMPT, 40, true);
    let path = "/v1/chat/completions";
    let mut stream =
        fleet::send(fleet.routers[0].callers, "POST", path, "kitchen-key", &[], &body).unwrap();
    eventually("the stream runs", || {
        fleet.engines.iter().map(engine::Engine::running).sum::<usize>() == 1
    });
    let settings = std::fs::read_to_string(&fleet.routers[0].settings).unwrap();
    std::fs::write(&fleet.routers[0].settings, settings.replace("100 }", "90 }")).unwrap();
    fleet.signal(0, "HUP");
    eventually("the settings are read", || fleet.log_text(0).contains("writes_per_s=90"));
    std::fs::write(&fleet.routers[0].settings, "vm: [").unwrap();
    fleet.signal(0, "HUP");
    eventually("bad settings are refused", || fleet.log_text(0).contains("settings_refused"));
    let mut received = Vec::new();
    stream.read_to_end(&mut received).unwrap();
    let answer = fleet::parse(&received).unwrap();
    assert_eq!(answer.text(), engine::answer(PROMPT, 40));
    assert!(answer.done());
    assert_eq!(fleet.complete(0, PROMPT, 3, false).unwrap().status, 200);
}
