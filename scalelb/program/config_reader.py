"""Typed readers for the values of configuration files: whatever can't be used is named by its key."""

from __future__ import annotations

import tomllib
from enum import Enum
from math import inf, isfinite
from pathlib import Path
from typing import Any, TypeVar

import orjson

E = TypeVar("E", bound=Enum)

SHOWN_CHARACTERS = 80  # of a faulty value, in a message
MAX_PORT = 65_535
PORT_DIGITS = 5


class ConfigError(Exception):
    """A faulty configuration; the message names the key, on one line of printable characters."""

    def __init__(self, message: str) -> None:
        super().__init__("".join(mark if mark.isprintable() else _escape(mark) for mark in message))


class ConfigFileMissingError(ConfigError):
    """There is no such file."""


def shown(value: Any) -> str:
    """A faulty value as a message shows it: on one line, and not all of it where it is long."""
    try:
        text = repr(value)
    except (ValueError, RecursionError):  # an integer of more digits than Python writes, a deep structure
        return f"a value too large to be shown ({type(value).__name__})"
    return text if len(text) <= SHOWN_CHARACTERS else f"{text[:SHOWN_CHARACTERS]}..."


def is_name(text: str, separators: str = "") -> bool:
    """Whether a text can be a name: not empty, printable, without spaces or `separators`."""
    return bool(text) and text.isprintable() and not any(mark in text for mark in " " + separators)


class Node:
    """An object of the configuration and the path to it, for messages."""

    def __init__(self, value: Any, path: str) -> None:
        if not isinstance(value, dict):
            raise ConfigError(f"{path or 'configuration'}: must be an object")
        self.value, self.path = value, path

    def at(self, key: str) -> str:
        """The path of a key."""
        return f"{self.path}.{key}" if self.path else key

    def get(self, key: str, default: Any = None) -> Any:
        """A value; missing without a default is a fault."""
        if key in self.value:
            return self.value[key]
        if default is None:
            raise ConfigError(f"{self.at(key)}: missing field")
        return default

    def number(
        self,
        key: str,
        least: float = 0.0,
        default: float | None = None,
        above: bool = False,
        most: float = inf,
    ) -> float:
        """A finite number, from `least` on or above it, up to `most`."""
        value = self.get(key, default)
        number = _finite_number(value)
        if number is None:
            raise ConfigError(f"{self.at(key)}: must be a number, not {shown(value)}")
        if number < least or (above and number == least):
            bound = f"{'above' if above else 'at least'} {least:g}"
            raise ConfigError(f"{self.at(key)}: must be {bound}, not {shown(value)}")
        if number > most:
            raise ConfigError(f"{self.at(key)}: must be at most {most:g}, not {shown(value)}")
        return number

    def whole(self, key: str, least: int = 0, default: int | None = None, most: float = inf) -> int:
        """A whole number."""
        value = self.number(key, least, default, most=most)
        if value != int(value):
            raise ConfigError(f"{self.at(key)}: must be a whole number, not {value!r}")
        return int(value)

    def flag(self, key: str, default: bool | None = None) -> bool:
        """True or false."""
        value = self.get(key, default)
        if not isinstance(value, bool):
            raise ConfigError(f"{self.at(key)}: must be true or false, not {shown(value)}")
        return value

    def text(self, key: str, default: str | None = None) -> str:
        """A text."""
        value = self.get(key, default)
        if not isinstance(value, str):
            raise ConfigError(f"{self.at(key)}: must be a text, not {shown(value)}")
        if not _is_utf8(value):  # a variable of the environment may hold any bytes
            raise ConfigError(f"{self.at(key)}: must be UTF-8, not {shown(value)}")
        return value

    def name(self, key: str, default: str | None = None, separators: str = "") -> str:
        """A name, as `is_name` has it."""
        value = self.text(key, default)
        if not is_name(value, separators):
            without = " or ".join(["spaces", *separators])
            raise ConfigError(f"{self.at(key)}: must be printable and without {without}, not {shown(value)}")
        return value

    def texts(self, key: str, default: list[str] | None = None) -> tuple[str, ...]:
        """A list of texts."""
        value = self.get(key, default)
        if not isinstance(value, list):
            raise ConfigError(f"{self.at(key)}: must be a list of texts, not {shown(value)}")
        return tuple(
            Node({f"{key}[{i}]": item}, self.path).text(f"{key}[{i}]") for i, item in enumerate(value)
        )

    def choice(self, key: str, kind: type[E]) -> E:
        """One of the values of an enumeration."""
        value = self.text(key)
        try:
            return kind(value)
        except ValueError:
            some = ", ".join(str(one.value) for one in kind)
            raise ConfigError(f"{self.at(key)}: must be one of {some}, not {shown(value)}") from None

    def node(self, key: str, default: dict[str, Any] | None = None) -> Node:
        """An object inside."""
        return Node(self.get(key, default), self.at(key))

    def nodes(self, key: str, least: int = 0) -> list[Node]:
        """A list of objects inside."""
        value = self.get(key)
        if not isinstance(value, list) or len(value) < least:
            raise ConfigError(f"{self.at(key)}: must be a list of {least} objects or more")
        return [Node(item, f"{self.at(key)}[{place}]") for place, item in enumerate(value)]

    def address(self, key: str, default: str | None = None) -> str:
        """`host:port`, or nothing where that is the default."""
        value = self.text(key, default)
        if value != default and not _is_address(value):
            raise ConfigError(f"{self.at(key)}: must be host:port, not {shown(value)}")
        return value


def _escape(mark: str) -> str:
    return mark.encode("unicode_escape").decode()


def _finite_number(value: Any) -> float | None:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    try:
        number = float(value)
    except OverflowError:
        return None
    return number if isfinite(number) else None


def _is_utf8(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= PORT_DIGITS
    return is_number and int(port) <= MAX_PORT and is_name(host)


def read_json(path: Path) -> Any:
    """The content of a JSON file.  Raises `ConfigError`, which says why it can't be read."""
    try:
        return orjson.loads(_read_file(path))
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"not JSON: {error}") from None


def read_toml(path: Path) -> Any:
    """The content of a TOML file.  Raises `ConfigError`, which says why it can't be read."""
    try:
        return tomllib.loads(_read_file(path).decode())
    except (ValueError, RecursionError) as error:  # also an integer of too many digits, or deep nesting
        raise ConfigError(f"not TOML: {error}") from None


def _read_file(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except FileNotFoundError as error:
        raise ConfigFileMissingError(str(error.strerror)) from None
    except (OSError, ValueError) as error:  # a path that can't be one is a ValueError
        raise ConfigError(getattr(error, "strerror", None) or str(error)) from None
