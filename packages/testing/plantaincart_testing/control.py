"""Clients of the stand-ins' control addresses."""

from dataclasses import replace
from typing import TypeVar
from urllib.parse import quote

from plantaincart_router.exception import ExchangeError
from plantaincart_router.http.client import HttpClient
from plantaincart_schema.codec import decode_json, encode_json
from plantaincart_schema.generated.platform import (
    InstanceEntry,
    InstanceList,
    InstanceState,
    ReadAnswer,
    Row,
)

from plantaincart_testing.exception import ControlError
from plantaincart_testing.fault import PlatformFaults
from plantaincart_testing.proxy_fault import (
    PassMode,
    RouteFaults,
    RouteReport,
    SourceList,
)
from plantaincart_testing.upstream_settings import (
    ColdTurn,
    UpstreamFaults,
    UpstreamReport,
)
from plantaincart_testing.usage import UsageReport

__all__ = ["ControlClient", "PlatformControl", "ProxyControl", "UpstreamControl"]

TIMEOUT_S = 5.0
_MIN_FAILURE_STATUS = 300

T = TypeVar("T")


class ControlClient:
    """
    Sends calls to a control address.

    Parameters
    ----------
    host : str
        IP address of the control address.
    port : int
        TCP port of the control address.
    """

    def __init__(self, host: str, port: int) -> None:
        self.host = host
        self.port = port
        self._http = HttpClient(host, port, TIMEOUT_S)

    async def send(self, method: str, target: str, value: object = None) -> bytes:
        """
        Send a call and return the body of its answer.

        Parameters
        ----------
        method : str
            Method in upper case.
        target : str
            Path and query.
        value : object
            Data class sent as JSON; None for an empty body.

        Returns
        -------
        bytes
            Body of the answer.

        Raises
        ------
        ControlError
            If there is no answer, or its status isn't a success.
        """
        body = b"" if value is None else encode_json(value)
        call = f"{method} {self.host}:{self.port}{target}"
        try:
            answer = await self._http.request(method, target, (), body)
        except ExchangeError as error:
            raise ControlError(f"{call}: {error}") from error
        if answer.status >= _MIN_FAILURE_STATUS:
            raise ControlError(f"{call}: status {answer.status}: {answer.body!r}")
        return answer.body

    async def fetch(self, target: str, kind: type[T]) -> T:
        """
        Fetch a JSON document.

        Parameters
        ----------
        target : str
            Path and query.
        kind : type
            Data class of the document.

        Returns
        -------
        object
            Instance of `kind`.

        Raises
        ------
        ControlError
            If there is no answer, or its status isn't a success.
        """
        return decode_json(await self.send("GET", target), kind)

    def close(self) -> None:
        """Close idle connections."""
        self._http.close()


class PlatformControl(ControlClient):
    """Controls the platform stand-in."""

    async def set_faults(self, faults: PlatformFaults) -> None:
        """Replace the faults in force."""
        await self.send("PUT", "/faults", faults)

    async def clear_faults(self) -> None:
        """End all faults."""
        await self.set_faults(PlatformFaults())

    async def read_usage(self) -> UsageReport:
        """Return the use by client since the last reset."""
        return await self.fetch("/writes", UsageReport)

    async def reset_usage(self) -> None:
        """Reset the counts of the use."""
        await self.send("DELETE", "/writes")

    async def scan_rows(self, prefix: str) -> dict[str, Row]:
        """Read rows of the table, unaffected by the faults in force."""
        answer = await self.fetch(f"/table?prefix={quote(prefix)}", ReadAnswer)
        return {row.key: row for row in answer.rows}

    async def list_instances(self) -> list[InstanceEntry]:
        """Return the current instance list, without faults."""
        return (await self.fetch("/instances", InstanceList)).instances

    async def put_instance(self, entry: InstanceEntry) -> None:
        """Add an instance to the list or replace its entry."""
        await self.send("PUT", f"/instances/{entry.name}", entry)

    async def remove_instance(self, name: str) -> None:
        """Remove an instance from the list."""
        await self.send("DELETE", f"/instances/{name}")

    async def mark_leaving(self, name: str) -> None:
        """Set the state of an instance in the list to ``leaving``."""
        for entry in await self.list_instances():
            if entry.name == name:
                await self.put_instance(replace(entry, state=InstanceState.leaving))
                return
        raise ControlError(f"no instance {name} in the list")


class UpstreamControl(ControlClient):
    """Controls the upstreams of one stand-in process."""

    async def list_reports(self) -> list[UpstreamReport]:
        """Return the counts of each upstream of the process since its start."""
        reports: list[UpstreamReport] = await self.fetch(
            "/upstreams", list[UpstreamReport]
        )
        return reports

    async def read_report(self, name: str) -> UpstreamReport:
        """Return the counts of one upstream since its start."""
        for report in await self.list_reports():
            if report.name == name:
                return report
        raise ControlError(f"no upstream {name} at {self.host}:{self.port}")

    async def set_faults(self, name: str, faults: UpstreamFaults) -> None:
        """Replace the faults of an upstream."""
        await self.send("PUT", f"/upstreams/{name}/faults", faults)

    async def clear_faults(self, name: str) -> None:
        """End all faults of an upstream."""
        await self.set_faults(name, UpstreamFaults())

    async def turn_cold(self, name: str, turn: ColdTurn | None = None) -> None:
        """Start the warm-up of an upstream again without a restart."""
        await self.send("POST", f"/upstreams/{name}/cold", turn or ColdTurn())

    async def silence_open(self, name: str) -> None:
        """Make an upstream stop answering on its open connections."""
        await self.send("POST", f"/upstreams/{name}/silence-open")

    async def stop(self, name: str) -> None:
        """Cut an upstream's connections and stop its listener, as if it had ended."""
        await self.send("POST", f"/upstreams/{name}/stop")

    async def start(self, name: str) -> None:
        """Start a stopped upstream as a new incarnation."""
        await self.send("POST", f"/upstreams/{name}/start")


class ProxyControl(ControlClient):
    """Controls the fault-injecting proxy."""

    async def list_routes(self) -> list[RouteReport]:
        """Return the counts of each route."""
        reports: list[RouteReport] = await self.fetch("/routes", list[RouteReport])
        return reports

    async def set_faults(
        self, route: str, faults: RouteFaults, source: str = ""
    ) -> None:
        """Set the faults of a route, for all sources or for one."""
        await self.send("PUT", f"/routes/{route}/faults/{source}".rstrip("/"), faults)

    async def clear_faults(self, route: str) -> None:
        """End all faults of a route, including those for single sources."""
        await self.set_faults(route, RouteFaults())

    async def cut(self, route: str, source: str = "") -> None:
        """Reset the connections of a route and refuse new ones."""
        await self.set_faults(route, RouteFaults(mode=PassMode.CUT), source)

    async def silence(self, route: str, source: str = "") -> None:
        """Drop all bytes of a route without closing connections."""
        await self.set_faults(route, RouteFaults(mode=PassMode.SILENT), source)

    async def silence_open(self, route: str) -> None:
        """Drop all further bytes of the route's open connections."""
        await self.send("POST", f"/routes/{route}/silence-open")

    async def cut_open(self, route: str) -> None:
        """Reset the route's open connections."""
        await self.send("POST", f"/routes/{route}/cut-open")

    async def set_sources(self, sources: SourceList) -> None:
        """Set the processes for which the proxy can have separate faults."""
        await self.send("PUT", "/sources", sources)
