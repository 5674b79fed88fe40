"""A distributed rate limiter with admission control and endpoint selection for multi-tenant fleets."""

from scalelb.policy.limiter import Limiter

__all__ = ["Limiter"]
