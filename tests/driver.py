"""Drives one gateway by hand: settings, events in order, actions by type."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace
from typing import Any, TypeVar

from scalelb import Gateway
from scalelb.routing import interface as io

A = TypeVar("A")

SAFE = io.RequestClass(aim_ms=1000.0, deadline_ms=3000.0)
UNSAFE = replace(SAFE, effect=io.Effect.UNSAFE)
METERED = io.Plan(rate=4.0, burst=16.0)
OPEN = io.Plan()
SETTINGS = io.Settings(
    index=0,
    gateways=2,
    zone=0,
    classes=(SAFE, UNSAFE),
    plans=(METERED, OPEN),
    attempt_limit=3,
    cold_from=0.25,
    cold_ms=10_000.0,
    fall_multiple=2.5,
    fall_ms=3000.0,
    most_units=4.0,
    counter=True,
    counter_timeout_ms=50.0,
    cancel=True,
)


def servers(count: int, **fields: Any) -> tuple[io.ServerInfo, ...]:
    """Some equal servers."""
    return tuple(io.ServerInfo(f"s{n}", io.State.SERVING, **fields) for n in range(count))


class Driver:
    """One gateway, its clock and what it did last."""

    def __init__(
        self, settings: io.Settings = SETTINGS, count: int = 3, now: float = 1000.0, seed: int = 7
    ) -> None:
        self.gateway = Gateway(settings, seed)
        self.now = now
        self.ids = 0
        self.did: list[io.Action] = []
        self.timers: list[tuple[float, int]] = []
        self.give(io.Started())
        self.give(io.ServersListed(servers(count), full=True))

    def give(self, event: io.Event) -> list[io.Action]:
        """Hand over one event."""
        actions = self.gateway.handle(self.now, event)
        self.did.extend(actions)
        self.timers += [(self.now + a.delay_ms, a.tag) for a in of(io.SetTimer, actions)]
        return actions

    def ask(self, customer: str = "ada", units: float = 2.0, **fields: Any) -> int:
        """A request arrives; return its id."""
        self.ids += 1
        given: dict[str, Any] = {"plan": 0, "request_class": 0, "expires_in_ms": 3000.0, "doors": 2} | fields
        self.give(io.RequestArrived(request=self.ids, customer=customer, units=units, **given))
        return self.ids

    def end(
        self, send: io.SendAttempt, outcome: io.Outcome = io.Outcome.OK, **fields: Any
    ) -> list[io.Action]:
        """An attempt ends."""
        attempt = sum(1 for a in self.sends() if a.request == send.request) - 1
        given: dict[str, Any] = {"elapsed_ms": 100.0, "final": outcome is io.Outcome.OK} | fields
        return self.give(io.AttemptEnded(send.request, attempt, send.server, outcome, **given))

    def wait(self, ms: float) -> None:
        """Let time pass; timers fire as they come due."""
        end = self.now + ms
        while self.now + 10.0 <= end:
            self.now += 10.0
            due = [tag for at, tag in self.timers if at <= self.now]
            self.timers = [(at, tag) for at, tag in self.timers if at > self.now]
            for tag in due:
                self.give(io.TimerFired(tag))

    def sends(self) -> list[io.SendAttempt]:
        """All attempts sent so far."""
        return of(io.SendAttempt, self.did)

    def refused(self) -> list[io.Refuse]:
        """All refusals so far."""
        return of(io.Refuse, self.did)

    def calls(self) -> list[io.AddToCounter]:
        """All counter calls so far."""
        return of(io.AddToCounter, self.did)


def of(kind: type[A], actions: Iterable[io.Action]) -> list[A]:
    """The actions of one kind."""
    return [a for a in actions if isinstance(a, kind)]
