"""The lab: stand-ins, load and experiments that measure the limiter.  An extra of its own; `run` needs none
of it.

`model` hosts the real core in virtual time; `standins`, `load` and `stage` drive the real program on
loopback; `rows` and `report` keep what was measured.
"""
