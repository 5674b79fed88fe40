"""Anybody's settings: sites that are made up start, serve each class and plan, and keep the rules."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from scenario import SERVED, Harness
from test_wirehost import OPTIONS

from scalelb.program.config import ConfigError, read_settings

NAMES = st.text("abcdefghijklmnopqrstuvwxyzABC0123456789-_.", min_size=1, max_size=20)


@st.composite
def sites(draw: st.DrawFn) -> dict[str, Any]:
    """Settings in the platform's form: names, classes, deadlines, windows, limits, costs of any size."""
    site: dict[str, Any] = json.loads(json.dumps(OPTIONS))
    site["classes"] = [
        {
            "name": name,
            "aim-ms": (aim := draw(st.floats(200.0, 20_000.0))),
            "hard-limit-ms": aim * draw(st.floats(1.0, 6.0)),
            "effect": draw(st.sampled_from(["safe", "keyed", "unsafe"])),
            "group": draw(st.sampled_from(["all", "zone", "cell"])),
            "window-ms": draw(st.floats(0.0, 30_000.0)),
            "worth": draw(st.floats(0.0, 100.0)),
            "late-value": draw(st.floats(0.0, 1.0)),
        }
        for name in draw(st.lists(NAMES, min_size=1, max_size=6, unique=True))
    ]
    site["extra"]["most-units"] = most = draw(st.integers(1, 50))
    site["extra"]["count-limit-ms"] = draw(st.floats(5.0, 200.0))
    site["extra"]["shared-counter"] = draw(st.booleans())
    site["balancers"] = draw(st.integers(1, 200))
    site["index"] = draw(st.integers(0, site["balancers"] - 1))
    site["tariffs"] = [
        site["tariffs"][0]
        | {
            "name": name,
            "units-per-s": (rate := draw(st.floats(0.0, 50.0))),
            "most-at-once": max(float(most), rate * draw(st.floats(1.0, 6.0))),
            "at-once": draw(st.integers(0, 8)),
            "cap-rate": (cap := draw(st.sampled_from([0.0, 30.0]))),
            "hard-burst": cap and 200.0 * site["balancers"],
            "pays": draw(st.floats(0.0, 5.0)),
            "over-worth": draw(st.floats(0.0, 1.0)),
            "over-cost": draw(st.floats(0.0, 2.0)),
        }
        for name in draw(st.lists(NAMES, min_size=1, max_size=4, unique=True))
    ]
    site["limits"] |= {
        "try-limit": draw(st.integers(1, 6)),
        "cancel": draw(st.booleans()),
        "retry-after": draw(st.booleans()),
        "max-retry-after-ms": draw(st.floats(0.0, 5000.0)),
        "conn-idle-ms": draw(st.floats(500.0, 60_000.0)),
    }
    site["rules"] |= {"cold-ms": draw(st.floats(100.0, 30_000.0)), "fall-ms": draw(st.floats(100.0, 5000.0))}
    return site


def ask(site: dict[str, Any], stage: Harness, ident: int, kind: dict[str, Any], plan: str) -> None:
    """One request of a new customer, of the least units, with the whole deadline of its class."""
    values = f"c={kind['name']},t={plan},d={int(kind['hard-limit-ms'])}"
    values += f",k=key{ident}" if kind["effect"] == "keyed" else ""
    values += f",units=1,spread=1,first={site['index']}"
    name = "CALL.GET" if kind["effect"] == "safe" else "CALL.POST"
    parts = [name, f"{ident:016x}", f"{ident:016x}", values]
    text = f"*{len(parts)}\n" + "".join(f"${len(p)}\n{p}\n" for p in parts)
    stage.wire("client").protocol.dataReceived(text.replace("\n", "\r\n").encode())
    stage.wait(0)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(sites())
def test_a_site_that_is_made_up_serves_each_class_and_plan(site: dict[str, Any]) -> None:
    parsed = read_settings(site)
    told = {f: getattr(parsed, f) for f in parsed.__slots__}
    stage = Harness(
        backends=3, kind_names=tuple(c["name"] for c in site["classes"]),
        plan_names=tuple(t["name"] for t in site["tariffs"]), **told,
    )  # fmt: skip
    ident = 0
    for kind in site["classes"]:
        for plan in site["tariffs"]:
            ident += 1
            ask(site, stage, ident, kind, plan["name"])
            answer(stage)
    came = stage.wire("client").value()
    assert came.count(b"$2\r\nok\r\n") == ident, (came, [e for e in stage.logged if e["event"] == "fault"])
    assert not [event for event in stage.logged if event["event"] in ("fault", "malformed")]
    assert not stage.loop.core.open_requests


def answer(stage: Harness) -> None:
    """The counter grants what it is asked for, and backends answer what they got; until nothing is open."""
    totals: dict[bytes, float] = {}
    for _ in range(200):
        for name, wires in list(stage.net.wires.items()):
            for wire in wires:
                if name == "counter" and (text := wire.value()):
                    wire.clear()
                    for line in [line for line in text.split(b"\r\n") if line.startswith(b"POST")]:
                        number, _, rest = line[len(b"POST /v2/numbers/") :].partition(b"?delta=")
                        totals[number] = totals.get(number, 0.0) + float(rest.partition(b"&")[0])
                        body = f"{totals[number]:.6f}".encode()
                        wire.protocol.dataReceived(
                            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
                        )
                elif name.startswith("backend") and b"CALL." in wire.value():
                    wire.clear()
                    wire.protocol.dataReceived(SERVED.replace("\n", "\r\n").encode())
        if not stage.loop.core.open_requests:
            return
        stage.wait(10)


BAD = {
    "classes[0].aim-ms": 0.0,
    "classes[0].hard-limit-ms": -1.0,
    "classes[0].effect": "sometimes",
    "classes[0].window-ms": float("nan"),
    "tariffs[0].units-per-s": -2.0,
    "tariffs[0].at-once": 1.5,
    "limits.try-limit": 0,
    "limits.cancel": "no",
    "rules.cold-ms": 0.0,
    "rules.fall-multiple": None,
    "extra.most-units": "six",
    "balancers": 0,
}


@pytest.mark.parametrize("key", BAD)
def test_bad_settings_are_named_by_their_key(key: str) -> None:
    site: Any = json.loads(json.dumps(OPTIONS))
    *path, last = key.replace("[0]", ".0").split(".")
    node = site
    for part in path:
        node = node[int(part)] if part.isdigit() else node[part]
    node[last] = BAD[key]
    with pytest.raises(ConfigError, match=key.replace("[", r"\[").replace("]", r"\]")):
        read_settings(site)
