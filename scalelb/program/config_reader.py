"""Typed readers for the values of configuration files; an error names the key of the invalid value."""

from __future__ import annotations

import tomllib
from enum import Enum
from math import inf, isfinite
from pathlib import Path
from typing import Any, TypeVar

import orjson

E = TypeVar("E", bound=Enum)

MAX_SHOWN_CHARACTERS = 80  # Longest part of an invalid value that a message shows.
MAX_PORT = 65_535
PORT_DIGITS = 5


class ConfigError(Exception):
    """An invalid configuration; the message names the key, on one line of printable characters."""

    def __init__(self, message: str) -> None:
        super().__init__(
            "".join(
                character if character.isprintable() else _escape_character(character)
                for character in message
            )
        )


class ConfigFileMissingError(ConfigError):
    """The configuration file does not exist."""


def format_value(value: Any) -> str:
    """Format an invalid value for a message: on one line, and truncated if it is long."""
    try:
        text = repr(value)
    except (ValueError, RecursionError):  # Too many digits for Python to print, or too deeply nested.
        return f"a value too large to be shown ({type(value).__name__})"
    return text if len(text) <= MAX_SHOWN_CHARACTERS else f"{text[:MAX_SHOWN_CHARACTERS]}..."


def is_name(text: str, separators: str = "") -> bool:
    """Whether a string is a valid name: not empty, printable, without spaces or `separators`."""
    return bool(text) and text.isprintable() and not any(character in text for character in " " + separators)


class Node:
    """An object of the configuration, and its path for messages."""

    def __init__(self, value: Any, path: str) -> None:
        if not isinstance(value, dict):
            raise ConfigError(f"{path or 'configuration'}: must be an object")
        self.value, self.path = value, path

    def at(self, key: str) -> str:
        """Return the path of a key."""
        return f"{self.path}.{key}" if self.path else key

    def get(self, key: str, default: Any = None) -> Any:
        """Return a value; a missing key without a default raises `ConfigError`."""
        if key in self.value:
            return self.value[key]
        if default is None:
            raise ConfigError(f"{self.at(key)}: missing field")
        return default

    def number(
        self,
        key: str,
        minimum: float = 0.0,
        default: float | None = None,
        is_exclusive: bool = False,
        maximum: float = inf,
    ) -> float:
        """Return a finite number from `minimum` (excluded if `is_exclusive`) to `maximum`."""
        value = self.get(key, default)
        number = _finite_number(value)
        if number is None:
            raise ConfigError(f"{self.at(key)}: must be a number, not {format_value(value)}")
        if number < minimum or (is_exclusive and number == minimum):
            bound = f"{'above' if is_exclusive else 'at least'} {minimum:g}"
            raise ConfigError(f"{self.at(key)}: must be {bound}, not {format_value(value)}")
        if number > maximum:
            raise ConfigError(f"{self.at(key)}: must be at most {maximum:g}, not {format_value(value)}")
        return number

    def integer(self, key: str, minimum: int = 0, default: int | None = None, maximum: float = inf) -> int:
        """Return an integer."""
        value = self.number(key, minimum, default, maximum=maximum)
        if value != int(value):
            raise ConfigError(f"{self.at(key)}: must be a whole number, not {value!r}")
        return int(value)

    def flag(self, key: str, default: bool | None = None) -> bool:
        """Return a boolean."""
        value = self.get(key, default)
        if not isinstance(value, bool):
            raise ConfigError(f"{self.at(key)}: must be true or false, not {format_value(value)}")
        return value

    def text(self, key: str, default: str | None = None) -> str:
        """Return a string."""
        value = self.get(key, default)
        if not isinstance(value, str):
            raise ConfigError(f"{self.at(key)}: must be a string, not {format_value(value)}")
        if not _is_utf8(value):  # An environment variable may hold any bytes.
            raise ConfigError(f"{self.at(key)}: must be UTF-8, not {format_value(value)}")
        return value

    def name(self, key: str, default: str | None = None, separators: str = "") -> str:
        """Return a valid name; see `is_name`."""
        value = self.text(key, default)
        if not is_name(value, separators):
            without = " or ".join(["spaces", *separators])
            raise ConfigError(
                f"{self.at(key)}: must be printable and without {without}, not {format_value(value)}"
            )
        return value

    def texts(self, key: str, default: list[str] | None = None) -> tuple[str, ...]:
        """Return a list of strings."""
        value = self.get(key, default)
        if not isinstance(value, list):
            raise ConfigError(f"{self.at(key)}: must be a list of strings, not {format_value(value)}")
        return tuple(
            Node({f"{key}[{i}]": item}, self.path).text(f"{key}[{i}]") for i, item in enumerate(value)
        )

    def choice(self, key: str, enumeration: type[E]) -> E:
        """Return the member of an enumeration that has this value."""
        value = self.text(key)
        try:
            return enumeration(value)
        except ValueError:
            allowed = ", ".join(str(member.value) for member in enumeration)
            raise ConfigError(
                f"{self.at(key)}: must be one of {allowed}, not {format_value(value)}"
            ) from None

    def node(self, key: str, default: dict[str, Any] | None = None) -> Node:
        """Return a nested object."""
        return Node(self.get(key, default), self.at(key))

    def nodes(self, key: str, minimum: int = 0) -> list[Node]:
        """Return a nested list of objects."""
        value = self.get(key)
        if not isinstance(value, list) or len(value) < minimum:
            raise ConfigError(f"{self.at(key)}: must be a list of {minimum} objects or more")
        return [Node(item, f"{self.at(key)}[{position}]") for position, item in enumerate(value)]

    def address(self, key: str, default: str | None = None) -> str:
        """Return an address as `host:port`; the default may be an empty string."""
        value = self.text(key, default)
        if value != default and not _is_address(value):
            raise ConfigError(f"{self.at(key)}: must be host:port, not {format_value(value)}")
        return value


def _escape_character(character: str) -> str:
    return character.encode("unicode_escape").decode()


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
    """Read a JSON file. Raises `ConfigError` with the reason if that fails."""
    try:
        return orjson.loads(_read_file(path))
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"not JSON: {error}") from None


def read_toml(path: Path) -> Any:
    """Read a TOML file. Raises `ConfigError` with the reason if that fails."""
    try:
        return tomllib.loads(_read_file(path).decode())
    # Also raised for an integer of too many digits, or for nesting that is too deep.
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"not TOML: {error}") from None


def _read_file(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except FileNotFoundError as error:
        raise ConfigFileMissingError(str(error.strerror)) from None
    except (OSError, ValueError) as error:  # An invalid path raises ValueError.
        raise ConfigError(getattr(error, "strerror", None) or str(error)) from None
