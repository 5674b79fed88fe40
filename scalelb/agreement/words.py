"""Messages, ballots and times.  Messages are plain dicts of JSON values, so that any link can carry them; who
reads one raises `MalformedWordError` for what can't be, before anything is changed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

Word = dict[str, Any]
NUMBER_MOST, TEXT_MOST, VALUE_MOST = 2**53, 128, 65_536


class MalformedWordError(ValueError):
    """A message that can't be; nothing of it was taken."""


class Ballot(NamedTuple):
    """An attempt at a version.  The greater one goes first; the proposer's life makes two differ."""

    number: int
    life: str

    @classmethod
    def read(cls, told: Any) -> Ballot:
        """From a message or a store."""
        if not isinstance(told, list | tuple) or len(told) != 2 or not isinstance(told[1], str):
            raise MalformedWordError("ballot")
        return cls(whole(told[0]), text(told[1])) if told[0] else NONE


NONE = Ballot(0, "")


@dataclass(frozen=True, slots=True)
class Times:
    """Milliseconds on monotonic clocks whose rates differ by at most `drift` of themselves."""

    permission_ms: float = 3000.0
    renew_ms: float = 750.0  # that a learner asks again after
    drift: float = 0.01

    @property
    def held_ms(self) -> float:
        """How long a learner goes by a permission, from when it asked."""
        return self.permission_ms * (1 - self.drift)

    @property
    def given_ms(self) -> float:
        """How long a voter takes one to be out, from when it answered."""
        return self.permission_ms * (1 + self.drift)


def majority(voters: int) -> int:
    """Voters that any two quorums share one of."""
    return voters // 2 + 1


def whole(value: Any) -> int:
    """A whole number in range."""
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= NUMBER_MOST:
        raise MalformedWordError("not a whole number in range")
    return value


def text(value: Any) -> str:
    """A short text that is not empty."""
    if not isinstance(value, str) or not 0 < len(value) <= TEXT_MOST:
        raise MalformedWordError("not a text in range")
    return value


def policy(value: Any) -> str:
    """A policy, as the text that was proposed."""
    if not isinstance(value, str) or len(value) > VALUE_MOST:
        raise MalformedWordError("not a policy in range")
    return value
