"""The program with one break planted: `python -m broken_program NAME`.  The soak has to find each."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

from scalelb.program import __main__ as program
from scalelb.protocol.agentcheck import Status
from scalelb.transport.session import ClientSession


def drop_answers_at_the_end() -> None:
    """No answer leaves once the limiter closes its sessions."""
    usual = ClientSession.on_answer

    def on_answer(self: ClientSession, request: Any, *answer: Any) -> None:
        if not self.listener.is_closing:
            usual(self, request, *answer)
            return
        self.listener.release_request(request)
        self.answers.remove(request.payload.answer)

    ClientSession.on_answer = on_answer  # type: ignore[method-assign, assignment]


def end_at_a_second_sigterm() -> None:
    """The second SIGTERM ends the process, whatever is open."""
    usual = program.Program.stop

    def stop(self: program.Program, signalled_at: float | None = None) -> None:
        if self.status is Status.DRAINING:
            self.reactor.stop()
        usual(self, signalled_at)

    program.Program.stop = stop  # type: ignore[method-assign]


def end_without_lingering() -> None:
    """The process ends as soon as it is told to."""
    program.SHUTDOWN_GRACE_S = 0.0

    def finish(self: program.Program) -> None:
        self.log("stopped", open=0, attempts=0, counts={})
        self.reactor.stop()

    program.Program.finish = finish  # type: ignore[method-assign]


def read_on_until_the_kill() -> None:
    """Sessions are never closed, and what is open has its own deadline, however late it came."""
    program.Program.kill_after_s = lambda self: 60.0  # type: ignore[method-assign]
    ClientSession.is_idle = lambda self: False  # type: ignore[method-assign]


BREAKS: dict[str, Callable[[], None]] = {
    "drop-answers-at-the-end": drop_answers_at_the_end,
    "end-at-a-second-sigterm": end_at_a_second_sigterm,
    "end-without-lingering": end_without_lingering,
    "read-on-until-the-kill": read_on_until_the_kill,
}


if __name__ == "__main__":
    BREAKS[sys.argv[1]]()
    sys.exit(program.main())
