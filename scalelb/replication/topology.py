"""Determines which members are linked: those 1, 2, 4, 8 ... positions apart in the sorted list of names.

Each of N members has about 2 log2 N links. After a partition, updates reach every member within log2 N hops
once the links are up again.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

MAX_EXTRA_LINKS = 2  # dialled at a time beyond the planned links, while most of those are down


class Topology:
    """The links that one member should have."""

    def __init__(self, name: str, members: Iterable[str]) -> None:
        """Computes the links of the member `name`; raises ValueError if `name` is not one of the members."""
        self.name = name
        self.members = sorted(set(members))
        if name not in self.members:
            raise ValueError(f"name: {name!r} is not one of the members")
        dialled_by = {member: self._dialled_by(member) for member in self.members}
        self.dialled = dialled_by[name]  # the members that this one dials
        dialled_from = {member for member, dialled in dialled_by.items() if name in dialled}
        self.neighbours = sorted(set(self.dialled) | dialled_from)  # all members it should be linked to

    def _dialled_by(self, name: str) -> list[str]:
        index = self.members.index(name)
        count = len(self.members)
        steps = [1 << bit for bit in range(count.bit_length()) if 1 << bit < count]
        others = [self.members[(index + step) % count] for step in steps]
        return [other for other in others if self._dials(name, other)]

    def _dials(self, name: str, other: str) -> bool:
        """Whether `name` dials `other`, which is a power of two ahead of it.

        If `name` is also a power of two ahead of `other`, only the first name in sort order dials; otherwise
        the pair would have two links.
        """
        count = len(self.members)
        distance = (self.members.index(other) - self.members.index(name)) % count
        is_mutual = _is_power_of_two(distance) and _is_power_of_two(count - distance)
        return not is_mutual or name < other

    def members_to_dial(self, linked: Iterable[str], choose: Callable[[list[str]], str]) -> list[str]:
        """Returns the members to dial now: those that this member dials and isn't linked to.

        While fewer than half of the neighbours are linked, members that are not neighbours are added;
        `choose` picks each of them from a list.
        """
        linked = set(linked)
        to_dial = [name for name in self.dialled if name not in linked]
        linked_neighbours = sum(name in linked for name in self.neighbours)
        if 2 * linked_neighbours < len(self.neighbours):
            candidates = [name for name in self.members if name not in self.neighbours and name not in linked]
            candidates = [name for name in candidates if name != self.name]
            for _ in range(min(MAX_EXTRA_LINKS, len(candidates))):
                chosen = choose(candidates)
                to_dial.append(chosen)
                candidates.remove(chosen)
        return to_dial


def _is_power_of_two(number: int) -> bool:
    return number & (number - 1) == 0
