"""The coordinator's notices to the members."""

from collections.abc import Iterable, Mapping, Sequence
from time import monotonic
from typing import Any

from plantaincart_core.ownermap import KeyRange
from plantaincart_schema.generated.direct import (
    CoordinatorNotice,
    MapChange,
    TableChange,
)

from plantaincart_router.direct.clock import read_boot_time
from plantaincart_router.direct.feed import TableFeed
from plantaincart_router.direct.fleetsize import FleetSize
from plantaincart_router.direct.granter import Granter
from plantaincart_router.direct.maphistory import MapHistory
from plantaincart_router.direct.membership import Member, Membership
from plantaincart_router.direct.noticecodec import pack_changes
from plantaincart_router.direct.placement import ServicePlacement
from plantaincart_router.direct.settings import DirectSettings
from plantaincart_router.direct.sharedfact import FactTerm, NoticeScope
from plantaincart_router.direct.term import Term
from plantaincart_router.direct.view import SystemView

__all__ = ["NoticeWriter", "make_change"]

# Seconds for which the encoded whole map is reused. It contains the seconds until
# unowned keys are free, so it becomes outdated even if no owner changes.
WHOLE_MAP_CACHE_S = 0.1


class NoticeWriter:
    """
    Writes notices: the map of owners, relayed tables, and all shared facts.

    Parameters
    ----------
    settings : DirectSettings
        Settings of the instance.
    view : SystemView
        State of the system as this instance knows it.
    term : Term
        Term of the coordinator.
    members : Membership
        Live instances.
    fleet_size : FleetSize
        Number of instances that the notices state.
    granter : Granter
        Tells for how long keys are granted.
    placements : mapping of str to ServicePlacement
        Placements by service; those that are added later are used too.
    feeds : sequence of TableFeed
        Feeds of the tables whose changes are relayed.
    fact_terms : iterable of FactTerm
        Facts that are told to the members.

    Attributes
    ----------
    map_history : MapHistory
        Changes of the map of owners.
    is_map_known : bool
        Whether the stored owners have been adopted, so that the map may be told.
    """

    def __init__(
        self,
        settings: DirectSettings,
        view: SystemView,
        term: Term,
        members: Membership,
        fleet_size: FleetSize,
        granter: Granter,
        placements: Mapping[str, ServicePlacement],
        feeds: Sequence[TableFeed],
        fact_terms: Iterable[FactTerm],
    ) -> None:
        self._settings = settings
        self._view = view
        self._term = term
        self._members = members
        self._fleet_size = fleet_size
        self._granter = granter
        self._placements = placements
        self._feeds = feeds
        self._fact_terms = tuple(fact_terms)
        self._cached_map = (-1, float("-inf"), b"")
        self.map_history = MapHistory()
        self.is_map_known = False

    def write(
        self, name: str, answers_report: bool = False, resigned: bool = False
    ) -> CoordinatorNotice:
        """
        Write a notice.

        Parameters
        ----------
        name : str
            Name of the receiver.
        answers_report : bool
            Whether the notice answers a report of the receiver.
        resigned : bool
            Whether the term has ended.

        Returns
        -------
        CoordinatorNotice
            Notice with what the receiver doesn't know yet.
        """
        member = self._members.get(name)
        changes: list[MapChange] | None = []
        map_after = -1
        tables: list[TableChange] = []
        fields: dict[str, Any] = {}
        if member is not None:
            scope = NoticeScope(
                member=member,
                now=monotonic(),
                answers_report=answers_report,
                resigned=resigned,
            )
            for term in self._fact_terms:
                fields |= term.describe(scope)
            if self.is_map_known:
                map_after = member.find_map_version(self._term.epoch)
                changes = self.map_history.list_since(map_after)
            tables = self._list_table_changes(member)
            if changes is None or changes:
                member.record_map_sent(self.map_history.version, changes is None)
        return CoordinatorNotice(
            coordinator=self._term.holder,
            epoch=self._term.epoch,
            sent_at=read_boot_time(),
            members=self._fleet_size.count(),
            rank=self._members.find_rank(name),
            map_version=self.map_history.version,
            complete=changes is None,
            map_after=map_after if changes else -1,
            resigned=resigned,
            hold_s=self._granter.grant_duration_s,
            doubt=self._term.store_unreachable,
            changes=changes or [],
            packed_changes=self._pack_map() if changes is None else None,
            tables=tables,
            removals_wait_s=self._view.directory.removal_delay_s(monotonic()),
            **fields,
        )

    def _list_table_changes(self, member: Member) -> list[TableChange]:
        """Describe the table changes that the member doesn't have yet."""
        changes: list[TableChange] = []
        if self._term.store_unreachable:
            # The feeds notice an outage later than the term, and would report the
            # tables as up to date until then.
            return changes
        # Whole tables of a large fleet would fill a slow link for seconds.
        may_send_table = self._settings.resources.shortage == 0.0
        for feed in self._feeds:
            version = member.find_table_version(feed.table)
            change = feed.describe_since(version, may_send_table)
            if change is not None:
                changes.append(change)
        member.record_tables_sent({change.table: change.version for change in changes})
        return changes

    def _pack_map(self) -> bytes:
        """Return the encoded whole map; encode it if the cached one is outdated."""
        now = monotonic()
        version, packed_at, packed = self._cached_map
        if version != self.map_history.version or now - packed_at > WHOLE_MAP_CACHE_S:
            packed = pack_changes(self._list_map_entries())
            self._cached_map = (self.map_history.version, now, packed)
        return packed

    def _list_map_entries(self) -> list[MapChange]:
        return [
            make_change(service, key_range, free_in_s)
            for service, placement in self._placements.items()
            for key_range, free_in_s in placement.describe_map()
        ]


def make_change(service: str, key_range: KeyRange, free_in_s: float) -> MapChange:
    """
    Describe the owner of a key range to the members.

    Parameters
    ----------
    service : str
        Name of the service.
    key_range : KeyRange
        Keys with their owner; without one while they move.
    free_in_s : float
        Seconds until unowned keys should get an owner; 0 if that isn't known.
    """
    return MapChange(
        service=service,
        first=key_range.first,
        last=key_range.last,
        owner=key_range.owner,
        born=key_range.born,
        fence=key_range.fence,
        free_in_s=round(free_in_s, 2),
    )
