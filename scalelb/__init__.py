"""A distributed rate limiter with admission control and endpoint selection for fleets that tenants share."""

from scalelb.policy.limiter import Limiter

__all__ = ["Limiter"]
