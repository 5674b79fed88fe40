"""A fault costs the event, request or tenant with which something failed: all others and the timers go on."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from driver import SETTINGS, Driver, actions_of_type
from scenario import Stage
from standin import PLAN, SITE, Backside
from test_core import Client, ask

from scalelb.admission_queue import AdmissionQueueSettings
from scalelb.core.lifecycle import log_fault
from scalelb.core.request_table import Verdict
from scalelb.policy.actions import FailRequest, SendAttempt, SetTimer
from scalelb.policy.events import AttemptEnded, Event, Outcome, RequestArrived, TimerFired
from scalelb.policy.exceptions import DecisionFaultError
from scalelb.policy.limiter import HOUSEKEEPING_TIMER, SCHEDULING_TIMER

FREE = replace(SITE, has_counter=False)
TIGHT = replace(FREE, plans=(replace(PLAN, rate_per_s=4.0, burst=2.0),))


class BrokenError(RuntimeError):
    """The planted fault."""


def fails_for(step: Callable[..., Any], matches: Callable[..., bool]) -> Callable[..., Any]:
    """The step, but for the arguments that match: there it fails."""

    def guarded(*arguments: Any, **keywords: Any) -> Any:
        if matches(*arguments):
            raise BrokenError
        return step(*arguments, **keywords)

    return guarded


def broken_core(settings: Any = FREE, door: AdmissionQueueSettings | None = None) -> Backside:
    back = Backside(settings, door=door)
    back.expects_faults = True
    return back


def verdicts(client: Client) -> list[Verdict]:
    return [verdict for verdict, _ in client.answers]


def fail_arrivals_of(back: Backside, tenant: str, monkeypatch: pytest.MonkeyPatch) -> None:
    limiter = back.core.limiter
    broken = fails_for(limiter.tenants.find, lambda name: name == tenant)
    monkeypatch.setattr(limiter.tenants, "find", broken)


def test_other_requests_of_a_batch_are_sent_and_the_faulty_one_fails_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # All actions of a batch were dropped: its requests waited for their deadlines, and those that the
    # decisions took for sent counted as in flight for good.
    back = broken_core()
    fail_arrivals_of(back, "odd", monkeypatch)
    before, _ = ask(back, tenant="ad")
    odd, _ = ask(back, tenant="odd")
    after, _ = ask(back, tenant="eve")
    back.run()
    assert verdicts(odd) == [Verdict.FAILED]
    assert len(back.sent_attempts) == 2
    back.run(1000.0)
    assert verdicts(before) == verdicts(after) == [Verdict.SERVED]
    assert [type(error) for error in back.faults] == [BrokenError]
    assert back.core.counts["fault"] == 1
    assert not back.core.open_requests
    assert not back.core.limiter.attempts


def test_queued_requests_are_sent_though_a_batch_with_their_timer_failed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The `SetTimer` of the batch was dropped, the decisions took the timer for set, and the scheduling cycle
    # stood still: every queued request waited for its deadline.
    back = broken_core(TIGHT)
    fail_arrivals_of(back, "odd", monkeypatch)
    first, _ = ask(back, tenant="ad", units=2.0)
    queued, _ = ask(back, tenant="ad", units=2.0)
    ask(back, tenant="odd")
    back.run(1500.0)
    assert verdicts(first) == verdicts(queued) == [Verdict.SERVED]


def test_a_tenant_that_fails_in_the_cycle_costs_the_others_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    back = broken_core(TIGHT)
    limiter = back.core.limiter
    clients = {name: [ask(back, tenant=name, units=2.0)[0] for _ in range(2)] for name in ("a", "odd", "z")}
    back.run()
    broken = fails_for(limiter._look_at, lambda tenant, now: tenant.name == "odd")
    monkeypatch.setattr(limiter, "_look_at", broken)
    back.run(1500.0)
    for name in ("a", "z"):
        assert [verdicts(client) for client in clients[name]] == [[Verdict.SERVED]] * 2
    assert [verdicts(client) for client in clients["odd"]] == [[Verdict.SERVED], [Verdict.FAILED]]
    assert [type(error) for error in back.faults] == [BrokenError]  # once: it has nothing queued any more


def test_housekeeping_visits_the_other_tenants_and_goes_on(monkeypatch: pytest.MonkeyPatch) -> None:
    # A fault in it dropped its own next timer: accounts were never returned, tenants never forgotten.
    driver = Driver(replace(SETTINGS, has_counter=False))
    limiter = driver.limiter
    visited: list[str] = []
    broken = fails_for(
        lambda tenant, now: visited.append(tenant.name), lambda tenant, now: tenant.name == "odd"
    )
    monkeypatch.setattr(limiter.housekeeper, "_visit", broken)
    for name in ("odd", "ada"):
        driver.send_request(name)
    monkeypatch.setattr(limiter.selector, "update_pools", fails_for(lambda now: None, lambda now: True))
    for _ in range(3):
        with pytest.raises(DecisionFaultError) as caught:
            limiter.handle(driver.now, TimerFired(HOUSEKEEPING_TIMER))
        assert HOUSEKEEPING_TIMER in [timer.tag for timer in actions_of_type(SetTimer, caught.value.actions)]
        assert len(caught.value.errors) == 2
    assert visited == ["ada"] * 3


def test_the_cycle_goes_on_after_a_fault_at_its_end(monkeypatch: pytest.MonkeyPatch) -> None:
    driver = Driver(replace(SETTINGS, has_counter=False, plans=(replace(PLAN, burst=2.0),)))
    for name in ("ada", "ada", "eve", "eve"):
        driver.send_request(name, units=2.0)
        driver.now += 150.0
    driver.now = driver.limiter.scheduler.cycle_at  # of the first; the second is to be looked at later
    monkeypatch.setattr(driver.limiter, "_lend_spare_units", fails_for(lambda now: None, lambda now: True))
    with pytest.raises(DecisionFaultError) as caught:
        driver.limiter.handle(driver.now, TimerFired(SCHEDULING_TIMER))
    assert SCHEDULING_TIMER in [timer.tag for timer in actions_of_type(SetTimer, caught.value.actions)]


@pytest.mark.parametrize("is_finished", [False, True])
def test_a_fault_at_the_end_of_an_attempt_fails_its_request_alone(
    monkeypatch: pytest.MonkeyPatch, is_finished: bool
) -> None:
    driver = Driver(replace(SETTINGS, has_counter=False))
    odd, other = driver.send_request("ada"), driver.send_request("eve")
    sends = {send.request_id: send for send in driver.sent_attempts()}
    limiter = driver.limiter
    broken = fails_for(limiter.feedback.record, lambda attempt, *_: attempt.request.request_id == odd)
    monkeypatch.setattr(limiter.feedback, "record", broken)
    events: list[Event] = [
        AttemptEnded(ident, 0, sends[ident].endpoint, Outcome.RESET, 10.0, is_finished)
        for ident in (odd, other)
    ]
    with pytest.raises(DecisionFaultError) as caught:
        limiter.handle_all(driver.now, events)
    assert actions_of_type(FailRequest, caught.value.actions)[0] == FailRequest(odd)
    assert odd not in limiter.requests
    retried = [send.request_id for send in actions_of_type(SendAttempt, caught.value.actions)]
    assert retried == ([] if is_finished else [other])


def test_a_request_that_fails_half_way_is_answered_before_it_could_be_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    back = broken_core()
    sender = back.core.limiter.sender
    monkeypatch.setattr(sender, "_charge", fails_for(sender._charge, lambda *_: True))
    client, _ = ask(back)
    back.run(10_000.0)
    assert verdicts(client) == [Verdict.FAILED]
    assert not back.sent_attempts
    assert not back.core.limiter.attempts
    [tenant] = back.core.limiter.tenants.tenants.values() or [None]
    assert tenant is None or tenant.attempts_in_flight == 0


def test_a_fault_in_sending_fails_that_request_and_frees_its_attempt(monkeypatch: pytest.MonkeyPatch) -> None:
    back = broken_core()
    usual = back.send_attempt
    monkeypatch.setattr(back, "send_attempt", fails_for(usual, lambda request, *_: request.request_id == 1))
    clients = [ask(back)[0] for _ in range(3)]
    back.run(1000.0)
    assert [verdicts(client) for client in clients] == [
        [Verdict.FAILED], [Verdict.SERVED], [Verdict.SERVED],
    ]  # fmt: skip
    assert not back.core.limiter.attempts
    assert not back.core.open_requests


@pytest.mark.parametrize("ending", ["served", "deadline"])
def test_a_caller_that_fails_keeps_nothing_from_the_decisions(
    monkeypatch: pytest.MonkeyPatch, ending: str
) -> None:
    # The decisions never heard of the end of its attempt, and a deadline that was due behind it never fired.
    back = broken_core()
    odd, request = ask(back, expires_in_ms=3000.0)
    other, _ = ask(back, expires_in_ms=3000.0)
    back.run()
    monkeypatch.setattr(odd, "on_answer", fails_for(odd.on_answer, lambda *_: True))
    if ending == "deadline":
        back.due.clear()
    back.run(10_000.0)
    assert len(other.answers) == 1
    assert request.is_finished
    assert not back.core.limiter.attempts
    assert not back.core.open_requests
    assert [type(error) for error in back.faults] == [BrokenError]


def test_a_fault_of_the_admission_queue_fails_that_request_and_the_turn_goes_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # It ended the turn, which then asked for no further one: the limiter stood still.
    back = broken_core(door=AdmissionQueueSettings())
    assert back.core.queue_adapter is not None
    queue = back.core.queue_adapter.queue
    broken = fails_for(queue.request_arrived, lambda now, request, *_: request.tenant == "odd")
    monkeypatch.setattr(queue, "request_arrived", broken)
    odd, _ = ask(back, tenant="odd")
    other, _ = ask(back, tenant="ad")
    back.run(1000.0)
    assert verdicts(odd) == [Verdict.FAILED]
    assert verdicts(other) == [Verdict.SERVED]


def test_a_contained_fault_is_logged_where_nobody_else_takes_it(caplog: pytest.LogCaptureFixture) -> None:
    # The middleware had no line of it at all.
    with caplog.at_level(logging.ERROR):
        log_fault(BrokenError("why"))
    [record] = caplog.records
    assert record.exc_info is not None
    assert isinstance(record.exc_info[1], BrokenError)


def test_a_limiter_that_is_used_alone_tells_what_failed_and_what_is_to_be_done(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    driver = Driver(replace(SETTINGS, has_counter=False))
    tenants = driver.limiter.tenants
    monkeypatch.setattr(tenants, "find", fails_for(tenants.find, lambda name: True))
    arrived = RequestArrived(1, "ada", 0, 0, 3000.0, 1.0, 1)
    with pytest.raises(DecisionFaultError, match="BrokenError") as caught:
        driver.limiter.handle(driver.now, arrived)
    assert caught.value.actions[0] == FailRequest(1)
    assert isinstance(caught.value.__cause__, BrokenError)


def test_housekeeping_of_the_program_goes_on_after_a_fault(monkeypatch: pytest.MonkeyPatch) -> None:
    # Its next round was asked for at its end: after one fault no idle session was ever ended again.
    stage = Stage()
    stage.play("client send {call(1)}\n backend send {SERVED}\n client expect ok")
    with monkeypatch.context() as broken:
        broken.setattr(stage.loop, "sweep", lambda: 1 / 0)
        with pytest.raises(ZeroDivisionError):
            stage.wait(300)
    stage.wait(3000)
    stage.play("client closed")


def test_one_line_of_figures_that_fails_is_not_the_last(monkeypatch: pytest.MonkeyPatch) -> None:
    stage = Stage()
    with monkeypatch.context() as broken:
        broken.setattr(stage.loop.pool, "fetching", lambda: 1 / 0)
        with pytest.raises(ZeroDivisionError):
            stage.wait(5100)
    stage.wait(5100)
    assert "tally" in [line["event"] for line in stage.logged]


@pytest.mark.parametrize("is_ending", [False, True])
def test_a_session_that_fails_is_ended_and_the_others_are_looked_after(
    monkeypatch: pytest.MonkeyPatch, is_ending: bool
) -> None:
    # At the end of the program it kept all other sessions open, and the process until it was killed.
    stage = Stage()
    for name in ("client", "client2"):
        stage.play(f"{name} send *1\\n$4\\nPING\\n\n {name} expect +PONG")
    odd = stage.wire("client").protocol
    for step in ("overdue", "part"):
        monkeypatch.setattr(odd, step, lambda *_: 1 / 0)
    if is_ending:
        stage.program.stop()
    stage.wait(3000)
    stage.play("client closed\n client2 closed")
    assert [line["event"] for line in stage.logged].count("fault") == 1
    assert stage.net.stopped is is_ending
