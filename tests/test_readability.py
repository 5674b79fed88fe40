"""`scripts/readability`: what it counts and what it does not count."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

SCRIPT = Path(__file__).parent.parent / "scripts" / "readability"
LONG_BODY = "    pass\n" * 9


def run_script(checkout: Path, *arguments: str) -> str:
    command = [sys.executable, str(SCRIPT), str(checkout), *arguments]
    return subprocess.run(command, capture_output=True, text=True, check=True).stdout


@pytest.fixture
def checkout(tmp_path: Path) -> Path:
    (tmp_path / "scalelb" / "part").mkdir(parents=True)
    (tmp_path / "scalelb" / "part" / "__init__.py").touch()
    return tmp_path


@pytest.mark.parametrize(
    ("column", "source", "count"),
    [
        ("files", "x = 1\n" * 401, 1),
        ("files", "x = 1\n" * 400, 0),
        ("branches", "def f(x):\n" + "    if x: pass\n" * 11, 1),
        ("branches", "def f(x):\n" + "    if x and x: pass\n" * 10, 0),
        ("branches", "def f(x):\n    def g(x):\n" + "        if x: pass\n" * 10 + "    if x: pass\n", 0),
        ("long", "def f():\n" + "    pass\n" * 40, 1),
        ("long", "def f():\n" + "    pass\n" * 39, 0),
        ("tuples", "a, b = 1, 2\n", 1),
        ("tuples", "a, b = b, a\n", 0),
        ("tuples", "a, b = pair()\nfor a, b in pairs: pass\n", 0),
        ("themed", "class FairDoor: pass\n", 1),
        ("themed", "self.fair_doors = 1\nself.fair_doors = 2\n", 1),
        ("themed", "def turned_away(): pass\n", 1),
        ("themed", "outdoors = use(door)\n", 0),
        ("short", "def f(c, at, name):\n" + LONG_BODY, 2),
        ("short", "def f(c):\n    pass\n", 0),
        ("factors", "a = b * (not c)\n", 1),
        ("factors", "a *= b > c\n", 1),
        ("factors", "a = b * (c or d)\n", 0),
        ("stories", "x = 1  # scored 0.4\n", 1),
        ("stories", "# waits for less,\n# as was tried\nx = 1\n", 1),
        ("stories", 'def f():\n    """Retries an attempt."""\n', 0),
    ],
)
def test_column_counts_what_its_definition_says(checkout: Path, column: str, source: str, count: int) -> None:
    (checkout / "scalelb" / "part" / "module.py").write_text(source)
    assert len(run_script(checkout, "--list", column).splitlines()) == count


@pytest.mark.parametrize(
    ("import_line", "count"),
    [("from scalelb.part import one", 1), ("from . import one", 1), ("import os", 0)],
)
def test_modules_that_import_each_other_count_as_one_circle(
    checkout: Path, import_line: str, count: int
) -> None:
    (checkout / "scalelb" / "part" / "one.py").write_text("def f():\n    import scalelb.part.two\n")
    (checkout / "scalelb" / "part" / "two.py").write_text(import_line + "\n")
    assert len(run_script(checkout, "--list", "circles").splitlines()) == count


def test_table_has_a_row_for_each_package_and_skips_generated_files(checkout: Path) -> None:
    (checkout / "scalelb" / "main.py").write_text("a, b = 1, 2\n")
    (checkout / "scalelb" / "part" / "message_pb2.py").write_text("a, b = 1, 2\n")
    rows = run_script(checkout).splitlines()[2:]
    assert rows == [
        "| . | 0 | 0 | 0 | 1 | 0 | 0 | 0 | 0 | 0 |",
        "| part | 0 | 0 | 0 | 0 | 0 | 0 | 0 | 0 | 0 |",
        "| total | 0 | 0 | 0 | 1 | 0 | 0 | 0 | 0 | 0 |",
    ]
