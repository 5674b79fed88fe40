"""Modules stay short enough to be read one at a time."""

from pathlib import Path

import pytest

SOURCES = Path(__file__).parent.parent / "scalelb"
MAX_POLICY_MODULE_LINES = 400  # that are not blank


@pytest.mark.parametrize("path", sorted((SOURCES / "policy").glob("*.py")), ids=lambda path: path.name)
def test_policy_module_keeps_its_budget_of_lines(path: Path) -> None:
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    assert 0 < len(lines) <= MAX_POLICY_MODULE_LINES


def test_lines_are_narrow() -> None:
    for path in set(SOURCES.rglob("*.py")) - set(SOURCES.rglob("*_pb2.py")):
        assert max(len(line) for line in path.read_text().splitlines() or [""]) <= 110, path.name


def test_the_docstring_names_the_events_first() -> None:
    head = (SOURCES / "policy" / "limiter.py").read_text().splitlines()[0]
    assert "scalelb/policy/events.py" in head
