"""The daemon for jobs with steps: leaders of groups, acceptance, elections."""

from gentianlead.cluster._main import main

__all__ = ["main"]
