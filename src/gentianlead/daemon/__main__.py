"""Runs the daemon with `python -m gentianlead.daemon`."""

from gentianlead import daemon

if __name__ == "__main__":
    daemon.main()
