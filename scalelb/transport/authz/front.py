"""External authorization: a front end that asks the same core as the RESP listener to admit requests."""

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
LISTENER_INDEX = 1  # the RESP listener has 0
MAX_CONCURRENT_CALLS = 512
MAX_MESSAGE_BYTES = 256 * 1024
CONTEXT_PREFIX = "scalelb."
OVERWRITE = 2  # HeaderAppendAction.OVERWRITE_IF_EXISTS_OR_ADD


def read_attributes(request: pb.CheckRequest) -> dict[str, str]:
    """Return the headers of the request to be admitted, with names in lower case.

    Values that the proxy sets replace the client's headers: an entry in the `context_extensions` of its route
    has the name of the header with the prefix `scalelb.` (`scalelb.x-plan`).
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
    code: int, http_status: int, message: str, extra_headers: Mapping[str, str] | None = None
) -> pb.CheckResponse:
    options = [
        pb.HeaderValueOption(header=pb.HeaderValue(key=name, value=value), append_action=OVERWRITE)
        for name, value in (extra_headers or {}).items()
    ]
    denied = pb.DeniedHttpResponse(status=pb.HttpStatus(code=http_status), headers=options, body=message)
    return pb.CheckResponse(status=status_pb2.Status(code=code, message=message), denied_response=denied)


def write_decision(decision: AdmissionDecision) -> pb.CheckResponse:
    """Return the response: OK, rejected with a Retry-After time, or failed."""
    if decision.verdict is Verdict.ADMITTED:
        return pb.CheckResponse(status=status_pb2.Status(code=code_pb2.OK), ok_response=pb.OkHttpResponse())
    if decision.verdict is Verdict.REJECTED:
        wait_ms = decision.retry_after_ms
        extra_headers = {
            "retry-after": headers.retry_after(wait_ms),
            "x-retry-after-ms": str(max(0, round(wait_ms))),
        }
        return _denied(code_pb2.RESOURCE_EXHAUSTED, 429, "refused: over the quota or too busy", extra_headers)
    return _denied(code_pb2.UNAVAILABLE, 503, "failed: no decision in time")


def _peer_host(peer: str) -> str:
    """Return the host of a gRPC peer such as `ipv4:127.0.0.1:4711`; all its connections are one client."""
    return peer.rpartition(":")[0]


class Authorization:
    """The `Check` call: reads the attributes, lets the core decide, and responds."""

    def __init__(
        self,
        core: Core,
        class_names: Iterable[str],
        plan_names: Iterable[str],
        is_ready: Callable[[], bool],
        log: Log,
    ) -> None:
        self.core, self.is_ready, self.log = core, is_ready, log
        self.class_indexes = {name: index for index, name in enumerate(class_names)}
        self.plan_indexes = {name: index for index, name in enumerate(plan_names)}

    async def check(self, request: pb.CheckRequest, context: Any) -> pb.CheckResponse:
        """Answer a call by its deadline, or that of the request class if that is earlier."""
        try:
            request_headers = headers.read_headers(
                read_attributes(request), self.class_indexes, self.plan_indexes
            )
        except MalformedError as error:
            await self.malformed(context, str(error))
            raise
        if not self.is_ready():
            return _denied(code_pb2.UNAVAILABLE, 503, "failed: not ready")
        expires_in_ms = self.core.settings.request_classes[request_headers.class_index].deadline_ms
        if request_headers.timeout_ms is not None:
            expires_in_ms = min(expires_in_ms, request_headers.timeout_ms)
        if (remaining_s := context.time_remaining()) is not None:
            expires_in_ms = min(expires_in_ms, 1000.0 * remaining_s)
        incoming = IncomingRequest(
            tenant=request_headers.tenant,
            plan_index=request_headers.plan_index,
            class_index=request_headers.class_index,
            expires_in_ms=expires_in_ms,
            units=request_headers.units,
            sharing_limiters=request_headers.sharing_limiters,
            first_limiter=request_headers.first_limiter,
            is_retry=request_headers.is_retry,
            listener=LISTENER_INDEX,
            idempotency_key=request_headers.idempotency_key,
            client_address=_peer_host(context.peer()),
        )
        try:
            decision = await admit(self.core, incoming)
        except OutOfRangeError as error:
            await self.malformed(context, f"x-quota: {error}")
            raise
        return write_decision(decision)

    async def malformed(self, context: Any, what: str) -> None:
        """Log and end a call that can't be read, with status INVALID_ARGUMENT."""
        self.log("malformed", level="warning", what=what, peer=context.peer())
        await context.abort(grpc.StatusCode.INVALID_ARGUMENT, what)


class GrpcFront:
    """The gRPC servers: one for each address, all with the health service."""

    def __init__(
        self, authorization: Authorization, check_address: str, health_address: str, log: Log
    ) -> None:
        self.authorization, self.log = authorization, log
        self.check_address = check_address
        self.addresses = [address for address in dict.fromkeys((check_address, health_address)) if address]
        self.health = health.aio.HealthServicer()
        self.servers: list[Any] = []
        self.ports: dict[str, int] = {}

    async def start(self) -> None:
        """Start listening, with the health status NOT_SERVING."""
        await self.set_status(Status.STARTING)
        for address in self.addresses:
            options = [("grpc.max_receive_message_length", MAX_MESSAGE_BYTES), ("grpc.so_reuseport", 0)]
            server = grpc.aio.server(options=options, maximum_concurrent_rpcs=MAX_CONCURRENT_CALLS)
            health_pb2_grpc.add_HealthServicer_to_server(self.health, server)
            if address == self.check_address:
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

    async def set_status(self, status: Status) -> None:
        """Set the status that the health service reports."""
        serving = health_pb2.HealthCheckResponse.SERVING
        health_status = serving if status is Status.READY else health_pb2.HealthCheckResponse.NOT_SERVING
        for service in ("", SERVICE):
            await self.health.set(service, health_status)

    async def stop(self, grace_s: float | None) -> None:
        """Accept no new calls, and finish those in progress within `grace_s` seconds."""
        for server in self.servers:
            await server.stop(grace_s)
