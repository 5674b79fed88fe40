"""Fault schedules: a TOML file of limiters, load and steps; all of it is checked before a start.

A step begins at something that was observed since the step before it was done, never at a time:

    [[step]]
    log = "settled"            # a line of this event, by `of` if it is given
    answers = 40               # or: so many final answers
    messages = 20              # or: so many messages from one limiter to another
    do = "kill"
    of = "limiter-1"
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from scalelb.lab.experiment import ExperimentError
from scalelb.program.config_reader import ConfigError, Node, read_toml

WAITS = ("log", "answers", "messages")
OF_ONE = ("kill", "stall", "wake", "start")
OF_LINK = ("cut", "carry", "hold", "delay", "half", "reset")
OTHERS = ("counter", "drain", "load", "nothing")
LIMITERS_MOST, STEPS_MOST, KILLS_MOST = 16, 200, 500


@dataclass(frozen=True)
class Step:
    """What to wait for, and what to do then."""

    wait: str
    what: str  # the event of the log
    count: int
    source: str  # of a log line, or of messages
    target: str  # of messages
    do: str
    of: str
    to: str
    how: str
    one_way: bool
    delay_ms: tuple[float, float]


@dataclass(frozen=True)
class Schedule:
    """All of one run."""

    name: str
    limiters: int
    seed: int
    linked: bool
    rate: float  # units a second of a customer's plan
    burst: float
    per_s: float  # requests of all clients together
    customers: int
    keyed: float  # part of the requests
    bound: float  # of the quotas, what may be sent on
    steps: tuple[Step, ...]

    @property
    def names(self) -> list[str]:
        """The limiters'."""
        return [f"limiter-{n}" for n in range(self.limiters)]


def read_schedule(path: Path) -> Schedule:
    """Read and check a schedule; raises `ExperimentError` with file and key."""
    try:
        return _read(Node(read_toml(path), ""), path)
    except ConfigError as error:
        raise ExperimentError(f"{path}: {error}") from None


def _read(top: Node, path: Path) -> Schedule:
    known = "name limiters seed linked plan load step bound kills"
    if unknown := sorted(set(top.value) - set(known.split())):
        raise ConfigError(f"{unknown[0]}: not known; there are {known.replace(' ', ', ')}")
    plan, load = top.node("plan", {}), top.node("load", {})
    limiters = top.integer("limiters", 2, 3)
    if limiters > LIMITERS_MOST:
        raise ConfigError(f"limiters: must be at most {LIMITERS_MOST}, not {limiters}")
    steps = top.nodes("step", 1)
    if len(steps) > STEPS_MOST:
        raise ConfigError(f"step: must be {STEPS_MOST} at most, not {len(steps)}")
    names = [f"limiter-{n}" for n in range(limiters)]
    return Schedule(
        name=top.text("name", path.stem),
        limiters=limiters,
        seed=top.integer("seed", 0, 1),
        linked=top.flag("linked", True),
        rate=plan.number("rate", 0.0, 4.0),
        burst=plan.number("burst", 1.0, 16.0),
        per_s=load.number("per_s", 0.1, 40.0),
        customers=load.integer("customers", 1, 20),
        keyed=load.number("keyed", 0.0, 0.2),
        bound=top.number("bound", 1.0, 1.5),
        steps=(*(_step(node, names) for node in steps), *_kills(top, names)),
    )


def _kills(top: Node, names: list[str]) -> list[Step]:
    """`[kills]`: so many limiters, drawn from the seed, each killed after some answers and started anew."""
    told = top.node("kills", {"count": 0})
    drawn, count = random.Random(f"kills {top.integer('seed', 0, 1)}"), told.integer("count", 0, 0)
    if count > KILLS_MOST:
        raise ConfigError(f"{told.at('count')}: must be {KILLS_MOST} at most, not {count}")
    steps = []
    for _ in range(count):
        name = drawn.choice(names)
        kill = {"answers": told.integer("answers", 1, 20), "do": "kill", "of": name}
        steps.append(_step(Node(kill, ""), names))
        steps.append(_step(Node({"do": "start", "of": name}, ""), names))
    return steps


def _step(node: Node, names: list[str]) -> Step:
    waits = [wait for wait in WAITS if wait in node.value]
    if len(waits) > 1:
        raise ConfigError(f"{node.at(waits[1])}: one of {', '.join(WAITS)} is enough")
    wait = waits[0] if waits else ""
    do = node.text("do")
    if do not in (every := OF_ONE + OF_LINK + OTHERS):
        raise ConfigError(f"{node.at('do')}: must be one of {', '.join(every)}, not {do!r}")
    for key in ("of", "to", "source", "target"):
        told = node.text(key, "")
        if told not in ("", "all", *names) and not (do == "drain" and key == "of"):
            raise ConfigError(f"{node.at(key)}: must be one of {', '.join(names)}, not {told!r}")
    if do in OF_ONE and not node.text("of", ""):
        raise ConfigError(f"{node.at('of')}: missing field")
    delay: Any = node.get("delay_ms", [0.0, 0.0])
    if not isinstance(delay, list) or len(delay) != 2:
        raise ConfigError(f"{node.at('delay_ms')}: must be the least and the most")
    least, most = (Node({"delay_ms": item}, node.path).number("delay_ms") for item in delay)
    return Step(
        wait=wait,
        what=node.text("log", "") if wait == "log" else "",
        count=node.integer(wait, 1) if wait in ("answers", "messages") else node.integer("count", 1, 1),
        source=node.text("source", ""),
        target=node.text("target", ""),
        do=do,
        of=node.text("of", ""),
        to=node.text("to", ""),
        how=node.text("how", ""),
        one_way=node.flag("one_way", False),
        delay_ms=(least, most),
    )
