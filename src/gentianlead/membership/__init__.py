"""Tracks which members of a domain are live, and ranks the live ones."""

from gentianlead.membership._tracker import MembershipTracker

__all__ = ["MembershipTracker"]
