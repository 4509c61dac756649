"""Helpers shared by the stream tests."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import attrs

from crocuswell_core.runtime.effects import Count, Label
from crocuswell_core.runtime.events import Event
from crocuswell_daemon.counters import find_metric

TEST_TIMEOUT_S = 20.0
MEGABYTE = 1_000_000


@attrs.define
class Recorder:
    """Records events and counts; tests can wait for them."""

    events: list[Event] = attrs.Factory(list)
    counts: list[Count] = attrs.Factory(list)
    _changed: asyncio.Event = attrs.Factory(asyncio.Event)

    def post(self, event: Event) -> None:
        self.events.append(event)
        self._changed.set()

    def count(self, count: Count) -> None:
        find_metric(count.counter, count.labels)
        self.counts.append(count)
        self._changed.set()

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while not condition():
                self._changed.clear()
                await self._changed.wait()

    async def wait_for(self, event: Event) -> None:
        await self.until(lambda: event in self.events)

    def total(self, counter: str, reason: str = "") -> int:
        return sum(
            count.amount
            for count in self.counts
            if count.counter == counter
            and (not reason or Label("reason", reason) in count.labels)
        )


def run(coroutine: Coroutine[Any, Any, None]) -> None:
    """Run a test coroutine and fail if it exceeds twice the timeout."""

    async def bounded() -> None:
        async with asyncio.timeout(2 * TEST_TIMEOUT_S):
            await coroutine

    asyncio.run(bounded())
