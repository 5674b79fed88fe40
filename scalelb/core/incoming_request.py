"""A request as a front end submits it to the core, whatever protocol it arrived by."""

from __future__ import annotations

from typing import NamedTuple

from scalelb.policy.endpoints import Endpoint
from scalelb.policy.events import RequestArrived


class IncomingRequest(NamedTuple):
    """A client's request.  `Core.submit` checks the values.

    It is a named tuple, as one is created for each request: a frozen dataclass takes three times as long."""

    tenant: str
    plan_index: int
    class_index: int
    expires_in_ms: float  # time until the client gives up
    units: float  # an estimate if the settings let responses report the true units
    sharing_limiters: int = 1  # number of limiters that share the tenant's requests
    first_limiter: int = 0  # index of the first of these
    is_retry: bool = False  # whether the client marked it as a retry
    listener: int = 0  # index of the limiter's listener through which it arrived
    # Required if the same request may arrive through another listener, or if only some endpoints drop its
    # duplicates; empty: no key.
    idempotency_key: str = ""
    client_address: str = ""  # the peer of the connection, for an admission queue that is fair by client

    def arrival(
        self,
        request_id: int,
        expires_in_ms: float,
        admission_only: bool,
        execution: tuple[Endpoint, float] | None,
    ) -> RequestArrived:
        """Return the event for the decision module.

        `execution`: where and when (ms) an attempt with its idempotency key may have been executed that
        another limiter sent."""
        executed_on, executed_at = execution if execution is not None else (None, 0.0)
        return RequestArrived(
            request_id,
            self.tenant,
            self.plan_index,
            self.class_index,
            expires_in_ms,
            self.units,
            self.sharing_limiters,
            self.first_limiter,
            self.is_retry,
            self.listener,
            self.idempotency_key,
            admission_only,
            executed_on=executed_on,
            executed_at=executed_at,
        )
