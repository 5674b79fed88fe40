"""A client that reads its answers at a bounded rate."""

from __future__ import annotations

import asyncio
import socket

from rig import HOST, Record

STEP_S = 0.02


class SlowClient:
    """One connection. `received` grows at `rate` bytes a second at most; None: as fast as it can be read."""

    def __init__(
        self, record: Record, name: str, port: int, rate: float | None, buffer_bytes: int = 0
    ) -> None:
        self.record, self.name, self.port, self.rate = record, name, port, rate
        self.buffer_bytes = buffer_bytes  # of the socket's receive buffer; 0: the system's default
        self.received = bytearray()
        self.found: list[bytes] = []  # whole answers
        self.parsed = 0  # bytes of `received` that they take
        self.end = ""  # how the connection ended: "closed", or an error
        self.socket = socket.socket()

    async def connect(self) -> None:
        """Open the connection."""
        self.socket.setblocking(False)
        if self.buffer_bytes:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.buffer_bytes)
        await asyncio.get_running_loop().sock_connect(self.socket, (HOST, self.port))

    async def send(self, data: bytes) -> bool:
        """Send requests; return whether the connection took them."""
        try:
            await asyncio.get_running_loop().sock_sendall(self.socket, data)
        except OSError as error:
            self.record.line(self.name, "cannot send:", error)
            return False
        return True

    async def read(self, until_bytes: int, idle_s: float = 20.0) -> None:
        """Read until so many bytes have come or the connection has ended, in steps of `STEP_S`."""
        loop = asyncio.get_running_loop()
        started_at, before = loop.time(), len(self.received)
        while len(self.received) < until_bytes and not self.end:
            size = 262144
            if self.rate is not None:
                size = int(before + self.rate * (loop.time() - started_at)) - len(self.received)
                if size < 1024:
                    await asyncio.sleep(STEP_S)
                    continue
            try:
                async with asyncio.timeout(idle_s):
                    data = await loop.sock_recv(self.socket, min(size, 262144))
            except (TimeoutError, OSError) as error:
                self.end = f"{type(error).__name__}"
                return
            if not data:
                self.end = "closed"
            self.received += data

    def answers(self) -> tuple[list[bytes], bool]:
        """Return the whole answers (a value, or a line with its type byte), and whether a part follows."""
        data = self.received
        while (line_end := data.find(b"\r\n", self.parsed)) >= 0:
            line, after = bytes(data[self.parsed : line_end]), line_end + 2
            if line[:1] == b"$":
                value_end = after + int(line[1:])
                if len(data) < value_end + 2:
                    break
                line, after = bytes(data[after:value_end]), value_end + 2
            self.found.append(line)
            self.parsed = after
        return self.found, len(data) > self.parsed

    def close(self) -> None:
        """Close the connection."""
        self.socket.close()
