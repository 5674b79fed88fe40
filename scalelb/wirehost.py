"""Simulator wire protocol: translates JSON lines to events, and actions to JSON lines.

Each instance has its own `Limiter` and shares no state with other instances. Malformed input ends the program
with an error message on standard error; an exception inside a limiter is reported with `BailOut`.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from typing import Any, TextIO

from scalelb.policy.actions import (
    Action,
    AddToCounter,
    AdmitRequest,
    CancelAttempt,
    CheckHealth,
    FailRequest,
    RejectRequest,
    SendAttempt,
    SetTimer,
    WatchEndpoints,
)
from scalelb.policy.endpoints import Endpoint, EndpointState
from scalelb.policy.events import (
    AttemptEnded,
    CounterReplied,
    EndpointListLost,
    EndpointsListed,
    Event,
    HealthCheckEnded,
    Outcome,
    PeerMessageReceived,
    RequestArrived,
    RequestCancelled,
    ResponseStarted,
    Started,
    TimerFired,
)
from scalelb.policy.exceptions import DecisionFaultError
from scalelb.policy.limiter import Limiter
from scalelb.program.config import ConfigError, read_settings

Fields = dict[str, Any]

OUTCOMES = {
    "done": Outcome.OK,
    "err": Outcome.ERROR,
    "busy": Outcome.REJECTED,
    "etimedout": Outcome.TIMEOUT,
    "econnrefused": Outcome.CONNECT_FAILED,
    "econnreset": Outcome.RESET,
    "ecanceled": Outcome.CANCELLED,
    "skipped": Outcome.NOT_SENT,
}
STATES = {
    "SERVING": EndpointState.SERVING,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.REMOVED,
}
# Whether a `Discovery` message of this mode refers to the complete endpoint list.
IS_COMPLETE_BY_MODE = {"incr": False, "total": True, "warm_copy": True}


class WireError(Exception):
    """Input that violates the wire protocol."""


class LimiterFaultError(Exception):
    """An exception inside a limiter."""


def decode_endpoint(item: Fields) -> Endpoint:
    """Return the endpoint of one item of a `Ledger` message."""
    return Endpoint(
        name=item["server"],
        state=STATES[item["state"]],
        zone=item.get("site", 0),
        cell=item.get("cluster", 0),
        relative_capacity=item.get("power-hint", 1.0),
        started_at=item.get("boot-time-ms", 0.0),
    )


def decode_event(name: str, fields: Fields, endpoint_lists: dict[int, tuple[Endpoint, ...]]) -> Event:
    """Return the event of one message to a running instance."""
    match name:
        case "Accept":
            return RequestArrived(
                request_id=fields["tid"],
                tenant=fields.get("customer", ""),
                plan_index=fields.get("tariff", 0),
                class_index=fields.get("tier-class", 0),
                expires_in_ms=fields["expires-in-ms"],
                units=fields.get("weight", 0),
                sharing_limiters=fields.get("doors", 1),
                first_limiter=fields.get("base", 0),
                is_retry=fields.get("retry", False),
            )
        case "Settled":
            return AttemptEnded(
                request_id=fields["tid"],
                attempt_number=fields.get("go", 0),
                endpoint=fields["server"],
                outcome=OUTCOMES[fields["reason"]],
                elapsed_ms=fields.get("cost-time-ms", 0.0),
                request_finished=fields.get("complete", False),
                true_units=fields.get("final-units", 0),
                load_report=fields.get("telemetry", {}),
                # `usage` is the percentage plus 1; 0 or absent: not reported.
                quota_used_percent=fields["usage"] - 1.0 if fields.get("usage") else None,
            )
        case "Fired":
            return TimerFired(tag=fields.get("tag", 0))
        case "Total":
            return CounterReplied(
                counter_key=fields.get("entry-name", 0),
                outcome=OUTCOMES[fields["reason"]],
                total=fields.get("result-value", 0.0),
                elapsed_ms=fields.get("cost-time-ms", 0.0),
            )
        case "CancelledByClient":
            return RequestCancelled(request_id=fields["tid"])
        case "AckFirst":
            return ResponseStarted(
                request_id=fields["tid"], attempt_number=fields.get("go", 0), endpoint=fields["server"]
            )
        case "Discovery":
            if fields["mode"] == "lost":
                return EndpointListLost()
            return EndpointsListed(
                endpoints=endpoint_lists[fields.get("roster-id", 0)],
                is_complete=IS_COMPLETE_BY_MODE[fields["mode"]],
            )
        case "Checked":
            return HealthCheckEnded(
                endpoint=fields["server"],
                outcome=OUTCOMES[fields["reason"]],
                elapsed_ms=fields.get("cost-time-ms", 0.0),
                load_report=fields.get("telemetry", {}),
            )
        case "Memo":
            return PeerMessageReceived(
                sender=fields.get("origin-peer", 0), content=fields.get("content", "").encode()
            )
    raise WireError(f"unknown event {name!r}")


def encode_action(instance: int, action: Action) -> Fields:
    """Return the message for one action."""
    match action:
        case SendAttempt():
            name, fields = "PassOn", {"tid": action.request_id, "server": action.endpoint}
            if action.timeout_ms:
                fields["patience-ms"] = action.timeout_ms
        case RejectRequest():
            name, fields = "TurnAway", {"tid": action.request_id}
            if action.retry_after_ms:
                fields["not-before-for-ms"] = action.retry_after_ms
        case AdmitRequest():
            raise LimiterFaultError("unexpected AdmitRequest: the wire has no admission requests")
        case FailRequest():
            name, fields = "Fail", {"tid": action.request_id}
        case CancelAttempt():
            name, fields = "AbortAttempt", {"tid": action.request_id, "go": action.attempt_number}
        case AddToCounter():
            name = "Enter"
            fields = {
                "by": action.amount,
                "entry-name": action.counter_key,
                "keep-for-ms": action.retention_ms,
            }
        case SetTimer():
            name, fields = "Defer", {"tag": action.tag, "sleep-for-ms": action.delay_ms}
        case CheckHealth():
            name, fields = "Test", {"server": action.endpoint}
        case WatchEndpoints():
            name, fields = "Subscribe", {"enable": True}
    return {name: {"i": instance, **fields}}


class InstanceHost:
    """Runs the limiter instances of one process behind the wire protocol."""

    def __init__(self) -> None:
        self.limiters: dict[int, Limiter] = {}
        self.endpoint_lists: dict[int, tuple[Endpoint, ...]] = {}  # by the `roster-id` of a `Ledger` message
        self.batch: int | None = None  # number of the current batch; None between batches
        self.now = 0.0  # ms
        self.replies: list[Fields] = []

    def handle_line(self, line: str) -> list[Fields]:
        """Handle one input line; return the reply's messages at the end of a batch, else an empty list."""
        try:
            message = json.loads(line)
        except ValueError as error:
            raise WireError(f"not JSON: {error}") from None
        if not isinstance(message, dict) or len(message) != 1:
            raise WireError("a message must be an object with one key, the message name")
        [(name, fields)] = message.items()
        if not isinstance(fields, dict):
            raise WireError(f"{name}: the fields must be an object")
        try:
            return self._handle_message(name, fields)
        except ConfigError as error:
            raise WireError(f"{name}: {error}") from None
        except KeyError as error:
            raise WireError(f"{name}: missing field or unknown value {error}") from None
        except (TypeError, ValueError, AttributeError, IndexError) as error:
            raise WireError(f"{name}: {error}") from None

    def _handle_message(self, name: str, fields: Fields) -> list[Fields]:
        if name == "Mark":
            if self.batch is not None:
                raise WireError("Mark inside a batch")
            self.batch = int(fields["frame"])
            self.now = float(fields["ts-ms"])
            self.replies = []
        elif self.batch is None:
            raise WireError(f"{name} outside a batch")
        elif name == "EofBatch":
            self.replies.append({"Ready": {"frame": self.batch}})
            self.batch = None
            return self.replies
        elif name == "Ledger":
            self.endpoint_lists[fields.get("roster-id", 0)] = tuple(
                decode_endpoint(item) for item in fields["items"]
            )
        else:
            self._handle_event(name, fields)
        return []

    def _handle_event(self, name: str, fields: Fields) -> None:
        instance = fields["i"]
        if name == "PowerOn":
            self.limiters[instance] = Limiter(read_settings(fields["options"]), fields["seed"])
            self._run_limiter(instance, Started())
        elif name == "Shutdown":
            self.limiters.pop(instance, None)
        elif instance not in self.limiters:
            raise WireError(f"{name} for instance {instance}, which is not running")
        else:
            self._run_limiter(instance, decode_event(name, fields, self.endpoint_lists))

    def _run_limiter(self, instance: int, event: Event) -> None:
        try:
            actions = self.limiters[instance].handle(self.now, event)
        except Exception as error:
            is_described = isinstance(error, DecisionFaultError)
            description = str(error) if is_described else f"{type(error).__name__}: {error}"
            self.replies.append({"BailOut": {"i": instance, "words": description}})
            raise LimiterFaultError from error
        self.replies.extend(encode_action(instance, action) for action in actions)


def serve(lines: Iterable[str], output: TextIO) -> None:
    """Process batches and write their replies until the input ends."""
    host = InstanceHost()
    for line in lines:
        if not line.strip():
            continue
        has_failed = False
        try:
            replies = host.handle_line(line)
        except LimiterFaultError:
            replies = [*host.replies, {"Ready": {"frame": host.batch}}]
            has_failed = True
        if replies:
            output.write("".join(json.dumps(reply, separators=(",", ":")) + "\n" for reply in replies))
            output.flush()
        if has_failed:
            raise WireError("a limiter failed; see BailOut")
    if host.batch is not None:
        raise WireError("input ended inside a batch")


def main() -> int:
    """Serve the wire protocol on standard input and output."""
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"wirehost: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
