"""Tests of the package gentianlead.daemon."""
