"""The `Retry-After` delay of rejected requests."""

from __future__ import annotations

from scalelb.policy.request import Request

MIN_RETRY_AFTER_MS = 1.0


def retry_after_ms(
    request: Request, usual_latency_ms: float, admission_probability: float, max_retry_after_ms: float
) -> float:
    """Return the delay (ms) after which the client should retry.

    By then the refill covers the queued requests and this one, and the endpoints are likely to have capacity.
    """
    bucket = request.tenant.bucket
    refill_s = 0.0
    if bucket.plan.rate_per_s:
        missing = max(0.0, request.tenant.queue.units + request.units - bucket.balance)
        refill_s = missing / bucket.plan.rate_per_s
    wait_ms = max(1000 * refill_s, usual_latency_ms / admission_probability)
    return min(max_retry_after_ms, max(MIN_RETRY_AFTER_MS, wait_ms))
