"""The RESP2 listener: accepts client sessions, submits their requests to the core and ends idle sessions."""

from __future__ import annotations

import traceback
from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ServerFactory

from scalelb.core.exceptions import OutOfRangeError
from scalelb.core.incoming_request import IncomingRequest
from scalelb.core.lifecycle import Core
from scalelb.core.metrics import ClassMetrics
from scalelb.core.request_table import OpenRequest
from scalelb.policy.settings import DeduplicationScope, Idempotency
from scalelb.protocol import MalformedError, resp
from scalelb.transport.input_scheduler import InputScheduler
from scalelb.transport.request_ids import RequestIds
from scalelb.transport.session import Answer, ClientSession, RequestPayload
from scalelb.transport.session_metrics import CloseReason, SessionMetrics
from scalelb.transport.stream import Log

# Idle timeout without an open request. It falls from the first value to the second while the connections in
# use rise from the low to the high ratio of those that well-behaved clients hold at most.
IDLE_TIMEOUT_MS, MIN_IDLE_TIMEOUT_MS = 2100.0, 300.0
LOW_USAGE_RATIO, HIGH_USAGE_RATIO = 0.5, 0.9
# Idle time after which a session may be evicted: while new clients are accepted, and while they have to wait.
EVICTION_IDLE_MS = 2100.0, 600.0
# Time that a new session has for its first command before it may be evicted, in the same two cases.
NEW_SESSION_GRACE_MS = 250.0, 30.0
# Above its limit a listener evicts 1/16 of its sessions at once; closing, it accepts 16 connections a round.
BATCH_SIZE = 16
SPARE_SESSIONS = 24  # above the limit, for the moment until accepting pauses
# Above the first ratio of the maximum number of sessions, idle ones are evicted down to the second.
HIGH_WATERMARK_RATIO, LOW_WATERMARK_RATIO = 0.85, 0.7
VALUE_AVERAGE_RATIO = 1 / 16  # weight of the latest value in the running average of their sizes


class RespListener(ServerFactory):
    """Accepts client sessions and submits their requests to the core."""

    noisy = False

    def __init__(
        self,
        core: Core,
        class_names: list[str],
        plan_names: list[str],
        is_ready: Callable[[], bool],
        log: Log,
        call_in_next_round: Callable[[Callable[[], None]], object],
        max_sessions: int,
        max_open_request_bytes: int = 16 * 1024 * 1024,
        max_read_ahead_bytes: int = 16 * 1024 * 1024,
        expected_connections: int = 0,
        has_other_listener: bool = False,
        metrics: ClassMetrics | None = None,
        max_shared_requests: int = 4096,
        max_input_bytes: int = 16 * 1024 * 1024,
    ) -> None:
        """`expected_connections`: the most that well-behaved clients hold; 0: `max_sessions`.

        Above `max_shared_requests` open requests, each session may have only one.
        `call_in_next_round` calls a function in the next round of the event loop.
        """
        self.has_other_listener = has_other_listener  # through which the same request may arrive
        self.core, self.is_ready, self.log = core, is_ready, log
        self.metrics = metrics or ClassMetrics(len(class_names))
        self.session_metrics = SessionMetrics()
        self.class_indexes = {name: index for index, name in enumerate(class_names)}
        self.plan_indexes = {name: index for index, name in enumerate(plan_names)}
        self.sessions: dict[ClientSession, None] = {}
        self.max_sessions, self.max_open_request_bytes, self.max_read_ahead_bytes = (
            max_sessions,
            max_open_request_bytes,
            max_read_ahead_bytes,
        )
        self.expected_connections = expected_connections or max_sessions
        deadline_ms = max(kind.deadline_ms for kind in core.settings.request_classes)
        self.request_ids: RequestIds[ClientSession] = RequestIds(
            core.clock, core.limits.max_deadline_multiple * deadline_ms
        )
        self.open_request_bytes = 0
        self.read_ahead_bytes = 0  # of answers that clients have not taken yet
        self.mean_value_bytes = 0.0  # of values that were served, a running average
        self.is_closing = self.is_full = False
        self.clock = core.clock
        self.max_input_bytes = max_input_bytes
        self.input_bytes = 0  # that are read and belong to no request yet
        self.storing: dict[ClientSession, None] = {}  # sessions with such bytes, longest first
        self.max_shared_requests = max_shared_requests
        self.input_scheduler = InputScheduler(self.clock, call_in_next_round)
        self.port: Any = None

    def buildProtocol(self, addr: IAddress | None) -> ClientSession | None:  # noqa: N802
        """Return a session for a new connection; None, which closes it, above the spare sessions.

        Many connections may be accepted in one round, before the port can be paused.
        """
        if len(self.sessions) >= self.max_sessions + SPARE_SESSIONS:
            return None
        return ClientSession(self)

    def on_connect(self, session: ClientSession) -> None:
        """Add a session; above the limit, evict others and pause accepting until one has ended.

        This bounds the number of descriptors. Meanwhile new connections wait in the kernel.
        """
        self.sessions[session] = None
        if self.port is not None:
            # Bounds the number of connections that are accepted in one round: Twisted accepts more after each
            # full round, and the port can be paused only between rounds.
            self.port.numberAccepts = 0
        if len(self.sessions) > self.max_sessions:
            if not self.is_full and self.port is not None:
                self.is_full = True
                self.port.pauseProducing()
            self.evict_sessions(1 + self.max_sessions // BATCH_SIZE)

    def on_disconnect(self, session: ClientSession) -> None:
        """Remove a session that has ended."""
        self.sessions.pop(session, None)
        if self.is_full and len(self.sessions) <= self.max_sessions and not self.is_closing:
            self.is_full = False
            self.port.resumeProducing()

    def evict_sessions(self, max_count: int) -> int:
        """End sessions without a pending answer; return how many were ended.

        The order is: sessions that have sent their last answer, those that have not sent a command, and those
        that have been idle for longest.
        """
        now = self.clock()
        ended = [
            candidate
            for candidate in self.sessions
            if candidate.is_input_ended and not (candidate.answers or candidate.is_closing)
        ]
        # Well-behaved clients send a request as soon as they connect, and their connections are idle for less
        # than this. They must not wait behind connections that send nothing, or stay open after one request.
        grace_ms, idle_ms = NEW_SESSION_GRACE_MS[self.is_full], EVICTION_IDLE_MS[self.is_full]
        without_command = [
            candidate
            for candidate in self.sessions
            if not candidate.has_received_command
            and not candidate.is_input_ended
            and now - candidate.active_at > grace_ms
        ]
        idle = [
            candidate
            for candidate in self.sessions
            if candidate.has_received_command
            and not candidate.is_input_ended
            and now - candidate.active_at > idle_ms
        ]
        evicted_count = 0
        for session in ended + without_command + sorted(idle, key=lambda candidate: candidate.active_at):
            if evicted_count >= max_count:
                break
            if session.is_input_ended:
                session.fail_pending_answers()
            elif session.is_idle():
                session.close_idle(CloseReason.EVICTED)
            else:
                continue
            evicted_count += 1
        return evicted_count

    def sweep(self) -> None:
        """End sessions that time out, and evict idle ones above the high watermark."""
        self.request_ids.sweep()
        now, count = self.clock(), len(self.sessions)
        # Well-behaved clients hold a limited number of connections. If those that are idle after one request
        # stayed open, none would be left for further requests, long before this listener is full.
        usage_ratio = (
            sum(s.has_received_command and not s.is_input_ended for s in self.sessions)
            / self.expected_connections
        )
        pressure_ratio = min(
            1.0, max(0.0, (usage_ratio - LOW_USAGE_RATIO) / (HIGH_USAGE_RATIO - LOW_USAGE_RATIO))
        )
        idle_timeout_ms = IDLE_TIMEOUT_MS + pressure_ratio * (MIN_IDLE_TIMEOUT_MS - IDLE_TIMEOUT_MS)
        ended_count = self._for_each_session(lambda session: session.close_if_timed_out(now, idle_timeout_ms))
        if count - ended_count > HIGH_WATERMARK_RATIO * self.max_sessions:
            target_ratio = HIGH_WATERMARK_RATIO if self.is_full else LOW_WATERMARK_RATIO
            self.evict_sessions(int(count - ended_count - target_ratio * self.max_sessions))

    def count(self, class_name: str, counts: list[int]) -> None:
        """Increment the count of a class; unknown classes are ignored."""
        if (index := self.class_indexes.get(class_name)) is not None:
            counts[index] += 1

    def log_failure(self, request: OpenRequest) -> None:
        """Log a request that ends as failed, with what identifies it and its last attempt."""
        call = request.payload.call
        self.log(
            "request.failed",
            level="warning",
            id=call.request_id.decode(),
            tenant=call.tenant,
            kind=call.class_name,
            attempts=request.attempt_number + 1,
            server=request.endpoint,
            late_ms=round(self.clock() - request.expires_at, 1),
        )

    def is_crowded(self) -> bool:
        """Return whether so many requests are open that a session may have only one."""
        return len(self.core.open_requests) >= self.max_shared_requests

    def record_value(self, size: int) -> None:
        """Include a served value in the average size."""
        self.mean_value_bytes += VALUE_AVERAGE_RATIO * (size - self.mean_value_bytes)

    def may_hold_answer(self, size: int) -> bool:
        """Return whether there is memory for a value that can't be sent at once."""
        return self.read_ahead_bytes + size <= self.max_read_ahead_bytes

    def expects_too_many_bytes(self) -> bool:
        """Return whether the answers of all open requests may need more than half of the memory for answers.

        Clients that do not read would otherwise have their values dropped, which has cost an attempt."""
        expected = self.read_ahead_bytes + len(self.core.open_requests) * self.mean_value_bytes
        return expected > self.max_read_ahead_bytes / 2

    def on_input_stored(self, session: ClientSession, difference: int) -> None:
        """Record that a session stores more or fewer bytes of input."""
        self.input_bytes += difference
        if session.input_bytes:
            self.storing.setdefault(session)
        else:
            self.storing.pop(session, None)

    def discard_excess_input(self) -> None:
        """Above the limit, discard the incomplete commands that take longest.

        They are those of clients that write slowly or have stopped."""
        while self.input_bytes > self.max_input_bytes:
            longest = next((s for s in self.storing if s.may_discard_command()), None)
            if longest is None:
                return
            longest.discard_command()

    def busy_reply(self) -> bytes:
        """Return the rejection of a request for which there is no memory."""
        settings = self.core.settings
        return resp.busy(settings.max_retry_after_ms if settings.sends_retry_after else 0.0)

    def active(self) -> int:
        """Return the number of commands without an answer."""
        return sum(len(session.answers) for session in self.sessions)

    def release_request(self, request: OpenRequest, is_answered: bool = True) -> None:
        """Release the id and the bytes of a finished request.

        An id under which an attempt was sent is not executed again if its client has left without an answer,
        or if the class does not allow it."""
        call = request.payload.call
        self.request_ids.open.pop(call.request_id, None)
        self.open_request_bytes -= len(call.raw)
        call.raw = b""  # a finished request may stay in the table while its attempt is out
        if request.payload.is_sent and not (is_answered and self._is_idempotent(call)):
            self.request_ids.remember_executed(call.request_id)

    def _is_idempotent(self, call: resp.Call) -> bool:
        request_class = self.core.settings.request_classes[self.class_indexes[call.class_name]]
        return request_class.idempotency is Idempotency.IDEMPOTENT

    def was_executed(self, call: resp.Call) -> bool:
        """Return whether a request's id may have been executed already.

        If the id is still open on a connection whose client has left, that session ends first."""
        owner = self.request_ids.open.get(call.request_id)
        if owner is not None and not owner.is_client_connected():
            owner.abort()
            owner.cancel_requests()
        return self.request_ids.may_have_been_executed(call.request_id)

    def submit_request(
        self, session: ClientSession, call: resp.Call, is_idempotent: bool, answer: Answer
    ) -> OpenRequest:
        """Submit a request to the core; raise `MalformedError` if its values are unknown or out of range."""
        class_index, plan_index = (
            self.class_indexes.get(call.class_name),
            self.plan_indexes.get(call.plan_name),
        )
        if class_index is None or plan_index is None:
            raise MalformedError(f"class {call.class_name!r} or plan {call.plan_name!r} is not known")
        idempotency, deduplication_scope = (
            self.core.settings.request_classes[class_index].idempotency,
            self.core.settings.request_classes[class_index].deduplication_scope,
        )
        if is_idempotent != (idempotency is Idempotency.IDEMPOTENT):
            raise MalformedError(f"class {call.class_name!r} does not come by this command")
        if idempotency is Idempotency.IDEMPOTENCY_KEY and not call.idempotency_key:
            raise MalformedError("a request of a keyed class without a key")
        if call.request_id in self.request_ids.open:
            raise MalformedError("the id is that of an open request")
        waited_ms = self.clock() - session.received_at  # for other commands to be handled
        incoming = IncomingRequest(
            tenant=call.tenant,
            plan_index=plan_index,
            class_index=class_index,
            expires_in_ms=call.expires_in_ms,
            units=call.units,
            sharing_limiters=call.sharing_limiters,
            first_limiter=call.first_limiter,
            is_retry=call.is_retry,
            idempotency_key=call.idempotency_key
            if self.has_other_listener or deduplication_scope is not DeduplicationScope.ALL
            else "",
            client_address=session.client_address,
        )
        try:
            request = self.core.submit(session, RequestPayload(call, answer), incoming, waited_ms=waited_ms)
        except OutOfRangeError as error:
            raise MalformedError(str(error)) from None
        self.request_ids.open[call.request_id] = session
        self.open_request_bytes += len(call.raw)
        return request

    def close(self, is_shared: bool = False) -> None:
        """Stop listening, and close each session as soon as it has no pending answer.

        Connections that wait in the kernel are accepted first. On a shared socket they are left to the other
        incarnation, which has taken over the quota balances: this one would have to reject their requests.
        """
        if self.port is not None:
            if not is_shared:
                self.accept_waiting()
            self.port.stopListening()
        self.is_closing = True
        self.close_idle_sessions()

    def accept_waiting(self) -> None:
        """Accept the connections that wait in the kernel, which would be reset when the port is closed.

        Their clients may have sent a request already.
        """
        count_before = -1
        while count_before < len(self.sessions) < self.max_sessions + SPARE_SESSIONS:
            count_before, self.port.numberAccepts = len(self.sessions), BATCH_SIZE
            self.port.doRead()

    def close_idle_sessions(self) -> None:
        """Close idle sessions, and half-closed ones after their timeout; called repeatedly during shutdown.

        A session that has just connected is left open, as its client is about to send a request.
        """
        now = self.clock()
        self._for_each_session(lambda session: self._close_if_idle(session, now))

    @staticmethod
    def _close_if_idle(session: ClientSession, now: float) -> None:
        is_new = not session.has_received_command and now - session.active_at < NEW_SESSION_GRACE_MS[0]
        if session.is_closing:
            session.close_if_timed_out(now, 0.0)
        elif not is_new and session.is_idle():
            session.close_gracefully()

    def _for_each_session(self, step: Callable[[ClientSession], bool | None]) -> int:
        """Call a function with every session; return how often it returned true.

        A session for which it raises is aborted, so that all others are processed and the program can end.
        """
        count = 0
        for session in list(self.sessions):
            try:
                count += bool(step(session))
            except Exception as error:
                self.log("fault", level="error", what="".join(traceback.format_exception(error)))
                session.note_close_reason(CloseReason.FAULT)
                session.abort()
        return count
