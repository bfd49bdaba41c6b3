"""Errors of the daemon."""


class DaemonError(Exception):
    """Base class of all errors that the daemon raises."""


class SettingsError(DaemonError):
    """Report a settings file that cannot be read or is invalid."""


class StartError(DaemonError):
    """Report why the daemon cannot start."""


class StorageError(DaemonError):
    """Report data on disk that cannot be written or is damaged."""
