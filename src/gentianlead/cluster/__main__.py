"""Runs the daemon."""

import sys

from gentianlead import cluster

sys.exit(cluster.main())
