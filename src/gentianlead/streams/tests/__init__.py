"""Tests of the stream client and its appender."""
