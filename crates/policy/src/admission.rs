//! Admission: quotas and rate limits of client groups (token buckets), the maximum queueing time of a request, and
//! the Retry-After of rejected requests.

use crate::effects::Budget;
use crate::fleet_budgets::FleetBudgets;
use crate::random::Random;
use crate::request_state::Request;

/// Fraction of the latency objective that may pass before the first attempt.
const WAIT_SHARE: f64 = 0.15;
/// Fraction of the client's timeout that may pass, as the timeout may be shorter than the objective. The rest must
/// suffice for a retry elsewhere.
const CLIENT_TIME_SHARE: f64 = 0.4;
/// Seconds for which an admission under the rate limit is valid. If the process was suspended for longer, the request
/// must be admitted again.
const ADMITTED_FOR: f64 = 0.5;

/// A token bucket: the tokens left at `refilled_at`, a time in seconds.
#[derive(Clone, Copy)]
struct TokenBucket {
    tokens: f64,
    refilled_at: f64,
}

impl TokenBucket {
    fn refill(&mut self, now: f64, rate: f64, capacity: f64) {
        self.tokens = (self.tokens + (now - self.refilled_at) * rate).min(capacity);
        self.refilled_at = now;
    }
}

pub(crate) struct Admission {
    /// This router's shares of each client group's quota and rate limit, in requests per second.
    quotas: Vec<f64>,
    rate_limits: Vec<f64>,
    /// One bucket per client group for its quota, and one for its rate limit.
    quota_buckets: Vec<TokenBucket>,
    rate_limit_buckets: Vec<TokenBucket>,
    /// Requests over their quota are shed first.
    sheds_over_quota: bool,
    /// The longest Retry-After in seconds that clients follow; `None` if they are not sent one.
    max_retry_after: Option<f64>,
}

impl Admission {
    pub(crate) fn new(
        now: f64,
        quotas: Vec<f64>,
        rate_limits: Vec<f64>,
        sheds_over_quota: bool,
        max_retry_after: Option<f64>,
    ) -> Self {
        Self {
            quota_buckets: vec![TokenBucket { tokens: 0.0, refilled_at: now - 1.0 }; quotas.len()],
            rate_limit_buckets: vec![TokenBucket { tokens: 0.0, refilled_at: now }; rate_limits.len()],
            quotas,
            rate_limits,
            sheds_over_quota,
            max_retry_after,
        }
    }

    /// Counts a request against its client group's quota; returns whether it is over the quota and may be shed first.
    pub(crate) fn is_over_quota(&mut self, now: f64, client: usize, budgets: &FleetBudgets) -> bool {
        // The burst is one second of the quota.
        let own_rate = self.quotas.get(client).copied().unwrap_or(0.0);
        let quota = budgets.allowed(now, Budget::Quota(client), own_rate);
        let Some(bucket) = self.quota_buckets.get_mut(client) else { return false };
        bucket.refill(now, quota, quota.max(1.0));
        let within = bucket.tokens >= 1.0;
        if within {
            bucket.tokens -= 1.0;
        }
        self.sheds_over_quota && !within
    }

    /// Whether a request is within its client group's rate limit; if not, sets its Retry-After.
    pub(crate) fn within_rate_limit(
        &mut self,
        now: f64,
        request: &mut Request,
        budgets: &mut FleetBudgets,
        random: &mut Random,
    ) -> bool {
        /// The burst, in seconds of the rate limit.
        const BURST_SECONDS: f64 = 0.5;
        let Some(&own_rate) = self.rate_limits.get(request.client).filter(|c| c.is_finite()) else {
            return true;
        };
        if now - request.admitted_at < ADMITTED_FOR {
            return true;
        }
        let rate = budgets.allowed(now, Budget::RateLimit(request.client), own_rate);
        let bucket = &mut self.rate_limit_buckets[request.client];
        bucket.refill(now, rate, (rate * BURST_SECONDS).max(1.0));
        let jitter = random.uniform();
        let within = bucket.tokens >= 1.0;
        // The time until a token is available, with jitter.
        let retry_after = (1.0 - bucket.tokens) / rate.max(1e-3) * (1.0 + jitter);
        request.retry_after = (!within).then_some(retry_after);
        if !within {
            budgets.record_exhausted(Budget::RateLimit(request.client));
        }
        within
    }

    /// Takes a token for an attempt that is sent, unless a recent attempt of the request took one.
    pub(crate) fn attempt_sent(&mut self, now: f64, request: &mut Request) {
        if let Some(bucket) = self
            .rate_limit_buckets
            .get_mut(request.client)
            .filter(|_| now - request.admitted_at >= ADMITTED_FOR)
        {
            bucket.tokens -= 1.0;
            request.admitted_at = now;
        }
    }

    /// Whether the request's admission under the rate limit has expired.
    pub(crate) fn has_lapsed(&self, now: f64, request: &Request) -> bool {
        self.rate_limits.get(request.client).is_some_and(|c| c.is_finite())
            && now - request.admitted_at >= ADMITTED_FOR
    }

    /// The Retry-After in seconds of a rejected request, if clients follow it.
    pub(crate) fn retry_after(&self, request: &Request, latency_objective: f64) -> Option<f64> {
        /// Fraction of the latency objective after which to retry: late enough to leave the burst, early enough to be
        /// in time.
        const RETRY_AFTER_SHARE: f64 = 0.08;
        self.max_retry_after
            .map(|max| max.min(request.retry_after.unwrap_or(RETRY_AFTER_SHARE * latency_objective)))
    }
}

/// The longest times in seconds for which requests may wait until the host reads them. A host that is further behind
/// lacks processor time, and rejects what it reads without submitting it: to reject costs far less than to serve, and
/// lets the host answer all clients in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadDelayLimits {
    /// While the host has been behind for longer than one burst takes.
    pub sustained: f64,
    /// For a single burst, while its clients still have most of their time.
    pub burst: f64,
}

impl ReadDelayLimits {
    /// The limits for requests with this latency objective and this timeout, both in seconds.
    pub fn new(latency_objective: f64, timeout: f64) -> Self {
        let burst = CLIENT_TIME_SHARE * timeout;
        Self { sustained: (WAIT_SHARE * latency_objective).min(burst), burst }
    }
}

/// What a queued request waits for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum QueueReason {
    /// The workers with an instance of its function are busy.
    Busy,
    /// A load of its function. `latency` is the mean latency of answers in seconds.
    Load { latency: f64 },
    /// The first confirmation of the endpoint list, or the first proof of a worker that it takes new work.
    FirstConfirmation,
}

/// Whether a request has been queued for so long that it is rejected. Times are in seconds.
pub(crate) fn has_waited_too_long(
    now: f64,
    request: &Request,
    latency_objective: f64,
    reason: QueueReason,
) -> bool {
    let wait = match reason {
        // Rejected while a retry can still be in time.
        QueueReason::Busy => WAIT_SHARE * latency_objective,
        // It would wait as long elsewhere.
        QueueReason::Load { latency } => latency_objective - latency,
        // No worker is known to be busy, and the client may know of no other router.
        QueueReason::FirstConfirmation => f64::INFINITY,
    };
    now - request.arrived_at > wait.min(CLIENT_TIME_SHARE * (request.deadline - request.arrived_at))
}
