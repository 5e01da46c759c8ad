"""Ends the daemons of a deployment when its own process is gone.

The deployment writes `add PID` and `remove PID` lines, and `done` before it
closes the input itself. At the end of the input, the guard kills the processes
that are still listed. Without `done` it also removes the directory of the
deployment, so that an interrupted test leaves nothing behind.

Usage:
    python -m standins.guard DIRECTORY
"""

import contextlib
import os
import shutil
import signal
import sys


def main() -> None:
    """Reads the list of processes until the end of the input."""
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.SIG_IGN)
    listed: set[int] = set()
    is_done = False
    for line in sys.stdin:
        verb, _, pid = line.strip().partition(" ")
        if verb == "add":
            listed.add(int(pid))
        elif verb == "remove":
            listed.discard(int(pid))
        else:
            is_done = True
    for pid in listed:
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, signal.SIGKILL)
    if not is_done:
        shutil.rmtree(sys.argv[1], ignore_errors=True)


if __name__ == "__main__":
    main()
