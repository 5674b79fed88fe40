"""Coordinates the incarnations of one limiter through files in `$TMPDIR`, so that one can succeed another.

Each incarnation has a number, one more than the last, and locks `life-N` while it runs. The kernel releases
the lock when the process ends, so neither a killed incarnation nor a file of another program counts as
running. Each file is written atomically (by a rename) by one incarnation only, and the others validate it
like untrusted input:

    life-N      locked while incarnation N runs
    ready-N     incarnation N can serve
    left-N      the handover of incarnation N, which no longer accepts requests
    bans-N      the manual overrides that incarnation N knows

No operation blocks: a file that does not exist yet is reported as missing.
"""

from __future__ import annotations

import fcntl
import os
import re
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

from scalelb.core.endpoint_overrides import MAX_NAME_LENGTH, MAX_OVERRIDES, Override

FOLDER_NAME = "scalelb"
RUNNING_FILE = "life"
READY_FILE = "ready"
HANDOVER_FILE = "left"
OVERRIDES_FILE = "bans"
FILE_NAME = re.compile(r"(life|ready|left|bans)-([0-9]{1,9})")
FORMAT_VERSION = 1  # Files of other versions are not read.
MAX_FILE_BYTES = 8 * 1024 * 1024  # A longer file was not written by a limiter.
MAX_READ_OVERRIDES = 2 * MAX_OVERRIDES  # Entries that are read from one file.
MAX_TIME_MS = 1e15  # Later times in a file are invalid.
NUMBER_LIMIT = 10**9  # Numbers have at most nine digits.
MAX_NUMBER_ATTEMPTS = 100  # Concurrent starts may take this many numbers first.

Log = Callable[..., None]


class Incarnation:
    """One incarnation of a limiter among the others. `folder` is an existing directory that they share."""

    def __init__(self, folder: str, log: Log) -> None:
        self.folder = Path(folder) / FOLDER_NAME
        self.log = log
        self.number = 0  # 0: the folder can't be used, so this incarnation runs without the others
        self.predecessor = 0  # the previous incarnation, if it was running when this one started; 0: none
        self.lock_descriptor = -1
        self.read_versions: dict[str, tuple[int, int]] = {}  # mtime (ns) and inode of each file that was read

    def register(self) -> None:
        """Take a number and look for a predecessor.

        A folder that can't be used is logged, but raises no error: the limiter starts without it."""
        try:
            self.folder.mkdir(exist_ok=True)
            self._take_number()
            earlier = [number for number in self._numbers(RUNNING_FILE) if number < self.number]
            running = [number for number in earlier if self.is_running(number)]
        except OSError as error:
            self.log("succession", level="warning", what=f"runs without predecessor or successor: {error}")
            self.number = 0
            return
        self.predecessor = max(running, default=0)
        self.log("succession", life=self.number, before=self.predecessor)

    def _take_number(self) -> None:
        """Take the next free number; raises `OSError` if none is free.

        The file is locked before it gets its name: otherwise another incarnation could find it without a lock
        and conclude that this one has ended."""
        temporary = self._temporary_path()
        self.lock_descriptor = os.open(temporary, os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.lock_descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            first = max(self._numbers(RUNNING_FILE), default=0) + 1
            for number in range(first, min(first + MAX_NUMBER_ATTEMPTS, NUMBER_LIMIT)):
                try:
                    os.link(temporary, self._path(RUNNING_FILE, number))
                except FileExistsError:
                    continue
                # Files with this number are left from an earlier use of it.
                for kind in (READY_FILE, HANDOVER_FILE, OVERRIDES_FILE):
                    self._path(kind, number).unlink(missing_ok=True)
                self.number = number
                return
            raise OSError("no number is free")
        finally:
            os.unlink(temporary)

    def _path(self, kind: str, number: int) -> Path:
        return self.folder / f"{kind}-{number}"

    def _temporary_path(self) -> Path:
        return self.folder / f"new-{os.getpid()}"

    def _numbers(self, kind: str) -> list[int]:
        """Return the incarnations that have a file of this kind, lowest first. Raises `OSError`."""
        matches = [FILE_NAME.fullmatch(name) for name in os.listdir(self.folder)]
        return sorted(int(match[2]) for match in matches if match is not None and match[1] == kind)

    def is_running(self, number: int) -> bool:
        """Whether the incarnation with this number is running."""
        try:
            descriptor = os.open(self._path(RUNNING_FILE, number), os.O_RDWR | os.O_CLOEXEC)
        except OSError:
            return False
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            return True
        finally:
            os.close(descriptor)
        return False

    def predecessor_is_running(self) -> bool:
        """Whether the predecessor is still running."""
        return self.is_running(self.predecessor)

    def remove_stale_files(self) -> None:
        """Remove the files of incarnations that have ended. Call it after reading their overrides."""
        if not self.number:
            return
        try:
            for name in os.listdir(self.folder):
                match = FILE_NAME.fullmatch(name)
                if match is None:
                    continue
                number = int(match[2])
                if number < self.number and not self.is_running(number):
                    (self.folder / name).unlink(missing_ok=True)
        except OSError as error:
            self.log("succession", level="warning", what=str(error))

    # Files that this incarnation writes

    def announce_ready(self) -> None:
        """Announce that this incarnation can serve."""
        self._write(READY_FILE, {})

    def hand_over(self, handover: dict[str, Any]) -> None:
        """Write the handover for the successor; this incarnation no longer accepts requests."""
        self._write(HANDOVER_FILE, handover)

    def publish_overrides(self, overrides: dict[str, Override]) -> bool:
        """Write the overrides that this incarnation knows; return False if that fails."""
        if not self.number:
            return True  # There is no other incarnation to read them.
        entries = [[name, override.set_at, override.is_ejected] for name, override in overrides.items()]
        return self._write(OVERRIDES_FILE, {"words": entries})

    def _write(self, kind: str, content: dict[str, Any]) -> bool:
        """Write a file atomically; log an error and return False if that fails."""
        if not self.number:
            return False
        path = self._path(kind, self.number)
        temporary = self._temporary_path()
        try:
            temporary.write_bytes(orjson.dumps({"form": FORMAT_VERSION, **content}))
            temporary.rename(path)
        except (OSError, TypeError) as error:
            self.log("succession", level="error", what=f"{path.name}: {error}")
            return False
        return True

    # Files that other incarnations write

    def has_successor(self) -> bool:
        """Whether a later incarnation is running and can serve."""
        if not self.number:
            return False
        try:
            later = [number for number in self._numbers(READY_FILE) if number > self.number]
            return any(self.is_running(number) for number in later)
        except OSError:
            return False

    def read_handover(self) -> dict[str, Any] | None:
        """Read the predecessor's handover: None if there is none yet, empty if it can't be read."""
        path = self._path(HANDOVER_FILE, self.predecessor)
        try:
            has_handed_over = path.exists()
        except OSError:
            return None
        if not has_handed_over:
            return None
        return self._read(path.name) or {}

    def read_overrides(self) -> list[tuple[str, Override]]:
        """Read the overrides of the other incarnations from files that changed since the last call."""
        if not self.number:
            return []
        overrides: list[tuple[str, Override]] = []
        try:
            for number in self._numbers(OVERRIDES_FILE):
                path = self._path(OVERRIDES_FILE, number)
                status = path.stat()
                version = (status.st_mtime_ns, status.st_ino)
                if number != self.number and self.read_versions.get(path.name) != version:
                    self.read_versions[path.name] = version
                    overrides += self._parse_overrides(path.name)
        except OSError as error:
            self.log("succession", level="warning", what=str(error))
        return overrides

    def _parse_overrides(self, name: str) -> list[tuple[str, Override]]:
        """Return the overrides in a file; malformed entries are logged and left out."""
        entries = (self._read(name) or {}).get("words")
        if not isinstance(entries, list):
            return []
        overrides = []
        for entry in entries[:MAX_READ_OVERRIDES]:
            override = parse_override(entry)
            if override is None:
                self.log("succession", level="warning", what=f"{name}: malformed entry")
            else:
                overrides.append(override)
        return overrides

    def _read(self, name: str) -> dict[str, Any] | None:
        """Read a file; None if it is not valid or was written by another program."""
        path = self.folder / name
        try:
            if path.stat().st_size > MAX_FILE_BYTES:
                raise ValueError("longer than 8 MiB")
            content = orjson.loads(path.read_bytes())
            if not isinstance(content, dict) or content.get("form") != FORMAT_VERSION:
                raise ValueError(f"format version is not {FORMAT_VERSION}")
        except (OSError, ValueError) as error:  # JSONDecodeError of orjson is a ValueError.
            self.log("succession", level="warning", what=f"{name}: {error}")
            return None
        return content


def parse_override(entry: Any) -> tuple[str, Override] | None:
    """Parse one entry of a `bans-N` file into endpoint and override; None if it is malformed."""
    match entry:
        case [str(endpoint), int() | float() as set_at, bool(is_ejected)] if (
            not isinstance(set_at, bool)
            and 0 <= set_at < MAX_TIME_MS
            and 0 < len(endpoint) <= MAX_NAME_LENGTH
        ):
            return endpoint, Override(float(set_at), is_ejected)
    return None
