"""Assignment of requests to the flows of the fair queue, and the weights of the flows."""

from __future__ import annotations

from scalelb.admission_queue.admission_request import AdmissionRequest
from scalelb.admission_queue.settings import AdmissionQueueSettings, FlowKey

UNKNOWN_TENANTS_FLOW = "\0strangers"  # shared by tenants not seen recently; no tenant has this name


def flow_of(settings: AdmissionQueueSettings, request: AdmissionRequest) -> str:
    """Return the name of a request's flow."""
    if settings.flows is FlowKey.CLIENT and request.client:
        return request.client
    # Otherwise a client that uses a new tenant name for each request would get a fair share for each name.
    return request.tenant if request.is_known_tenant else UNKNOWN_TENANTS_FLOW


def flow_weight(settings: AdmissionQueueSettings, flow: str, request: AdmissionRequest) -> float:
    """Return the weight of a request's flow."""
    if flow == UNKNOWN_TENANTS_FLOW:
        return settings.unknown_tenants_weight
    return settings.plan_weight(request.plan_index)
