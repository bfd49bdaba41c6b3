"""Errors of the command line with their exit statuses."""

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_UNKNOWN = 4


class CliError(Exception):
    """Report what failed and what to do next."""

    exit_status = EXIT_REFUSED


class UsageError(CliError):
    """Report an invalid command, declaration or setting."""

    exit_status = EXIT_USAGE


class RefusedError(CliError):
    """Report why a daemon refused the request."""


class UnreachableError(CliError):
    """Report that no daemon answered and nothing was done."""

    exit_status = EXIT_UNREACHABLE


class OutcomeUnknownError(CliError):
    """Report that a change may or may not be accepted or in force."""

    exit_status = EXIT_UNKNOWN
