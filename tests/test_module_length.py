"""Limits on the length of modules and lines, so that each module can be read in one go."""

from pathlib import Path

import pytest

SOURCES = Path(__file__).parent.parent / "scalelb"
MAX_POLICY_MODULE_LINES = 400  # without blank lines


@pytest.mark.parametrize("path", sorted((SOURCES / "policy").glob("*.py")), ids=lambda path: path.name)
def test_policy_module_does_not_exceed_its_maximum_length(path: Path) -> None:
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    assert 0 < len(lines) <= MAX_POLICY_MODULE_LINES


def test_lines_do_not_exceed_110_characters() -> None:
    for path in set(SOURCES.rglob("*.py")) - set(SOURCES.rglob("*_pb2.py")):
        assert max(len(line) for line in path.read_text().splitlines() or [""]) <= 110, path.name


def test_first_line_of_the_limiter_module_names_the_events_module() -> None:
    first_line = (SOURCES / "policy" / "limiter.py").read_text().splitlines()[0]
    assert "scalelb/policy/events.py" in first_line
