"""Timers that are lost, fire twice or fire after they were cancelled."""

import asyncio
from collections.abc import Callable
from typing import Any

from crocuswell_core.runtime.events import Event, TimerFired
from crocuswell_core.runtime.timers import CallTimer, ElectionTimer, Timer
from crocuswell_daemon.timer_service import TimerService


class FakeHandle:
    def __init__(self) -> None:
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class FakeLoop:
    """Records `call_later`; the test decides when the calls run."""

    def __init__(self) -> None:
        self.calls: list[tuple[float, Callable[..., None], Any, FakeHandle]] = []

    def call_later(self, delay: float, call: Any, *args: Any) -> FakeHandle:
        handle = FakeHandle()
        self.calls.append((delay, call, args, handle))
        return handle

    def fire_all(self) -> None:
        calls, self.calls = self.calls, []
        for _, call, args, handle in sorted(calls, key=lambda item: item[0]):
            if not handle.cancelled:
                call(*args)


def make_service() -> tuple[TimerService, FakeLoop, list[Event]]:
    loop, posted = FakeLoop(), []  # type: ignore[var-annotated]
    return TimerService(posted.append, loop), loop, posted  # type: ignore[arg-type]


def fired(*timers: Timer) -> list[Event]:
    return [TimerFired(timer) for timer in timers]


def test_a_timer_fires_once_after_its_delay() -> None:
    """Guards against a delay in the wrong unit and a second firing."""
    service, loop, posted = make_service()
    service.start(ElectionTimer(), 600)
    assert [delay for delay, *_ in loop.calls] == [0.6]
    loop.fire_all()
    loop.fire_all()
    assert posted == fired(ElectionTimer())


def test_starting_a_running_timer_replaces_it() -> None:
    """Guards against an election right after a message from the leader."""
    service, loop, posted = make_service()
    service.start(ElectionTimer(), 600)
    service.start(ElectionTimer(), 900)
    loop.fire_all()
    assert posted == fired(ElectionTimer())


def test_timers_of_one_type_are_told_apart_by_their_fields() -> None:
    """Guards against calls that share one timeout."""
    service, loop, posted = make_service()
    service.start(CallTimer(1), 20)
    service.start(CallTimer(2), 10)
    service.start(CallTimer(3), 30)
    service.cancel(CallTimer(1))
    loop.fire_all()
    assert posted == fired(CallTimer(2), CallTimer(3))


def test_a_cancelled_timer_does_not_fire() -> None:
    """Guards against a timeout of a call that was answered."""
    service, loop, posted = make_service()
    service.start(CallTimer(1), 20)
    service.cancel(CallTimer(1))
    service.cancel(CallTimer(1))
    loop.fire_all()
    assert posted == []


def test_a_fired_timer_can_be_started_again() -> None:
    """Guards against periodic work that stops after one period."""
    service, loop, posted = make_service()
    for _ in range(3):
        service.start(ElectionTimer(), 100)
        loop.fire_all()
    assert posted == fired(*[ElectionTimer()] * 3)


def test_the_exit_cancels_all_timers() -> None:
    """Guards against events that are posted after the exit."""
    service, loop, posted = make_service()
    with service:
        service.start(ElectionTimer(), 100)
    loop.fire_all()
    assert posted == []


def test_a_negative_delay_fires_at_once() -> None:
    """Guards against an error if the due time has already passed."""

    async def main() -> list[Event]:
        posted: list[Event] = []
        with TimerService(posted.append, asyncio.get_running_loop()) as service:
            service.start(ElectionTimer(), -5)
            while not posted:
                await asyncio.sleep(0)
        return posted

    assert asyncio.run(main()) == fired(ElectionTimer())
