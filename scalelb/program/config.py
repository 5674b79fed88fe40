"""The one place where configuration is read, checked and given defaults.

`read_settings` also serves the simulator's adapter, as both are given the same object.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Mapping
from dataclasses import dataclass, field, fields
from math import inf
from pathlib import Path
from typing import Any

from scalelb.admission_queue import AdmissionQueueSettings, FlowKey, SettingRangeError
from scalelb.policy.endpoints import Endpoint, EndpointState
from scalelb.policy.settings import DeduplicationScope, Idempotency, Objective, Plan, RequestClass, Settings
from scalelb.program.config_reader import ConfigError as ConfigError
from scalelb.program.config_reader import ConfigFileMissingError, Node, is_name, read_json, read_toml, shown

STATES = {"ready": EndpointState.SERVING, "draining": EndpointState.DRAINING, "gone": EndpointState.REMOVED}
PROGRAM_MB = 30.0  # that the program takes with nothing to do, and some
DEPLOY = Path(__file__).parent.parent.parent / "deploy"
FRONTS, FAIRNESS, PEERS = DEPLOY / "fronts.toml", DEPLOY / "fairness.toml", DEPLOY / "peers.toml"
MEMBERS_MOST = 512
MAX_SOCKETS = 2**31 - 1
MAX_MEMORY_MB = 1e9
VALUE_SEPARATOR = ","  # of the list of values in a request, which names class and plan

# The admission queue's settings by the keys of `deploy/fairness.toml`.
QUEUE_KEYS = {
    "weights": "weights",
    "unknown_tenants_weight": "weights.strangers",
    "max_queued": "door.held",
    "max_unsent_per_flow": "door.waiting",
    "grace_ms": "promises.grace_ms",
    "early_ms": "promises.early_ms",
    "max_reservations": "promises.most",
    "start_requests": "limit.start_requests",
    "least_requests": "limit.least_requests",
    "most_requests": "limit.most_requests",
    "tolerance": "limit.tolerance",
}


def read_settings(options: Any, path: str = "options") -> Settings:
    """Check and translate a limiter's settings; keys that are not known are skipped."""
    top = Node(options, path)
    limits, rules, extra = top.node("limits"), top.node("rules"), top.node("extra")
    mix = top.node("objective-mix", {})
    return Settings(
        limiter_index=top.whole("index"),
        limiter_count=top.whole("balancers", 1),
        zone=top.whole("zone"),
        request_classes=tuple(
            RequestClass(
                latency_objective_ms=c.number("aim-ms", above=True),
                deadline_ms=c.number("hard-limit-ms", above=True),
                idempotency=c.choice("effect", Idempotency),
                deduplication_scope=c.choice("group", DeduplicationScope),
                idempotency_window_ms=c.number("window-ms"),
                priority_weight=c.number("worth"),
                late_value_ratio=c.number("late-value"),
            )
            for c in top.nodes("classes", 1)
        ),
        plans=tuple(
            Plan(
                rate_per_s=t.number("units-per-s"),
                burst=t.number("most-at-once"),
                max_concurrent_attempts=t.whole("at-once"),
                ceiling_rate_per_s=t.number("cap-rate"),
                ceiling_burst=t.number("hard-burst"),
                ceiling_slack=t.number("hard-slack"),
                price=t.number("pays"),
                over_quota_value_ratio=t.number("over-worth"),
                over_quota_cost_ratio=t.number("over-cost"),
            )
            for t in top.nodes("tariffs", 1)
        ),
        max_attempts=limits.whole("try-limit", 1),
        slow_start_initial_ratio=rules.number("cold-from", above=True),
        slow_start_ms=rules.number("cold-ms", above=True),
        overload_multiple=rules.number("fall-multiple", above=True),
        overload_window_ms=rules.number("fall-ms", above=True),
        max_units=extra.number("most-units"),
        settles_true_units=extra.flag("cost-after", default=False),
        has_counter=extra.flag("shared-counter"),
        counter_late_after_ms=extra.number("count-limit-ms"),
        cancels_attempts=limits.flag("cancel"),
        has_health_checks=limits.flag("probing"),
        sends_retry_after=limits.flag("retry-after"),
        max_retry_after_ms=limits.number("max-retry-after-ms"),
        subscribes_to_endpoints=top.text("discovery") == "on_request",
        handshake_cost=top.node("penalties", {}).number("handshake", default=0.0),
        idle_timeout_ms=limits.number("conn-idle-ms", default=0.0),
        discovery_silence_ms=rules.number("must-ask-in-ms", default=10_000.0, above=True),
        objective=Objective(
            overall_weight=mix.number("whole", default=1.0),
            worst_class_weight=mix.number("worst-class", default=0.0),
        ),
    )


@dataclass(frozen=True, slots=True)
class Fronts:
    """The doors beside the platform's; each is off while its address is empty."""

    external_authorization: str = ""
    grpc_health: str = ""
    agent_check: str = ""
    http_health: str = ""


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """The links to other limiters; times in ms."""

    listen: str
    members: dict[str, str]  # name: host:port, this limiter's own too
    fleet_bans: bool = False  # staff's words on backends hold at all limiters
    tick_ms: float = 100.0
    beat_ms: float = 500.0
    suspect_ms: float = 1500.0
    alone_ms: float = 2000.0


@dataclass(frozen=True, slots=True)
class Config:
    """All that the program is told."""

    name: str
    listen: str
    director: str
    counter: str
    seed: int
    sockets: int
    settings: Settings
    kinds: tuple[str, ...]
    plans: tuple[str, ...]
    zones: tuple[str, ...]
    generation: int | None
    known: tuple[dict[str, Any], ...]
    connect_timeout_ms: float
    conn_idle_ms: float
    requests_most: int
    fronts: Fronts = field(default_factory=Fronts)
    memory_mb: float = 192.0
    fairness: AdmissionQueueSettings | None = None  # none: no admission queue
    admin: str = ""  # where staff calls; empty: nowhere
    inherited: int | None = None  # the descriptor of the clients' socket, where the platform holds it
    peers: PeerSettings | None = None  # none: no links to other limiters
    shared: str = ""  # a folder that the lives of this limiter share; empty: none

    @property
    def descriptors(self) -> int:
        """What is left for clients and backends: the program itself, the director, the counter and the doors
        that are open hold some beside them."""
        beside = [f for f in (self.fronts.agent_check, self.fronts.http_health, self.admin) if f]
        rpc = self.fronts.external_authorization or self.fronts.grpc_health
        links = 4 * len(self.peers.members).bit_length() + 8 if self.peers is not None else 0
        return max(16, self.sockets - 60 - 17 * len(beside) - (64 if rpc else 0) - links)

    @property
    def sessions_most(self) -> int:
        """Clients' share: at most a third of all descriptors hold requests, others come and are told."""
        return self.descriptors * 72 // 100

    @property
    def connections_most(self) -> int:
        """The backends' share."""
        return self.descriptors - self.sessions_most

    @property
    def held_most(self) -> int:
        """Bytes of open requests."""
        return int(self.memory_mb * 1024 * 1024 / 8)

    @property
    def ahead_most(self) -> int:
        """Bytes of values that are read before their clients take them: a quarter of what the program (and,
        where the platform holds the socket, a second one beside it) leaves, as each takes up to twice its
        length while it waits."""
        programs = 1 if self.inherited is None else 2
        return int(max(1.0, (self.memory_mb - PROGRAM_MB * programs) / 4) * 1024 * 1024)


def read_config(environment: Mapping[str, str] = os.environ, again: bool = False) -> Config:
    """Read all of it: the environment, the file that it names, and the fronts' file.

    When it is read `again`, the file is the newer word: a variable that was set at the start stands only for
    what the file does not say.  Else a director that has moved could never be found.
    """
    path = environment.get("EDGE_CONFIG", "")
    if not path:
        raise ConfigError("EDGE_CONFIG: missing; it names the configuration file")
    top = Node(_load_json(Path(path), "EDGE_CONFIG"), "")
    told = {"name": "EDGE_NAME", "listen": "EDGE_LISTEN", "discovery": "EDGE_DISCOVERY"}
    told["admin"] = "EDGE_ADMIN"
    for key, variable in told.items():
        if environment.get(variable) and not (again and key in top.value):
            top.value[key] = environment[variable]
    settings = top.node("settings")
    limits = settings.node("limits")
    known = top.node("known", {"generation": 0, "reset": True, "instances": []})
    entries = tuple(node.value for node in known.nodes("instances"))
    parsed = read_settings(settings.value, "settings")
    admin, inherited = top.address("admin", ""), read_inherited(environment)
    seed = top.text("seed", "0")
    try:
        number = int(seed, 16)
    except ValueError:
        raise ConfigError(f"seed: must be a hex number, not {shown(seed)}") from None
    name = top.name("name", "limiter")
    plans = _read_names(settings, "tariffs")
    limits_of_program = top.node("limits", {})
    return Config(
        name=name,
        listen=top.address("listen"),
        director=top.address("discovery"),
        counter=top.address("counter") if parsed.has_counter else "",
        seed=number,
        sockets=limits_of_program.whole("sockets", 64, 1024, most=MAX_SOCKETS),
        memory_mb=limits_of_program.number("memory_mb", 16.0, 192.0, most=MAX_MEMORY_MB),
        settings=parsed,
        kinds=_read_names(settings, "classes"),
        plans=plans,
        zones=settings.texts("dcs", []),
        generation=known.whole("generation", 0, 0) if entries else None,
        known=entries,
        connect_timeout_ms=limits.number("connect-timeout-ms", 1.0, 250.0),
        conn_idle_ms=limits.number("conn-idle-ms", 1.0, 30_000.0),
        requests_most=limits.whole("max-open", 1, 4096),
        fronts=read_fronts(environment),
        fairness=read_fairness(environment, parsed, plans),
        peers=read_peers(environment, name),
        admin=admin,
        inherited=inherited,
        shared=environment.get("TMPDIR", "") if admin or inherited is not None else "",
    )


def _read_names(settings: Node, key: str) -> tuple[str, ...]:
    """The names of classes or plans.  Requests go by them, so each can stand only once."""
    place_of: dict[str, str] = {}
    for node in settings.nodes(key):
        name = node.name("name", separators=VALUE_SEPARATOR)
        if name in place_of:
            raise ConfigError(f"{node.at('name')}: {shown(name)} is the name of {place_of[name]} already")
        place_of[name] = node.path
    return tuple(place_of)


def read_inherited(environment: Mapping[str, str]) -> int | None:
    """The descriptor of the clients' listening socket, where the platform hands it over."""
    told = environment.get("EDGE_FD", "")
    if not told:
        return None
    try:
        if not told.isdigit():
            raise ValueError("must be a descriptor's number")
        with socket.socket(fileno=os.dup(int(told))) as heir:
            if heir.family not in (socket.AF_INET, socket.AF_INET6) or heir.type != socket.SOCK_STREAM:
                raise ValueError("must be a TCP socket")
            if not heir.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                raise ValueError("must be a socket that listens")
    except (OSError, ValueError, OverflowError) as error:
        raise ConfigError(f"EDGE_FD: {error}, not {shown(told)}") from None
    return int(told)


def compare(old: Config, new: Config) -> tuple[list[str], list[str]]:
    """The keys that differ: those that a running limiter follows, and those that a start alone can change.

    `seed` and `known` are for a start only and say nothing to one that runs.
    """
    names = {"director": "discovery", "kinds": "settings", "plans": "settings", "zones": "settings"}
    names |= {"connect_timeout_ms": "settings", "conn_idle_ms": "settings", "requests_most": "settings"}
    names |= {"fronts": "SCALELB_FRONTS", "fairness": "SCALELB_FAIRNESS", "peers": "SCALELB_PEERS"}
    names |= {"sockets": "limits.sockets", "memory_mb": "limits.memory_mb"}
    skipped = {"seed", "known", "generation", "inherited", "shared"}
    differ = [f.name for f in fields(Config) if getattr(old, f.name) != getattr(new, f.name)]
    follows = {"director"} | ({"counter"} if old.counter and new.counter else set())
    moved = [names.get(name, name) for name in differ if name in follows]
    return moved, sorted({names.get(name, name) for name in differ if name not in follows | skipped})


def _load_json(path: Path, variable: str) -> Any:
    try:
        return read_json(path)
    except ConfigError as error:
        raise ConfigError(f"{variable}: {path}: {error}") from None


def _load_toml(environment: Mapping[str, str], variable: str, usual: Path) -> Any:
    """The file that a variable names, or else the usual one; an empty object where that does not exist."""
    path = Path(environment.get(variable, "") or usual)
    try:
        return read_toml(path)
    except ConfigError as error:
        if isinstance(error, ConfigFileMissingError) and variable not in environment:
            return {}
        raise ConfigError(f"{variable}: {path}: {error}") from None


def read_admission_queue(
    options: Any, settings: Settings, plans: tuple[str, ...]
) -> AdmissionQueueSettings | None:
    """Check the admission queue's settings (keys as in `deploy/fairness.toml`); nothing where it is off.

    An API call as well: `options` is the same object that the file holds.
    """
    top = Node(options, "")
    known = {"door": {"on", "flows", "held", "waiting"}, "weights": set(plans) | {"strangers"}}
    known |= {"promises": {"reserve", "grace_ms", "early_ms", "most"}}
    known |= {"limit": {"start_requests", "least_requests", "most_requests", "tolerance"}}
    for key in sorted(top.value):
        if key not in known:
            raise ConfigError(f"{key}: not known; there are {', '.join(known)}")
        if unknown := sorted(set(top.node(key).value) - known[key]):
            raise ConfigError(f"{key}.{unknown[0]}: not known; there are {', '.join(sorted(known[key]))}")
    door, weights = top.node("door", {}), top.node("weights", {})
    promises, limit = top.node("promises", {}), top.node("limit", {})
    rates = tuple(plan.rate_per_s for plan in settings.plans)
    usual = AdmissionQueueSettings(plan_rates=rates)
    read = _admission_queue_settings(
        flows=door.choice("flows", FlowKey) if "flows" in door.value else usual.flows,
        weights=tuple(
            weights.number(name, 0.0, usual.plan_weight(plan_index), above=True)
            for plan_index, name in enumerate(plans)
        ),
        unknown_tenants_weight=weights.number("strangers", 0.0, usual.unknown_tenants_weight, above=True),
        max_queued=door.whole("held", 1, usual.max_queued),
        max_unsent_per_flow=door.whole("waiting", 1, usual.max_unsent_per_flow),
        grace_ms=promises.number("grace_ms", 0.0, usual.grace_ms),
        early_ms=promises.number("early_ms", 0.0, usual.early_ms),
        max_reservations=promises.whole("most", 1, usual.max_reservations),
        reserve=promises.flag("reserve", usual.reserve),
        least_requests=limit.number("least_requests", 1.0, usual.least_requests),
        start_requests=limit.number("start_requests", 1.0, usual.start_requests),
        most_requests=limit.number("most_requests", 1.0, usual.most_requests),
        tolerance=limit.number("tolerance", 0.5, usual.tolerance),
        plan_rates=rates,
    )
    return read if door.flag("on", False) else None


def _admission_queue_settings(**values: Any) -> AdmissionQueueSettings:
    try:
        return AdmissionQueueSettings(**values)
    except SettingRangeError as error:
        raise ConfigError(f"{QUEUE_KEYS[error.setting]}: {error.reason}") from None


def read_fairness(
    environment: Mapping[str, str], settings: Settings, plans: tuple[str, ...]
) -> AdmissionQueueSettings | None:
    """Read the admission queue's file; without one there is no admission queue."""
    return read_admission_queue(_load_toml(environment, "SCALELB_FAIRNESS", FAIRNESS), settings, plans)


def read_link(options: Any, name: str) -> PeerSettings | None:
    """Check what the links are told (`deploy/peers.toml` has the keys); nothing where they are off."""
    top = Node(options, "")
    known = ("on", "listen", "bans", "tick_ms", "beat_ms", "suspect_ms", "alone_ms", "members")
    if unknown := sorted(top.value.keys() - set(known)):
        raise ConfigError(f"{unknown[0]}: not known; there are {', '.join(known)}")
    if not top.flag("on", False):
        return None
    members = top.node("members")
    if not 2 <= len(members.value) <= MEMBERS_MOST:
        raise ConfigError(f"members: must be 2 to {MEMBERS_MOST}, not {len(members.value)}")
    for member in members.value:
        if not is_name(member):
            raise ConfigError(f"members: a name must be printable and without spaces, not {shown(member)}")
    if name not in members.value:
        raise ConfigError(f"members: must hold this limiter's own name, {name!r}")
    if top.text("bans", "own") not in ("own", "fleet"):
        raise ConfigError(f"bans: must be one of own, fleet, not {shown(top.text('bans'))}")
    tick, beat = top.number("tick_ms", 10.0, 100.0), top.number("beat_ms", 10.0, 500.0)
    suspect = top.number("suspect_ms", 10.0, 1500.0)
    if not tick <= beat or not 2 * beat <= suspect:
        raise ConfigError("suspect_ms: must be at least twice beat_ms, and beat_ms at least tick_ms")
    return PeerSettings(
        listen=top.address("listen"),
        members={member: members.address(member) for member in sorted(members.value)},
        fleet_bans=top.text("bans", "own") == "fleet",
        tick_ms=tick,
        beat_ms=beat,
        suspect_ms=suspect,
        alone_ms=top.number("alone_ms", 0.0, 2000.0),
    )


def read_peers(environment: Mapping[str, str], name: str) -> PeerSettings | None:
    """Read the links' file; without one there are none."""
    return read_link(_load_toml(environment, "SCALELB_PEERS", PEERS), name)


def read_fronts(environment: Mapping[str, str] = os.environ) -> Fronts:
    """Read the fronts' file; without one, only the platform's door is open."""
    top = Node(_load_toml(environment, "SCALELB_FRONTS", FRONTS), "")
    found = {}
    for key in Fronts.__slots__:
        found[key] = top.node(key, {"listen": ""}).address("listen", "")
    if unknown := sorted(top.value.keys() - found.keys()):
        raise ConfigError(f"{unknown[0]}: not a front")
    return Fronts(**found)


def read_entry(entry: dict[str, Any], zones: tuple[str, ...], path: str) -> tuple[Endpoint, str]:
    """One entry of the director's list: what the decisions are told, and the address."""
    node = Node(entry, path)
    state = STATES.get(node.text("lifecycle"))
    if state is None:
        raise ConfigError(f"{node.at('lifecycle')}: must be one of {', '.join(STATES)}")
    zone = node.text("zone", "-")
    info = Endpoint(
        name=node.text("instanceId"),
        state=state,
        zone=zones.index(zone) if zone in zones else -1,
        cell=node.whole("cell", 0, 0),
        relative_capacity=node.number("weight", 0.0, 1.0) or 1.0,
        started_at=node.number("startedAtMs", -inf, 0.0),
    )
    address = "" if state is EndpointState.REMOVED and "hostPort" not in entry else node.address("hostPort")
    return info, address
