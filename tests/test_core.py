"""The core: one final answer for each request, timers, bounds."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from standin import LIMITER_SETTINGS, CoreHarness

from scalelb.core.incoming_request import IncomingRequest
from scalelb.core.limits import CoreLimits
from scalelb.core.request_table import Verdict
from scalelb.core.timers import ATTEMPT_TIMEOUT
from scalelb.policy.actions import Action
from scalelb.policy.events import AttemptEnded, Event, Outcome


class RecordingClient:
    """A caller that records its answers."""

    def __init__(self) -> None:
        self.answers: list[tuple[Verdict, float]] = []

    def on_answer(self, request: Any, verdict: Verdict, value: Any, retry_after_ms: float) -> None:
        self.answers.append((verdict, retry_after_ms))


def submit(
    harness: CoreHarness, units: float = 1.0, admission_only: bool = False, **fields: Any
) -> tuple[RecordingClient, Any]:
    client = RecordingClient()
    incoming = IncomingRequest(tenant="ad", plan_index=0, class_index=0, expires_in_ms=7000.0, units=units)
    return client, harness.core.submit(client, None, incoming._replace(**fields), admission_only)


def test_request_is_answered_only_after_submit_has_returned() -> None:
    harness = CoreHarness()
    client, _ = submit(harness, expires_in_ms=1.0)
    assert not client.answers
    harness.run()
    assert [verdict for verdict, _ in client.answers] == [Verdict.REJECTED]


def test_timers_of_finished_requests_cause_no_wakeups() -> None:
    # In a profile under light load, a third of the turns were due to timers of answered requests.
    harness = CoreHarness(replace(LIMITER_SETTINGS, has_counter=False))
    for _ in range(5):
        submit(harness)
    harness.run(1000.0)
    assert not harness.core.open_requests
    harness.run(3000.0)
    harness.wakes.clear()
    harness.core.turn()
    assert all(at <= harness.now + 1000.0 for at in harness.wakes)  # only housekeeping
    assert not [timer for timer in harness.core.timers.entries if timer[2] == ATTEMPT_TIMEOUT]


@pytest.mark.parametrize("is_sent", [False, True], ids=["not sent", "sent"])
def test_cancelled_request_gets_no_answer(is_sent: bool) -> None:
    harness = CoreHarness(replace(LIMITER_SETTINGS, has_counter=False, cancels_attempts=True))
    client, request = submit(harness)
    if is_sent:
        harness.run()
        assert request.in_flight
    harness.core.cancel(request)
    harness.run(10_000.0)
    assert not client.answers
    assert not harness.core.open_requests
    assert harness.abandoned == is_sent


def test_request_cancelled_in_the_turn_of_its_decision_is_not_sent() -> None:
    harness = CoreHarness(replace(LIMITER_SETTINGS, has_counter=False))
    client, request = submit(harness)
    harness.core.cancel(request)
    harness.run()
    assert not harness.sent_attempts
    assert not client.answers


@pytest.mark.parametrize("cancels_attempts", [False, True])
def test_retry_decided_as_its_request_is_cancelled_does_not_stay_in_flight(cancels_attempts: bool) -> None:
    # The end of the retry was reported under the number of the first attempt.  Tenant, endpoint and limiter
    # then counted the retry as in flight forever, so that each such client lowered the concurrency limit.
    harness = CoreHarness(replace(LIMITER_SETTINGS, has_counter=False, cancels_attempts=cancels_attempts))
    client, request = submit(harness)
    harness.run()
    harness.due.clear()
    harness.core.attempt_ended(request, Outcome.CONNECT_FAILED)
    harness.core.cancel(request)
    harness.run(1000.0)
    limiter = harness.core.limiter
    [tenant] = limiter.tenants.tenants.values()
    assert not client.answers
    assert not limiter.attempts
    assert tenant.attempts_in_flight == 0
    assert sum(tracked.load_in_flight for tracked in limiter.selector.endpoints.values()) == 0


def test_request_with_an_attempt_in_flight_is_answered_before_its_deadline() -> None:
    harness = CoreHarness(replace(LIMITER_SETTINGS, has_counter=False))
    client, request = submit(harness, class_index=1, expires_in_ms=3000.0)
    harness.run()
    harness.due.clear()  # the backend does not respond
    harness.run(2990.0)
    assert len(client.answers) == 1
    assert not request.in_flight
    assert not harness.core.open_requests


def test_request_without_a_decision_fails_at_its_deadline(monkeypatch: pytest.MonkeyPatch) -> None:
    # Every request gets one final answer, even if the decision module returns no actions for it.
    harness = CoreHarness()
    monkeypatch.setattr(harness.core.limiter, "handle_all", lambda now, events: [])
    client, _ = submit(harness, expires_in_ms=500.0)
    harness.run(600.0)
    assert [verdict for verdict, _ in client.answers] == [Verdict.FAILED]


def test_open_requests_are_bounded() -> None:
    harness = CoreHarness()
    harness.core.limits = CoreLimits(max_open_requests=3)
    clients = [submit(harness, units=6.0)[0] for _ in range(10)]
    assert len(harness.core.open_requests) == 10  # the others are rejected only in the next turn
    harness.run()
    rejected = [c for c in clients if [v for v, _ in c.answers] == [Verdict.REJECTED]]
    assert len(rejected) >= 7
    assert all(c.answers[0][1] > 0 for c in rejected)  # with a Retry-After


def test_second_report_of_the_end_of_an_attempt_is_ignored() -> None:
    harness = CoreHarness(replace(LIMITER_SETTINGS, has_counter=False))
    client, request = submit(harness)
    harness.run()
    for _ in range(2):
        harness.core.attempt_ended(request, Outcome.OK, memoryview(b"$2\r\nok\r\n"))
    harness.run(1000.0)
    assert [verdict for verdict, _ in client.answers] == [Verdict.SERVED]


@pytest.mark.parametrize(
    ("settles_true_units", "reported_units", "settled_units"),
    [
        (True, 2.5, 2.5),
        (True, 6.0, 6.0),
        (True, 6.1, 0.0),
        (True, 0.0, 0.0),
        (True, -1.0, 0.0),
        (False, 2.5, 0.0),
    ],
)
def test_true_units_settle_a_request_where_the_settings_say_so(
    settles_true_units: bool, reported_units: float, settled_units: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = CoreHarness(replace(LIMITER_SETTINGS, has_counter=False, settles_true_units=settles_true_units))
    ended_attempts: list[AttemptEnded] = []
    handle_all = harness.core.limiter.handle_all

    def recording_handle_all(now: float, events: list[Event]) -> list[Action]:
        ended_attempts.extend(event for event in events if isinstance(event, AttemptEnded))
        return handle_all(now, events)

    monkeypatch.setattr(harness.core.limiter, "handle_all", recording_handle_all)
    harness.true_units, harness.quota_used_percent = reported_units, 37.0
    submit(harness, units=4.0)
    harness.run(1000.0)
    assert [(end.true_units, end.quota_used_percent) for end in ended_attempts] == [(settled_units, 37.0)]


def test_failed_attempt_settles_no_units() -> None:
    harness = CoreHarness(replace(LIMITER_SETTINGS, has_counter=False, settles_true_units=True))
    _, request = submit(harness, units=1.0)
    harness.run()
    units_before = harness.core.limiter.estimates.units
    harness.core.attempt_ended(request, Outcome.ERROR, true_units=6.0, quota_used_percent=90.0)
    harness.core.turn()
    assert harness.core.limiter.estimates.units == units_before
