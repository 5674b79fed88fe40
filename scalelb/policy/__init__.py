"""The decision module of one limiter.

It performs no I/O: it takes events, returns actions, and receives the current time as an argument. The types
are defined in `events`, `actions`, `settings` and `endpoints`.
"""
