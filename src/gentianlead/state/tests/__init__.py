"""Tests of the state machines, replicas and snapshots."""
