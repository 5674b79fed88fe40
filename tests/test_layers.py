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
    "admission_queue": {"admission_queue"},
    "consensus": {"consensus"},
    "policy": {"admission_queue", "policy"},
    "core": {"admission_queue", "core", "policy"},
    "protocol": {"protocol"},
    "transport": {"core", "policy", "protocol", "transport"},
    "middleware": {"admission_queue", "core", "policy", "protocol", "middleware"},
    "replication": {"replication"},
    "program": {
        "admission_queue", "consensus", "core", "replication", "policy", "protocol", "transport", "program",
    },
    "lab": {
        "admission_queue", "consensus", "core", "replication", "policy", "protocol", "transport", "program",
        "lab",
    },
    "__main__": {"lab"},
    "wirehost": {"policy", "program", "wirehost"},
    "__init__": {"policy"},
}
# fmt: on
FOREIGN = {
    "admission_queue": {"twisted", "socket", "grpc", "httptools", "orjson", "time", "random"},
    "policy": {"twisted", "socket", "grpc", "httptools", "orjson", "time"},
    "core": {"twisted", "socket", "grpc", "httptools", "orjson"},
    "protocol": {"twisted", "socket"},
    "consensus": {"twisted", "socket", "grpc", "httptools", "orjson", "time", "random"},
    "replication": {"twisted", "socket", "grpc", "httptools", "orjson", "time", "random"},
}

# Policy modules that decide without chance: what they decide follows from their arguments alone.
NO_CHANCE = ("concurrency_limit", "counter_contention", "retry_budget", "subsetting")


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


@pytest.mark.parametrize("module", NO_CHANCE)
def test_module_draws_no_random_numbers(module: str) -> None:
    assert "random" not in imported(ROOT / "scalelb" / "policy" / f"{module}.py")


def test_the_program_does_without_the_extras_until_they_are_configured() -> None:
    extras = (
        "grpc google.protobuf starlette numpy pyarrow click scalelb.lab scalelb.replication "
        "scalelb.consensus scalelb.program.peer_connections scalelb.program.peering "
        "scalelb.transport.peerlink asyncio"
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


def test_deploy_file_names_every_decision_module() -> None:
    # The bench warns of a folder there and reads nothing of it.
    named = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    modules = sorted(str(path.relative_to(ROOT)) for path in (ROOT / "scalelb" / "policy").glob("*.py"))
    assert named == modules
