"""The table of open requests, with the state of each and the caller that gets its final answer."""

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
    """The front end's side of a request: it gets the final answer, exactly once."""

    def on_answer(
        self, request: OpenRequest, verdict: Verdict, value: memoryview | None, retry_after_ms: float
    ) -> None:
        """Deliver the answer to the client.  `value` is a slice that is valid only during this call."""


class OpenRequest:
    """A request that a front end has submitted.  Times are in milliseconds of the limiter's clock."""

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
        self.payload = payload  # opaque to the core; used by the front end
        self.expires_at = expires_at
        self.client_address = client_address
        self.relative_cost = 1.0  # expected service time, as a multiple of that of a mean request
        self.endpoint_load = 0.0  # this limiter's other load on the endpoint when the attempt was sent
        self.attempt_number = -1  # number of the latest attempt, -1 before the first
        self.begin_before = inf  # the first byte of the attempt must be written before this time
        self.in_flight = False  # whether an attempt is in flight
        self.sent_at = 0.0  # when the latest attempt was sent
        self.first_byte_at = 0.0  # when the first byte of a streamed response was sent; 0: no stream
        self.endpoint = ""  # endpoint of the latest attempt
        self.attempt_handle: Any = None  # opaque to the core; set by the upstream side during an attempt
        self.is_finished = False  # answered or cancelled


class RequestTable(dict[int, OpenRequest]):
    """The open requests by id.  A finished request stays while its attempt is in flight."""

    def __init__(self) -> None:
        super().__init__()
        self.last_id = 0

    def open(self, caller: Caller, payload: Any, expires_at: float, client_address: str) -> OpenRequest:
        """Add a request under the next id."""
        self.last_id += 1
        request = OpenRequest(self.last_id, caller, payload, expires_at, client_address)
        self[request.request_id] = request
        return request
