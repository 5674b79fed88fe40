"""ASGI middleware (for Starlette, FastAPI and others) that uses the same core as the daemon."""

from scalelb.middleware.asgi import LimiterMiddleware
from scalelb.middleware.host import AddToCounter, Host

__all__ = ["AddToCounter", "Host", "LimiterMiddleware"]
