"""Define the messages by which entries obtain permits for calls."""

import msgspec

DEFAULT_WINDOW_S = 5.0
DEFAULT_OVERAGE = 0.1
DEFAULT_SLACK = 20.0


class QuotaAsk(msgspec.Struct, frozen=True, array_like=True):
    """Ask for permits of one organisation.

    ``waiting`` is the number of calls that wait for a permit, ``expected``
    the number of calls that are expected within half a lifetime.
    """

    organisation: str
    waiting: int
    expected: int


class QuotaRequest(msgspec.Struct, frozen=True, array_like=True):
    """Carry what an entry asks one control replica for."""

    entry: str
    asks: list[QuotaAsk]


class QuotaGrant(msgspec.Struct, frozen=True, array_like=True):
    """Grant permits for calls of one organisation.

    If some are missing, ``wait_s`` is the time in seconds after which to ask
    again.
    """

    organisation: str
    granted: int
    wait_s: float


class QuotaReply(msgspec.Struct, frozen=True, array_like=True):
    """Carry a replica's grants.

    ``granting`` is false if the replica may not grant at present. It has no
    grant for an organisation that its configuration does not have.
    """

    grants: list[QuotaGrant]
    lifetime_s: float
    granting: bool


class QuotaTerms:
    """Hold the tolerances of all quotas.

    In any ``window_s`` an organisation may exceed its quota by the share
    ``overage`` and by ``slack`` calls.
    """

    __slots__ = ("_overage", "_slack", "_window_s")

    def __init__(
        self,
        window_s: float = DEFAULT_WINDOW_S,
        overage: float = DEFAULT_OVERAGE,
        slack: float = DEFAULT_SLACK,
    ) -> None:
        self._window_s = window_s
        self._overage = overage
        self._slack = slack

    @property
    def window_s(self) -> float:
        """Return the length of the window, in seconds."""
        return self._window_s

    @property
    def overage(self) -> float:
        """Return the tolerated overage as a share of the quota."""
        return self._overage

    @property
    def slack(self) -> float:
        """Return the calls tolerated on top of the overage."""
        return self._slack

    @property
    def lifetime_s(self) -> float:
        """Return how long a permit is valid, in seconds.

        The permits used in a window are granted in the window and in one
        lifetime before it, which the overage therefore covers.
        """
        return self._overage * self._window_s
