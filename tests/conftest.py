"""Adds the test helpers and the sources to the import path, and loads the plugins."""

import sys
from pathlib import Path

sys.path[:0] = [str(Path(__file__).parent), str(Path(__file__).parent.parent)]

pytest_plugins = ["processes", "known_red"]
