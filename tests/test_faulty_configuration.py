"""Faults of the configuration that a `ConfigError` has to name.

By it the daemon ends with status 2 at a start, and keeps the old configuration on SIGHUP.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from processes import SETTINGS

from scalelb.program.config import ConfigError, read_admission_queue, read_config, read_fronts, read_settings


def read_dcs_that_is_a_number(folder: Path) -> None:
    told: dict[str, Any] = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "counter": "127.0.0.1:2"}
    path = folder / "config.json"
    path.write_text(json.dumps({**told, "settings": {**SETTINGS, "dcs": 7}}))
    read_config({"EDGE_CONFIG": str(path)})


def read_too_many_requests(folder: Path) -> None:
    options = {"door": {"on": True}, "limit": {"most_requests": 2_000_000}}
    read_admission_queue(options, read_settings(SETTINGS), ("basic",))


def read_file_that_is_not_utf8(folder: Path) -> None:
    path = folder / "fronts.toml"
    path.write_bytes(b'name = "\xff"\n')
    read_fronts({"SCALELB_FRONTS": str(path)})


@pytest.mark.parametrize(
    "read", [read_dcs_that_is_a_number, read_too_many_requests, read_file_that_is_not_utf8]
)
def test_fault_is_a_configuration_error(tmp_path: Path, read: Callable[[Path], None]) -> None:
    with pytest.raises(ConfigError):
        read(tmp_path)
