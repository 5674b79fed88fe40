"""HTTP/1.1 messages of discovery, the counter, health checks and the operator API."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

import httptools
import orjson

from scalelb.protocol import MalformedError

MAX_BODY_BYTES = 4 * 1024 * 1024
COUNTER_TOTAL = re.compile(rb"-?[0-9]{1,20}(?:\.[0-9]{1,20})?(?:[eE][-+]?[0-9]{1,2})?")
MAX_COUNTER_TOTAL = 1e15  # an amount is at most 1e9


class Response:
    """One complete response; `keep_alive` says whether its connection stays open."""

    __slots__ = ("body", "keep_alive", "status")

    def __init__(self, status: int, body: bytes, keep_alive: bool) -> None:
        self.status, self.body, self.keep_alive = status, body, keep_alive


class ResponseReader:
    """Parses the bytes of a server to responses, in order."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body_pieces: list[bytes] = []
        self.body_size = 0
        self.complete: list[Response] = []

    def feed(self, data: bytes) -> list[Response]:
        """Return the responses that `data` completes; raises `MalformedError`."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise MalformedError(f"not an HTTP response: {error}") from None
        complete, self.complete = self.complete, []
        return complete

    def on_body(self, body: bytes) -> None:
        """Called by the parser: a piece of a body arrived."""
        self.body_size += len(body)
        if self.body_size > MAX_BODY_BYTES:
            raise MalformedError("the body is too long")
        self.body_pieces.append(body)

    def on_message_complete(self) -> None:
        """Called by the parser: a response is complete. An informational one (1xx) is skipped."""
        if self.parser.get_status_code() < 200:
            self.body_pieces, self.body_size = [], 0
            return
        keep_alive = self.parser.should_keep_alive()
        self.complete.append(Response(self.parser.get_status_code(), b"".join(self.body_pieces), keep_alive))
        self.body_pieces, self.body_size = [], 0


class RequestReader:
    """Parses the bytes of a client to requests; bodies are skipped.

    Calls `handle_request(method, path, keep_alive)` for each complete request."""

    def __init__(self, handle_request: Callable[[str, str, bool], None]) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.handle_request = handle_request
        self.url = b""

    def feed(self, data: bytes) -> None:
        """Parse `data`; raises `MalformedError`."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise MalformedError(f"not an HTTP request: {error}") from None

    def on_url(self, url: bytes) -> None:
        """Called by the parser: a piece of the URL arrived."""
        self.url += url
        if len(self.url) > 1024:
            raise MalformedError("the address is too long")

    def on_message_complete(self) -> None:
        """Called by the parser: a request is complete."""
        url, self.url = self.url, b""
        path = url.partition(b"?")[0].decode("ascii", "replace")
        self.handle_request(self.parser.get_method().decode(), path, self.parser.should_keep_alive())


def request(method: str, target: str, host: str) -> bytes:
    """Return a request without a body."""
    length = "Content-Length: 0\r\n" if method == "POST" else ""
    return f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n{length}\r\n".encode("ascii")


def response(
    status: int, reason: str, body: bytes, content_type: str = "application/json", close: bool = False
) -> bytes:
    """Return a response; with `close`, it announces that the connection closes after it."""
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Type: {content_type}", f"Content-Length: {len(body)}"]
    lines += ["Connection: close"] * close
    return "\r\n".join([*lines, "", ""]).encode("ascii") + body


def watch_request(host: str, generation: int | None, hold_ms: int) -> bytes:
    """Return a request for the endpoint list: the complete one, or what changes after `generation`.

    Discovery holds the response back for up to `hold_ms` until there is a change."""
    query = "" if generation is None else f"?from={generation}&hold_ms={hold_ms}"
    return request("GET", f"/v1/endpoints{query}", host)


def counter_request(host: str, counter_key: int, amount: float, retention_ms: float) -> bytes:
    """Return a request that adds `amount` to a number of the counter, to be retained for `retention_ms`."""
    delta = f"{amount:.6f}".rstrip("0").rstrip(".")  # decimal notation: the counter expects no exponent
    target = f"/v2/numbers/{counter_key:x}?delta={delta}&life_ms={max(1, min(60_000, round(retention_ms)))}"
    return request("POST", target, host)


def read_total(body: bytes) -> float:
    """Return the total in a response of the counter; raises `MalformedError`."""
    if (
        COUNTER_TOTAL.fullmatch(text := body.strip()) is None
        or not abs(number := float(text)) <= MAX_COUNTER_TOTAL
    ):
        raise MalformedError(f"the counter's total is {body[:40]!r}")
    return number


def read_endpoint_list(body: bytes) -> tuple[int, bool, list[dict[str, Any]]]:
    """Return the generation of discovery's response, whether its list is complete, and the entries.

    Raises `MalformedError`."""
    try:
        content = orjson.loads(body)
        entries = content["instances"]
        if not all(isinstance(entry, dict) for entry in entries):
            raise TypeError("an entry is no object")
        return int(content["generation"]), bool(content["reset"]), entries
    except (ValueError, KeyError, TypeError) as error:
        raise MalformedError(f"not a list: {error}") from None
