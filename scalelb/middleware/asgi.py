"""The middleware: each HTTP request is admitted, or answered with 429, before the app sees it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Mapping, MutableMapping
from typing import Any

from scalelb.core.admission import AdmissionDecision, admit
from scalelb.core.exceptions import OutOfRangeError
from scalelb.core.incoming_request import IncomingRequest
from scalelb.core.request_table import Verdict
from scalelb.middleware.host import Host
from scalelb.protocol import MalformedError, headers

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]
EARLY_MOST = 64 * 1024  # of a body, read while the decision is awaited
Identify = Callable[[Scope], Mapping[str, str]]


def identify_by_headers(scope: Scope) -> Mapping[str, str]:
    """The request's own headers (see `scalelb.protocol.headers`)."""
    return {name.decode("latin-1").lower(): value.decode("latin-1") for name, value in scope["headers"]}


class LimiterMiddleware:
    """Wraps an ASGI app.  `identify` tells whose a request is, in the form of the headers; an app that knows
    its customers by a login gives its own.  `kinds` and `plans` are the names of the settings' classes and
    plans, in their order."""

    def __init__(
        self,
        app: App,
        host: Host,
        kinds: list[str],
        plans: list[str],
        identify: Identify = identify_by_headers,
    ) -> None:
        self.app, self.host, self.identify = app, host, identify
        self.kinds = {name: place for place, name in enumerate(kinds)}
        self.plans = {name: place for place, name in enumerate(plans)}

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """One connection of the server."""
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return
        try:
            asked = headers.read_headers(self.identify(scope), self.kinds, self.plans)
        except MalformedError as error:
            await _answer(send, 400, str(error))
            return
        deadline = self.host.settings.request_classes[asked.class_index].deadline_ms
        incoming = IncomingRequest(
            tenant=asked.tenant,
            plan_index=asked.plan_index,
            class_index=asked.class_index,
            expires_in_ms=deadline if asked.timeout_ms is None else min(deadline, asked.timeout_ms),
            units=asked.units,
            sharing_limiters=asked.sharing_limiters,
            first_limiter=asked.first_limiter,
            is_retry=asked.is_retry,
            idempotency_key=asked.idempotency_key,
            client_address=str((scope.get("client") or ("",))[0]),
        )
        asking = admit(self.host.core, incoming)
        early: list[Message] = []
        try:
            decision = await _unless_gone(asking, receive, early)
        except OutOfRangeError as error:
            await _answer(send, 400, f"x-quota: {error}")
            return
        if decision is None:
            return
        if decision.verdict is Verdict.ADMITTED:
            await self.app(scope, _again(early, receive), send)
        elif decision.verdict is Verdict.REJECTED:
            wait = decision.retry_after_ms
            more = {"retry-after": headers.retry_after(wait), "x-retry-after-ms": str(max(0, round(wait)))}
            await _answer(send, 429, "over the quota or too busy", more)
        else:
            await _answer(send, 503, "no decision in time")


async def _unless_gone(
    asking: Coroutine[Any, Any, AdmissionDecision], receive: Receive, early: list[Message]
) -> Any:
    """The decision; nothing if the client leaves first.  What it sent meanwhile is kept for the app."""

    async def until_gone() -> None:
        size = 0
        while size <= EARLY_MOST:  # guards the memory: the server holds the rest
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            early.append(message)
            size += len(message.get("body", b"")) + 1
        await asyncio.Event().wait()

    deciding, leaving = asyncio.ensure_future(asking), asyncio.ensure_future(until_gone())
    try:
        await asyncio.wait({deciding, leaving}, return_when=asyncio.FIRST_COMPLETED)
        return deciding.result() if deciding.done() else None
    finally:
        deciding.cancel()
        leaving.cancel()
        await asyncio.wait({deciding, leaving})


def _again(early: list[Message], receive: Receive) -> Receive:
    async def again() -> Message:
        return early.pop(0) if early else await receive()

    return again


async def _answer(send: Send, status: int, words: str, more: Mapping[str, str] | None = None) -> None:
    body = words.encode()
    told = {"content-type": "text/plain; charset=utf-8", "content-length": str(len(body)), **(more or {})}
    pairs = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in told.items()]
    await send({"type": "http.response.start", "status": status, "headers": pairs})
    await send({"type": "http.response.body", "body": body})
