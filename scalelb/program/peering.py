"""Connects one limiter's core to its replicator. No I/O: the replicator carries the entries to the peers.

Every limiter writes only entries of its own: the accounts of its tenants, its reports on endpoints, and the
manual overrides of its operators. So no agreement is needed, and a copy can be outdated but never wrong. The
effect of a peer's entry is bounded, even if the entry is forged:

    u:TENANT                       `account_replication.py`
    x:ENDPOINT  [at, is_ejected]   a manual override, which drains the endpoint: read by the next incarnation
                                   of this limiter, or by all limiters if `bans` in `deploy/peers.toml` is
                                   "fleet"
    b:, t:, g:ENDPOINT             `endpoint_reports.py`
    k:TENANT KEY                   `idempotency_records.py`
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from math import inf
from typing import Any
from zlib import crc32

from scalelb.core.endpoint_overrides import EndpointOverrides, Override
from scalelb.core.lifecycle import Core
from scalelb.policy.handover import export_handover
from scalelb.program.account_replication import (
    ACCOUNT_PREFIX,
    EARLIER_INCARNATIONS_MS,
    AccountReplication,
    decode_account,
)
from scalelb.program.endpoint_reports import REPORT_PREFIXES, EndpointReports
from scalelb.program.idempotency_records import (
    IDEMPOTENCY_PREFIX,
    MAX_CLOCK_DISTANCE_MS,
    IdempotencyRecords,
)
from scalelb.replication import Incarnation, MemberState, OutgoingFrame, Replicator

OVERRIDE_PREFIX = "x:"
REVIEW_INTERVAL_MS = 1000.0  # Time between two reviews of the endpoints.
MAX_OVERRIDE_TIME_MS = 1e15  # Later times of overrides are invalid.
TICK_TOLERANCE_MS = 1.0  # Timers are not exact: a tick may come early by this much.


class OverrideScope(Enum):
    """The limiters that apply a manual override."""

    LIMITER = "own"  # the limiter where it was made, and its next incarnations
    FLEET = "fleet"  # all limiters


class Peering:
    """Connects one limiter's core to its replicator.

    Times are Unix milliseconds (`clock`), except those named after the replicator."""

    def __init__(
        self,
        replicator: Replicator,
        core: Core,
        overrides: EndpointOverrides,
        clock: Callable[[], float],
        on_overrides_changed: Callable[[list[str]], None],
        log: Callable[..., None],
        override_scope: OverrideScope = OverrideScope.LIMITER,
        flush: Callable[[], None] = lambda: None,
    ) -> None:
        """`on_overrides_changed` receives the endpoints; `flush` sends pending writes at once."""
        self.replicator = replicator
        self.core = core
        self.overrides = overrides
        self.clock = clock
        self.on_overrides_changed = on_overrides_changed
        self.log = log
        self.override_scope = override_scope
        self.reviewed_at = -inf
        self.replicator_ticked_at = -inf  # replicator time of the replicator's latest tick
        self.replicator_now = 0.0  # replicator time at the latest tick
        self.close_earlier_at = inf  # when all that earlier incarnations granted has expired
        self.accounts = AccountReplication(core, self.write)
        self.endpoints = EndpointReports(replicator, core, overrides, self.write, on_overrides_changed, log)
        self.idempotency = IdempotencyRecords(core, clock, self.write, flush)
        replicator.on_settled = self.on_settled
        replicator.on_closed = self.on_closed
        replicator.on_entry = self.on_entry
        # Until this incarnation has settled, new tenants start empty: an earlier one may have granted units.
        core.limiter.tenants.records.unknown_start_empty_until = inf

    def write(self, key: str, value: Any) -> None:
        """Write an entry of this limiter; the value None deletes it."""
        self.replicator.write(key, value, self.replicator_now)

    def tick(self, replicator_now: float, is_ready: Callable[[str], bool]) -> list[OutgoingFrame]:
        """Return the frames to send to members that are ready; call it every `push_ms`."""
        now = self.clock()
        self.replicator_now = replicator_now
        self.idempotency.tick(now)
        if self.replicator.is_settled and not self.replicator.is_closed:
            self._publish(now)
        frames = self.replicator.push(is_ready)
        tick_ms = self.replicator.settings.tick_ms
        if replicator_now - self.replicator_ticked_at >= tick_ms - TICK_TOLERANCE_MS:
            self.replicator_ticked_at = replicator_now
            frames += self.replicator.tick(replicator_now, is_ready)
        return frames

    def _publish(self, now: float) -> None:
        self.accounts.publish(now)
        if now >= self.close_earlier_at:
            self.close_earlier_at = inf
            self.replicator.close_earlier_incarnations(self.replicator_now)
        if now - self.reviewed_at >= REVIEW_INTERVAL_MS:
            self.reviewed_at = now
            self.endpoints.publish(now)
            self.endpoints.review(now, self.replicator_now)

    def publish_override(self, endpoint: str, replicator_now: float) -> None:
        """Publish an operator's override of an endpoint."""
        override = self.overrides.by_endpoint.get(endpoint)
        if override is not None:
            value = [round(override.set_at, 3), override.is_ejected]
            self.replicator.write(OVERRIDE_PREFIX + endpoint, value, replicator_now)

    # Called by the replicator

    def on_settled(self) -> None:
        """Restore the state of this limiter's earlier incarnations; all that peers hold of it is here now."""
        now = self.clock()
        recovered_count = 0
        self.close_earlier_at = now
        earlier = self.replicator.earlier_incarnations()
        for incarnation in earlier:
            for key, value in self.replicator.replica.logs[incarnation].live_entries():
                if key.startswith(ACCOUNT_PREFIX):
                    recovered_count += self._recover_account(key.removeprefix(ACCOUNT_PREFIX), value, now)
                elif key.startswith(OVERRIDE_PREFIX):
                    self.on_entry(incarnation, key, value)
                elif key.startswith(IDEMPOTENCY_PREFIX):
                    self.close_earlier_at = max(self.close_earlier_at, now + MAX_CLOCK_DISTANCE_MS)
        self.core.limiter.tenants.records.unknown_start_empty_until = 0.0
        self.log("recalled", accounts=recovered_count, lives=len(earlier))

    def _recover_account(self, tenant: str, value: Any, now: float) -> bool:
        record = decode_account(value, now)
        if record is None:
            return False
        granted_until = min(record.full_at, now + EARLIER_INCARNATIONS_MS)
        self.close_earlier_at = max(self.close_earlier_at, granted_until)
        return self.accounts.recover(tenant, record)

    def on_closed(self) -> None:
        """Stop granting units: a newer incarnation of this limiter is running, and owns the balances."""
        export_handover(self.core.limiter, self.clock())

    def on_entry(self, incarnation: Incarnation, key: str, value: Any) -> None:
        """Apply an entry that was received or deleted (None)."""
        is_own = incarnation.name == self.replicator.incarnation.name
        applies_here = is_own or self.override_scope is OverrideScope.FLEET
        if key.startswith(IDEMPOTENCY_PREFIX):
            self.idempotency.on_entry(incarnation, key.removeprefix(IDEMPOTENCY_PREFIX), value)
        elif key.startswith(REPORT_PREFIXES) and not is_own:
            self.endpoints.on_report(incarnation, key, value is not None)
        elif key.startswith(OVERRIDE_PREFIX) and value is not None and applies_here:
            self._apply_override(key.removeprefix(OVERRIDE_PREFIX), value)

    def _apply_override(self, endpoint: str, value: Any) -> None:
        match value:
            case [int() | float() as at, bool(is_ejected)] if not isinstance(at, bool):
                if not 0 <= at < MAX_OVERRIDE_TIME_MS:
                    return
                if self.overrides.merge([(endpoint, Override(float(at), is_ejected))]):
                    self.on_overrides_changed([endpoint])

    # For the log and for operators

    def digest(self) -> str:
        """Return a checksum of the replicated data, in 8 hexadecimal digits.

        The versions of all logs identify their content."""
        versions = sorted(self.replicator.replica.versions().items())
        # Operators compare it with limiters of other releases, so the text that is hashed must not change.
        parts = [
            f"(Life(name={name!r}, number={number!r}, nonce={nonce!r}), {version!r})"
            for (name, number, nonce), version in versions
        ]
        text = "[" + ", ".join(parts) + "]"
        return f"{crc32(text.encode()):08x}"

    def status(self, replicator_now: float) -> dict[str, Any]:
        """Return the status for the log and for operators; the keys are fields of log lines."""
        replicator = self.replicator
        other_members = [name for name in replicator.topology.members if name != replicator.incarnation.name]
        member_states = {name: replicator.member_state(name, replicator_now) for name in other_members}
        return {
            "life": replicator.incarnation.number,
            "settled": replicator.is_settled,
            "closed": replicator.is_closed,
            "alone": replicator.is_isolated(replicator_now),
            "links": len(replicator.links),
            "not_alive": {
                name: state.value for name, state in member_states.items() if state is not MemberState.ALIVE
            },
            "entries": sum(len(log.entries) for log in replicator.replica.logs.values()),
        }
