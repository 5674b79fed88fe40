"""Two processes that are one limiter, as far as files in `$TMPDIR` can make them one.

Each incarnation of a limiter has a number, one more than the last, and holds the lock on `life-N` for as long
as it runs: the kernel releases it with the process, so a killed one never counts as running, nor does a file
that another program left.  Each file is written by one incarnation alone, whole and at once (a rename), and
read by the others with the checks that a stranger's would get:

    life-N      locked while incarnation N runs
    ready-N     incarnation N can serve
    left-N      what incarnation N hands over to the next; it takes nothing new any more
    bans-N      what incarnation N knows of endpoints that an operator has ejected

Nothing here waits: a reader finds a file or does not.
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

FOLDER = "scalelb"
RUNNING_FILE = "life"
READY_FILE = "ready"
HANDOVER_FILE = "left"
OVERRIDES_FILE = "bans"
FILE_NAME = re.compile(r"(life|ready|left|bans)-([0-9]{1,9})")
FORMAT_VERSION = 1  # a file of another one is not read
MAX_FILE_BYTES = 8 * 1024 * 1024  # a longer file is a stranger's
MAX_READ_OVERRIDES = 2 * MAX_OVERRIDES  # entries of one file
MAX_TIME_MS = 1e15  # a later time in a file is a mistake
NUMBER_LIMIT = 10**9  # numbers have nine digits
MAX_NUMBER_ATTEMPTS = 100  # numbers that others may take first

Log = Callable[..., None]


class Incarnation:
    """One incarnation of a limiter among the others.  `folder`: an existing directory that they all see."""

    def __init__(self, folder: str, log: Log) -> None:
        self.folder = Path(folder) / FOLDER
        self.log = log
        self.number = 0  # 0: the folder can't be used, and it stands alone
        self.predecessor = 0  # the incarnation before, if it still ran when this one started; 0: none
        self.lock_descriptor = -1
        self.read_versions: dict[str, tuple[int, int]] = {}  # of each file read: time of change (ns), inode

    def register(self) -> None:
        """Take a number and look for a predecessor.  A folder that can't be used is logged, not raised: the
        limiter starts all the same."""
        try:
            self.folder.mkdir(exist_ok=True)
            self._take_number()
            earlier = [number for number in self._numbers(RUNNING_FILE) if number < self.number]
            running = [number for number in earlier if self.is_running(number)]
        except OSError as error:
            self.log("succession", level="warning", what=f"stands alone: {error}")
            self.number = 0
            return
        self.predecessor = max(running, default=0)
        self.log("succession", life=self.number, before=self.predecessor)

    def _take_number(self) -> None:
        """Raises `OSError` where no number is free.

        The file is locked before it has its name: else another incarnation could see it without its lock and
        take this one for ended."""
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
                for kind in (READY_FILE, HANDOVER_FILE, OVERRIDES_FILE):  # of an earlier use of the number
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
        """The incarnations that have a file of this kind, lowest first.  Raises `OSError`."""
        matches = [FILE_NAME.fullmatch(name) for name in os.listdir(self.folder)]
        return sorted(int(match[2]) for match in matches if match is not None and match[1] == kind)

    def is_running(self, number: int) -> bool:
        """Whether that incarnation still runs."""
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
        """Whether the predecessor still runs."""
        return self.is_running(self.predecessor)

    def remove_stale_files(self) -> None:
        """Remove the files of incarnations that have ended, once what they left was read."""
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

    # What this incarnation writes

    def announce_ready(self) -> None:
        """This incarnation can serve."""
        self._write(READY_FILE, {})

    def hand_over(self, account: dict[str, Any]) -> None:
        """This incarnation takes nothing new; it leaves the account to the next."""
        self._write(HANDOVER_FILE, account)

    def publish_overrides(self, overrides: dict[str, Override]) -> bool:
        """Write what this incarnation knows of ejections.  False where it could not be written."""
        if not self.number:
            return True  # it stands alone: nobody else has to know
        entries = [[name, override.set_at, override.is_ejected] for name, override in overrides.items()]
        return self._write(OVERRIDES_FILE, {"words": entries})

    def _write(self, kind: str, content: dict[str, Any]) -> bool:
        """Whether the file was written.  A fault is logged."""
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

    # What the others have written

    def has_successor(self) -> bool:
        """Whether a later incarnation can serve."""
        if not self.number:
            return False
        try:
            later = [number for number in self._numbers(READY_FILE) if number > self.number]
            return any(self.is_running(number) for number in later)
        except OSError:
            return False

    def read_handover(self) -> dict[str, Any] | None:
        """What the predecessor has handed over: nothing while it still serves, empty if it can't be read."""
        path = self._path(HANDOVER_FILE, self.predecessor)
        try:
            has_handed_over = path.exists()
        except OSError:
            return None
        if not has_handed_over:
            return None
        return self._read(path.name) or {}

    def read_overrides(self) -> list[tuple[str, Override]]:
        """The overrides of all other incarnations whose file has changed since it was last read here."""
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
        """The overrides in a file; faulty entries are logged and left out."""
        entries = (self._read(name) or {}).get("words")
        if not isinstance(entries, list):
            return []
        overrides = []
        for entry in entries[:MAX_READ_OVERRIDES]:
            override = parse_override(entry)
            if override is None:
                self.log("succession", level="warning", what=f"{name}: an entry can't be read")
            else:
                overrides.append(override)
        return overrides

    def _read(self, name: str) -> dict[str, Any] | None:
        """A file's content; nothing if it is not one of ours, or torn."""
        path = self.folder / name
        try:
            if path.stat().st_size > MAX_FILE_BYTES:
                raise ValueError("too long")
            content = orjson.loads(path.read_bytes())
            if not isinstance(content, dict) or content.get("form") != FORMAT_VERSION:
                raise ValueError(f"not of form {FORMAT_VERSION}")
        except (OSError, ValueError) as error:  # orjson's errors are ValueErrors
            self.log("succession", level="warning", what=f"{name}: {error}")
            return None
        return content


def parse_override(entry: Any) -> tuple[str, Override] | None:
    """One entry of a `bans-N` file as endpoint and override; nothing if it is faulty."""
    match entry:
        case [str(endpoint), int() | float() as set_at, bool(is_ejected)] if (
            not isinstance(set_at, bool)
            and 0 <= set_at < MAX_TIME_MS
            and 0 < len(endpoint) <= MAX_NAME_LENGTH
        ):
            return endpoint, Override(float(set_at), is_ejected)
    return None
