//! An accepted configuration is in force everywhere within seconds and never reverts.

#![allow(clippy::unwrap_used, missing_docs)]

mod fleet;

use doorswitch::{platform, publish};
use doorswitch_core::config;
use doorswitch_standins::platform as standin;
use fleet::{Fleet, Options, eventually};
use std::time::Duration;

fn version(fleet: &Fleet, place: usize) -> u64 {
    fleet.dump(place)["config_version"].as_u64().unwrap_or(0)
}

fn changed(document: &config::Document, limit: u64) -> config::Document {
    let mut document = document.clone();
    document.services[0].answer_tokens_max = limit;
    document
}

#[test]
fn a_publish_is_in_force_at_every_router() {
    let fleet = Fleet::start("config-publish", Options::default());
    let published = fleet.publish(&changed(&fleet.document, 7));
    assert_eq!(published, 2);
    eventually("all have it", || (0..3).all(|place| version(&fleet, place) == 2));
    let refused = fleet.complete(1, "hello", 8, false).unwrap();
    assert_eq!(refused.code(), "invalid_max_tokens");
    assert!(refused.body.contains("1 to 7"), "{refused:?}");
}

#[test]
fn operators_who_race_get_one_winner_and_named_conflicts() {
    let fleet = Fleet::start("config-race", Options::default());
    let mode = standin::Mode { lose_write_replies_percent: 50, ..standin::Mode::default() };
    fleet.platform.set_mode(mode);
    let address = fleet.platform.address();
    let results: Vec<Result<u64, publish::Error>> = std::thread::scope(|scope| {
        let racers: Vec<_> = (0..6)
            .map(|number| {
                let document = changed(&fleet.document, 100 + number);
                scope.spawn(move || {
                    fleet::on_system(move || async move {
                        let url = format!("http://{address}");
                        let client = platform::Client::new(&url, 500, None);
                        let operation = format!("race-{number}");
                        let patience = Duration::from_secs(30);
                        publish::publish(&client, &document, 1, &operation, patience).await
                    })
                })
            })
            .collect();
        racers.into_iter().map(|racer| racer.join().unwrap()).collect()
    });
    let won: Vec<_> = results.iter().filter(|result| matches!(result, Ok(2))).collect();
    assert_eq!(won.len(), 1, "{results:?}");
    for lost in results.iter().filter(|result| result.is_err()) {
        assert!(matches!(lost, Err(publish::Error::Conflict { base: 1, winner: 2 })), "{lost:?}");
    }
    eventually("all have it", || (0..3).all(|place| version(&fleet, place) == 2));
}

#[test]
fn a_router_cut_off_from_the_platform_gets_the_configuration_from_its_peers() {
    let fleet = Fleet::start("config-peers", Options::default());
    fleet.cut_platform(&[2], true);
    fleet.publish(&changed(&fleet.document, 9));
    eventually("also the cut one has it", || version(&fleet, 2) == 2);
}

#[test]
fn a_router_started_during_an_outage_adopts_the_newest_before_it_serves() {
    let mut fleet = Fleet::start("config-start", Options::default());
    fleet.publish(&changed(&fleet.document, 9));
    eventually("all have it", || (0..3).all(|place| version(&fleet, place) == 2));
    fleet.platform.set_mode(standin::Mode { out: true, ..standin::Mode::default() });
    fleet.kill(2);
    fleet.spawn(2);
    eventually("it takes work", || {
        fleet.get(2, "/readyz", "none").is_some_and(|answer| answer.status == 200)
    });
    assert_eq!(version(&fleet, 2), 2);
    let refused = fleet.complete(2, "hello", 10, false).unwrap();
    assert_eq!(refused.code(), "invalid_max_tokens", "{refused:?}");
    // It has no grant of its own yet; the others give it some of theirs.
    let answer = fleet.complete(2, "hello", 9, false).unwrap();
    assert_eq!(answer.status, 200, "{answer:?}");
}

#[test]
fn without_any_configuration_nothing_is_served() {
    let fleet = Fleet::start_unready("config-none", &Options::default());
    eventually("it answers", || fleet.get(0, "/healthz", "none").is_some());
    let refused = fleet.complete(0, "hello", 1, false).unwrap();
    assert_eq!((refused.status, refused.code().as_str()), (503, "not_ready"));
    assert_eq!(refused.ran(), "not_run");
}
