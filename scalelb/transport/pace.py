"""Backoff between calls to discovery. No I/O: time and random numbers are passed in.

Discovery is one service for all limiters. It processes calls one after the other. A call that has waited too
long or finds the queue full is answered with 503, but still costs processing time. One limiter that calls
again at once does no harm; 40 of them keep the service full with their repeated calls, and none gets an
answer. The delay after a rejected call therefore grows with the number of limiters, which each of them knows,
and is randomized.

A limiter counts as notified of a change 6 s after discovery received it, even if its calls were rejected. The
first call and the one after a rejection are therefore made within 5 s, however many limiters there are.
Further rejections double the delay, up to a limit that depends on their number. A service that processes 15
calls per second can't answer 200 limiters in 6 s, and with delays of 1.5 s it did nothing but reject calls:
of 100 limiters, one got an answer in 30 s.

If the endpoint list is pushed, limiters call an agent on their own machine, which answers at once and at no
cost. There is no load to spread then, and during any delay a limiter counts as notified without having the
list.
"""

from __future__ import annotations

from random import Random

# After a lost connection; doubles up to the second. A watch is only continued within 200 ms.
MIN_RECONNECT_DELAY_MS, MAX_RECONNECT_DELAY_MS = 20.0, 100.0
# Calls of all limiters together: when all of them start, and after rejections.
INITIAL_CALLS_PER_S, RETRY_CALLS_PER_S = 10.0, 5.0
MAX_DELAY_MULTIPLE = 1.5  # of the mean delay that follows from the number of limiters
NOTIFIED_AFTER_MS = 6000.0  # from a change in discovery until a limiter counts as notified
# Ratios of that time, for the delay before the first call and the mean delay after a rejection; and the
# factor by which a failed call extends the time that a limiter may stay without a call.
INITIAL_DELAY_RATIO, RETRY_DELAY_RATIO, FAILED_CALL_MULTIPLE = 1 / 3, 1 / 3, 4.0


class PollBackoff:
    """The delays (ms) between one limiter's calls to discovery."""

    def __init__(self, limiters: int, random: Random, discovery_silence_ms: float) -> None:
        """Create the backoff of one of `limiters` (at least 1) that call the same service.

        `discovery_silence_ms`: a limiter that has not called for so long counts as notified; 0: the limiter
        calls an agent on its own machine, which it does not share.
        """
        if limiters < 1:
            raise ValueError(f"limiters: must be at least 1, not {limiters}")
        self.is_shared = discovery_silence_ms > 0
        self.random = random
        notified_after_ms = min(NOTIFIED_AFTER_MS, discovery_silence_ms)
        self.max_initial_delay_ms = min(
            1000 * limiters / INITIAL_CALLS_PER_S, INITIAL_DELAY_RATIO * notified_after_ms
        )
        # Random delays reach 1.5 times this. The longest ones follow failed calls, after which a limiter may
        # stay without a call for four times as long.
        self.max_mean_delay_ms = min(
            MAX_DELAY_MULTIPLE * 1000 * limiters / RETRY_CALLS_PER_S,
            FAILED_CALL_MULTIPLE * discovery_silence_ms / 2 / 1.5,
        )
        self.base_delay_ms = min(
            self.max_mean_delay_ms / MAX_DELAY_MULTIPLE, RETRY_DELAY_RATIO * notified_after_ms
        )
        self.reconnect_delay_ms, self.rejections = MIN_RECONNECT_DELAY_MS, 0

    def initial_delay_ms(self) -> float:
        """Return the delay before the first call of a limiter with a list: others may start with it."""
        return self.max_initial_delay_ms * self.random.random()

    def reset(self) -> None:
        """Reset the delays after an answered call."""
        self.reconnect_delay_ms, self.rejections = MIN_RECONNECT_DELAY_MS, 0

    def on_rejected(self) -> None:
        """Count a call that was rejected because the service is overloaded."""
        self.rejections = min(self.rejections + 1, 16) * self.is_shared

    def next_delay_ms(self) -> float:
        """Return the delay before the next call, after a rejection or a lost connection."""
        if self.rejections:
            return min(self.max_mean_delay_ms, self.base_delay_ms * 2.0 ** (self.rejections - 1)) * (
                0.5 + self.random.random()
            )
        delay_ms, self.reconnect_delay_ms = (
            self.reconnect_delay_ms,
            min(MAX_RECONNECT_DELAY_MS, 2 * self.reconnect_delay_ms),
        )
        return delay_ms
