"""Imports point one way: program, wirehost, middleware over transport over protocol and core over policy."""

from __future__ import annotations

import ast
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SOURCES = sorted((ROOT / "scalelb").rglob("*.py"))
# fmt: off
MAY_USE = {
    "fairness": {"fairness"},
    "agreement": {"agreement"},
    "policy": {"fairness", "policy"},
    "core": {"core", "fairness", "policy"},
    "protocol": {"protocol"},
    "transport": {"core", "policy", "protocol", "transport"},
    "middleware": {"core", "fairness", "policy", "protocol", "middleware"},
    "peers": {"peers"},
    "program": {
        "agreement", "core", "fairness", "peers", "policy", "protocol", "transport", "program",
    },
    "lab": {
        "agreement", "core", "fairness", "peers", "policy", "protocol", "transport", "program", "lab",
    },
    "__main__": {"lab"},
    "wirehost": {"policy", "program", "wirehost"},
    "__init__": {"policy"},
}
# fmt: on
FOREIGN = {
    "fairness": {"twisted", "socket", "grpc", "httptools", "orjson", "time", "random"},
    "policy": {"twisted", "socket", "grpc", "httptools", "orjson", "time"},
    "core": {"twisted", "socket", "grpc", "httptools", "orjson"},
    "protocol": {"twisted", "socket"},
    "agreement": {"twisted", "socket", "grpc", "httptools", "orjson", "time", "random"},
    "peers": {"twisted", "socket", "grpc", "httptools", "orjson", "time", "random"},
}


def imported(path: Path) -> set[str]:
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {name.name for name in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            found |= {f"{node.module}.{name.name}" for name in node.names}
    return found


@pytest.mark.parametrize("path", SOURCES, ids=lambda p: str(p.relative_to(ROOT)))
def test_imports_point_one_way(path: Path) -> None:
    layer = path.relative_to(ROOT / "scalelb").parts[0].removesuffix(".py")
    assert layer in MAY_USE, f"{layer} is not a layer"
    for name in imported(path):
        parts = name.split(".")
        if parts[0] == "scalelb":
            assert len(parts) > 1, name
            assert parts[1] in MAY_USE[layer] | {"Limiter"}, name
        assert parts[0] not in FOREIGN.get(layer, set()), name


def test_the_program_does_without_the_extras_until_they_are_configured() -> None:
    extras = (
        "grpc google.protobuf starlette numpy pyarrow click scalelb.lab scalelb.peers scalelb.agreement "
        "scalelb.program.peer_connections scalelb.program.peering scalelb.transport.peerlink asyncio"
    )
    code = (
        "import sys, scalelb.program.__main__, scalelb.wirehost\n"
        f"print([m for m in {extras.split()} if m in sys.modules])"
    )
    run = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT)
    assert run.stdout.strip() in ("[]", "['asyncio']"), run.stdout + run.stderr


def test_every_package_folder_is_listed_for_the_wheel() -> None:
    # Seen: the wheel lacked two packages that the decision module and the program import.
    told = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["setuptools"]["packages"]
    folders = {".".join(path.parent.relative_to(ROOT).parts) for path in SOURCES}
    assert sorted(told) == sorted(folders)
