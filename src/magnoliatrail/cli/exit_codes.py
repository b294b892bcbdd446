"""Exit codes of the command line."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes of `magnoliatrail` commands."""

    OK = 0
    FAILED = 1
    USAGE = 2
    UNAVAILABLE = 3
    CONFLICT = 4
