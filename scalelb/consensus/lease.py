"""The duration of a lease at its holder and at the acceptor that granted it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Lease durations on monotonic clocks whose rates deviate by at most `drift_ratio`.

    The holder measures from its request and the acceptor from its reply, so a lease ends at the holder first.
    """

    lease_ms: float = 3000.0
    renew_ms: float = 750.0  # interval between two requests of a learner
    drift_ratio: float = 0.01

    @property
    def holder_lease_ms(self) -> float:
        """How long a learner may use a lease, measured from its request."""
        return self.lease_ms * (1 - self.drift_ratio)

    @property
    def acceptor_lease_ms(self) -> float:
        """How long an acceptor considers a lease in use, measured from its reply."""
        return self.lease_ms * (1 + self.drift_ratio)
