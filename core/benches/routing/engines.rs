//! Engines of two classes with limited slots and a queue of their own, as Bursa has them.

use crate::{DEADLINE_MS, Request};
use doorswitch_core::servers;
use std::collections::VecDeque;

const NEW: usize = 5;
const OLD: usize = 4;
/// Engines in each failure domain.
const DOMAIN: usize = 3;
const REPORT_LAG_MS: u64 = 500;
const LATE_REPORT_LAG_MS: u64 = 5_000;
const SLOWED_BY: u64 = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    None,
    ThirdSlow,
    DomainGone,
    LateReports,
    CallersRetry,
}

impl Trouble {
    pub const ALL: [Trouble; 5] = [
        Trouble::None,
        Trouble::ThirdSlow,
        Trouble::DomainGone,
        Trouble::LateReports,
        Trouble::CallersRetry,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::ThirdSlow => "a third slow",
            Self::DomainGone => "a domain gone",
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
    dead: bool,
    running: Vec<Job>,
    queue: VecDeque<Job>,
    history: VecDeque<(u64, servers::Load)>,
}

/// A job that is over.
#[derive(Clone, Copy, Debug)]
pub struct Ended {
    pub number: usize,
    pub server: usize,
    pub first_token_ms: u64,
    /// The caller left before the answer was whole.
    pub cancelled: bool,
    /// The engine died, or was dead.
    pub broken: bool,
}

pub struct Engines {
    trouble: Trouble,
    engines: Vec<Engine>,
    refused: Vec<Ended>,
}

impl Engines {
    pub fn new(trouble: Trouble) -> Self {
        let engine = |slots, token_ms, prompt_ms| Engine {
            slots,
            token_ms,
            prompt_ms,
            dead: false,
            running: Vec::new(),
            queue: VecDeque::new(),
            history: VecDeque::new(),
        };
        let mut engines = vec![engine(8, 20, 50); NEW];
        engines.extend(vec![engine(4, 40, 100); OLD]);
        Self { trouble, engines, refused: Vec::new() }
    }

    pub fn len() -> usize {
        NEW + OLD
    }

    /// Requests a second that all engines serve, in thousandths.
    pub fn capacity_milli_per_s(&self, tokens: u64) -> u64 {
        let each = |engine: &Engine| {
            engine.slots as u64 * 1_000_000 / (engine.prompt_ms + engine.token_ms * tokens)
        };
        self.engines.iter().map(each).sum()
    }

    /// The trouble begins.
    pub fn trouble(&mut self) {
        match self.trouble {
            Trouble::ThirdSlow => {
                self.engines.iter_mut().step_by(3).for_each(|it| it.token_ms *= SLOWED_BY);
            }
            Trouble::DomainGone => {
                for (server, engine) in self.engines.iter_mut().enumerate().take(DOMAIN) {
                    engine.dead = true;
                    let jobs = engine.running.drain(..).chain(engine.queue.drain(..));
                    self.refused.extend(jobs.map(|job| broken(job.number, server)));
                }
            }
            _ => {}
        }
    }

    pub fn send(&mut self, server: usize, request: &Request, _now_ms: u64) {
        if self.engines[server].dead {
            self.refused.push(broken(request.number, server));
            return;
        }
        self.engines[server].queue.push_back(Job {
            number: request.number,
            deadline_ms: request.given_ms + DEADLINE_MS,
            first_token_ms: 0,
            end_ms: 0,
            tokens: request.tokens,
        });
    }

    /// Ends what is over, starts what has room; callers that left are cancelled.
    pub fn step(&mut self, now_ms: u64) -> Vec<Ended> {
        let mut ended = std::mem::take(&mut self.refused);
        for (server, engine) in self.engines.iter_mut().enumerate() {
            engine.step(server, now_ms, &mut ended);
        }
        ended
    }

    /// What the engine reports now: the past.
    pub fn report(&self, server: usize, now_ms: u64) -> Option<servers::Load> {
        let lag_ms = match self.trouble {
            Trouble::LateReports => LATE_REPORT_LAG_MS,
            _ => REPORT_LAG_MS,
        };
        let engine = &self.engines[server];
        let known = |(at_ms, _): &&(u64, servers::Load)| at_ms + lag_ms <= now_ms;
        let load = engine.history.iter().rev().find(known).map(|(_, load)| *load);
        load.filter(|_| !engine.dead)
    }
}

impl Engine {
    fn step(&mut self, server: usize, now_ms: u64, ended: &mut Vec<Ended>) {
        let over = |job: &Job| Ended {
            number: job.number,
            server,
            first_token_ms: job.first_token_ms,
            cancelled: job.end_ms > now_ms || job.end_ms == 0,
            broken: false,
        };
        let gone = |job: &Job| job.deadline_ms <= now_ms;
        ended.extend(self.queue.iter().filter(|job| gone(job)).map(over));
        self.queue.retain(|job| !gone(job));
        let done = |job: &Job| job.end_ms <= now_ms || gone(job);
        ended.extend(self.running.iter().filter(|job| done(job)).map(over));
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

fn broken(number: usize, server: usize) -> Ended {
    Ended { number, server, first_token_ms: 0, cancelled: false, broken: true }
}
