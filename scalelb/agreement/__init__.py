"""One value that all limiters go by, everywhere or nowhere.  No I/O: clocks, stores, messages are passed in.

`voter` keeps what was promised and agreed, and gives permissions; `proposer` brings a change about; `learner`
is a limiter that may decide by a version only while it holds a permission for it.  `docs/policy-changes.md`
has the invariant and why it holds.
"""

from scalelb.agreement.learner import Learner
from scalelb.agreement.proposer import Proposer
from scalelb.agreement.voter import Store, Voter
from scalelb.agreement.words import Ballot, Times, majority

__all__ = ["Ballot", "Learner", "Proposer", "Store", "Times", "Voter", "majority"]
