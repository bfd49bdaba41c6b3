"""Hold, on one entry, the calls of suspects until one may be tried."""

from .quarantines import Key

# Calls of suspects that wait for one service; more of them are refused, or
# a request that is sent often would take every worker thread.
MOST_HELD = 8


class Trials:
    """Let one call of each suspect ask or run at a time."""

    __slots__ = ("_busy", "_held", "_tokens")

    def __init__(self) -> None:
        # The calls that wait, by request, the oldest first.
        self._held: dict[Key, dict[int, None]] = {}
        # The call that asks for a trial or is on trial.
        self._busy: dict[Key, int] = {}
        self._tokens: dict[int, tuple[Key, int]] = {}

    @property
    def keys(self) -> list[Key]:
        """List the requests of which calls wait."""
        return list(self._held)

    def holds(self, key: Key, call_id: int) -> bool:
        """Tell whether a call waits."""
        return call_id in self._held.get(key, ())

    def hold(self, key: Key, call_id: int) -> bool:
        """Let a call wait; False says that too many do."""
        waiting = 0
        for (service, _), calls in self._held.items():
            if service == key[0]:
                waiting += len(calls)
        if waiting >= MOST_HELD:
            return False
        self._held.setdefault(key, {})[call_id] = None
        return True

    def next(self, key: Key) -> int | None:
        """Return the call that should ask for a trial, if any."""
        if key in self._busy:
            return None
        return next(iter(self._held.get(key, ())), None)

    def ask(self, key: Key, call_id: int, token: int) -> None:
        """Note that a call asks for a trial."""
        self._busy[key] = call_id
        self._tokens[token] = key, call_id

    def answer(self, token: int) -> tuple[Key, int] | None:
        """Take the end of a question; None: its call has ended."""
        return self._tokens.pop(token, None)

    def wait(self, key: Key) -> None:
        """Note that nobody asks: another entry tries."""
        self._busy.pop(key, None)

    def begin(self, key: Key, call_id: int) -> None:
        """Note that a call which waited is on trial."""
        self._drop_held(key, call_id)

    def release(self, key: Key) -> list[int]:
        """Return all calls that wait, and hold them no more."""
        calls = list(self._held.pop(key, ()))
        if self._busy.get(key) in calls:
            self._forget(key)
        return calls

    def end(self, key: Key, call_id: int) -> None:
        """Forget a call that has ended or is on trial no more."""
        self._drop_held(key, call_id)
        if self._busy.get(key) == call_id:
            self._forget(key)

    def _forget(self, key: Key) -> None:
        del self._busy[key]
        for token, (asked, _) in list(self._tokens.items()):
            if asked == key:
                del self._tokens[token]

    def _drop_held(self, key: Key, call_id: int) -> None:
        calls = self._held.get(key)
        if calls is None:
            return
        calls.pop(call_id, None)
        if not calls:
            del self._held[key]
