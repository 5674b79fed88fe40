"""Client-side adaptive throttling of calls to the shared counter, learnt from the limiter's own answers.

All limiters share one counter, which serves calls in a single first-in first-out queue. When the offered
calls exceed its capacity, the queueing delay rises until answers are late for every limiter. Each limiter
therefore asks the counter for a sample of its requests only (`sampling_rate`). The rate is controlled by
the queueing delay, estimated as an answer's latency beyond the lowest latency seen lately: one limiter of
200 makes one or two calls a second, so a signal that only late answers give would be too rare to be both
fast and mild. Below `COUNTER_QUEUE_DELAY_TARGET` the rate increases by at most `SAMPLING_RATE_GAIN` of
itself with each answer; above it the rate decreases by up to `MAX_DECREASE_STEPS` times that. The queueing
delay settles at the target for any number of limiters.

Requests admitted without a counter call are assumed to conform to their quotas at the same rate as sampled
ones. A limiter of many cannot tell which do: a customer reaches it once in minutes, and the token bucket's
balance it was told then does not cover what other limiters have admitted since. Unsampled requests are
therefore admitted at a rate that follows the share of sampled requests that the counter granted lately
(`grant_ratio`): at that share, where a request beyond its quota costs as much as one within it earns; at a
higher one where it costs less, up to all of them from a share of `FULL_ADMISSION_GRANT_RATIO` on.

A late answer is not a failure: the caller waits `Settings.counter_wait_ms` for it. Without an answer by
then the counter is unavailable until the next answer: it is called again after a backoff that doubles with
each failure, so that a counter that recovers is not overloaded at once.
"""

from __future__ import annotations

from math import inf

COUNTER_QUEUE_DELAY_TARGET = 0.5  # of the call's limit, `late_after_ms`
SAMPLING_RATE_GAIN = 0.1  # of the sampling rate, the step of one answer
MAX_DECREASE_STEPS = 4.0  # steps that one answer may decrease the sampling rate by
MIN_SAMPLING_RATE = 0.05  # of the requests
FAILURE_DECREASE_FACTOR = 0.6  # of the sampling rate, after a call without an answer
MIN_DECREASE_INTERVAL_MS = 300.0  # between two decreases for failures
BASELINE_LATENCY_GAIN = 0.02  # of the distance to a slower answer
MIN_BACKOFF_MS = 50.0  # after the first failure
MAX_BACKOFF_MS = 1000.0  # after many
FULL_ADMISSION_GRANT_RATIO = 0.5  # of the sampled requests: where so many are granted, all unsampled ones go
MAX_EXTRA_WEIGHT = 2.0  # unsampled requests that one sampled request may be charged for
GRANT_RATIO_GAIN = 0.2  # weight of the newest answer in the running average


class CounterContention:
    """Controls the rate at which one limiter samples its requests for calls to the shared counter."""

    def __init__(self, late_after_ms: float) -> None:
        """`late_after_ms`: latency of a counter call beyond which its answer is late."""
        self.late_after_ms = late_after_ms
        self.sampling_rate = 1.0  # of the requests
        self.backoff_ms = 0.0  # above 0: the last call failed
        self.next_call_at = 0.0  # ms; no call before
        self.baseline_latency_ms = late_after_ms  # lowest latency lately
        self.last_decrease_at = -inf  # ms; for a failure
        self.grant_ratio = 1.0  # of the sampled requests lately

    @property
    def is_backoff_at_max(self) -> bool:
        """Whether the backoff is at its longest, so that no answer should be waited for."""
        return self.backoff_ms >= MAX_BACKOFF_MS

    def extra_weight(self, over_cost: float) -> float:
        """Return how many admitted unsampled requests one sampled request stands for beside itself."""
        return min(MAX_EXTRA_WEIGHT, (1 / self.sampling_rate - 1) * self.admission_rate(over_cost))

    def record_grant(self, is_granted: bool) -> None:
        """Record whether the token bucket had the units that a call asked for."""
        self.grant_ratio += GRANT_RATIO_GAIN * (is_granted - self.grant_ratio)

    def admission_rate(self, over_cost: float) -> float:
        """Return the share of unsampled requests to admit; `over_cost`: the share of its worth that a request
        beyond its quota costs."""
        return min(1.0, self.grant_ratio / min(1.0, max(FULL_ADMISSION_GRANT_RATIO, over_cost)))

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
        if now - self.last_decrease_at >= MIN_DECREASE_INTERVAL_MS:  # once for all calls that failed together
            self.sampling_rate = max(MIN_SAMPLING_RATE, self.sampling_rate * FAILURE_DECREASE_FACTOR)
            self.last_decrease_at = now
        self.backoff_ms = min(MAX_BACKOFF_MS, max(MIN_BACKOFF_MS, 2 * self.backoff_ms))
        self.next_call_at = now + self.backoff_ms
