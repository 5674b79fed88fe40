"""The laboratory: stand-ins, load and experiments that measure the limiter.

It is an optional extra; the limiter itself does not import it. `model` runs the real core in virtual time;
`standins`, `load` and `stage` run the real program on loopback; `rows` and `report` store and report the
measurements.
"""
