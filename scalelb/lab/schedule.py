"""Fault schedules: a TOML file with limiters, load and steps, which is validated before anything is started.

A step begins when an event has been observed since the previous step was done, never at a fixed time:

    [[step]]
    log = "settled"            # this event in a limiter's log; `source` names the limiter
    answers = 40               # or this number of final answers
    messages = 20              # or this number of messages from one limiter (`source`) to another (`target`)
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

WAIT_KEYS = ("log", "answers", "messages")
LIMITER_ACTIONS = ("kill", "stall", "wake", "start")  # require `of`
LINK_ACTIONS = ("cut", "carry", "hold", "delay", "half", "reset")
OTHER_ACTIONS = ("counter", "drain", "load", "nothing")
MAX_LIMITERS, MAX_STEPS, MAX_KILLS = 16, 200, 500


@dataclass(frozen=True)
class Step:
    """An action, and the event that it waits for."""

    wait: str  # one of `WAIT_KEYS`; empty: the step does not wait
    what: str  # the log event
    count: int  # of log events, answers or messages
    source: str  # the limiter that logs the event (empty: any) or sends the messages
    target: str  # the limiter that receives the messages (empty: any)
    do: str
    of: str
    to: str
    how: str  # the state of the counter, or the requests per second of the load
    one_way: bool
    delay_ms: tuple[float, float]  # minimum and maximum


@dataclass(frozen=True)
class Schedule:
    """The schedule of one run."""

    name: str
    limiters: int
    seed: int
    linked: bool  # whether the limiters replicate their state to each other
    rate: float  # of each tenant's quota, in units per second
    burst: float
    per_s: float  # requests of all clients together
    customers: int
    keyed: float  # ratio of requests with an idempotency key
    bound: float  # how many times its quota a tenant may use over all limiters
    steps: tuple[Step, ...]

    @property
    def names(self) -> list[str]:
        """Return the names of the limiters."""
        return [f"limiter-{n}" for n in range(self.limiters)]


def read_schedule(path: Path) -> Schedule:
    """Read and validate a schedule.  Raises `ExperimentError` naming file and key."""
    try:
        return _read(Node(read_toml(path), ""), path)
    except ConfigError as error:
        raise ExperimentError(f"{path}: {error}") from None


def _read(top: Node, path: Path) -> Schedule:
    known = "name limiters seed linked plan load step bound kills"
    if unknown := sorted(set(top.value) - set(known.split())):
        raise ConfigError(f"{unknown[0]}: not known; known keys are {known.replace(' ', ', ')}")
    plan, load = top.node("plan", {}), top.node("load", {})
    limiters = top.integer("limiters", 2, 3)
    if limiters > MAX_LIMITERS:
        raise ConfigError(f"limiters: must be at most {MAX_LIMITERS}, not {limiters}")
    steps = top.nodes("step", 1)
    if len(steps) > MAX_STEPS:
        raise ConfigError(f"step: must be a list of at most {MAX_STEPS}, not {len(steps)}")
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
    """Return the steps of `[kills]`: random limiters, each killed after some answers and restarted."""
    kills = top.node("kills", {"count": 0})
    rng, count = random.Random(f"kills {top.integer('seed', 0, 1)}"), kills.integer("count", 0, 0)
    if count > MAX_KILLS:
        raise ConfigError(f"{kills.at('count')}: must be at most {MAX_KILLS}, not {count}")
    steps = []
    for _ in range(count):
        name = rng.choice(names)
        kill = {"answers": kills.integer("answers", 1, 20), "do": "kill", "of": name}
        steps.append(_step(Node(kill, ""), names))
        steps.append(_step(Node({"do": "start", "of": name}, ""), names))
    return steps


def _step(node: Node, names: list[str]) -> Step:
    waits = [wait for wait in WAIT_KEYS if wait in node.value]
    if len(waits) > 1:
        raise ConfigError(f"{node.at(waits[1])}: one of {', '.join(WAIT_KEYS)} is enough")
    wait = waits[0] if waits else ""
    do = node.text("do")
    if do not in (actions := LIMITER_ACTIONS + LINK_ACTIONS + OTHER_ACTIONS):
        raise ConfigError(f"{node.at('do')}: must be one of {', '.join(actions)}, not {do!r}")
    for key in ("of", "to", "source", "target"):
        name = node.text(key, "")
        if name not in ("", "all", *names) and not (do == "drain" and key == "of"):
            raise ConfigError(f"{node.at(key)}: must be one of {', '.join(names)}, not {name!r}")
    if do in LIMITER_ACTIONS and not node.text("of", ""):
        raise ConfigError(f"{node.at('of')}: missing field")
    delay: Any = node.get("delay_ms", [0.0, 0.0])
    if not isinstance(delay, list) or len(delay) != 2:
        raise ConfigError(f"{node.at('delay_ms')}: must be the least and the most, as two numbers")
    min_ms, max_ms = (Node({"delay_ms": item}, node.path).number("delay_ms") for item in delay)
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
        delay_ms=(min_ms, max_ms),
    )
