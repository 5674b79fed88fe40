"""Which members are linked to which: those 1, 2, 4, 8 ... places apart in the sorted list of names.

Each member has about 2 log2 N links, and any split heals in log2 N steps once links are up again.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

MAX_EXTRA_LINKS = 2  # dialled at once beyond its own, where most of a member's own links are down


class Topology:
    """The links that one member should have."""

    def __init__(self, name: str, members: Iterable[str]) -> None:
        """Raises ValueError if `name` is not one of the members."""
        self.name = name
        self.members = sorted(set(members))
        if name not in self.members:
            raise ValueError(f"name: {name!r} is not one of the members")
        dialled_by = {member: self._dialled_by(member) for member in self.members}
        self.dialled = dialled_by[name]  # the members that this one dials
        dialled_from = {member for member, dialled in dialled_by.items() if name in dialled}
        self.neighbours = sorted(set(self.dialled) | dialled_from)  # all that it should have a link with

    def _dialled_by(self, name: str) -> list[str]:
        place = self.members.index(name)
        count = len(self.members)
        steps = [1 << bit for bit in range(count.bit_length()) if 1 << bit < count]
        others = [self.members[(place + step) % count] for step in steps]
        return [other for other in others if self._dials(name, other)]

    def _dials(self, name: str, other: str) -> bool:
        """Without this a pair would have two links: where each stands a power of two ahead of the other, the
        first name dials."""
        count = len(self.members)
        ahead = (self.members.index(other) - self.members.index(name)) % count
        is_mutual = _is_power_of_two(ahead) and _is_power_of_two(count - ahead)
        return not is_mutual or name < other

    def members_to_dial(self, linked: Iterable[str], choose: Callable[[list[str]], str]) -> list[str]:
        """Whom to dial now: its own links that are not up, and where most neighbours are not linked, others
        too, drawn by `choose`."""
        linked = set(linked)
        to_dial = [name for name in self.dialled if name not in linked]
        linked_neighbours = sum(name in linked for name in self.neighbours)
        if 2 * linked_neighbours < len(self.neighbours):
            rest = [name for name in self.members if name not in self.neighbours and name not in linked]
            rest = [name for name in rest if name != self.name]
            for _ in range(min(MAX_EXTRA_LINKS, len(rest))):
                chosen = choose(rest)
                to_dial.append(chosen)
                rest.remove(chosen)
        return to_dial


def _is_power_of_two(number: int) -> bool:
    return number & (number - 1) == 0
