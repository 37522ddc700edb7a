//! Permits to send requests to a limited server.
//!
//! One router, the pacer, schedules the requests of all routers to such a server: it grants
//! permits, each valid from a certain time, spaced by the limit. Unused permits expire, so that
//! routers accumulate none.

use serde::{Deserialize, Serialize};

/// Validity of a permit that was requested for a waiting request.
pub const PERMIT_TTL_MS: u64 = 250;
/// Validity of a permit for a trial, for which no request waits.
const TRIAL_TTL_MS: u64 = 2_000;
/// Time after which an unanswered permit request is repeated.
const REPLY_TIMEOUT_MS: u64 = 200;
/// Number of permits that are valid at once after an idle time.
const BURST_PERMITS: u64 = 2;
/// Maximum batch of permits for one router, as the time that it covers at the limit's rate.
const BATCH_MAX_MS: u64 = 100;
/// Maximum interval of trial requests: however low the limit, requests have to detect that it
/// rises.
pub const TRIAL_INTERVAL_MAX_MS: u64 = 5_000;
/// Minimum interval of trial requests, however high the limit.
const TRIAL_INTERVAL_MIN_MS: u64 = 1_000;

const US_PER_MS: u64 = 1_000;

/// Interval of trial requests to a server with this limit if nothing else is sent to it.
pub fn trial_interval_ms(limit_milli_per_s: u64) -> u64 {
    (interval_us(limit_milli_per_s) / US_PER_MS).clamp(TRIAL_INTERVAL_MIN_MS, TRIAL_INTERVAL_MAX_MS)
}

/// A message by which a router requests permits from the pacer, the router that schedules all requests to a backend
/// server with a limited rate. Each permit allows the router to send one request to that server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitsRequested {
    /// Number of permits that can be used.
    pub permits: u64,
    /// Permits that are valid only after this time are of no use, in milliseconds from now.
    pub within_ms: u64,
    /// Whether the permit is for a trial request that only detects the current limit.
    pub trial: bool,
}

/// The reply to [`PermitsRequested`] by the pacer, the router that schedules the requests of all routers to a backend
/// server with a limited rate: how many requests the receiver may send to that server and from when on, or when it is
/// to request permits again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitsGranted {
    /// Number of granted permits; 0 if none is available in time.
    pub permits: u64,
    /// Time until the permits are valid or, without permits, until they may be requested again, in milliseconds.
    pub in_ms: u64,
}

impl PermitsGranted {
    /// A refusal with the time until permits may be requested again, in milliseconds.
    pub fn none(in_ms: u64) -> Self {
        Self { permits: 0, in_ms }
    }
}

/// The permits that one router has for a backend server with a limited rate, each for sending one request, and its
/// unanswered request for more.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
    permits: u64,
    valid_from_ms: u64,
    expires_ms: u64,
    trial: bool,
    /// Unanswered permit request: its number, when it was sent, and its content.
    pending: Option<(u64, u64, PermitsRequested)>,
    /// Time until which no permits are available.
    refused_until_ms: u64,
}

impl Share {
    /// Whether a request may be sent now.
    pub fn usable(&self, now_ms: u64) -> bool {
        self.permits > 0 && (self.valid_from_ms..self.expires_ms).contains(&now_ms)
    }

    /// Whether a trial request is to be sent now.
    pub fn trial(&self, now_ms: u64) -> bool {
        self.trial && self.usable(now_ms)
    }

    /// Uses one permit for a request.
    pub fn take(&mut self, now_ms: u64) {
        if self.usable(now_ms) {
            self.permits -= 1;
        }
    }

    /// Clears the last refusal, because permits may be available earlier than it stated.
    pub fn clear_refusal(&mut self) {
        self.refused_until_ms = 0;
    }

    /// Number of permits that are granted or requested.
    pub fn expected(&self, now_ms: u64) -> u64 {
        let available = if now_ms < self.expires_ms { self.permits } else { 0 };
        available + self.pending_request(now_ms).map_or(0, |requested| requested.permits)
    }

    /// Whether permits may be requested now.
    pub fn may_request(&self, now_ms: u64) -> bool {
        self.expected(now_ms) == 0 && now_ms >= self.refused_until_ms
    }

    /// Earliest known time at which a permit may be valid.
    pub fn next_ms(&self, now_ms: u64) -> u64 {
        if self.expected(now_ms) > 0 { self.valid_from_ms } else { self.refused_until_ms }
    }

    /// Records a permit request that was sent.
    pub fn record_request(&mut self, number: u64, requested: PermitsRequested, now_ms: u64) {
        self.pending = Some((number, now_ms, requested));
    }

    /// Applies a reply to a permit request; `number` is `None` for permits that this router grants
    /// itself. The reply of another router is not trusted: permits are capped at the requested
    /// number and delays at the maximum interval of trials.
    pub fn handle_reply(
        &mut self,
        number: Option<u64>,
        granted: PermitsGranted,
        trial: bool,
        now_ms: u64,
    ) {
        let pending =
            self.pending.filter(|(pending, ..)| number.is_none_or(|number| number == *pending));
        let in_ms = granted.in_ms.min(TRIAL_INTERVAL_MAX_MS);
        if number.is_some() && pending.is_none() {
            return;
        }
        self.pending = None;
        if granted.permits == 0 {
            self.refused_until_ms = now_ms + in_ms;
            return;
        }
        let permits_max = pending.map_or(granted.permits, |(_, _, requested)| requested.permits);
        let ttl_ms = if trial { TRIAL_TTL_MS } else { PERMIT_TTL_MS };
        self.permits = granted.permits.min(permits_max);
        self.valid_from_ms = now_ms + in_ms;
        self.expires_ms = self.valid_from_ms + ttl_ms;
        self.trial = trial;
    }

    fn pending_request(&self, now_ms: u64) -> Option<PermitsRequested> {
        let (_, requested_ms, requested) = self.pending?;
        (now_ms < requested_ms + REPLY_TIMEOUT_MS).then_some(requested)
    }
}

/// The schedule of requests from all routers to one backend server with a limited rate. The one router that is the
/// server's pacer uses it to grant permits, each for sending one request, spaced by the limit.
#[derive(Clone, Copy, Debug)]
pub struct Pacer {
    /// When the next permit is valid.
    next_us: u64,
    /// When the last trial was granted or, before the first one, when the schedule started.
    trial_ms: u64,
}

impl Pacer {
    /// Creates a schedule without accumulated permits.
    pub fn new(limit_milli_per_s: u64, now_ms: u64) -> Self {
        Self { next_us: now_ms * US_PER_MS + interval_us(limit_milli_per_s), trial_ms: now_ms }
    }

    /// Changes the rate. Permits that are already granted count as the same number at the new rate,
    /// but a much lower rate delays the next request by no more than one interval, or than before.
    pub fn change_rate(&mut self, earlier_milli_per_s: u64, milli_per_s: u64, now_ms: u64) {
        let now_us = now_ms * US_PER_MS;
        let ahead_us = self.next_us.saturating_sub(now_us);
        let (earlier_us, interval_us) =
            (interval_us(earlier_milli_per_s), interval_us(milli_per_s));
        let scaled_us = ahead_us.saturating_mul(interval_us) / earlier_us;
        self.next_us = now_us + scaled_us.min(ahead_us.max(interval_us));
    }

    /// When the last trial was granted or, before the first one, when the schedule started.
    pub fn trial_ms(&self) -> u64 {
        self.trial_ms
    }

    /// Grants permits, or refuses with the time until they may be requested again.
    pub fn grant(
        &mut self,
        milli_per_s: u64,
        requested: PermitsRequested,
        now_ms: u64,
    ) -> PermitsGranted {
        let now_us = now_ms * US_PER_MS;
        let interval_us = interval_us(milli_per_s);
        let next_us = self.next_us.max(now_us.saturating_sub((BURST_PERMITS - 1) * interval_us));
        let in_ms = next_us.saturating_sub(now_us).div_ceil(US_PER_MS);
        if in_ms >= requested.within_ms.max(1) {
            return PermitsGranted::none((in_ms - requested.within_ms / 2).max(1));
        }
        let batch = (BATCH_MAX_MS * US_PER_MS / interval_us).max(1);
        let permits = requested.permits.clamp(1, batch);
        self.next_us = next_us + permits * interval_us;
        if requested.trial {
            self.trial_ms = now_ms;
        }
        PermitsGranted { permits, in_ms }
    }
}

/// Time between two requests at a rate in thousandths of a request per second, in microseconds.
fn interval_us(milli_per_s: u64) -> u64 {
    let interval_us = 1_000_000_000_u64.checked_div(milli_per_s).unwrap_or(u64::MAX);
    interval_us.clamp(1, TRIAL_INTERVAL_MAX_MS * US_PER_MS)
}
