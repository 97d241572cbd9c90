"""Test calls to the store while the coordinator gets no answer from it."""

from asyncio import Task, create_task, sleep
from collections.abc import Callable
from random import Random
from time import monotonic

from plantaincart_router.direct.settings import CoordinationSettings
from plantaincart_router.direct.store import Store, StoreUnavailableError
from plantaincart_router.direct.termrow import COORDINATOR_TABLE
from plantaincart_router.log import write_event

__all__ = ["StoreProbe"]


class StoreProbe:
    """
    Sends test calls to the store, spread over time among the instances.

    Parameters
    ----------
    times : CoordinationSettings
        Intervals and rates of the test calls.
    store : Store
        Store to test.
    count_members : callable
        Returns the number of live instances, which share the rate of test calls.
    on_reached : callable
        Called when the store has answered a test call.
    """

    def __init__(
        self,
        times: CoordinationSettings,
        store: Store,
        count_members: Callable[[], int],
        on_reached: Callable[[], None],
    ) -> None:
        self._times = times
        self._store = store
        self._count_members = count_members
        self._on_reached = on_reached
        self._random = Random()
        self._answered_at = monotonic()
        self._outage_began_at: float | None = None
        self._is_reached: bool | None = None
        self._task: Task[None] | None = None

    def record_answer(self, at: float) -> None:
        """Record the time of an answer of the store to any call."""
        self._answered_at = max(self._answered_at, at)

    def start(self) -> None:
        """Start a test call, unless one is in progress."""
        if self._outage_began_at is None:
            self._outage_began_at = monotonic()
        if self._task is None or self._task.done():
            self._task = create_task(self._test_store())

    def reset(self) -> None:
        """Discard the result, since the store answers the coordinator again."""
        self._outage_began_at = None
        self._is_reached = None

    def close(self) -> None:
        """Cancel a test call in progress."""
        if self._task is not None:
            self._task.cancel()

    def measure_silence(self) -> float:
        """
        Return for how long the store hasn't answered this instance.

        Returns
        -------
        float
            Seconds; 0 if the store answers; negative if it wasn't tested.
        """
        if self._outage_began_at is None or self._is_reached is None:
            return -1.0
        if self._is_reached:
            return 0.0
        since = max(self._answered_at, self._outage_began_at)
        return round(max(monotonic() - since, self._times.reached_s), 2)

    async def _test_store(self) -> None:
        """Read from the store once, at a random time within the interval."""
        interval_s = self._count_members() / self._times.probes_per_s
        interval_s = max(self._times.report_s, interval_s)
        delay_s = interval_s * self._random.random()
        await sleep(delay_s)
        try:
            await self._store.read(COORDINATOR_TABLE)
        except StoreUnavailableError as error:
            self._is_reached = False
            write_event("store_tried", error=str(error))
        else:
            self._is_reached = True
            self.record_answer(monotonic())
            self._on_reached()
        await sleep(interval_s - delay_s)
