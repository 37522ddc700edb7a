//! An accepted configuration is in force at every router within seconds, and no router returns to an older one.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;

use doorswitch::{platform, publish};
use doorswitch_core::config;
use doorswitch_standins::platform as standin;
use fleet::{Fleet, Options, eventually};
use std::time::Duration;

fn version(fleet: &Fleet, index: usize) -> u64 {
    fleet.dump(index)["config_version"].as_u64().unwrap_or(0)
}

fn with_answer_limit(document: &config::Document, limit: u64) -> config::Document {
    let mut document = document.clone();
    document.services[0].answer_tokens_max = limit;
    document
}

#[test]
fn a_published_configuration_is_in_force_at_every_router() {
    let fleet = Fleet::start("config-publish", Options::default());
    let published = fleet.publish(&with_answer_limit(&fleet.document, 7));
    assert_eq!(published, 2);
    eventually("the version is in force at every router", || {
        (0..3).all(|index| version(&fleet, index) == 2)
    });
    let refused = fleet.complete(1, "hello", 8, false).unwrap();
    assert_eq!(refused.code(), "invalid_max_tokens");
    assert!(refused.body.contains("1 to 7"), "the limit is not named: {refused:?}");
}

#[test]
fn of_concurrent_publications_one_succeeds_and_the_others_receive_a_conflict() {
    let fleet = Fleet::start("config-race", Options::default());
    let mode = standin::Mode { lose_write_replies_percent: 50, ..standin::Mode::default() };
    fleet.platform.set_mode(mode);
    let address = fleet.platform.address();
    let results: Vec<Result<u64, publish::Error>> = std::thread::scope(|scope| {
        let publications: Vec<_> = (0..6)
            .map(|number| {
                let document = with_answer_limit(&fleet.document, 100 + number);
                scope.spawn(move || {
                    fleet::on_system(move || async move {
                        let url = format!("http://{address}");
                        let client = platform::Client::new(&url, 500, None);
                        let operation = format!("race-{number}");
                        let timeout = Duration::from_secs(30);
                        publish::publish(&client, &document, 1, &operation, timeout).await
                    })
                })
            })
            .collect();
        publications.into_iter().map(|publication| publication.join().unwrap()).collect()
    });
    let succeeded: Vec<_> = results.iter().filter(|result| matches!(result, Ok(2))).collect();
    assert_eq!(succeeded.len(), 1, "{results:?}");
    for failed in results.iter().filter(|result| result.is_err()) {
        assert!(
            matches!(failed, Err(publish::Error::Conflict { base: 1, published_version: 2 })),
            "{failed:?}"
        );
    }
    eventually("the version is in force at every router", || {
        (0..3).all(|index| version(&fleet, index) == 2)
    });
}

#[test]
fn a_router_without_the_platform_receives_the_configuration_from_its_peers() {
    let fleet = Fleet::start("config-peers", Options::default());
    fleet.cut_platform(&[2], true);
    fleet.publish(&with_answer_limit(&fleet.document, 9));
    eventually("the version is in force at the router without the platform", || {
        version(&fleet, 2) == 2
    });
}

#[test]
fn a_router_started_in_an_outage_applies_the_newest_configuration_before_it_serves() {
    let mut fleet = Fleet::start("config-start", Options::default());
    fleet.publish(&with_answer_limit(&fleet.document, 9));
    eventually("the version is in force at every router", || {
        (0..3).all(|index| version(&fleet, index) == 2)
    });
    fleet.platform.set_mode(standin::Mode { out: true, ..standin::Mode::default() });
    fleet.kill(2);
    fleet.spawn(2);
    eventually("the router is ready", || {
        fleet.get(2, "/readyz", "none").is_some_and(|answer| answer.status == 200)
    });
    assert_eq!(version(&fleet, 2), 2);
    let refused = fleet.complete(2, "hello", 10, false).unwrap();
    assert_eq!(refused.code(), "invalid_max_tokens", "{refused:?}");
    // It has no grant of its own yet; its peers transfer parts of theirs.
    let answer = fleet.complete(2, "hello", 9, false).unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
}

#[test]
fn without_a_configuration_requests_are_refused() {
    let fleet = Fleet::start_unready("config-none", &Options::default());
    eventually("the router answers", || fleet.get(0, "/healthz", "none").is_some());
    let refused = fleet.complete(0, "hello", 1, false).unwrap();
    assert_eq!((refused.status, refused.code().as_str()), (503, "not_ready"));
    assert_eq!(refused.ran(), "not_run");
}
