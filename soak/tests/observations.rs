//! The checks of a run's probes. Guards against a check that takes a request for a failure of the router which was open
//! at a server as that server started again, and against one that passes over more than that.

#![allow(clippy::unwrap_used, missing_docs)]

use doorswitch_soak::observe::{Answer, Observations, ViolationKind};
use std::time::{Duration, Instant};

/// Long enough after the start of a run that its routers must serve.
const SERVING: Duration = Duration::from_secs(9);

struct Run {
    observations: Observations,
    serving_at: Instant,
}

impl Run {
    fn new() -> Self {
        Self { observations: Observations::new(2), serving_at: Instant::now() + SERVING }
    }

    /// Checks an answer to a probe that was sent and received this many milliseconds after the routers must serve.
    fn probe(&mut self, router: usize, status: Option<u16>, (sent_ms, received_ms): (u64, u64)) {
        let at = |ms| self.serving_at + Duration::from_millis(ms);
        let (sent, received) = (at(sent_ms), at(received_ms));
        let answer =
            Answer { router, version: 0, sent, received, status, server_incarnation: None };
        self.observations.check_answer(answer);
    }

    fn restart_server(&mut self, at_ms: u64) {
        self.observations.record_server_restart(self.serving_at + Duration::from_millis(at_ms));
    }

    fn unready(&self) -> usize {
        let violations = self.observations.violations().iter();
        violations.filter(|violation| violation.kind == ViolationKind::RouterUnready).count()
    }
}

#[test]
fn a_probe_that_was_open_as_a_server_started_again_may_fail_once_at_each_router() {
    let mut run = Run::new();
    run.restart_server(1_000);
    run.probe(0, Some(502), (999, 1_003));
    run.probe(1, Some(502), (1_001, 1_004));
    assert_eq!(run.unready(), 0);
    run.probe(0, Some(502), (1_060, 1_061));
    assert_eq!(run.unready(), 1);
}

#[test]
fn probes_that_fail_without_a_restart_are_counted() {
    let mut run = Run::new();
    run.probe(0, Some(502), (10, 12));
    run.restart_server(1_000);
    run.probe(0, Some(502), (990, 1_000));
    run.probe(0, Some(502), (3_000, 3_002));
    assert_eq!(run.unready(), 3);
}

#[test]
fn other_failures_at_a_restart_are_counted() {
    let mut run = Run::new();
    run.restart_server(1_000);
    run.probe(0, Some(503), (999, 1_003));
    run.probe(0, None, (1_000, 2_500));
    assert_eq!(run.unready(), 2);
}
