"""Admissions for callers that wait with `await`: ask the core, wait for its one final answer."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from scalelb.routing.core import Core, Ticket, Verdict


class Decision(NamedTuple):
    """What became of a request for admission."""

    verdict: Verdict
    retry_after_ms: float = 0.0


class Waiter:
    """The caller of one admission."""

    __slots__ = ("decided",)

    def __init__(self) -> None:
        self.decided: asyncio.Future[Decision] = asyncio.get_running_loop().create_future()

    def answered(
        self, ticket: Ticket, verdict: Verdict, value: memoryview | None, retry_after_ms: float
    ) -> None:
        """Wake whoever waits, unless it has left."""
        if not self.decided.done():
            self.decided.set_result(Decision(verdict, retry_after_ms))


async def admit(
    core: Core,
    *,
    customer: str,
    plan: int,
    kind: int,
    expires_ms: float,
    units: float,
    doors: int = 1,
    first_door: int = 0,
    retry: bool = False,
    door: int = 0,
    key: str = "",
    client: str = "",
) -> Decision:
    """Ask for admission.  Whoever is cancelled while it waits has taken nothing; one that was admitted in
    the same moment has taken its units whole."""
    waiter = Waiter()
    ticket = core.arrive(
        waiter,
        None,
        customer=customer,
        plan=plan,
        kind=kind,
        expires_ms=expires_ms,
        units=units,
        doors=doors,
        first_door=first_door,
        retry=retry,
        door=door,
        key=key,
        admission=True,
        client=client,
    )
    try:
        return await waiter.decided
    except asyncio.CancelledError:
        core.gone(ticket)
        raise
