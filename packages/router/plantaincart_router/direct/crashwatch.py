"""Whether an upstream has ended while it ran a request."""

from asyncio import Task, create_task, sleep
from collections.abc import Coroutine
from time import monotonic

from plantaincart_core.directory import UpstreamRecord

from plantaincart_router.direct.crashledger import ANNOUNCEMENT_S, CrashLedger, Loss
from plantaincart_router.direct.pool import UpstreamPools
from plantaincart_router.exception import ConnectFailedError
from plantaincart_router.http.exchange import HttpConnection

__all__ = ["CrashWatch"]

# Seconds within which a connect to an upstream that has ended is refused.
CONNECT_LIMIT_S = 0.05
# Seconds for which a connection to a running upstream stays open, and between looks at
# it. A device on the way may accept it before it finds that the upstream has ended.
SURVIVAL_S = 2.0
POLL_S = 0.02
# Seconds after a loss from which on the end of a connection may have another cause.
PROMPT_S = 0.15
# Seconds after which it is known whether the instance itself is cut off.
DOUBT_S = 0.3


class _Watch:
    """Losses at one process, of which it isn't known yet whether it has ended."""

    def __init__(self, record: UpstreamRecord) -> None:
        self.record = record
        self.losses: list[tuple[Loss, float]] = []
        self.lost_at = float("-inf")
        self.is_answered = False

    def add(self, loss: Loss, now: float) -> None:
        """Add a loss, later than the last answer."""
        self.losses.append((loss, now))
        self.lost_at = now
        self.is_answered = False


class CrashWatch:
    """
    Tells upstreams that have ended from connections that were lost.

    Parameters
    ----------
    pools : UpstreamPools
        Connections to upstreams.
    ledger : CrashLedger
        Records the upstreams that have ended.
    """

    def __init__(self, pools: UpstreamPools, ledger: CrashLedger) -> None:
        self._pools = pools
        self._ledger = ledger
        self._watches: dict[str, _Watch] = {}
        self._tasks: set[Task[None]] = set()

    async def check(self, loss: Loss) -> None:
        """
        Connect to an upstream that has closed the connection of a running request.

        It has ended if it refuses the connection; also if it closes it, unless it may
        have too many connections or answers a later request. A connect that times out
        proves nothing, since the way to the upstream may be cut. Where nothing is
        proved, the ledger waits for the upstream's announcement to vanish.

        Parameters
        ----------
        loss : Loss
            The request and the upstream.
        """
        now = monotonic()
        self._ledger.record_loss(loss, now)
        if loss.closed_at_once:
            await self._check_refusal(loss)
            return
        watch = self._watches.get(loss.process)
        if watch is not None:
            watch.add(loss, now)
            return
        watch = self._watches[loss.process] = _Watch(loss.record)
        watch.add(loss, now)
        try:
            connection = await self._pools.open(loss.record, CONNECT_LIMIT_S)
        except ConnectFailedError as error:
            del self._watches[loss.process]
            if error.refused or error.closed_at_once:
                self._handle_refused(watch)
            return
        except BaseException:
            # The caller has gone.
            del self._watches[loss.process]
            raise
        self._start(self._check_survival(connection, watch))

    def record_answer(self, record: UpstreamRecord, sent_at: float) -> None:
        """
        Record that an upstream has answered a request.

        Parameters
        ----------
        record : UpstreamRecord
            The upstream.
        sent_at : float
            Time in seconds at which the request was sent.
        """
        watch = self._watches.get(f"{record.id}#{record.born}")
        if watch is not None and sent_at > watch.lost_at:
            watch.is_answered = True

    async def _check_refusal(self, loss: Loss) -> None:
        """Connect without the pools, in which a success would admit requests again."""
        record = loss.record
        try:
            connection = await HttpConnection.open(
                record.host, record.port, CONNECT_LIMIT_S
            )
        except ConnectFailedError as error:
            if error.refused:
                watch = _Watch(record)
                watch.add(loss, monotonic())
                self._handle_refused(watch)
            return
        connection.close()

    async def _check_survival(self, connection: HttpConnection, watch: _Watch) -> None:
        while connection.reusable and not watch.is_answered:
            if monotonic() - watch.lost_at >= SURVIVAL_S:
                break
            await sleep(POLL_S)
        del self._watches[f"{watch.record.id}#{watch.record.born}"]
        if connection.reusable:
            self._pools.return_connection(watch.record, connection, None)
        elif not watch.is_answered:
            self._handle_refused(watch)

    def _handle_refused(self, watch: _Watch) -> None:
        is_prompt = monotonic() - watch.lost_at < PROMPT_S
        if is_prompt and not self._pools.reachability.is_doubtful:
            self._record(watch)
        else:
            # Where an instance is cut off, connections may be refused on the way.
            self._start(self._record_once_reached(watch))

    async def _record_once_reached(self, watch: _Watch) -> None:
        """Record the losses after which another upstream was reached."""
        reachability = self._pools.reachability
        while watch.losses and monotonic() - watch.lost_at < ANNOUNCEMENT_S:
            await sleep(DOUBT_S)
            if not reachability.is_cut_off:
                self._record(watch, reachability.reached_at)

    def _record(self, watch: _Watch, reached_at: float = float("inf")) -> None:
        for loss, at in watch.losses:
            if at < reached_at:
                self._ledger.record_crash(loss, monotonic())
        watch.losses = [(loss, at) for loss, at in watch.losses if at >= reached_at]

    def _start(self, check: Coroutine[None, None, None]) -> None:
        task = create_task(check)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
