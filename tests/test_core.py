"""The core round the decisions: one final answer each, timers, bounds."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from standin import SITE, Backside

from scalelb.core.incoming_request import IncomingRequest
from scalelb.core.limits import CoreLimits
from scalelb.core.request_table import Verdict
from scalelb.core.timers import ATTEMPT_TIMEOUT
from scalelb.policy.actions import Action
from scalelb.policy.events import AttemptEnded, Event, Outcome


class Client:
    """Keeps what it was answered."""

    def __init__(self) -> None:
        self.answers: list[tuple[Verdict, float]] = []

    def on_answer(self, request: Any, verdict: Verdict, value: Any, retry_after_ms: float) -> None:
        self.answers.append((verdict, retry_after_ms))


def ask(back: Backside, units: float = 1.0, admission_only: bool = False, **more: Any) -> tuple[Client, Any]:
    client = Client()
    usual = IncomingRequest(tenant="ad", plan_index=0, class_index=0, expires_in_ms=7000.0, units=units)
    return client, back.core.submit(client, None, usual._replace(**more), admission_only)


def test_answers_come_after_the_call_that_hands_the_request_in() -> None:
    back = Backside()
    client, _ = ask(back, expires_in_ms=1.0)
    assert not client.answers
    back.run()
    assert [verdict for verdict, _ in client.answers] == [Verdict.REJECTED]


def test_timers_of_finished_requests_wake_nobody() -> None:
    # Seen in a profile of a calm day: a third of the loop's rounds were timers of requests long answered.
    back = Backside(replace(SITE, has_counter=False))
    for _ in range(5):
        ask(back)
    back.run(1000.0)
    assert not back.core.open_requests
    back.run(3000.0)
    back.wakes.clear()
    back.core.turn()
    assert all(at <= back.now + 1000.0 for at in back.wakes)  # house-keeping alone
    assert not [timer for timer in back.core.timers.entries if timer[2] == ATTEMPT_TIMEOUT]


@pytest.mark.parametrize("out", [False, True], ids=["held", "sent"])
def test_a_client_that_left_is_told_nothing(out: bool) -> None:
    back = Backside(replace(SITE, has_counter=False, cancels_attempts=True))
    client, request = ask(back)
    if out:
        back.run()
        assert request.in_flight
    back.core.cancel(request)
    back.run(10_000.0)
    assert not client.answers
    assert not back.core.open_requests
    assert back.abandoned == out


def test_what_is_decided_for_a_client_that_left_in_the_same_turn_is_not_sent() -> None:
    back = Backside(replace(SITE, has_counter=False))
    client, request = ask(back)
    back.core.cancel(request)
    back.run()
    assert not back.sent_attempts
    assert not client.answers


@pytest.mark.parametrize("cancels_attempts", [False, True])
def test_a_retry_decided_as_its_client_leaves_counts_as_in_flight_no_longer(cancels_attempts: bool) -> None:
    # Its end was reported as that of the first attempt: tenant, endpoint and limiter took the retry for in
    # flight for good, and each such client took away a part of the concurrency limit.
    back = Backside(replace(SITE, has_counter=False, cancels_attempts=cancels_attempts))
    client, request = ask(back)
    back.run()
    back.due.clear()
    back.core.attempt_ended(request, Outcome.CONNECT_FAILED)
    back.core.cancel(request)
    back.run(1000.0)
    limiter = back.core.limiter
    [tenant] = limiter.tenants.tenants.values()
    assert not client.answers
    assert not limiter.attempts
    assert tenant.attempts_in_flight == 0
    assert sum(tracked.load_in_flight for tracked in limiter.selector.endpoints.values()) == 0


def test_a_deadline_with_an_attempt_out_is_answered_before_it() -> None:
    back = Backside(replace(SITE, has_counter=False))
    client, request = ask(back, class_index=1, expires_in_ms=3000.0)
    back.run()
    back.due.clear()  # the backend is silent
    back.run(2990.0)
    assert len(client.answers) == 1
    assert not request.in_flight
    assert not back.core.open_requests


def test_a_decision_that_never_comes_ends_as_failed(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards the rule of one final answer against a fault of the decisions.
    back = Backside()
    monkeypatch.setattr(back.core.limiter, "handle_all", lambda now, events: [])
    client, _ = ask(back, expires_in_ms=500.0)
    back.run(600.0)
    assert [verdict for verdict, _ in client.answers] == [Verdict.FAILED]


def test_open_requests_are_bounded() -> None:
    back = Backside()
    back.core.limits = CoreLimits(max_open_requests=3)
    clients = [ask(back, units=6.0)[0] for _ in range(10)]
    assert len(back.core.open_requests) == 10  # told apart before the turn, not during the call
    back.run()
    refused = [c for c in clients if [v for v, _ in c.answers] == [Verdict.REJECTED]]
    assert len(refused) >= 7
    assert all(c.answers[0][1] > 0 for c in refused)  # and are told when to come back


def test_a_second_word_on_an_attempt_is_ignored() -> None:
    back = Backside(replace(SITE, has_counter=False))
    client, request = ask(back)
    back.run()
    for _ in range(2):
        back.core.attempt_ended(request, Outcome.OK, memoryview(b"$2\r\nok\r\n"))
    back.run(1000.0)
    assert [verdict for verdict, _ in client.answers] == [Verdict.SERVED]


@pytest.mark.parametrize(
    ("settled", "told", "taken"),
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
    settled: bool, told: float, taken: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    back = Backside(replace(SITE, has_counter=False, settles_true_units=settled))
    ends: list[AttemptEnded] = []
    take = back.core.limiter.handle_all

    def seen(now: float, events: list[Event]) -> list[Action]:
        ends.extend(event for event in events if isinstance(event, AttemptEnded))
        return take(now, events)

    monkeypatch.setattr(back.core.limiter, "handle_all", seen)
    back.true_units, back.quota_used_percent = told, 37.0
    ask(back, units=4.0)
    back.run(1000.0)
    assert [(end.true_units, end.quota_used_percent) for end in ends] == [(taken, 37.0)]


def test_an_attempt_that_fails_settles_nothing() -> None:
    back = Backside(replace(SITE, has_counter=False, settles_true_units=True))
    _, request = ask(back, units=1.0)
    back.run()
    before = back.core.limiter.estimates.units
    back.core.attempt_ended(request, Outcome.ERROR, true_units=6.0, quota_used_percent=90.0)
    back.core.turn()
    assert back.core.limiter.estimates.units == before
