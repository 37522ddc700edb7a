//! Simulated engines of two classes, each with limited slots and its own queue, as at the Bursa site.

use crate::{DEADLINE_MS, Request};
use doorswitch_core::servers;
use std::collections::VecDeque;

const NEW_ENGINES: usize = 5;
const OLD_ENGINES: usize = 4;
/// Number of engines in each failure domain.
const ENGINES_PER_DOMAIN: usize = 3;
const REPORT_LAG_MS: u64 = 500;
const LATE_REPORT_LAG_MS: u64 = 5_000;
const SLOWDOWN_FACTOR: u64 = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    ThirdSlowed,
    DomainFailed,
    LateReports,
    CallersRetry,
}

impl Fault {
    pub const ALL: [Fault; 5] = [
        Fault::None,
        Fault::ThirdSlowed,
        Fault::DomainFailed,
        Fault::LateReports,
        Fault::CallersRetry,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::ThirdSlowed => "a third slow",
            Self::DomainFailed => "a domain gone",
            Self::LateReports => "reports 5 s late",
            Self::CallersRetry => "callers retry",
        }
    }
}

#[derive(Clone, Debug)]
struct Job {
    number: usize,
    deadline_ms: u64,
    first_token_ms: u64,
    end_ms: u64,
    tokens: u64,
}

#[derive(Clone, Debug)]
struct Engine {
    slots: usize,
    token_ms: u64,
    prompt_ms: u64,
    failed: bool,
    running: Vec<Job>,
    queue: VecDeque<Job>,
    history: VecDeque<(u64, servers::Load)>,
}

/// The end of a job.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    pub number: usize,
    pub server: usize,
    pub first_token_ms: u64,
    /// Whether the caller left before the answer was complete.
    pub cancelled: bool,
    /// Whether the engine failed before or while it ran the job.
    pub broken: bool,
}

pub struct Engines {
    fault: Fault,
    engines: Vec<Engine>,
    broken: Vec<Ended>,
}

impl Engines {
    pub fn new(fault: Fault) -> Self {
        let engine = |slots, token_ms, prompt_ms| Engine {
            slots,
            token_ms,
            prompt_ms,
            failed: false,
            running: Vec::new(),
            queue: VecDeque::new(),
            history: VecDeque::new(),
        };
        let mut engines = vec![engine(8, 20, 50); NEW_ENGINES];
        engines.extend(vec![engine(4, 40, 100); OLD_ENGINES]);
        Self { fault, engines, broken: Vec::new() }
    }

    pub fn len() -> usize {
        NEW_ENGINES + OLD_ENGINES
    }

    /// Capacity of all engines for answers of this length, in thousandths of a request a second.
    pub fn capacity_milli_per_s(&self, tokens: u64) -> u64 {
        let each = |engine: &Engine| {
            engine.slots as u64 * 1_000_000 / (engine.prompt_ms + engine.token_ms * tokens)
        };
        self.engines.iter().map(each).sum()
    }

    /// Begins the fault of this run.
    pub fn begin_fault(&mut self) {
        match self.fault {
            Fault::ThirdSlowed => {
                self.engines
                    .iter_mut()
                    .step_by(3)
                    .for_each(|engine| engine.token_ms *= SLOWDOWN_FACTOR);
            }
            Fault::DomainFailed => {
                for (server, engine) in self.engines.iter_mut().enumerate().take(ENGINES_PER_DOMAIN)
                {
                    engine.failed = true;
                    let jobs = engine.running.drain(..).chain(engine.queue.drain(..));
                    self.broken.extend(jobs.map(|job| broken_job(job.number, server)));
                }
            }
            _ => {}
        }
    }

    pub fn send(&mut self, server: usize, request: &Request, _now_ms: u64) {
        if self.engines[server].failed {
            self.broken.push(broken_job(request.number, server));
            return;
        }
        self.engines[server].queue.push_back(Job {
            number: request.number,
            deadline_ms: request.submitted_ms + DEADLINE_MS,
            first_token_ms: 0,
            end_ms: 0,
            tokens: request.tokens,
        });
    }

    /// Ends completed jobs, cancels those whose callers left, and starts queued jobs in free slots.
    pub fn step(&mut self, now_ms: u64) -> Vec<Ended> {
        let mut ended = std::mem::take(&mut self.broken);
        for (server, engine) in self.engines.iter_mut().enumerate() {
            engine.step(server, now_ms, &mut ended);
        }
        ended
    }

    /// The load that the engine reports now, which is older by the report lag; `None` if the engine has failed.
    pub fn report(&self, server: usize, now_ms: u64) -> Option<servers::Load> {
        let lag_ms = match self.fault {
            Fault::LateReports => LATE_REPORT_LAG_MS,
            _ => REPORT_LAG_MS,
        };
        let engine = &self.engines[server];
        let reported = |(at_ms, _): &&(u64, servers::Load)| at_ms + lag_ms <= now_ms;
        let load = engine.history.iter().rev().find(reported).map(|(_, load)| *load);
        load.filter(|_| !engine.failed)
    }
}

impl Engine {
    fn step(&mut self, server: usize, now_ms: u64, ended: &mut Vec<Ended>) {
        let ended_job = |job: &Job| Ended {
            number: job.number,
            server,
            first_token_ms: job.first_token_ms,
            cancelled: job.end_ms > now_ms || job.end_ms == 0,
            broken: false,
        };
        let caller_left = |job: &Job| job.deadline_ms <= now_ms;
        ended.extend(self.queue.iter().filter(|job| caller_left(job)).map(ended_job));
        self.queue.retain(|job| !caller_left(job));
        let done = |job: &Job| job.end_ms <= now_ms || caller_left(job);
        ended.extend(self.running.iter().filter(|job| done(job)).map(ended_job));
        self.running.retain(|job| !done(job));
        while self.running.len() < self.slots
            && let Some(mut job) = self.queue.pop_front()
        {
            job.first_token_ms = now_ms + self.prompt_ms + self.token_ms;
            job.end_ms = now_ms + self.prompt_ms + self.token_ms * job.tokens;
            self.running.push(job);
        }
        let load = servers::Load {
            running: self.running.len() as u64,
            queued: self.queue.len() as u64,
            slots: self.slots as u64,
        };
        self.history.push_back((now_ms, load));
        if self.history.len() > 600 {
            self.history.pop_front();
        }
    }
}

fn broken_job(number: usize, server: usize) -> Ended {
    Ended { number, server, first_token_ms: 0, cancelled: false, broken: true }
}
