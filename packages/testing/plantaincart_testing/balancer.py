"""Choice of the instance that a call is sent to."""

from abc import ABC, abstractmethod
from asyncio import Task, create_task, gather, get_running_loop, sleep
from collections.abc import Mapping, Sequence

from plantaincart_router.exception import ExchangeError
from plantaincart_router.http.client import HttpClient

from plantaincart_testing.place import Address

__all__ = ["Balancer", "FixedBalancer", "ReadinessBalancer"]

POLL_S = 0.1
POLL_TIMEOUT_S = 0.5
_OK = 200


class Balancer(ABC):
    """Chooses instances."""

    @property
    @abstractmethod
    def size(self) -> int:
        """Number of instances known."""

    @abstractmethod
    def choose(self) -> Address:
        """Return the address for the next call."""

    def report_failure(self, address: Address) -> None:  # noqa: B027
        """Note that no connection to an address could be opened."""


class FixedBalancer(Balancer):
    """
    Takes a fixed list in turn.

    Parameters
    ----------
    addresses : sequence of Address
        The instances.

    Examples
    --------
    >>> balancer = FixedBalancer([Address("a", 1), Address("b", 2)])
    >>> [str(balancer.choose()) for _ in range(3)]
    ['a:1', 'b:2', 'a:1']
    """

    def __init__(self, addresses: Sequence[Address]) -> None:
        self._addresses = list(addresses)
        self._next = 0

    @property
    def size(self) -> int:
        """Number of instances known."""
        return len(self._addresses)

    def choose(self) -> Address:
        """Return the address for the next call."""
        address = self._addresses[self._next % len(self._addresses)]
        self._next += 1
        return address


class ReadinessBalancer(Balancer):
    """
    Takes in turn the instances that say they are ready, as the platform does.

    Parameters
    ----------
    addresses : mapping of Address to Address
        Address of each instance's readiness check by its entry address.
    target : str
        Path of the check.

    Notes
    -----
    With no ready instance all are taken in turn.
    """

    def __init__(
        self, addresses: Mapping[Address, Address], target: str = "/ready"
    ) -> None:
        self._target = target
        self._clients = {
            entry: HttpClient(admin.host, admin.port, POLL_TIMEOUT_S)
            for entry, admin in addresses.items()
        }
        self._ready = dict.fromkeys(addresses, True)
        self._next = 0
        self._task: Task[None] | None = None

    @property
    def size(self) -> int:
        """Number of instances known."""
        return len(self._ready)

    def start(self) -> None:
        """Begin to ask the instances whether they are ready."""
        self._task = get_running_loop().create_task(self._poll())

    def close(self) -> None:
        """Stop asking."""
        if self._task is not None:
            self._task.cancel()
        for client in self._clients.values():
            client.close()

    def choose(self) -> Address:
        """Return the address for the next call."""
        ready = [entry for entry, is_ready in self._ready.items() if is_ready]
        chosen = ready or list(self._ready)
        self._next += 1
        return chosen[self._next % len(chosen)]

    def report_failure(self, address: Address) -> None:
        """Take an instance out until it says again that it is ready."""
        self._ready[address] = False

    async def _poll(self) -> None:
        while True:
            asks = [create_task(self._ask(entry)) for entry in self._ready]
            await gather(*asks)
            await sleep(POLL_S)

    async def _ask(self, entry: Address) -> None:
        try:
            answer = await self._clients[entry].request("GET", self._target)
        except ExchangeError:
            self._ready[entry] = False
            return
        self._ready[entry] = answer.status == _OK
