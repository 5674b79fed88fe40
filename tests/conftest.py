"""Puts the tests' own helpers and the sources on the path."""

import sys
from pathlib import Path

sys.path[:0] = [str(Path(__file__).parent), str(Path(__file__).parent.parent)]

pytest_plugins = ["processes", "known_red"]
