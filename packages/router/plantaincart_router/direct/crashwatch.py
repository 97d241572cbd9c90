"""Whether an upstream has ended while it ran a request."""

from asyncio import Task, create_task, get_running_loop, sleep
from time import monotonic

from plantaincart_router.direct.crashledger import CrashLedger, Loss
from plantaincart_router.direct.pool import UpstreamPools
from plantaincart_router.exception import ConnectFailedError
from plantaincart_router.http.exchange import HttpConnection

__all__ = ["CrashWatch"]

# Seconds within which a connect to an upstream that has ended is refused.
CONNECT_LIMIT_S = 0.05
# Seconds for which a connection to a running upstream stays open. A device on the way
# may accept it before it finds that the upstream has ended.
SURVIVAL_S = 0.1
# Seconds after which it is known whether the instance itself is cut off.
DOUBT_S = 0.3


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
        self._tasks: set[Task[None]] = set()

    async def check(self, loss: Loss) -> None:
        """
        Connect to an upstream that has closed the connection of a running request.

        It has ended if it refuses the connection; also if it closes it, unless it may
        have too many connections. A connect that times out proves nothing, since the
        way to the upstream may be cut. Where nothing is proved, the ledger waits for
        the upstream's announcement to vanish.

        Parameters
        ----------
        loss : Loss
            The request and the upstream.
        """
        self._ledger.record_loss(loss, monotonic())
        if loss.closed_at_once:
            await self._check_refusal(loss)
            return
        try:
            connection = await self._pools.open(loss.record, CONNECT_LIMIT_S)
        except ConnectFailedError as error:
            if error.refused or error.closed_at_once:
                self._handle_refused(loss)
            return
        task = create_task(self._check_survival(connection, loss))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _check_refusal(self, loss: Loss) -> None:
        """Connect without the pools, in which a success would admit requests again."""
        record = loss.record
        try:
            connection = await HttpConnection.open(
                record.host, record.port, CONNECT_LIMIT_S
            )
        except ConnectFailedError as error:
            if error.refused:
                self._handle_refused(loss)
            return
        connection.close()

    async def _check_survival(self, connection: HttpConnection, loss: Loss) -> None:
        await sleep(SURVIVAL_S)
        if connection.reusable:
            self._pools.return_connection(loss.record, connection, None)
        else:
            self._handle_refused(loss)

    def _handle_refused(self, loss: Loss) -> None:
        if not self._pools.reachability.is_doubtful:
            self._ledger.record_crash(loss, monotonic())
            return
        # Where an instance is cut off, connections may be refused on the way.
        get_running_loop().call_later(DOUBT_S, self._record_unless_cut_off, loss)

    def _record_unless_cut_off(self, loss: Loss) -> None:
        if not self._pools.reachability.is_cut_off:
            self._ledger.record_crash(loss, monotonic())
