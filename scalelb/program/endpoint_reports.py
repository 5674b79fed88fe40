"""What limiters report of endpoints, and what each makes of the others' reports.

    b:ENDPOINT  [started_at]  faulty: once two members say so, one of them probes it for all (by rendezvous
                              hashing over those present) and the others send it nothing while there are
                              others; one report alone does nothing
    t:ENDPOINT  [started_at]  recovered, by the member that probes it
    g:ENDPOINT  []            removed from the reporter's list; who still has it listed sends nothing new
                              there once two say so, until its own list tells more

At most a quarter of the endpoints can be held back by reports, whoever may have written them.
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

FAULTY_RATIO = 0.5  # of failed outcomes, above which an endpoint is reported
MIN_OUTCOMES = 1.2  # decayed count of outcomes, below which nothing is reported
SUCCESSES_TO_RECOVER = 2  # in a row
RECOVERY_REPORT_MS = 10_000.0  # how long a recovery is reported, and counts at the others
REMOVAL_REPORT_MS = 60_000.0  # how long a removal is reported
HOLD_MS = 2500.0  # how long a faulty endpoint gets nothing, from each review on
REPORTS_NEEDED = 2
MAX_HELD_RATIO = 0.25  # of the endpoints


class EndpointReports:
    """The reports of one limiter and of its peers.  Times are Unix milliseconds."""

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
        self.reporters: dict[str, set[Incarnation]] = {}  # of the peers, by the key of a report
        self.probers: dict[str, str] = {}  # faulty endpoints, and the member that probes each for all
        self.recovered_at: dict[str, float] = {}  # endpoints that this limiter reports as recovered
        self.recovery_taken_at: dict[str, float] = {}  # endpoints whose recovery another has reported
        self.removed_at: dict[str, float] = {}  # endpoints whose removal this limiter reports
        self.last_listed: set[str] = set()
        self.held_as_removed: set[str] = set()  # listed, and held back for the peers' reports alone

    # Own reports

    def publish(self, now: float) -> None:
        """Report what was found of endpoints since the last review."""
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
            # Without this line the report would fade while one member probes, and all would find it out anew.
            if was_faulty and self._is_being_probed(name, endpoint):
                is_faulty = True
            if is_faulty != was_faulty:
                self.write(key, [round(endpoint.endpoint.started_at)] if is_faulty else None)
            is_prober = self.probers.get(name) == self.replicator.incarnation.name
            if is_prober and endpoint.consecutive_successes >= SUCCESSES_TO_RECOVER:
                self.recovered_at[name] = now
                self.write(RECOVERED_PREFIX + name, [round(endpoint.endpoint.started_at)])

    def _is_being_probed(self, name: str, endpoint: TrackedEndpoint) -> bool:
        is_good = endpoint.consecutive_successes >= SUCCESSES_TO_RECOVER
        has_recovered = name in self.recovery_taken_at or is_good
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
        over = [
            name
            for name, removed_at in self.removed_at.items()
            if now - removed_at > REMOVAL_REPORT_MS or name in listed
        ]
        for name in over:
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

    def take(self, incarnation: Incarnation, key: str, is_reported: bool) -> None:
        """A peer's report is new, or was withdrawn.  Bounds the memory: three kinds for each listed
        endpoint."""
        if is_reported:
            has_room = len(self.reporters) < len(REPORT_PREFIXES) * len(self.overrides.listed)
            if key in self.reporters or has_room:
                self.reporters.setdefault(key, set()).add(incarnation)
            return
        reporters = self.reporters.get(key)
        if reporters is not None:
            reporters.discard(incarnation)
            if not reporters:
                del self.reporters[key]

    def _reporting_members(self, key: str) -> set[str]:
        """The peers whose newest incarnations report something; not this limiter itself."""
        newest = self.replicator.replica.newest_incarnation
        reporters = self.reporters.get(key, ())
        return {incarnation.name for incarnation in reporters if newest(incarnation.name) == incarnation}

    def review(self, now: float, replicator_now: float) -> None:
        """Act on the reports.  Two members have to make one, on few endpoints: so one wrong peer alone holds
        no endpoint back, and where most look faulty it is not they that are.

        `replicator_now`: ms of the replicator's clock.
        """
        self._choose_probers(replicator_now)
        self._hold_back_faulty(now)
        for name in [n for n, at in self.recovery_taken_at.items() if now - at > RECOVERY_REPORT_MS]:
            del self.recovery_taken_at[name]
        self._hold_back_removed()

    def _choose_probers(self, replicator_now: float) -> None:
        replicator = self.replicator
        endpoints = self.core.limiter.selector.endpoints
        own = {key for key, entry in replicator.own_log().entries.items() if entry.value is not None}
        present: list[str] = []
        if not replicator.is_isolated(replicator_now):  # else it decides by what it has found itself
            present = replicator.present_members(replicator_now)
        report_counts = {}
        for name in endpoints:
            key = FAULTY_PREFIX + name
            report_counts[name] = len(self._reporting_members(key)) + (1 if key in own else 0)
        faulty = [name for name in endpoints if report_counts[name] >= REPORTS_NEEDED]
        faulty.sort(key=lambda name: (-report_counts[name], name))
        if not present or len(faulty) > _max_held(len(endpoints)):
            faulty = []
        self.probers = {name: preferred_groups(name, present)[0] for name in faulty}

    def _hold_back_faulty(self, now: float) -> None:
        limiter = self.core.limiter
        for name, prober in self.probers.items():
            endpoint = limiter.selector.endpoints[name]
            if prober == self.replicator.incarnation.name:
                continue  # it probes by its own outlier detection, as a limiter without peers does
            if prober not in self._reporting_members(RECOVERED_PREFIX + name):
                endpoint.ejected_until = max(endpoint.ejected_until, now + HOLD_MS)
            elif name not in self.recovery_taken_at:  # once for each report: own outcomes count from here on
                self.recovery_taken_at[name] = now
                endpoint.clear_faults(limiter.estimates.latency_ms)

    def _hold_back_removed(self) -> None:
        listed = self.overrides.listed
        reported = [
            name
            for name in sorted(listed)
            if len(self._reporting_members(REMOVED_PREFIX + name)) >= REPORTS_NEEDED
        ]
        held = set(reported[: _max_held(len(listed))])
        if held == self.held_as_removed:
            return
        changed = held ^ self.held_as_removed
        self.held_as_removed = held
        self.overrides.distrusted = held
        self.on_overrides_changed(sorted(changed))
        self.log("heeded", gone=sorted(held))


def _max_held(endpoint_count: int) -> int:
    return max(1, int(MAX_HELD_RATIO * endpoint_count))
