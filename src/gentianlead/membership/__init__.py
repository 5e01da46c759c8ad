"""Liveness of a failure domain's daemons, and the rank of each live one."""

from gentianlead.membership._tracker import MembershipTracker

__all__ = ["MembershipTracker"]
