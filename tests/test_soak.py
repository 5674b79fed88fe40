"""The soak of the endings: its rules find planted breaks, and the real program keeps them on a few seeds."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from broken_program import BREAKS
from processes import ROOT

from scalelb.lab.soak_checks import check
from scalelb.lab.soak_plan import ENDINGS, ClientKind, Trouble, draw_plan

SLACK_S = 3.0  # that kills come later, for a machine that is busy: the rules stay as they are
# A series of signals; one at the interpreter's end; a successor with links; several SIGTERMs with a pause.
SEEDS = (1, 6, 11, 26)
BROKEN_SEEDS = {
    "drop-answers-at-the-end": 2,
    "end-at-a-second-sigterm": 26,
    "end-without-lingering": 2,
    "read-on-until-the-kill": 14,
}
History = list[dict[str, Any]]


def event(what: str, at: float, **fields: Any) -> dict[str, Any]:
    return {"what": what, "seen": at, "at": at, **fields}


def good() -> History:
    """One limiter's life: it serves, is told to end, is asked on, and is killed with one request open."""
    life = {"limiter": "a", "life": 1}
    told = [event("ready", 0.0, **life, took_ms=400.0)]
    for number in range(4):
        at, ident = 1000.0 * number, f"{number:04}"
        told.append(event("ask", at, ident=ident, **life))
        told.append(event("take", at + 1, ident=ident, deck="d", link=number))
        told.append(event("end", at + 9, ident=ident, deck="d", link=number))
        told.append(event("answer", at + 10, ident=ident, verdict="served", made_for=ident))
    told.append(event("signal", 4000.0, **life, name="TERM"))
    told.append(event("ask", 4600.0, ident="open", **life))
    told.append(event("take", 4601.0, ident="open", deck="d", link=9))
    told.append(event("signal", 7700.0, **life, name="KILL"))
    told.append(event("exit", 7701.0, **life, status=-9))
    other = {"limiter": "b", "life": 1}
    told.append(event("ready", 7710.0, **other, took_ms=400.0))
    told.append(event("signal", 7800.0, **other, name="TERM"))
    told.append(event("stopped", 7900.0, **other, open=0, attempts=0, gone=0))
    told.append(event("exit", 7901.0, **other, status=0))
    return told


def change(what: str, **fields: Any) -> Callable[[History], None]:
    """Another value in the first event of a kind."""
    return lambda history: next(e for e in history if e["what"] == what).update(fields)


def late_request(history: History) -> None:
    next(e for e in history if e.get("ident") == "open").update(seen=4708.0)


def request_after_exit(history: History) -> None:
    history.append(event("ask", 7850.0, ident="read", limiter="b", life=1))
    history.append(event("take", 7851.0, ident="read", deck="d", link=12))


PLANTED: dict[str, tuple[str, Callable[[History], None]]] = {
    "two answers": ("one final answer each", lambda h: h.append(next(e for e in h if e["what"] == "answer"))),
    "sent late and open at the kill": ("one final answer each", late_request),
    "read, sent on and never answered": ("one final answer each", request_after_exit),
    "its connection ended, answered elsewhere": (
        "no connection ended under a request",
        lambda h: h.insert(4, event("lost", 9.0, ident="0000", limiter="b", life=1)),
    ),
    "open at its own end": ("nothing open at its own end", change("stopped", open=1)),
    "attempts at its own end": ("nothing open at its own end", change("stopped", attempts=2)),
    "given up": ("nothing open at its own end", change("stopped", gone=1)),
    "another's value": ("no value of another request", change("answer", made_for="0003")),
    "no last line": (
        "ends with 0 or by the kill",
        lambda h: h.remove(next(e for e in h if e["what"] == "stopped")),
    ),
    "status": ("ends with 0 or by the kill", lambda h: h[-1].update(status=1)),
    "not taken": ("ends with 0 or by the kill", lambda h: h[-1].update(status=-15)),
    "slow start": ("ready in time", change("ready", took_ms=10_001.0)),
    "fault": ("no fault", lambda h: h.append(event("fault", 1.0, limiter="a", life=1, text="x"))),
    "garbled": ("no fault", lambda h: h.append(event("garbled", 1.0, bytes="x"))),
}


@pytest.mark.parametrize("name", PLANTED)
def test_a_planted_break_of_the_history_is_found_by_its_rule_alone(name: str) -> None:
    assert not any(check(good()).values())
    rule, plant = PLANTED[name]
    history = good()
    plant(history)
    assert [found for found, broken in check(history).items() if broken] == [rule]


def test_a_connection_that_ended_before_the_kill_is_no_loss_by_the_kill() -> None:
    # Seen on a busy machine: every life of a program that drops answers was killed, and nothing was found.
    history = good()
    history.insert(4, event("lost", 9.0, ident="0000", limiter="a", life=1))
    assert check(history)["no connection ended under a request"]
    history[4]["seen"] = 7700.5
    assert not any(check(history).values())


def test_the_kill_of_an_earlier_life_says_nothing_of_a_crossing_in_the_next() -> None:
    # Seen on a busy machine: 48 requests that crossed the end of a second life, whose first was killed.
    history = good()
    history.append(event("ready", 8000.0, limiter="a", life=2, took_ms=300.0))
    history.append(event("ask", 9000.0, ident="crossing", limiter="a", life=2))
    history.append(event("lost", 9001.0, ident="crossing", limiter="a", life=2))
    assert not any(check(history).values())


def test_a_crossing_is_one_also_where_its_limiter_is_killed_later() -> None:
    history = good()
    history.append(event("ask", 7000.0, ident="crossing", limiter="a", life=1))
    history.append(event("lost", 7001.0, ident="crossing", limiter="a", life=1))
    assert not any(check(history).values())
    history[-1]["seen"] = 7700.5  # by the kill: it came too late to be open then
    assert check(history)["one final answer each"]


def test_a_request_that_crossed_the_end_of_its_connection_is_excused() -> None:
    history = good()
    history.append(event("ask", 7850.0, ident="crossing", limiter="b", life=1))
    history.append(event("lost", 7851.0, ident="crossing", limiter="b", life=1))
    assert not any(check(history).values())


def test_the_seeds_draw_every_kind_of_client_trouble_and_ending() -> None:
    plans = [draw_plan(seed) for seed in range(1, 51)]
    assert {kind for plan in plans for kind in plan.clients} == set(ClientKind)
    assert {trouble for plan in plans for _, trouble in plan.troubles} == set(Trouble)
    assert {ending.name for plan in plans for ending in plan.endings} == set(ENDINGS)
    assert {plan.limiters for plan in plans} == {1, 2, 3}
    for drawn in ("has_successor", "stops_while_starting", "linked"):
        assert {getattr(plan, drawn) for plan in plans} == {True, False}
    assert draw_plan(7) == draw_plan(7)


def play(
    folder: Path, seed: int, slack_s: float = SLACK_S, program: str = "scalelb.program"
) -> dict[str, Any]:
    """Play a seed with the real program, or with a broken one."""
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
def test_real_limiters_answer_everything_through_their_endings(tmp_path: Path, seed: int) -> None:
    report = play(tmp_path, seed)
    assert not report["broken"]
    assert report["events"]["answer"] > 100


@pytest.mark.parametrize("seed", [153, 154])
def test_real_limiters_keep_all_rules_with_the_kill_at_the_earliest(tmp_path: Path, seed: int) -> None:
    assert not play(tmp_path, seed, 0.0)["broken"]


def test_every_break_has_a_seed_that_finds_it() -> None:
    assert BROKEN_SEEDS.keys() == BREAKS.keys()


@pytest.mark.parametrize("name", BREAKS)
def test_a_break_planted_in_the_program_is_found(tmp_path: Path, name: str) -> None:
    report = play(tmp_path, BROKEN_SEEDS[name], 0.0, f"broken_program {name}")
    assert report["broken"]
