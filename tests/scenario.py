r"""The scenario language of the network tests, run against one limiter with in-memory connections.

A scenario has one step per line, `PEER VERB ARGUMENT`:

client  send PING            the peer sends bytes; `\n` is a line end, {...} a Python expression
backend expect CALL.GET      the data received by the peer since its last `expect` contains this
backend expect-nothing       the peer has received no data since its last `expect`
client  close                the peer closes its connection
client  closed               the limiter has closed the connection
backend paused               the limiter has paused reading from the connection
client  ignore-close         the peer keeps its side open when the limiter closes the other
wait 30                      30 ms pass
refuse backend               connections to the peer are refused; `accept backend` accepts them again
hold backend                 connections to the peer stay pending; `release backend` completes them
client2 ...                  a number after the name selects a further connection of the peer
"""

from __future__ import annotations

import json
import re
from dataclasses import replace
from typing import Any
from unittest.mock import Mock

from standin import LIMITER_SETTINGS
from twisted.internet import error
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from scalelb.admission_queue import AdmissionQueueSettings
from scalelb.program.__main__ import Program
from scalelb.program.config import Config

CONNECTION_LOST = Failure(error.ConnectionLost())  # type: ignore[no-untyped-call]
SERVED = "*3\n$2\nok\n$-1\n$-1\n"


class Wire(StringTransport):
    """An in-memory connection of the limiter, as its peer sees it."""

    def __init__(self, protocol: Any) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.protocol, self.ended, self.ignores_close = protocol, False, False

    def setTcpNoDelay(self, enabled: bool) -> None: ...  # noqa: N802

    def loseConnection(self) -> None:  # noqa: N802
        self.end()

    def abortConnection(self) -> None:  # noqa: N802
        self.end()

    def loseWriteConnection(self) -> None:  # noqa: N802
        """Half-close the connection: the peer closes its side too, unless it ignores this."""
        if not self.ignores_close:
            self.end()

    def end(self) -> None:
        if not self.ended:
            self.ended = True
            self.protocol.connectionLost(CONNECTION_LOST)


class Connector:
    """A pending connection, with the interface of a Twisted connector."""

    def __init__(self, net: Any, name: str, factory: Any) -> None:
        self.net, self.name, self.factory, self.is_pending = net, name, factory, True

    def complete(self) -> None:
        if self.is_pending:
            self.is_pending = False
            self.net.connect(self.name, self.factory)

    def stopConnecting(self) -> None:  # noqa: N802
        self.fail()

    def fail(self) -> None:
        if self.is_pending:
            self.is_pending = False
            self.factory.clientConnectionFailed(self, CONNECTION_LOST)


class MemoryNetwork(Clock):  # typed as Any by its users, as it implements only a part of a reactor
    """A reactor with in-memory connections to named peers instead of sockets."""

    def __init__(self) -> None:
        super().__init__()
        self.wires: dict[str, list[Wire]] = {}
        self.names = {7000: "director", 7001: "director1", 7100: "counter", 7101: "counter1"}
        self.refused_peers: set[str] = set()
        self.held_peers: set[str] = set()
        self.pending_connectors: list[Connector] = []
        self.stopped = False

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float = 30) -> Connector:  # noqa: N802
        name = self.names.get(port, f"backend{port - 7200 or ''}")
        connector = Connector(self, name, factory)
        if name in self.held_peers:
            self.pending_connectors.append(connector)
            self.callLater(timeout, connector.fail)
        else:
            self.callLater(0, connector.fail if name in self.refused_peers else connector.complete)
        return connector

    def release(self, name: str) -> None:
        """Complete the pending connections to a peer; later ones complete at once."""
        self.held_peers.discard(name)
        for connector in [c for c in self.pending_connectors if c.name == name]:
            self.pending_connectors.remove(connector)
            connector.complete()

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Any:  # noqa: N802
        """Return a placeholder port: connections to it are made by calling `connect`."""
        return Mock()

    def stop(self) -> None:
        self.stopped = True

    def connect(self, name: str, factory: Any) -> Wire:
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
    """Return a client's request command; `swap` replaces one text by another in each of its parts."""
    name = "CALL.GET" if kind == "fetch-cards" else "CALL.POST"
    values = f"c={kind},t=basic,d={wait}" + (f",k={key}" if key else "") + f",units={units},spread=1,first=0"
    parts = [name, "00000000000000ad", f"{ident:016x}", values, *more.values()]
    parts = [part.replace(*swap) if swap[0] else part for part in parts]
    return f"*{len(parts)}\n" + "".join(f"${len(p.encode())}\n{p}\n" for p in parts)


class Harness:
    """Runs one limiter with scripted peers on an in-memory network."""

    def __init__(
        self, backends: int = 1, known: bool = True, sockets: int = 1024, generation: int | None = None,
        fairness: AdmissionQueueSettings | None = None,
        kind_names: tuple[str, ...] = ("fetch-cards", "record-answer"),
        plan_names: tuple[str, ...] = ("basic",), **fields: Any,
    ) -> None:  # fmt: skip
        net: Any = MemoryNetwork()
        self.net = net
        self.logged: list[dict[str, Any]] = []
        config = Config(
            name="n0", listen="127.0.0.1:1", director="127.0.0.1:7000", counter="127.0.0.1:7100", seed=2,
            sockets=sockets, settings=replace(LIMITER_SETTINGS, **fields), kinds=kind_names, plans=plan_names,
            zones=(), known=tuple(map(entry, range(backends * known))),
            generation=generation, connect_timeout_ms=250.0, conn_idle_ms=30_000.0, requests_most=4096,
            fairness=fairness,
        )  # fmt: skip
        self.program = Program(config, self.net, lambda: 1e6 + 1000 * self.net.seconds(), self.log)
        self.loop, self.listener = self.program.loop, self.program.listener
        self.program.listen()
        self.program.start()
        self.wait(0)
        if known:
            self.program.set_ready()

    def reload(self, **changes: Any) -> None:
        """Reload the configuration with these changes, as on SIGHUP."""
        config = self.program.config
        self.program.reread = lambda: replace(config, **changes)
        self.program.reload()
        self.wait(0)

    def log(self, event: str, **fields: Any) -> None:
        self.logged.append({"event": event, **fields})

    def wait(self, ms: float) -> None:
        """Advance the clock in steps of 5 ms; 0 runs only the calls that are due now."""
        for _ in range(5):
            self.net.advance(0)
        for _ in range(int(ms // 5)):
            self.net.advance(0.005)
        for _ in range(5):
            self.net.advance(0)

    def wire(self, peer: str) -> Any:
        """Return a connection by peer name and number, such as `client2`; clients connect on first use."""
        name, number = re.fullmatch(r"([a-z]+(?:@\d+)?)(\d*)", peer).groups()  # type: ignore[union-attr]
        name = name.replace("@", "")
        wires = self.net.wires.setdefault(name, [])
        while name == "client" and len(wires) < int(number or 1):
            self.net.connect("client", self.listener)
        index = int(number or 1) - 1
        assert index < len(wires), f"no connection {peer}; there are {len(wires)} to {name}"
        return wires[index]

    def run(self, scenario: str) -> None:
        """Run all steps of a scenario."""
        for line in filter(None, (raw.strip() for raw in scenario.splitlines())):
            try:
                self.run_step(line)
            except AssertionError as failure:
                raise AssertionError(f"at '{line}': {failure}") from None

    def run_step(self, line: str) -> None:
        peer, verb, argument = [*line.split(None, 2), "", ""][:3]
        if peer == "wait":
            self.wait(float(verb))
            return
        if peer in ("refuse", "accept"):
            (self.net.refused_peers.add if peer == "refuse" else self.net.refused_peers.discard)(verb)
            return
        if peer in ("hold", "release"):
            (self.net.held_peers.add if peer == "hold" else self.net.release)(verb)
            self.wait(0)
            return
        wire = self.wire(peer)
        if verb == "send":
            text = re.sub(r"\{(.*)\}", lambda m: str(eval(m[1], globals())), argument.replace("\\n", "\n"))
            assert not wire.ended, "the connection is closed"
            wire.protocol.dataReceived(text.replace("\n", "\r\n").encode())
        elif verb == "expect":
            received = wire.value().decode().replace("\r\n", "\n")
            wire.clear()
            assert argument.replace("\\n", "\n") in received, f"received {received[:1000]!r}"
        elif verb == "expect-nothing":
            assert not wire.value(), f"received {wire.value()!r}"
        elif verb == "close":
            wire.end()
        elif verb == "ignore-close":
            wire.ignores_close = True
        elif verb == "paused":
            assert wire.producerState == "paused", "reading is not paused"
        elif verb == "closed":
            assert wire.ended, "the connection is still open"
        else:
            raise ValueError(f"unknown scenario step: {line}")
        self.wait(0)
