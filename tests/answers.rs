//! Every caller receives the complete answer to its own request, also when engines fail during the answer, and a
//! request that is refused as not run consumes no tokens.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;

use doorswitch_standins::{backend, engine};
use fleet::{Fleet, Options, completion_body, eventually};
use std::thread;
use std::time::Duration;

fn breaking(after: u64) -> engine::Mode {
    engine::Mode { break_after_tokens: after, ..engine::Mode::default() }
}

#[test]
fn broken_streams_are_continued_by_another_engine_without_repeated_tokens() {
    let fleet = Fleet::start("answers-break", Options { engines: 3, ..Options::default() });
    fleet.engines[0].set_mode(breaking(4));
    fleet.engines[1].set_mode(breaking(7));
    thread::scope(|scope| {
        for turn in 0..9 {
            let fleet = &fleet;
            scope.spawn(move || {
                let prompt = format!("the crash of build {turn}");
                let answer = fleet.complete(turn % 3, &prompt, 20, turn % 2 == 0).unwrap();
                assert_eq!(answer.status, 200, "{answer:?}");
                assert_eq!(answer.text(), engine::answer(&prompt, 20), "{answer:?}");
            });
        }
    });
    eventually("each request is billed once", || fleet.totals("kitchen").billed_requests == 9);
    assert_eq!(fleet.totals("kitchen").billed_tokens, 9 * (20 + 5));
}

/// Guards against an answer that ends with its connection and arrives as a whole, empty one.
#[test]
fn an_answer_without_a_length_of_a_plain_service_is_not_taken_for_empty() {
    let options = Options { routers: 1, engines: 0, services: 0, ..Options::default() };
    let fleet = Fleet::start("answers-unframed", options);
    let unframed = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nthe body";
    let script: backend::Script =
        Box::new(move |_, _| vec![backend::Step::Write(unframed.to_owned()), backend::Step::Close]);
    let servers = [backend::Backend::start(script).unwrap()];
    fleet.add_scripted_servers(&servers, |_| "payments");
    let answer = fleet.release(0, "release-1", "{}").unwrap();
    let received = (answer.status, answer.body.as_str());
    assert!(received.0 == 502 || received == (200, "the body"), "{answer:?}");
    assert_ne!(answer.ran(), "not_run", "{answer:?}");
}

#[test]
fn concurrent_callers_each_receive_their_own_answer() {
    let fleet = Fleet::start("answers-own", Options::default());
    thread::scope(|scope| {
        for caller in 0..8 {
            let fleet = &fleet;
            scope.spawn(move || {
                for turn in 0..10 {
                    let prompt = format!("caller {caller} turn {turn}");
                    let answer = fleet.complete((caller + turn) % 3, &prompt, 6, true).unwrap();
                    assert_eq!(answer.text(), engine::answer(&prompt, 6));
                    assert!(answer.done());
                }
            });
        }
    });
    eventually("each request is billed once", || fleet.totals("kitchen").billed_requests == 80);
}

#[test]
fn answers_that_engines_of_two_versions_break_off_hold_one_version() {
    let options = Options { engines: 4, ..Options::default() };
    let fleet = Fleet::start("answers-versions", options);
    let mut vms = fleet.vms();
    for (index, engine) in fleet.engines.iter().enumerate() {
        let version = 1 + index as u64 / 2;
        let break_after_tokens = if index % 2 == 0 { 4 } else { 0 };
        engine.set_mode(engine::Mode { version, break_after_tokens, ..engine::Mode::default() });
        let vm = vms.iter_mut().find(|vm| vm.vm == format!("engine-{index}")).unwrap();
        vm.version = format!("v{version}");
    }
    fleet.platform.set_vms(vms);
    for router in 0..fleet.routers.len() {
        eventually("the router lists the versions", || {
            fleet.dump(router)["versions"]["roast"].as_object().is_some_and(|all| all.len() == 2)
        });
    }
    let mut whole = 0;
    for number in 0..40 {
        let prompt = format!("question {number}");
        let answer = fleet.complete(number % fleet.routers.len(), &prompt, 20, true).unwrap();
        let text = answer.text();
        let versions = ["[1]", "[2]"].map(|version| text.matches(version).count());
        assert!(versions.contains(&0), "two versions wrote the answer to {prompt}: {text}");
        whole += usize::from(versions.contains(&20) && answer.done());
    }
    assert!(whole >= 20, "{whole} of 40 answers were whole");
}

#[test]
fn a_request_that_every_engine_refuses_consumes_no_tokens() {
    let fleet = Fleet::start("answers-refuse", Options::default());
    for engine in &fleet.engines {
        engine.set_mode(engine::Mode { refuse: true, ..engine::Mode::default() });
    }
    let refused = fleet.complete(0, "hello", 5, false).unwrap();
    assert_eq!((refused.status, refused.ran().as_str()), (503, "not_run"), "{refused:?}");
    assert!(refused.header("retry-after").is_some());
    assert_eq!(fleet.started_requests(), 0);
    let budget = &fleet.dump(0)["budgets"]["kitchen/main"];
    assert_eq!((&budget["consumed_tokens"], &budget["reserved_tokens"]), (&0.into(), &0.into()));
}

#[test]
fn invalid_answers_from_every_engine_result_in_an_error() {
    let fleet = Fleet::start("answers-garbage", Options::default());
    for engine in &fleet.engines {
        engine.set_mode(engine::Mode { garbage: true, ..engine::Mode::default() });
    }
    let failed = fleet.complete(0, "hello", 5, false).unwrap();
    assert_eq!(failed.status, 503, "{failed:?}");
    assert_eq!(failed.ran(), "unknown");
}

#[test]
fn a_token_count_above_the_request_s_bound_is_not_billed() {
    let fleet = Fleet::start("answers-overreport", Options::default());
    for engine in &fleet.engines {
        engine.set_mode(engine::Mode { overreport_tokens: 10_000, ..engine::Mode::default() });
    }
    let answer = fleet.complete(0, "hello", 5, false).unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
    eventually("the overrun is counted", || {
        fleet.dump(0)["counters"]["overrun_tokens"].as_u64().unwrap_or(0) > 0
    });
    eventually("the request is billed", || fleet.totals("kitchen").billed_requests == 1);
    assert!(fleet.totals("kitchen").billed_tokens < 200, "{:?}", fleet.totals("kitchen"));
}

#[test]
fn a_caller_that_disconnects_is_billed_for_the_generated_tokens_and_the_engine_stops() {
    let slow = engine::Mode { token_ms: 20, ..engine::Mode::default() };
    let fleet = Fleet::start("answers-leave", Options { engine_mode: slow, ..Options::default() });
    let body = fleet::completion_body("hello there", 3_000, true);
    let callers = fleet.routers[0].callers;
    let stream = fleet::send(callers, "POST", "/v1/chat/completions", "kitchen-key", &[], &body);
    eventually("the engine generates tokens", || fleet.generated_tokens() >= 5);
    drop(stream);
    eventually("the engine stops", || fleet.engines.iter().all(|engine| engine.running() == 0));
    eventually("the request is billed", || fleet.totals("kitchen").billed_requests == 1);
    let billed = fleet.totals("kitchen").billed_tokens;
    assert!(billed >= 5 && billed <= fleet.generated_tokens() + 2, "{billed} tokens were billed");
}

#[test]
fn no_tokens_stay_reserved_after_callers_disconnect_at_any_moment() {
    let fleet = Fleet::start("answers-leave-early", Options::default());
    let body = completion_body("hello there", 40, true);
    let callers = fleet.routers[0].callers;
    thread::scope(|scope| {
        for caller in 0..8_u64 {
            let body = &body;
            scope.spawn(move || {
                for turn in 0..60 {
                    let path = "/v1/chat/completions";
                    let stream = fleet::send(callers, "POST", path, "kitchen-key", &[], body);
                    thread::sleep(Duration::from_micros((caller * 60 + turn) * 7));
                    drop(stream);
                }
            });
        }
    });
    eventually("no reservation and no request is left", || {
        let dump = fleet.dump(0);
        let reserved = &dump["budgets"]["kitchen/main"]["reserved_tokens"];
        *reserved == 0 && dump["requests"].as_array().is_some_and(Vec::is_empty)
    });
}

#[test]
fn streams_that_run_while_regions_and_the_platform_are_cut_end_whole_and_are_billed() {
    let slow = engine::Mode { token_ms: 20, ..engine::Mode::default() };
    let options = Options { routers: 4, regions: 2, engine_mode: slow, ..Options::default() };
    let fleet = Fleet::start("answers-region", options);
    thread::scope(|scope| {
        for caller in 0..8 {
            let fleet = &fleet;
            scope.spawn(move || {
                let prompt = format!("crash group {caller}");
                let answer = fleet.complete(caller % 4, &prompt, 60, true).unwrap();
                assert_eq!(answer.text(), engine::answer(&prompt, 60), "{answer:?}");
                assert!(answer.done());
            });
        }
        eventually("all streams run", || {
            fleet.engines.iter().map(engine::Engine::running).sum::<usize>() == 8
        });
        fleet.cut_routers(&[0, 2], &[1, 3], true);
        fleet.cut_platform(&[1, 3], true);
    });
    fleet.cut_routers(&[0, 2], &[1, 3], false);
    fleet.cut_platform(&[1, 3], false);
    eventually("each request is billed once", || fleet.totals("kitchen").billed_requests == 8);
    assert_eq!(fleet.totals("kitchen").billed_tokens, 8 * 63);
    assert_eq!(fleet.totals("kitchen").repeated_tokens, 0);
}

#[test]
fn a_replayed_completion_keeps_its_time_of_creation() {
    let fleet = Fleet::start("answers-created", Options::default());
    let now_s = || {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        since.unwrap().as_secs()
    };
    let before_s = now_s();
    let created_s_of_completion = || {
        let answer = fleet.complete_as(0, "kitchen-key", Some("created"), "roast", 4, false);
        answer.unwrap().json()["created"].as_u64().unwrap()
    };
    let created_s = created_s_of_completion();
    assert!((before_s..=now_s()).contains(&created_s), "wrong time of creation {created_s}");
    thread::sleep(Duration::from_millis(1_100));
    assert_eq!(created_s_of_completion(), created_s, "the replay has another time of creation");
}
