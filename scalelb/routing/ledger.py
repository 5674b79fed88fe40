"""One store of a customer for many doors, kept on the shared counter.  Pure arithmetic; `control.py` decides.

Where a customer comes through so many doors that each sees less than a request of a burst, no door can hold
a block without stranding it, and none can tell from its own looks what the store holds: between two of them
the others have used it and the rate has filled it again. So the store is the counter's own number. A name
is a customer's window of time; its total is what was taken since the window began, and `burst + rate x time
- total` is what is left, the same at every door. What has run over the brim in the meantime is added to the
number by whoever sees it.
"""

from __future__ import annotations

from hashlib import blake2b
from zlib import crc32

from scalelb.policy.settings import Plan, Settings
from scalelb.routing.state import Customer

WINDOW_MS, LIFE_MS = 30_000.0, 60_000.0  # of a name: counted in, and remembered by the counter
BRIM = 1.0  # of the burst: what has run over is taken off once it is so much
SPARE = 0.5  # units never lent: guards what is sent a moment before the rate has quite covered it


def mean_units(settings: Settings) -> float:
    """Units of a request, before any has told."""
    return max(1.0, settings.max_units / 2)


def shared(plan: Plan, doors: int, settings: Settings) -> bool:
    """Whether a customer's doors keep one store: a mean request at each would empty it.

    Follows from the settings and the customer's `spread` alone, so that all its doors agree."""
    return settings.has_counter and plan.rate_per_s > 0 and doors * mean_units(settings) > plan.burst > 0


def window(name: str, now: float) -> tuple[int, float]:
    """The number of the customer's window at `now` (ms) and when it began.  Guards the counter: the windows
    of all customers would else turn at once, and all doors with them."""
    number = int((now + _phase(name)) // WINDOW_MS)
    return number, began(name, number)


def began(name: str, number: int) -> float:
    """When a customer's window began (ms)."""
    return number * WINDOW_MS - _phase(name)


def _phase(name: str) -> int:
    return crc32(name.encode()) % int(WINDOW_MS)


def name(customer: str, number: int) -> int:
    """The counter's name for a customer's window."""
    return int.from_bytes(blake2b(f"{customer} {number}".encode(), digest_size=7).digest(), "big")


def brim(plan: Plan) -> float:
    """Units that a full store lends."""
    return plan.burst - min(SPARE, plan.burst / 4)


def left(plan: Plan, since: float, now: float, total: float) -> float:
    """Units in the store at `now` when `total` was taken since the window began; over `brim`: run over."""
    return brim(plan) + plan.rate_per_s * max(0.0, now - since) / 1000 - total


def first(c: Customer, total: float) -> bool:
    """Whether nobody has counted in this window before: what the one before left has to be read."""
    unread, c.unread = c.unread, False
    if unread and c.shared and total <= c.amount + 1e-6:
        c.reading, c.total = True, total
        return True
    return False


def carried(c: Customer, total: float) -> float:
    """The window before ended with `total`: what the store lacked then is owed to the new one, as though it
    had been taken there.  Returns the new one's total with it.  Guards the quota: each turn would else hand
    out the burst anew."""
    c.reading = False
    since = began(c.name, c.window)
    lacked = max(0.0, brim(c.plan) - left(c.plan, since - WINDOW_MS, since, total))
    c.unreported += lacked
    return c.total + lacked


def fill(c: Customer, now: float, total: float) -> float:
    """What the store held before what was asked for.  What was given back, taken off or granted unseen stays
    added; only what is asked for is new."""
    filled = left(c.plan, began(c.name, c.window), now, total) + c.asked
    over, c.over = c.over, 0.0
    # Guards the customer: two doors that saw the same overflow have both taken it off, at a window's begin
    # all that the rate has brought since.  Who finds the store lower than it left it undoes its own part.
    if over and brim(c.plan) - filled > over / 2:
        c.unreported -= over
        filled = brim(c.plan)
    elif filled - brim(c.plan) > BRIM * c.plan.burst:
        c.over = filled - brim(c.plan)
        c.unreported += c.over
    return filled
