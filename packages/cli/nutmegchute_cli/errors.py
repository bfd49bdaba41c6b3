"""Errors of the command line."""


class CliError(Exception):
    """Say what failed and what to do next."""


class UnreachableError(CliError):
    """Say that no control replica answered."""


class RefusedError(CliError):
    """Pass on why control refused."""


class OutcomeUnknownError(CliError):
    """Say that a change may or may not have been accepted."""
