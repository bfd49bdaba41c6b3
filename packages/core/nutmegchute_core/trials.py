"""Hold, on one entry, the calls of suspects until one may be tried."""

from .calls import Call
from .quarantines import Key

# Calls of suspects that wait for one service; more of them are refused, or
# a request that is sent often would take every worker thread.
MAX_HELD = 8


class Trials:
    """Let one call of each suspect ask or run at a time."""

    __slots__ = ("_busy", "_held", "_tokens")

    def __init__(self) -> None:
        # The calls that wait, by request, the oldest first.
        self._held: dict[Key, dict[int, Call]] = {}
        # The call that asks for a trial or is on trial.
        self._busy: dict[Key, int] = {}
        # The calls that ask, by the token of their request.
        self._tokens: dict[int, Call] = {}

    @property
    def keys(self) -> list[Key]:
        """List the requests of which calls wait."""
        return list(self._held)

    def holds(self, call: Call) -> bool:
        """Return whether a call waits."""
        return call.call_id in self._held.get(call.key, ())

    def hold(self, call: Call) -> bool:
        """Let a call wait; False says that too many do."""
        waiting = 0
        for (service, _), calls in self._held.items():
            if service == call.service:
                waiting += len(calls)
        if waiting >= MAX_HELD:
            return False
        self._held.setdefault(call.key, {})[call.call_id] = call
        return True

    def next(self, key: Key) -> Call | None:
        """Return the call that should ask for a trial, if any."""
        if key in self._busy:
            return None
        return next(iter(self._held.get(key, {}).values()), None)

    def ask(self, call: Call, token: int) -> None:
        """Note that a call asks for a trial."""
        self._busy[call.key] = call.call_id
        self._tokens[token] = call

    def answer(self, token: int) -> Call | None:
        """Take the end of a question; None: its call has ended."""
        return self._tokens.pop(token, None)

    def wait(self, key: Key) -> None:
        """Note that nobody asks: another entry tries."""
        self._busy.pop(key, None)

    def begin(self, call: Call) -> None:
        """Note that a call which waited is on trial."""
        self._drop_held(call)

    def release(self, key: Key) -> list[Call]:
        """Return all calls that wait, and hold them no more."""
        calls = self._held.pop(key, {})
        if self._busy.get(key) in calls:
            self._forget(key)
        return list(calls.values())

    def end(self, call: Call) -> None:
        """Forget a call that has ended or is on trial no more."""
        self._drop_held(call)
        if self._busy.get(call.key) == call.call_id:
            self._forget(call.key)

    def _forget(self, key: Key) -> None:
        del self._busy[key]
        for token, call in list(self._tokens.items()):
            if call.key == key:
                del self._tokens[token]

    def _drop_held(self, call: Call) -> None:
        calls = self._held.get(call.key)
        if calls is None:
            return
        calls.pop(call.call_id, None)
        if not calls:
            del self._held[call.key]
