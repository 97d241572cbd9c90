"""Whether the store answers this instance while it doesn't answer the coordinator."""

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
    Tries the store in turn with the other instances.

    Parameters
    ----------
    times : CoordinationSettings
        Times of the instances.
    store : Store
        Store to try.
    count_members : callable
        Returns how many instances take turns.
    note_reached : callable
        Called when the store has answered.
    """

    def __init__(
        self,
        times: CoordinationSettings,
        store: Store,
        count_members: Callable[[], int],
        note_reached: Callable[[], None],
    ) -> None:
        self._times = times
        self._store = store
        self._count_members = count_members
        self._handle_store_reached = note_reached
        self._random = Random()
        self._answered_at = monotonic()
        self._doubted_at: float | None = None
        self._reaches: bool | None = None
        self._task: Task[None] | None = None

    def record_answer(self, at: float) -> None:
        """Note when the store last answered anything."""
        self._answered_at = max(self._answered_at, at)

    def begin(self) -> None:
        """Take a turn, unless one is under way."""
        if self._doubted_at is None:
            self._doubted_at = monotonic()
        if self._task is None or self._task.done():
            self._task = create_task(self._try_store())

    def end(self) -> None:
        """Forget what was found out, since the coordinator is answered again."""
        self._doubted_at = None
        self._reaches = None

    def close(self) -> None:
        """Give up a turn that is under way."""
        if self._task is not None:
            self._task.cancel()

    def measure_silence(self) -> float:
        """
        Measure for how long the store hasn't answered.

        Returns
        -------
        float
            Seconds, 0 if it answers; negative if that isn't known or not needed.
        """
        if self._doubted_at is None or self._reaches is None:
            return -1.0
        if self._reaches:
            return 0.0
        since = max(self._answered_at, self._doubted_at)
        return round(max(monotonic() - since, self._times.reached_s), 2)

    async def _try_store(self) -> None:
        """Ask the store once, at a random time within the turn."""
        turn_s = self._count_members() / self._times.probes_per_s
        turn_s = max(self._times.report_s, turn_s)
        before_s = turn_s * self._random.random()
        await sleep(before_s)
        try:
            await self._store.read(COORDINATOR_TABLE)
        except StoreUnavailableError as error:
            self._reaches = False
            write_event("store_tried", error=str(error))
        else:
            self._reaches = True
            self.record_answer(monotonic())
            self._handle_store_reached()
        await sleep(turn_s - before_s)
