"""Errors of the command line; each knows its exit status."""

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_UNKNOWN = 4


class CliError(Exception):
    """Say what failed and what to do next."""

    exit_status = EXIT_REFUSED


class UsageError(CliError):
    """Say what is wrong with the command, a declaration or a setting."""

    exit_status = EXIT_USAGE


class RefusedError(CliError):
    """Pass on why control refused."""


class UnreachableError(CliError):
    """Say that nothing answered, so that nothing was done."""

    exit_status = EXIT_UNREACHABLE


class OutcomeUnknownError(CliError):
    """Say that a change may or may not be accepted or in force."""

    exit_status = EXIT_UNKNOWN
