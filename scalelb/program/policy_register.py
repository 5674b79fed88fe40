"""A voter's store on SQLite: one row, synced before `save` returns.

A file that can't be read, is another program's, or fails its check is set aside under another name, and the
voter starts as one whose store is gone: it must not vote on half of what it promised.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any
from zlib import crc32

import orjson

FORM = 1


class PolicyRegister:
    """The file of one voter."""

    def __init__(self, path: Path, name: str, log: Callable[..., None]) -> None:
        """`name`: the voter's, so that another's file is not taken for its own."""
        self.path, self.name, self.log = path, name, log
        try:
            self.base = self._open()
            self.load()
        except (sqlite3.Error, ValueError) as error:
            aside = path.with_suffix(".aside")
            log("register", level="error", what=str(error), aside=str(aside))
            with suppress(OSError):
                path.replace(aside)
            for left in ("-journal", "-wal", "-shm"):
                with suppress(OSError):
                    Path(f"{path}{left}").unlink()
            self.base = self._open()

    def _open(self) -> sqlite3.Connection:
        base = sqlite3.connect(self.path, isolation_level=None)
        base.execute("PRAGMA journal_mode = DELETE")
        base.execute("PRAGMA synchronous = EXTRA")  # the folder's entry of the journal too
        columns = "one INTEGER PRIMARY KEY CHECK (one = 1), name, form, crc, state"
        base.execute(f"CREATE TABLE IF NOT EXISTS voter ({columns})")
        return base

    def load(self) -> dict[str, Any] | None:
        """What was saved last; None where there is nothing.  Raises ValueError for what can't be."""
        row = self.base.execute("SELECT name, form, crc, state FROM voter").fetchone()
        if row is None:
            return None
        name, form, crc, state = row
        if (name, form) != (self.name, FORM):
            raise ValueError(f"{self.path.name}: of voter {name!r} and form {form!r}")
        if not isinstance(state, bytes) or crc32(state) != crc:
            raise ValueError(f"{self.path.name}: fails its check")
        told: dict[str, Any] = orjson.loads(state)
        return told

    def save(self, state: dict[str, Any]) -> None:
        """Keep it: on the disk before this returns, whole or not at all."""
        data = orjson.dumps(state)
        row = (self.name, FORM, crc32(data), data)
        self.base.execute("INSERT OR REPLACE INTO voter VALUES (1, ?, ?, ?, ?)", row)

    def close(self) -> None:
        """No more is saved."""
        self.base.close()
