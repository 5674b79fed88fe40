"""The program with one planted fault: `python -m broken_program NAME`.  The soak test must detect each."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

from scalelb.program import __main__ as program
from scalelb.protocol.agentcheck import Status
from scalelb.transport.session import ClientSession


def drop_answers_during_shutdown() -> None:
    """Drop all answers once the limiter closes its client connections."""
    original = ClientSession.on_answer

    def on_answer(self: ClientSession, request: Any, *answer: Any) -> None:
        if not self.listener.is_closing:
            original(self, request, *answer)
            return
        self.listener.release_request(request)
        self.answers.remove(request.payload.answer)

    ClientSession.on_answer = on_answer  # type: ignore[method-assign, assignment]


def exit_at_second_sigterm() -> None:
    """Exit at the second SIGTERM, although requests are open."""
    original = program.Program.stop

    def stop(self: program.Program, signalled_at: float | None = None) -> None:
        if self.status is Status.DRAINING:
            self.reactor.stop()
        original(self, signalled_at)

    program.Program.stop = stop  # type: ignore[method-assign]


def exit_without_grace_period() -> None:
    """Exit at SIGTERM at once."""
    program.SHUTDOWN_GRACE_S = 0.0

    def finish(self: program.Program) -> None:
        self.log("stopped", open=0, attempts=0, counts={})
        self.reactor.stop()

    program.Program.finish = finish  # type: ignore[method-assign]


def read_requests_until_the_kill() -> None:
    """Close no client connection, and let late requests keep their own deadlines beyond the kill."""
    program.Program.kill_after_s = lambda self: 60.0  # type: ignore[method-assign]
    ClientSession.is_idle = lambda self: False  # type: ignore[method-assign]


PLANTED_FAULTS: dict[str, Callable[[], None]] = {
    "drop-answers-at-the-end": drop_answers_during_shutdown,
    "end-at-a-second-sigterm": exit_at_second_sigterm,
    "end-without-lingering": exit_without_grace_period,
    "read-on-until-the-kill": read_requests_until_the_kill,
}


if __name__ == "__main__":
    PLANTED_FAULTS[sys.argv[1]]()
    sys.exit(program.main())
