"""Exchanges reports on endpoints between limiters, and applies the reports of the peers.

    b:ENDPOINT  [started_at]  faulty: once two members report it, one member probes the endpoint for all,
                              chosen by rendezvous hashing over the members present, and the others send it
                              nothing while other endpoints are available; one report alone has no effect
    t:ENDPOINT  [started_at]  recovered, reported by the member that probes it
    g:ENDPOINT  []            removed from the reporter's endpoint list: once two members report it, limiters
                              that still list the endpoint forward nothing new to it until their own list
                              changes

At most a quarter of the endpoints can be held back by reports, even if the reports are forged.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from scalelb.core.endpoint_overrides import EndpointOverrides
from scalelb.core.lifecycle import Core
from scalelb.policy.idempotency_keys import preferred_groups
from scalelb.policy.outlier_detection import TrackedEndpoint, fault_memory_ms
from scalelb.replication import Entry, Incarnation, Replicator

FAULTY_PREFIX = "b:"
RECOVERED_PREFIX = "t:"
REMOVED_PREFIX = "g:"
REPORT_PREFIXES = (FAULTY_PREFIX, REMOVED_PREFIX, RECOVERED_PREFIX)

FAULTY_RATIO = 0.5  # An endpoint is reported above this ratio of failed outcomes.
MIN_OUTCOMES = 1.2  # An endpoint with a lower decayed count of outcomes is not reported.
SUCCESSES_TO_RECOVER = 2  # Consecutive successes after which an endpoint counts as recovered.
RECOVERY_REPORT_MS = 10_000.0  # How long a recovery is reported, and how long peers apply it.
REMOVAL_REPORT_MS = 60_000.0  # How long a removal is reported.
HOLD_BACK_MS = 2500.0  # How long each review ejects a faulty endpoint.
MIN_REPORTS = 2  # Members that have to make a report before it takes effect.
MAX_HELD_BACK_RATIO = 0.25  # Largest part of the endpoints that reports can hold back.


class EndpointReports:
    """The reports of one limiter and of its peers. Times are Unix milliseconds."""

    def __init__(
        self,
        replicator: Replicator,
        core: Core,
        overrides: EndpointOverrides,
        write: Callable[[str, Any], None],
        on_overrides_changed: Callable[[list[str]], None],
        log: Callable[..., None],
    ) -> None:
        self.replicator = replicator
        self.core = core
        self.overrides = overrides
        self.write = write
        self.on_overrides_changed = on_overrides_changed
        self.log = log
        self.reporters: dict[str, set[Incarnation]] = {}  # peers' incarnations by the key of their report
        self.probers: dict[str, str] = {}  # the member that probes each faulty endpoint for all
        self.recovered_at: dict[str, float] = {}  # endpoints that this limiter reports as recovered
        self.recovery_applied_at: dict[str, float] = {}  # endpoints that a peer has reported as recovered
        self.removed_at: dict[str, float] = {}  # endpoints that this limiter reports as removed
        self.last_listed: set[str] = set()  # endpoints that were listed when `publish` last ran
        self.held_back_as_removed: set[str] = set()  # listed endpoints that only peers report as removed

    # Own reports

    def publish(self, now: float) -> None:
        """Report the outcomes, recoveries and removals of endpoints since the last review."""
        own_entries = self.replicator.own_log().entries
        self._publish_outcomes(now, own_entries)
        self._withdraw_old_recoveries(now)
        listed = set(self.overrides.listed)
        self._publish_removals(now, listed)
        self._withdraw_unlisted(own_entries, listed)
        self.last_listed = listed

    def _publish_outcomes(self, now: float, own_entries: dict[str, Entry]) -> None:
        limiter = self.core.limiter
        endpoints = limiter.selector.endpoints
        interval_ms = limiter.estimates.answer_interval_ms
        decay_ms = fault_memory_ms(interval_ms, len(endpoints))
        for name, endpoint in endpoints.items():
            key = FAULTY_PREFIX + name
            was_faulty = key in own_entries and own_entries[key].value is not None
            failure_ratio = endpoint.current_failure_ratio(now, decay_ms)
            is_faulty = failure_ratio > FAULTY_RATIO and endpoint.answer_weight >= MIN_OUTCOMES
            # Otherwise the report would expire while one member probes, and all would detect the fault again.
            if was_faulty and self._is_being_probed(name, endpoint):
                is_faulty = True
            if is_faulty != was_faulty:
                self.write(key, [round(endpoint.endpoint.started_at)] if is_faulty else None)
            is_prober = self.probers.get(name) == self.replicator.incarnation.name
            if is_prober and endpoint.consecutive_successes >= SUCCESSES_TO_RECOVER:
                self.recovered_at[name] = now
                self.write(RECOVERED_PREFIX + name, [round(endpoint.endpoint.started_at)])

    def _is_being_probed(self, name: str, endpoint: TrackedEndpoint) -> bool:
        answers_again = endpoint.consecutive_successes >= SUCCESSES_TO_RECOVER
        has_recovered = name in self.recovery_applied_at or answers_again
        return name in self.probers and not has_recovered

    def _withdraw_old_recoveries(self, now: float) -> None:
        endpoints = self.core.limiter.selector.endpoints
        for name, recovered_at in list(self.recovered_at.items()):
            successes = endpoints[name].consecutive_successes if name in endpoints else 0
            if now - recovered_at > RECOVERY_REPORT_MS or successes < SUCCESSES_TO_RECOVER:
                del self.recovered_at[name]
                self.write(RECOVERED_PREFIX + name, None)

    def _publish_removals(self, now: float, listed: set[str]) -> None:
        for name in self.last_listed - listed:
            self.removed_at[name] = now
            self.write(REMOVED_PREFIX + name, [])
        expired = [
            name
            for name, removed_at in self.removed_at.items()
            if now - removed_at > REMOVAL_REPORT_MS or name in listed
        ]
        for name in expired:
            del self.removed_at[name]
            self.write(REMOVED_PREFIX + name, None)

    def _withdraw_unlisted(self, own_entries: dict[str, Entry], listed: set[str]) -> None:
        faulty_keys = [
            key
            for key, entry in own_entries.items()
            if key.startswith(FAULTY_PREFIX) and entry.value is not None
        ]
        for key in faulty_keys:
            if key.removeprefix(FAULTY_PREFIX) not in listed:
                self.write(key, None)

    # The peers' reports

    def on_report(self, incarnation: Incarnation, key: str, is_reported: bool) -> None:
        """Record that a peer has made or withdrawn a report.

        Memory is bounded: reports are kept for three keys, one of each kind, per listed endpoint."""
        if is_reported:
            has_capacity = len(self.reporters) < len(REPORT_PREFIXES) * len(self.overrides.listed)
            if key in self.reporters or has_capacity:
                self.reporters.setdefault(key, set()).add(incarnation)
            return
        reporters = self.reporters.get(key)
        if reporters is not None:
            reporters.discard(incarnation)
            if not reporters:
                del self.reporters[key]

    def _reporting_members(self, key: str) -> set[str]:
        """Return the peers whose newest incarnations make this report, without this limiter itself."""
        newest = self.replicator.replica.newest_incarnation
        reporters = self.reporters.get(key, ())
        return {incarnation.name for incarnation in reporters if newest(incarnation.name) == incarnation}

    def review(self, now: float, replicator_now: float) -> None:
        """Apply the reports.

        A report takes effect if two members make it, so that a single mistaken peer holds no endpoint back.
        If many endpoints look faulty, none is held back, as the cause is probably not the endpoints.

        `replicator_now` is in ms of the replicator's clock.
        """
        self._choose_probers(replicator_now)
        self._hold_back_faulty(now)
        for name in [
            endpoint
            for endpoint, applied_at in self.recovery_applied_at.items()
            if now - applied_at > RECOVERY_REPORT_MS
        ]:
            del self.recovery_applied_at[name]
        self._hold_back_removed()

    def _choose_probers(self, replicator_now: float) -> None:
        replicator = self.replicator
        endpoints = self.core.limiter.selector.endpoints
        own_keys = {key for key, entry in replicator.own_log().entries.items() if entry.value is not None}
        present: list[str] = []
        if not replicator.is_isolated(replicator_now):  # An isolated limiter uses its own outcomes only.
            present = replicator.present_members(replicator_now)
        report_counts = {}
        for name in endpoints:
            key = FAULTY_PREFIX + name
            report_counts[name] = len(self._reporting_members(key)) + (1 if key in own_keys else 0)
        faulty = [name for name in endpoints if report_counts[name] >= MIN_REPORTS]
        faulty.sort(key=lambda name: (-report_counts[name], name))
        if not present or len(faulty) > _max_held_back(len(endpoints)):
            faulty = []
        self.probers = {name: preferred_groups(name, present)[0] for name in faulty}

    def _hold_back_faulty(self, now: float) -> None:
        limiter = self.core.limiter
        for name, prober in self.probers.items():
            endpoint = limiter.selector.endpoints[name]
            if prober == self.replicator.incarnation.name:
                continue  # The prober uses its own outlier detection, like a limiter without peers.
            if prober not in self._reporting_members(RECOVERED_PREFIX + name):
                endpoint.ejected_until = max(endpoint.ejected_until, now + HOLD_BACK_MS)
            elif name not in self.recovery_applied_at:  # Once per report; from now on, own outcomes count.
                self.recovery_applied_at[name] = now
                endpoint.clear_faults(limiter.estimates.latency_ms)

    def _hold_back_removed(self) -> None:
        listed = self.overrides.listed
        reported = [
            name
            for name in sorted(listed)
            if len(self._reporting_members(REMOVED_PREFIX + name)) >= MIN_REPORTS
        ]
        held_back = set(reported[: _max_held_back(len(listed))])
        if held_back == self.held_back_as_removed:
            return
        changed = held_back ^ self.held_back_as_removed
        self.held_back_as_removed = held_back
        self.overrides.distrusted = held_back
        self.on_overrides_changed(sorted(changed))
        self.log("heeded", gone=sorted(held_back))


def _max_held_back(endpoint_count: int) -> int:
    return max(1, int(MAX_HELD_BACK_RATIO * endpoint_count))
