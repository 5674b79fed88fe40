"""Stores an acceptor's state in SQLite: one row, synced to disk before `save` returns.

A file that can't be read, belongs to another program or fails its checksum is renamed, and the acceptor
starts as one that has lost its state: it must not vote with incomplete promises.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any
from zlib import crc32

import orjson

FORMAT_VERSION = 1
SQLITE_SIDE_FILES = ("-journal", "-wal", "-shm")


class UnusableRegisterError(ValueError):
    """The file belongs to another acceptor, has another format, or fails its checksum; the message says
    which."""


class PolicyRegister:
    """The state file of one acceptor; implements `StateStore` of `scalelb.consensus`."""

    def __init__(self, path: Path, name: str, log: Callable[..., None]) -> None:
        """Open the file, or replace one that can't be used; raises `sqlite3.Error` if that fails.

        The acceptor's `name` is stored in the file, so that another acceptor's file is recognized."""
        self.path = path
        self.name = name
        self.log = log
        try:
            self.connection = self._open()
            self.load()
        except (sqlite3.Error, ValueError) as error:
            self._set_aside(error)
            self.connection = self._open()

    def _open(self) -> sqlite3.Connection:
        connection = sqlite3.connect(self.path, isolation_level=None)
        connection.execute("PRAGMA journal_mode = DELETE")
        # EXTRA also syncs the folder after the journal is unlinked: otherwise a power loss may undo a save.
        connection.execute("PRAGMA synchronous = EXTRA")
        columns = "one INTEGER PRIMARY KEY CHECK (one = 1), name, form, crc, state"
        connection.execute(f"CREATE TABLE IF NOT EXISTS voter ({columns})")
        return connection

    def _set_aside(self, error: Exception) -> None:
        aside = self.path.with_suffix(".aside")
        self.log("register", level="error", what=str(error), aside=str(aside))
        with suppress(OSError):
            self.path.replace(aside)
        for suffix in SQLITE_SIDE_FILES:
            with suppress(OSError):
                Path(f"{self.path}{suffix}").unlink()

    def load(self) -> dict[str, Any] | None:
        """Return the state that was saved last, or None.

        Raises `UnusableRegisterError` for a row that can't be used, `ValueError` for one that is not JSON,
        and `sqlite3.Error`."""
        row = self.connection.execute("SELECT name, form, crc, state FROM voter").fetchone()
        if row is None:
            return None
        name, format_version, checksum, data = row
        if (name, format_version) != (self.name, FORMAT_VERSION):
            raise UnusableRegisterError(
                f"{self.path.name}: written by acceptor {name!r} in format version {format_version!r}"
            )
        if not isinstance(data, bytes) or crc32(data) != checksum:
            raise UnusableRegisterError(f"{self.path.name}: checksum mismatch")
        state: dict[str, Any] = orjson.loads(data)
        return state

    def save(self, state: dict[str, Any]) -> None:
        """Save the state atomically; it is on disk before this returns. Raises `sqlite3.Error`."""
        data = orjson.dumps(state)
        row = (self.name, FORMAT_VERSION, crc32(data), data)
        self.connection.execute("INSERT OR REPLACE INTO voter VALUES (1, ?, ?, ?, ?)", row)

    def close(self) -> None:
        """Close the file."""
        self.connection.close()
