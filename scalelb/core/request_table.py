"""The open requests, what the core remembers of each, and who gets its final answer."""

from __future__ import annotations

from enum import Enum
from math import inf
from typing import Any, Protocol


class Verdict(Enum):
    """The final answer to a request."""

    SERVED = "served"
    ADMITTED = "admitted"
    REJECTED = "refused"
    FAILED = "failed"


class Caller(Protocol):
    """The front's side of a request: it gets the final answer, once."""

    def on_answer(
        self, request: OpenRequest, verdict: Verdict, value: memoryview | None, retry_after_ms: float
    ) -> None:
        """Pass the answer on.  `value` is a slice that is valid during this call only."""


class OpenRequest:
    """A request that a front has submitted.  Times in ms of the limiter's clock."""

    __slots__ = (
        "attempt_handle", "attempt_number", "begin_before", "caller", "client_address", "endpoint",
        "endpoint_load", "expires_at", "first_byte_at", "in_flight", "is_finished", "payload",
        "relative_cost", "request_id", "sent_at",
    )  # fmt: skip

    def __init__(
        self, request_id: int, caller: Caller, payload: Any, expires_at: float, client_address: str
    ) -> None:
        self.request_id = request_id
        self.caller = caller
        self.payload = payload  # the front's own
        self.expires_at = expires_at
        self.client_address = client_address
        self.relative_cost = 1.0  # expected service time, as a multiple of a mean request's
        self.endpoint_load = 0.0  # this limiter's other load on the endpoint when the attempt was sent
        self.attempt_number = -1  # of the newest attempt
        self.begin_before = inf  # the attempt's first byte is written before this time, or never
        self.in_flight = False  # whether an attempt is
        self.sent_at = 0.0  # when the newest attempt was sent
        self.first_byte_at = 0.0  # when a streamed response began to reach the client, while it lasts; else 0
        self.endpoint = ""  # of the newest attempt
        self.attempt_handle: Any = None  # the back side's own, while an attempt is in flight
        self.is_finished = False  # answered or cancelled


class RequestTable(dict[int, OpenRequest]):
    """The open requests by id.  A finished one stays while an attempt of it is in flight."""

    def __init__(self) -> None:
        super().__init__()
        self.last_id = 0

    def open(self, caller: Caller, payload: Any, expires_at: float, client_address: str) -> OpenRequest:
        """Add a request under the next id."""
        self.last_id += 1
        request = OpenRequest(self.last_id, caller, payload, expires_at, client_address)
        self[request.request_id] = request
        return request
