"""Counts of the requests and attempts of a router."""


class RouterCounts:
    """Numbers of requests and attempts since the start of the router.

    Attributes:
        first_attempts: Number of requests with at least one attempt, without
            those that a peer forwarded to this daemon.
        retries: Number of attempts that were retries.
        hedges: Number of attempts that were hedges.
        forwarded: Number of attempts sent to peers.
        refused: Number of requests refused before any attempt; not shed ones.
    """

    def __init__(self) -> None:
        self.first_attempts = 0
        self.retries = 0
        self.hedges = 0
        self.forwarded = 0
        self.refused = 0
