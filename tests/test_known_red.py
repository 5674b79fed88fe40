"""The plugin for known failures: only the tests that `KNOWN-RED.txt` names may fail.

Each test runs pytest on a temporary project."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

TEST_MODULE = """
import pytest
def test_red(): assert not "fixed"
@pytest.mark.parametrize("n", [1, 2])
def test_both(n): assert not n
def test_green(): pass
@pytest.mark.parametrize("n", [0, 1])
def test_at_times(n): assert n
def test_other(): assert not "known"
"""
# Lines of `KNOWN-RED.txt` for tests of this module.
SINGLE = "tests/test_some.py::test_red | pytest -k red, seed 3 | the cause | issue 29"
PARAMETRIZED = "tests/test_some.py::test_both | pytest -k both | why | 29"
INTERMITTENT = "tests/test_some.py::test_at_times | pytest -k times, no seed | at times: a race | 29"


def run_pytest(
    root: Path, *lines: str, selection: str = "not other and not times"
) -> subprocess.CompletedProcess[str]:
    (root / "tests").mkdir()
    shutil.copy(Path(__file__).with_name("known_red.py"), root / "tests")
    (root / "tests" / "conftest.py").write_text('import known_red\npytest_plugins = ["known_red"]\n')
    (root / "tests" / "test_some.py").write_text(TEST_MODULE)
    (root / "pytest.ini").write_text("[pytest]\ntestpaths = tests\npythonpath = tests\n")
    (root / "KNOWN-RED.txt").write_text("\n".join(lines))
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "-k", selection]
    return subprocess.run(command, cwd=root, capture_output=True, text=True, timeout=120)


def test_known_failures_do_not_fail_the_run_and_are_printed(tmp_path: Path) -> None:
    result = run_pytest(tmp_path, SINGLE, PARAMETRIZED)
    assert result.returncode == 0, result.stdout
    assert "1 passed, 3 deselected, 3 xfailed" in result.stdout
    assert "known red: tests/test_some.py::test_red: the cause (issue 29)" in result.stdout


def test_intermittent_failure_does_not_fail_the_run_and_its_results_are_printed(tmp_path: Path) -> None:
    result = run_pytest(tmp_path, SINGLE, PARAMETRIZED, INTERMITTENT, selection="not other")
    assert result.returncode == 0, result.stdout
    assert "1 passed, 1 deselected, 4 xfailed, 1 xpassed" in result.stdout
    assert "at times: a race (29); this time 1 failed, 1 passed" in result.stdout


def test_list_may_have_any_number_of_lines(tmp_path: Path) -> None:
    cases = [f"tests/test_some.py::test_both[{number}] | pytest -k both | why | 29" for number in (1, 2)]
    result = run_pytest(tmp_path, SINGLE, *cases, INTERMITTENT, selection="not other")
    assert result.returncode == 0, result.stdout


@pytest.mark.parametrize(
    ("lines", "message"),
    [
        (
            [SINGLE, PARAMETRIZED, "tests/test_some.py::test_missing | pytest | a cause | 29"],
            "there is no test",
        ),
        (
            [SINGLE, PARAMETRIZED, "tests/test_some.py::test_other"],
            "line 3: must be 'test | command and seed | what",
        ),
        (
            [SINGLE, PARAMETRIZED, "tests/test_some.py::test_other | cause | 29"],
            "line 3: must be 'test | command and",
        ),
        (
            [SINGLE, PARAMETRIZED, "tests/test_some.py::test_other | pytest |  | 29"],
            "line 3: must be 'test | command",
        ),
        ([SINGLE, PARAMETRIZED, "tests/test_some.py::test_green | pytest | fixed | 29"], "XPASS(strict)"),
        (
            [SINGLE, PARAMETRIZED, "tests/test_some.py::test_green | pytest | seen at times: x | 29"],
            "XPASS(strict)",
        ),
        ([SINGLE], "test_both"),
        ([], "test_red"),
    ],
)
def test_other_failures_and_faulty_lines_fail_the_run(tmp_path: Path, lines: list[str], message: str) -> None:
    result = run_pytest(tmp_path, *lines)
    assert result.returncode != 0
    assert message in result.stdout + result.stderr
