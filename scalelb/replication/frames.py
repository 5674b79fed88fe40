"""The frames between limiters as types, and their encoding on the wire: JSON values under short keys.

    {"k": "have", "v": [[NAME, NUMBER, NONCE, VERSION, FLOOR], ...], "s": settled, "m": more, "a": ask}
    {"k": "news", "c": [[NAME, NUMBER, NONCE, AFTER, UP_TO, FLOOR, FULL, [[KEY, VERSION, VALUE], ...]], ...]}

A frame is checked completely when it is decoded: the decoder raises `MalformedFrameError` for an invalid
frame before any part of it is applied.
"""

from __future__ import annotations

from collections.abc import Container
from math import isfinite
from typing import Any, NamedTuple

from scalelb.replication.replicated_log import Entry, Incarnation, LogState

WireFrame = dict[str, Any]

DELTA_BUDGET_BYTES = 32 * 1024  # approximate size of the entries in one delta
MEAN_ENTRY_BYTES = 100  # approximate
ENTRY_OVERHEAD_BYTES = 24  # approximate size of an encoded entry without its key and value
MAX_LOGS_PER_FRAME = 400
MAX_KEY_CHARACTERS = 300
MAX_VALUE_BYTES = 1024  # approximate, as computed by `encoded_bytes`
MAX_VERSION = 2**53  # the greatest integer that every JSON reader preserves exactly
MAX_INCARNATION_NUMBER = 2**31
MAX_NONCE = 2**31


class MalformedFrameError(ValueError):
    """An invalid frame, of which nothing was applied. The message names the faulty part."""


class Digest(NamedTuple):
    """The states of the sender's logs that have changed since its previous digest."""

    states: list[tuple[Incarnation, LogState]]
    is_settled: bool  # whether the sender has settled
    has_more: bool  # further frames of the same digest follow
    wants_digest: bool  # the sender asks for the receiver's digest in return


class LogDelta(NamedTuple):
    """All entries of one log after the version `after`, up to `up_to`."""

    incarnation: Incarnation
    after: int
    up_to: int
    floor: int
    is_full_copy: bool  # the receiver's entries of the log are to be replaced
    entries: list[tuple[str, Entry]]


class Delta(NamedTuple):
    """Entries that the receiver lacks, as many as fit into one frame."""

    logs: list[LogDelta]


def encode_digest(digest: Digest) -> WireFrame:
    """Encodes a digest for the wire."""
    return {
        "k": "have",
        "v": [[*incarnation, *state] for incarnation, state in digest.states],
        "s": digest.is_settled,
        "m": digest.has_more,
        "a": digest.wants_digest,
    }


def encode_delta(delta: Delta) -> WireFrame:
    """Encodes a delta for the wire."""
    return {
        "k": "news",
        "c": [
            [
                *log.incarnation,
                log.after,
                log.up_to,
                log.floor,
                log.is_full_copy,
                [[key, entry.version, entry.value] for key, entry in log.entries],
            ]
            for log in delta.logs
        ],
    }


def decode_frame(frame: dict[str, Any], members: Container[str]) -> Digest | Delta:
    """Decodes a frame from the wire.

    Raises `MalformedFrameError` if the frame is invalid or contains a log of a name that is not a member.
    """
    kind = frame.get("k")
    if kind == "have":
        return _decode_digest(frame, members)
    if kind == "news":
        return _decode_delta(frame, members)
    raise MalformedFrameError(f"k: unknown kind of frame {str(kind)[:20]!r}")


def _decode_digest(frame: dict[str, Any], members: Container[str]) -> Digest:
    items = frame.get("v")
    if not isinstance(items, list) or len(items) > MAX_LOGS_PER_FRAME:
        raise MalformedFrameError(f"have: v: expected a list of at most {MAX_LOGS_PER_FRAME} logs")
    states = []
    for item in items:
        if not isinstance(item, list) or len(item) != 5:
            raise MalformedFrameError("have: v: expected a list of 5 values for each log")
        state = LogState(_decode_number(item[3]), _decode_number(item[4]))
        states.append((_decode_incarnation(item, members), state))
    is_settled, has_more, wants_digest = (_decode_flag(frame, key) for key in ("s", "m", "a"))
    return Digest(states, is_settled, has_more, wants_digest)


def _decode_delta(frame: dict[str, Any], members: Container[str]) -> Delta:
    items = frame.get("c")
    if not isinstance(items, list) or len(items) > MAX_LOGS_PER_FRAME:
        raise MalformedFrameError(f"news: c: expected a list of at most {MAX_LOGS_PER_FRAME} logs")
    return Delta([_decode_log_delta(item, members) for item in items])


def _decode_log_delta(item: Any, members: Container[str]) -> LogDelta:
    if not isinstance(item, list) or len(item) != 8 or not isinstance(item[7], list):
        raise MalformedFrameError("news: c: expected 8 values for each log, the last a list of entries")
    incarnation = _decode_incarnation(item, members)
    after, up_to, floor = map(_decode_number, item[3:6])
    is_full_copy = item[6]
    if not isinstance(is_full_copy, bool):
        raise MalformedFrameError("news: c: the full-copy flag is not true or false")
    if up_to < after:
        raise MalformedFrameError(f"news: c: the delta ends at version {up_to}, before its start at {after}")
    if len(item[7]) > DELTA_BUDGET_BYTES:
        raise MalformedFrameError(f"news: c: more than {DELTA_BUDGET_BYTES} entries")
    entries = []
    previous_version = after
    for value in item[7]:
        key, entry = _decode_entry(value)
        if not previous_version < entry.version <= up_to:
            raise MalformedFrameError(f"news: c: version {entry.version} is out of order or out of range")
        previous_version = entry.version
        entries.append((key, entry))
    return LogDelta(incarnation, after, up_to, floor, is_full_copy, entries)


def _decode_entry(item: Any) -> tuple[str, Entry]:
    if not isinstance(item, list) or len(item) != 3 or not isinstance(item[0], str):
        raise MalformedFrameError("news: c: an entry is not a list of key, version and value")
    key, version, value = item
    version = _decode_number(version)
    if not 0 < len(key) <= MAX_KEY_CHARACTERS:
        raise MalformedFrameError(f"news: c: a key does not have 1 to {MAX_KEY_CHARACTERS} characters")
    if encoded_bytes(value) > MAX_VALUE_BYTES:
        raise MalformedFrameError(f"news: c: a value has more than {MAX_VALUE_BYTES} bytes")
    return key, Entry(version, value)


def _decode_incarnation(item: list[Any], members: Container[str]) -> Incarnation:
    name, number, nonce = item[:3]
    if name not in members:
        raise MalformedFrameError("the name of an incarnation is not one of the members")
    if not 0 < _decode_number(number) <= MAX_INCARNATION_NUMBER:
        raise MalformedFrameError(f"the number of an incarnation is not from 1 to {MAX_INCARNATION_NUMBER}")
    if _decode_number(nonce) >= MAX_NONCE:
        raise MalformedFrameError(f"the nonce of an incarnation is not below {MAX_NONCE}")
    return Incarnation(name, number, nonce)


def _decode_flag(frame: dict[str, Any], key: str) -> bool:
    value = frame.get(key)
    if not isinstance(value, bool):
        raise MalformedFrameError(f"have: {key}: not true or false")
    return value


def _decode_number(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= MAX_VERSION:
        raise MalformedFrameError("expected an integer from 0 to 2**53")
    return value


def encoded_bytes(value: Any) -> int:
    """Returns the approximate encoded size of a value.

    Raises `MalformedFrameError` if an entry can't hold the value.
    """
    if isinstance(value, float) and not isfinite(value):
        raise MalformedFrameError("a value is not a finite number")
    if value is None or isinstance(value, bool | int | float):
        return 8
    if isinstance(value, str):
        return 2 + len(value)
    if isinstance(value, list):
        return 2 + sum(map(encoded_bytes, value))
    raise MalformedFrameError(f"a value has the unsupported type {type(value).__name__}")
