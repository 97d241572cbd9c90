"""Addresses of the processes that own or may own keys of one service."""

from collections.abc import Iterable

from plantaincart_core.directory import UpstreamRecord
from plantaincart_schema.generated.direct import OwnershipRow

from plantaincart_router.direct.view import SystemView

__all__ = ["UpstreamRegistry"]


class UpstreamRegistry:
    """
    Upstreams by id and process start, also after their announcement was removed.

    Parameters
    ----------
    service : str
        Name of the service.
    view : SystemView
        State of the system as this instance knows it.
    """

    def __init__(self, service: str, view: SystemView) -> None:
        self._service = service
        self._view = view
        self._records: dict[tuple[str, int], UpstreamRecord] = {}

    def record_announced(self) -> None:
        """Add all upstreams that are announced at present."""
        for record in self._view.directory:
            if record.service == self._service:
                self._records[record.id, record.born] = record

    def load_row(self, row: OwnershipRow) -> None:
        """Add the upstreams of a row that the previous coordinator stored."""
        for stored in row.ranges:
            for process in (
                (stored.owner, stored.born),
                (stored.previous, stored.previous_born),
            ):
                host, _, port = row.addresses.get(process[0], "").rpartition(":")
                if host and process not in self._records:
                    self._records[process] = self._make_record(process, host, int(port))

    def _make_record(
        self, process: tuple[str, int], host: str, port: int
    ) -> UpstreamRecord:
        return UpstreamRecord(
            id=process[0],
            born=process[1],
            service=self._service,
            host=host,
            port=port,
            data_centre="",
            slots=1,
            ready=False,
            warmup_left_s=0.0,
        )

    def find(self, upstream: str, born: int) -> UpstreamRecord | None:
        """Return the latest record of a process, or None."""
        return self._records.get((upstream, born))

    def find_announced(self, upstream: str, born: int) -> UpstreamRecord | None:
        """Return the record of a process if it is announced at present."""
        record = self._view.directory.get(upstream)
        if record is not None and record.born == born:
            return record
        return None

    def find_later(self, upstream: str, born: int) -> UpstreamRecord | None:
        """Return the announced later process under the same id, or None."""
        record = self._view.directory.get(upstream)
        return record if record is not None and record.born > born else None

    def list_addresses(self, processes: Iterable[tuple[str, int]]) -> dict[str, str]:
        """
        Return host and port by upstream id, in the form that is stored.

        That of the latest process counts, since those before it have ended.
        """
        records = [
            self._records[process]
            for process in sorted(processes)
            if process in self._records
        ]
        return {record.id: f"{record.host}:{record.port}" for record in records}
