"""The daemon `gentianleadd`: components, HTTP interfaces, start and stop."""

from gentianlead.daemon._main import main
from gentianlead.daemon._entry_daemon import EntryDaemon

__all__ = ["EntryDaemon", "main"]
