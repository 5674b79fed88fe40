"""What limiters tell each other of their work, and what each makes of it.  No I/O: the mesh carries it.

Every limiter writes only what is its own: the accounts of its customers, what it found of backends, staff's
words that it was told. So nothing has to be agreed upon, and a copy can only be old, never wrong. What is
made of another's word is bounded, whoever may have written it:

    u:CUSTOMER  account    read by the next life of the same limiter: what was granted stays granted, and
                           never more is on hand than this life's own share
    x:BACKEND   by hand    read by the next life, and by all where `bans` says "fleet": it drains
    b:BACKEND   bad        two say so: one limiter tries it for all (rendezvous over those alive), the others
                           send it nothing while there are others; one voice alone does nothing
    t:BACKEND   tried      by who tries for all: good again
    g:BACKEND   gone       read by who still has it listed: nothing new goes there if two say so, until
                           the list tells more
    k:          single tries   `scalelb/program/tries.py`
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from itertools import islice
from math import inf, isfinite
from typing import Any
from zlib import crc32

from scalelb.core.endpoint_overrides import EndpointOverrides, Override
from scalelb.core.lifecycle import Core
from scalelb.fairness.records import Record
from scalelb.peers import Life, Mesh
from scalelb.policy import outlier_detection
from scalelb.policy.handover import leave_handover
from scalelb.policy.idempotency_keys import preferred_groups
from scalelb.policy.tenant import Tenant
from scalelb.program.idempotency_records import FAR_MS, KEYED
from scalelb.program.idempotency_records import IdempotencyRecords as Tries

ACCOUNTS_MOST = 100_000  # published at once
ENDED = 64  # accounts looked at in one tick, whether their store is full again
LOOK_MS = 1000.0  # between two looks at the backends
BAD, HEARD = 0.5, 1.2  # failing from here on, of so many answers, is told
GOODS, TRUST_MS, HOLD_MS = 2, 10_000.0, 2500.0  # good answers in a row that are told, so long; held back
OF_BACKENDS = ("b:", "g:", "t:")
VOICES, PART = 2, 0.25  # that have to say so; the part of the backends that peers can speak against at most
CLOSE_MS = 120_000.0  # after which what former lives told of is over
GONE_MS = 60_000.0  # that a backend which has left the list is told of
UNITS = 1e9


class Whose(Enum):
    """Whose words of staff hold here."""

    OWN = "own"
    FLEET = "fleet"


class Peering:
    """Between one limiter's core and the mesh."""

    def __init__(
        self,
        mesh: Mesh,
        core: Core,
        bans: EndpointOverrides,
        clock: Callable[[], float],
        banned: Callable[[list[str]], None],
        log: Callable[..., None],
        whose: Whose = Whose.OWN,
        flush: Callable[[], None] = lambda: None,
    ) -> None:
        self.mesh, self.core, self.bans, self.clock = mesh, core, bans, clock
        self.banned, self.log, self.whose = banned, log, whose
        self.since = -inf  # what was seen after that is to be told
        self.looked = self.ticked = -inf
        self.written = 0.0  # the mesh's time
        self.close_at = inf  # when all that former lives told of is over
        self.published: dict[str, float] = {}  # accounts, when their stores are full again
        self.gone: dict[str, float] = {}  # backends that have left the list, when
        self.listed: set[str] = set()
        self.distrusted: set[str] = set()  # backends held back for peers' words alone
        self.agreed: dict[str, str] = {}  # bad ones, and who tries each for all
        self.trusted: dict[str, float] = {}  # those that this limiter has found good again, when
        self.relied: dict[str, float] = {}  # those that another has, whose word was taken, when
        self.said: dict[str, set[Life]] = {}  # who says what of a backend
        self.tries = Tries(core, clock, self.write, flush)
        mesh.on_settled, mesh.on_closed, mesh.on_entry = self.settled, self.closed, self.entered
        # Until it has settled nobody gets a fresh share: a former life may have granted it.
        core.limiter.tenants.records.given_way_until = inf

    def write(self, key: str, value: Any) -> None:
        """An own entry, or its end."""
        self.mesh.write(key, value, self.written)

    def tick(self, now: float, ready: Callable[[str], bool]) -> list[tuple[str, Any]]:
        """What is to be said, each `push_ms`; `now` is the mesh's time."""
        at, self.written = self.clock(), now
        self.tries.tick(at)
        if self.mesh.settled and not self.mesh.closed:
            self._publish_accounts(at, now)
            if at >= self.close_at:
                self.close_at = inf
                self.mesh.close(now)
            if at - self.looked >= LOOK_MS:
                self.looked = at
                self._publish_backends(at, now)
                self._heed(at)
        out = self.mesh.push(ready)
        if now - self.ticked >= self.mesh.settings.tick_ms - 1.0:
            self.ticked = now
            out += self.mesh.tick(now, ready)
        return out

    # What is told

    def _publish_accounts(self, at: float, now: float) -> None:
        limiter, since = self.core.limiter, self.since
        self.since = at
        for c in reversed(limiter.tenants.tenants.values()):
            if c.last_request_at < since:
                break
            self._publish(c, at, now)
        for c in list(limiter.scheduler.active.values()):
            if c.last_request_at < since:
                self._publish(c, at, now)
        for name in [n for n, full_at in islice(self.published.items(), ENDED) if full_at <= at]:
            del self.published[name]
            self.mesh.write("u:" + name, None, now)

    def _publish(self, c: Tenant, at: float, now: float) -> None:
        if not c.bucket.plan.rate_per_s and not c.bucket.plan.ceiling_rate_per_s:
            return
        record = c.bucket.to_record(at, self.core.limiter.leases.is_counter_available())
        if record.full_at <= at and c.name not in self.published:
            return
        if len(self.published) >= ACCOUNTS_MOST and c.name not in self.published:
            return
        self.published.pop(c.name, None)
        self.published[c.name] = record.full_at
        numbers = [record.balance, record.unreported, record.store, record.total]
        told = [round(number, 3) for number in numbers]
        self.mesh.write("u:" + c.name, [*told, record.window, round(record.at), round(record.full_at)], now)

    def _publish_backends(self, at: float, now: float) -> None:
        limiter = self.core.limiter
        endpoints = limiter.selector.endpoints
        lasts = outlier_detection.fault_memory_ms(limiter.estimates.answer_interval_ms, len(endpoints))
        own = self.mesh.own().entries
        for name, server in endpoints.items():
            key = "b:" + name
            said = key in own and own[key].value is not None
            bad = server.current_failure_ratio(at, lasts) > BAD and server.answer_weight >= HEARD
            # What is agreed on stays said until it was tried: else all would find it out anew.
            bad |= (
                said
                and name in self.agreed
                and name not in self.relied
                and server.consecutive_successes < GOODS
            )
            if bad != said:
                self.mesh.write(key, [round(server.endpoint.started_at)] if bad else None, now)
            if self.agreed.get(name) == self.mesh.life.name and server.consecutive_successes >= GOODS:
                self.trusted[name] = at
                self.mesh.write("t:" + name, [round(server.endpoint.started_at)], now)
        for name, when in list(self.trusted.items()):
            goods = endpoints[name].consecutive_successes if name in endpoints else 0
            if at - when > TRUST_MS or goods < GOODS:
                del self.trusted[name]
                self.mesh.write("t:" + name, None, now)
        listed = set(self.bans.listed)
        for name in self.listed - listed:
            self.gone[name] = at
            self.mesh.write("g:" + name, [], now)
        for name in [n for n, when in self.gone.items() if at - when > GONE_MS or n in listed]:
            del self.gone[name]
            self.mesh.write("g:" + name, None, now)
        for key in [k for k, e in own.items() if k[:2] == "b:" and e.value is not None]:
            if key[2:] not in listed:
                self.mesh.write(key, None, now)
        self.listed = listed

    def say(self, server: str, now: float) -> None:
        """Staff's word on a backend has changed."""
        if (word := self.bans.by_endpoint.get(server)) is not None:
            self.mesh.write("x:" + server, [round(word.set_at, 3), word.is_ejected], now)

    # What comes

    def settled(self) -> None:
        """All that peers know of this limiter's former lives is here: go on from there."""
        records, now, taken = self.core.limiter.tenants.records, self.clock(), 0
        self.close_at = now
        for life in self.mesh.former():
            for key, value in self.mesh.replica.chains[life].live():
                if key[:2] == "u:" and (record := read_account(value, now)) is not None:
                    self.close_at = max(self.close_at, min(record.full_at, now + CLOSE_MS))
                    name, old = key[2:], records.left.get(key[2:])
                    if name not in self.core.limiter.tenants.tenants and (old is None or old.at <= record.at):
                        records.left[name] = record
                        taken += 1
                elif key[:2] == "x:":
                    self.entered(life, key, value)
                elif key[:2] == KEYED:
                    self.close_at = max(self.close_at, now + FAR_MS)
        records.given_way_until = 0.0
        self.log("recalled", accounts=taken, lives=len(self.mesh.former()))

    def closed(self) -> None:
        """A newer life of this name is at work: what is on hand is its own, and nothing new is granted."""
        leave_handover(self.core.limiter, self.clock())

    def entered(self, life: Life, key: str, value: Any) -> None:
        """A peer's entry is new here, or has ended."""
        if key[:2] == KEYED:
            self.tries.entered(life, key[2:], value)
        elif key[:2] in OF_BACKENDS and life.name != self.mesh.life.name:
            self._heard(life, key, value is not None)
        if key[:2] != "x:" or value is None or (life.name != self.mesh.life.name and self.whose is Whose.OWN):
            return
        match value:
            case [int() | float() as at, bool(out)] if not isinstance(at, bool) and 0 <= at < 1e15:
                if self.bans.merge([(key[2:], Override(float(at), out))]):
                    self.banned([key[2:]])

    def _heard(self, life: Life, key: str, says: bool) -> None:
        """A peer's word on a backend, or its end.  Guards the memory: no more than are listed."""
        if says and (key in self.said or len(self.said) < 3 * len(self.bans.listed)):
            self.said.setdefault(key, set()).add(life)
        elif not says and (lives := self.said.get(key)) is not None:
            lives.discard(life)
            if not lives:
                del self.said[key]

    def _heed(self, at: float) -> None:
        """What peers say of backends.  Two have to say so, of few backends: one wrong peer alone takes no
        healthy backend out, and where most look bad it is not they that are."""
        mesh, servers, listed = self.mesh, self.core.limiter.selector.endpoints, self.bans.listed
        own = {key for key, entry in mesh.own().entries.items() if entry.value is not None}
        alive = [] if mesh.alone(self.written) else mesh.alive(self.written)
        bad = {n: len(self._voices("b:" + n)) + ("b:" + n in own) for n in servers}
        agreed = sorted((n for n in bad if bad[n] >= VOICES), key=lambda n: (-bad[n], n))
        most = max(1, int(PART * len(servers)))
        agreed = agreed if alive and len(agreed) <= most else []
        self.agreed = {n: preferred_groups(n, alive)[0] for n in agreed}
        for name, trier in self.agreed.items():
            server = servers[name]
            if trier == mesh.life.name:
                continue  # tries it by its own marks, as one limiter does
            if trier not in self._voices("t:" + name):
                server.ejected_until = max(server.ejected_until, at + HOLD_MS)
            elif name not in self.relied:  # once for each word: own answers count from here on
                self.relied[name] = at
                server.clear_faults(self.core.limiter.estimates.latency_ms)
        for name in [n for n, when in self.relied.items() if at - when > TRUST_MS]:
            del self.relied[name]
        gone = [n for n in sorted(listed) if len(self._voices("g:" + n)) >= VOICES]
        distrusted = set(gone[: max(1, int(PART * len(listed)))])
        if distrusted != self.distrusted:
            changed, self.distrusted = distrusted ^ self.distrusted, distrusted
            self.bans.distrusted = distrusted
            self.banned(sorted(changed))
            self.log("heeded", gone=sorted(distrusted))

    def _voices(self, key: str) -> set[str]:
        """Which members say something; this one's own word is not among them."""
        newest = self.mesh.replica.newest
        return {life.name for life in self.said.get(key, ()) if newest(life.name) == life}

    def digest(self) -> str:
        """What is held here, in a few letters: a chain's version says what is in it."""
        held = sorted(self.mesh.replica.digest().items())
        return f"{crc32(repr(held).encode()):08x}"

    def told(self, now: float) -> dict[str, Any]:
        """For the log and for staff."""
        mesh = self.mesh
        states = {name: mesh.state(name, now).value for name in mesh.members if name != mesh.life.name}
        return {
            "life": mesh.life.number,
            "settled": mesh.settled,
            "closed": mesh.closed,
            "alone": mesh.alone(now),
            "links": len(mesh.links),
            "not_alive": {name: state for name, state in states.items() if state != "alive"},
            "entries": sum(len(chain.entries) for chain in mesh.replica.chains.values()),
        }


def read_account(value: Any, now: float) -> Record | None:
    """An account as a former life published it; None where it can't be one.  Nothing in it lets more be
    granted than a store holds: who reads it bounds it by the plan."""
    if not isinstance(value, list) or len(value) != 7:
        return None
    if not all(not isinstance(v, bool) and isinstance(v, int | float) and isfinite(v) for v in value):
        return None
    balance, unreported, store, total, window, at, full_at = value
    if not all(-UNITS <= v <= UNITS for v in (balance, unreported, store)) or not -1 <= window < 2**40:
        return None
    if not 0 <= at <= now + 60_000.0 or not abs(total) <= 1e15 or full_at <= now:
        return None
    return Record(
        float(balance), float(unreported), float(store), float(total), int(window), min(float(at), now),
        min(float(full_at), now + 600_000.0),
    )  # fmt: skip
