"""The order in which sessions handle their commands, and how many in a round of the event loop."""

from __future__ import annotations

from collections.abc import Callable

from scalelb.transport.input_scheduler import (
    LONG_ROUND_MS,
    MAX_ROUND_COST,
    MIN_ROUND_COST,
    REQUEST_COST,
    TURN_COST,
    InputScheduler,
)


class Source:
    """A session with a number of requests to handle."""

    def __init__(self, rounds: Rounds, requests: int) -> None:
        self.rounds, self.requests = rounds, requests

    def handle_input(self, max_cost: int) -> int:
        count = min(self.requests, max_cost // REQUEST_COST)
        self.requests -= count
        self.rounds.handled += [self] * count
        return count * REQUEST_COST

    def has_input(self) -> bool:
        return self.requests > 0


class Rounds:
    """An event loop with a scheduler, and the requests handled in the current round by their sources."""

    def __init__(self) -> None:
        self.now = 0.0
        self.calls: list[Callable[[], None]] = []
        self.handled: list[Source] = []
        self.scheduler = InputScheduler(lambda: self.now, self.calls.append)

    def source(self, requests: int) -> Source:
        source = Source(self, requests)
        self.scheduler.on_input(source)
        return source

    def run(self, took_ms: float = 0.0) -> list[Source]:
        """Run one round, which begins after the last has taken so long; return whose requests it handled."""
        self.now += took_ms
        self.handled.clear()
        calls, self.calls[:] = list(self.calls), []
        for call in calls:
            call()
        return self.handled


def test_new_request_is_handled_before_the_backlog_of_others() -> None:
    # Served in turn with sessions that had a backlog, a request waited for all of them: up to 1.9 s.
    rounds = Rounds()
    floods = [rounds.source(1000) for _ in range(100)]
    for _ in range(5):
        rounds.run()
    new = rounds.source(1)
    assert new.requests == 0 or rounds.run()[0] is new
    assert all(flood.requests for flood in floods)


def test_backlog_goes_on_while_first_turns_use_all_rounds() -> None:
    rounds = Rounds()
    backlog = rounds.source(100)
    for _ in range(10):
        for _ in range(2 * MAX_ROUND_COST // REQUEST_COST):
            rounds.source(1)
        left = backlog.requests
        rounds.run()
        assert backlog.requests < left


def test_requests_of_a_round_are_bounded() -> None:
    rounds = Rounds()
    for _ in range(300):
        rounds.source(50)
    assert len(rounds.handled) * REQUEST_COST <= MAX_ROUND_COST
    for _ in range(20):
        assert 0 < len(rounds.run()) * REQUEST_COST <= MAX_ROUND_COST + TURN_COST


def test_work_of_a_round_follows_the_time_that_rounds_take() -> None:
    rounds = Rounds()
    for _ in range(300):
        rounds.source(1000)
    sizes = [len(rounds.run(took_ms=2 * LONG_ROUND_MS)) * REQUEST_COST for _ in range(10)]
    assert sizes[0] > sizes[1] > sizes[-1]
    assert sizes[-1] <= MIN_ROUND_COST + TURN_COST
    for _ in range(10):
        size = len(rounds.run()) * REQUEST_COST
    assert size >= MAX_ROUND_COST


def test_all_requests_are_handled_once_and_none_of_a_session_that_has_ended() -> None:
    rounds = Rounds()
    sources = [rounds.source(count) for count in range(200)]
    ended = sources[150]
    handled_before = ended.requests
    rounds.scheduler.remove(ended)
    while rounds.calls:
        rounds.run()
    assert ended.requests == handled_before
    assert not any(source.requests for source in sources if source is not ended)


def test_session_that_waited_for_answers_goes_on_behind_new_requests() -> None:
    rounds = Rounds()
    floods = [rounds.source(1000) for _ in range(MAX_ROUND_COST // REQUEST_COST)]
    blocked = Source(rounds, 10)
    rounds.scheduler.on_unblocked(blocked)
    new = rounds.source(1)
    handled = rounds.run()
    assert handled[0] is new
    assert floods[0].requests < 1000
