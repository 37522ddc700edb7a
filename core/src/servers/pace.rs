//! How long a server takes for an answer, as its answers tell, and how that ages.
//!
//! A server that is not asked tells nothing new. So what makes it seem slower than its peers is forgotten by time, and it is
//! asked again.

/// A longer answer than expected counts whole, a shorter one for one part in so many.
const SHORTER_WEIGHT: u64 = 8;
/// The average of a service counts an answer for one part in so many.
const SERVICE_WEIGHT: u64 = 32;
/// What a server is slower than its service loses half of itself in this time.
const HALF_LIFE_MS: u64 = 1_000;
/// What is assumed of a service that nobody has asked.
const DEFAULT_ANSWER_US: u64 = 500_000;
const US_PER_MS: u64 = 1_000;

/// The average over all answers of a service's servers.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServicePace {
    known_us: Option<u64>,
}

impl ServicePace {
    fn answer_us(self) -> u64 {
        self.known_us.unwrap_or(DEFAULT_ANSWER_US)
    }

    fn heard(&mut self, took_us: u64) {
        let known_us = self.known_us.unwrap_or(took_us);
        self.known_us = Some(averaged(known_us, took_us, SERVICE_WEIGHT));
    }
}

/// What one server's answers tell.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// What was expected of it when it answered last, and when that was; `None` before its first answer.
    known: Option<(u64, u64)>,
}

impl Pace {
    /// What is expected of the server now, in microseconds. One that is not known is taken to be as fast as its service.
    pub fn answer_us(&self, service: ServicePace, now_ms: u64) -> u64 {
        let Some((answer_us, heard_ms)) = self.known else { return service.answer_us() };
        let least_us = answer_us.min(service.answer_us());
        least_us + aged(answer_us - least_us, now_ms.saturating_sub(heard_ms))
    }

    /// Takes in an answer.
    pub fn heard(&mut self, took_ms: u64, service: &mut ServicePace, now_ms: u64) {
        let took_us = took_ms.saturating_mul(US_PER_MS);
        service.heard(took_us);
        let expected_us = self.answer_us(*service, now_ms);
        let answer_us = match took_us > expected_us {
            true => took_us,
            false => averaged(expected_us, took_us, SHORTER_WEIGHT),
        };
        self.known = Some((answer_us, now_ms));
    }
}

/// What is left of something after a time; between half-lives it falls evenly.
fn aged(amount: u64, age_ms: u64) -> u64 {
    let halves = u32::try_from(age_ms / HALF_LIFE_MS).unwrap_or(u32::MAX);
    let left = amount.checked_shr(halves).unwrap_or(0);
    left - left / 2 * (age_ms % HALF_LIFE_MS) / HALF_LIFE_MS
}

/// The average with a value that counts for one part in `weight`.
fn averaged(average: u64, value: u64, weight: u64) -> u64 {
    average - average / weight + value / weight
}
