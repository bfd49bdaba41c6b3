"""Hold the calls of suspects on one entry until they may be sent."""

from .calls import Call
from .quarantines import Key

# Held calls per service; further ones are refused, as the calls of a frequent
# request would occupy every worker thread.
MAX_HELD = 8


class Trials:
    """Hold the calls of suspects; allow each suspect one trial at a time."""

    __slots__ = ("_active", "_held", "_requests")

    def __init__(self) -> None:
        # Held calls by request, the oldest first.
        self._held: dict[Key, dict[int, Call]] = {}
        # The call that requests a trial or is on trial, by request.
        self._active: dict[Key, int] = {}
        # Calls that request a trial, by the token of the trial request.
        self._requests: dict[int, Call] = {}

    @property
    def keys(self) -> list[Key]:
        """Return the requests that have held calls."""
        return list(self._held)

    def holds(self, call: Call) -> bool:
        """Return whether a call is held."""
        return call.call_id in self._held.get(call.key, ())

    def hold(self, call: Call) -> bool:
        """Hold a call; return False if too many are held."""
        waiting = 0
        for (service, _), calls in self._held.items():
            if service == call.service:
                waiting += len(calls)
        if waiting >= MAX_HELD:
            return False
        self._held.setdefault(call.key, {})[call.call_id] = call
        return True

    def next_call(self, key: Key) -> Call | None:
        """Return the call that should request a trial next, if any."""
        if key in self._active:
            return None
        return next(iter(self._held.get(key, {}).values()), None)

    def begin_request(self, call: Call, token: int) -> None:
        """Record that a call requests a trial."""
        self._active[call.key] = call.call_id
        self._requests[token] = call

    def end_request(self, token: int) -> Call | None:
        """Return the call of a trial request, or None if it has ended."""
        return self._requests.pop(token, None)

    def clear_active(self, key: Key) -> None:
        """Record that no call requests a trial or is on trial."""
        self._active.pop(key, None)

    def begin_trial(self, call: Call) -> None:
        """Record that a held call is on trial."""
        self._drop_held(call)

    def release_all(self, key: Key) -> list[Call]:
        """Stop holding the calls of a request and return them."""
        calls = self._held.pop(key, {})
        if self._active.get(key) in calls:
            self._clear_request(key)
        return list(calls.values())

    def remove_call(self, call: Call) -> None:
        """Remove a call that has ended or whose trial has ended."""
        self._drop_held(call)
        if self._active.get(call.key) == call.call_id:
            self._clear_request(call.key)

    def _clear_request(self, key: Key) -> None:
        del self._active[key]
        for token, call in list(self._requests.items()):
            if call.key == key:
                del self._requests[token]

    def _drop_held(self, call: Call) -> None:
        calls = self._held.get(call.key)
        if calls is None:
            return
        calls.pop(call.call_id, None)
        if not calls:
            del self._held[call.key]
