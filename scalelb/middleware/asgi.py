"""ASGI middleware that passes admitted HTTP requests to the app and answers the others with 429."""

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
MAX_EARLY_BYTES = 64 * 1024  # of a request body that are received before the decision
Identify = Callable[[Scope], Mapping[str, str]]


def identify_by_headers(scope: Scope) -> Mapping[str, str]:
    """Return the headers that the client sent; `scalelb.protocol.headers` says which ones are read."""
    return {name.decode("latin-1").lower(): value.decode("latin-1") for name, value in scope["headers"]}


class LimiterMiddleware:
    """Wraps an ASGI app with admission control.

    `identify` returns the headers that describe a request, its tenant among them; an app that knows its
    tenants by a login supplies its own function. `kinds` and `plans` are the names of the request classes and
    plans, in the order of the settings."""

    def __init__(
        self,
        app: App,
        host: Host,
        kinds: list[str],
        plans: list[str],
        identify: Identify = identify_by_headers,
    ) -> None:
        self.app, self.host, self.identify = app, host, identify
        self.kinds = {name: index for index, name in enumerate(kinds)}
        self.plans = {name: index for index, name in enumerate(plans)}

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one connection; those that are not HTTP requests are passed to the app unchecked."""
        if scope["type"] != "http":
            await self.app(scope, receive, send)
            return
        try:
            request = headers.read_headers(self.identify(scope), self.kinds, self.plans)
        except MalformedError as error:
            await _answer(send, 400, str(error))
            return
        deadline_ms = self.host.settings.request_classes[request.class_index].deadline_ms
        incoming = IncomingRequest(
            tenant=request.tenant,
            plan_index=request.plan_index,
            class_index=request.class_index,
            expires_in_ms=deadline_ms if request.timeout_ms is None else min(deadline_ms, request.timeout_ms),
            units=request.units,
            sharing_limiters=request.sharing_limiters,
            first_limiter=request.first_limiter,
            is_retry=request.is_retry,
            idempotency_key=request.idempotency_key,
            client_address=str((scope.get("client") or ("",))[0]),
        )
        admission = admit(self.host.core, incoming)
        early_messages: list[Message] = []
        try:
            decision = await _decision_or_disconnect(admission, receive, early_messages)
        except OutOfRangeError as error:
            await _answer(send, 400, f"x-quota: {error}")
            return
        if decision is None:
            return
        if decision.verdict is Verdict.ADMITTED:
            await self.app(scope, _replay_then_receive(early_messages, receive), send)
        elif decision.verdict is Verdict.REJECTED:
            wait = decision.retry_after_ms
            extra = {"retry-after": headers.retry_after(wait), "x-retry-after-ms": str(max(0, round(wait)))}
            await _answer(send, 429, "over the quota or too busy", extra)
        else:
            await _answer(send, 503, "no decision in time")


async def _decision_or_disconnect(
    admission: Coroutine[Any, Any, AdmissionDecision], receive: Receive, early_messages: list[Message]
) -> Any:
    """Await the decision; return None if the client disconnects first.

    Messages that arrive meanwhile are added to `early_messages`, for the app."""

    async def wait_for_disconnect() -> None:
        size = 0
        while size <= MAX_EARLY_BYTES:  # bounds the memory: the server buffers the rest
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            early_messages.append(message)
            size += len(message.get("body", b"")) + 1
        await asyncio.Event().wait()

    decision_task, disconnect_task = (
        asyncio.ensure_future(admission),
        asyncio.ensure_future(wait_for_disconnect()),
    )
    try:
        await asyncio.wait({decision_task, disconnect_task}, return_when=asyncio.FIRST_COMPLETED)
        return decision_task.result() if decision_task.done() else None
    finally:
        decision_task.cancel()
        disconnect_task.cancel()
        await asyncio.wait({decision_task, disconnect_task})


def _replay_then_receive(early_messages: list[Message], receive: Receive) -> Receive:
    async def receive_next() -> Message:
        return early_messages.pop(0) if early_messages else await receive()

    return receive_next


async def _answer(send: Send, status: int, text: str, extra_headers: Mapping[str, str] | None = None) -> None:
    body = text.encode()
    all_headers = {
        "content-type": "text/plain; charset=utf-8",
        "content-length": str(len(body)),
        **(extra_headers or {}),
    }
    pairs = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in all_headers.items()]
    await send({"type": "http.response.start", "status": status, "headers": pairs})
    await send({"type": "http.response.body", "body": body})
