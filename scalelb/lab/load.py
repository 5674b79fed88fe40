"""An open-loop load generator: sends each request at its time over RESP2, however late earlier answers are.

`python -m scalelb.lab.load` reads one JSON object from standard input: limiters, arrivals, the behaviour of
the clients, and the file for the rows.  A request is sent on an idle connection or on a new one, never behind
another request.  Latencies are measured from the time at which a request was due, so that delays of the load
generator itself are visible.
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

MAX_CONNECTIONS = 400  # to one limiter
ANSWER_GRACE_MS = 200.0  # after a request's deadline, before it counts as unanswered
REPORT_INTERVAL_S = 0.5


class Connection(Stream):
    """One connection to a limiter, with one request at a time."""

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool, self.ident = pool, b""
        self.reader = resp.ReplyReader()
        self.row: Row | None = None
        self.is_open = False

    def connectionMade(self) -> None:  # noqa: N802
        """Take the next request of the pool."""
        super().connectionMade()
        self.is_open = True
        self.pool.assign(self)

    def send_request(self, row: Row, ident: int, command: bytes) -> None:
        """Send one request."""
        self.row, self.ident = row, b"%016x" % ident
        self.send(command)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read the answer of the limiter."""
        try:
            reply = self.reader.read(data)
        except MalformedError:
            self.pool.load.violations["malformed"] += 1
            self.abort()
            return
        if reply is None or self.row is None:
            return
        row, self.row = self.row, None
        self.reader = resp.ReplyReader()
        if reply.value is not None:
            server, _, made_for = bytes(reply.value).split(b"\r\n")[1].partition(b" ")
            row.server = server.decode("ascii", "replace")
            self.pool.load.on_answer(row, "served" if made_for == self.ident else "wrong", 0.0)
        elif reply.line.startswith(b"-BUSY"):
            retry_after = reply.line[5:].strip()
            self.pool.load.on_answer(row, "refused", float(retry_after) if retry_after.isdigit() else 0.0)
        else:
            self.pool.load.on_answer(row, "failed", 0.0)
        self.pool.release(self)

    def lost(self) -> None:
        """Remove the connection from the pool, which sends an unanswered request once more."""
        self.pool.on_connection_lost(self)


class ConnectionPool:
    """The connections to one limiter."""

    def __init__(self, load: Load, address: str) -> None:
        self.load = load
        self.host, self.port = host_port(address)
        self.idle: list[Connection] = []
        self.unsent: deque[tuple[Row, int, bytes]] = deque()  # requests that wait for a connection
        self.connection_count = 0
        self.resent: set[int] = set()  # ids of requests

    def send(self, row: Row, ident: int, command: bytes) -> None:
        """Send a request on an idle connection, or open one."""
        while self.idle:
            connection = self.idle.pop()
            if not connection.is_closed:
                connection.send_request(row, ident, command)
                return
        self.unsent.append((row, ident, command))
        if self.connection_count < MAX_CONNECTIONS:
            self.connection_count += 1
            self.load.reactor.connectTCP(
                self.host, self.port, StreamFactory(Connection(self), self.on_connect_failed), timeout=2
            )

    def assign(self, connection: Connection) -> None:
        """Send the next waiting request on an open connection without a request, or keep it as idle."""
        if self.unsent:
            connection.send_request(*self.unsent.popleft())
        else:
            self.idle.append(connection)

    release = assign

    def on_connect_failed(self) -> None:
        """Fail one waiting request when a connection could not be opened."""
        self.connection_count -= 1
        if self.unsent:
            row, _, _ = self.unsent.popleft()
            self.load.on_answer(row, "failed", 0.0)

    def on_connection_lost(self, connection: Connection) -> None:
        """Send the request of a closed connection once more, but only once.

        As the protocol says, a request may cross the limiter's close of the connection."""
        self.connection_count -= 1
        if connection in self.idle:
            self.idle.remove(connection)
        if (row := connection.row) is None:
            return
        connection.row = None
        ident = int(connection.ident, 16)
        if ident in self.resent:
            self.load.on_answer(row, "failed", 0.0)
        else:
            self.resent.add(ident)
            self.send(row, ident, self.load.encode(row, ident))


class Load:
    """All requests of one run."""

    def __init__(self, reactor: Any, options: dict[str, Any]) -> None:
        self.reactor = reactor
        self.kinds: list[dict[str, Any]] = options["classes"]
        self.plans: list[str] = options["plans"]
        self.clients = Clients(**options["clients"])
        self.variant, self.max_retry_after_ms = options["variant"], options["max_retry_after_ms"]
        self.arrivals = [Arrival(*a) for a in options["arrivals"]]
        self.until_ms = options["until_ms"]
        self.out = Path(options["out"])
        self.pools = [ConnectionPool(self, address) for address in options["limiters"]]
        self.rows: list[Row] = []
        self.random = random.Random(options["seed"])
        self.ident = self.random.getrandbits(40) << 20  # of the latest request
        self.started_at = 0.0
        self.violations = {"malformed": 0, "wrong": 0}
        self.open_count = 0

    def now(self) -> float:
        """Return the milliseconds since the start."""
        return (time.monotonic() - self.started_at) * 1000.0

    def start(self) -> None:
        """Start sending the arrivals; schedule the end and the progress reports."""
        self.started_at = time.monotonic()
        self.next_index = 0
        self._send_due()
        self.reactor.callLater(self.until_ms / 1000.0, self.finish)
        self.reactor.callLater(REPORT_INTERVAL_S, self._report)

    def _send_due(self) -> None:
        now = self.now()
        while self.next_index < len(self.arrivals) and self.arrivals[self.next_index].at_ms <= now:
            arrival = self.arrivals[self.next_index]
            self.next_index += 1
            self._send(
                Row(
                    self.variant, arrival.group, arrival.customer, arrival.limiter, arrival.kind,
                    arrival.plan, arrival.units, 0, arrival.at_ms,
                )
            )  # fmt: skip
        if self.next_index < len(self.arrivals):
            wait_ms = max(0.0, self.arrivals[self.next_index].at_ms - self.now())
            self.reactor.callLater(wait_ms / 1000.0, self._send_due)

    def _send(self, row: Row) -> None:
        self.ident += 1
        row.at = self.now()
        self.rows.append(row)
        self.open_count += 1
        self.pools[row.limiter].send(row, self.ident, self.encode(row, self.ident))

    def encode(self, row: Row, ident: int) -> bytes:
        """Return the command of a request, with the time that is left until its deadline."""
        kind = self.kinds[row.kind]
        wait_ms = max(1, int(kind["hard-limit-ms"] - max(0.0, self.now() - row.due)))
        row.key = row.key or f"{self.random.getrandbits(64):016x}"
        key = f",k={row.key}" if kind["effect"] == "keyed" else ""
        retry_mark = ",r=1" if row.number else ""
        values = (
            f"c={kind['name']},t={self.plans[row.plan]},d={wait_ms}{key}{retry_mark},"
            f"units={int(row.units)},spread={len(self.pools)},first=0"
        )
        name = "CALL.GET" if kind["effect"] == "safe" else "CALL.POST"
        parts = [name, f"{row.customer:016x}", f"{ident:016x}", values]
        if name == "CALL.POST":
            parts.append("answer")
        return f"*{len(parts)}\r\n".encode() + b"".join(
            b"$%d\r\n%s\r\n" % (len(part), part.encode()) for part in parts
        )

    def on_answer(self, row: Row, verdict: str, retry_after_ms: float) -> None:
        """Record the final answer to a request; schedule the retry of a client that obeys Retry-After."""
        row.ended, row.verdict, row.retry_after_ms = self.now(), verdict, retry_after_ms
        self.open_count -= 1
        if verdict == "wrong":
            self.violations["wrong"] += 1
        if verdict != "refused":
            return
        row.told_beyond = retry_after_ms >= self.max_retry_after_ms
        if self.clients.obey and row.number + 1 < self.clients.tries and retry_after_ms:
            limiter = row.limiter
            if len(self.pools) > 1 and self.random.random() < self.clients.stray:
                limiter = self.random.randrange(len(self.pools))
            due = row.ended + retry_after_ms + self.random.uniform(0.0, self.clients.jitter_ms)
            retry = replace(
                row, limiter=limiter, number=row.number + 1, due=due, at=-1.0, ended=-1.0, verdict="",
                retry_after_ms=0.0, server="",
            )  # fmt: skip
            self.reactor.callLater(max(0.0, due - self.now()) / 1000.0, self._send, retry)

    def _report(self) -> None:
        progress = {"at": round(self.now()), "sent": len(self.rows), "open": self.open_count}
        print(orjson.dumps(progress).decode(), flush=True)
        self.reactor.callLater(REPORT_INTERVAL_S, self._report)

    def finish(self) -> None:
        """Write the rows and the final report.

        A request without an answer counts as unanswered only after its deadline and the grace period."""
        write_rows(self.out, self.rows)
        unanswered = sum(
            not row.verdict and self.now() > row.due + self.kinds[row.kind]["hard-limit-ms"] + ANSWER_GRACE_MS
            for row in self.rows
        )
        delays_ms = sorted(row.at - row.due for row in self.rows)
        report = {
            "done": True, "tries": len(self.rows), "unanswered": unanswered, **self.violations,
            "late_p99_ms": round(delays_ms[int(0.99 * (len(delays_ms) - 1))], 2) if delays_ms else 0.0,
        }  # fmt: skip
        print(orjson.dumps(report).decode(), flush=True)
        self.reactor.stop()


def main() -> int:
    """Run one load."""
    from twisted.internet import reactor

    options = orjson.loads(sys.stdin.buffer.read())
    any_reactor: Any = reactor
    any_reactor.callWhenRunning(Load(any_reactor, options).start)
    any_reactor.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
