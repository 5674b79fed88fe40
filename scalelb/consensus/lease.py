"""How long a lease runs, at its holder and at the acceptor that granted it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Times on monotonic clocks whose rates differ by at most `drift_ratio` of themselves.

    The holder counts from its request and the acceptor from its reply, so the holder's lease ends first.
    """

    lease_ms: float = 3000.0
    renew_ms: float = 750.0  # between two requests of a learner
    drift_ratio: float = 0.01

    @property
    def holder_lease_ms(self) -> float:
        """How long a learner may use a lease, from its request."""
        return self.lease_ms * (1 - self.drift_ratio)

    @property
    def acceptor_lease_ms(self) -> float:
        """How long an acceptor takes a lease to be out, from its reply."""
        return self.lease_ms * (1 + self.drift_ratio)
