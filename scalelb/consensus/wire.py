"""Reads the fields of messages and stored states.

On the wire a message is a plain dict of JSON values, so that any link can carry it. All functions that read a
field raise `MalformedMessageError` for an invalid value, before the caller has changed anything.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import Any

from scalelb.consensus.ballot import NO_BALLOT, Ballot

WireMessage = dict[str, Any]

MAX_NUMBER = 2**53  # the greatest integer that every JSON reader preserves exactly
MAX_NAME_CHARACTERS = 128
MAX_VALUE_CHARACTERS = 65_536


class MalformedMessageError(ValueError):
    """An invalid message or stored state, of which nothing was applied. The message names the field."""


class Kind(StrEnum):
    """The kinds of messages. The values are used on the wire."""

    # Proposer to acceptors
    PREPARE = "prepare"
    ACCEPT = "accept"
    DECIDED = "agreed"
    # Learner to acceptors
    LEASE_REQUEST = "ask"
    LEASE_RETURN = "back"
    # Between acceptors
    STATE_REQUEST = "tell"
    STATE_REPORT = "told"
    # Replies of an acceptor
    PROMISE = "promise"
    ACCEPTED = "accepted"
    REJECTED = "no"
    LEASE_GRANTED = "permit"
    LEASE_DEFERRED = "wait"
    LEASE_REQUEST_OUTDATED = "stale"
    ACKNOWLEDGED = "knows"
    STATE_LOST = "lost"


def kind_of(message: Mapping[str, Any]) -> Kind | None:
    """Returns the kind of a message, or None if it is unknown."""
    try:
        return Kind(message.get("k") or "")
    except ValueError:
        return None


def read_ballot(message: Mapping[str, Any], key: str) -> Ballot:
    """Reads a ballot."""
    value = message.get(key)
    if not isinstance(value, list | tuple) or len(value) != 2 or not isinstance(value[1], str):
        raise MalformedMessageError(f"{key}: expected a ballot [number, incarnation]")
    number, incarnation = value
    if not number:
        return NO_BALLOT
    return Ballot(_checked_number(number, key), _checked_name(incarnation, key))


def read_number(message: Mapping[str, Any], key: str) -> int:
    """Reads an integer from 0 to `MAX_NUMBER`."""
    return _checked_number(message.get(key), key)


def read_name(message: Mapping[str, Any], key: str) -> str:
    """Reads a string of 1 to `MAX_NAME_CHARACTERS` characters."""
    return _checked_name(message.get(key), key)


def read_value(message: Mapping[str, Any], key: str) -> str:
    """Reads a policy, which is a string of at most `MAX_VALUE_CHARACTERS` characters."""
    value = message.get(key)
    if not isinstance(value, str) or len(value) > MAX_VALUE_CHARACTERS:
        raise MalformedMessageError(f"{key}: expected a string of at most {MAX_VALUE_CHARACTERS} characters")
    return value


def _checked_number(value: Any, key: str) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value <= MAX_NUMBER:
        raise MalformedMessageError(f"{key}: expected an integer from 0 to 2**53")
    return value


def _checked_name(value: Any, key: str) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_CHARACTERS:
        raise MalformedMessageError(f"{key}: expected a string of 1 to {MAX_NAME_CHARACTERS} characters")
    return value
