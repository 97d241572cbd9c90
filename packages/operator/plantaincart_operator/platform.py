"""Client of the platform and of the instances' admin addresses."""

from asyncio import gather
from dataclasses import dataclass
from types import TracebackType
from typing import Self, TypeVar
from urllib.parse import urlencode

from plantaincart_router.exception import (
    ExchangeError,
    PlatformRefusedError,
    PlatformUnavailableError,
)
from plantaincart_router.http.client import HttpClient
from plantaincart_router.platform.instances import (
    HttpInstanceDirectory,
    InstanceDirectory,
)
from plantaincart_router.platform.table import HttpTable, Table
from plantaincart_schema.codec import decode_json
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.operator import OperatorSettings
from plantaincart_schema.generated.platform import InstanceEntry
from plantaincart_schema.generated.status import KeyStatus, Status
from plantaincart_schema.generated.upstream import Problem

from plantaincart_operator.exception import RefusedError, UnavailableError

__all__ = ["InstanceReport", "Platform"]

_OK = 200
_NOT_FOUND = 404

T = TypeVar("T")


@dataclass(frozen=True, kw_only=True)
class InstanceReport:
    """
    Status of an instance in the platform's instance list.

    Parameters
    ----------
    entry : InstanceEntry
        Entry of the instance in the list.
    status : Status or None
        Answer of the instance; None if there was none.
    problem : str
        Reason for a missing status.
    """

    entry: InstanceEntry
    status: Status | None = None
    problem: str = ""


class Platform:
    """
    Client of the platform's table and instance list, and of the listed instances.

    Parameters
    ----------
    settings : OperatorSettings
        Addresses and timeouts.

    Notes
    -----
    An asynchronous context manager that closes its connections on exit.
    """

    def __init__(self, settings: OperatorSettings) -> None:
        addresses = settings.platform
        self.table: Table = HttpTable(
            addresses.table_host, addresses.table_port, addresses.timeout_s, "operator"
        )
        self._instances: InstanceDirectory = HttpInstanceDirectory(
            addresses.instances_host or addresses.table_host,
            addresses.instances_port or addresses.table_port,
            addresses.timeout_s,
            "operator",
        )
        self._admin_timeout_s = settings.admin_timeout_s

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.table.close()
        self._instances.close()

    async def list_instances(self) -> list[InstanceEntry]:
        """
        Read the platform's instance list, sorted by name.

        Returns
        -------
        list of InstanceEntry
            Live and leaving instances.

        Raises
        ------
        UnavailableError
            If the instance list can't be read.
        """
        try:
            instances = await self._instances.list_instances()
        except (PlatformUnavailableError, PlatformRefusedError) as error:
            raise UnavailableError(f"instance list: {error}") from None
        return sorted(instances, key=lambda entry: entry.name)

    async def read_statuses(self) -> list[InstanceReport]:
        """
        Request the status of all listed instances concurrently.

        Returns
        -------
        list of InstanceReport
            One report for each instance of the list.

        Raises
        ------
        UnavailableError
            If the instance list can't be read.
        """
        entries = await self.list_instances()
        return list(await gather(*(self._read_status(entry) for entry in entries)))

    async def read_key(self, entry: InstanceEntry, service: str, key: str) -> KeyStatus:
        """
        Request the leader and owner of a key from an instance.

        Parameters
        ----------
        entry : InstanceEntry
            Instance to ask.
        service, key : str
            Service and key.

        Returns
        -------
        KeyStatus
            Answer of the instance.

        Raises
        ------
        UnavailableError
            If the instance doesn't answer.
        RefusedError
            If the service isn't in the instance's configuration.
        """
        query = urlencode({"service": service, "key": key})
        return await self._request_json(entry, f"/key?{query}", KeyStatus)

    async def _read_status(self, entry: InstanceEntry) -> InstanceReport:
        try:
            status = await self._request_json(entry, "/status", Status)
        except (UnavailableError, RefusedError) as error:
            return InstanceReport(entry=entry, problem=str(error))
        return InstanceReport(entry=entry, status=status)

    async def _request_json(
        self, entry: InstanceEntry, target: str, data_class: type[T]
    ) -> T:
        if not entry.admin_port:
            raise UnavailableError(
                f"{entry.name}: the instance list has no admin address for it"
            )
        http = HttpClient(entry.admin_host, entry.admin_port, self._admin_timeout_s)
        try:
            answer = await http.request("GET", target)
            if answer.status == _NOT_FOUND:
                raise RefusedError(f"{entry.name}: {_read_detail(answer.body)}")
            if answer.status != _OK:
                raise UnavailableError(f"{entry.name}: status {answer.status}")
            return decode_json(answer.body, data_class)
        except (ExchangeError, MalformedMessageError) as error:
            reason = f"{type(error).__name__} {error}"
            raise UnavailableError(f"{entry.name}: {reason}") from None
        finally:
            http.close()


def _read_detail(body: bytes) -> str:
    try:
        return decode_json(body, Problem).detail
    except MalformedMessageError:
        return "not found"
