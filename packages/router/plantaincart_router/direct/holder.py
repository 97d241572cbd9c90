"""Upstreams that hold or may hold keys of one service, present or gone."""

from collections.abc import Iterable

from plantaincart_core.directory import UpstreamRecord
from plantaincart_schema.generated.direct import OwnershipRow

from plantaincart_router.direct.view import SystemView

__all__ = ["UpstreamRegistry"]


class UpstreamRegistry:
    """
    Where upstreams can be reached, also after their announcement has vanished.

    Parameters
    ----------
    service : str
        Name of the service.
    view : SystemView
        What is known of the system.
    """

    def __init__(self, service: str, view: SystemView) -> None:
        self._service = service
        self._view = view
        self._records: dict[tuple[str, int], UpstreamRecord] = {}

    def record_announced(self) -> None:
        """Note all upstreams that are announced now."""
        for record in self._view.directory:
            if record.service == self._service:
                self._records[record.id, record.born] = record

    def load_row(self, row: OwnershipRow) -> None:
        """Take over where an earlier coordinator reached its upstreams."""
        for one in row.ranges:
            for who in ((one.owner, one.born), (one.previous, one.previous_born)):
                host, _, port = row.addresses.get(who[0], "").rpartition(":")
                if host and who not in self._records:
                    self._records[who] = self._make_record(who, host, int(port))

    def _make_record(
        self, who: tuple[str, int], host: str, port: int
    ) -> UpstreamRecord:
        return UpstreamRecord(
            id=who[0],
            born=who[1],
            service=self._service,
            host=host,
            port=port,
            data_centre="",
            slots=1,
            ready=False,
            warmup_left_s=0.0,
        )

    def find(self, upstream: str, born: int) -> UpstreamRecord | None:
        """Return where a process is or was last reached."""
        return self._records.get((upstream, born))

    def find_announced(self, upstream: str, born: int) -> UpstreamRecord | None:
        """Return where a process is reached, if it is announced now."""
        record = self._view.directory.get(upstream)
        if record is not None and record.born == born:
            return record
        return None

    def has_restarted(self, upstream: str, born: int) -> bool:
        """Whether a later process of an upstream shows that this one has ended."""
        record = self._view.directory.get(upstream)
        return record is not None and record.born > born

    def list_addresses(self, who: Iterable[tuple[str, int]]) -> dict[str, str]:
        """Return host and port by upstream, as the store keeps them."""
        known = [self._records[one] for one in who if one in self._records]
        return {one.id: f"{one.host}:{one.port}" for one in known}
