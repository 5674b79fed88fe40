"""Experiments: a TOML file describes fleet, plans, tenants, clients and variants.  It is validated before
anything is started.

The same file runs on loopback against the real program (`lab run`) and in virtual time (`lab run --virtual`).
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from math import inf
from pathlib import Path
from typing import Any

from scalelb.admission_queue import AdmissionQueueSettings
from scalelb.lab.traffic import Arrival, Clients, RecordedDayError, TenantGroup, draw, read_recorded_day
from scalelb.policy.settings import Settings
from scalelb.program.config import read_admission_queue, read_settings
from scalelb.program.config_reader import ConfigError, Node, read_toml

MAX_SECONDS, MAX_SERVERS, MAX_LIMITERS, MAX_LIST_LENGTH = 3600, 500, 50, 64
MAX_ARRIVALS = 2_000_000
CLASSES = [
    {
        "name": "fetch-cards", "aim-ms": 2000, "hard-limit-ms": 7500, "effect": "safe", "group": "all",
        "window-ms": 0, "worth": 2, "late-value": 0.2,
    },
    {
        "name": "record-answer", "aim-ms": 1000, "hard-limit-ms": 4000, "effect": "keyed", "group": "all",
        "window-ms": 4000, "worth": 6, "late-value": 0.2,
    },
]  # fmt: skip
KINDS = tuple(str(c["name"]) for c in CLASSES)


class ExperimentError(Exception):
    """An invalid experiment or schedule; the message names file and key."""


@dataclass(frozen=True)
class Fleet:
    """The backends of the stand-ins."""

    servers: int = 6
    cores: int = 3
    speeds: tuple[float, float] = (0.55, 1.1)  # of a core: the range of a uniform draw for each backend
    room: int = 12  # requests in the queue of a backend; it rejects those beyond
    work_ms: tuple[float, ...] = (60.0, 40.0)  # per unit, by class, on a core of speed 1
    link_ms: float = 0.5  # latency between a limiter and a backend, one way
    cold: int = 0  # backends that start with the run and have to warm up
    cold_from: float = 0.15  # ratio of its speed at which a backend starts
    cold_ms: float = 18_000.0  # until a backend has its full speed
    zones: int = 1  # backends are assigned to zones in turn, by number


@dataclass(frozen=True)
class Variant:
    """One run of an experiment."""

    name: str
    has_admission_queue: bool = True
    without: tuple[str, ...] = ()  # groups of tenants that send nothing
    limiters: int = 1
    seed: int = 1


@dataclass(frozen=True)
class Experiment:
    """One experiment."""

    name: str
    seconds: float  # of load
    settle_s: float  # after the load, for requests and retries that are still open
    max_retry_after_ms: float
    most_units: float  # of one request
    fleet: Fleet
    plans: dict[str, dict[str, Any]]
    tenants: tuple[TenantGroup, ...]
    clients: Clients
    admission_queue: dict[str, Any]  # the tables of its configuration file
    variants: tuple[Variant, ...]
    recorded_day: str = ""  # path of a recording that replaces the drawn traffic
    recorded_day_speed: float = 1.0
    counter_ms: float = 1.0  # service time of the counter
    folder: Path = field(default=Path(), compare=False)

    def settings_object(self, variant: Variant, index: int) -> dict[str, Any]:
        """Return the settings in the form of a limiter's configuration."""
        tariffs = [
            {
                "name": name, "units-per-s": plan["rate"], "most-at-once": plan["burst"],
                "at-once": plan["at_once"], "cap-rate": 0, "hard-burst": 0, "hard-slack": 0,
                "pays": plan["price"], "over-worth": 0, "over-cost": 1,
            }
            for name, plan in self.plans.items()
        ]  # fmt: skip
        return {
            "index": index, "balancers": variant.limiters, "zone": 0, "dcs": ["a"], "classes": CLASSES,
            "tariffs": tariffs, "discovery": "pushed",
            "limits": {
                "try-limit": 4, "cancel": True, "probing": False, "retry-after": True,
                "max-retry-after-ms": self.max_retry_after_ms, "max-open": 4096,
                "connect-timeout-ms": 250, "conn-idle-ms": 30_000,
            },
            "rules": {
                "cold-from": self.fleet.cold_from, "cold-ms": self.fleet.cold_ms, "fall-multiple": 3,
                "fall-ms": 1500,
            },
            "extra": {"most-units": self.most_units, "shared-counter": True, "count-limit-ms": 30},
        }  # fmt: skip

    def settings(self, variant: Variant, index: int = 0) -> Settings:
        """Return the settings, read as the program reads them."""
        return read_settings(self.settings_object(variant, index), "settings")

    def admission_queue_settings(self, variant: Variant) -> AdmissionQueueSettings | None:
        """Return the settings of the admission queue, read as the program reads them."""
        return read_admission_queue(
            self.admission_queue_object(variant), self.settings(variant), tuple(self.plans)
        )

    def admission_queue_object(self, variant: Variant) -> dict[str, Any]:
        """Return the configuration file of the admission queue for a variant."""
        return {
            **self.admission_queue,
            "door": {**self.admission_queue.get("door", {}), "on": variant.has_admission_queue},
        }

    def arrivals(self, variant: Variant) -> list[Arrival]:
        """Return all requests of a variant except retries."""
        if self.recorded_day:
            path = self.folder / self.recorded_day
            try:
                return read_recorded_day(
                    path, list(self.plans), KINDS, variant.limiters, self.recorded_day_speed
                )
            except (OSError, RecordedDayError) as error:
                raise ExperimentError(f"{path.name}: evening.file: {error}") from None
        groups = [group for group in self.tenants if group.name not in variant.without]
        return draw(groups, 1000.0 * self.seconds, variant.limiters, variant.seed)


def read_experiment(path: Path) -> Experiment:
    """Read and validate an experiment's file.  Raises `ExperimentError` naming file, key and reason."""
    try:
        experiment = _read(read_toml(path), path)
        for variant in experiment.variants:  # what the program itself would reject is rejected now
            experiment.settings(variant)
            experiment.admission_queue_settings(variant)
        # Bounds the memory before any traffic is drawn.
        if sum(group.per_s * group.count for group in experiment.tenants) * experiment.seconds > MAX_ARRIVALS:
            raise ConfigError(f"tenants: more than {MAX_ARRIVALS} requests in one variant")
        experiment.arrivals(experiment.variants[0])
    except ConfigError as error:
        raise ExperimentError(f"{path}: {error}") from None
    return experiment


def _read(options: Any, path: Path) -> Experiment:
    top = Node(options, "")
    _only(top, "name seconds settle_s max_retry_after_ms most_units counter_ms fleet plans tenants clients "
               "door variants evening")  # fmt: skip
    plans = {name: _plan(top.node("plans").node(name)) for name in top.node("plans").value}
    if not plans:
        raise ConfigError("plans: must have at least one plan")
    recorded_day = top.node("evening", {})
    _only(recorded_day, "file speed")
    groups = tuple(_tenant_group(node, tuple(plans)) for node in _list(top, "tenants", 0))
    names = [group.name for group in groups]
    if len(set(names)) < len(names):
        raise ConfigError("tenants: two have the same name")
    if not groups and not recorded_day.value:
        raise ConfigError("tenants: must have at least one group, unless evening.file is given")
    variants = tuple(_variant(node, names) for node in _list(top, "variants", 1))
    if len({variant.name for variant in variants}) < len(variants):
        raise ConfigError("variants: two have the same name")
    return Experiment(
        name=top.text("name", path.stem),
        seconds=_within(top, "seconds", 0.1, MAX_SECONDS, 20.0),
        settle_s=_within(top, "settle_s", 0.0, 600.0, 5.0),
        max_retry_after_ms=_within(top, "max_retry_after_ms", 1.0, 1e7, 10_000.0),
        most_units=_within(top, "most_units", 1.0, 1000.0, 6.0),
        counter_ms=_within(top, "counter_ms", 0.0, 1000.0, 1.0),
        fleet=_fleet(top.node("fleet", {})),
        plans=plans,
        tenants=groups,
        clients=_clients(top.node("clients", {})),
        admission_queue=top.node("door", {}).value,
        variants=variants,
        recorded_day=recorded_day.text("file") if recorded_day.value else "",
        recorded_day_speed=_within(recorded_day, "speed", 0.01, 100.0, 1.0),
        folder=path.parent,
    )


def _fleet(node: Node) -> Fleet:
    default = Fleet()
    _only(node, "servers cores speeds room work_ms link_ms cold cold_from cold_ms")
    speeds = _numbers(node, "speeds", default.speeds)
    work_ms = _numbers(node, "work_ms", default.work_ms)
    if len(speeds) != 2 or speeds[0] > speeds[1]:
        raise ConfigError(f"{node.at('speeds')}: must be the least and the most, as two numbers")
    if len(work_ms) != len(CLASSES):
        raise ConfigError(f"{node.at('work_ms')}: must be a time for each of {', '.join(KINDS)}")
    servers = int(_within(node, "servers", 1, MAX_SERVERS, default.servers, is_whole=True))
    return Fleet(
        servers=servers,
        cores=int(_within(node, "cores", 1, 256, default.cores, is_whole=True)),
        speeds=(speeds[0], speeds[1]),
        room=int(_within(node, "room", 0, 10_000, default.room, is_whole=True)),
        work_ms=work_ms,
        link_ms=_within(node, "link_ms", 0.0, 1000.0, default.link_ms),
        cold=int(_within(node, "cold", 0, servers, default.cold, is_whole=True)),
        cold_from=_within(node, "cold_from", 0.01, 1.0, default.cold_from),
        cold_ms=_within(node, "cold_ms", 1.0, 1e6, default.cold_ms),
    )


def _plan(node: Node) -> dict[str, Any]:
    _only(node, "rate burst at_once price")
    return {
        "rate": node.number("rate"),
        "burst": node.number("burst"),
        "at_once": node.integer("at_once", 0, 0),
        "price": node.number("price", 0.0, 1.0),
    }


def _tenant_group(node: Node, plans: tuple[str, ...]) -> TenantGroup:
    _only(node, "name plan per_s count units classes from_s until_s renames")
    plan = node.text("plan", plans[0])
    if plan not in plans:
        raise ConfigError(f"{node.at('plan')}: must be one of {', '.join(plans)}, not {plan!r}")
    kinds = node.get("classes", [KINDS[0]])
    if not isinstance(kinds, list) or not kinds or not set(kinds) <= set(KINDS):
        raise ConfigError(f"{node.at('classes')}: must be some of {', '.join(KINDS)}, not {kinds!r}")
    from_s, until_s = node.number("from_s", 0.0, 0.0), node.number("until_s", 0.0, 1e9)
    if from_s >= until_s:
        raise ConfigError(f"{node.at('until_s')}: must be after from_s")
    return TenantGroup(
        name=node.text("name"),
        per_s=_within(node, "per_s", 0.0, 100_000.0),
        plan=plans.index(plan),
        count=int(_within(node, "count", 1, 1_000_000, 1, is_whole=True)),
        units=_numbers(node, "units", (1.0, 2.0, 3.0)),
        kinds=tuple(KINDS.index(kind) for kind in kinds),
        from_ms=1000.0 * from_s,
        until_ms=1000.0 * until_s if until_s < 1e9 else inf,
        renames=node.flag("renames", False),
    )


def _clients(node: Node) -> Clients:
    default = Clients()
    _only(node, "obey tries stray jitter_ms")
    return Clients(
        obey=node.flag("obey", default.obey),
        tries=int(_within(node, "tries", 1, 100, default.tries, is_whole=True)),
        stray=_within(node, "stray", 0.0, 1.0, default.stray),
        jitter_ms=_within(node, "jitter_ms", 0.0, 60_000.0, default.jitter_ms),
    )


def _variant(node: Node, group_names: Iterable[str]) -> Variant:
    _only(node, "name door without limiters seed")
    without = node.get("without", [])
    if not isinstance(without, list) or not set(without) <= set(group_names):
        raise ConfigError(f"{node.at('without')}: must be names of tenants, not {without!r}")
    return Variant(
        name=node.text("name"),
        has_admission_queue=node.flag("door", True),
        without=tuple(without),
        limiters=int(_within(node, "limiters", 1, MAX_LIMITERS, 1, is_whole=True)),
        seed=int(_within(node, "seed", 0, 2**31, 1, is_whole=True)),
    )


def _only(node: Node, keys: str) -> None:
    known = keys.split()
    if unknown := sorted(set(node.value) - set(known)):
        raise ConfigError(f"{node.at(unknown[0])}: not known; known keys are {', '.join(known)}")


def _list(node: Node, key: str, min_length: int) -> list[Node]:
    nodes = node.nodes(key, min_length) if min_length or key in node.value else []
    if len(nodes) > MAX_LIST_LENGTH:
        raise ConfigError(f"{node.at(key)}: must be a list of at most {MAX_LIST_LENGTH}, not {len(nodes)}")
    return nodes


def _numbers(node: Node, key: str, default: tuple[float, ...]) -> tuple[float, ...]:
    value = node.get(key, list(default))
    if not isinstance(value, list) or not value:
        raise ConfigError(f"{node.at(key)}: must be a list of numbers")
    return tuple(Node({key: item}, node.path).number(key, is_exclusive=True) for item in value)


def _within(
    node: Node, key: str, minimum: float, maximum: float, default: float | None = None, is_whole: bool = False
) -> float:
    if is_whole:
        value: float = node.integer(key, 0, None if default is None else int(default))
    else:
        value = node.number(key, 0.0, default)
    if not minimum <= value <= maximum:
        raise ConfigError(f"{node.at(key)}: must be {minimum:g} to {maximum:g}, not {value:g}")
    return value


def with_seed(experiment: Experiment, seed: int) -> Experiment:
    """Return the experiment with `seed` added to the seed of each variant."""
    return replace(experiment, variants=tuple(replace(v, seed=v.seed + seed) for v in experiment.variants))
