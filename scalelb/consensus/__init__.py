"""Single-decree consensus on the policy: one value for each version, and leases to decide by it.  No I/O:
clocks, stores and messages are passed in.

`acceptor` keeps what was promised and accepted, and grants leases; `proposer` brings one change about;
`learner` is a limiter that may decide by a version only while it holds leases for it. The keys on the wire
and in the store are known to `wire`, `messages` and `replies` alone. `docs/policy-changes.md` has the
invariant and its reasons.
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
