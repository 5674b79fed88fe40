"""Runs the daemon as a subprocess among stand-ins on loopback; each listens on a free port."""

from __future__ import annotations

import json
import os
import resource
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

import pytest
from test_wirehost import OPTIONS

ROOT = Path(__file__).parent.parent
TIMEOUT_S = 60.0  # For what must happen eventually; no test judges how soon it happens.
SETTINGS: dict[str, Any] = json.loads(json.dumps(OPTIONS))
SETTINGS["classes"][0] |= {"name": "fetch-cards", "aim-ms": 30_000.0, "hard-limit-ms": 60_000.0}
SETTINGS["tariffs"][0] |= {"name": "basic"}
SETTINGS["extra"] |= {"shared-counter": False}


class Backend(threading.Thread):
    """A backend that answers each command once `may_answer` is set, and records the ids of its requests."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.server = socket.create_server(("127.0.0.1", 0))
        self.usage = b""  # usage figures in its answers
        self.value = b"ok"
        self.request_ids: list[bytes] = []
        self.may_answer, self.request_received = threading.Event(), threading.Event()
        self.may_answer.set()
        self.start()

    def run(self) -> None:
        while True:
            connection, _ = self.server.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection: socket.socket) -> None:
        with suppress(OSError):  # The limiter may be killed at any time.
            while data := connection.recv(65536):
                self.request_ids += data.split(b"\r\n", 7)[6:7]
                self.request_received.set()
                self.may_answer.wait(TIMEOUT_S)
                usage = b"$%d\r\n%s\r\n" % (len(self.usage), self.usage) if self.usage else b"$-1\r\n"
                value = b"$%d\r\n%s\r\n" % (len(self.value), self.value)
                connection.sendall(b"*3\r\n" + value + usage + b"$-1\r\n")


class Peer:
    """A server whose every step the test controls.

    With `has_full_backlog`, connections to it stay pending until it accepts."""

    def __init__(self, has_full_backlog: bool = False) -> None:
        self.server = socket.create_server(("127.0.0.1", 0), backlog=0 if has_full_backlog else 128)
        self.server.settimeout(TIMEOUT_S)
        self.port: int = self.server.getsockname()[1]
        self.filler = socket.create_connection(("127.0.0.1", self.port)) if has_full_backlog else None

    def wait_until_dialled(self) -> None:
        """Wait until a connection to it is pending: its SYN is sent and not answered."""
        for _ in eventually():
            if "02" in tcp_states(self.port, is_remote=True):
                return

    def accept(self) -> socket.socket:
        """Accept the next connection, after the one that filled the backlog."""
        if self.filler is not None:
            self.server.accept()[0].close()
            self.filler.close()
            self.filler = None
        connection, _ = self.server.accept()
        connection.settimeout(TIMEOUT_S)
        return connection


def tcp_states(port: int, is_remote: bool = False) -> list[str]:
    """Return the kernel's states of all connections at a local port, or at a remote one.

    01 is ESTABLISHED, 02 SYN_SENT and 08 CLOSE_WAIT, that is, closed by the peer."""
    lines = map(str.split, Path("/proc/net/tcp").read_text().splitlines()[1:])
    return [fields[3] for fields in lines if fields[1 + is_remote].endswith(f":{port:04X}")]


def eventually() -> Iterator[None]:
    """Yield until a condition that the loop checks holds; fail after `TIMEOUT_S`."""
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        yield
        time.sleep(0.005)
    raise AssertionError("the condition did not hold in time")


def read_until(connection: socket.socket, marker: bytes) -> bytes:
    """Read until the received bytes contain `marker`, and return them."""
    received = b""
    while marker not in received:
        data = connection.recv(65536)
        assert data, f"the connection ended after {received!r}"
        received += data
    return received


def read_to_end(connection: socket.socket) -> bytes:
    """Read until the peer closes the connection; a reset raises `ConnectionResetError`."""
    received = b""
    while data := connection.recv(65536):
        received += data
    return received


class DiscoveryHandler(BaseHTTPRequestHandler):
    """A discovery service with one endpoint list; its watches stay open for as long as the test runs."""

    protocol_version = "HTTP/1.1"
    entries: tuple[dict[str, Any], ...] = ()

    def do_GET(self) -> None:
        if "from=" in self.path:
            threading.Event().wait(TIMEOUT_S)
        body = json.dumps({"generation": 3, "reset": True, "instances": self.entries}).encode()
        with suppress(OSError):
            self.send_response(200)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

    def log_message(self, *_: Any) -> None: ...


@dataclass(frozen=True)
class ProcessLimits:
    """The limits of a daemon's process, as in its configuration."""

    sockets: int = 1024
    memory_mb: int = 192


class LimiterProcess:
    """The daemon as a process, with its log and its port."""

    def __init__(
        self,
        folder: Path,
        discovery_port: int,
        inherited_socket: socket.socket | None = None,
        admin: str = "",
        settings: dict[str, Any] | None = None,
        known: tuple[dict[str, Any], ...] = (),
        limits: ProcessLimits | None = None,
        **fronts: str,
    ) -> None:
        config = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{discovery_port}",
            "seed": "1",
            "settings": settings or SETTINGS,
        }
        if known:
            config["known"] = {"generation": 2, "reset": True, "instances": known}
        if limits is not None:
            config["limits"] = {"sockets": limits.sockets, "memory_mb": limits.memory_mb}
        (folder / "config.json").write_text(json.dumps(config))
        sections = [f'[{name}]\nlisten = "{address}"\n' for name, address in fronts.items()]
        (folder / "fronts.toml").write_text("".join(sections))
        environment = {
            **os.environ,
            "EDGE_CONFIG": str(folder / "config.json"),
            "SCALELB_FRONTS": str(folder / "fronts.toml"),
        }
        (folder / "tmp").mkdir(exist_ok=True)
        environment |= {"TMPDIR": str(folder / "tmp"), "EDGE_ADMIN": admin}
        inherited_descriptors = [inherited_socket.fileno()] if inherited_socket is not None else []
        environment |= {"EDGE_FD": str(inherited_descriptors[0])} if inherited_descriptors else {}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "scalelb.program"],
            stderr=subprocess.PIPE, env=environment, cwd=ROOT, text=True, pass_fds=inherited_descriptors,
        )  # fmt: skip
        if limits is not None:
            resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (limits.sockets, limits.sockets))
        self.started = self.wait_for_event("started")

    def wait_for_event(self, event: str, **expected: Any) -> dict[str, Any]:
        """Read the log up to the next line of this event with the expected fields, and return its fields."""
        assert self.process.stderr is not None
        watchdog = threading.Timer(TIMEOUT_S, self.process.kill)  # Ends the read if the line never arrives.
        watchdog.start()
        try:
            for line in self.process.stderr:
                fields: dict[str, Any] = json.loads(line)
                if fields["event"] == event and expected.items() <= fields.items():
                    return fields
        finally:
            watchdog.cancel()
        raise AssertionError(f"the process ended before it logged '{event}'")

    def memory_mb(self) -> float:
        """Return the most memory that the process has had."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.partition("VmHWM:")[2].split()[0]) / 1024

    def cpu_ms(self) -> float:
        """Return the CPU time that the process has used."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return 1000.0 * (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def connect(self, port: int | None = None) -> socket.socket:
        return socket.create_connection(("127.0.0.1", port or self.started["port"]), TIMEOUT_S)


@pytest.fixture
def backend() -> Backend:
    return Backend()


@pytest.fixture
def start_limiter(tmp_path: Path, backend: Backend) -> Iterator[Callable[..., LimiterProcess]]:
    address = f"127.0.0.1:{backend.server.getsockname()[1]}"
    DiscoveryHandler.entries = ({"instanceId": "s0", "hostPort": address, "lifecycle": "ready"},)
    discovery = ThreadingHTTPServer(("127.0.0.1", 0), DiscoveryHandler)
    discovery.daemon_threads = True
    threading.Thread(target=discovery.serve_forever, daemon=True).start()
    running: list[LimiterProcess] = []

    def start_process(**options: Any) -> LimiterProcess:
        running.append(LimiterProcess(tmp_path, discovery.server_address[1], **options))
        return running[-1]

    yield start_process
    for limiter in running:
        limiter.process.kill()
        limiter.process.communicate()
    discovery.shutdown()


def encode_lines(text: str) -> bytes:
    """Encode a text with CRLF line ends."""
    return text.replace("\n", "\r\n").encode()
