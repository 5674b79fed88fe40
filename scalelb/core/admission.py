"""Admission for asyncio callers: submit a request to the core and await its final answer."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from scalelb.core.incoming_request import IncomingRequest
from scalelb.core.lifecycle import Core
from scalelb.core.request_table import OpenRequest, Verdict


class AdmissionDecision(NamedTuple):
    """The final answer to an admission request."""

    verdict: Verdict
    retry_after_ms: float = 0.0


class AdmissionWaiter:
    """The caller of one admission request; resolves a future with the answer."""

    __slots__ = ("decided",)

    def __init__(self) -> None:
        self.decided: asyncio.Future[AdmissionDecision] = asyncio.get_running_loop().create_future()

    def on_answer(
        self, request: OpenRequest, verdict: Verdict, value: memoryview | None, retry_after_ms: float
    ) -> None:
        """Wake the waiting task, unless it was cancelled."""
        if not self.decided.done():
            self.decided.set_result(AdmissionDecision(verdict, retry_after_ms))


async def admit(core: Core, incoming: IncomingRequest) -> AdmissionDecision:
    """Request admission and await the decision.  Raises `OutOfRangeError`.

    If the task is cancelled while it waits, the tenant is charged nothing; if it is cancelled just as the
    request is admitted, the tenant is charged in full."""
    waiter = AdmissionWaiter()
    request = core.submit(waiter, None, incoming, admission_only=True)
    try:
        return await waiter.decided
    except asyncio.CancelledError:
        core.cancel(request)
        raise
