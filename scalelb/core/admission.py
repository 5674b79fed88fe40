"""Admission for callers that use `await`: submit a request to the core and wait for its final answer."""

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
    """The caller of one admission request."""

    __slots__ = ("decided",)

    def __init__(self) -> None:
        self.decided: asyncio.Future[AdmissionDecision] = asyncio.get_running_loop().create_future()

    def on_answer(
        self, request: OpenRequest, verdict: Verdict, value: memoryview | None, retry_after_ms: float
    ) -> None:
        """Wake the task that waits, unless it was cancelled."""
        if not self.decided.done():
            self.decided.set_result(AdmissionDecision(verdict, retry_after_ms))


async def admit(core: Core, incoming: IncomingRequest) -> AdmissionDecision:
    """Ask for admission.  Raises `OutOfRangeError`.

    A task that is cancelled while it waits is charged nothing; one that is cancelled in the moment of its
    admission is charged in full."""
    waiter = AdmissionWaiter()
    request = core.submit(waiter, None, incoming, admission_only=True)
    try:
        return await waiter.decided
    except asyncio.CancelledError:
        core.cancel(request)
        raise
