"""Errors of the daemon layer."""


class DaemonError(Exception):
    """Stand at the root of every error the daemon raises."""


class SettingsError(DaemonError):
    """Say which file and place is wrong and what is allowed."""


class StartError(DaemonError):
    """Say why the daemon could not start."""


class StorageError(DaemonError):
    """Report data on disk that cannot be written or trusted."""
