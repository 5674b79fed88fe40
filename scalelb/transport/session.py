"""Client sessions: commands in, answers out in the order of the commands."""

from __future__ import annotations

import traceback
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.interfaces import IAddress
from twisted.internet.protocol import ServerFactory

from scalelb.core.exceptions import OutOfRangeError
from scalelb.core.incoming_request import IncomingRequest
from scalelb.core.lifecycle import Core
from scalelb.core.metrics import ClassMetrics
from scalelb.core.request_table import OpenRequest, Verdict
from scalelb.policy.settings import DeduplicationScope, Idempotency
from scalelb.protocol import MalformedError, resp
from scalelb.transport.stream import Log, Stream

AHEAD_MOST = 4 * 1024 * 1024  # bytes of a value that are read before its client takes them
PENDING_MOST, PENDING_LOW = 64, 32  # commands of one session without an answer: stop reading, read again
FAILED = resp.error("failed")
SILENT_MS = 1800.0  # for a session's first byte, from connecting
FIRST_MS = 2300.0  # for its first whole command; a client may spend 2 s on a head
PART_MS = 2300.0  # for the rest of a command, from its first byte
OWED_MS = 1000.0  # for the answers before that to a malformed command
LINGER_MS, LINGER_BYTES = 400.0, 256 * 1024  # after the last answer: what still comes is skipped
IDLE_MS, IDLE_LEAST_MS = 2100.0, 300.0  # without an open request: where usual clients are few, and many
FEW, MANY = 0.5, 0.9  # parts of the connections that usual clients hold at most
IDLE_FULL_MS = 2100.0, 600.0  # the least that it may be idle where there is no room; and while others wait
STUCK_MS = 8000.0  # that a client may leave its answers unread
FRESH_MS = 250.0, 30.0  # that a new session may be silent, likewise
PARTED_MS = 100.0  # between the end of our sending and that of the connection
AT_ONCE = 16  # where there is none, this part of the sessions makes room at once
SPARE = 24  # sessions above the most, for a moment
CROWDED, ROOMY = 0.85, 0.7  # parts of the most sessions: from the one on, room is made down to the other


class Feeder(Protocol):
    """Whoever brings a value in pieces."""

    def pause(self) -> None:
        """Bring nothing for now."""

    def go_on(self) -> None:
        """Go on."""


class Answer:
    """The place of an answer in a session's order."""

    __slots__ = ("data", "feeder", "last", "parts", "request", "sent")

    def __init__(self, data: bytes | None = None, last: bool = False) -> None:
        self.data, self.last = data, last
        self.request: OpenRequest | None = None
        self.feeder: Feeder | None = None  # brings its value in pieces
        self.parts = b""  # that wait for the answers before it
        self.sent = False  # something of it has left


class ClientSession(Stream):
    """One client's connection.  It is the caller of its requests."""

    def __init__(self, door: Door) -> None:
        self.door = door
        self.reader = resp.CommandReader()
        self.order: deque[Answer] = deque()
        self.ended = self.leaving = False  # nothing more is read; and the connection is closing
        self.heard = False  # a whole command has come
        self.client = ""  # where it comes from
        self.skipped = 0  # bytes that came after the end
        self.since = self.part_since = self.stuck_since = 0.0  # see `Door.sweep`
        self.ahead = 0  # bytes of values that the client has not taken yet

    def connectionMade(self) -> None:  # noqa: N802
        """The connection is up."""
        super().connectionMade()
        self.since = self.door.clock()
        self.client = str(getattr(self.transport.getPeer(), "host", ""))
        self.door.joined(self)

    def rawDataReceived(self, data: bytes) -> None:  # noqa: N802
        """Bytes from the client."""
        if self.ended:
            self.skipped += len(data)
            if self.skipped > LINGER_BYTES:  # guards the processor: the rest stays with the kernel
                self.pause()
            return
        began, whole = self.reader.buffer.size, False
        try:
            for command in self.reader.feed(data):
                self.heard = whole = True
                self._take(command)
                if self.ended:
                    return
        except MalformedError as error:
            # Guards the process: whatever comes, the client is told, its connection ends, others go on.
            self.malformed(str(error))
            return
        if whole or not began:
            now = self.door.clock()
            self.part_since, self.since = now, now if whole else self.since
        # Guards the memory against a client that only sends, or does not read what it is answered.
        if len(self.order) > PENDING_MOST or not self.flushed:
            self.pause()

    def malformed(self, what: str) -> None:
        """Tell the client, once the answers before are out, and read nothing more of it."""
        self.door.log("malformed", level="warning", what=what, peer=str(self.transport.getPeer()))
        self.reader = resp.CommandReader()
        self._last(resp.error(f"malformed: {what}"))

    def there(self) -> bool:
        """Whether the client has not left."""
        return not (self.gone or self.leaving or (self.paused and self.hung_up()))

    def idle(self) -> bool:
        """Whether it owes nothing, and nothing of a further command has come.  Guards a request that is just
        arriving against the end of its connection."""
        owing = self.ended or self.order or self.reader.buffer.size or not self.flushed
        return not (owing or self.unread())

    def overdue(self, now: float, idle_ms: float) -> bool:
        """House-keeping.  Whether the session was ended."""
        if self.leaving:
            if self.paused and now - self.since > PARTED_MS:
                self.close()
            return False
        if self.paused and self.hung_up():  # it has left: what is tried for it is given up
            self.abort()
        elif self.ended:
            if now - self.since > (OWED_MS if self.order or not self.flushed else LINGER_MS):
                self.cut_short()
        elif not self.flushed and self.stuck_since and now - self.stuck_since > STUCK_MS:
            self.door.log("stuck", level="warning", peer=str(self.transport.getPeer()))
            self.abort()
        elif self.reader.buffer.size and (
            (now - self.part_since > PART_MS and not self.paused)
            or (now - self.since > FIRST_MS and not self.heard)
        ):
            self.malformed("the command does not end")
        elif now - self.since > (idle_ms if self.heard else SILENT_MS) and self.idle():
            self.leave()
        else:
            self.stuck_since = 0.0 if self.flushed else self.stuck_since or now
            return False
        return True

    def leave(self) -> None:
        """End the connection; the peer is told at once, as it may be about to write a request."""
        self.leaving = self.ended = True
        self.close_now()

    def part(self) -> None:
        """End our sending, and the connection a moment later.  Guards the answer just written: a close over
        bytes that come meanwhile resets the connection.  They are not read: the client sends them anew."""
        self.leaving = self.ended = True
        self.since = self.door.clock()
        self.pause()
        self.end_writing()  # the peer is told at once, as it may be about to write a request
        self.close_writing()

    def cut_short(self) -> None:
        """The time of an ended session is up.  What it still owes was asked for ahead of a command that could
        not be read: given up, answered, and the connection ends."""
        if not self.order or self.order[0].sent:  # half a value can't be followed by an error
            self.leaving = True
            self.abort()
            return
        for answer in self.order:
            if answer.request is not None and answer.data is None:
                self.door.count(answer.request.payload.call.class_name, self.door.metrics.errors)
        self._give_up()
        for answer in self.order:
            answer.data = FAILED if answer.data is None else answer.data
        self._flush()

    def _give_up(self) -> None:
        for answer in self.order:
            if answer.request is not None and answer.data is None:
                self.door.forget(answer.request)
                self.door.core.cancel(answer.request)

    def _take(self, command: resp.Command) -> None:
        name = command.name
        if name in (resp.CALL_GET, resp.CALL_POST):
            self._call(command, name)
        elif name == b"PING":
            ready = self.door.ready()
            self._add(Answer(resp.PONG if ready else resp.error("not ready")))
        elif name in (b"CLIENT", b"SELECT"):
            self._add(Answer(resp.OK))
        elif name == b"QUIT":
            self._last(resp.OK)
        else:
            self._add(Answer(resp.error("unknown command")))

    def _call(self, command: resp.Command, name: bytes) -> None:
        call = resp.Call.read(command)
        if self.door.held + len(call.raw) > self.door.held_most:  # guards the memory; nothing was charged
            settings = self.door.core.settings
            self.door.count(call.class_name, self.door.metrics.rejected)
            self._add(Answer(resp.busy(settings.max_retry_after_ms if settings.sends_retry_after else 0.0)))
            return
        answer = Answer()
        answer.request = self.door.arrive(self, call, name == resp.CALL_GET, answer)
        self.order.append(answer)

    def on_answer(
        self, request: OpenRequest, verdict: Verdict, value: memoryview | None, retry_after_ms: float
    ) -> None:
        """The final answer of one request; it waits only for those before it."""
        self.door.forget(request)
        metrics = self.door.metrics
        data, counts = FAILED, metrics.errors  # type: tuple[bytes | memoryview, list[int]]
        if verdict is Verdict.SERVED and value is not None:
            data, counts = value, metrics.ok
        elif verdict is Verdict.REJECTED:
            data, counts = resp.busy(retry_after_ms), metrics.rejected
        self.door.count(request.payload.call.class_name, counts)
        answer = request.payload.answer
        answer.feeder = None
        if self.order and self.order[0] is answer:
            self.order.popleft()
            self.send(data)
            self.since = self.since if self.ended else self.door.clock()
            self._flush()
        else:
            answer.data, answer.parts = answer.parts + data, b""

    def begin(self, answer: Answer, feeder: Feeder) -> None:
        """A value begins to come in pieces."""
        answer.feeder = feeder

    def piece(self, answer: Answer, data: bytes | memoryview) -> None:
        """A piece of it: sent on at once where no other answer is due before, else kept, and no more is read.
        Guards the backends, and customers with a cap on attempts, against slow clients: an attempt is out
        until its value is read, so it is read ahead.  Guards the memory: only so much, of one and of all."""
        if self.gone or answer.feeder is None:
            return
        if self.order and self.order[0] is answer:
            answer.sent = True
            self.send(data)
            self.since = self.since if self.ended else self.door.clock()
            if not self.flushed:
                self.ahead += len(data)
                self.door.ahead += len(data)
                if self.ahead > AHEAD_MOST or self.door.ahead > self.door.ahead_most:
                    answer.feeder.pause()
        else:
            answer.parts += data
            answer.feeder.pause()

    def broken(self, answer: Answer, request: OpenRequest) -> None:
        """A value that has begun won't be whole.  Where something of it has left, only the connection's end
        can tell the client so."""
        answer.feeder, answer.parts = None, b""
        if answer.sent:
            self.door.count(request.payload.call.class_name, self.door.metrics.errors)
            self.door.forget(request)
            self.door.core.cancel(request)
            answer.data = b""
            self.abort()

    def _add(self, answer: Answer) -> None:
        self.order.append(answer)
        self._flush()

    def _last(self, data: bytes) -> None:
        self.ended, self.since = True, self.door.clock()
        self._add(Answer(data, last=True))

    def _flush(self) -> None:
        while self.order and (data := self.order[0].data) is not None:
            self.send(data)
            if self.order.popleft().last:
                self.since = self.door.clock()
                self.close_writing()
                return
        if self.order and (head := self.order[0]).parts:
            data, head.parts = head.parts, b""
            self.piece(head, data)
        self.drained()

    def drained(self) -> None:
        """Read on, once the client has taken its answers and few are owed; the last of a door that closes is
        followed by the end.  Guards a request that came meanwhile: it is read and served first."""
        if self.flushed and self.ahead:
            self.door.ahead, self.ahead = self.door.ahead - self.ahead, 0
        if self.flushed and self.order and (feeder := self.order[0].feeder) is not None:
            feeder.go_on()
        if self.paused and self.flushed and not (self.gone or self.ended) and len(self.order) < PENDING_LOW:
            self.part_since = self.door.clock()
            self.read_on()
        if self.door.closing and not self.leaving and self.idle():
            self.part()

    def lost(self) -> None:
        """The client has left."""
        self.door.ahead, self.ahead = self.door.ahead - self.ahead, 0
        self._give_up()
        self.order.clear()
        self.door.left(self)


class Held:
    """What a request is kept with: how to pass it on, and the place of its answer."""

    __slots__ = ("answer", "call")

    def __init__(self, call: resp.Call, answer: Answer) -> None:
        self.call, self.answer = call, answer


class Door(ServerFactory):
    """Accepts client sessions and hands their requests to the core."""

    noisy = False

    def __init__(
        self,
        core: Core,
        kinds: list[str],
        plans: list[str],
        ready: Callable[[], bool],
        log: Log,
        sessions_most: int,
        held_most: int = 16 * 1024 * 1024,
        ahead_most: int = 16 * 1024 * 1024,
        clients_most: int = 0,
        keyed: bool = False,
        metrics: ClassMetrics | None = None,
    ) -> None:
        self.keyed = keyed  # whether a request may also come through another door
        self.core, self.ready, self.log = core, ready, log
        self.metrics = metrics or ClassMetrics(len(kinds))
        self.kinds = {name: place for place, name in enumerate(kinds)}
        self.plans = {name: place for place, name in enumerate(plans)}
        self.sessions: dict[ClientSession, None] = {}
        self.sessions_most, self.held_most, self.ahead_most = sessions_most, held_most, ahead_most
        self.clients_most = clients_most or sessions_most
        self.idents: set[bytes] = set()  # of the open requests
        self.held = 0  # bytes of the open requests
        self.ahead = 0  # bytes of values that clients have not taken yet
        self.closing = self.full = False
        self.clock = core.clock
        self.port: Any = None

    def buildProtocol(self, addr: IAddress | None) -> ClientSession | None:  # noqa: N802
        """A client connects.  Many may in one round, before the port can be told to wait: beyond what is
        spare, they are closed at once."""
        if len(self.sessions) >= self.sessions_most + SPARE:
            return None
        return ClientSession(self)

    def joined(self, session: ClientSession) -> None:
        """Guards the descriptors: over the limit, another session makes room, and nothing more is accepted
        until one has ended (the kernel holds new ones meanwhile)."""
        self.sessions[session] = None
        if self.port is not None:
            # Guards the descriptors against many at once: Twisted accepts more in one round with each round
            # that was full, and only between rounds can it be told to wait.
            self.port.numberAccepts = 0
        if len(self.sessions) > self.sessions_most:
            if not self.full and self.port is not None:
                self.full = True
                self.port.pauseProducing()
            self.make_room(1 + self.sessions_most // AT_ONCE)

    def left(self, session: ClientSession) -> None:
        """A session has ended."""
        self.sessions.pop(session, None)
        if self.full and len(self.sessions) <= self.sessions_most and not self.closing:
            self.full = False
            self.port.resumeProducing()

    def make_room(self, wanted: int) -> int:
        """End so many sessions that owe nothing: those whose last answer is out, those that were silent from
        the start, then those idle for longest.  Returns how many."""
        now = self.clock()
        ended = [s for s in self.sessions if s.ended and not (s.order or s.leaving)]
        # Guards usual clients behind a queue of silent ones, or of some that ask once and stay: they write
        # their request as soon as they connect, and what they use is idle for less.
        fresh_ms, idle_ms = FRESH_MS[self.full], IDLE_FULL_MS[self.full]
        silent = [s for s in self.sessions if not s.heard and not s.ended and now - s.since > fresh_ms]
        idle = [s for s in self.sessions if s.heard and not s.ended and now - s.since > idle_ms]
        made = 0
        for session in ended + silent + sorted(idle, key=lambda s: s.since):
            if made >= wanted:
                break
            if session.ended:
                session.cut_short()
            elif session.idle():
                session.leave()
            else:
                continue
            made += 1
        return made

    def sweep(self) -> None:
        """House-keeping: none stays for long that sends nothing, half a command, or more than it reads."""
        now, count = self.clock(), len(self.sessions)
        # Guards the usual clients: they hold so many connections at most, and those that ask once and stay
        # leave none to the others, long before there is no room here.
        share = sum(s.heard and not s.ended for s in self.sessions) / self.clients_most
        many = min(1.0, max(0.0, (share - FEW) / (MANY - FEW)))
        idle_ms = IDLE_MS + many * (IDLE_LEAST_MS - IDLE_MS)
        ended = self._with_each(lambda session: session.overdue(now, idle_ms))
        if count - ended > CROWDED * self.sessions_most:
            room = CROWDED if self.full else ROOMY
            self.make_room(int(count - ended - room * self.sessions_most))

    def count(self, kind: str, counts: list[int]) -> None:
        """One more of a class, if there is such a class."""
        if (place := self.kinds.get(kind)) is not None:
            counts[place] += 1

    def active(self) -> int:
        """Commands that were taken and are not answered yet."""
        return sum(len(session.order) for session in self.sessions)

    def forget(self, request: OpenRequest) -> None:
        """A request is finished: its id may come again."""
        self.idents.discard(request.payload.call.request_id)
        self.held -= len(request.payload.call.raw)

    def arrive(self, session: ClientSession, call: resp.Call, safe: bool, answer: Answer) -> OpenRequest:
        """Hand one request to the core."""
        kind, plan = self.kinds.get(call.class_name), self.plans.get(call.plan_name)
        if kind is None or plan is None:
            raise MalformedError(f"class {call.class_name!r} or plan {call.plan_name!r} is not known")
        effect, group = (
            self.core.settings.request_classes[kind].idempotency,
            self.core.settings.request_classes[kind].deduplication_scope,
        )
        if safe != (effect is Idempotency.IDEMPOTENT):
            raise MalformedError(f"class {call.class_name!r} does not come by this command")
        if effect is Idempotency.IDEMPOTENCY_KEY and not call.idempotency_key:
            raise MalformedError("a request of a keyed class without a key")
        if call.request_id in self.idents:
            raise MalformedError("the id is that of an open request")
        incoming = IncomingRequest(
            tenant=call.tenant,
            plan_index=plan,
            class_index=kind,
            expires_in_ms=call.expires_in_ms,
            units=call.units,
            sharing_limiters=call.sharing_limiters,
            first_limiter=call.first_limiter,
            is_retry=call.is_retry,
            idempotency_key=call.idempotency_key if self.keyed or group is not DeduplicationScope.ALL else "",
            client_address=session.client,
        )
        try:
            request = self.core.submit(session, Held(call, answer), incoming)
        except OutOfRangeError as error:
            raise MalformedError(str(error)) from None
        self.idents.add(call.request_id)
        self.held += len(call.raw)
        return request

    def shut(self, shared: bool = False) -> None:
        """Take nobody new but those who wait already, and close every session once it owes nothing.  Who
        waits at a `shared` socket is left to the other life that holds it: it has this one's account."""
        if self.port is not None:
            if not shared:
                self.accept_waiting()
            self.port.stopListening()
        self.closing = True
        self.shut_on()

    def accept_waiting(self) -> None:
        """Accept what the kernel holds for us.  Guards those who have connected and asked already: they would
        be reset as the port closes."""
        before = -1
        while before < len(self.sessions) < self.sessions_most + SPARE:
            before, self.port.numberAccepts = len(self.sessions), AT_ONCE
            self.port.doRead()

    def shut_on(self) -> None:
        """Again and again while the door closes: end what owes nothing, and what has ended its sending.  One
        that has just connected is about to ask."""
        now = self.clock()
        self._with_each(lambda session: self._shut_one(session, now))

    @staticmethod
    def _shut_one(session: ClientSession, now: float) -> None:
        fresh = not session.heard and now - session.since < FRESH_MS[0]
        if session.leaving:
            session.overdue(now, 0.0)
        elif not fresh and session.idle():
            session.part()

    def _with_each(self, step: Callable[[ClientSession], bool | None]) -> int:
        """Take a step with every session; returns how often it was true.  A session with which something
        fails is ended, so that all others are looked after and the program can end."""
        count = 0
        for session in list(self.sessions):
            try:
                count += bool(step(session))
            except Exception as error:
                self.log("fault", level="error", what="".join(traceback.format_exception(error)))
                session.abort()
        return count
