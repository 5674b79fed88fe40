"""Dependencies between the packages point in one direction.

The layers are, from the top: program, wirehost and middleware; transport; protocol and core; policy."""

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
ALLOWED_PACKAGES = {
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
FORBIDDEN_MODULES = {
    "admission_queue": {"twisted", "socket", "grpc", "httptools", "orjson", "time", "random"},
    "policy": {"twisted", "socket", "grpc", "httptools", "orjson", "time"},
    "core": {"twisted", "socket", "grpc", "httptools", "orjson"},
    "protocol": {"twisted", "socket"},
    "consensus": {"twisted", "socket", "grpc", "httptools", "orjson", "time", "random"},
    "replication": {"twisted", "socket", "grpc", "httptools", "orjson", "time", "random"},
}

# Policy modules whose decisions depend on their arguments alone, without random numbers.
DETERMINISTIC_MODULES = ("concurrency_limit", "counter_contention", "retry_budget", "subsetting")


def imported_names(path: Path) -> set[str]:
    """Return the dotted names that a module imports."""
    imported = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            imported |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            imported |= {f"{node.module}.{alias.name}" for alias in node.names}
    return imported


@pytest.mark.parametrize("path", SOURCES, ids=lambda p: str(p.relative_to(ROOT)))
def test_module_imports_only_from_allowed_packages(path: Path) -> None:
    layer = path.relative_to(ROOT / "scalelb").parts[0].removesuffix(".py")
    assert layer in ALLOWED_PACKAGES, f"{layer} is not a layer"
    for name in imported_names(path):
        parts = name.split(".")
        if parts[0] == "scalelb":
            assert len(parts) > 1, name
            assert parts[1] in ALLOWED_PACKAGES[layer] | {"Limiter"}, name
        assert parts[0] not in FORBIDDEN_MODULES.get(layer, set()), name


@pytest.mark.parametrize("module", DETERMINISTIC_MODULES)
def test_module_draws_no_random_numbers(module: str) -> None:
    assert "random" not in imported_names(ROOT / "scalelb" / "policy" / f"{module}.py")


def test_program_does_not_import_optional_modules_unless_configured() -> None:
    optional_modules = (
        "grpc google.protobuf starlette numpy pyarrow click scalelb.lab scalelb.replication "
        "scalelb.consensus scalelb.program.peer_connections scalelb.program.peering "
        "scalelb.transport.peerlink asyncio"
    )
    code = (
        "import sys, scalelb.program.__main__, scalelb.wirehost\n"
        f"print([m for m in {optional_modules.split()} if m in sys.modules])"
    )
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT)
    assert result.stdout.strip() in ("[]", "['asyncio']"), result.stdout + result.stderr


def test_pyproject_lists_every_package() -> None:
    # The wheel once lacked two packages that the decision module and the program import.
    listed = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["setuptools"]["packages"]
    packages = {".".join(path.parent.relative_to(ROOT).parts) for path in SOURCES}
    assert sorted(listed) == sorted(packages)


def test_deploy_file_names_every_decision_module() -> None:
    # If a directory is named instead, the bench warns and reads nothing from it.
    named = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    modules = sorted(str(path.relative_to(ROOT)) for path in (ROOT / "scalelb" / "policy").glob("*.py"))
    assert named == modules
