"""What one seed of the soak draws: limiters, clients, troubles, and how each limiter's life ends."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

DECKS = 4  # backends
LINGER_S = 0.7  # after SIGTERM, that what comes may be open at the kill
LONGEST_DEADLINE_S = 3.0  # longer ones count as this much
SHORT_DEADLINES_MS = (2000, 1500)  # by class
USUAL_SOCKETS = 1024
FEW_SOCKETS = 256  # with a crowd


class ClientKind(Enum):
    """How a client sends on its connection."""

    SINGLE = "single"  # the next request once the one before is answered
    PIPELINED = "pipelined"  # several outstanding at any time
    PIECES = "pieces"  # each command in several writes
    LEAVING = "leaving"  # ends its connection under a request, again and again


class Trouble(Enum):
    """What befalls the stand-ins."""

    HANG = "hang"  # half of the backends, or all, answer nothing any more
    RESET = "reset"  # backends end all their connections
    COUNTER = "counter"  # the counter is silent for a while
    DISCOVERY = "discovery"  # the director is silent for a while
    CROWD = "crowd"  # some hundred clients come at once


@dataclass(frozen=True)
class Signal:
    """One signal, so long after the ending began."""

    after_s: float
    name: str  # as in `signal`, without SIG


@dataclass(frozen=True)
class Ending:
    """The signals that a limiter's life ends with.  SIGKILL follows the first SIGTERM, as early as it may."""

    name: str
    signals: tuple[Signal, ...]


@dataclass(frozen=True)
class SoakPlan:
    """One seed."""

    seed: int
    limiters: int
    deadlines_ms: tuple[int, ...]  # by class; empty: the usual ones
    sockets: int
    clients: tuple[ClientKind, ...]  # of each limiter
    troubles: tuple[tuple[float, Trouble], ...]  # when (s from the start of the load), which
    end_at_s: tuple[float, ...]  # by limiter
    endings: tuple[Ending, ...]  # by limiter: of its first life
    stops_while_starting: bool  # the first limiter's next life gets SIGTERM before it is ready
    hung_backends: int  # of `DECKS`, by `Trouble.HANG`
    has_successor: bool  # the first limiter is relieved by another on the same socket

    @property
    def linked(self) -> bool:
        """Whether the limiters have links."""
        return self.limiters > 1

    def kill_after_s(self, usual_longest_ms: float) -> float:
        """How long after SIGTERM the kill comes."""
        longest_ms = max(self.deadlines_ms, default=usual_longest_ms)
        return min(longest_ms / 1000.0, LONGEST_DEADLINE_S) + LINGER_S


ENDINGS = {
    "term": ("TERM",),
    "term thrice": ("TERM", "TERM", "TERM"),
    "hup before": ("HUP", "TERM"),
    "hup after": ("TERM", "HUP"),
    "series": ("HUP", "HUP", "HUP", "TERM", "HUP", "TERM"),
    "killed outright": ("KILL",),
}
LAST = Ending("term", (Signal(0.0, "TERM"),))  # of the last life of each limiter


def draw_ending(rng: random.Random, names: tuple[str, ...] = tuple(ENDINGS)) -> Ending:
    """One ending with drawn pauses between its signals."""
    name = rng.choice(names)
    after_s = 0.0
    signals = []
    for signal_name in ENDINGS[name]:
        signals.append(Signal(after_s, signal_name))
        after_s += rng.choice((0.0, 0.05, 0.4, 1.0))
    return Ending(name, tuple(signals))


def draw_plan(seed: int) -> SoakPlan:
    """Everything that a seed decides."""
    rng = random.Random(f"soak {seed}")
    limiters = rng.choice((1, 2, 2, 3))
    troubles = [(rng.uniform(0.2, 2.5), trouble) for trouble in Trouble if rng.random() < 0.35]
    is_crowded = any(trouble is Trouble.CROWD for _, trouble in troubles)
    has_successor = rng.random() < 0.25
    names = tuple(name for name in ENDINGS if not has_successor or name != "killed outright")
    clients = rng.choices((ClientKind.SINGLE, ClientKind.PIPELINED, ClientKind.PIECES), k=rng.randint(6, 14))
    if rng.random() < 0.4:
        clients += [ClientKind.LEAVING] * 3
    return SoakPlan(
        seed=seed,
        limiters=limiters,
        deadlines_ms=SHORT_DEADLINES_MS if rng.random() < 0.4 else (),
        sockets=FEW_SOCKETS if is_crowded else USUAL_SOCKETS,
        clients=tuple(clients),
        troubles=tuple(sorted(troubles, key=lambda item: item[0])),
        end_at_s=tuple(rng.uniform(1.0, 2.5) for _ in range(limiters)),
        endings=tuple(draw_ending(rng, names) for _ in range(limiters)),
        stops_while_starting=not has_successor and rng.random() < 0.3,
        has_successor=has_successor,
        hung_backends=rng.choice((DECKS // 2, DECKS)),
    )
