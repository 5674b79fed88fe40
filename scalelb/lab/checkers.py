"""What must never happen, checked over a recorded history by code that shares nothing with what it checks.

A history is a list of events in the order in which the stage saw them, each a dict with `what`:

    ask      ident, limiter, customer, plan, units, key     a client has written a request; `dialled`: when it
                                                            began its connection, where that took a while
    answer   ident, verdict, made_for                       its final answer; whose value it brings
    lost     ident                                          its connection ended without one
    take     ident, at, customer, units, key, deck, link    a backend has a whole attempt (ms of the machine)
    end      ident, at, deck, link                          it has answered it, or its connection has ended
    drain    deck, at                                       a limiter was told so
    fault    do, of                                         what the stage did, to which limiter
    digest   limiter, state                                 what it holds of the others, when all is quiet

`seen` is when the stage saw it.
Each checker returns what was broken, in words. A history that holds nothing to check is a failure of its own.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from typing import Any

Event = dict[str, Any]
LONGEST_MS = 9000.0  # that a request may be open
GRACE_MS = 1050.0  # after word of a drain
CLOSE_MS = 60.0  # in which the end of a connection that was given up has been read
SLACK = 1e-6


def one_answer(history: list[Event]) -> list[str]:
    """Every request gets exactly one final answer, unless the limiter that had it was killed.

    A client may have dialled a limiter that is killed before the connection is up here, and writes its
    request to nobody: a kill counts from the dial on."""
    asked = {e["ident"]: e for e in history if e["what"] == "ask"}
    answers = Counter(e["ident"] for e in history if e["what"] == "answer")
    lost = {e["ident"] for e in history if e["what"] == "lost"}
    struck = [e for e in history if e["what"] == "fault" and e["do"] in ("kill", "stall")]
    broken = [f"{ident} has {count} answers" for ident, count in answers.items() if count > 1]
    for ident, ask in asked.items():
        began, until = ask.get("dialled", ask["seen"]), ask["seen"] + LONGEST_MS
        excused = any(e["of"] == ask["limiter"] and began <= e["seen"] <= until for e in struck)
        if not answers[ident] and not excused:
            broken.append(f"{ident} at {ask['limiter']} has no answer{' (lost)' * (ident in lost)}")
    return broken


def own_value(history: list[Event]) -> list[str]:
    """No value but the one made for that request."""
    return [
        f"{e['ident']} was answered with the value of {e['made_for']}"
        for e in history
        if e["what"] == "answer" and e["verdict"] == "served" and e["made_for"] != e["ident"]
    ]


def no_concurrent_attempts(history: list[Event]) -> list[str]:
    """Never two attempts of one request out at once."""
    broken, out, ends = [], dict[str, list[Event]](), defaultdict[Any, list[float]](list)
    for e in history:
        if e["what"] == "end":
            ends[e["ident"], e["deck"], e["link"]].append(e["at"])
    for e in sorted((e for e in history if e["what"] in ("take", "end")), key=lambda e: e["at"]):
        inside = out.setdefault(e["ident"], [])
        if e["what"] == "end":
            out[e["ident"]] = [i for i in inside if (i["deck"], i["link"]) != (e["deck"], e["link"])]
            continue
        for other in inside:
            place = e["ident"], other["deck"], other["link"]
            if not any(0 <= at - e["at"] <= CLOSE_MS for at in ends[place]):
                broken.append(f"{e['ident']} is out at {other['deck']} and {e['deck']}")
        inside.append(e)
    return broken


def no_attempt_after_answer(history: list[Event]) -> list[str]:
    """A keyed request is never sent anew after its window, and an id never again once it was answered."""
    answered: dict[str, float] = {}
    broken = []
    for e in history:
        if e["what"] == "answer":
            answered[e["ident"]] = e.get("at", 0.0)
        elif e["what"] == "take" and e["ident"] in answered and e["at"] > answered[e["ident"]] + CLOSE_MS:
            broken.append(f"{e['ident']} went to {e['deck']} after its answer")
    return broken


def no_attempt_after_drain(history: list[Event]) -> list[str]:
    """Nothing new a second after the word of a drain."""
    told: dict[str, float] = {}
    for e in history:
        if e["what"] == "drain":  # the last limiter to hear counts: takes do not say whose they are
            told[e["deck"]] = max(e["at"], told.get(e["deck"], 0.0))
    return [
        f"{e['ident']} went to {e['deck']} {e['at'] - told[e['deck']]:.0f} ms after its drain"
        for e in history
        if e["what"] == "take" and e["deck"] in told and e["at"] > told[e["deck"]] + GRACE_MS
    ]


def equal_copies(history: list[Event]) -> list[str]:
    """Once all is quiet, all limiters hold the same."""
    last = {e["limiter"]: e["state"] for e in history if e["what"] == "digest"}
    return [f"copies differ: {last}"] if len(set(last.values())) > 1 else []


def quotas(history: list[Event], plans: dict[str, tuple[float, float]], bound: float) -> list[str]:
    """Of each customer, over all limiters: what was first sent on stays within `bound` times its quota."""
    return [
        f"{customer}: {sent:g} units of {allowed:.1f} allowed"
        for customer, (sent, allowed) in quota_use(history, plans).items()
        if sent > bound * allowed + SLACK
    ]


def quota_use(history: list[Event], plans: dict[str, tuple[float, float]]) -> dict[str, tuple[float, float]]:
    """Units of each customer that were first sent on, and what rate and burst allow meanwhile."""
    firsts: dict[str, tuple[float, float, str, str]] = {}
    plan_of = {e["customer"]: e["plan"] for e in history if e["what"] == "ask"}
    for e in history:
        if e["what"] == "take" and e["ident"] not in firsts:
            firsts[e["ident"]] = e["at"], e["units"], e["customer"], plan_of.get(e["customer"], "")
    sent = defaultdict(list)
    for at, units, customer, plan in firsts.values():
        sent[customer, plan].append((at, units))
    found = {}
    for (customer, plan), some in sent.items():
        rate, burst = plans[plan]
        some.sort()
        found[customer] = sum(u for _, u in some), burst + rate * (some[-1][0] - some[0][0]) / 1000
    return found


Checker = Callable[[list[Event]], list[str]]
CHECKERS: dict[str, tuple[Checker, tuple[str, ...]]] = {
    "one final answer each": (one_answer, ("ask", "answer")),
    "no value of another request": (own_value, ("answer",)),
    "never two attempts out": (no_concurrent_attempts, ("take",)),
    "nothing sent after the answer": (no_attempt_after_answer, ("take", "answer")),
    "nothing new to who drains": (no_attempt_after_drain, ("take", "drain")),
    "copies equal once quiet": (equal_copies, ("digest",)),
}


def check(history: list[Event], only: Iterable[str] = CHECKERS) -> dict[str, tuple[int, list[str]]]:
    """Every checker: how many events it had to look at, and what was broken."""
    found = {}
    for name in only:
        checker, kinds = CHECKERS[name]
        found[name] = sum(e["what"] in kinds for e in history), checker(history)
    return found
