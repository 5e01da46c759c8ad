"""Daemon for jobs with steps: accepts jobs, elects and runs group leaders."""

from gentianlead.cluster._main import main

__all__ = ["main"]
