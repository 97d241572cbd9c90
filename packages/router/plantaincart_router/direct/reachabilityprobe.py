"""Connects to upstreams one at a time while it is in doubt whether any is reachable."""

from asyncio import sleep
from random import Random

from plantaincart_core.directory import UpstreamRecord

from plantaincart_router.direct.pool import UpstreamPools
from plantaincart_router.exception import ConnectFailedError

__all__ = ["ReachabilityProbe"]

# Seconds between connects while it isn't known yet whether the instance is cut off, and
# while it is.
DOUBT_INTERVAL_S = 0.05
CUT_OFF_INTERVAL_S = 0.25


class ReachabilityProbe:
    """
    Finds out soon that the instance is cut off from the upstreams, or no longer.

    Parameters
    ----------
    pools : UpstreamPools
        Opens the connections, records the results, and keeps what was opened.
    """

    def __init__(self, pools: UpstreamPools) -> None:
        self._pools = pools
        self._reachability = pools.reachability
        self._random = Random()

    async def run(self) -> None:
        """Connect while there is doubt until cancelled."""
        while True:
            if self._reachability.is_doubtful:
                await self._connect()
            is_cut_off = self._reachability.is_cut_off
            await sleep(CUT_OFF_INTERVAL_S if is_cut_off else DOUBT_INTERVAL_S)

    async def _connect(self) -> None:
        record = self._choose_upstream()
        if record is None:
            return
        try:
            connection = await self._pools.open(record, float("inf"))
        except ConnectFailedError:
            # The pools have recorded the failure.
            return
        self._pools.return_connection(record, connection, None)

    def _choose_upstream(self) -> UpstreamRecord | None:
        """Choose one that may tell most: another upstream in another data centre."""
        directory = self._reachability.directory
        candidates = [record for record in directory if record.ready]
        unreached = self._reachability.list_unreached()
        names = {record.id for record in unreached}
        data_centres = {record.data_centre for record in unreached}
        return min(
            candidates,
            key=lambda record: (
                record.id in names,
                record.data_centre in data_centres,
                self._random.random(),
            ),
            default=None,
        )
