"""One-shot timers on the event loop."""

import asyncio
from collections.abc import Callable
from contextlib import AbstractContextManager
from types import TracebackType

from crocuswell_core.runtime.events import Event, TimerFired
from crocuswell_core.runtime.timers import Timer


class TimerService(AbstractContextManager["TimerService"]):
    """Posts `TimerFired` once for each started timer.

    The event of a timer that is cancelled or restarted may already be in the
    event queue, so handlers must check that the timer is due.

    Parameters
    ----------
    post : callable
        Queues an event; called on the event loop.
    loop : asyncio.AbstractEventLoop
        Loop on which all methods are called.
    """

    def __init__(
        self, post: Callable[[Event], None], loop: asyncio.AbstractEventLoop
    ) -> None:
        self._post = post
        self._loop = loop
        self._handles: dict[Timer, asyncio.TimerHandle] = {}

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Cancel all timers."""
        for handle in self._handles.values():
            handle.cancel()
        self._handles.clear()

    def start(self, timer: Timer, delay_ms: int) -> None:
        """Start a timer, or restart it if it is running.

        Parameters
        ----------
        timer : Timer
            The timer; equal timers are the same one.
        delay_ms : int
            Delay in ms; a negative one counts as 0.
        """
        self.cancel(timer)
        self._handles[timer] = self._loop.call_later(
            max(0, delay_ms) / 1_000, self._fire, timer
        )

    def cancel(self, timer: Timer) -> None:
        """Cancel a timer, if it is running."""
        handle = self._handles.pop(timer, None)
        if handle is not None:
            handle.cancel()

    def _fire(self, timer: Timer) -> None:
        del self._handles[timer]
        self._post(TimerFired(timer))
