"""A client's request without a final answer yet, and its attempts."""

from __future__ import annotations

from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING

from scalelb.policy.endpoints import Endpoint
from scalelb.policy.events import RequestArrived
from scalelb.policy.outlier_detection import TrackedEndpoint
from scalelb.policy.settings import Idempotency, RequestClass

if TYPE_CHECKING:
    from scalelb.policy.tenant import Tenant


@dataclass(slots=True, eq=False)
class Request:
    """A request without a final answer yet."""

    request_id: int
    tenant: Tenant
    request_class: RequestClass
    units: float
    due_at: float  # ms; a later answer has less value
    arrived_at: float  # ms
    rank: tuple[float, float]  # order in its tenant's queue: class precedence, then fewest units
    attempts_sent: int = 0
    must_wait_for_counter: bool = False  # if so, it must not overdraw the balance
    charged_units: float = 0.0
    last_endpoint: str = ""
    may_have_executed: bool = False  # whether an endpoint may have executed an attempt
    executed_at: float = 0.0  # ms; when the first attempt that may have executed was sent
    executed_on: Endpoint | None = None
    listener_bit: int = 0  # bit of the front end of the limiter that received it
    idempotency_key: str = ""
    is_admission_only: bool = False  # the caller forwards it

    @classmethod
    def from_event(
        cls,
        event: RequestArrived,
        tenant: Tenant,
        request_class: RequestClass,
        now: float,
        age_ms: float,
        precedence: float,
    ) -> Request:
        """Return the record of a request that arrives at `now` (ms), first sent by its client `age_ms` ago.

        Among requests of the same precedence, those with fewer units go first: the balance covers them
        sooner, and each unit earns the same in any request. This does not apply if limiters share a bucket on
        the counter: there, each request is granted its own units, and the units of one that is overtaken
        would not cover another request.
        """
        units = event.units or tenant.bucket.mean_units
        objective_left_ms = request_class.latency_objective_ms - event.queued_ms - age_ms
        return cls(
            request_id=event.request_id,
            tenant=tenant,
            request_class=request_class,
            units=units,
            due_at=now + min(objective_left_ms, event.expires_in_ms),
            arrived_at=now,
            rank=(precedence, 0.0 if tenant.bucket.is_stored_on_counter else -units),
            listener_bit=1 << event.listener,
            idempotency_key=event.idempotency_key,
            is_admission_only=event.admission_only,
            may_have_executed=event.executed_on is not None,
            executed_at=event.executed_at,
            executed_on=event.executed_on,
        )

    @property
    def must_retry_before(self) -> float:
        """The time (ms) before which a further attempt must begin.

        It is unlimited while no attempt may have executed and for idempotent requests. A request that is not
        idempotent must not be retried after an attempt may have executed.
        """
        if not self.may_have_executed:
            return inf
        idempotency = self.request_class.idempotency
        if idempotency is Idempotency.IDEMPOTENT:
            return inf
        if idempotency is Idempotency.IDEMPOTENCY_KEY:
            return self.executed_at + self.request_class.idempotency_window_ms
        return -inf

    def can_be_retried_by_client(self) -> bool:
        """Whether a retry by the client is harmless, so that the final answer may be a rejection."""
        return not self.may_have_executed or self.request_class.is_retriable_anywhere


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt in flight."""

    request: Request
    endpoint: TrackedEndpoint
    sent_to: Endpoint  # as it was listed then; `endpoint` follows the list, also to a new process of the name
    load: float  # relative to a request of mean units
    sent_at: float  # ms
