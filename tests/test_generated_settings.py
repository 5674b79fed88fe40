"""Generated settings: a limiter starts with them and serves each class and plan; faulty ones are reported."""

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
def site_settings(draw: st.DrawFn) -> dict[str, Any]:
    """Draw the settings of a site in the platform's format, with names, limits and costs of any size."""
    site: dict[str, Any] = json.loads(json.dumps(OPTIONS))
    site["classes"] = [
        {
            "name": name,
            "aim-ms": (latency_objective_ms := draw(st.floats(200.0, 20_000.0))),
            "hard-limit-ms": latency_objective_ms * draw(st.floats(1.0, 6.0)),
            "effect": draw(st.sampled_from(["safe", "keyed", "unsafe"])),
            "group": draw(st.sampled_from(["all", "zone", "cell"])),
            "window-ms": draw(st.floats(0.0, 30_000.0)),
            "worth": draw(st.floats(0.0, 100.0)),
            "late-value": draw(st.floats(0.0, 1.0)),
        }
        for name in draw(st.lists(NAMES, min_size=1, max_size=6, unique=True))
    ]
    site["extra"]["most-units"] = max_units = draw(st.integers(1, 50))
    site["extra"]["count-limit-ms"] = draw(st.floats(5.0, 200.0))
    site["extra"]["shared-counter"] = draw(st.booleans())
    site["balancers"] = draw(st.integers(1, 200))
    site["index"] = draw(st.integers(0, site["balancers"] - 1))
    site["tariffs"] = [
        site["tariffs"][0]
        | {
            "name": name,
            "units-per-s": (rate_per_s := draw(st.floats(0.0, 50.0))),
            "most-at-once": max(float(max_units), rate_per_s * draw(st.floats(1.0, 6.0))),
            "at-once": draw(st.integers(0, 8)),
            "cap-rate": (ceiling_rate_per_s := draw(st.sampled_from([0.0, 30.0]))),
            "hard-burst": ceiling_rate_per_s and 200.0 * site["balancers"],
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


def send_request(
    site: dict[str, Any], harness: Harness, number: int, request_class: dict[str, Any], plan: str
) -> None:
    """Send a request of a new tenant, with the fewest units and the full deadline of its class."""
    values = f"c={request_class['name']},t={plan},d={int(request_class['hard-limit-ms'])}"
    values += f",k=key{number}" if request_class["effect"] == "keyed" else ""
    values += f",units=1,spread=1,first={site['index']}"
    command = "CALL.GET" if request_class["effect"] == "safe" else "CALL.POST"
    parts = [command, f"{number:016x}", f"{number:016x}", values]
    text = f"*{len(parts)}\n" + "".join(f"${len(part)}\n{part}\n" for part in parts)
    harness.wire("client").protocol.dataReceived(text.replace("\n", "\r\n").encode())
    harness.wait(0)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(site_settings())
def test_limiter_with_generated_settings_serves_each_class_and_plan(site: dict[str, Any]) -> None:
    parsed = read_settings(site)
    fields = {name: getattr(parsed, name) for name in parsed.__slots__}
    harness = Harness(
        backends=3, kind_names=tuple(entry["name"] for entry in site["classes"]),
        plan_names=tuple(tariff["name"] for tariff in site["tariffs"]), **fields,
    )  # fmt: skip
    request_count = 0
    for request_class in site["classes"]:
        for plan in site["tariffs"]:
            request_count += 1
            send_request(site, harness, request_count, request_class, plan["name"])
            answer_open_requests(harness)
    received = harness.wire("client").value()
    assert received.count(b"$2\r\nok\r\n") == request_count, (
        received,
        [line for line in harness.logged if line["event"] == "fault"],
    )
    assert not [event for event in harness.logged if event["event"] in ("fault", "malformed")]
    assert not harness.loop.core.open_requests


def answer_open_requests(harness: Harness) -> None:
    """Reply for the counter, which grants all units, and for the backends until no request is open."""
    totals: dict[bytes, float] = {}
    for _ in range(200):
        for name, wires in list(harness.net.wires.items()):
            for wire in wires:
                if name == "counter" and (text := wire.value()):
                    wire.clear()
                    for line in [line for line in text.split(b"\r\n") if line.startswith(b"POST")]:
                        counter_key, _, rest = line[len(b"POST /v2/numbers/") :].partition(b"?delta=")
                        totals[counter_key] = totals.get(counter_key, 0.0) + float(rest.partition(b"&")[0])
                        body = f"{totals[counter_key]:.6f}".encode()
                        wire.protocol.dataReceived(
                            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
                        )
                elif name.startswith("backend") and b"CALL." in wire.value():
                    wire.clear()
                    wire.protocol.dataReceived(SERVED.replace("\n", "\r\n").encode())
        if not harness.loop.core.open_requests:
            return
        harness.wait(10)


FAULTY_VALUES = {
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


@pytest.mark.parametrize("key", FAULTY_VALUES)
def test_faulty_settings_are_reported_by_their_key(key: str) -> None:
    site: Any = json.loads(json.dumps(OPTIONS))
    *path, last = key.replace("[0]", ".0").split(".")
    node = site
    for part in path:
        node = node[int(part)] if part.isdigit() else node[part]
    node[last] = FAULTY_VALUES[key]
    with pytest.raises(ConfigError, match=key.replace("[", r"\[").replace("]", r"\]")):
        read_settings(site)
