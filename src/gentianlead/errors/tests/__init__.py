"""Tests of the package errors."""
