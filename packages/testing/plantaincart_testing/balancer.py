"""Selection of the instance that a call is sent to."""

from abc import ABC, abstractmethod
from asyncio import Task, create_task, gather, get_running_loop, sleep
from collections.abc import Mapping, Sequence

from plantaincart_router.exception import ExchangeError
from plantaincart_router.http.client import HttpClient

from plantaincart_testing.addresses import Address

__all__ = ["Balancer", "FixedBalancer", "ReadinessBalancer"]

POLL_INTERVAL_S = 0.1
POLL_TIMEOUT_S = 0.5
_OK = 200


class Balancer(ABC):
    """Selects an instance for each call."""

    @property
    @abstractmethod
    def size(self) -> int:
        """Number of instances."""

    @abstractmethod
    def choose(self) -> Address:
        """Return the address for the next call."""

    def report_failure(self, address: Address) -> None:  # noqa: B027
        """Record that no connection to an address could be opened."""


class FixedBalancer(Balancer):
    """
    Selects from a fixed list of instances in turn.

    Parameters
    ----------
    addresses : sequence of Address
        Entry addresses of the instances.

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
        """Number of instances."""
        return len(self._addresses)

    def choose(self) -> Address:
        """Return the address for the next call."""
        address = self._addresses[self._next % len(self._addresses)]
        self._next += 1
        return address


class ReadinessBalancer(Balancer):
    """
    Selects the ready instances in turn, as the platform's balancer does.

    Parameters
    ----------
    addresses : mapping of Address to Address
        Admin address of each instance by its entry address.
    target : str
        Path of the readiness check.

    Notes
    -----
    If no instance is ready, all instances are selected in turn.
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
        """Number of instances."""
        return len(self._ready)

    def start(self) -> None:
        """Start to poll the readiness of the instances."""
        self._task = get_running_loop().create_task(self._run())

    def close(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()
        for client in self._clients.values():
            client.close()

    def choose(self) -> Address:
        """Return the address for the next call."""
        ready = [entry for entry, is_ready in self._ready.items() if is_ready]
        candidates = ready or list(self._ready)
        self._next += 1
        return candidates[self._next % len(candidates)]

    def report_failure(self, address: Address) -> None:
        """Exclude an instance until its readiness check succeeds again."""
        self._ready[address] = False

    async def _run(self) -> None:
        while True:
            polls = [create_task(self._poll(entry)) for entry in self._ready]
            await gather(*polls)
            await sleep(POLL_INTERVAL_S)

    async def _poll(self, entry: Address) -> None:
        try:
            answer = await self._clients[entry].request("GET", self._target)
        except ExchangeError:
            self._ready[entry] = False
            return
        self._ready[entry] = answer.status == _OK
