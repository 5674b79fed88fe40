"""What a request says of itself in HTTP headers; for external authorization and the middleware.

| header | what it says | without it |
| --- | --- | --- |
| `X-Tenant` | the review center, 16 hex digits, below 2^33 | malformed |
| `X-Priority-Class` | the class, named as in the settings | malformed |
| `X-Plan` | the plan, named as in the settings | malformed |
| `X-Quota` | `units=2,spread=3,first=1`: units, and which limiters it comes through | 1, 1, 0 |
| `X-Timeout` | how long the client waits, in seconds | the deadline of the class |
| `X-Retried` | `1` on a client's retry | none |
| `Idempotency-Key` | the key of a keyed class | not known at the other doors |
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from math import isfinite

from scalelb.protocol import MalformedError

HEX16 = re.compile("[0-9a-fA-F]{16}")
WHOLE = re.compile("[0-9]{1,9}")
CUSTOMER_BELOW = 1 << 33
KEY_MOST = 128
NAMES = ("x-customer", "x-priority-class", "x-plan", "x-quota", "x-timeout", "x-retried", "idempotency-key")


def read_whole(digits: str) -> int:
    """A whole number in plain digits.  Guards against what `int` takes besides: signs, spaces, underscores,
    other scripts' digits, and as many of them as fit a message."""
    if WHOLE.fullmatch(digits) is None:
        raise ValueError("not a whole number")
    return int(digits)


def read_customer(digits: str) -> str:
    """A customer's name, in the one form that all doors and limiters count it by."""
    if HEX16.fullmatch(digits) is None:
        raise MalformedError("the customer is not 16 hex digits")
    if int(digits, 16) >= CUSTOMER_BELOW:
        raise MalformedError("the customer is not below 2^33")
    return digits.lower()


@dataclass(frozen=True, slots=True)
class RequestHeaders:
    """A request for admission."""

    tenant: str
    class_index: int
    plan_index: int
    units: float
    sharing_limiters: int
    first_limiter: int
    idempotency_key: str
    is_retry: bool
    timeout_ms: float | None


def read_headers(
    headers: Mapping[str, str], kinds: Mapping[str, int], plans: Mapping[str, int]
) -> RequestHeaders:
    """Check the headers (names in small letters); the first fault is named."""
    kind, plan = _one(headers, "x-priority-class", kinds), _one(headers, "x-plan", plans)
    quota = {"units": "1", "spread": "1", "first": "0"}
    for item in filter(None, headers.get("x-quota", "").split(",")):
        name, _, value = item.strip().partition("=")
        if name in quota:
            quota[name] = value
    try:
        units, spread, first = (read_whole(quota[name]) for name in ("units", "spread", "first"))
    except ValueError:
        raise MalformedError("x-quota: a value is not a whole number") from None
    if units < 1 or spread < 1:
        raise MalformedError("x-quota: a value is out of range")
    key = headers.get("idempotency-key", "")
    if len(key) > KEY_MOST:
        raise MalformedError("idempotency-key: too long")
    return RequestHeaders(
        tenant=read_customer(headers.get("x-customer", "")),
        class_index=kind,
        plan_index=plan,
        units=float(units),
        sharing_limiters=spread,
        first_limiter=first,
        idempotency_key=key,
        is_retry=headers.get("x-retried") == "1",
        timeout_ms=_timeout(headers.get("x-timeout", "")),
    )


def _one(headers: Mapping[str, str], name: str, known: Mapping[str, int]) -> int:
    if (value := headers.get(name, "")) not in known:
        raise MalformedError(f"{name}: {value!r} is not one of {', '.join(known)}")
    return known[value]


def _timeout(text: str) -> float | None:
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
    """The value of `Retry-After`: whole seconds, 1 at least."""
    return str(max(1, -int(-retry_after_ms // 1000)))
