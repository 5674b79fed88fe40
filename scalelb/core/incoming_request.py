"""A request as a front hands it to the core, whatever wire it came by."""

from __future__ import annotations

from typing import NamedTuple

from scalelb.policy.endpoints import Endpoint
from scalelb.policy.events import RequestArrived


class IncomingRequest(NamedTuple):
    """What a client asks for.  The values are checked by `Core.submit`.

    A named tuple, as one is made for each request: it takes a third of a frozen dataclass's time."""

    tenant: str
    plan_index: int
    class_index: int
    expires_in_ms: float  # the client gives up then
    units: float  # an estimate where the settings say that the true cost follows
    sharing_limiters: int = 1  # how many limiters the tenant's requests come through
    first_limiter: int = 0  # index of the first of these
    is_retry: bool = False  # by the client
    listener: int = 0  # which of the limiter's own front ends it came through
    # Needed where the same request may come through another listener, or where only some endpoints drop its
    # duplicates; empty: none.
    idempotency_key: str = ""
    client_address: str = ""  # who holds the connection, for an admission queue that is fair by client

    def arrival(
        self,
        request_id: int,
        expires_in_ms: float,
        admission_only: bool,
        execution: tuple[Endpoint, float] | None,
    ) -> RequestArrived:
        """The event for the decisions.  `execution`: where and when (ms) an attempt with its idempotency key
        may have been executed, sent by another limiter."""
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
