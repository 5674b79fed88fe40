"""HTTP headers that describe a request, for external authorization and the middleware.

| header | value | if absent |
| --- | --- | --- |
| `X-Customer` | the tenant: 16 hex digits, below 2^33 | malformed |
| `X-Priority-Class` | the request class, by its name in the settings | malformed |
| `X-Plan` | the plan, by its name in the settings | malformed |
| `X-Quota` | `units=2,spread=3,first=1`: units, number of sharing limiters, the first of them | 1, 1, 0 |
| `X-Timeout` | seconds until the client gives up | the deadline of the class |
| `X-Retried` | `1` if the request is a client's retry | no retry |
| `Idempotency-Key` | key of a class that uses one | not recognised through other listeners |
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from math import isfinite

from scalelb.protocol import MalformedError

HEX16 = re.compile("[0-9a-fA-F]{16}")
INTEGER = re.compile("[0-9]{1,9}")
TENANT_ID_LIMIT = 1 << 33  # exclusive
MAX_IDEMPOTENCY_KEY_LENGTH = 128
HEADER_NAMES = (
    "x-customer",
    "x-priority-class",
    "x-plan",
    "x-quota",
    "x-timeout",
    "x-retried",
    "idempotency-key",
)


def read_integer(digits: str) -> int:
    """Return an integer of one to nine ASCII digits; raises `ValueError` for any other text.

    `int` alone would also accept signs, spaces, underscores, digits of other scripts and any number of
    digits that fits into a message."""
    if INTEGER.fullmatch(digits) is None:
        raise ValueError("not a whole number")
    return int(digits)


def read_tenant(digits: str) -> str:
    """Return a tenant ID in lower case, the form in which all listeners and limiters count its requests."""
    if HEX16.fullmatch(digits) is None:
        raise MalformedError("the customer is not 16 hex digits")
    if int(digits, 16) >= TENANT_ID_LIMIT:
        raise MalformedError("the customer is not below 2^33")
    return digits.lower()


@dataclass(frozen=True, slots=True)
class RequestHeaders:
    """The checked headers of one request."""

    tenant: str
    class_index: int
    plan_index: int
    units: float
    sharing_limiters: int  # number of limiters that share the tenant's requests
    first_limiter: int  # index of the first of these
    idempotency_key: str  # empty: none
    is_retry: bool
    timeout_ms: float | None  # time until the client gives up; None: the deadline of the class applies


def read_headers(
    headers: Mapping[str, str], class_indexes: Mapping[str, int], plan_indexes: Mapping[str, int]
) -> RequestHeaders:
    """Check the headers, with names in lower case; raises `MalformedError` with the first fault found."""
    class_index, plan_index = (
        _read_index(headers, "x-priority-class", class_indexes),
        _read_index(headers, "x-plan", plan_indexes),
    )
    quota = {"units": "1", "spread": "1", "first": "0"}
    for item in filter(None, headers.get("x-quota", "").split(",")):
        name, _, value = item.strip().partition("=")
        if name in quota:
            quota[name] = value
    try:
        units, sharing_limiters, first_limiter = (
            read_integer(quota[name]) for name in ("units", "spread", "first")
        )
    except ValueError:
        raise MalformedError("x-quota: a value is not a whole number") from None
    if units < 1 or sharing_limiters < 1:
        raise MalformedError("x-quota: a value is out of range")
    idempotency_key = headers.get("idempotency-key", "")
    if len(idempotency_key) > MAX_IDEMPOTENCY_KEY_LENGTH:
        raise MalformedError("idempotency-key: too long")
    return RequestHeaders(
        tenant=read_tenant(headers.get("x-customer", "")),
        class_index=class_index,
        plan_index=plan_index,
        units=float(units),
        sharing_limiters=sharing_limiters,
        first_limiter=first_limiter,
        idempotency_key=idempotency_key,
        is_retry=headers.get("x-retried") == "1",
        timeout_ms=_read_timeout_ms(headers.get("x-timeout", "")),
    )


def _read_index(headers: Mapping[str, str], name: str, indexes: Mapping[str, int]) -> int:
    if (value := headers.get(name, "")) not in indexes:
        raise MalformedError(f"{name}: {value!r} is not one of {', '.join(indexes)}")
    return indexes[value]


def _read_timeout_ms(text: str) -> float | None:
    if not text:
        return None
    try:
        seconds = float(text)
    except ValueError:
        raise MalformedError("x-timeout: not a number of seconds") from None
    if not (isfinite(seconds) and seconds > 0):
        raise MalformedError("x-timeout: out of range")
    return 1000.0 * seconds


def retry_after(retry_after_ms: float) -> str:
    """Return the value of `Retry-After`: seconds, rounded up, at least 1."""
    return str(max(1, -int(-retry_after_ms // 1000)))
