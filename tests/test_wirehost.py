"""The simulator wire adapter: reading events, writing actions, rejecting malformed input."""

from __future__ import annotations

import io as text
import json
import subprocess
import sys
from typing import Any

import pytest

from scalelb import Limiter, wirehost
from scalelb.policy.events import AttemptEnded

OPTIONS: dict[str, Any] = {
    "balancers": 2,
    "index": 0,
    "zone": 0,
    "discovery": "pushed",
    "classes": [
        {
            "aim-ms": 1000.0,
            "hard-limit-ms": 3000.0,
            "effect": "safe",
            "group": "all",
            "window-ms": 0.0,
            "worth": 1.0,
            "late-value": 0.0,
        }
    ],
    "tariffs": [
        {
            "units-per-s": 4.0,
            "most-at-once": 16.0,
            "at-once": 0,
            "cap-rate": 0.0,
            "hard-burst": 0.0,
            "hard-slack": 0.0,
            "pays": 1.0,
            "over-worth": 0.0,
            "over-cost": 0.0,
        }
    ],
    "limits": {
        "try-limit": 3,
        "cancel": True,
        "probing": True,
        "retry-after": False,
        "max-retry-after-ms": 0.0,
    },
    "rules": {"cold-from": 0.2, "cold-ms": 9000.0, "fall-multiple": 2.5, "fall-ms": 3000.0},
    "extra": {"most-units": 4, "shared-counter": True, "count-limit-ms": 50.0},
    "unknown-future-key": 1,
}
ENDPOINT_LIST = {
    "Ledger": {"roster-id": 0, "items": [{"state": "SERVING", "server": "a", "model": 0, "site": 0}]}
}
START_EVENTS = [
    {"PowerOn": {"i": 3, "seed": 5, "options": OPTIONS}},
    ENDPOINT_LIST,
    {"Discovery": {"i": 3, "mode": "warm_copy", "seq-no": 1, "roster-id": 0}},
]
REQUEST = {"Accept": {"i": 3, "tid": 71, "customer": "c", "expires-in-ms": 900.0, "weight": 2, "doors": 2}}


def batch(number: int, *events: dict[str, Any]) -> list[str]:
    lines = [{"Mark": {"ts-ms": 100.0 * number, "frame": number}}, *events, {"EofBatch": {}}]
    return [json.dumps(line) for line in lines]


def replies_to(lines: list[str]) -> list[dict[str, Any]]:
    output = text.StringIO()
    wirehost.serve(lines, output)
    return [json.loads(line) for line in output.getvalue().splitlines()]


def test_batch_without_events_is_answered() -> None:
    assert replies_to(batch(1)) == [{"Ready": {"frame": 1}}]


def test_request_is_forwarded_by_the_instance_that_received_it() -> None:
    output = replies_to(batch(1, *START_EVENTS) + batch(2, REQUEST))
    sends = [m["PassOn"] for m in output if "PassOn" in m]
    assert [(s["i"], s["tid"], s["server"]) for s in sends] == [(3, 71, "a")]
    assert output[-1] == {"Ready": {"frame": 2}}


def test_endpoint_list_id_can_be_reused_within_a_batch() -> None:
    other = {"Ledger": {"roster-id": 0, "items": [{"state": "SERVING", "server": "b"}]}}
    change = {"Discovery": {"i": 3, "mode": "total", "seq-no": 2, "roster-id": 0}}
    output = replies_to(batch(1, *START_EVENTS, other, change, REQUEST))
    assert [m["PassOn"]["server"] for m in output if "PassOn" in m] == ["b"]


def test_instance_can_stop_and_restart_within_a_batch() -> None:
    output = replies_to(batch(1, *START_EVENTS, REQUEST, {"Shutdown": {"i": 3}}, *START_EVENTS))
    assert sum("PassOn" in m for m in output) == 1
    stale = {"Settled": {"i": 3, "tid": 71, "server": "a", "reason": "done", "complete": True}}
    assert replies_to(batch(1, *START_EVENTS, stale))[-1] == {"Ready": {"frame": 1}}


def test_lost_endpoint_list_keeps_the_previous_one() -> None:
    output = replies_to(
        batch(1, *START_EVENTS, {"Discovery": {"i": 3, "mode": "lost", "seq-no": 1}}, REQUEST)
    )
    assert any("PassOn" in m for m in output)


@pytest.mark.parametrize(
    ("lines", "message"),
    [
        (["{"], "not JSON"),
        (["[]"], "one key"),
        ([json.dumps({"EofBatch": {}})], "outside a batch"),
        (batch(1)[:1] * 2, "inside a batch"),
        (batch(1)[:1], "ended inside"),
        (batch(1, *START_EVENTS, {"Unknown": {"i": 3}}), "unknown event 'Unknown'"),
        (batch(1, REQUEST), "is not running"),
        (batch(1, *START_EVENTS, {"Accept": {"i": 3}}), "missing field"),
        (batch(1, *START_EVENTS, {"Settled": {"i": 3, "tid": 1, "server": "a", "reason": "fine"}}), "'fine'"),
        (batch(1, {"PowerOn": {"i": 3, "seed": 1, "options": {}}}), "PowerOn"),
    ],
)
def test_malformed_input_is_described_in_the_error(lines: list[str], message: str) -> None:
    with pytest.raises(wirehost.WireError, match=message):
        wirehost.serve(lines, text.StringIO())


def test_program_exits_with_an_error_message_and_a_nonzero_status() -> None:
    run = subprocess.run(
        [sys.executable, "-m", "scalelb.wirehost"], input="nonsense\n", capture_output=True, text=True
    )
    assert run.returncode != 0
    assert run.stdout == ""
    assert run.stderr.startswith("wirehost: not JSON")
    assert "Traceback" not in run.stderr


def test_exception_inside_a_limiter_is_reported_with_bail_out(monkeypatch: pytest.MonkeyPatch) -> None:
    def raise_error(*_: object) -> None:
        raise RuntimeError("planted fault")

    output = text.StringIO()
    monkeypatch.setattr(Limiter, "handle", raise_error)
    with pytest.raises(wirehost.WireError, match="a limiter failed"):
        wirehost.serve(batch(1, *START_EVENTS), output)
    assert json.loads(output.getvalue().splitlines()[0])["BailOut"]["words"] == "RuntimeError: planted fault"


@pytest.mark.parametrize(
    ("usage", "expected"), [({"usage": 86}, 85.0), ({"usage": 1}, 0.0), ({"usage": 0}, None), ({}, None)]
)
def test_quota_usage_is_read_without_the_offset_that_the_wire_adds(
    usage: dict[str, int], expected: float | None
) -> None:
    settled = {"i": 3, "tid": 71, "server": "a", "reason": "done", "complete": True, "final-units": 3}
    event = wirehost.decode_event("Settled", {**settled, **usage}, {})
    assert isinstance(event, AttemptEnded)
    assert (event.quota_used_percent, event.true_units) == (expected, 3)
