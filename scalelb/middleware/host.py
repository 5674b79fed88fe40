"""Runs a core on an asyncio event loop, for admission only, with an optional shared counter."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterable
from math import isfinite

from scalelb.admission_queue import AdmissionQueueSettings
from scalelb.core.lifecycle import Core
from scalelb.core.limits import CoreLimits
from scalelb.core.request_table import OpenRequest
from scalelb.policy.endpoints import Endpoint
from scalelb.policy.events import Outcome
from scalelb.policy.settings import Settings

AddToCounter = Callable[[int, float, float], Awaitable[float]]
"""Adds an amount to a counter, given key, amount and retention time in ms; returns the total, or raises."""


class Host:
    """Owns a core that only admits requests, and implements its ports on the event loop.

    `add` calls the counter; if it is None, quotas apply to this process alone. `clock` returns milliseconds;
    `door` holds the settings of the admission queue; if it is None, there is no queue."""

    def __init__(
        self,
        settings: Settings,
        seed: int = 0,
        add: AddToCounter | None = None,
        clock: Callable[[], float] | None = None,
        door: AdmissionQueueSettings | None = None,
    ) -> None:
        offset = time.time() - time.monotonic()
        self.clock = clock or (lambda: (time.monotonic() + offset) * 1000.0)
        self.settings, self.add = settings, add
        limits = CoreLimits(answer_margin_ms=0.0, client_transit_ms=0.0)
        self.core = Core(settings, seed, self, self.clock, limits, queue_settings=door)
        self.wakeup_timer: asyncio.TimerHandle | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    def send_attempt(self, request: OpenRequest, endpoint: str, timeout_ms: float) -> None:
        """Report a failed attempt: requests are only admitted, none is ever sent."""
        self.core.attempt_ended(request, Outcome.CONNECT_FAILED)

    def abandon_attempt(self, request: OpenRequest) -> None:
        """Do nothing: no attempt is ever in flight."""

    def check_health(self, endpoint: str) -> None:
        """Do nothing: there are no endpoints."""

    def on_endpoints(self, endpoints: Iterable[Endpoint], is_complete: bool) -> None:
        """Do nothing: there are no endpoints."""

    def add_to_counter(self, counter_key: int, amount: float, retention_ms: float) -> None:
        """Call the counter in a separate task."""
        task = asyncio.get_running_loop().create_task(self._call_counter(counter_key, amount, retention_ms))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _call_counter(self, counter_key: int, amount: float, retention_ms: float) -> None:
        started_at, outcome, total = self.clock(), Outcome.CONNECT_FAILED, 0.0
        if self.add is not None:
            try:
                timeout_s = self.settings.counter_wait_ms / 1000
                total = await asyncio.wait_for(self.add(counter_key, amount, retention_ms), timeout_s)
                # The amount was added even if the total is not finite; that total says nothing about the use
                # through other limiters and must not change the quota.
                outcome = Outcome.OK if isfinite(total) else Outcome.ERROR
            except ConnectionRefusedError:
                outcome = Outcome.CONNECT_FAILED
            except Exception:  # any other failure must not reach the app, and the amount may have been added
                outcome = Outcome.TIMEOUT
        self.core.counter_replied(counter_key, outcome, total, self.clock() - started_at)

    def wake_at(self, due_at: float) -> None:
        """Schedule a call of `Core.turn` at `due_at` (ms); 0 means as soon as possible."""
        loop = asyncio.get_running_loop()
        if self.wakeup_timer is not None:
            self.wakeup_timer.cancel()
        self.wakeup_timer = loop.call_later(
            max(0.0, due_at - self.clock()) / 1000 if due_at else 0.0, self.core.turn
        )
