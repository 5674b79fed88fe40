"""Containment of faults: a fault affects only its own event, request or tenant, and no timer."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from driver import SETTINGS, Driver, actions_of_type
from scenario import Harness
from standin import LIMITER_SETTINGS, PLAN, CoreHarness
from test_core import RecordingClient, submit

from scalelb.admission_queue import AdmissionQueueSettings
from scalelb.core.lifecycle import log_fault
from scalelb.core.request_table import Verdict
from scalelb.policy.actions import FailRequest, SendAttempt, SetTimer
from scalelb.policy.events import AttemptEnded, Event, Outcome, RequestArrived, TimerFired
from scalelb.policy.exceptions import DecisionFaultError
from scalelb.policy.limiter import HOUSEKEEPING_TIMER, SCHEDULING_TIMER

NO_COUNTER = replace(LIMITER_SETTINGS, has_counter=False)
SMALL_QUOTA = replace(NO_COUNTER, plans=(replace(PLAN, rate_per_s=4.0, burst=2.0),))


class InjectedFaultError(RuntimeError):
    """The fault that the tests inject."""


def raising_if(function: Callable[..., Any], matches: Callable[..., bool]) -> Callable[..., Any]:
    """Return a function that raises for the arguments that match, and calls `function` for all others."""

    def wrapper(*arguments: Any, **keywords: Any) -> Any:
        if matches(*arguments):
            raise InjectedFaultError
        return function(*arguments, **keywords)

    return wrapper


def core_expecting_faults(
    settings: Any = NO_COUNTER, queue_settings: AdmissionQueueSettings | None = None
) -> CoreHarness:
    harness = CoreHarness(settings, queue_settings=queue_settings)
    harness.expects_faults = True
    return harness


def verdicts(client: RecordingClient) -> list[Verdict]:
    return [verdict for verdict, _ in client.answers]


def break_arrivals_of(harness: CoreHarness, tenant: str, monkeypatch: pytest.MonkeyPatch) -> None:
    limiter = harness.core.limiter
    broken = raising_if(limiter.tenants.find, lambda name: name == tenant)
    monkeypatch.setattr(limiter.tenants, "find", broken)


def test_other_requests_of_a_batch_are_sent_and_the_faulty_one_fails_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The fault caused all actions of the batch to be dropped: its requests waited until their deadlines, and
    # those that the decision module considered sent were counted as in flight forever.
    harness = core_expecting_faults()
    break_arrivals_of(harness, "odd", monkeypatch)
    before, _ = submit(harness, tenant="ad")
    faulty, _ = submit(harness, tenant="odd")
    after, _ = submit(harness, tenant="eve")
    harness.run()
    assert verdicts(faulty) == [Verdict.FAILED]
    assert len(harness.sent_attempts) == 2
    harness.run(1000.0)
    assert verdicts(before) == verdicts(after) == [Verdict.SERVED]
    assert [type(error) for error in harness.faults] == [InjectedFaultError]
    assert harness.core.counts["fault"] == 1
    assert not harness.core.open_requests
    assert not harness.core.limiter.attempts


def test_queued_requests_are_sent_after_a_fault_in_the_batch_that_set_their_timer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The `SetTimer` of the batch was dropped while the decision module considered the timer set.  The
    # scheduling cycle stopped, and every queued request waited until its deadline.
    harness = core_expecting_faults(SMALL_QUOTA)
    break_arrivals_of(harness, "odd", monkeypatch)
    first, _ = submit(harness, tenant="ad", units=2.0)
    queued, _ = submit(harness, tenant="ad", units=2.0)
    submit(harness, tenant="odd")
    harness.run(1500.0)
    assert verdicts(first) == verdicts(queued) == [Verdict.SERVED]


def test_fault_of_one_tenant_in_the_scheduling_cycle_leaves_the_others_alone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = core_expecting_faults(SMALL_QUOTA)
    limiter = harness.core.limiter
    clients = {
        name: [submit(harness, tenant=name, units=2.0)[0] for _ in range(2)] for name in ("a", "odd", "z")
    }
    harness.run()
    broken = raising_if(limiter._process_tenant, lambda tenant, now: tenant.name == "odd")
    monkeypatch.setattr(limiter, "_process_tenant", broken)
    harness.run(1500.0)
    for name in ("a", "z"):
        assert [verdicts(client) for client in clients[name]] == [[Verdict.SERVED]] * 2
    assert [verdicts(client) for client in clients["odd"]] == [[Verdict.SERVED], [Verdict.FAILED]]
    assert [type(error) for error in harness.faults] == [InjectedFaultError]  # once: its queue is empty then


def test_housekeeping_visits_the_other_tenants_and_continues(monkeypatch: pytest.MonkeyPatch) -> None:
    # A fault in housekeeping dropped its next timer: accounts were never returned and tenants never evicted.
    driver = Driver(replace(SETTINGS, has_counter=False))
    limiter = driver.limiter
    visited: list[str] = []
    broken = raising_if(
        lambda tenant, now: visited.append(tenant.name), lambda tenant, now: tenant.name == "odd"
    )
    monkeypatch.setattr(limiter.housekeeper, "_visit", broken)
    for name in ("odd", "ada"):
        driver.send_request(name)
    monkeypatch.setattr(limiter.selector, "update_pools", raising_if(lambda now: None, lambda now: True))
    for _ in range(3):
        with pytest.raises(DecisionFaultError) as caught:
            limiter.handle(driver.now, TimerFired(HOUSEKEEPING_TIMER))
        assert HOUSEKEEPING_TIMER in [timer.tag for timer in actions_of_type(SetTimer, caught.value.actions)]
        assert len(caught.value.errors) == 2
    assert visited == ["ada"] * 3


def test_scheduling_cycle_continues_after_a_fault_at_its_end(monkeypatch: pytest.MonkeyPatch) -> None:
    driver = Driver(replace(SETTINGS, has_counter=False, plans=(replace(PLAN, burst=2.0),)))
    for name in ("ada", "ada", "eve", "eve"):
        driver.send_request(name, units=2.0)
        driver.now += 150.0
    driver.now = driver.limiter.scheduler.cycle_at  # the first tenant is due; the second is due later
    monkeypatch.setattr(driver.limiter, "_lend_spare_units", raising_if(lambda now: None, lambda now: True))
    with pytest.raises(DecisionFaultError) as caught:
        driver.limiter.handle(driver.now, TimerFired(SCHEDULING_TIMER))
    assert SCHEDULING_TIMER in [timer.tag for timer in actions_of_type(SetTimer, caught.value.actions)]


@pytest.mark.parametrize("is_finished", [False, True])
def test_fault_at_the_end_of_an_attempt_fails_only_its_request(
    monkeypatch: pytest.MonkeyPatch, is_finished: bool
) -> None:
    driver = Driver(replace(SETTINGS, has_counter=False))
    faulty, other = driver.send_request("ada"), driver.send_request("eve")
    sends = {send.request_id: send for send in driver.sent_attempts()}
    limiter = driver.limiter
    broken = raising_if(limiter.feedback.record, lambda attempt, *_: attempt.request.request_id == faulty)
    monkeypatch.setattr(limiter.feedback, "record", broken)
    events: list[Event] = [
        AttemptEnded(request_id, 0, sends[request_id].endpoint, Outcome.RESET, 10.0, is_finished)
        for request_id in (faulty, other)
    ]
    with pytest.raises(DecisionFaultError) as caught:
        limiter.handle_all(driver.now, events)
    assert actions_of_type(FailRequest, caught.value.actions)[0] == FailRequest(faulty)
    assert faulty not in limiter.requests
    retried = [send.request_id for send in actions_of_type(SendAttempt, caught.value.actions)]
    assert retried == ([] if is_finished else [other])


def test_request_with_a_fault_before_its_attempt_is_sent_fails_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = core_expecting_faults()
    sender = harness.core.limiter.sender
    monkeypatch.setattr(sender, "_charge", raising_if(sender._charge, lambda *_: True))
    client, _ = submit(harness)
    harness.run(10_000.0)
    assert verdicts(client) == [Verdict.FAILED]
    assert not harness.sent_attempts
    assert not harness.core.limiter.attempts
    [tenant] = harness.core.limiter.tenants.tenants.values() or [None]
    assert tenant is None or tenant.attempts_in_flight == 0


def test_fault_in_sending_fails_only_that_request_and_releases_its_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = core_expecting_faults()
    send_attempt = harness.send_attempt
    monkeypatch.setattr(
        harness, "send_attempt", raising_if(send_attempt, lambda request, *_: request.request_id == 1)
    )
    clients = [submit(harness)[0] for _ in range(3)]
    harness.run(1000.0)
    assert [verdicts(client) for client in clients] == [
        [Verdict.FAILED], [Verdict.SERVED], [Verdict.SERVED],
    ]  # fmt: skip
    assert not harness.core.limiter.attempts
    assert not harness.core.open_requests


@pytest.mark.parametrize("ending", ["served", "deadline"])
def test_fault_in_a_caller_does_not_hold_up_events_and_timers(
    monkeypatch: pytest.MonkeyPatch, ending: str
) -> None:
    # The end of the attempt was not reported to the decision module, and the deadline of another request that
    # was due after it never fired.
    harness = core_expecting_faults()
    faulty, request = submit(harness, expires_in_ms=3000.0)
    other, _ = submit(harness, expires_in_ms=3000.0)
    harness.run()
    monkeypatch.setattr(faulty, "on_answer", raising_if(faulty.on_answer, lambda *_: True))
    if ending == "deadline":
        harness.due.clear()
    harness.run(10_000.0)
    assert len(other.answers) == 1
    assert request.is_finished
    assert not harness.core.limiter.attempts
    assert not harness.core.open_requests
    assert [type(error) for error in harness.faults] == [InjectedFaultError]


def test_fault_in_the_admission_queue_fails_only_that_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The fault ended the turn before that scheduled the next one, and the limiter stopped.
    harness = core_expecting_faults(queue_settings=AdmissionQueueSettings())
    assert harness.core.queue_adapter is not None
    queue = harness.core.queue_adapter.queue
    broken = raising_if(queue.request_arrived, lambda now, request, *_: request.tenant == "odd")
    monkeypatch.setattr(queue, "request_arrived", broken)
    faulty, _ = submit(harness, tenant="odd")
    other, _ = submit(harness, tenant="ad")
    harness.run(1000.0)
    assert verdicts(faulty) == [Verdict.FAILED]
    assert verdicts(other) == [Verdict.SERVED]


def test_contained_fault_is_logged_by_default(caplog: pytest.LogCaptureFixture) -> None:
    # The middleware did not log contained faults at all.
    with caplog.at_level(logging.ERROR):
        log_fault(InjectedFaultError("injected"))
    [record] = caplog.records
    assert record.exc_info is not None
    assert isinstance(record.exc_info[1], InjectedFaultError)


def test_limiter_without_a_core_raises_an_error_with_the_fault_and_the_actions(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    driver = Driver(replace(SETTINGS, has_counter=False))
    tenants = driver.limiter.tenants
    monkeypatch.setattr(tenants, "find", raising_if(tenants.find, lambda name: True))
    arrived = RequestArrived(1, "ada", 0, 0, 3000.0, 1.0, 1)
    with pytest.raises(DecisionFaultError, match="InjectedFaultError") as caught:
        driver.limiter.handle(driver.now, arrived)
    assert caught.value.actions[0] == FailRequest(1)
    assert isinstance(caught.value.__cause__, InjectedFaultError)


def test_periodic_sweep_of_the_program_continues_after_a_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    # The next sweep was scheduled at the end of the current one: after a fault no idle session was closed.
    harness = Harness()
    harness.run("client send {call(1)}\n backend send {SERVED}\n client expect ok")
    with monkeypatch.context() as broken:
        broken.setattr(harness.loop, "sweep", lambda: 1 / 0)
        with pytest.raises(ZeroDivisionError):
            harness.wait(300)
    harness.wait(3000)
    harness.run("client closed")


def test_periodic_log_line_is_written_again_after_a_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = Harness()
    with monkeypatch.context() as broken:
        broken.setattr(harness.loop.pool, "busy_connections", lambda: 1 / 0)
        with pytest.raises(ZeroDivisionError):
            harness.wait(5100)
    harness.wait(5100)
    assert "tally" in [line["event"] for line in harness.logged]


@pytest.mark.parametrize("is_stopping", [False, True])
def test_session_with_a_fault_is_closed_and_the_others_are_still_swept(
    monkeypatch: pytest.MonkeyPatch, is_stopping: bool
) -> None:
    # During shutdown one such session kept all others open, and the process running until it was killed.
    harness = Harness()
    for name in ("client", "client2"):
        harness.run(f"{name} send *1\\n$4\\nPING\\n\n {name} expect +PONG")
    faulty = harness.wire("client").protocol
    for method_name in ("close_if_timed_out", "close_gracefully"):
        monkeypatch.setattr(faulty, method_name, lambda *_: 1 / 0)
    if is_stopping:
        harness.program.stop()
    harness.wait(3000)
    harness.run("client closed\n client2 closed")
    assert [line["event"] for line in harness.logged].count("fault") == 1
    assert harness.net.stopped is is_stopping
