"""What a limiter has done since it started, by class.  Counts only; whoever reads them words them."""

from __future__ import annotations

from collections.abc import Sequence


class Figures:
    """Requests by how they ended and attempts that left whole, a count for each class."""

    __slots__ = ("errors", "ok", "shed", "tries")

    def __init__(self, classes: int) -> None:
        self.ok, self.shed, self.errors, self.tries = ([0] * classes for _ in range(4))

    def told(self, names: Sequence[str]) -> dict[str, dict[str, int]]:
        """By the classes' names."""
        columns = {"ok": self.ok, "shed": self.shed, "errors": self.errors, "tries": self.tries}
        return {
            name: {what: counts[place] for what, counts in columns.items()}
            for place, name in enumerate(names)
        }
