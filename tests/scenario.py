r"""The scenario language of the network tests: a line a step, `WHO VERB WHAT`, on sockets in memory.

client  send PING            bytes from a peer; `\n` in WHAT is a line end, {...} a Python expression
backend expect CALL.GET      what has come to a peer since its last `expect` holds this
backend silent               nothing has come since
client  close                the peer ends its connection
client  closed               the limiter has ended it
backend paused               the limiter reads no further of it
client  rude                 the peer will not follow when the limiter ends its side
wait 30                      so many milliseconds pass
refuse backend               connections to it are refused; `accept backend`: they come up
hold backend                 connections to it stay under way; `release backend`: they come up now
client2 ...                  a number after the name: the peer's further connections
"""

from __future__ import annotations

import json
import re
from dataclasses import replace
from typing import Any
from unittest.mock import Mock

from standin import SITE
from twisted.internet import error
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from scalelb.admission_queue import AdmissionQueueSettings
from scalelb.program.__main__ import Program
from scalelb.program.config import Config

LOST = Failure(error.ConnectionLost())  # type: ignore[no-untyped-call]
SERVED = "*3\n$2\nok\n$-1\n$-1\n"


class Wire(StringTransport):
    """One connection, seen from its peer."""

    def __init__(self, protocol: Any) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.protocol, self.ended, self.rude = protocol, False, False

    def setTcpNoDelay(self, enabled: bool) -> None: ...  # noqa: N802

    def loseConnection(self) -> None:  # noqa: N802
        self.end()

    def abortConnection(self) -> None:  # noqa: N802
        self.end()

    def loseWriteConnection(self) -> None:  # noqa: N802
        """The peer sees our end and ends its own side, unless it is rude."""
        if not self.rude:
            self.end()

    def end(self) -> None:
        if not self.ended:
            self.ended = True
            self.protocol.connectionLost(LOST)


class Connector:
    """A connection that is under way, as Twisted shows it."""

    def __init__(self, net: Any, name: str, factory: Any) -> None:
        self.net, self.name, self.factory, self.under_way = net, name, factory, True

    def up(self) -> None:
        if self.under_way:
            self.under_way = False
            self.net.join(self.name, self.factory)

    def stopConnecting(self) -> None:  # noqa: N802
        self.fail()

    def fail(self) -> None:
        if self.under_way:
            self.under_way = False
            self.factory.clientConnectionFailed(self, LOST)


class Net(Clock):  # typed as any where it is used: it is less than a reactor
    """A reactor without sockets: peers are kept by name, `refuse` names those that are down."""

    def __init__(self) -> None:
        super().__init__()
        self.wires: dict[str, list[Wire]] = {}
        self.names = {7000: "director", 7001: "director1", 7100: "counter", 7101: "counter1"}
        self.refuse: set[str] = set()
        self.hold: set[str] = set()
        self.held: list[Connector] = []
        self.stopped = False

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float = 30) -> Connector:  # noqa: N802
        name = self.names.get(port, f"backend{port - 7200 or ''}")
        connector = Connector(self, name, factory)
        if name in self.hold:
            self.held.append(connector)
            self.callLater(timeout, connector.fail)
        else:
            self.callLater(0, connector.fail if name in self.refuse else connector.up)
        return connector

    def release(self, name: str) -> None:
        """What is under way to it comes up, and what follows does at once."""
        self.hold.discard(name)
        for connector in [c for c in self.held if c.name == name]:
            self.held.remove(connector)
            connector.up()

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:  # noqa: N802
        """Sessions join by name; the port itself only has to be there."""
        return Mock()

    def stop(self) -> None:
        self.stopped = True

    def join(self, name: str, factory: Any) -> Wire:
        protocol = factory.buildProtocol(None)
        wire = Wire(protocol)
        if protocol is None:
            wire.ended = True
            return wire
        self.wires.setdefault(name, []).append(wire)
        protocol.makeConnection(wire)
        return wire


def entry(number: int, state: str = "ready", started: float = 0.0) -> dict[str, Any]:
    return {
        "instanceId": f"s{number}",
        "hostPort": f"127.0.0.1:{7200 + number}",
        "lifecycle": state,
        "startedAtMs": started,
    }


def listing(generation: int, *entries: dict[str, Any], full: bool = True) -> str:
    body = json.dumps({"generation": generation, "reset": full, "instances": entries})
    return f"HTTP/1.1 200 OK\nContent-Length: {len(body)}\n\n{body}"


def call(
    ident: int, kind: str = "fetch-cards", wait: int = 7000, units: int = 1, key: str = "",
    swap: tuple[str, str] = ("", ""), **more: Any,
) -> str:  # fmt: skip
    """A client's request, with the values that are given; `swap` writes one thing for another."""
    name = "CALL.GET" if kind == "fetch-cards" else "CALL.POST"
    values = f"c={kind},t=basic,d={wait}" + (f",k={key}" if key else "") + f",units={units},spread=1,first=0"
    parts = [name, "00000000000000ad", f"{ident:016x}", values, *more.values()]
    parts = [part.replace(*swap) if swap[0] else part for part in parts]
    return f"*{len(parts)}\n" + "".join(f"${len(p.encode())}\n{p}\n" for p in parts)


class Stage:
    """One limiter among its peers."""

    def __init__(
        self, backends: int = 1, known: bool = True, sockets: int = 1024, generation: int | None = None,
        fairness: AdmissionQueueSettings | None = None,
        kind_names: tuple[str, ...] = ("fetch-cards", "record-answer"),
        plan_names: tuple[str, ...] = ("basic",), **fields: Any,
    ) -> None:  # fmt: skip
        net: Any = Net()
        self.net = net
        self.logged: list[dict[str, Any]] = []
        config = Config(
            name="n0", listen="127.0.0.1:1", director="127.0.0.1:7000", counter="127.0.0.1:7100", seed=2,
            sockets=sockets, settings=replace(SITE, **fields), kinds=kind_names, plans=plan_names, zones=(),
            known=tuple(map(entry, range(backends * known))),
            generation=generation, connect_timeout_ms=250.0, conn_idle_ms=30_000.0, requests_most=4096,
            fairness=fairness,
        )  # fmt: skip
        self.program = Program(config, self.net, lambda: 1e6 + 1000 * self.net.seconds(), self.log)
        self.loop, self.door = self.program.loop, self.program.listener
        self.program.listen()
        self.program.start()
        self.wait(0)
        if known:
            self.program.set_ready()

    def reload(self, **changes: Any) -> None:
        """SIGHUP, with a file that says so."""
        config = self.program.config
        self.program.reread = lambda: replace(config, **changes)
        self.program.reload()
        self.wait(0)

    def log(self, event: str, **fields: Any) -> None:
        self.logged.append({"event": event, **fields})

    def wait(self, ms: float) -> None:
        """Pass time in small steps; 0 lets what is ready happen."""
        for _ in range(5):
            self.net.advance(0)
        for _ in range(int(ms // 5)):
            self.net.advance(0.005)
        for _ in range(5):
            self.net.advance(0)

    def wire(self, who: str) -> Any:
        name, number = re.fullmatch(r"([a-z]+(?:@\d+)?)(\d*)", who).groups()  # type: ignore[union-attr]
        name = name.replace("@", "")
        wires = self.net.wires.setdefault(name, [])
        while name == "client" and len(wires) < int(number or 1):
            self.net.join("client", self.door)
        place = int(number or 1) - 1
        assert place < len(wires), f"no connection {who}; there are {len(wires)} to {name}"
        return wires[place]

    def play(self, story: str) -> None:
        """Play one scenario."""
        for line in filter(None, (raw.strip() for raw in story.splitlines())):
            try:
                self.step(line)
            except AssertionError as fault:
                raise AssertionError(f"at '{line}': {fault}") from None

    def step(self, line: str) -> None:
        who, verb, what = [*line.split(None, 2), "", ""][:3]
        if who == "wait":
            self.wait(float(verb))
            return
        if who in ("refuse", "accept"):
            (self.net.refuse.add if who == "refuse" else self.net.refuse.discard)(verb)
            return
        if who in ("hold", "release"):
            (self.net.hold.add if who == "hold" else self.net.release)(verb)
            self.wait(0)
            return
        wire = self.wire(who)
        if verb == "send":
            text = re.sub(r"\{(.*)\}", lambda m: str(eval(m[1], globals())), what.replace("\\n", "\n"))
            assert not wire.ended, "the connection has ended"
            wire.protocol.dataReceived(text.replace("\n", "\r\n").encode())
        elif verb == "expect":
            came = wire.value().decode().replace("\r\n", "\n")
            wire.clear()
            assert what.replace("\\n", "\n") in came, f"came {came[:1000]!r}"
        elif verb == "silent":
            assert not wire.value(), f"came {wire.value()!r}"
        elif verb == "close":
            wire.end()
        elif verb == "rude":
            wire.rude = True
        elif verb == "paused":
            assert wire.producerState == "paused", "it is read on"
        elif verb == "closed":
            assert wire.ended, "still open"
        else:
            raise ValueError(f"no such step: {line}")
        self.wait(0)
