"""The decision module of one limiter.  No I/O: events come in, actions go out, the clock is an argument.

Types: `events`, `actions`, `settings`, `endpoints`.
"""
