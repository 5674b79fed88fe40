"""Two processes that are one limiter, as far as files in `$TMPDIR` can make them one.

Each life of a limiter has a number, one more than the last, and holds the lock on `life-N` for as long as it
lives: the kernel lets go of it with the process, so a killed one is never taken for alive, nor is a file left
by another program.  What lives tell each other stands in files that one of them alone writes, whole and at
once (a rename), and that the other reads as it would a stranger's:

    life-N      locked while life N runs
    ready-N     life N can serve
    left-N      what life N leaves to the next: it takes nothing new any more
    bans-N      what life N knows of backends out by hand

Nothing here waits: who looks in finds a file or does not.
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
FORM = 1  # of the files; another one is not read
BYTES_MOST = 8 * 1024 * 1024  # of a file: a longer one is a stranger's
NAME = re.compile(r"(life|ready|left|bans)-([0-9]{1,9})")
NUMBER_MOST = 10**9
TRIES = 100  # numbers that others may take before us

Log = Callable[..., None]


class Succession:
    """One life's place among those of the same limiter.  `folder`: an existing directory they all see."""

    def __init__(self, folder: str, log: Log) -> None:
        self.folder, self.log = Path(folder) / FOLDER, log
        self.number = 0  # of this life; 0: it stands alone, as the folder can't be used
        self.before = 0  # the life before, if it still ran when this one began
        self.lock = -1
        self.seen: dict[str, tuple[int, int]] = {}  # of each file that was read: when it was written, size

    def enter(self) -> None:
        """Take a number, and find who came before.  A folder that can't be used is no reason not to start."""
        try:
            self.folder.mkdir(exist_ok=True)
            self._take_number()
            lives = [n for n in self._numbers("life") if n < self.number and self.alive(n)]
        except OSError as error:
            self.log("succession", level="warning", what=f"stands alone: {error}")
            self.number = 0
            return
        self.before = max(lives, default=0)
        self.log("succession", life=self.number, before=self.before)

    def _take_number(self) -> None:
        """Guards the moment between a file's birth and its lock: it is locked before it has its name."""
        temporary = self.folder / f"new-{os.getpid()}"
        self.lock = os.open(temporary, os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            first = max(self._numbers("life"), default=0) + 1
            for number in range(first, min(first + TRIES, NUMBER_MOST)):
                try:
                    os.link(temporary, self.folder / f"life-{number}")
                except FileExistsError:
                    continue
                for kind in ("ready", "left", "bans"):  # of a number that was used before: not ours
                    (self.folder / f"{kind}-{number}").unlink(missing_ok=True)
                self.number = number
                return
            raise OSError("no number is free")
        finally:
            os.unlink(temporary)

    def _numbers(self, kind: str) -> list[int]:
        found = [match for name in os.listdir(self.folder) if (match := NAME.fullmatch(name)) is not None]
        return sorted(int(match[2]) for match in found if match[1] == kind)

    def alive(self, number: int) -> bool:
        """Whether that life still runs."""
        try:
            file = os.open(self.folder / f"life-{number}", os.O_RDWR | os.O_CLOEXEC)
        except OSError:
            return False
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            return True
        finally:
            os.close(file)
        return False

    def clear(self) -> None:
        """Drop the files of lives that are over, once what they left was read."""
        if not self.number:
            return
        try:
            for name in os.listdir(self.folder):
                match = NAME.fullmatch(name)
                if match is not None and int(match[2]) < self.number and not self.alive(int(match[2])):
                    (self.folder / name).unlink(missing_ok=True)
        except OSError as error:
            self.log("succession", level="warning", what=str(error))

    # What this life says

    def say_ready(self) -> None:
        """This life can serve."""
        self._write("ready", {})

    def leave(self, what: dict[str, Any]) -> None:
        """This life takes nothing new; `what` it leaves to the next."""
        self._write("left", what)

    def tell_bans(self, words: dict[str, Override]) -> bool:
        """What this life knows of bans.  False where it could not be written."""
        return self._write(
            "bans", {"words": [[name, word.set_at, word.is_ejected] for name, word in words.items()]}
        )

    def _write(self, kind: str, what: dict[str, Any]) -> bool:
        if not self.number:
            return kind == "bans"  # alone: nobody else has to know
        path = self.folder / f"{kind}-{self.number}"
        temporary = self.folder / f"new-{os.getpid()}"
        try:
            temporary.write_bytes(orjson.dumps({"form": FORM, **what}))
            temporary.rename(path)
        except (OSError, TypeError) as error:
            self.log("succession", level="error", what=f"{path.name}: {error}")
            return False
        return True

    # What others have said

    def relieved(self) -> bool:
        """Whether a later life can serve."""
        if not self.number:
            return False
        try:
            return any(n > self.number and self.alive(n) for n in self._numbers("ready"))
        except OSError:
            return False

    def left(self) -> dict[str, Any] | None:
        """What the life before has left; nothing while it still serves.  One that can't be read is empty."""
        name = f"left-{self.before}"
        try:
            there = (self.folder / name).exists()
        except OSError:
            there = False
        return (self._read(name) or {}) if there else None

    def bans(self) -> list[tuple[str, Override]]:
        """The words of all other lives that have changed since they were last read here."""
        if not self.number:
            return []
        words: list[tuple[str, Override]] = []
        try:
            for number in self._numbers("bans"):
                name = f"bans-{number}"
                status = (self.folder / name).stat()
                mark = status.st_mtime_ns, status.st_ino
                if number != self.number and self.seen.get(name) != mark:
                    self.seen[name] = mark
                    words += self._words(name)
        except OSError as error:
            self.log("succession", level="warning", what=str(error))
        return words

    def _words(self, name: str) -> list[tuple[str, Override]]:
        told = (self._read(name) or {}).get("words")
        words = []
        for entry in told[: 2 * MAX_OVERRIDES] if isinstance(told, list) else []:
            match entry:
                case [str(server), int() | float() as at, bool(out)] if (
                    not isinstance(at, bool) and 0 <= at < 1e15 and 0 < len(server) <= MAX_NAME_LENGTH
                ):
                    words.append((server, Override(float(at), out)))
                case _:
                    self.log("succession", level="warning", what=f"{name}: an entry can't be read")
        return words

    def _read(self, name: str) -> dict[str, Any] | None:
        """A file, if it is one of ours and whole."""
        path = self.folder / name
        try:
            if path.stat().st_size > BYTES_MOST:
                raise ValueError("too long")
            told = orjson.loads(path.read_bytes())
            if not isinstance(told, dict) or told.get("form") != FORM:
                raise ValueError(f"not of form {FORM}")
        except (OSError, ValueError) as error:  # orjson's errors are ValueErrors
            self.log("succession", level="warning", what=f"{name}: {error}")
            return None
        return told
