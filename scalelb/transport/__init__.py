"""Network connections on Twisted: client sessions, upstream attempts, discovery, the counter and the APIs."""
