"""Invalid configurations have to raise `ConfigError`, not another exception.

On `ConfigError` the daemon exits with status 2 at the start, and keeps the old configuration on SIGHUP.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from processes import SETTINGS

from scalelb.program.config import ConfigError, read_admission_queue, read_config, read_fronts, read_settings


def read_numeric_dcs(folder: Path) -> None:
    addresses: dict[str, Any] = {
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "counter": "127.0.0.1:2",
    }
    path = folder / "config.json"
    path.write_text(json.dumps({**addresses, "settings": {**SETTINGS, "dcs": 7}}))
    read_config({"EDGE_CONFIG": str(path)})


def read_too_large_request_limit(folder: Path) -> None:
    options = {"door": {"on": True}, "limit": {"most_requests": 2_000_000}}
    read_admission_queue(options, read_settings(SETTINGS), ("basic",))


def read_file_with_invalid_utf8(folder: Path) -> None:
    path = folder / "fronts.toml"
    path.write_bytes(b'name = "\xff"\n')
    read_fronts({"SCALELB_FRONTS": str(path)})


@pytest.mark.parametrize(
    "read", [read_numeric_dcs, read_too_large_request_limit, read_file_with_invalid_utf8]
)
def test_invalid_configuration_raises_config_error(tmp_path: Path, read: Callable[[Path], None]) -> None:
    with pytest.raises(ConfigError):
        read(tmp_path)
