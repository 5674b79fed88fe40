"""Soak test of shutdowns: its rules detect planted violations, and the real program follows them."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from broken_program import PLANTED_FAULTS
from processes import ROOT

from scalelb.lab.soak_checks import check
from scalelb.lab.soak_plan import ENDINGS, ClientKind, Trouble, draw_plan

SLACK_S = 3.0  # SIGKILL is sent this much later, as the machine may be busy; the rules stay the same
# A series of signals; a signal while the interpreter exits; a successor on links; several spaced SIGTERMs.
SEEDS = (1, 6, 11, 26)
FAULT_SEEDS = {
    "drop-answers-at-the-end": 2,
    "end-at-a-second-sigterm": 26,
    "end-without-lingering": 2,
    "read-on-until-the-kill": 14,
}
History = list[dict[str, Any]]


def event(what: str, at: float, **fields: Any) -> dict[str, Any]:
    return {"what": what, "seen": at, "at": at, **fields}


def valid_history() -> History:
    """A limiter serves requests, gets SIGTERM and one more request, and is killed while that is open; another
    limiter exits after SIGTERM."""
    limiter = {"limiter": "a", "life": 1}
    history = [event("ready", 0.0, **limiter, took_ms=400.0)]
    for number in range(4):
        at, ident = 1000.0 * number, f"{number:04}"
        history.append(event("ask", at, ident=ident, **limiter))
        history.append(event("take", at + 1, ident=ident, deck="d", link=number))
        history.append(event("end", at + 9, ident=ident, deck="d", link=number))
        history.append(event("answer", at + 10, ident=ident, verdict="served", made_for=ident))
    history.append(event("signal", 4000.0, **limiter, name="TERM"))
    history.append(event("ask", 4600.0, ident="open", **limiter))
    history.append(event("take", 4601.0, ident="open", deck="d", link=9))
    history.append(event("signal", 7700.0, **limiter, name="KILL"))
    history.append(event("exit", 7701.0, **limiter, status=-9))
    other = {"limiter": "b", "life": 1}
    history.append(event("ready", 7710.0, **other, took_ms=400.0))
    history.append(event("signal", 7800.0, **other, name="TERM"))
    history.append(event("stopped", 7900.0, **other, open=0, attempts=0, gone=0))
    history.append(event("exit", 7901.0, **other, status=0))
    return history


def change_first(what: str, **fields: Any) -> Callable[[History], None]:
    """Return a function that changes fields of the first event of a kind."""
    return lambda history: next(e for e in history if e["what"] == what).update(fields)


def send_open_request_late(history: History) -> None:
    next(e for e in history if e.get("ident") == "open").update(seen=4708.0)


def add_forwarded_request_without_answer(history: History) -> None:
    history.append(event("ask", 7850.0, ident="read", limiter="b", life=1))
    history.append(event("take", 7851.0, ident="read", deck="d", link=12))


PLANTED_VIOLATIONS: dict[str, tuple[str, Callable[[History], None]]] = {
    "two answers": ("one final answer each", lambda h: h.append(next(e for e in h if e["what"] == "answer"))),
    "request after the grace period open at the kill": ("one final answer each", send_open_request_late),
    "forwarded and never answered": ("one final answer each", add_forwarded_request_without_answer),
    "connection closed, answered after a resend": (
        "no connection ended under a request",
        lambda h: h.insert(4, event("lost", 9.0, ident="0000", limiter="b", life=1)),
    ),
    "request open at exit": ("nothing open at its own end", change_first("stopped", open=1)),
    "attempts in flight at exit": ("nothing open at its own end", change_first("stopped", attempts=2)),
    "cancelled request of a connected client": (
        "nothing open at its own end",
        change_first("stopped", gone=1),
    ),
    "value of another request": ("no value of another request", change_first("answer", made_for="0003")),
    "no last log line": (
        "ends with 0 or by the kill",
        lambda h: h.remove(next(e for e in h if e["what"] == "stopped")),
    ),
    "exit status": ("ends with 0 or by the kill", lambda h: h[-1].update(status=1)),
    "SIGTERM not handled": ("ends with 0 or by the kill", lambda h: h[-1].update(status=-15)),
    "slow start": ("ready in time", change_first("ready", took_ms=10_001.0)),
    "fault in a log": ("no fault", lambda h: h.append(event("fault", 1.0, limiter="a", life=1, text="x"))),
    "garbled reply": ("no fault", lambda h: h.append(event("garbled", 1.0, bytes="x"))),
}


@pytest.mark.parametrize("name", PLANTED_VIOLATIONS)
def test_planted_violation_is_detected_by_its_rule_only(name: str) -> None:
    assert not any(check(valid_history()).values())
    rule, plant = PLANTED_VIOLATIONS[name]
    history = valid_history()
    plant(history)
    assert [violated for violated, texts in check(history).items() if texts] == [rule]


def test_connection_closed_before_the_kill_is_not_excused_by_it() -> None:
    # A program that drops answers was not detected on a busy machine, as every incarnation was killed.
    history = valid_history()
    history.insert(4, event("lost", 9.0, ident="0000", limiter="a", life=1))
    assert check(history)["no connection ended under a request"]
    history[4]["seen"] = 7700.5
    assert not any(check(history).values())


def test_kill_of_an_incarnation_does_not_apply_to_requests_of_the_next_one() -> None:
    # On a busy machine 48 requests were reported that reached a second incarnation while it closed their
    # connections, because its predecessor had been killed.
    history = valid_history()
    history.append(event("ready", 8000.0, limiter="a", life=2, took_ms=300.0))
    history.append(event("ask", 9000.0, ident="raced", limiter="a", life=2))
    history.append(event("lost", 9001.0, ident="raced", limiter="a", life=2))
    assert not any(check(history).values())


def test_request_that_races_with_a_disconnect_is_excused_if_its_limiter_is_killed_later() -> None:
    history = valid_history()
    history.append(event("ask", 7000.0, ident="raced", limiter="a", life=1))
    history.append(event("lost", 7001.0, ident="raced", limiter="a", life=1))
    assert not any(check(history).values())
    history[-1]["seen"] = 7700.5  # closed by the kill, and sent too late to be open then
    assert check(history)["one final answer each"]


def test_request_that_races_with_a_disconnect_is_excused() -> None:
    history = valid_history()
    history.append(event("ask", 7850.0, ident="raced", limiter="b", life=1))
    history.append(event("lost", 7851.0, ident="raced", limiter="b", life=1))
    assert not any(check(history).values())


def test_seeds_draw_every_kind_of_client_fault_and_ending() -> None:
    plans = [draw_plan(seed) for seed in range(1, 51)]
    assert {kind for plan in plans for kind in plan.clients} == set(ClientKind)
    assert {fault for plan in plans for _, fault in plan.troubles} == set(Trouble)
    assert {ending.name for plan in plans for ending in plan.endings} == set(ENDINGS)
    assert {plan.limiters for plan in plans} == {1, 2, 3}
    for name in ("has_successor", "stops_while_starting", "linked"):
        assert {getattr(plan, name) for plan in plans} == {True, False}
    assert draw_plan(7) == draw_plan(7)


def run_seed(
    folder: Path, seed: int, slack_s: float = SLACK_S, program: str = "scalelb.program"
) -> dict[str, Any]:
    """Run a seed with the real program, or with a planted fault, and return the report."""
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join([str(ROOT), str(ROOT / "tests")])}
    command = [
        sys.executable,
        "-m",
        "scalelb.lab.soak",
        str(seed),
        str(folder / "out"),
        str(slack_s),
        program,
    ]
    run = subprocess.run(command, env=environment, cwd=ROOT, capture_output=True, text=True, timeout=300)
    report: dict[str, Any] = json.loads((folder / "out" / "report.json").read_text())
    assert run.returncode == bool(report["broken"]), run.stderr
    return report


@pytest.mark.parametrize("seed", SEEDS)
def test_real_limiters_answer_all_requests_during_shutdown(tmp_path: Path, seed: int) -> None:
    report = run_seed(tmp_path, seed)
    assert not report["broken"]
    assert report["events"]["answer"] > 100


@pytest.mark.parametrize("seed", [153, 154])
def test_real_limiters_keep_all_rules_if_killed_at_the_earliest_time(tmp_path: Path, seed: int) -> None:
    assert not run_seed(tmp_path, seed, 0.0)["broken"]


def test_every_planted_fault_has_a_seed_that_detects_it() -> None:
    assert FAULT_SEEDS.keys() == PLANTED_FAULTS.keys()


@pytest.mark.parametrize("name", PLANTED_FAULTS)
def test_fault_planted_in_the_program_is_detected(tmp_path: Path, name: str) -> None:
    report = run_seed(tmp_path, FAULT_SEEDS[name], 0.0, f"broken_program {name}")
    assert report["broken"]
