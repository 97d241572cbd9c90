"""Longest wait by rank at an owner of keys that is short of room."""

from collections.abc import Iterator
from dataclasses import dataclass

from plantaincart_core.rank import Rank

__all__ = ["WaitBounds"]

# Seconds for which a route is taken to go on sending after a request.
MEMORY_S = 2.0
# Share of the queue that more urgent requests can bear, up to which others may join it.
# The rest is free when they arrive.
QUEUE_SHARE = 0.5
# Share of the requests put back by more urgent ones that are admitted all the same,
# relative to that of all requests.
FLOOR_SHARE = 0.25
# Weight of a request in the share of all that are admitted.
SHARE_WEIGHT = 0.02


@dataclass(frozen=True, slots=True)
class _Need:
    """What the last request of a route needed, and when it came."""

    target_s: float
    work_s: float
    at: float


class WaitBounds:
    """
    Keeps the queue at a short owner within what more urgent requests can bear.

    Notes
    -----
    A request is admitted up to the queue that its own target allows. Less urgent ones
    with a longer target would fill the queue beyond what more urgent ones can wait for,
    and get all of the owner. So a request joins the queue only up to half of what any
    more urgent one seen lately could bear. No rank starves: of those that are put back
    by this, `FLOOR_SHARE` of the share that all would get without ranks are admitted.

    Examples
    --------
    >>> bounds = WaitBounds()
    >>> bounds.record("desk", "lookup", Rank(0, 0), 0.5, work_s=0.1, now=0.0)
    >>> bounds.find_longest_s("desk", Rank(0, 2), 1.0, slowness=1.0, now=0.1)
    0.2
    >>> bounds.find_longest_s("desk", Rank(0, 0), 1.0, slowness=1.0, now=0.1)
    inf
    >>> bounds.admits("desk", Rank(0, 2), 0.2, 1.0, slowness=1.0, now=0.1)
    True
    >>> waits_s = [0.6] * 5
    >>> [bounds.admits("desk", Rank(0, 2), wait, 1.0, 1.0, 0.1) for wait in waits_s]
    [False, False, False, False, True]
    """

    def __init__(self) -> None:
        self._needs: dict[str, dict[tuple[Rank, str], _Need]] = {}
        self._credits: dict[tuple[str, Rank], float] = {}
        self._admitted_shares: dict[str, float] = {}

    def record(
        self,
        service: str,
        route: str,
        rank: Rank,
        target_s: float,
        work_s: float,
        now: float,
    ) -> None:
        """
        Record a request.

        Parameters
        ----------
        service, route : str
            Service that it competes for, and its route.
        rank : Rank
            Its rank.
        target_s : float
            Latency objective of its route in seconds.
        work_s : float
            Expected duration in seconds at a usual owner.
        now : float
            Present time in seconds.
        """
        needs = self._needs.setdefault(service, {})
        needs[(rank, route)] = _Need(target_s, work_s, now)

    def find_longest_s(
        self,
        service: str,
        rank: Rank,
        latency_share: float,
        slowness: float,
        now: float,
    ) -> float:
        """
        Return the longest wait at which more urgent requests still find a place.

        Parameters
        ----------
        service : str
            Service that a request competes for.
        rank : Rank
            Its rank.
        latency_share : float
            Longest latency as a multiple of the objective.
        slowness : float
            Duration of requests at the owner relative to the expected one.
        now : float
            Present time in seconds.

        Returns
        -------
        float
            Seconds; infinite if none was seen lately.
        """
        return min(
            (
                QUEUE_SHARE
                * max(0.0, latency_share * need.target_s - slowness * need.work_s)
                for need in self._list_more_urgent(service, rank, now)
            ),
            default=float("inf"),
        )

    def admits(
        self,
        service: str,
        rank: Rank,
        wait_s: float,
        latency_share: float,
        slowness: float,
        now: float,
    ) -> bool:
        """
        Return whether a request whose own target allows it joins the queue.

        Parameters
        ----------
        service : str
            Service that it competes for.
        rank : Rank
            Its rank.
        wait_s : float
            Seconds that it would wait.
        latency_share : float
            Longest latency as a multiple of the objective.
        slowness : float
            Duration of requests at the owner relative to the expected one.
        now : float
            Present time in seconds.
        """
        longest_s = self.find_longest_s(service, rank, latency_share, slowness, now)
        is_admitted = wait_s <= longest_s or self._is_due(service, rank)
        self.record_end(service, is_admitted)
        return is_admitted

    def record_end(self, service: str, is_admitted: bool) -> None:
        """Record whether a request was admitted to a short owner."""
        share = self._admitted_shares.get(service, 1.0)
        share += SHARE_WEIGHT * (is_admitted - share)
        self._admitted_shares[service] = share

    def _is_due(self, service: str, rank: Rank) -> bool:
        """Count a request that is put back; return whether it is admitted still."""
        key = (service, rank)
        floor = FLOOR_SHARE * self._admitted_shares.get(service, 1.0)
        credit = self._credits.get(key, 0.0) + floor
        is_due = credit >= 1.0
        self._credits[key] = credit - is_due
        return is_due

    def _list_more_urgent(
        self, service: str, rank: Rank, now: float
    ) -> Iterator[_Need]:
        needs = self._needs.get(service, {})
        for key in [key for key, need in needs.items() if now - need.at > MEMORY_S]:
            del needs[key]
        return (need for (other, _), need in needs.items() if other < rank)
