"""Reads and checks all configuration, and sets its defaults.

`scalelb.wirehost` uses `read_settings` too, as it receives the same settings object.
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
from scalelb.program.config_reader import (
    ConfigFileMissingError,
    Node,
    format_value,
    is_name,
    read_json,
    read_toml,
)

STATE_BY_LIFECYCLE = {
    "ready": EndpointState.SERVING,
    "draining": EndpointState.DRAINING,
    "gone": EndpointState.REMOVED,
}
BASELINE_MEMORY_MB = 40.0  # Memory of a process with all its sessions open and nothing to do.
MIN_BUFFER_MEMORY_MB = 4.0  # For buffers, however little memory the process may have.
SESSION_MEMORY_MB = 0.02  # Of a session and the input that waits for its turn.
REPLY_MEMORY_MB = 0.08  # Of a reply as long as one that is not streamed can be.
# Parts of the memory for buffers. Requests and answers may be held twice, while they are being written.
SESSIONS_MEMORY_RATIO = 1 / 4
REPLIES_MEMORY_RATIO = 1 / 4
INPUT_MEMORY_RATIO = 1 / 8
REQUESTS_MEMORY_RATIO = 1 / 10
ANSWERS_MEMORY_RATIO = 1 / 5
DEPLOY_DIRECTORY = Path(__file__).parent.parent.parent / "deploy"
FRONTS_FILE, FAIRNESS_FILE, PEERS_FILE = (
    DEPLOY_DIRECTORY / "fronts.toml",
    DEPLOY_DIRECTORY / "fairness.toml",
    DEPLOY_DIRECTORY / "peers.toml",
)
MAX_MEMBERS = 512
MAX_SOCKETS = 2**31 - 1
MAX_MEMORY_MB = 1e9
VALUE_SEPARATOR = ","  # Separates the values in a request; class and plan names are among them.

# The keys of `deploy/fairness.toml` by the names of the admission queue's settings.
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
    """Check and translate a limiter's settings; unknown keys are skipped."""
    root = Node(options, path)
    limits, rules, extra = root.node("limits"), root.node("rules"), root.node("extra")
    mix = root.node("objective-mix", {})
    return Settings(
        limiter_index=root.integer("index"),
        limiter_count=root.integer("balancers", 1),
        zone=root.integer("zone"),
        request_classes=tuple(
            RequestClass(
                latency_objective_ms=class_node.number("aim-ms", is_exclusive=True),
                deadline_ms=class_node.number("hard-limit-ms", is_exclusive=True),
                idempotency=class_node.choice("effect", Idempotency),
                deduplication_scope=class_node.choice("group", DeduplicationScope),
                idempotency_window_ms=class_node.number("window-ms"),
                priority_weight=class_node.number("worth"),
                late_value_ratio=class_node.number("late-value"),
            )
            for class_node in root.nodes("classes", 1)
        ),
        plans=tuple(
            Plan(
                rate_per_s=plan_node.number("units-per-s"),
                burst=plan_node.number("most-at-once"),
                max_concurrent_attempts=plan_node.integer("at-once"),
                ceiling_rate_per_s=plan_node.number("cap-rate"),
                ceiling_burst=plan_node.number("hard-burst"),
                ceiling_slack=plan_node.number("hard-slack"),
                price=plan_node.number("pays"),
                over_quota_value_ratio=plan_node.number("over-worth"),
                over_quota_cost_ratio=plan_node.number("over-cost"),
            )
            for plan_node in root.nodes("tariffs", 1)
        ),
        max_attempts=limits.integer("try-limit", 1),
        slow_start_initial_ratio=rules.number("cold-from", is_exclusive=True),
        slow_start_ms=rules.number("cold-ms", is_exclusive=True),
        overload_multiple=rules.number("fall-multiple", is_exclusive=True),
        overload_window_ms=rules.number("fall-ms", is_exclusive=True),
        max_units=extra.number("most-units"),
        settles_true_units=extra.flag("cost-after", default=False),
        has_counter=extra.flag("shared-counter"),
        counter_late_after_ms=extra.number("count-limit-ms"),
        cancels_attempts=limits.flag("cancel"),
        has_health_checks=limits.flag("probing"),
        sends_retry_after=limits.flag("retry-after"),
        max_retry_after_ms=limits.number("max-retry-after-ms"),
        subscribes_to_endpoints=root.text("discovery") == "on_request",
        handshake_cost=root.node("penalties", {}).number("handshake", default=0.0),
        idle_timeout_ms=limits.number("conn-idle-ms", default=0.0),
        discovery_silence_ms=rules.number("must-ask-in-ms", default=10_000.0, is_exclusive=True),
        objective=Objective(
            overall_weight=mix.number("whole", default=1.0),
            worst_class_weight=mix.number("worst-class", default=0.0),
        ),
    )


@dataclass(frozen=True, slots=True)
class Fronts:
    """The addresses of the optional front ends; one with an empty address is off."""

    external_authorization: str = ""
    grpc_health: str = ""
    agent_check: str = ""
    http_health: str = ""


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """The settings of the connections to other limiters."""

    listen: str
    members: dict[str, str]  # host:port by name, including this limiter's own
    has_fleet_overrides: bool = False  # whether manual overrides apply to all limiters
    tick_ms: float = 100.0
    heartbeat_ms: float = 500.0
    suspect_after_ms: float = 1500.0
    settle_alone_after_ms: float = 2000.0


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one limiter process."""

    name: str
    listen: str
    director: str  # address of discovery
    counter: str  # address of the counter; empty: there is none
    seed: int
    sockets: int  # file descriptors that the process may use
    settings: Settings
    kinds: tuple[str, ...]  # names of the request classes
    plans: tuple[str, ...]  # names of the plans
    zones: tuple[str, ...]
    generation: int | None  # generation of `known`; None without it
    known: tuple[dict[str, Any], ...]  # endpoint list to start with
    connect_timeout_ms: float
    conn_idle_ms: float  # idle time after which a backend closes a connection
    requests_most: int  # open requests at most
    fronts: Fronts = field(default_factory=Fronts)
    memory_mb: float = 192.0
    fairness: AdmissionQueueSettings | None = None  # None: no admission queue
    admin: str = ""  # address of the operator API; empty: off
    inherited: int | None = None  # descriptor of the clients' socket, if the platform holds it
    peers: PeerSettings | None = None  # None: no connections to other limiters
    shared: str = ""  # folder that the incarnations of this limiter share; empty: none

    @property
    def available_descriptors(self) -> int:
        """Descriptors that are left for clients and backends.

        The process itself, discovery, the counter and the open listeners use the others."""
        listeners = [
            address for address in (self.fronts.agent_check, self.fronts.http_health, self.admin) if address
        ]
        has_grpc = self.fronts.external_authorization or self.fronts.grpc_health
        peer_descriptors = 4 * len(self.peers.members).bit_length() + 8 if self.peers is not None else 0
        return max(16, self.sockets - 60 - 17 * len(listeners) - (64 if has_grpc else 0) - peer_descriptors)

    @property
    def session_descriptors(self) -> int:
        """The part of the available descriptors that is for clients."""
        return self.available_descriptors * 72 // 100

    @property
    def max_sessions(self) -> int:
        """Client sessions at most.

        A third of all descriptors, at most, is for sessions with requests; the others are rejected."""
        by_memory = int(SESSIONS_MEMORY_RATIO * self.buffer_memory_mb / SESSION_MEMORY_MB)
        return min(self.session_descriptors, by_memory)

    @property
    def max_backend_connections(self) -> int:
        """Connections to backends at most; each may hold a reply that is not complete yet."""
        by_memory = int(REPLIES_MEMORY_RATIO * self.buffer_memory_mb / REPLY_MEMORY_MB)
        return min(self.available_descriptors - self.session_descriptors, by_memory)

    @property
    def buffer_memory_mb(self) -> float:
        """Memory for what clients and backends send, and for tables that grow with the load.

        Two incarnations may run at once, and share the memory, where the platform holds the socket."""
        process_count = 1 if self.inherited is None else 2
        return max(MIN_BUFFER_MEMORY_MB, self.memory_mb / process_count - BASELINE_MEMORY_MB)

    def buffer_bytes(self, ratio: float) -> int:
        """Return a part of the memory for buffers, in bytes."""
        return int(ratio * self.buffer_memory_mb * 1024 * 1024)

    @property
    def max_input_bytes(self) -> int:
        """Bytes of commands that are not complete or not handled yet, at most."""
        return self.buffer_bytes(INPUT_MEMORY_RATIO)

    @property
    def max_open_request_bytes(self) -> int:
        """Bytes of open requests at most; each may also be held as the command that is being forwarded."""
        return self.buffer_bytes(REQUESTS_MEMORY_RATIO)

    @property
    def max_read_ahead_bytes(self) -> int:
        """Bytes of values, at most, that wait for slow clients.

        A value takes up to twice its length while it is buffered."""
        return self.buffer_bytes(ANSWERS_MEMORY_RATIO)


def read_config(environment: Mapping[str, str] = os.environ, is_reload: bool = False) -> Config:
    """Read the environment and the files that it names.

    On a reload the file takes precedence: an environment variable, which was set at the start, only supplies
    keys that the file does not have. Otherwise a new address of discovery could never take effect.
    """
    path = environment.get("EDGE_CONFIG", "")
    if not path:
        raise ConfigError("EDGE_CONFIG: missing; it names the configuration file")
    root = Node(_load_json(Path(path), "EDGE_CONFIG"), "")
    variables = {"name": "EDGE_NAME", "listen": "EDGE_LISTEN", "discovery": "EDGE_DISCOVERY"}
    variables["admin"] = "EDGE_ADMIN"
    for key, variable in variables.items():
        if environment.get(variable) and not (is_reload and key in root.value):
            root.value[key] = environment[variable]
    settings = root.node("settings")
    limits = settings.node("limits")
    known = root.node("known", {"generation": 0, "reset": True, "instances": []})
    entries = tuple(node.value for node in known.nodes("instances"))
    parsed_settings = read_settings(settings.value, "settings")
    admin, inherited = root.address("admin", ""), read_inherited(environment)
    seed = root.text("seed", "0")
    try:
        seed_number = int(seed, 16)
    except ValueError:
        raise ConfigError(f"seed: must be a hex number, not {format_value(seed)}") from None
    name = root.name("name", "limiter")
    plans = _read_names(settings, "tariffs")
    process_limits = root.node("limits", {})
    return Config(
        name=name,
        listen=root.address("listen"),
        director=root.address("discovery"),
        counter=root.address("counter") if parsed_settings.has_counter else "",
        seed=seed_number,
        sockets=process_limits.integer("sockets", 64, 1024, maximum=MAX_SOCKETS),
        memory_mb=process_limits.number("memory_mb", 16.0, 192.0, maximum=MAX_MEMORY_MB),
        settings=parsed_settings,
        kinds=_read_names(settings, "classes"),
        plans=plans,
        zones=settings.texts("dcs", []),
        generation=known.integer("generation", 0, 0) if entries else None,
        known=entries,
        connect_timeout_ms=limits.number("connect-timeout-ms", 1.0, 250.0),
        conn_idle_ms=limits.number("conn-idle-ms", 1.0, 30_000.0),
        requests_most=limits.integer("max-open", 1, 4096),
        fronts=read_fronts(environment),
        fairness=read_fairness(environment, parsed_settings, plans),
        peers=read_peers(environment, name),
        admin=admin,
        inherited=inherited,
        shared=environment.get("TMPDIR", "") if admin or inherited is not None else "",
    )


def _read_names(settings: Node, key: str) -> tuple[str, ...]:
    """Read the names of classes or plans. Requests refer to them by name, so each name must be unique."""
    path_by_name: dict[str, str] = {}
    for node in settings.nodes(key):
        name = node.name("name", separators=VALUE_SEPARATOR)
        if name in path_by_name:
            raise ConfigError(
                f"{node.at('name')}: {format_value(name)} is the name of {path_by_name[name]} already"
            )
        path_by_name[name] = node.path
    return tuple(path_by_name)


def read_inherited(environment: Mapping[str, str]) -> int | None:
    """Return the descriptor of the clients' listening socket, if the platform hands one over."""
    descriptor = environment.get("EDGE_FD", "")
    if not descriptor:
        return None
    try:
        if not descriptor.isdigit():
            raise ValueError("must be a descriptor's number")
        with socket.socket(fileno=os.dup(int(descriptor))) as inherited:
            if (
                inherited.family not in (socket.AF_INET, socket.AF_INET6)
                or inherited.type != socket.SOCK_STREAM
            ):
                raise ValueError("must be a TCP socket")
            if not inherited.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
                raise ValueError("must be a listening socket")
    except (OSError, ValueError, OverflowError) as error:
        raise ConfigError(f"EDGE_FD: {error}, not {format_value(descriptor)}") from None
    return int(descriptor)


def compare(old: Config, new: Config) -> tuple[list[str], list[str]]:
    """Return the keys that differ: those that a running limiter adopts, and those that need a restart.

    `seed` and `known` only matter at a start, so they are left out.
    """
    names = {"director": "discovery", "kinds": "settings", "plans": "settings", "zones": "settings"}
    names |= {"connect_timeout_ms": "settings", "conn_idle_ms": "settings", "requests_most": "settings"}
    names |= {"fronts": "SCALELB_FRONTS", "fairness": "SCALELB_FAIRNESS", "peers": "SCALELB_PEERS"}
    names |= {"sockets": "limits.sockets", "memory_mb": "limits.memory_mb"}
    skipped = {"seed", "known", "generation", "inherited", "shared"}
    changed = [item.name for item in fields(Config) if getattr(old, item.name) != getattr(new, item.name)]
    followed = {"director"} | ({"counter"} if old.counter and new.counter else set())
    followed_keys = [names.get(name, name) for name in changed if name in followed]
    return followed_keys, sorted(
        {names.get(name, name) for name in changed if name not in followed | skipped}
    )


def _load_json(path: Path, variable: str) -> Any:
    try:
        return read_json(path)
    except ConfigError as error:
        raise ConfigError(f"{variable}: {path}: {error}") from None


def _load_toml(environment: Mapping[str, str], variable: str, default: Path) -> Any:
    """Read the file that a variable names, or the default file; an empty object if that does not exist."""
    path = Path(environment.get(variable, "") or default)
    try:
        return read_toml(path)
    except ConfigError as error:
        if isinstance(error, ConfigFileMissingError) and variable not in environment:
            return {}
        raise ConfigError(f"{variable}: {path}: {error}") from None


def read_admission_queue(
    options: Any, settings: Settings, plans: tuple[str, ...]
) -> AdmissionQueueSettings | None:
    """Check the admission queue's settings (keys as in `deploy/fairness.toml`); None if it is off.

    This is a public function: `options` is an object as the file holds it.
    """
    root = Node(options, "")
    known_keys = {"door": {"on", "flows", "held", "waiting"}, "weights": set(plans) | {"strangers"}}
    known_keys |= {"promises": {"reserve", "grace_ms", "early_ms", "most"}}
    known_keys |= {"limit": {"start_requests", "least_requests", "most_requests", "tolerance"}}
    for key in sorted(root.value):
        if key not in known_keys:
            raise ConfigError(f"{key}: not known; there are {', '.join(known_keys)}")
        if unknown := sorted(set(root.node(key).value) - known_keys[key]):
            raise ConfigError(
                f"{key}.{unknown[0]}: not known; there are {', '.join(sorted(known_keys[key]))}"
            )
    queue, weights = root.node("door", {}), root.node("weights", {})
    reservations, limit = root.node("promises", {}), root.node("limit", {})
    rates = tuple(plan.rate_per_s for plan in settings.plans)
    defaults = AdmissionQueueSettings(plan_rates=rates)
    queue_settings = _admission_queue_settings(
        flows=queue.choice("flows", FlowKey) if "flows" in queue.value else defaults.flows,
        weights=tuple(
            weights.number(name, 0.0, defaults.plan_weight(plan_index), is_exclusive=True)
            for plan_index, name in enumerate(plans)
        ),
        unknown_tenants_weight=weights.number(
            "strangers", 0.0, defaults.unknown_tenants_weight, is_exclusive=True
        ),
        max_queued=queue.integer("held", 1, defaults.max_queued),
        max_unsent_per_flow=queue.integer("waiting", 1, defaults.max_unsent_per_flow),
        grace_ms=reservations.number("grace_ms", 0.0, defaults.grace_ms),
        early_ms=reservations.number("early_ms", 0.0, defaults.early_ms),
        max_reservations=reservations.integer("most", 1, defaults.max_reservations),
        reserve=reservations.flag("reserve", defaults.reserve),
        least_requests=limit.number("least_requests", 1.0, defaults.least_requests),
        start_requests=limit.number("start_requests", 1.0, defaults.start_requests),
        most_requests=limit.number("most_requests", 1.0, defaults.most_requests),
        tolerance=limit.number("tolerance", 0.5, defaults.tolerance),
        plan_rates=rates,
    )
    return queue_settings if queue.flag("on", False) else None


def _admission_queue_settings(**values: Any) -> AdmissionQueueSettings:
    try:
        return AdmissionQueueSettings(**values)
    except SettingRangeError as error:
        raise ConfigError(f"{QUEUE_KEYS[error.setting]}: {error.reason}") from None


def read_fairness(
    environment: Mapping[str, str], settings: Settings, plans: tuple[str, ...]
) -> AdmissionQueueSettings | None:
    """Read the admission queue's file; without it there is no admission queue."""
    return read_admission_queue(_load_toml(environment, "SCALELB_FAIRNESS", FAIRNESS_FILE), settings, plans)


def read_peer_settings(options: Any, name: str) -> PeerSettings | None:
    """Check the peer settings (keys as in `deploy/peers.toml`); None if peer connections are off."""
    root = Node(options, "")
    known_keys = ("on", "listen", "bans", "tick_ms", "beat_ms", "suspect_ms", "alone_ms", "members")
    if unknown := sorted(root.value.keys() - set(known_keys)):
        raise ConfigError(f"{unknown[0]}: not known; there are {', '.join(known_keys)}")
    if not root.flag("on", False):
        return None
    members = root.node("members")
    if not 2 <= len(members.value) <= MAX_MEMBERS:
        raise ConfigError(f"members: must be 2 to {MAX_MEMBERS}, not {len(members.value)}")
    for member in members.value:
        if not is_name(member):
            raise ConfigError(
                f"members: a name must be printable and without spaces, not {format_value(member)}"
            )
    if name not in members.value:
        raise ConfigError(f"members: must hold this limiter's own name, {name!r}")
    if root.text("bans", "own") not in ("own", "fleet"):
        raise ConfigError(f"bans: must be one of own, fleet, not {format_value(root.text('bans'))}")
    tick_ms, heartbeat_ms = root.number("tick_ms", 10.0, 100.0), root.number("beat_ms", 10.0, 500.0)
    suspect_ms = root.number("suspect_ms", 10.0, 1500.0)
    if not tick_ms <= heartbeat_ms or not 2 * heartbeat_ms <= suspect_ms:
        raise ConfigError("suspect_ms: must be at least twice beat_ms, and beat_ms at least tick_ms")
    return PeerSettings(
        listen=root.address("listen"),
        members={member: members.address(member) for member in sorted(members.value)},
        has_fleet_overrides=root.text("bans", "own") == "fleet",
        tick_ms=tick_ms,
        heartbeat_ms=heartbeat_ms,
        suspect_after_ms=suspect_ms,
        settle_alone_after_ms=root.number("alone_ms", 0.0, 2000.0),
    )


def read_peers(environment: Mapping[str, str], name: str) -> PeerSettings | None:
    """Read the peers' file; without it there are no connections to peers."""
    return read_peer_settings(_load_toml(environment, "SCALELB_PEERS", PEERS_FILE), name)


def read_fronts(environment: Mapping[str, str] = os.environ) -> Fronts:
    """Read the fronts' file; without it, all optional front ends are off."""
    root = Node(_load_toml(environment, "SCALELB_FRONTS", FRONTS_FILE), "")
    found = {}
    for key in Fronts.__slots__:
        found[key] = root.node(key, {"listen": ""}).address("listen", "")
    if unknown := sorted(root.value.keys() - found.keys()):
        raise ConfigError(f"{unknown[0]}: unknown front end")
    return Fronts(**found)


def parse_endpoint(entry: dict[str, Any], zones: tuple[str, ...], path: str) -> tuple[Endpoint, str]:
    """Parse one entry of the endpoint list; return the endpoint and its address."""
    node = Node(entry, path)
    state = STATE_BY_LIFECYCLE.get(node.text("lifecycle"))
    if state is None:
        raise ConfigError(f"{node.at('lifecycle')}: must be one of {', '.join(STATE_BY_LIFECYCLE)}")
    zone = node.text("zone", "-")
    endpoint = Endpoint(
        name=node.text("instanceId"),
        state=state,
        zone=zones.index(zone) if zone in zones else -1,
        cell=node.integer("cell", 0, 0),
        relative_capacity=node.number("weight", 0.0, 1.0) or 1.0,
        started_at=node.number("startedAtMs", -inf, 0.0),
    )
    address = "" if state is EndpointState.REMOVED and "hostPort" not in entry else node.address("hostPort")
    return endpoint, address
