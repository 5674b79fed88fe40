"""The ledger of promises: who was told to come back when, and what is held back for them.

A promise names a time and holds back its units for a short grace after it.  Promises of a flow follow one
another by the rate at which credit comes, so a thousand refusals in one second are told a thousand times.
Whoever comes back marked as a retry claims the oldest promise of its flow that is due, not one by name:
through another limiter of its set it takes what somebody else left there.  What nobody claims goes back.
"""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import inf


@dataclass(slots=True)
class Reservation:
    """Units that a flow was promised at a time; the start tag that it had then.  One that is not `kept` was
    only told a time: whoever comes back by it has no claim, and must not take another's."""

    due: float
    units: float
    tag: float
    kept: bool = True


@dataclass(slots=True, eq=False)
class TenantReservations:
    """The promises of one flow, in the order of their times."""

    promises: list[Reservation] = field(default_factory=list)
    units: float = 0.0


class RetryAfterReservations:
    """All promises of one door."""

    def __init__(self, most: int, early_ms: float, grace_ms: float) -> None:
        self.most, self.early_ms, self.grace_ms = most, early_ms, grace_ms
        self.accounts: dict[str, TenantReservations] = {}
        self.lapses: list[tuple[float, str]] = []  # a heap: when a promise lapses, and whose it is
        self.count = 0
        # `beyond`: honest times that may not be said; `full`: refusals for which there was no room
        self.tally = {"made": 0, "claimed": 0, "lapsed": 0, "beyond": 0, "full": 0}

    def promise(
        self, flow: str, now: float, units: float, short: float, rate: float, most_ms: float, tag: float
    ) -> tuple[float, bool]:
        """Name a time for so many units: once the rate (units/s) has covered what the flow is short of and
        all that it was promised before.  Returns milliseconds and whether they are promised; beyond
        `most_ms` that is all that may be said, and nothing is held back."""
        account = self.accounts.get(flow)
        owed = account.units if account else 0.0
        wait = 1000.0 * max(0.0, short + owed + units) / rate if rate > 0 else inf
        if account and account.promises and rate > 0:
            # Guards the time after the last promise against everybody, where the rate or the backlog has
            # since turned out better: they would all be told the same.
            wait = max(wait, account.promises[-1].due - now + 1000.0 * units / rate)
        wait = max(1.0, wait)
        kept = wait <= most_ms
        wait = min(wait, most_ms)
        if self.count >= self.most:
            self.tally["full"] += 1
            return wait, False
        account = account or self.accounts.setdefault(flow, TenantReservations())
        account.promises.append(Reservation(now + wait, units, tag, kept))
        account.units += units * kept
        self.count += 1
        self.tally["made" if kept else "beyond"] += 1
        heappush(self.lapses, (now + wait + self.grace_ms, flow))
        return wait, kept

    def claim(self, flow: str, now: float, units: float) -> Reservation | None:
        """Take what was told to whoever comes back now: of the oldest that are due the first of as many
        units, or else the oldest.  Nothing where that was no promise."""
        account = self.accounts.get(flow)
        if account is None or not account.promises or account.promises[0].due > now + self.early_ms:
            return None
        found = 0
        for place, promise in enumerate(account.promises):
            if promise.due > now + self.early_ms or place >= 8:
                break
            if promise.units == units:
                found = place
                break
        promise = account.promises[found]
        del account.promises[found]
        self._less(flow, account, promise)
        self.tally["claimed"] += promise.kept
        return promise if promise.kept else None

    def owed(self, flow: str, now: float) -> tuple[float, float, float]:
        """Units that are due by now, all units promised, and when the last of them is due."""
        account = self.accounts.get(flow)
        if account is None or not account.promises:
            return 0.0, 0.0, now
        due = 0.0
        for promise in account.promises:
            if promise.due > now + self.early_ms:
                break
            due += promise.units * promise.kept
        return due, account.units, account.promises[-1].due

    def before(self, flow: str, until: float) -> float:
        """Units that a flow was promised for before a time, about: O(log n)."""
        account = self.accounts.get(flow)
        if account is None:
            return 0.0
        count = bisect_right(account.promises, until, key=lambda promise: promise.due)
        return account.units * count / len(account.promises)

    def lapse(self, now: float) -> None:
        """Give back what nobody claimed in time."""
        while self.lapses and self.lapses[0][0] <= now:
            _, flow = heappop(self.lapses)
            account = self.accounts.get(flow)
            while account and account.promises and account.promises[0].due + self.grace_ms <= now:
                lapsed = account.promises.pop(0)
                self._less(flow, account, lapsed)
                self.tally["lapsed"] += lapsed.kept

    def _less(self, flow: str, account: TenantReservations, promise: Reservation) -> None:
        self.count -= 1
        account.units -= promise.units * promise.kept
        if not account.promises:
            del self.accounts[flow]
