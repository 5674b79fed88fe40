"""Single-decree consensus on the policy: one value for each version, and leases to decide requests by it.

The package does no I/O: clocks, stores and messages are passed in.

`acceptor` stores promises and accepted values and grants leases. `proposer` carries one change through.
`learner` is a limiter that may decide requests by a version only while it holds leases for it. Only `wire`,
`messages` and `replies` contain the keys used on the wire and in the store. `docs/policy-changes.md`
describes the invariant and its reasons.
"""

from scalelb.consensus.acceptor import Acceptor, StateStore
from scalelb.consensus.ballot import Ballot, quorum_size
from scalelb.consensus.learner import Learner
from scalelb.consensus.lease import LeaseTimes
from scalelb.consensus.proposer import ChangeOutcome, Proposer
from scalelb.consensus.wire import MalformedMessageError

__all__ = [
    "Acceptor", "Ballot", "ChangeOutcome", "Learner", "LeaseTimes", "MalformedMessageError", "Proposer",
    "StateStore", "quorum_size",
]  # fmt: skip
