"""Exit codes of the tool, listed in `docs/cli.md`."""

import enum


class ExitCode(enum.IntEnum):
    """Exit status of the tool; scripts may rely on the values."""

    SUCCESS = 0
    FAILURE = 1
    USAGE = 2
    REFUSED = 3
    VERSION_CONFLICT = 4
    UNREACHABLE = 5
    UNKNOWN_RESULT = 6
    NOT_FOUND = 7
