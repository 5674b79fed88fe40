"""Hosts a core on a running asyncio loop, for admissions only: timers, and a counter if there is one."""

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
"""Add an amount to a named number that lives so many milliseconds; return the total, or raise."""


class Host:
    """The ports of a core that sends no attempts.  Without `add`, quotas hold in this process alone."""

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
        self.alarm: asyncio.TimerHandle | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    def send_attempt(self, request: OpenRequest, endpoint: str, timeout_ms: float) -> None:
        """Only admissions come this way; no attempt is ever sent."""
        self.core.attempt_ended(request, Outcome.CONNECT_FAILED)

    def abandon_attempt(self, request: OpenRequest) -> None:
        """No attempt is ever in flight."""

    def check_health(self, endpoint: str) -> None:
        """There are no endpoints."""

    def on_endpoints(self, endpoints: Iterable[Endpoint], is_complete: bool) -> None:
        """There are no endpoints."""

    def add_to_counter(self, counter_key: int, amount: float, retention_ms: float) -> None:
        """Call the counter, in a task of its own."""
        task = asyncio.get_running_loop().create_task(self._count(counter_key, amount, retention_ms))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _count(self, counter_key: int, amount: float, retention_ms: float) -> None:
        began, outcome, total = self.clock(), Outcome.CONNECT_FAILED, 0.0
        if self.add is not None:
            try:
                timeout = self.settings.counter_wait_ms / 1000
                total = await asyncio.wait_for(self.add(counter_key, amount, retention_ms), timeout)
                # Guards the quota: what is no number was added, but says nothing of the others' use.
                outcome = Outcome.OK if isfinite(total) else Outcome.ERROR
            except ConnectionRefusedError:
                outcome = Outcome.CONNECT_FAILED
            except Exception:  # guards the app: whatever the counter does, it may have added
                outcome = Outcome.TIMEOUT
        self.core.counter_replied(counter_key, outcome, total, self.clock() - began)

    def wake_at(self, due_at: float) -> None:
        """Have the core take its turn at this time."""
        loop = asyncio.get_running_loop()
        if self.alarm is not None:
            self.alarm.cancel()
        self.alarm = loop.call_later(
            max(0.0, due_at - self.clock()) / 1000 if due_at else 0.0, self.core.turn
        )
