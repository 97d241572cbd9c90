"""Requests by rank, and the share of each that all instances admit."""

from collections.abc import Iterable, Mapping
from copy import copy
from typing import Any, Self

from plantaincart_core.directory import UpstreamDirectory, UpstreamRecord
from plantaincart_core.rank import Rank
from plantaincart_core.rankcut import SHORT_BUSY_SHARE, STEP_S, RankCount, RankCut
from plantaincart_core.upstreamload import UpstreamLoads
from plantaincart_schema.generated.direct import (
    CoordinatorNotice,
    RankReport,
    RankShare,
)

from plantaincart_router.direct.membership import Member, Membership
from plantaincart_router.direct.sharedfact import FactTerm, NoticeScope, SharedFact
from plantaincart_router.log import write_event

__all__ = ["RankFact"]

# Seconds without a notice after which an instance goes by its own sums.
SILENCE_S = 1.0
# Seconds for which all members report their requests after some were turned away.
WATCH_S = 2.0

ServiceRank = tuple[str, Rank]


class RankFact(SharedFact):
    """
    Shares an instance's requests by rank, and knows the shares to admit.

    Parameters
    ----------
    loads : UpstreamLoads
        Loads that this instance knows.
    directory : UpstreamDirectory
        Announced upstreams.

    Notes
    -----
    While the coordinator is silent, the last shares hold for `SILENCE_S`. Then the
    instance goes on by its own sums for the services that were short. They hold as long
    beside notices of a later coordinator that knows no sums yet.
    """

    needs_map = False

    def __init__(self, loads: UpstreamLoads, directory: UpstreamDirectory) -> None:
        self._loads = loads
        self._directory = directory
        self._counts: dict[ServiceRank, RankCount] = {}
        self._is_watched = False
        self._told: dict[str, dict[Rank, float]] = {}
        self._told_at = float("-inf")
        self._told_epoch = 0
        self._own: dict[str, RankCut] = {}

    def copy(self) -> Self:
        """Return a copy that counts requests apart; own sums stay as they are."""
        copied = copy(self)
        copied._counts, copied._own = {}, {}
        copied._told = dict(self._told)
        return copied

    def record(self, service: str, rank: Rank, count: RankCount) -> None:
        """Count requests of a service and rank."""
        key = (service, rank)
        self._counts[key] = self._counts.get(key, RankCount()) + count
        own = self._own.get(service)
        if own is not None:
            own.record(rank, count)

    def find_share(self, service: str, rank: Rank, now: float) -> float:
        """
        Return the share of requests that may be admitted.

        Parameters
        ----------
        service : str
            Service that the requests compete for.
        rank : Rank
            Rank of the requests.
        now : float
            Present time in seconds.

        Returns
        -------
        float
            From 0 to 1.
        """
        told = self._told.get(service)
        if told is None:
            return 1.0
        if now - self._told_at <= SILENCE_S:
            return told.get(rank, 1.0)
        own = self._own.get(service)
        if own is None:
            own = self._own[service] = RankCut()
        # What others have at the upstreams isn't known now.
        if own.update(now, busy_share=float(own.has_refused)):
            self._told[service] = told = dict(own.shares)
            write_event("rank_cut_own", service=service, shares=_format(told))
        return told.get(rank, 1.0)

    def describe(self, now: float, is_newly_connected: bool) -> Mapping[str, Any]:
        """Report the requests since the last report, if they matter."""
        counts, self._counts = self._counts, {}
        is_short = any(count.cut or count.refused for count in counts.values())
        if not self._is_watched and not is_short:
            return {}
        return {
            "ranks": [
                RankReport(
                    service=service,
                    account=rank.account,
                    route=rank.route,
                    asked=count.asked,
                    cut=count.cut,
                    served=count.served,
                    refused=count.refused,
                )
                for (service, rank), count in counts.items()
            ]
        }

    def apply(self, notice: CoordinatorNotice, now: float) -> None:
        """Adopt the shares of a notice."""
        if notice.resigned:
            return
        shares: dict[str, dict[Rank, float]] = {}
        for item in notice.rank_shares:
            rank = Rank(item.account, item.route)
            shares.setdefault(item.service, {})[rank] = item.share
        self._is_watched = notice.watch_ranks
        is_later = notice.epoch != self._told_epoch
        if is_later and not shares and now - self._told_at <= SILENCE_S:
            return
        self._told_epoch = notice.epoch
        self._told, self._told_at = shares, now
        self._own.clear()

    def open_term(self, members: Membership) -> FactTerm:
        """Return the coordinator's side, which finds a cut that stands by reports."""
        return _RankTerm(self._loads, self._directory)

    def forget_upstream(self, record: UpstreamRecord, now: float) -> None:
        """Keep everything, since nothing concerns a single upstream."""


class _RankTerm(FactTerm):
    def __init__(self, loads: UpstreamLoads, directory: UpstreamDirectory) -> None:
        self._loads = loads
        self._directory = directory
        self._cuts: dict[str, RankCut] = {}
        self._watched_until = float("-inf")
        self._busy: dict[str, float] = {}
        self._busy_at = float("-inf")

    def record_report(self, member: Member, now: float) -> bool:
        for item in member.report.ranks:
            if item.cut or item.refused:
                self._watched_until = now + WATCH_S
            cut = self._cuts.get(item.service)
            if cut is None:
                cut = self._cuts[item.service] = RankCut()
                cut.update(now, 0.0)
            cut.record(
                Rank(item.account, item.route),
                RankCount(
                    asked=item.asked,
                    cut=item.cut,
                    served=item.served,
                    refused=item.refused,
                ),
            )
        return self._update(now)

    def describe(self, scope: NoticeScope) -> Mapping[str, Any]:
        if scope.resigned or not self._is_watched(scope.now):
            return {}
        shares = [
            RankShare(
                service=service,
                account=rank.account,
                route=rank.route,
                share=round(share, 3),
            )
            for service, cut in self._cuts.items()
            for rank, share in cut.shares.items()
        ]
        return {"watch_ranks": True, "rank_shares": shares}

    def retain(self, members: Iterable[str]) -> None:
        """Keep everything, since reports count once."""

    def _update(self, now: float) -> bool:
        """Compute the shares; return whether a cut has begun or ended."""
        if not self._is_watched(now):
            self._cuts.clear()
            return False
        has_changed = False
        for service, cut in self._cuts.items():
            had_cut = bool(cut.shares)
            if not cut.update(now, self._busy.get(service, 0.0)):
                continue
            if cut.shares or had_cut:
                write_event("rank_cut", service=service, shares=_format(cut.shares))
            has_changed |= bool(cut.shares) != had_cut
        return has_changed

    def _is_watched(self, now: float) -> bool:
        if now - self._busy_at >= STEP_S:
            self._busy = self._measure_busy(now)
            self._busy_at = now
        is_busy = any(share >= SHORT_BUSY_SHARE for share in self._busy.values())
        return is_busy or now < self._watched_until

    def _measure_busy(self, now: float) -> dict[str, float]:
        """Return the share of occupied concurrency slots by service."""
        occupied: dict[str, float] = {}
        slots: dict[str, int] = {}
        for record in self._directory:
            if not self._directory.accepts_requests(record):
                continue
            load = self._loads.get(record.id)
            running = min(
                record.slots, load.estimate_in_flight(now, self._loads.settings)
            )
            occupied[record.service] = occupied.get(record.service, 0.0) + running
            slots[record.service] = slots.get(record.service, 0) + record.slots
        return {name: occupied[name] / max(1, slots[name]) for name in slots}


def _format(shares: Mapping[Rank, float]) -> str:
    return " ".join(
        f"{rank.account}/{rank.route}:{share:.2f}"
        for rank, share in sorted(shares.items())
    )
