"""What one seed of the soak test draws: limiters, clients, faults, and how each limiter is ended."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

BACKENDS = 4
SHUTDOWN_GRACE_S = 0.7  # Requests that arrive within this time after SIGTERM may be open at the kill.
MAX_DEADLINE_S = 3.0  # Longer deadlines do not postpone the kill any further.
SHORT_DEADLINES_MS = (2000, 1500)  # By class.
DEFAULT_SOCKETS = 1024
FEW_SOCKETS = 256  # In runs with a connection burst.


class ClientKind(Enum):
    """How a client sends requests on its connection."""

    SINGLE = "single"  # sends the next request after the answer to the previous one
    PIPELINED = "pipelined"  # keeps several requests outstanding
    PIECES = "pieces"  # sends each command in several writes
    LEAVING = "leaving"  # repeatedly closes its connection while a request is open


class Trouble(Enum):
    """A fault of the stand-ins or a burst of clients; the names and values are written to reports."""

    HANG = "hang"  # half of the backends, or all, stop answering
    RESET = "reset"  # the backends close all their connections
    COUNTER = "counter"  # the shared counter does not answer for a while
    DISCOVERY = "discovery"  # discovery does not answer for a while
    CROWD = "crowd"  # some hundred clients connect within a fraction of a second


@dataclass(frozen=True)
class Signal:
    """One signal, sent `after_s` seconds after the ending began."""

    after_s: float
    name: str  # as in `signal`, without SIG


@dataclass(frozen=True)
class Ending:
    """The signals that end an incarnation of a limiter.

    SIGKILL follows the first SIGTERM after `SoakPlan.kill_after_s`, the earliest time that is allowed.
    """

    name: str
    signals: tuple[Signal, ...]


@dataclass(frozen=True)
class SoakPlan:
    """All that one seed draws; it is written to the report."""

    seed: int
    limiters: int
    deadlines_ms: tuple[int, ...]  # by class; empty: the defaults
    sockets: int
    clients: tuple[ClientKind, ...]  # of each limiter
    troubles: tuple[tuple[float, Trouble], ...]  # faults, each with its time (s from the start of the load)
    end_at_s: tuple[float, ...]  # by limiter, from the start of the load
    endings: tuple[Ending, ...]  # by limiter, of its first incarnation
    stops_while_starting: bool  # whether the first limiter's next incarnation gets SIGTERM before it is ready
    hung_backends: int  # of `BACKENDS`, by `Trouble.HANG`
    has_successor: bool  # whether a successor takes over the listening socket of the first limiter

    @property
    def linked(self) -> bool:
        """Whether the limiters have links to each other."""
        return self.limiters > 1

    def kill_after_s(self, default_max_deadline_ms: float) -> float:
        """The time from SIGTERM to SIGKILL."""
        max_deadline_ms = max(self.deadlines_ms, default=default_max_deadline_ms)
        return min(max_deadline_ms / 1000.0, MAX_DEADLINE_S) + SHUTDOWN_GRACE_S


ENDINGS = {
    "term": ("TERM",),
    "term thrice": ("TERM", "TERM", "TERM"),
    "hup before": ("HUP", "TERM"),
    "hup after": ("TERM", "HUP"),
    "series": ("HUP", "HUP", "HUP", "TERM", "HUP", "TERM"),
    "killed outright": ("KILL",),
}
LAST_ENDING = Ending("term", (Signal(0.0, "TERM"),))  # Ends the last incarnation of each limiter.


def draw_ending(rng: random.Random, names: tuple[str, ...] = tuple(ENDINGS)) -> Ending:
    """Draw an ending, and the pauses between its signals."""
    name = rng.choice(names)
    after_s = 0.0
    signals = []
    for signal_name in ENDINGS[name]:
        signals.append(Signal(after_s, signal_name))
        after_s += rng.choice((0.0, 0.05, 0.4, 1.0))
    return Ending(name, tuple(signals))


def draw_plan(seed: int) -> SoakPlan:
    """Draw the plan of a seed."""
    rng = random.Random(f"soak {seed}")
    limiters = rng.choice((1, 2, 2, 3))
    faults = [(rng.uniform(0.2, 2.5), fault) for fault in Trouble if rng.random() < 0.35]
    has_burst = any(fault is Trouble.CROWD for _, fault in faults)
    has_successor = rng.random() < 0.25
    names = tuple(name for name in ENDINGS if not has_successor or name != "killed outright")
    clients = rng.choices((ClientKind.SINGLE, ClientKind.PIPELINED, ClientKind.PIECES), k=rng.randint(6, 14))
    if rng.random() < 0.4:
        clients += [ClientKind.LEAVING] * 3
    return SoakPlan(
        seed=seed,
        limiters=limiters,
        deadlines_ms=SHORT_DEADLINES_MS if rng.random() < 0.4 else (),
        sockets=FEW_SOCKETS if has_burst else DEFAULT_SOCKETS,
        clients=tuple(clients),
        troubles=tuple(sorted(faults, key=lambda item: item[0])),
        end_at_s=tuple(rng.uniform(1.0, 2.5) for _ in range(limiters)),
        endings=tuple(draw_ending(rng, names) for _ in range(limiters)),
        stops_while_starting=not has_successor and rng.random() < 0.3,
        has_successor=has_successor,
        hung_backends=rng.choice((BACKENDS // 2, BACKENDS)),
    )
