"""Limits on the calls to one server that are in flight at a time.

An order must not wait behind one that the server leaves unanswered, and the
server must not get any number of calls at once. A call takes room among the
prompt ones only until it is overdue; overdue calls have a limit of their own.
What finds no room stays in the state, where it can be withdrawn, and is
decided anew when it leaves.
"""

from bisect import bisect_right

import attrs

MAX_PROMPT_CALLS = 4
# A server on the same machine answers within milliseconds.
OVERDUE_AFTER_MS = 20
# Workers accept 64 connections; the rest is for lists.
MAX_CALLS = 48
# A call that its thread could not send within this time is decided anew.
MAX_SEND_DELAY_MS = 1_000


def is_overdue(made_ms: int, now_ms: int) -> bool:
    """Tell whether a call has been in flight for longer than usual."""
    return now_ms - made_ms >= OVERDUE_AFTER_MS


@attrs.define
class CallWindow:
    """Calls in flight to one server.

    Attributes
    ----------
    made_ms : list of int
        Time in ms at which each call was made, ascending.
    """

    made_ms: list[int] = attrs.Factory(list)

    def has_room(self, now_ms: int) -> bool:
        """Tell whether another call may be made now."""
        return self.room_at_ms(now_ms) == now_ms

    def room_at_ms(self, now_ms: int) -> int | None:
        """Return when a call may be made; None if only after an answer."""
        if len(self.made_ms) >= MAX_CALLS:
            return None
        prompt = len(self.made_ms) - bisect_right(
            self.made_ms, now_ms - OVERDUE_AFTER_MS
        )
        if prompt < MAX_PROMPT_CALLS:
            return now_ms
        return self.made_ms[-MAX_PROMPT_CALLS] + OVERDUE_AFTER_MS

    def add(self, now_ms: int) -> None:
        """Add a call that is made now."""
        self.made_ms.append(now_ms)

    def remove(self, made_ms: int) -> None:
        """Remove a call that was made at a time and has ended."""
        self.made_ms.remove(made_ms)
