"""The simulator's wire: JSON lines to events, actions to JSON lines.  It decides nothing.

Each instance has a `Gateway` of its own and shares nothing with the others.  Malformed input ends the program
with a plain message; a fault inside a gateway is declared with `BailOut`.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from typing import Any, TextIO

from scalelb.program.config import ConfigError, read_settings
from scalelb.routing import interface as io
from scalelb.routing.control import Gateway

Fields = dict[str, Any]

OUTCOMES = {
    "done": io.Outcome.OK,
    "err": io.Outcome.ERROR,
    "busy": io.Outcome.FULL,
    "etimedout": io.Outcome.TIMEOUT,
    "econnrefused": io.Outcome.CONNECT_FAILED,
    "econnreset": io.Outcome.RESET,
    "ecanceled": io.Outcome.CANCELLED,
    "skipped": io.Outcome.MOOT,
}
STATES = {"SERVING": io.State.SERVING, "DRAINING": io.State.DRAINING, "DELETED": io.State.GONE}
MODES = {"incr": False, "total": True, "warm_copy": True}


class WireError(Exception):
    """Input that does not follow the wire."""


class GatewayError(Exception):
    """A fault inside a gateway."""


def read_server(item: Fields) -> io.ServerInfo:
    """Translate one entry of a server list."""
    return io.ServerInfo(
        server=item["server"],
        state=STATES[item["state"]],
        zone=item.get("site", 0),
        cell=item.get("cluster", 0),
        size=item.get("power-hint", 1.0),
        started_ms=item.get("boot-time-ms", 0.0),
    )


def read_event(name: str, f: Fields, rosters: dict[int, tuple[io.ServerInfo, ...]]) -> io.Event:
    """Translate one event of a running instance."""
    match name:
        case "Accept":
            return io.RequestArrived(
                request=f["tid"],
                customer=f.get("customer", ""),
                plan=f.get("tariff", 0),
                request_class=f.get("tier-class", 0),
                expires_in_ms=f["expires-in-ms"],
                units=f.get("weight", 0),
                doors=f.get("doors", 1),
                first_door=f.get("base", 0),
                retry=f.get("retry", False),
            )
        case "Settled":
            return io.AttemptEnded(
                request=f["tid"],
                attempt=f.get("go", 0),
                server=f["server"],
                outcome=OUTCOMES[f["reason"]],
                elapsed_ms=f.get("cost-time-ms", 0.0),
                final=f.get("complete", False),
                true_units=f.get("final-units", 0),
                report=f.get("telemetry", {}),
                used_percent=f["usage"] - 1.0 if f.get("usage") else None,  # 0 or absent: not told
            )
        case "Fired":
            return io.TimerFired(tag=f.get("tag", 0))
        case "Total":
            return io.CounterReplied(
                name=f.get("entry-name", 0),
                outcome=OUTCOMES[f["reason"]],
                total=f.get("result-value", 0.0),
                elapsed_ms=f.get("cost-time-ms", 0.0),
            )
        case "CancelledByClient":
            return io.RequestGone(request=f["tid"])
        case "AckFirst":
            return io.ResponseStarted(request=f["tid"], attempt=f.get("go", 0), server=f["server"])
        case "Discovery":
            if f["mode"] == "lost":
                return io.ListLost()
            return io.ServersListed(servers=rosters[f.get("roster-id", 0)], full=MODES[f["mode"]])
        case "Checked":
            return io.ProbeEnded(
                server=f["server"],
                outcome=OUTCOMES[f["reason"]],
                elapsed_ms=f.get("cost-time-ms", 0.0),
                report=f.get("telemetry", {}),
            )
        case "Memo":
            return io.PeerMessage(sender=f.get("origin-peer", 0), content=f.get("content", "").encode())
    raise WireError(f"unknown event {name!r}")


def write_action(instance: int, action: io.Action) -> Fields:
    """Translate one action."""
    match action:
        case io.SendAttempt():
            name, fields = "PassOn", {"tid": action.request, "server": action.server}
            if action.timeout_ms:
                fields["patience-ms"] = action.timeout_ms
        case io.Refuse():
            name, fields = "TurnAway", {"tid": action.request}
            if action.retry_after_ms:
                fields["not-before-for-ms"] = action.retry_after_ms
        case io.Admit():
            raise GatewayError("nothing asks for an admission here")
        case io.Fail():
            name, fields = "Fail", {"tid": action.request}
        case io.CancelAttempt():
            name, fields = "AbortAttempt", {"tid": action.request, "go": action.attempt}
        case io.AddToCounter():
            name = "Enter"
            fields = {"by": action.amount, "entry-name": action.name, "keep-for-ms": action.keep_ms}
        case io.SetTimer():
            name, fields = "Defer", {"tag": action.tag, "sleep-for-ms": action.delay_ms}
        case io.ProbeServer():
            name, fields = "Test", {"server": action.server}
        case io.SubscribeServers():
            name, fields = "Subscribe", {"enable": True}
    return {name: {"i": instance, **fields}}


class Host:
    """Hosts the instances of one process and speaks the wire for them."""

    def __init__(self) -> None:
        self.gateways: dict[int, Gateway] = {}
        self.rosters: dict[int, tuple[io.ServerInfo, ...]] = {}
        self.frame: int | None = None
        self.now = 0.0
        self.replies: list[Fields] = []

    def take(self, line: str) -> list[Fields]:
        """Take one line; return the reply's messages at the end of a batch, else nothing."""
        try:
            message = json.loads(line)
        except ValueError as error:
            raise WireError(f"not JSON: {error}") from None
        if not isinstance(message, dict) or len(message) != 1:
            raise WireError("a message is an object with one key, its name")
        [(name, fields)] = message.items()
        if not isinstance(fields, dict):
            raise WireError(f"{name}: its fields are an object")
        try:
            return self._message(name, fields)
        except ConfigError as error:
            raise WireError(f"{name}: {error}") from None
        except KeyError as error:
            raise WireError(f"{name}: missing field or unknown value {error}") from None
        except (TypeError, ValueError, AttributeError, IndexError) as error:
            raise WireError(f"{name}: {error}") from None

    def _message(self, name: str, fields: Fields) -> list[Fields]:
        if name == "Mark":
            if self.frame is not None:
                raise WireError("Mark inside a batch")
            self.frame, self.now, self.replies = int(fields["frame"]), float(fields["ts-ms"]), []
        elif self.frame is None:
            raise WireError(f"{name} outside a batch")
        elif name == "EofBatch":
            self.replies.append({"Ready": {"frame": self.frame}})
            self.frame = None
            return self.replies
        elif name == "Ledger":
            self.rosters[fields.get("roster-id", 0)] = tuple(read_server(item) for item in fields["items"])
        else:
            self._event(name, fields)
        return []

    def _event(self, name: str, fields: Fields) -> None:
        instance = fields["i"]
        if name == "PowerOn":
            self.gateways[instance] = Gateway(read_settings(fields["options"]), fields["seed"])
            self._decide(instance, io.Started())
        elif name == "Shutdown":
            self.gateways.pop(instance, None)
        elif instance not in self.gateways:
            raise WireError(f"{name} for instance {instance}, which does not run")
        else:
            self._decide(instance, read_event(name, fields, self.rosters))

    def _decide(self, instance: int, event: io.Event) -> None:
        try:
            actions = self.gateways[instance].handle(self.now, event)
        except Exception as error:
            self.replies.append({"BailOut": {"i": instance, "words": f"{type(error).__name__}: {error}"}})
            raise GatewayError from error
        self.replies.extend(write_action(instance, action) for action in actions)


def serve(lines: Iterable[str], output: TextIO) -> None:
    """Answer batch after batch until the input ends."""
    host = Host()
    for line in lines:
        if not line.strip():
            continue
        broken = False
        try:
            replies = host.take(line)
        except GatewayError:
            replies, broken = [*host.replies, {"Ready": {"frame": host.frame}}], True
        if replies:
            output.write("".join(json.dumps(r, separators=(",", ":")) + "\n" for r in replies))
            output.flush()
        if broken:
            raise WireError("a gateway broke; see BailOut")
    if host.frame is not None:
        raise WireError("input ended inside a batch")


def main() -> int:
    """Speak the wire on standard input and output."""
    try:
        serve(sys.stdin, sys.stdout)
    except WireError as error:
        print(f"wirehost: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
