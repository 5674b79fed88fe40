"""The example in the README runs and prints the documented output."""

import re
from pathlib import Path

import pytest

README = (Path(__file__).parent.parent / "README.md").read_text()


def test_readme_example_prints_the_documented_output(capsys: pytest.CaptureFixture[str]) -> None:
    [code] = re.findall(r"```python\n(.*?)```", README, re.DOTALL)
    [documented_output] = re.findall(r"print\(send.*\)  # (.*)", code)
    exec(compile(code, "README.md", "exec"), {})
    assert capsys.readouterr().out.strip() == documented_output
