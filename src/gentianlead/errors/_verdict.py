"""Verdict on whether a failed request may have run."""

import enum


class Verdict(enum.Enum):
    """Whether a request, or one attempt to serve it, was executed.

    Attributes:
        DID_NOT_RUN: It certainly was not executed.
        MAY_HAVE_RUN: It is not known whether it was executed.
        RAN: It certainly was executed.
    """

    DID_NOT_RUN = "did-not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"

    def allows_retry(self, is_idempotent: bool) -> bool:
        """Returns whether the request can safely be sent again.

        Args:
            is_idempotent: Whether a second execution of the request does no
                harm.
        """
        if self is Verdict.DID_NOT_RUN:
            return True
        return self is Verdict.MAY_HAVE_RUN and is_idempotent
