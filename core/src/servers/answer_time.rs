//! Answer times of servers, estimated from their answers, and how the estimates decay.
//!
//! A server that receives no requests yields no new measurements. The part of its estimate that
//! exceeds the service's average therefore decays with time, so that it is used again.

/// Weight of an answer that is faster than the estimate: one part in this many. A slower answer
/// replaces the estimate.
const FASTER_ANSWER_DIVISOR: u64 = 8;
/// Weight of an answer in the average of its service: one part in this many.
const SERVICE_AVERAGE_DIVISOR: u64 = 32;
/// Half-life of the time by which a server's estimate exceeds the average of its service.
const HALF_LIFE_MS: u64 = 1_000;
/// Assumed answer time of a service without any answer yet.
const DEFAULT_ANSWER_US: u64 = 500_000;
const US_PER_MS: u64 = 1_000;

/// The moving average of the answer times of all backend servers of a service at this router. It is the
/// estimate for a server that has not answered yet.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceAnswerTime {
    average_us: Option<u64>,
}

impl ServiceAnswerTime {
    fn answer_us(self) -> u64 {
        self.average_us.unwrap_or(DEFAULT_ANSWER_US)
    }

    fn record(&mut self, took_us: u64) {
        let average_us = self.average_us.unwrap_or(took_us);
        self.average_us = Some(moving_average(average_us, took_us, SERVICE_AVERAGE_DIVISOR));
    }
}

/// The estimated time that one backend server takes to answer a request of this router. It is part of the
/// cost by which servers are compared when one is chosen for a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerTime {
    /// Estimate at the last answer in microseconds and the time of that answer; `None` before the
    /// first one.
    estimate: Option<(u64, u64)>,
}

impl AnswerTime {
    /// Current estimate in microseconds; the service's average if the server has not answered yet.
    pub fn answer_us(&self, service: ServiceAnswerTime, now_ms: u64) -> u64 {
        let Some((answer_us, answered_ms)) = self.estimate else { return service.answer_us() };
        let base_us = answer_us.min(service.answer_us());
        base_us + decayed(answer_us - base_us, now_ms.saturating_sub(answered_ms))
    }

    /// Records the time that an answer took.
    pub fn record(&mut self, took_ms: u64, service: &mut ServiceAnswerTime, now_ms: u64) {
        let took_us = took_ms.saturating_mul(US_PER_MS);
        service.record(took_us);
        let expected_us = self.answer_us(*service, now_ms);
        let answer_us = match took_us > expected_us {
            true => took_us,
            false => moving_average(expected_us, took_us, FASTER_ANSWER_DIVISOR),
        };
        self.estimate = Some((answer_us, now_ms));
    }
}

/// Exponentially decayed amount after a time, interpolated linearly between half-lives.
fn decayed(amount: u64, age_ms: u64) -> u64 {
    let half_lives = u32::try_from(age_ms / HALF_LIFE_MS).unwrap_or(u32::MAX);
    let left = amount.checked_shr(half_lives).unwrap_or(0);
    left - left / 2 * (age_ms % HALF_LIFE_MS) / HALF_LIFE_MS
}

/// Moving average in which the new value has a weight of one part in `weight`.
fn moving_average(average: u64, value: u64, weight: u64) -> u64 {
    average - average / weight + value / weight
}
