"""Overload control that bounds the sum over a fleet of limiters.  No I/O: time and randomness are arguments.

| module | bounds |
| --- | --- |
| `counter_contention` | calls to the shared counter, by adaptive throttling |
| `concurrency_limit` | upstream attempts in flight |
| `subsetting` | the backends that one limiter sends to, from the number of limiters alone |
| `retry_budget` | retries, from the number of limiters alone |

The decision module (`scalelb.routing.control`) applies them.
"""
