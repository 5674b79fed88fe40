"""The daemon of one limiter: configuration, logging, event loop, start and graceful shutdown."""
