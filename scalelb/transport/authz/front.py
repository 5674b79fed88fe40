"""The second front: one question, may this go through, answered by the same core as the platform's door."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

import grpc
from google.rpc import code_pb2, status_pb2
from grpc_health.v1 import health, health_pb2, health_pb2_grpc

from scalelb.core.admission import AdmissionDecision, admit
from scalelb.core.exceptions import OutOfRangeError
from scalelb.core.incoming_request import IncomingRequest
from scalelb.core.lifecycle import Core
from scalelb.core.request_table import Verdict
from scalelb.protocol import MalformedError, headers
from scalelb.protocol.agentcheck import Status
from scalelb.transport.authz import external_auth_pb2 as pb
from scalelb.transport.stream import Log

SERVICE = "envoy.service.auth.v3.Authorization"
LISTENER = 1  # the platform's is 0
CALLS_MOST = 512  # at once
MESSAGE_MOST = 256 * 1024
CONTEXT_PREFIX = "scalelb."
OVERWRITE = 2  # HeaderAppendAction.OVERWRITE_IF_EXISTS_OR_ADD


def read_attributes(request: pb.CheckRequest) -> dict[str, str]:
    """The headers of the request in question, names in small letters.

    A gateway's own word goes before the client's: `context_extensions` of the route, named like the header
    with `scalelb.` before it (`scalelb.x-plan`), replace headers.
    """
    if not request.HasField("attributes") or not request.attributes.request.HasField("http"):
        raise MalformedError("attributes.request.http is missing")
    http = request.attributes.request.http
    found = {name.lower(): value for name, value in http.headers.items()}
    for item in http.header_map.headers:
        found[item.key.lower()] = item.value or item.raw_value.decode("utf-8", "replace")
    for name, value in request.attributes.context_extensions.items():
        if name.startswith(CONTEXT_PREFIX):
            found[name.removeprefix(CONTEXT_PREFIX).lower()] = value
    return found


def _denied(
    code: int, http_status: int, words: str, more: Mapping[str, str] | None = None
) -> pb.CheckResponse:
    options = [
        pb.HeaderValueOption(header=pb.HeaderValue(key=name, value=value), append_action=OVERWRITE)
        for name, value in (more or {}).items()
    ]
    denied = pb.DeniedHttpResponse(status=pb.HttpStatus(code=http_status), headers=options, body=words)
    return pb.CheckResponse(status=status_pb2.Status(code=code, message=words), denied_response=denied)


def write_decision(decision: AdmissionDecision) -> pb.CheckResponse:
    """The answer: OK, refused with the advice when to come again, or failed."""
    if decision.verdict is Verdict.ADMITTED:
        return pb.CheckResponse(status=status_pb2.Status(code=code_pb2.OK), ok_response=pb.OkHttpResponse())
    if decision.verdict is Verdict.REJECTED:
        wait = decision.retry_after_ms
        more = {"retry-after": headers.retry_after(wait), "x-retry-after-ms": str(max(0, round(wait)))}
        return _denied(code_pb2.RESOURCE_EXHAUSTED, 429, "refused: over the quota or too busy", more)
    return _denied(code_pb2.UNAVAILABLE, 503, "failed: no decision in time")


def _host(peer: str) -> str:
    """The machine of a peer as gRPC names it, `ipv4:127.0.0.1:4711`: its connections are one client."""
    return peer.rpartition(":")[0]


class Authorization:
    """`Check`: reads the attributes, asks the core, answers."""

    def __init__(
        self, core: Core, kinds: Iterable[str], plans: Iterable[str], ready: Callable[[], bool], log: Log
    ) -> None:
        self.core, self.ready, self.log = core, ready, log
        self.kinds = {name: place for place, name in enumerate(kinds)}
        self.plans = {name: place for place, name in enumerate(plans)}

    async def check(self, request: pb.CheckRequest, context: Any) -> pb.CheckResponse:
        """One question.  The caller's deadline binds; without one, the class's does."""
        try:
            asked = headers.read_headers(read_attributes(request), self.kinds, self.plans)
        except MalformedError as error:
            await self.malformed(context, str(error))
            raise
        if not self.ready():
            return _denied(code_pb2.UNAVAILABLE, 503, "failed: not ready")
        expires = self.core.settings.request_classes[asked.class_index].deadline_ms
        if asked.timeout_ms is not None:
            expires = min(expires, asked.timeout_ms)
        if (left := context.time_remaining()) is not None:
            expires = min(expires, 1000.0 * left)
        incoming = IncomingRequest(
            tenant=asked.tenant,
            plan_index=asked.plan_index,
            class_index=asked.class_index,
            expires_in_ms=expires,
            units=asked.units,
            sharing_limiters=asked.sharing_limiters,
            first_limiter=asked.first_limiter,
            is_retry=asked.is_retry,
            listener=LISTENER,
            idempotency_key=asked.idempotency_key,
            client_address=_host(context.peer()),
        )
        try:
            decision = await admit(self.core, incoming)
        except OutOfRangeError as error:
            await self.malformed(context, f"x-quota: {error}")
            raise
        return write_decision(decision)

    async def malformed(self, context: Any, what: str) -> None:
        """Tell the caller what cannot be read; this ends the call."""
        self.log("malformed", level="warning", what=what, peer=context.peer())
        await context.abort(grpc.StatusCode.INVALID_ARGUMENT, what)


class GrpcFront:
    """The gRPC servers: one for each address, with health on all of them."""

    def __init__(self, authorization: Authorization, check_at: str, health_at: str, log: Log) -> None:
        self.authorization, self.log = authorization, log
        self.check_at = check_at
        self.addresses = [address for address in dict.fromkeys((check_at, health_at)) if address]
        self.health = health.aio.HealthServicer()
        self.servers: list[Any] = []
        self.ports: dict[str, int] = {}

    async def start(self) -> None:
        """Listen; not yet as serving."""
        await self.tell(Status.STARTING)
        for address in self.addresses:
            options = [("grpc.max_receive_message_length", MESSAGE_MOST), ("grpc.so_reuseport", 0)]
            server = grpc.aio.server(options=options, maximum_concurrent_rpcs=CALLS_MOST)
            health_pb2_grpc.add_HealthServicer_to_server(self.health, server)
            if address == self.check_at:
                check = grpc.unary_unary_rpc_method_handler(
                    self.authorization.check,
                    request_deserializer=pb.CheckRequest.FromString,
                    response_serializer=pb.CheckResponse.SerializeToString,
                )
                server.add_generic_rpc_handlers(
                    (grpc.method_handlers_generic_handler(SERVICE, {"Check": check}),)
                )
            self.ports[address] = server.add_insecure_port(address)
            await server.start()
            self.servers.append(server)
        self.log("grpc", listen=self.addresses)

    async def tell(self, status: Status) -> None:
        """Show how the limiter is."""
        serving = health_pb2.HealthCheckResponse.SERVING
        word = serving if status is Status.READY else health_pb2.HealthCheckResponse.NOT_SERVING
        for service in ("", SERVICE):
            await self.health.set(service, word)

    async def stop(self, grace_s: float | None) -> None:
        """Take nothing new; finish what was taken."""
        for server in self.servers:
            await server.stop(grace_s)
