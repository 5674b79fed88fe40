"""Invariants, checked over a recorded history by code that shares nothing with the code under test.

A history is a list of events in the order in which the test harness observed them, each a dict with `what`:

    ask      ident, limiter, customer, plan, units, key     a client has sent a request; `dialled`: when it
                                                            began to connect, which may have taken a while
    answer   ident, verdict, made_for                       its final answer, and the id of the request that
                                                            the value was made for
    lost     ident                                          its connection ended without an answer
    take     ident, at, customer, units, key, deck, link    a backend has read a complete attempt (wall clock
                                                            in ms)
    end      ident, at, deck, link                          the backend has answered the attempt, or its
                                                            connection has ended
    drain    deck, at                                       a limiter was notified that a backend is draining
    fault    do, of                                         the harness has injected a fault into a limiter
    digest   limiter, state                                 a limiter's replicated state when all is quiet

`seen` is the time at which the harness observed the event.
Each checker returns the violations that it found, as texts. A history with nothing to check is a failure too.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from typing import Any

Event = dict[str, Any]
MAX_OPEN_MS = 9000.0  # for which a request may be open
DRAIN_GRACE_MS = 1050.0  # from the notification of a drain, within which attempts may still come
CLOSE_DETECTION_MS = 60.0  # within this time the end of an abandoned connection has been read
SLACK = 1e-6


def one_answer(history: list[Event]) -> list[str]:
    """Check that each request gets exactly one final answer, unless its limiter was killed or stalled.

    A limiter may be killed after a client has dialled it and before the harness sees the connection
    established; the request is then sent to a process that no longer runs. So a kill counts from the dial on.
    """
    requests = {e["ident"]: e for e in history if e["what"] == "ask"}
    answers = Counter(e["ident"] for e in history if e["what"] == "answer")
    lost = {e["ident"] for e in history if e["what"] == "lost"}
    outages = [e for e in history if e["what"] == "fault" and e["do"] in ("kill", "stall")]
    violations = [f"{ident} has {count} answers" for ident, count in answers.items() if count > 1]
    for ident, request in requests.items():
        began_at, until = request.get("dialled", request["seen"]), request["seen"] + MAX_OPEN_MS
        is_excused = any(e["of"] == request["limiter"] and began_at <= e["seen"] <= until for e in outages)
        if not answers[ident] and not is_excused:
            violations.append(f"{ident} at {request['limiter']} has no answer{' (lost)' * (ident in lost)}")
    return violations


def own_value(history: list[Event]) -> list[str]:
    """Check that each value was made for the request that it answers."""
    return [
        f"{event['ident']} was answered with the value of {event['made_for']}"
        for event in history
        if event["what"] == "answer" and event["verdict"] == "served" and event["made_for"] != event["ident"]
    ]


def no_concurrent_attempts(history: list[Event]) -> list[str]:
    """Check that two attempts of one request are never in flight at the same time."""
    violations, in_flight, ends = [], dict[str, list[Event]](), defaultdict[Any, list[float]](list)
    for event in history:
        if event["what"] == "end":
            ends[event["ident"], event["deck"], event["link"]].append(event["at"])
    for event in sorted(
        (event for event in history if event["what"] in ("take", "end")), key=lambda event: event["at"]
    ):
        attempts = in_flight.setdefault(event["ident"], [])
        if event["what"] == "end":
            in_flight[event["ident"]] = [
                attempt
                for attempt in attempts
                if (attempt["deck"], attempt["link"]) != (event["deck"], event["link"])
            ]
            continue
        for earlier in attempts:
            key = event["ident"], earlier["deck"], earlier["link"]
            if not any(0 <= at - event["at"] <= CLOSE_DETECTION_MS for at in ends[key]):
                violations.append(f"{event['ident']} is in flight at {earlier['deck']} and {event['deck']}")
        attempts.append(event)
    return violations


def no_attempt_after_answer(history: list[Event]) -> list[str]:
    """Check that no attempt of a request reaches a backend after the request's final answer."""
    answered_at: dict[str, float] = {}
    violations = []
    for event in history:
        if event["what"] == "answer":
            answered_at[event["ident"]] = event.get("at", 0.0)
        elif (
            event["what"] == "take"
            and event["ident"] in answered_at
            and event["at"] > answered_at[event["ident"]] + CLOSE_DETECTION_MS
        ):
            violations.append(f"{event['ident']} was sent to {event['deck']} after its answer")
    return violations


def no_attempt_after_drain(history: list[Event]) -> list[str]:
    """Check that no attempt reaches a backend a second or more after the limiters learned of its drain."""
    notified_at: dict[str, float] = {}
    for event in history:
        if event["what"] == "drain":  # the last notification counts: a take does not name its limiter
            notified_at[event["deck"]] = max(event["at"], notified_at.get(event["deck"], 0.0))
    return [
        f"{event['ident']} was sent to {event['deck']} "
        f"{event['at'] - notified_at[event['deck']]:.0f} ms after its drain"
        for event in history
        if event["what"] == "take"
        and event["deck"] in notified_at
        and event["at"] > notified_at[event["deck"]] + DRAIN_GRACE_MS
    ]


def equal_copies(history: list[Event]) -> list[str]:
    """Check that all limiters have the same replicated state when all is quiet."""
    last = {e["limiter"]: e["state"] for e in history if e["what"] == "digest"}
    return [f"copies differ: {last}"] if len(set(last.values())) > 1 else []


def quotas(history: list[Event], plans: dict[str, tuple[float, float]], bound: float) -> list[str]:
    """Check that no tenant uses more than `bound` times its quota over all limiters; retries do not count."""
    return [
        f"{tenant}: {sent:g} units of {allowed:.1f} allowed"
        for tenant, (sent, allowed) in quota_use(history, plans).items()
        if sent > bound * allowed + SLACK
    ]


def quota_use(history: list[Event], plans: dict[str, tuple[float, float]]) -> dict[str, tuple[float, float]]:
    """Return, for each tenant, the units of its requests' first attempts, and those that its quota allowed.

    `plans`: rate per second and burst, by plan. The quota is that of the time from the tenant's first attempt
    to its last.
    """
    first_attempts: dict[str, tuple[float, float, str, str]] = {}
    plan_of = {event["customer"]: event["plan"] for event in history if event["what"] == "ask"}
    for event in history:
        if event["what"] == "take" and event["ident"] not in first_attempts:
            first_attempts[event["ident"]] = (
                event["at"],
                event["units"],
                event["customer"],
                plan_of.get(event["customer"], ""),
            )
    sent = defaultdict(list)
    for at, units, tenant, plan in first_attempts.values():
        sent[tenant, plan].append((at, units))
    use_by_tenant = {}
    for (tenant, plan), attempts in sent.items():
        rate, burst = plans[plan]
        attempts.sort()
        use_by_tenant[tenant] = (
            sum(u for _, u in attempts),
            burst + rate * (attempts[-1][0] - attempts[0][0]) / 1000,
        )
    return use_by_tenant


Checker = Callable[[list[Event]], list[str]]
CHECKERS: dict[str, tuple[Checker, tuple[str, ...]]] = {  # with the kinds of events that a checker looks at
    "one final answer each": (one_answer, ("ask", "answer")),
    "no value of another request": (own_value, ("answer",)),
    "never two attempts out": (no_concurrent_attempts, ("take",)),
    "nothing sent after the answer": (no_attempt_after_answer, ("take", "answer")),
    "nothing new to who drains": (no_attempt_after_drain, ("take", "drain")),
    "copies equal once quiet": (equal_copies, ("digest",)),
}


def check(history: list[Event], only: Iterable[str] = CHECKERS) -> dict[str, tuple[int, list[str]]]:
    """Return, for each checker, the number of events that it looked at, and the violations it found."""
    results = {}
    for name in only:
        checker, kinds = CHECKERS[name]
        results[name] = sum(e["what"] in kinds for e in history), checker(history)
    return results
