"""Calls of listeners' threads that wait for the reducer's answers."""

import itertools
import threading
from collections.abc import Callable
from concurrent.futures import Future

from crocuswell_core.cluster.commands import CommandReply, Refused
from crocuswell_core.entry.calls import Call
from crocuswell_core.entry.replies import ReadReply
from crocuswell_core.runtime.effects import Count
from crocuswell_core.runtime.errors import ErrorKind
from crocuswell_core.runtime.events import CallAbandoned, CallReceived, Event

RETRY_AFTER_MS = 1_000
# Time for the loop to answer calls in flight when the desk is closed; a
# planned stop has answered them by then.
DRAIN_TIME_S = 1.0

Reply = CommandReply | ReadReply


class CallDesk:
    """Posts calls as events and hands the answers to the waiting threads.

    Parameters
    ----------
    post : callable
        Takes `CallReceived` and `CallAbandoned`, from any thread.
    count : callable
        Takes what is to be counted, from any thread.
    call_limit_ms : int
        Time in ms, beyond what the caller wants to wait for an outcome,
        after which a call is answered `unavailable`.
    """

    def __init__(
        self,
        post: Callable[[Event], None],
        count: Callable[[Count], None],
        call_limit_ms: int,
    ) -> None:
        self._post = post
        self._count = count
        self._call_limit_ms = call_limit_ms
        self._call_ids = itertools.count(1)
        self._changed = threading.Condition()
        self._waiting: dict[int, Future[Reply]] = {}
        self._closing = False
        self.ready = False

    def answer(self, call_id: int, reply: Reply) -> None:
        """Answer a call; safe from any thread and never blocks.

        An answer to a call that nobody waits for is counted and dropped.
        """
        fut = self._take(call_id)
        if fut is None:
            self._count(Count("http_answers_late"))
            return
        fut.set_result(reply)

    def set_ready(self, ready: bool) -> None:
        """Set whether the process takes calls."""
        self.ready = ready

    def ask(self, call: Call, wait_ms: int = 0) -> Reply:
        """Post a call and wait for its answer.

        Parameters
        ----------
        wait_ms : int
            Time in ms for which the call itself may wait.

        Returns
        -------
        Reply
            The answer, or `unavailable` if none came in time.
        """
        call_id = next(self._call_ids)
        fut: Future[Reply] = Future()
        with self._changed:
            if self._closing:
                return refuse_unavailable("this host is stopping")
            self._waiting[call_id] = fut
        limit_ms = wait_ms + self._call_limit_ms
        try:
            self._post(CallReceived(call_id, call))
            return fut.result(limit_ms / 1_000)
        except TimeoutError:
            return self._abandon(call_id, fut, limit_ms)
        finally:
            self._take(call_id)

    def close(self) -> None:
        """Let calls in flight be answered, then refuse the others; blocks."""
        with self._changed:
            self._closing = True
            self._changed.wait_for(lambda: not self._waiting, DRAIN_TIME_S)
            unanswered = list(self._waiting)
        for call_id in unanswered:
            self.answer(call_id, refuse_unavailable("this host is stopping"))

    def _take(self, call_id: int) -> "Future[Reply] | None":
        with self._changed:
            fut = self._waiting.pop(call_id, None)
            self._changed.notify_all()
        return fut

    def _abandon(self, call_id: int, fut: "Future[Reply]", limit_ms: int) -> Reply:
        if self._take(call_id) is None:  # the answer came in between
            return fut.result()
        self._post(CallAbandoned(call_id))
        return refuse_unavailable(f"no answer within {limit_ms} ms")


def refuse_unavailable(detail: str) -> Refused:
    """Return the answer to a call whose fate is not known."""
    return Refused(ErrorKind.UNAVAILABLE, detail, RETRY_AFTER_MS)
