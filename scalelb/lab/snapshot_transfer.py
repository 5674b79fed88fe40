"""Measures how long a limiter takes to copy its predecessor's log back from a peer, over a real link.

`python -m scalelb.lab.snapshot_transfer [ACCOUNTS]`: this process is the peer (a replicator and its links, no
limiter).  It starts stand-ins and the real program, which copies the accounts of its predecessor.  It prints
when the program has settled (ms after its start), its processor time and its memory.  A run with 0 accounts
gives the figures of a start without anything to copy.
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
MAX_RUN_S = 60.0
PLAN: dict[str, Any] = {"rate": 4.0, "burst": 16.0, "at_once": 0, "price": 1.0}


class JsonLineProcess(ProcessProtocol):
    """A process that writes one JSON object per line."""

    def __init__(self, on_line: Any) -> None:
        self.on_line, self.partial_line = on_line, b""

    def childDataReceived(self, childFD: int, data: bytes) -> None:  # noqa: N802, N803
        """Split the output into lines and pass each object on; other lines are ignored."""
        *lines, self.partial_line = (self.partial_line + data).split(b"\n")
        for line in lines:
            with suppress(orjson.JSONDecodeError):
                self.on_line(orjson.loads(line))


class SnapshotTransfer:
    """One start of the program, with the peer that has its predecessor's log."""

    def __init__(self, reactor: Any, accounts: int, out: Path) -> None:
        self.reactor, self.accounts, self.out = reactor, accounts, out
        self.replicator = Replicator(
            ReplicationSettings("n1", NAMES, settle_alone_after_ms=0.0), 3, self.now(), lambda *a, **k: None
        )
        self.port = 0
        self.results: dict[str, Any] = {"accounts": accounts}
        self.processes: list[Any] = []
        reactor.callLater(MAX_RUN_S, self.stop)

    def now(self) -> float:
        """The time on the clock of the replicator, in milliseconds."""
        return 1000.0 * float(self.reactor.seconds())

    def start(self) -> None:
        """Settle the peer alone, write the predecessor's log and start the stand-ins."""
        self.replicator.tick(self.now() + 1.0, lambda name: True)
        log = self.replicator.replica.find_or_create_log(Incarnation("n0", 1, 5))
        assert self.replicator.is_settled
        assert log is not None
        now = round(self.reactor.seconds() * 1000.0)
        for number in range(self.accounts):
            account = [1.25, 0.5, 12.5, 42.0, 7, now, now + 120_000]
            log.write(f"u:{number:016x}", account, 0.0)
        self.start_process(["scalelb.lab.standins"], {}, self.on_standins_line)
        backends = [{"name": "deck-0", "cores": 4, "speed": 1.0, "room": 50}]
        work = {str(kind["name"]): 10.0 for kind in CLASSES}
        self.processes[0].write(orjson.dumps({"decks": backends, "work_ms": work}) + b"\n")

    def start_process(self, module: list[str], extra: dict[str, str], on_line: Any) -> None:
        """Start a Python module as a process, with the `extra` environment variables."""
        environment = {n: v for n, v in os.environ.items() if not n.startswith(("EDGE_", "SCALELB_"))} | extra
        command = [sys.executable, "-m", *module]
        descriptors = {0: "w", 1: "r", 2: "r"}
        self.processes.append(
            self.reactor.spawnProcess(
                JsonLineProcess(on_line), sys.executable, command, environment, childFDs=descriptors
            )
        )

    def on_standins_line(self, line: dict[str, Any]) -> None:
        """Configure and start the program once the addresses of the stand-ins are known."""
        if "discovery" not in line:
            return
        fleet, clients = Fleet(servers=1), Clients()
        experiment = Experiment("copying", 1.0, 1.0, 1000.0, 6.0, fleet, {"basic": PLAN}, (), clients, {}, ())
        settings = experiment.settings_object(Variant("copying", limiters=2), 0)
        config = {
            "name": "n0", "listen": "127.0.0.1:0", "seed": "1", **line,
            "limits": {"sockets": 1024, "memory_mb": 192}, "settings": settings,
        }  # fmt: skip
        (self.out / "n0.json").write_bytes(orjson.dumps(config))
        self.links = PeerLinks(
            self.reactor, "n1", {"n0": "127.0.0.1:1"}, lambda *a, **k: None,
            lambda name: self.replicator.link_up(name, self.now()),
            lambda name: self.replicator.link_down(name, self.now()), self.on_message,
        )  # fmt: skip
        self.port = self.reactor.listenTCP(0, self.links, 16, "127.0.0.1").getHost().port
        members = {"members": {"n0": "127.0.0.1:0", "n1": f"127.0.0.1:{self.port}"}}
        peers_toml = 'on = true\nlisten = "127.0.0.1:0"\n' + toml_text(members)
        (self.out / "n0.toml").write_text(peers_toml)
        self.tick()
        variables = {"EDGE_CONFIG": str(self.out / "n0.json"), "SCALELB_PEERS": str(self.out / "n0.toml")}
        self.start_process(["scalelb.program"], variables, self.on_log_line)

    def tick(self) -> None:
        """Run the periodic work of the peer's replicator."""
        for name, message in self.replicator.push(self.links.is_ready) + self.replicator.tick(
            self.now(), self.links.is_ready
        ):
            self.links.send(name, message)
        self.reactor.callLater(0.05, self.tick)

    def on_message(self, name: str, message: Any) -> None:
        """Process a message from the program and send the replies."""
        for receiver, reply in self.replicator.receive(name, message, self.now()):
            self.links.send(receiver, reply)

    def on_log_line(self, line: dict[str, Any]) -> None:
        """Collect the results from the program's log; the run ends with the first figures after the copy."""
        event = line.get("event")
        if event == "settled":
            self.results["settled_ms"], self.results["alone"] = line["took_ms"], line["alone"]
        elif event == "recalled":
            self.results["recalled"] = line["accounts"]
        elif event == "tally" and "recalled" in self.results:
            self.results |= {"cpu_ms": line["cpu_ms"], "memory_mb": line["memory_mb"]}
            self.results["received"] = line["peers"]["received"]
            self.stop()

    def stop(self) -> None:
        """Kill the started processes and stop the reactor."""
        for process in self.processes:
            with suppress(error.ProcessExitedAlready):
                process.signalProcess("KILL")
        if self.reactor.running:
            self.reactor.stop()


def main() -> int:
    """Run one transfer of the given number of accounts; return 1 if not all were copied."""
    from twisted.internet import reactor

    with tempfile.TemporaryDirectory() as folder:
        transfer = SnapshotTransfer(reactor, int(sys.argv[1]) if len(sys.argv) > 1 else 100_000, Path(folder))
        loop: Any = reactor
        loop.callWhenRunning(transfer.start)
        loop.run()
    print(orjson.dumps(transfer.results).decode())
    return 0 if transfer.results.get("recalled") == transfer.accounts else 1


if __name__ == "__main__":
    sys.exit(main())
