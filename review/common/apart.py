"""Deck servers in a process of their own, so that the work of the clients does not delay their clocks."""

from __future__ import annotations

import asyncio
import multiprocessing
import signal
import time

from stand_ins import CouldNotRunError, DeckServer, Record

_context = multiprocessing.get_context("fork")


class TimedServer(DeckServer):
    """Notes when the first byte of each command came (s, monotonic clock: the same in all processes)."""

    began: dict[str, float] = {}  # noqa: RUF012

    async def serve(self, reader, writer) -> None:
        feed = reader.feed_data
        message = b""

        def feed_and_note(data: bytes) -> None:
            # A limiter has one command at a time on a connection: a piece that begins with '*' begins one.
            nonlocal message
            now = time.monotonic()
            message = data if data[:1] == b"*" else b""
            parts = message.split(b"\r\n", 8)
            if len(parts) > 6 and parts[2].upper().startswith(b"CALL."):
                self.began.setdefault(parts[6].decode(), now)
            feed(data)

        reader.feed_data = feed_and_note
        await super().serve(reader, writer)


def _serve(pipe, count: int, work_ms: tuple[float, float]) -> None:
    lag = 0.0
    signal.set_wakeup_fd(-1)  # the parent's, inherited by the fork
    signal.signal(signal.SIGTERM, signal.SIG_DFL)
    signal.signal(signal.SIGINT, signal.SIG_IGN)

    async def watch_own_lag() -> None:
        nonlocal lag
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.005)
            lag = max(lag, time.monotonic() - before - 0.005)

    async def main() -> None:
        servers = [TimedServer(lambda *words: None, f"s-{n}", work_ms=work_ms) for n in range(count)]
        for server in servers:
            await server.start()
        watch = asyncio.create_task(watch_own_lag())
        pipe.send([server.port for server in servers])
        while not pipe.poll():
            await asyncio.sleep(0.02)
        watch.cancel()
        pipe.send((TimedServer.began, lag))

    asyncio.run(main())


class ServersApart:
    """A number of deck servers in a process of their own."""

    def __init__(self, record: Record, count: int, work_ms: tuple[float, float]) -> None:
        self.pipe, theirs = _context.Pipe()
        self.process = _context.Process(target=_serve, args=(theirs, count, work_ms), daemon=True)
        self.process.start()
        record("deck servers in process", self.process.pid)
        self.servers = []
        for number, port in enumerate(self.receive()):
            server = DeckServer(record, f"s-{number}")
            server.port = port
            self.servers.append(server)

    def receive(self):
        if not self.pipe.poll(10):
            raise CouldNotRunError("the process of the deck servers does not answer")
        return self.pipe.recv()

    def stop(self) -> tuple[dict[str, float], float]:
        """End the process; return when each attempt began (s), and how late the process ever was (s)."""
        self.pipe.send("stop")
        result = self.receive()
        self.process.join(5)
        return result

    def kill(self) -> None:
        if self.process.is_alive():
            self.process.kill()
        self.process.join(5)
