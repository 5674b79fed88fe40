"""An open-loop load: sends each try at its time over RESP2, however late earlier answers are.

`python -m scalelb.lab.load` reads one JSON object from standard input: limiters, arrivals, clients' ways,
where to keep the rows.  A request goes on an idle connection or a new one, never behind another.  Latencies
count from when a request was due, so a load that itself runs late shows.
"""

from __future__ import annotations

import random
import sys
import time
from collections import deque
from dataclasses import replace
from pathlib import Path
from typing import Any

import orjson

from scalelb.lab.rows import Row, write_rows
from scalelb.lab.traffic import Arrival, Clients
from scalelb.protocol import MalformedError, resp
from scalelb.transport.stream import Stream, StreamFactory, host_port

CONNECTIONS_MOST = 400  # to one limiter
GRACE_MS = 200.0  # after a client has given up, in which no answer is a lost one
REPORT_S = 0.5


class Wire(Stream):
    """One connection to a limiter; one try at a time."""

    def __init__(self, pool: Pool) -> None:
        self.pool, self.ident = pool, b""
        self.reader = resp.ReplyReader()
        self.row: Row | None = None
        self.up = False

    def connectionMade(self) -> None:  # noqa: N802
        """The connection is up."""
        super().connectionMade()
        self.up = True
        self.pool.ready(self)

    def ask(self, row: Row, ident: int, wire: bytes) -> None:
        """Send one try."""
        self.row, self.ident = row, b"%016x" % ident
        self.send(wire)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Bytes of the limiter."""
        try:
            reply = self.reader.read(data)
        except MalformedError:
            self.pool.load.broken["malformed"] += 1
            self.abort()
            return
        if reply is None or self.row is None:
            return
        row, self.row = self.row, None
        self.reader = resp.ReplyReader()
        if reply.value is not None:
            server, _, made_for = bytes(reply.value).split(b"\r\n")[1].partition(b" ")
            row.server = server.decode("ascii", "replace")
            self.pool.load.answered(row, "served" if made_for == self.ident else "wrong", 0.0)
        elif reply.line.startswith(b"-BUSY"):
            told = reply.line[5:].strip()
            self.pool.load.answered(row, "refused", float(told) if told.isdigit() else 0.0)
        else:
            self.pool.load.answered(row, "failed", 0.0)
        self.pool.free(self)

    def lost(self) -> None:
        """The limiter has ended it: what crossed its close is sent once more, once (as the protocol says)."""
        self.pool.gone(self)


class Pool:
    """Connections to one limiter."""

    def __init__(self, load: Load, address: str) -> None:
        self.load = load
        self.host, self.port = host_port(address)
        self.idle: list[Wire] = []
        self.opening: deque[tuple[Row, int, bytes]] = deque()
        self.count = 0
        self.again: set[int] = set()

    def send(self, row: Row, ident: int, wire: bytes) -> None:
        """Send a try on an idle connection, or open one."""
        while self.idle:
            found = self.idle.pop()
            if not found.is_closed:
                found.ask(row, ident, wire)
                return
        self.opening.append((row, ident, wire))
        if self.count < CONNECTIONS_MOST:
            self.count += 1
            self.load.reactor.connectTCP(
                self.host, self.port, StreamFactory(Wire(self), self.refused), timeout=2
            )

    def ready(self, wire: Wire) -> None:
        """A connection is up or free."""
        if self.opening:
            wire.ask(*self.opening.popleft())
        else:
            self.idle.append(wire)

    free = ready

    def refused(self) -> None:
        """One never came up."""
        self.count -= 1
        if self.opening:
            row, _, _ = self.opening.popleft()
            self.load.answered(row, "failed", 0.0)

    def gone(self, wire: Wire) -> None:
        """One has ended."""
        self.count -= 1
        if wire in self.idle:
            self.idle.remove(wire)
        if (row := wire.row) is None:
            return
        wire.row = None
        ident = int(wire.ident, 16)
        if ident in self.again:
            self.load.answered(row, "failed", 0.0)
        else:
            self.again.add(ident)
            self.send(row, ident, self.load.words(row, ident))


class Load:
    """All tries of one run."""

    def __init__(self, reactor: Any, options: dict[str, Any]) -> None:
        self.reactor = reactor
        self.kinds: list[dict[str, Any]] = options["classes"]
        self.plans: list[str] = options["plans"]
        self.clients = Clients(**options["clients"])
        self.variant, self.most_ms = options["variant"], options["max_retry_after_ms"]
        self.arrivals = [Arrival(*a) for a in options["arrivals"]]
        self.until_ms = options["until_ms"]
        self.out = Path(options["out"])
        self.pools = [Pool(self, address) for address in options["limiters"]]
        self.rows: list[Row] = []
        self.random = random.Random(options["seed"])
        self.ident = self.random.getrandbits(40) << 20
        self.began = 0.0
        self.broken = {"malformed": 0, "wrong": 0}
        self.open = 0

    def now(self) -> float:
        """Milliseconds from the start."""
        return (time.monotonic() - self.began) * 1000.0

    def start(self) -> None:
        """Go on from the first arrival to the last, and then until all is answered."""
        self.began = time.monotonic()
        self.place = 0
        self._next()
        self.reactor.callLater(self.until_ms / 1000.0, self.finish)
        self.reactor.callLater(REPORT_S, self._report)

    def _next(self) -> None:
        now = self.now()
        while self.place < len(self.arrivals) and self.arrivals[self.place].at_ms <= now:
            a = self.arrivals[self.place]
            self.place += 1
            self._ask(Row(self.variant, a.group, a.customer, a.limiter, a.kind, a.plan, a.units, 0, a.at_ms))
        if self.place < len(self.arrivals):
            wait = max(0.0, self.arrivals[self.place].at_ms - self.now())
            self.reactor.callLater(wait / 1000.0, self._next)

    def _ask(self, row: Row) -> None:
        self.ident += 1
        row.at = self.now()
        self.rows.append(row)
        self.open += 1
        self.pools[row.limiter].send(row, self.ident, self.words(row, self.ident))

    def words(self, row: Row, ident: int) -> bytes:
        """The command of one try."""
        kind = self.kinds[row.kind]
        wait = max(1, int(kind["hard-limit-ms"] - max(0.0, self.now() - row.due)))
        row.key = row.key or f"{self.random.getrandbits(64):016x}"
        key = f",k={row.key}" if kind["effect"] == "keyed" else ""
        again = ",r=1" if row.number else ""
        values = (
            f"c={kind['name']},t={self.plans[row.plan]},d={wait}{key}{again},"
            f"units={int(row.units)},spread={len(self.pools)},first=0"
        )
        name = "CALL.GET" if kind["effect"] == "safe" else "CALL.POST"
        parts = [name, f"{row.customer:016x}", f"{ident:016x}", values]
        if name == "CALL.POST":
            parts.append("answer")
        return f"*{len(parts)}\r\n".encode() + b"".join(
            b"$%d\r\n%s\r\n" % (len(part), part.encode()) for part in parts
        )

    def answered(self, row: Row, verdict: str, retry_after_ms: float) -> None:
        """The final answer of one try; a client that obeys comes back once it may."""
        row.ended, row.verdict, row.retry_after_ms = self.now(), verdict, retry_after_ms
        self.open -= 1
        if verdict == "wrong":
            self.broken["wrong"] += 1
        if verdict != "refused":
            return
        row.told_beyond = retry_after_ms >= self.most_ms
        if self.clients.obey and row.number + 1 < self.clients.tries and retry_after_ms:
            limiter = row.limiter
            if len(self.pools) > 1 and self.random.random() < self.clients.stray:
                limiter = self.random.randrange(len(self.pools))
            due = row.ended + retry_after_ms + self.random.uniform(0.0, self.clients.jitter_ms)
            again = replace(
                row, limiter=limiter, number=row.number + 1, due=due, at=-1.0, ended=-1.0, verdict="",
                retry_after_ms=0.0, server="",
            )  # fmt: skip
            self.reactor.callLater(max(0.0, due - self.now()) / 1000.0, self._ask, again)

    def _report(self) -> None:
        told = {"at": round(self.now()), "sent": len(self.rows), "open": self.open}
        print(orjson.dumps(told).decode(), flush=True)
        self.reactor.callLater(REPORT_S, self._report)

    def finish(self) -> None:
        """Keep the rows and end.  Who is still owed an answer past its time has none."""
        write_rows(self.out, self.rows)
        lost = sum(
            not row.verdict and self.now() > row.due + self.kinds[row.kind]["hard-limit-ms"] + GRACE_MS
            for row in self.rows
        )
        late = sorted(row.at - row.due for row in self.rows)
        told = {
            "done": True, "tries": len(self.rows), "unanswered": lost, **self.broken,
            "late_p99_ms": round(late[int(0.99 * (len(late) - 1))], 2) if late else 0.0,
        }  # fmt: skip
        print(orjson.dumps(told).decode(), flush=True)
        self.reactor.stop()


def main() -> int:
    """Run one load."""
    from twisted.internet import reactor

    options = orjson.loads(sys.stdin.buffer.read())
    run: Any = reactor
    run.callWhenRunning(Load(run, options).start)
    run.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
