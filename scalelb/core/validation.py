"""Range checks on incoming requests, the same for all front ends."""

from __future__ import annotations

from math import isfinite

from scalelb.core.exceptions import OutOfRangeError
from scalelb.core.incoming_request import IncomingRequest
from scalelb.policy.settings import Settings


def check_request(request: IncomingRequest, settings: Settings, max_deadline_multiple: float) -> None:
    """Raise `OutOfRangeError` if a value is out of range.

    Units or limiter counts out of range would distort the tenant's balance permanently, and a request without
    a deadline would stay open forever.  The longest deadline is `max_deadline_multiple` times that of the
    request's class."""
    class_is_known = 0 <= request.class_index < len(settings.request_classes)
    plan_is_known = 0 <= request.plan_index < len(settings.plans)
    if not (class_is_known and plan_is_known):
        raise OutOfRangeError("class or plan is not known")
    units = request.units
    if not (isfinite(units) and 0 < units <= (settings.max_units or units)):
        raise OutOfRangeError(f"units: {units:g} is not above 0 and at most {settings.max_units:g}")
    limiters = settings.limiter_count
    if not 1 <= request.sharing_limiters <= limiters:
        raise OutOfRangeError(f"spread: {request.sharing_limiters} is not one of 1 to {limiters}")
    if not 0 <= request.first_limiter < limiters:
        raise OutOfRangeError(f"first: {request.first_limiter} is not one of 0 to {limiters - 1}")
    max_ms = max_deadline_multiple * settings.request_classes[request.class_index].deadline_ms
    if not (isfinite(request.expires_in_ms) and request.expires_in_ms <= max_ms):
        raise OutOfRangeError(f"deadline: {request.expires_in_ms:g} ms is not at most {max_ms:g}")
