"""Hosts a core on a running asyncio loop, for admissions only: timers, and a counter if there is one."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterable
from math import isfinite

from scalelb.admission_queue import AdmissionQueueSettings
from scalelb.policy.endpoints import Endpoint
from scalelb.policy.events import Outcome
from scalelb.policy.settings import Settings
from scalelb.routing.core import Core, Limits, Ticket

AddToCounter = Callable[[int, float, float], Awaitable[float]]
"""Add an amount to a named number that lives so many milliseconds; return the total, or raise."""


class Host:
    """The ports of a core that fetches nothing.  Without `add`, quotas hold in this process alone."""

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
        limits = Limits(margin_ms=0.0, transit_ms=0.0)
        self.core = Core(settings, seed, self, self.clock, limits, door=door)
        self.alarm: asyncio.TimerHandle | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    def fetch(self, ticket: Ticket, server: str, patience_ms: float) -> None:
        """Only admissions come this way; nothing is ever fetched."""
        self.core.fetched(ticket, Outcome.CONNECT_FAILED)

    def drop(self, ticket: Ticket) -> None:
        """Nothing is ever out."""

    def probe(self, server: str) -> None:
        """There are no servers."""

    def listed(self, servers: Iterable[Endpoint], full: bool) -> None:
        """There are no servers."""

    def count(self, name: int, amount: float, keep_ms: float) -> None:
        """Call the counter, in a task of its own."""
        task = asyncio.get_running_loop().create_task(self._count(name, amount, keep_ms))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _count(self, name: int, amount: float, keep_ms: float) -> None:
        began, outcome, total = self.clock(), Outcome.CONNECT_FAILED, 0.0
        if self.add is not None:
            try:
                timeout = self.settings.counter_wait_ms / 1000
                total = await asyncio.wait_for(self.add(name, amount, keep_ms), timeout)
                # Guards the quota: what is no number was added, but says nothing of the others' use.
                outcome = Outcome.OK if isfinite(total) else Outcome.ERROR
            except ConnectionRefusedError:
                outcome = Outcome.CONNECT_FAILED
            except Exception:  # guards the app: whatever the counter does, it may have added
                outcome = Outcome.TIMEOUT
        self.core.counted(name, outcome, total, self.clock() - began)

    def wake(self, at: float) -> None:
        """Have the core take its turn at this time."""
        loop = asyncio.get_running_loop()
        if self.alarm is not None:
            self.alarm.cancel()
        self.alarm = loop.call_later(max(0.0, at - self.clock()) / 1000 if at else 0.0, self.core.turn)
