"""A concurrency limit learned from latency, so that requests queue here and not at the endpoints.

It uses the gradient algorithm ("gradient2" of Netflix's concurrency-limits): the latency of each response is
divided by the baseline of its endpoint, which is the latency of that endpoint when it is unloaded.  While
responses take little longer than the baseline, the limit grows by a part of its square root; when they take
longer, it shrinks in proportion.  It is updated once per window of about one response time, as the effect of
a change shows only after that.

Each endpoint has its own baseline: a single one for the fleet would reduce the limit as soon as slower
endpoints are used.  `docs/fairness.md` has the measurements behind this and behind the constants.
"""

from __future__ import annotations

from math import sqrt

MIN_WINDOW_MS = 50.0
MIN_WINDOW_RESPONSES = 8
MAX_UNLOADED_LOAD = 0.05  # load of an endpoint, without the request, up to which it counts as unloaded
BASELINE_MEMORY = 20  # number of unloaded responses over which a baseline is averaged
FLEET_BASELINE_RESPONSES = 4  # weight of the fleet's baseline in that of an endpoint, in responses
GROWTH = 0.25  # growth of the limit in one window, as a multiple of its square root
CLEAR_OVERLOAD_RATIO = 1.3  # latency over the baseline from which on even an unused limit shrinks
SHRINK_RATIO = 0.5  # part of the difference to a lower target by which the limit shrinks in one window
FAILURE_RATIO = 0.9  # factor on the target after a window with a timeout or a full endpoint
MAX_BASELINES = 1024  # endpoints whose baseline is remembered
MIN_GRADIENT = 0.5
MIN_DIVISOR = 1e-9  # avoids a division by zero for a baseline or a ratio of 0


class GradientLimit:
    """A limit on the requests in flight.  It counts requests, not units, as a CPU core serves one at a time.

    `limit` starts at `initial` and stays between `min_limit` and `max_limit` (requests); it grows while the
    latency is at most `tolerance_ratio` times the baseline.
    """

    def __init__(self, initial: float, min_limit: float, max_limit: float, tolerance_ratio: float) -> None:
        self.limit = initial
        self.min_limit = min_limit
        self.max_limit = max_limit
        self.tolerance_ratio = tolerance_ratio
        # By endpoint: the unloaded latency in milliseconds and the number of responses it is based
        # on.  The endpoint that was updated last is at the end.
        self.baselines: dict[str, tuple[float, int]] = {}
        self.fleet_baseline: tuple[float, int] = (0.0, 0)
        self.latency_ratio = 1.0  # mean latency over the baseline in the last window
        self.window_started_at = 0.0
        self.responses = 0  # in the current window, as all fields below
        self.failures = 0
        self.latency_ratio_sum = 0.0
        self.latency_sum_ms = 0.0
        self.max_in_flight = 0.0

    def attempt_ended(
        self,
        now: float,
        endpoint: str,
        latency_ms: float,
        endpoint_load: float,
        in_flight: float,
        succeeded: bool,
    ) -> None:
        """Update baselines and limit from the end of one attempt.

        `latency_ms` is scaled to a request of mean size; `endpoint_load` is this limiter's other load on the
        endpoint when the attempt was sent, in requests of mean size; `in_flight` is the current number of all
        requests in flight.
        """
        if succeeded and endpoint_load <= MAX_UNLOADED_LOAD:
            self.baselines[endpoint] = _averaged(self.baselines.pop(endpoint, (0.0, 0)), latency_ms)
            self.fleet_baseline = _averaged(self.fleet_baseline, latency_ms)
            if len(self.baselines) > MAX_BASELINES:  # endpoints are replaced: memory would grow without bound
                del self.baselines[next(iter(self.baselines))]
        self.max_in_flight = max(self.max_in_flight, in_flight)
        if not succeeded:
            self.failures += 1
        if succeeded and self.fleet_baseline[1]:
            self.responses += 1
            self.latency_ratio_sum += latency_ms / max(self.baseline_ms(endpoint), MIN_DIVISOR)
            self.latency_sum_ms += latency_ms
        has_enough = self.responses >= MIN_WINDOW_RESPONSES or (self.failures and not self.responses)
        mean_latency_ms = self.latency_sum_ms / self.responses if self.responses else 0.0
        if has_enough and now - self.window_started_at >= max(MIN_WINDOW_MS, mean_latency_ms):
            self._update()
            self._start_window(now)

    def baseline_ms(self, endpoint: str) -> float:
        """Return the unloaded latency of a request of mean size at an endpoint.

        It includes the fleet's baseline with a fixed weight: an endpoint under load gets no unloaded
        responses, so that its own baseline may be based on very few.
        """
        baseline_ms, responses = self.baselines.get(endpoint, (0.0, 0))
        fleet_baseline_ms = self.fleet_baseline[0]
        return (responses * baseline_ms + FLEET_BASELINE_RESPONSES * fleet_baseline_ms) / (
            responses + FLEET_BASELINE_RESPONSES
        )

    def _start_window(self, now: float) -> None:
        self.window_started_at = now
        self.responses = 0
        self.failures = 0
        self.latency_ratio_sum = 0.0
        self.latency_sum_ms = 0.0
        self.max_in_flight = 0.0

    def _update(self) -> None:
        """Update the limit from the window that ends."""
        if self.responses:
            self.latency_ratio = self.latency_ratio_sum / self.responses
        gradient = max(MIN_GRADIENT, min(1.0, self.tolerance_ratio / max(self.latency_ratio, MIN_DIVISOR)))
        target = self.limit * gradient
        if self.failures:
            target *= FAILURE_RATIO
        target += GROWTH * sqrt(self.limit)
        # A window in which the limit was not reached says nothing about a higher limit, and its latency may
        # be due to the load of other limiters.
        is_unused = self.max_in_flight < self.limit / 2
        if is_unused and (target > self.limit or self.latency_ratio < CLEAR_OVERLOAD_RATIO):
            return
        if target > self.limit:
            self.limit = target
        else:
            self.limit += SHRINK_RATIO * (target - self.limit)
        self.limit = max(self.min_limit, min(self.max_limit, self.limit))


def _averaged(known: tuple[float, int], value: float) -> tuple[float, int]:
    """Return a mean and its count after one more value, over about the last `BASELINE_MEMORY` values."""
    mean, count = known
    count = min(BASELINE_MEMORY, count + 1)
    return mean + (value - mean) / count, count
