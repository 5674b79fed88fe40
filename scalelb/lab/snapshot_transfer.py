"""A limiter that returns to a peer which holds what its earlier incarnation wrote, over a real link.

`python -m scalelb.lab.snapshot_transfer [ACCOUNTS]`: this process is the peer (replicator and links, no
limiter); the real program is started beside stand-ins and copies its earlier incarnation's accounts back.
Prints when it had settled (ms of its own), its processor time and memory, and those of a start with nothing
to copy beside it.
"""

from __future__ import annotations

import os
import sys
import tempfile
from contextlib import suppress
from pathlib import Path
from typing import Any

import orjson
from twisted.internet import error
from twisted.internet.protocol import ProcessProtocol

from scalelb.lab.experiment import CLASSES, Experiment, Fleet, Variant
from scalelb.lab.stage import toml_text
from scalelb.lab.traffic import Clients
from scalelb.replication import Incarnation, ReplicationSettings, Replicator
from scalelb.transport.peerlink import PeerLinks

NAMES = ("n0", "n1")
LIMIT_S = 60.0
PLAN: dict[str, Any] = {"rate": 4.0, "burst": 16.0, "at_once": 0, "price": 1.0}


class Lines(ProcessProtocol):
    """A process that writes JSON lines."""

    def __init__(self, told: Any) -> None:
        self.told, self.rest = told, b""

    def childDataReceived(self, childFD: int, data: bytes) -> None:  # noqa: N802, N803
        """What it has written."""
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            with suppress(orjson.JSONDecodeError):
                self.told(orjson.loads(line))


class Copying:
    """One start of the program."""

    def __init__(self, reactor: Any, accounts: int, out: Path) -> None:
        self.reactor, self.accounts, self.out = reactor, accounts, out
        self.replicator = Replicator(
            ReplicationSettings("n1", NAMES, settle_alone_after_ms=0.0), 3, self.now(), lambda *a, **k: None
        )
        self.port = 0
        self.found: dict[str, Any] = {"accounts": accounts}
        self.started: list[Any] = []
        reactor.callLater(LIMIT_S, self.end)

    def now(self) -> float:
        """The replicator's clock."""
        return 1000.0 * float(self.reactor.seconds())

    def begin(self) -> None:
        """Settle alone, hold the log of an earlier incarnation, start the stand-ins."""
        self.replicator.tick(self.now() + 1.0, lambda name: True)
        log = self.replicator.replica.log_of(Incarnation("n0", 1, 5))
        assert self.replicator.is_settled
        assert log is not None
        at = round(self.reactor.seconds() * 1000.0)
        for number in range(self.accounts):
            account = [1.25, 0.5, 12.5, 42.0, 7, at, at + 120_000]
            log.write(f"u:{number:016x}", account, 0.0)
        self.run(["scalelb.lab.standins"], {}, self.stand_in)
        decks = [{"name": "deck-0", "cores": 4, "speed": 1.0, "room": 50}]
        work = {str(kind["name"]): 10.0 for kind in CLASSES}
        self.started[0].write(orjson.dumps({"decks": decks, "work_ms": work}) + b"\n")

    def run(self, module: list[str], more: dict[str, str], told: Any) -> None:
        """Start a process."""
        environment = {n: v for n, v in os.environ.items() if not n.startswith(("EDGE_", "SCALELB_"))} | more
        command = [sys.executable, "-m", *module]
        fds = {0: "w", 1: "r", 2: "r"}
        self.started.append(
            self.reactor.spawnProcess(Lines(told), sys.executable, command, environment, childFDs=fds)
        )

    def stand_in(self, said: dict[str, Any]) -> None:
        """The stand-ins' addresses: the program can start."""
        if "discovery" not in said:
            return
        fleet, clients = Fleet(servers=1), Clients()
        experiment = Experiment("copying", 1.0, 1.0, 1000.0, 6.0, fleet, {"basic": PLAN}, (), clients, {}, ())
        settings = experiment.settings_object(Variant("copying", limiters=2), 0)
        config = {
            "name": "n0", "listen": "127.0.0.1:0", "seed": "1", **said,
            "limits": {"sockets": 1024, "memory_mb": 192}, "settings": settings,
        }  # fmt: skip
        (self.out / "n0.json").write_bytes(orjson.dumps(config))
        self.links = PeerLinks(
            self.reactor, "n1", {"n0": "127.0.0.1:1"}, lambda *a, **k: None,
            lambda name: self.replicator.link_up(name, self.now()),
            lambda name: self.replicator.link_down(name, self.now()), self.message,
        )  # fmt: skip
        self.port = self.reactor.listenTCP(0, self.links, 16, "127.0.0.1").getHost().port
        members = {"members": {"n0": "127.0.0.1:0", "n1": f"127.0.0.1:{self.port}"}}
        words = 'on = true\nlisten = "127.0.0.1:0"\n' + toml_text(members)
        (self.out / "n0.toml").write_text(words)
        self.tick()
        more = {"EDGE_CONFIG": str(self.out / "n0.json"), "SCALELB_PEERS": str(self.out / "n0.toml")}
        self.run(["scalelb.program"], more, self.heard)

    def tick(self) -> None:
        """The peer's replicator."""
        for name, message in self.replicator.push(self.links.is_ready) + self.replicator.tick(
            self.now(), self.links.is_ready
        ):
            self.links.send(name, message)
        self.reactor.callLater(0.05, self.tick)

    def message(self, name: str, message: Any) -> None:
        """The program's messages."""
        for to, answer in self.replicator.receive(name, message, self.now()):
            self.links.send(to, answer)

    def heard(self, said: dict[str, Any]) -> None:
        """The program's log."""
        event = said.get("event")
        if event == "settled":
            self.found["settled_ms"], self.found["alone"] = said["took_ms"], said["alone"]
        elif event == "recalled":
            self.found["recalled"] = said["accounts"]
        elif event == "tally" and "recalled" in self.found:
            self.found |= {"cpu_ms": said["cpu_ms"], "memory_mb": said["memory_mb"]}
            self.found["received"] = said["peers"]["received"]
            self.end()

    def end(self) -> None:
        """End what was started, by its id."""
        for process in self.started:
            with suppress(error.ProcessExitedAlready):
                process.signalProcess("KILL")
        if self.reactor.running:
            self.reactor.stop()


def main() -> int:
    """One start, with so many accounts to copy."""
    from twisted.internet import reactor

    with tempfile.TemporaryDirectory() as folder:
        copying = Copying(reactor, int(sys.argv[1]) if len(sys.argv) > 1 else 100_000, Path(folder))
        run: Any = reactor
        run.callWhenRunning(copying.begin)
        run.run()
    print(orjson.dumps(copying.found).decode())
    return 0 if copying.found.get("recalled") == copying.accounts else 1


if __name__ == "__main__":
    sys.exit(main())
