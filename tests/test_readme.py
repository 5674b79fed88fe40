"""The README's example runs and prints what it says."""

import re
from pathlib import Path

import pytest

README = (Path(__file__).parent.parent / "README.md").read_text()


def test_the_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    [code] = re.findall(r"```python\n(.*?)```", README, re.DOTALL)
    [said] = re.findall(r"print\(send.*\)  # (.*)", code)
    exec(compile(code, "README.md", "exec"), {})
    assert capsys.readouterr().out.strip() == said
