"""Downstream connections: a session reads commands and sends the answers in the order of the commands."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Protocol

from scalelb.core.request_table import OpenRequest, Verdict
from scalelb.protocol import MalformedError, resp
from scalelb.transport.input_scheduler import REQUEST_COST
from scalelb.transport.session_metrics import LOGGED_REASONS, CloseReason
from scalelb.transport.stream import Stream

if TYPE_CHECKING:
    from scalelb.transport.listener import RespListener

MAX_SESSION_READ_AHEAD_BYTES = 4 * 1024 * 1024  # of streamed values that the client has not taken yet
# Commands of a session without an answer: reading pauses at the first number and resumes below the second.
MAX_PENDING_COMMANDS, RESUME_PENDING_COMMANDS = 64, 32
MAX_LOGGED_IDS = 8  # of the requests without an answer, when a session ends
FAILED_REPLY = resp.error("failed")
FIRST_BYTE_TIMEOUT_MS = 1800.0  # from connecting
FIRST_COMMAND_TIMEOUT_MS = 2300.0  # from connecting; clients may take 2 s to send a request head
COMMAND_TIMEOUT_MS = 2300.0  # from the first byte of a command to its last
PENDING_ANSWERS_TIMEOUT_MS = 1000.0  # after a malformed command, for the answers to the commands before it
LINGER_TIMEOUT_MS, MAX_LINGER_BYTES = 400.0, 256 * 1024  # of input that is discarded after the last answer
WRITE_TIMEOUT_MS = 8000.0  # for a client to read its answers
HALF_CLOSED_TIMEOUT_MS = 100.0  # from half-closing a connection to closing it


class Feeder(Protocol):
    """The source of a streamed value, which arrives in pieces."""

    def pause(self) -> None:
        """Stop delivering pieces for now."""

    def resume_if_paused(self) -> None:
        """Deliver pieces again."""


class Answer:
    """The place of an answer in the order of a session's commands."""

    __slots__ = ("data", "feeder", "last", "parts", "request", "sent", "waiting_bytes")

    def __init__(self, data: bytes | None = None, last: bool = False) -> None:
        # `data` is None until the answer is known. After the `last` answer the session ends.
        self.data, self.last = data, last
        self.request: OpenRequest | None = None
        self.feeder: Feeder | None = None  # the source of a streamed value
        self.waiting_bytes = 0  # of `data` or `parts` that are counted in the session's
        self.parts = b""  # pieces that wait for the answers before this one
        self.sent = False  # whether a part of it was sent


class RequestPayload:
    """What an open request carries: its call, to be forwarded, and the place of its answer."""

    __slots__ = ("answer", "call", "is_sent")

    def __init__(self, call: resp.Call, answer: Answer) -> None:
        self.call, self.answer = call, answer
        self.is_sent = False  # whether the first byte of an attempt was written


class ClientSession(Stream):
    """A downstream connection, and the caller of its requests."""

    max_read_bytes = 8 * 1024  # also what a session may hold of commands that wait for their turn

    def __init__(self, listener: RespListener) -> None:
        self.listener = listener
        self.reader = resp.CommandReader()
        self.answers: deque[Answer] = deque()  # those that are pending, in the order of the commands
        # Whether further input is discarded, and whether the connection is being closed.
        self.is_input_ended = self.is_closing = False
        self.has_received_command = False
        self.client_address = ""
        self.discarded_bytes = 0  # input after `is_input_ended`
        # Start times (ms) of the timeouts in `close_if_timed_out`: the last activity or change of state, the
        # first byte of a command, and when the client was first seen not to read its answers (0: it reads).
        self.active_at = self.command_started_at = self.write_blocked_at = 0.0
        self.read_ahead_bytes = 0  # of answers that were sent and that the client has not taken yet
        self.waiting_bytes = 0  # of answers that wait for those before them
        self.input_bytes = 0  # stored, as reported to the listener
        self.received_at = 0.0  # time (ms) of the last read
        self.is_corked = False  # whether answers are collected, to be sent together
        self.close_reason = CloseReason.CLIENT  # until this side decides to end the connection

    def connectionMade(self) -> None:  # noqa: N802
        """Register the session with its listener."""
        super().connectionMade()
        self.active_at = self.listener.clock()
        self.client_address = str(getattr(self.transport.getPeer(), "host", ""))
        self.listener.on_connect(self)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Process bytes from the client."""
        if self.is_input_ended:
            self.discarded_bytes += len(data)
            if self.discarded_bytes > MAX_LINGER_BYTES:  # saves CPU time: the rest stays in the kernel
                self.pause()
            return
        was_in_command = self.reader.is_in_command()
        try:
            if self.reader.append(data):
                self._append_answer(Answer(self.listener.busy_reply()))
        except MalformedError as error:
            self.malformed(str(error))
            return
        self.received_at = self.listener.clock()
        if not was_in_command:
            self.command_started_at = self.received_at
        self.update_input_bytes()
        self.listener.input_scheduler.on_input(self)
        self.listener.discard_excess_input()
        self.pause_or_resume()

    def update_input_bytes(self) -> None:
        """Report to the listener how many bytes of input are stored."""
        difference = self.reader.size - self.input_bytes
        if difference:
            self.input_bytes += difference
            self.listener.on_input_stored(self, difference)

    def may_discard_command(self) -> bool:
        """Return whether an incomplete command is stored, and nothing before it waits to be handled."""
        return self.input_bytes > 0 and not self.reader.has_next()

    def discard_command(self) -> None:
        """Discard the incomplete command to free its memory; it is rejected when its last byte arrives."""
        self.reader.discard_command()
        self.update_input_bytes()
        self.listener.session_metrics.discarded_commands += 1

    def handle_input(self, max_cost: int) -> int:
        """Handle commands until they have cost `max_cost`; return their cost."""
        if self.has_peer_closed():
            # Nobody waits for the answers: the commands that are still unread must not be charged or sent.
            self.is_input_ended = True
            self.abort()
            return 1
        cost = 0
        self.is_corked = True
        try:
            while cost < max_cost and self.has_input():
                command = self.reader.next_command()
                if command is None:
                    break
                now = self.listener.clock()
                self.has_received_command = True
                self.active_at = self.command_started_at = now
                cost += self._handle_command(command)
        except MalformedError as error:
            # Malformed input affects only its own connection, which ends after an error reply.
            self.malformed(str(error))
        finally:
            self._write_ready_answers()
            self.is_corked = False
        self.update_input_bytes()
        self.pause_or_resume()
        return cost

    def has_input(self) -> bool:
        """Return whether there are commands that may be handled now."""
        return self.may_handle_command() and self.reader.has_next()

    def may_handle_command(self) -> bool:
        """Return whether the limits on pending and unsent answers allow another command.

        They bound the memory for a client that sends many commands, or does not read its answers."""
        if self.is_closed or self.is_input_ended:
            return False
        if not self.is_flushed or len(self.answers) >= MAX_PENDING_COMMANDS:
            return False
        return not self.answers or not (self.listener.is_crowded() or self.listener.expects_too_many_bytes())

    def pause_or_resume(self) -> None:
        """Read on unless commands that have been read wait to be handled."""
        if self.is_closed or self.is_input_ended:
            return
        must_pause = not self.may_handle_command() or self.reader.has_next()
        if must_pause and not self.paused:
            self.pause()
        elif not must_pause and self.paused and len(self.answers) < RESUME_PENDING_COMMANDS:
            self.command_started_at = self.listener.clock()
            self.resume()

    def malformed(self, what: str, reason: CloseReason = CloseReason.MALFORMED) -> None:
        """Send an error after the pending answers, and discard all further input."""
        self.listener.log("malformed", level="warning", what=what, peer=str(self.transport.getPeer()))
        self.reader = resp.CommandReader()
        self.update_input_bytes()
        self.note_close_reason(reason)
        self._send_last(resp.error(f"malformed: {what}"))

    def note_close_reason(self, reason: CloseReason) -> None:
        """Record why this side ends the connection; the first reason counts."""
        if self.close_reason is CloseReason.CLIENT:
            self.close_reason = reason

    def is_client_connected(self) -> bool:
        """Return whether the client can still receive an answer."""
        return not (self.is_closed or self.is_closing or self.has_peer_closed())

    def is_idle(self) -> bool:
        """Return whether no answer is pending and no part of a further command has arrived.

        Unread bytes count as a command, so that a request that is just arriving does not lose its connection.
        """
        is_busy = self.is_input_ended or self.answers or self.reader.is_in_command() or not self.is_flushed
        return not (is_busy or self.has_unread_data())

    def close_if_timed_out(self, now: float, idle_timeout_ms: float) -> bool:
        """Apply the timeouts of a session; return whether it was ended."""
        if self.is_closing:
            if self.paused and now - self.active_at > HALF_CLOSED_TIMEOUT_MS:
                self.close()
            return False
        if self.paused and self.has_peer_closed():  # the client has disconnected: its attempts are cancelled
            self.abort()
        elif self.is_input_ended:
            if now - self.active_at > (
                PENDING_ANSWERS_TIMEOUT_MS if self.answers or not self.is_flushed else LINGER_TIMEOUT_MS
            ):
                self.fail_pending_answers()
        elif not self.is_flushed and self.write_blocked_at and now - self.write_blocked_at > WRITE_TIMEOUT_MS:
            self.listener.log("stuck", level="warning", peer=str(self.transport.getPeer()))
            self.note_close_reason(CloseReason.WRITE_TIMEOUT)
            self.abort()
        elif self.reader.is_in_command() and (
            (now - self.command_started_at > COMMAND_TIMEOUT_MS and not self.paused)
            or (now - self.active_at > FIRST_COMMAND_TIMEOUT_MS and not self.has_received_command)
        ):
            self.malformed("the command does not end", CloseReason.INPUT_TIMEOUT)
        elif (
            now - self.active_at > (idle_timeout_ms if self.has_received_command else FIRST_BYTE_TIMEOUT_MS)
            and self.is_idle()
        ):
            self.close_idle(CloseReason.IDLE)
        else:
            self.write_blocked_at = 0.0 if self.is_flushed else self.write_blocked_at or now
            return False
        return True

    def close_idle(self, reason: CloseReason) -> None:
        """Close an idle connection now, so that the peer learns of it before it writes another request."""
        self.note_close_reason(reason)
        self.is_closing = self.is_input_ended = True
        self.close_immediately()

    def close_gracefully(self) -> None:
        """Half-close the connection now, so that the peer learns of it before it writes another request, and
        close it shortly after.

        Closing it while bytes arrive would reset it, and the client could lose the answer that was just
        written. Such bytes are not read: the client sends its request again on another connection.
        """
        self.note_close_reason(CloseReason.SHUTDOWN)
        self.is_closing = self.is_input_ended = True
        self.active_at = self.listener.clock()
        self.pause()
        # Half-closes the socket now: `half_close` alone would do so only in a later round of the reactor, and
        # the peer could write another request in the meantime.
        self.shutdown_write()
        self.half_close()

    def fail_pending_answers(self) -> None:
        """End a session whose time is up after its last command.

        Requests before a malformed command that still have no answer are cancelled and answered as failed.
        """
        if not self.answers or self.answers[0].sent:  # an error can't follow part of a value
            self.is_closing = True
            self.abort()
            return
        for answer in self.answers:
            if answer.request is not None and answer.data is None:
                self.listener.count(answer.request.payload.call.class_name, self.listener.metrics.errors)
        self.cancel_requests()
        for answer in self.answers:
            answer.data = FAILED_REPLY if answer.data is None else answer.data
        self._send_ready_answers()

    def cancel_requests(self) -> None:
        """Cancel the requests that have no answer yet."""
        for answer in self.answers:
            if answer.request is not None and answer.data is None:
                request, answer.request = answer.request, None
                self.listener.release_request(request, is_answered=False)
                self.listener.core.cancel(request)

    def _handle_command(self, command: resp.Command) -> int:
        """Handle a command; return its cost."""
        name = command.name
        if name in (resp.CALL_GET, resp.CALL_POST):
            self._handle_request(command, name)
            return REQUEST_COST
        if name == b"PING":
            is_ready = self.listener.is_ready()
            self._append_answer(Answer(resp.PONG if is_ready else resp.error("not ready")))
        elif name in (b"CLIENT", b"SELECT"):
            self._append_answer(Answer(resp.OK))
        elif name == b"QUIT":
            self.note_close_reason(CloseReason.QUIT)
            self._send_last(resp.OK)
        else:
            self._append_answer(Answer(resp.error("unknown command")))
        return 1

    def _handle_request(self, command: resp.Command, name: bytes) -> None:
        call = resp.Call.read(command)
        # Bounds the memory of open requests; a request rejected here is not charged.
        if self.listener.open_request_bytes + len(call.raw) > self.listener.max_open_request_bytes:
            self.listener.count(call.class_name, self.listener.metrics.rejected)
            self._append_answer(Answer(self.listener.busy_reply()))
            return
        if self.listener.was_executed(call):
            self.listener.count(call.class_name, self.listener.metrics.errors)
            self._append_answer(Answer(FAILED_REPLY))
            return
        answer = Answer()
        answer.request = self.listener.submit_request(self, call, name == resp.CALL_GET, answer)
        self.answers.append(answer)

    def on_answer(
        self, request: OpenRequest, verdict: Verdict, value: memoryview | None, retry_after_ms: float
    ) -> None:
        """Send the final answer of a request, after all answers to earlier commands."""
        self.listener.release_request(request)
        metrics = self.listener.metrics
        data, counts = FAILED_REPLY, metrics.errors  # type: tuple[bytes | memoryview, list[int]]
        if verdict is Verdict.SERVED and value is not None:
            data, counts = value, metrics.ok
            self.listener.record_value(len(value))
        elif verdict is Verdict.REJECTED:
            data, counts = resp.busy(retry_after_ms), metrics.rejected
        self.listener.count(request.payload.call.class_name, counts)
        if verdict is Verdict.FAILED:
            self.listener.log_failure(request)
        answer = request.payload.answer
        answer.feeder = answer.request = None
        is_first = bool(self.answers) and self.answers[0] is answer
        if data is value and not answer.sent and not self._may_hold(len(data), is_first):
            data = FAILED_REPLY
            self._set_waiting_bytes(answer, 0)
            answer.parts = b""
            self.listener.session_metrics.dropped_answers += 1
        if is_first:
            self.answers.popleft()
            self._send_counted(data)
            self.active_at = self.active_at if self.is_input_ended else self.listener.clock()
            self._send_ready_answers()
        else:
            answer.data, answer.parts = answer.parts + data, b""
            self._set_waiting_bytes(answer, len(answer.data))

    def _may_hold(self, size: int, is_first: bool) -> bool:
        """Return whether there is memory for a value, unless the kernel takes it at once."""
        return (is_first and self.is_flushed) or self.listener.may_hold_answer(size)

    def _set_waiting_bytes(self, answer: Answer, size: int) -> None:
        difference = size - answer.waiting_bytes
        answer.waiting_bytes = size
        self.waiting_bytes += difference
        self.listener.read_ahead_bytes += difference

    def _send_counted(self, data: bytes | memoryview) -> None:
        """Send bytes, and count them until the kernel has taken them."""
        self.send(data)
        if not self.is_flushed:
            self.read_ahead_bytes += len(data)
            self.listener.read_ahead_bytes += len(data)

    def begin_value(self, answer: Answer, feeder: Feeder) -> None:
        """Start a streamed value."""
        answer.feeder = feeder

    def send_piece(self, answer: Answer, data: bytes | memoryview) -> None:
        """Send a piece of a streamed value; if other answers come before it, buffer it and pause the feeder.

        Values are read ahead of slow clients. An attempt is in flight until its value has been read, so a
        slow client would otherwise occupy a backend, and requests of a tenant with a concurrency limit would
        have to wait for it. The bytes read ahead are bounded for each session and for all sessions together.
        """
        if self.is_closed or answer.feeder is None:
            return
        if self.answers and self.answers[0] is answer:
            answer.sent = True
            self._send_counted(data)
            self.active_at = self.active_at if self.is_input_ended else self.listener.clock()
            is_over_limit = (
                self.read_ahead_bytes > MAX_SESSION_READ_AHEAD_BYTES
                or self.listener.read_ahead_bytes > self.listener.max_read_ahead_bytes
            )
            if not self.is_flushed and is_over_limit:
                answer.feeder.pause()
        else:
            answer.parts += data
            self._set_waiting_bytes(answer, len(answer.parts))
            answer.feeder.pause()

    def fail_value(self, answer: Answer, request: OpenRequest) -> None:
        """Handle the failure of a streamed value before its end.

        If a part of it was sent, only closing the connection shows the client that it is incomplete.
        """
        self._set_waiting_bytes(answer, 0)
        answer.feeder, answer.parts = None, b""
        if answer.sent:
            self.listener.count(request.payload.call.class_name, self.listener.metrics.errors)
            self.listener.release_request(request)
            self.listener.core.cancel(request)
            answer.data = b""
            self.note_close_reason(CloseReason.VALUE_BROKEN)
            self.abort()

    def _append_answer(self, answer: Answer) -> None:
        self.answers.append(answer)
        self._send_ready_answers()

    def _send_last(self, data: bytes) -> None:
        self.is_input_ended, self.active_at = True, self.listener.clock()
        self._append_answer(Answer(data, last=True))

    def _send_ready_answers(self) -> None:
        if not self.is_corked:
            self._write_ready_answers()
            self.on_flushed()

    def _write_ready_answers(self) -> None:
        ready: list[bytes] = []
        is_last = False
        while self.answers and not is_last and (data := self.answers[0].data) is not None:
            ready.append(data)
            is_last = self.answers[0].last
            self._set_waiting_bytes(self.answers.popleft(), 0)
        if ready:
            self._send_counted(ready[0] if len(ready) == 1 else b"".join(ready))
        if is_last:
            self.active_at = self.listener.clock()
            self.half_close()
        elif self.answers and (first := self.answers[0]).parts:
            data, first.parts = first.parts, b""
            self._set_waiting_bytes(first, 0)
            self.send_piece(first, data)

    def on_flushed(self) -> None:
        """Resume reading if the client has taken its answers and few are pending.

        While the listener closes, the session is closed after its last answer, unless another request has
        arrived in the meantime: that is read and served first.
        """
        if self.is_flushed and self.read_ahead_bytes:
            self.listener.read_ahead_bytes, self.read_ahead_bytes = (
                self.listener.read_ahead_bytes - self.read_ahead_bytes,
                0,
            )
        if self.is_flushed and self.answers and (feeder := self.answers[0].feeder) is not None:
            feeder.resume_if_paused()
        if not self.is_corked:
            self.listener.input_scheduler.on_unblocked(self)
        self.pause_or_resume()
        if self.listener.is_closing and not self.is_closing and self.is_idle():
            self.close_gracefully()

    def lost(self) -> None:
        """Cancel the requests of a client that has disconnected."""
        self.listener.read_ahead_bytes -= self.read_ahead_bytes + self.waiting_bytes
        self.read_ahead_bytes = self.waiting_bytes = 0
        self.listener.input_scheduler.remove(self)
        self.reader = resp.CommandReader()
        self.update_input_bytes()
        self._report_close()
        self.cancel_requests()
        self.answers.clear()
        self.listener.on_disconnect(self)

    def _report_close(self) -> None:
        pending = [a.request for a in self.answers if a.request is not None and a.data is None]
        self.listener.session_metrics.on_close(self.close_reason, len(pending))
        if self.close_reason in LOGGED_REASONS:
            ids = [request.payload.call.request_id.decode() for request in pending[:MAX_LOGGED_IDS]]
            self.listener.log(
                "session.closed",
                level="warning",
                reason=self.close_reason.value,
                client=self.client_address,
                open=len(pending),
                ids=ids,
            )
