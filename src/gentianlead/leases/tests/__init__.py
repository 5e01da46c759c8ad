"""Tests of the leases package."""
