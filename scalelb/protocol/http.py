"""HTTP/1.1 messages of the director and the counter, and of the health check."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

import httptools
import orjson

from scalelb.protocol import MalformedError

BODY_MOST = 4 * 1024 * 1024
TOTAL = re.compile(rb"-?[0-9]{1,20}(?:\.[0-9]{1,20})?(?:[eE][-+]?[0-9]{1,2})?")
TOTAL_MOST = 1e15  # an amount is at most 1e9


class Response:
    """One response, whole."""

    __slots__ = ("body", "keep", "status")

    def __init__(self, status: int, body: bytes, keep: bool) -> None:
        self.status, self.body, self.keep = status, body, keep


class ResponseReader:
    """Bytes of a server to responses, in order."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.pieces: list[bytes] = []
        self.size = 0
        self.whole: list[Response] = []

    def feed(self, data: bytes) -> list[Response]:
        """The responses that are whole now."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise MalformedError(f"not an HTTP response: {error}") from None
        whole, self.whole = self.whole, []
        return whole

    def on_body(self, body: bytes) -> None:
        """A piece of a body."""
        self.size += len(body)
        if self.size > BODY_MOST:
            raise MalformedError("the body is too long")
        self.pieces.append(body)

    def on_message_complete(self) -> None:
        """A response is whole.  One that only goes before the answer (1xx) is passed over."""
        if self.parser.get_status_code() < 200:
            self.pieces, self.size = [], 0
            return
        keep = self.parser.should_keep_alive()
        self.whole.append(Response(self.parser.get_status_code(), b"".join(self.pieces), keep))
        self.pieces, self.size = [], 0


class RequestReader:
    """Bytes of a client to request paths; bodies are skipped."""

    def __init__(self, handle_request: Callable[[str, str, bool], None]) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.handle_request = handle_request
        self.url = b""

    def feed(self, data: bytes) -> None:
        """Calls `handle_request(method, path, keep)` for each request that is whole."""
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            raise MalformedError(f"not an HTTP request: {error}") from None

    def on_url(self, url: bytes) -> None:
        """A piece of the address."""
        self.url += url
        if len(self.url) > 1024:
            raise MalformedError("the address is too long")

    def on_message_complete(self) -> None:
        """A request is whole."""
        url, self.url = self.url, b""
        path = url.partition(b"?")[0].decode("ascii", "replace")
        self.handle_request(self.parser.get_method().decode(), path, self.parser.should_keep_alive())


def request(verb: str, target: str, host: str) -> bytes:
    """A request without a body."""
    length = "Content-Length: 0\r\n" if verb == "POST" else ""
    return f"{verb} {target} HTTP/1.1\r\nHost: {host}\r\n{length}\r\n".encode("ascii")


def response(
    status: int, reason: str, body: bytes, kind: str = "application/json", close: bool = False
) -> bytes:
    """A response with a body; with `close`, the last on its connection."""
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Type: {kind}", f"Content-Length: {len(body)}"]
    lines += ["Connection: close"] * close
    return "\r\n".join([*lines, "", ""]).encode("ascii") + body


def watch_request(host: str, generation: int | None, hold_ms: int) -> bytes:
    """Ask the director for the whole list, or for what comes after a version."""
    query = "" if generation is None else f"?from={generation}&hold_ms={hold_ms}"
    return request("GET", f"/v1/endpoints{query}", host)


def counter_request(host: str, name: int, amount: float, keep_ms: float) -> bytes:
    """Add to a number of the counter."""
    figure = f"{amount:.6f}".rstrip("0").rstrip(".")  # plain, as an exponent is no decimal number
    target = f"/v2/numbers/{name:x}?delta={figure}&life_ms={max(1, min(60_000, round(keep_ms)))}"
    return request("POST", target, host)


def read_total(body: bytes) -> float:
    """The number that the counter answers."""
    if TOTAL.fullmatch(text := body.strip()) is None or not abs(number := float(text)) <= TOTAL_MOST:
        raise MalformedError(f"the counter's total is {body[:40]!r}")
    return number


def read_endpoint_list(body: bytes) -> tuple[int, bool, list[dict[str, Any]]]:
    """A director's answer: version, whether it is the whole list, and its entries."""
    try:
        answer = orjson.loads(body)
        entries = answer["instances"]
        if not all(isinstance(entry, dict) for entry in entries):
            raise TypeError("an entry is no object")
        return int(answer["generation"]), bool(answer["reset"]), entries
    except (ValueError, KeyError, TypeError) as error:
        raise MalformedError(f"not a list: {error}") from None
