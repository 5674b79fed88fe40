"""The program as it is run, a subprocess among stand-ins on loopback, each at a port of its own choosing."""

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
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

import pytest
from test_wirehost import OPTIONS

ROOT = Path(__file__).parent.parent
PATIENCE = 60.0  # for what must come in the end; nothing is judged by how soon
SETTINGS: dict[str, Any] = json.loads(json.dumps(OPTIONS))
SETTINGS["classes"][0] |= {"name": "fetch-cards", "aim-ms": 30_000.0, "hard-limit-ms": 60_000.0}
SETTINGS["tariffs"][0] |= {"name": "basic"}
SETTINGS["extra"] |= {"shared-counter": False}


class Backend(threading.Thread):
    """A deck server: answers each command once it may."""

    def __init__(self) -> None:
        super().__init__(daemon=True)
        self.server = socket.create_server(("127.0.0.1", 0))
        self.usage = b""  # figures on use that its answers carry
        self.may, self.came = threading.Event(), threading.Event()
        self.may.set()
        self.start()

    def run(self) -> None:
        while True:
            connection, _ = self.server.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection: socket.socket) -> None:
        with suppress(OSError):  # the limiter may be killed at any step
            while connection.recv(65536):
                self.came.set()
                self.may.wait(PATIENCE)
                usage = b"$%d\r\n%s\r\n" % (len(self.usage), self.usage) if self.usage else b"$-1\r\n"
                connection.sendall(b"*3\r\n$2\r\nok\r\n" + usage + b"$-1\r\n")


class Peer:
    """A peer whose every step the test takes; `held`: connections to it stay under way until it accepts."""

    def __init__(self, held: bool = False) -> None:
        self.server = socket.create_server(("127.0.0.1", 0), backlog=0 if held else 128)
        self.server.settimeout(PATIENCE)
        self.port: int = self.server.getsockname()[1]
        self.filler = socket.create_connection(("127.0.0.1", self.port)) if held else None

    def dialled(self) -> None:
        """Wait until a connection to it is under way: its first packet is out, and nobody answers."""
        for _ in eventually():
            if "02" in states(self.port, theirs=True):
                return

    def accept(self) -> socket.socket:
        """The next connection that is not the one which kept others out."""
        if self.filler is not None:
            self.server.accept()[0].close()
            self.filler.close()
            self.filler = None
        connection, _ = self.server.accept()
        connection.settimeout(PATIENCE)
        return connection


def states(port: int, theirs: bool = False) -> list[str]:
    """What the kernel says of all connections at a port of ours, or of `theirs`: 01 open, 02 under way, 08
    ended by the peer."""
    lines = map(str.split, Path("/proc/net/tcp").read_text().splitlines()[1:])
    return [fields[3] for fields in lines if fields[1 + theirs].endswith(f":{port:04X}")]


def eventually() -> Iterator[None]:
    """Look again and again for what must come; nothing is judged by how soon."""
    end = time.monotonic() + PATIENCE
    while time.monotonic() < end:
        yield
        time.sleep(0.005)
    raise AssertionError("it has not come")


def until(connection: socket.socket, what: bytes) -> bytes:
    """All that comes, up to and with this."""
    came = b""
    while what not in came:
        more = connection.recv(65536)
        assert more, f"it ended after {came!r}"
        came += more
    return came


def rest(connection: socket.socket) -> bytes:
    """All that comes up to the peer's end; a reset is no end."""
    came = b""
    while more := connection.recv(65536):
        came += more
    return came


class Director(BaseHTTPRequestHandler):
    """The director: one list, and watches that are held for as long as the test runs."""

    protocol_version = "HTTP/1.1"
    entries: tuple[dict[str, Any], ...] = ()

    def do_GET(self) -> None:
        if "from=" in self.path:
            threading.Event().wait(PATIENCE)
        body = json.dumps({"generation": 3, "reset": True, "instances": self.entries}).encode()
        with suppress(OSError):
            self.send_response(200)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

    def log_message(self, *_: Any) -> None: ...


class Limiter:
    """The program, its log and its port."""

    def __init__(
        self,
        folder: Path,
        director: int,
        heir: socket.socket | None = None,
        admin: str = "",
        settings: dict[str, Any] | None = None,
        known: tuple[dict[str, Any], ...] = (),
        sockets: int = 0,
        **fronts: str,
    ) -> None:
        config = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{director}",
            "seed": "1",
            "settings": settings or SETTINGS,
        }
        if known:
            config["known"] = {"generation": 2, "reset": True, "instances": known}
        if sockets:
            config["limits"] = {"sockets": sockets}
        (folder / "config.json").write_text(json.dumps(config))
        doors = [f'[{name}]\nlisten = "{at}"\n' for name, at in fronts.items()]
        (folder / "fronts.toml").write_text("".join(doors))
        environment = {
            **os.environ,
            "EDGE_CONFIG": str(folder / "config.json"),
            "SCALELB_FRONTS": str(folder / "fronts.toml"),
        }
        (folder / "tmp").mkdir(exist_ok=True)
        environment |= {"TMPDIR": str(folder / "tmp"), "EDGE_ADMIN": admin}
        handed = [heir.fileno()] if heir is not None else []
        environment |= {"EDGE_FD": str(handed[0])} if handed else {}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "scalelb.program"],
            stderr=subprocess.PIPE, env=environment, cwd=ROOT, text=True, pass_fds=handed,
        )  # fmt: skip
        if sockets:
            resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (sockets, sockets))
        self.started = self.until("started")

    def until(self, event: str, **told: Any) -> dict[str, Any]:
        """The next line of this event that says so."""
        assert self.process.stderr is not None
        late = threading.Timer(PATIENCE, self.process.kill)  # a line that never comes
        late.start()
        try:
            for line in self.process.stderr:
                said: dict[str, Any] = json.loads(line)
                if said["event"] == event and told.items() <= said.items():
                    return said
        finally:
            late.cancel()
        raise AssertionError(f"the program ended before '{event}'")

    def client(self, port: int | None = None) -> socket.socket:
        return socket.create_connection(("127.0.0.1", port or self.started["port"]), PATIENCE)


@pytest.fixture
def backend() -> Backend:
    return Backend()


@pytest.fixture
def start(tmp_path: Path, backend: Backend) -> Iterator[Callable[..., Limiter]]:
    at = f"127.0.0.1:{backend.server.getsockname()[1]}"
    Director.entries = ({"instanceId": "s0", "hostPort": at, "lifecycle": "ready"},)
    director = ThreadingHTTPServer(("127.0.0.1", 0), Director)
    director.daemon_threads = True
    threading.Thread(target=director.serve_forever, daemon=True).start()
    running: list[Limiter] = []

    def begin(**more: Any) -> Limiter:
        running.append(Limiter(tmp_path, director.server_address[1], **more))
        return running[-1]

    yield begin
    for limiter in running:
        limiter.process.kill()
        limiter.process.communicate()
    director.shutdown()


def wire(text: str) -> bytes:
    return text.replace("\n", "\r\n").encode()
