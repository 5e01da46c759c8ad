"""Runs the daemon as `python -m gentianlead.cluster`."""

import sys

from gentianlead import cluster

sys.exit(cluster.main())
