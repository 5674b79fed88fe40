"""`KNOWN-RED.txt` passes over what it names, and over nothing else: runs of pytest on a tree of their own."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

SUITE = """
import pytest
def test_red(): assert not "mended"
@pytest.mark.parametrize("n", [1, 2])
def test_both(n): assert not n
def test_green(): pass
def test_other(): assert not "known"
"""
RED, BOTH = "tests/test_some.py::test_red | the cause | issue 29", "tests/test_some.py::test_both | why | 29"


def play(root: Path, *lines: str, but: str = "not other") -> subprocess.CompletedProcess[str]:
    (root / "tests").mkdir()
    shutil.copy(Path(__file__).with_name("known_red.py"), root / "tests")
    (root / "tests" / "conftest.py").write_text('import known_red\npytest_plugins = ["known_red"]\n')
    (root / "tests" / "test_some.py").write_text(SUITE)
    (root / "pytest.ini").write_text("[pytest]\ntestpaths = tests\npythonpath = tests\n")
    (root / "KNOWN-RED.txt").write_text("\n".join(lines))
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "-k", but]
    return subprocess.run(command, cwd=root, capture_output=True, text=True, timeout=120)


def test_what_it_names_is_passed_over_and_printed(tmp_path: Path) -> None:
    run = play(tmp_path, RED, BOTH)
    assert run.returncode == 0, run.stdout
    assert "1 passed, 1 deselected, 3 xfailed" in run.stdout
    assert "known red: tests/test_some.py::test_red: the cause (issue 29)" in run.stdout


@pytest.mark.parametrize(
    ("lines", "said"),
    [
        ([RED, BOTH, RED, BOTH], "4 lines, 3 at most"),
        ([RED, BOTH, "tests/test_some.py::test_gone | a cause | 29"], "there is no test"),
        ([RED, BOTH, "tests/test_some.py::test_other"], "line 3: must be 'test | cause | issue'"),
        ([RED, BOTH, "tests/test_some.py::test_green | mended meanwhile | 29"], "XPASS(strict)"),
        ([RED], "test_both"),
        ([], "test_red"),
    ],
)
def test_everything_else_fails_the_run(tmp_path: Path, lines: list[str], said: str) -> None:
    run = play(tmp_path, *lines)
    assert run.returncode != 0
    assert said in run.stdout + run.stderr
