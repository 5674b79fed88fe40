"""Hostile clients of a limiter, as a process: `python hostile_clients.py PORT KIND COUNT SECONDS [--deaf]`.

Each client writes as fast as the limiter reads; one whose connection ends connects again at once. The kinds
are the keys of `PAYLOADS`. A client of a `FLOODS` kind goes on writing, the others stop after one payload and
stay; one of a `SLOW` kind writes small pieces. With `--deaf` the clients read no answers.
"""

from __future__ import annotations

import itertools
import selectors
import socket
import sys
import time
from collections.abc import Callable

MAX_READ_BYTES = 1 << 18
BODY = b"x" * 65_536
IDS = itertools.count(time.monotonic_ns() << 8)


def command(*parts: bytes) -> bytes:
    return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)


def request(tenant: int, body: bytes | None = None, class_name: bytes = b"fetch-cards") -> bytes:
    """Return a request of the class of `processes.SETTINGS`, with an id of its own."""
    values = b"c=%s,t=basic,d=7000,units=1,spread=1,first=0" % class_name
    parts = [b"CALL.GET", b"%016x" % tenant, b"%016x" % (next(IDS) % (1 << 64)), values]
    return command(*parts, *([body] if body is not None else []))


def new_tenant() -> int:
    return next(IDS) % (1 << 32)


PAYLOADS: dict[str, Callable[[], bytes]] = {
    "half-command": lambda: request(1, BODY)[:40_000],
    "slow-command": lambda: request(1, BODY),
    "almost-whole-command": lambda: request(1, BODY)[:-10],
    "short-fields": lambda: b"*140005\r\n" + b"$1\r\na\r\n" * 9000,
    "short-values": lambda: command(b"CALL.GET", b"0" * 16, b"1" * 16, b"a=1," * 250) * 60,
    "large-requests": lambda: b"".join(request(new_tenant(), body) for body in [BODY[:60_000]] * 4),
    "ping": lambda: command(b"PING") * 4000,
    "unknown-command": lambda: command(b"FOO") * 4000,
    "one-tenant": lambda: b"".join(request(7) for _ in range(400)),
    "new-tenants": lambda: b"".join(request(new_tenant()) for _ in range(400)),
    "malformed": lambda: b"nonsense\r\n" * 100,
    "unknown-class": lambda: request(1, class_name=b"other"),
}
SLOW = {"slow-command"}
PIECE_BYTES, PIECE_INTERVAL_S = 300, 0.01  # 64 KiB take as long as a client may write on a command
FLOODS = {"large-requests", "ping", "unknown-command", "one-tenant", "new-tenants"}


class Client:
    """One connection and what is still to be written on it."""

    def __init__(self, port: int, kind: str) -> None:
        self.rest = PAYLOADS[kind]()
        self.writes_at = 0.0  # not before
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(("127.0.0.1", port))


class Crowd:
    """All clients of one kind."""

    def __init__(self, port: int, kind: str, count: int, is_deaf: bool) -> None:
        self.port, self.kind, self.is_deaf = port, kind, is_deaf
        self.selector = selectors.DefaultSelector()
        for _ in range(count):
            self.connect()

    def connect(self) -> None:
        client = Client(self.port, self.kind)
        wanted = selectors.EVENT_WRITE | (0 if self.is_deaf else selectors.EVENT_READ)
        self.selector.register(client.socket, wanted, client)

    def run(self, seconds: float) -> None:
        end_at = time.monotonic() + seconds
        while time.monotonic() < end_at:
            for key, events in self.selector.select(0.01):
                try:
                    self.step(key.data, events)
                except BlockingIOError:
                    continue
                except OSError:
                    self.selector.unregister(key.data.socket)
                    key.data.socket.close()
                    self.connect()

    def step(self, client: Client, events: int) -> None:
        if events & selectors.EVENT_READ and not client.socket.recv(MAX_READ_BYTES):
            raise ConnectionResetError
        if not events & selectors.EVENT_WRITE:
            return
        if not client.rest and self.kind not in FLOODS:
            self.selector.modify(client.socket, selectors.EVENT_READ, client)
            return
        client.rest = client.rest or PAYLOADS[self.kind]()
        if self.kind not in SLOW:
            client.rest = client.rest[client.socket.send(client.rest) :]
        elif (now := time.monotonic()) >= client.writes_at:
            client.rest = client.rest[client.socket.send(client.rest[:PIECE_BYTES]) :]
            client.writes_at = now + PIECE_INTERVAL_S


if __name__ == "__main__":
    port, kind, count, seconds = sys.argv[1:5]
    Crowd(int(port), kind, int(count), "--deaf" in sys.argv).run(float(seconds))
