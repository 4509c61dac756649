"""Blocking calls from listener threads to the reducer."""

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
# Time on close for the event loop to answer calls in flight; a planned stop
# has already answered them.
DRAIN_TIMEOUT_S = 1.0

Reply = CommandReply | ReadReply


class PendingCalls:
    """Posts calls as events and returns their replies to waiting threads.

    Parameters
    ----------
    post : callable
        Posts `CallReceived` and `CallAbandoned`; called from any thread.
    count : callable
        Records a `Count`; called from any thread.
    call_timeout_ms : int
        Timeout in ms, in addition to the time the caller asked to wait for
        an outcome, after which a call is answered with `unavailable`.
    """

    def __init__(
        self,
        post: Callable[[Event], None],
        count: Callable[[Count], None],
        call_timeout_ms: int,
    ) -> None:
        self._post = post
        self._count = count
        self._call_timeout_ms = call_timeout_ms
        self._call_ids = itertools.count(1)
        self._condition = threading.Condition()
        self._futures: dict[int, Future[Reply]] = {}
        self._closing = False
        self.ready = False

    def answer(self, call_id: int, reply: Reply) -> None:
        """Complete a call with its reply; thread-safe, never blocks.

        A reply to a call that is no longer waiting is counted and dropped.
        """
        fut = self._pop_future(call_id)
        if fut is None:
            self._count(Count("http_answers_late"))
            return
        fut.set_result(reply)

    def set_ready(self, ready: bool) -> None:
        """Set whether the process is ready for calls."""
        self.ready = ready

    def execute(self, call: Call, wait_ms: int = 0) -> Reply:
        """Post a call and wait for its reply.

        Parameters
        ----------
        wait_ms : int
            Time in ms the call itself may wait, added to the timeout.

        Returns
        -------
        Reply
            The reply, or an `unavailable` refusal on timeout.
        """
        call_id = next(self._call_ids)
        fut: Future[Reply] = Future()
        with self._condition:
            if self._closing:
                return refuse_unavailable("this host is stopping")
            self._futures[call_id] = fut
        timeout_ms = wait_ms + self._call_timeout_ms
        try:
            self._post(CallReceived(call_id, call))
            return fut.result(timeout_ms / 1_000)
        except TimeoutError:
            return self._abandon(call_id, fut, timeout_ms)
        finally:
            self._pop_future(call_id)

    def close(self) -> None:
        """Wait for calls in flight, then refuse the remaining ones; blocks."""
        with self._condition:
            self._closing = True
            self._condition.wait_for(lambda: not self._futures, DRAIN_TIMEOUT_S)
            unanswered = list(self._futures)
        for call_id in unanswered:
            self.answer(call_id, refuse_unavailable("this host is stopping"))

    def _pop_future(self, call_id: int) -> "Future[Reply] | None":
        with self._condition:
            fut = self._futures.pop(call_id, None)
            self._condition.notify_all()
        return fut

    def _abandon(self, call_id: int, fut: "Future[Reply]", timeout_ms: int) -> Reply:
        if self._pop_future(call_id) is None:  # the reply arrived in the meantime
            return fut.result()
        self._post(CallAbandoned(call_id))
        return refuse_unavailable(f"no answer within {timeout_ms} ms")


def refuse_unavailable(detail: str) -> Refused:
    """Return the reply to a call whose outcome is unknown."""
    return Refused(ErrorKind.UNAVAILABLE, detail, RETRY_AFTER_MS)
