"""Runs the daemon as `python -m gentianlead.cluster`."""

import gc
import sys

# What the imports create stays until the process ends, so that collections
# meanwhile, and visits to it by later ones, would free nothing.
gc.disable()

from gentianlead import cluster  # pylint: disable=wrong-import-position

gc.freeze()
gc.enable()

sys.exit(cluster.main())
