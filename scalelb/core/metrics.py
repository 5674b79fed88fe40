"""Counts since the start of the process, by the index of the request class."""

from __future__ import annotations

from collections.abc import Sequence


class ClassMetrics:
    """Final answers by kind, and attempts whose last byte was written; one count for each request class."""

    __slots__ = ("attempts", "errors", "ok", "rejected")

    def __init__(self, class_count: int) -> None:
        self.ok = [0] * class_count
        self.rejected = [0] * class_count
        self.errors = [0] * class_count
        self.attempts = [0] * class_count

    def by_class(self, class_names: Sequence[str]) -> dict[str, dict[str, int]]:
        """Return the counts for the status output, by class name."""
        columns = {"ok": self.ok, "shed": self.rejected, "errors": self.errors, "tries": self.attempts}
        return {
            name: {column: counts[index] for column, counts in columns.items()}
            for index, name in enumerate(class_names)
        }
