"""Client-side adaptive throttling of calls to the shared counter, driven by the latency of its answers.

All limiters share one counter, which serves calls in a single first-in first-out queue. When the offered
calls exceed its capacity, the queueing delay rises until answers are late for every limiter. Each limiter
therefore calls the counter only for a sample of its requests (`sampling_rate`). The rate is controlled by
the queueing delay, which is estimated as an answer's latency beyond the lowest recent latency. Late answers
alone would be too rare a signal for a control that is both fast and gentle: one limiter of 200 makes one or
two calls a second. Below `COUNTER_QUEUE_DELAY_TARGET` the rate increases by at most `SAMPLING_RATE_GAIN` of
itself with each answer; above it the rate decreases by up to `MAX_DECREASE_STEPS` times that. The queueing
delay settles at the target for any number of limiters.

Requests admitted without a counter call are assumed to conform to their quotas as often as sampled ones. One
limiter of many cannot know which of them do: a tenant reaches it once in several minutes, and the balance
from that call does not include what the other limiters have admitted since. Unsampled requests are therefore
admitted at a rate that follows the ratio of sampled requests that the counter granted recently
(`grant_ratio`). The rate equals this ratio if a request beyond its quota costs as much as one within it
earns. It is higher if such a request costs less, up to 1 from a ratio of `FULL_ADMISSION_GRANT_RATIO` on.

A late answer is not a failure: the caller waits `Settings.counter_wait_ms` for it. Without an answer by
then the counter counts as unavailable until the next answer: it is called again after a backoff that doubles
with each failure, so that a recovering counter is not overloaded at once.
"""

from __future__ import annotations

from math import inf

COUNTER_QUEUE_DELAY_TARGET = 0.5  # target queueing delay as a ratio of `late_after_ms`
SAMPLING_RATE_GAIN = 0.1  # step of one answer as a ratio of the sampling rate
MAX_DECREASE_STEPS = 4.0  # maximum steps by which one answer decreases the sampling rate
MIN_SAMPLING_RATE = 0.05  # ratio of the requests
FAILURE_DECREASE_FACTOR = 0.6  # multiplies the sampling rate after a call without an answer
MIN_DECREASE_INTERVAL_MS = 300.0  # time between two decreases for failures
BASELINE_LATENCY_GAIN = 0.02  # weight of a slower answer in the baseline latency
MIN_BACKOFF_MS = 50.0  # backoff after the first failure
MAX_BACKOFF_MS = 1000.0
FULL_ADMISSION_GRANT_RATIO = 0.5  # grant ratio from which all unsampled requests are admitted
MAX_EXTRA_WEIGHT = 2.0  # maximum of unsampled requests that one sampled request is charged for
GRANT_RATIO_GAIN = 0.2  # weight of the newest answer in the running average


class CounterContention:
    """Controls the rate at which one limiter samples its requests for calls to the shared counter."""

    def __init__(self, late_after_ms: float) -> None:
        """`late_after_ms`: latency of a counter call beyond which its answer is late."""
        self.late_after_ms = late_after_ms
        self.sampling_rate = 1.0  # ratio of the requests for which the counter is called
        self.backoff_ms = 0.0  # above 0: the last call failed
        self.next_call_at = 0.0  # ms; no call is made before
        self.baseline_latency_ms = late_after_ms  # lowest recent latency
        self.last_decrease_at = -inf  # ms; time of the last decrease for a failure
        self.grant_ratio = 1.0  # ratio of recently sampled requests that were granted

    @property
    def is_backoff_at_max(self) -> bool:
        """Whether the backoff is at its maximum, so that requests should not wait for an answer."""
        return self.backoff_ms >= MAX_BACKOFF_MS

    def extra_weight(self, over_quota_cost: float) -> float:
        """Return the number of admitted unsampled requests that a sampled one represents besides itself."""
        return min(MAX_EXTRA_WEIGHT, (1 / self.sampling_rate - 1) * self.admission_rate(over_quota_cost))

    def record_grant(self, is_granted: bool) -> None:
        """Record whether the token bucket contained the units that a call requested."""
        self.grant_ratio += GRANT_RATIO_GAIN * (is_granted - self.grant_ratio)

    def admission_rate(self, over_quota_cost: float) -> float:
        """Return the ratio of unsampled requests to admit.

        `over_quota_cost`: cost of a request beyond its quota, as a ratio of its value.
        """
        return min(1.0, self.grant_ratio / min(1.0, max(FULL_ADMISSION_GRANT_RATIO, over_quota_cost)))

    def on_answer(self, now: float, elapsed_ms: float) -> None:
        """Adjust the sampling rate to an answer that took `elapsed_ms`, and end any backoff."""
        self.backoff_ms = 0.0
        slower_ms = elapsed_ms - self.baseline_latency_ms
        baseline_ms = min(elapsed_ms, self.baseline_latency_ms + BASELINE_LATENCY_GAIN * slower_ms)
        self.baseline_latency_ms = baseline_ms
        delay_target_ms = max(1e-9, COUNTER_QUEUE_DELAY_TARGET * self.late_after_ms)
        queue_delay = (elapsed_ms - baseline_ms) / delay_target_ms
        factor = 1.0 + SAMPLING_RATE_GAIN * max(-MAX_DECREASE_STEPS, 1.0 - queue_delay)
        self.sampling_rate = min(1.0, max(MIN_SAMPLING_RATE, self.sampling_rate * factor))

    def on_failure(self, now: float) -> None:
        """Decrease the sampling rate and back off after a call that had no answer or was rejected."""
        if now - self.last_decrease_at >= MIN_DECREASE_INTERVAL_MS:  # only once for calls that fail together
            self.sampling_rate = max(MIN_SAMPLING_RATE, self.sampling_rate * FAILURE_DECREASE_FACTOR)
            self.last_decrease_at = now
        self.backoff_ms = min(MAX_BACKOFF_MS, max(MIN_BACKOFF_MS, 2 * self.backoff_ms))
        self.next_call_at = now + self.backoff_ms
