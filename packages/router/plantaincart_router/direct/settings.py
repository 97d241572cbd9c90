"""Settings of an instance that sends requests straight to upstreams."""

from dataclasses import dataclass, field

from plantaincart_core.choice import ChoiceSettings
from plantaincart_core.keymove import SpreadSettings
from plantaincart_core.upstreamload import LoadSettings

__all__ = [
    "AdmissionSettings",
    "BoundSettings",
    "CoordinationSettings",
    "DirectSettings",
    "FeedSettings",
    "ResourceSettings",
    "SendSettings",
]


@dataclass(frozen=True, kw_only=True, slots=True)
class BoundSettings:
    """
    Bounds that operators have agreed with their users.

    Parameters
    ----------
    drain_s : float
        Seconds after which a leaving upstream must get no more requests.
    evacuate_s : float
        The same for the upstreams of a data centre taken out of service.
    plan_s : float
        Seconds after which a new traffic plan must be in force.
    shutdown_grace_s : float
        Seconds between SIGTERM and SIGKILL.
    retry_ratio, retry_extra : float
        Repeats allowed for each request, and besides, of all instances together.
    retry_window_s : float
        Seconds over which repeats are counted.
    cold_ratio, cold_extra : float
        Factor of, and requests above, what a cold upstream bears a second.
    max_hold_s : float
        Longest time in seconds for which keys may be granted.
    """

    drain_s: float = 2.0
    evacuate_s: float = 5.0
    plan_s: float = 2.0
    shutdown_grace_s: float = 6.0
    retry_ratio: float = 0.2
    retry_extra: float = 60.0
    retry_window_s: float = 10.0
    cold_ratio: float = 1.5
    cold_extra: float = 5.0
    max_hold_s: float = 10.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ResourceSettings:
    """
    What an instance's machine gives it.

    Parameters
    ----------
    cores : float
        Processor cores, with parts of them.
    link_mbps : float
        Speed of its network link in Mbit/s.
    wanted_cores, wanted_link_mbps : float
        What a coordinator of some 80 instances and 120 upstreams takes without being
        slowed down: 300 reports and 400 grants a second, and maps of 40 kB for all.
    """

    cores: float = 1.0
    link_mbps: float = 1000.0
    wanted_cores: float = 0.8
    wanted_link_mbps: float = 50.0

    @property
    def weakness(self) -> float:
        """
        Part of what a coordinator needs that is missing, from 0 to 1.

        Examples
        --------
        >>> ResourceSettings(cores=0.86).weakness
        0.0
        >>> ResourceSettings(cores=0.4, link_mbps=5.0).weakness
        0.9
        """
        missing_cores = 1.0 - self.cores / self.wanted_cores
        missing_link = 1.0 - self.link_mbps / self.wanted_link_mbps
        return max(0.0, missing_cores, missing_link)


@dataclass(frozen=True, kw_only=True, slots=True)
class FeedSettings:
    """
    How the store's tables are followed; each call is charged for.

    Parameters
    ----------
    wait_s : float
        Seconds after which a call that finds no change ends.
    lead_wait_s : float
        The same for the coordinator, through which the others follow the tables; a
        connection that has gone silent must be noticed within the bounds.
    relay_lasts_s : float
        Seconds after the coordinator's last notice in which the store isn't asked;
        three intervals between notices.
    relay_fresh_s : float
        Longest time in seconds since the store answered the coordinator; then each
        instance asks for itself. Above `lead_wait_s`, and below half of the shortest
        bound on taking changes over.
    gather_s : float
        Least time in seconds from a change to the next call, which brings all
        changes made meanwhile.
    member_gather_s : float
        Seconds by which that time grows with each live instance, so that the calls
        of all instances together stay at some 55 a second while much changes.
    bound_share : float
        Longest such time, as a part of the shortest bound on taking changes over.
    """

    wait_s: float = 8.0
    lead_wait_s: float = 0.5
    relay_lasts_s: float = 0.75
    relay_fresh_s: float = 1.0
    gather_s: float = 0.2
    member_gather_s: float = 0.018
    bound_share: float = 0.4

    def choose_gather_s(self, members: int, bounds: BoundSettings) -> float:
        """
        Choose how long changes are gathered.

        Parameters
        ----------
        members : int
            Live instances.
        bounds : BoundSettings
            Bounds that must be kept all the same.

        Returns
        -------
        float
            Seconds.

        Examples
        --------
        >>> settings, bounds = FeedSettings(), BoundSettings(drain_s=2.5, plan_s=2.5)
        >>> [settings.choose_gather_s(count, bounds) for count in (3, 20, 80)]
        [0.2, 0.36, 1.0]
        """
        shortest_s = min(bounds.drain_s, bounds.evacuate_s, bounds.plan_s)
        wanted_s = max(self.gather_s, self.member_gather_s * members)
        return min(wanted_s, max(self.gather_s, self.bound_share * shortest_s))


@dataclass(frozen=True, kw_only=True, slots=True)
class SendSettings:
    """
    How requests travel to upstreams.

    Parameters
    ----------
    connect_timeout_s : float
        Seconds that opening a connection may take.
    fresh_s : float
        Longest silence in seconds after which a kept connection still carries a
        request that may run once only.
    keep_s : float
        Seconds that an idle connection is kept if the upstream names no time.
    park_s : float
        Longest time in seconds that a request waits for keys that change hands.
    handover_s : float
        Seconds without an owner after which a range isn't taken to be in a handover
        any more, so that requests for it are refused at once.
    least_left_s : float
        Time left in seconds below which nothing is sent any more.
    retry_budget_share : float
        Part of the retry budget that is used; the rest is for instances that have
        joined or gone unnoticed.
    """

    connect_timeout_s: float = 0.3
    fresh_s: float = 2.0
    keep_s: float = 8.0
    park_s: float = 1.5
    handover_s: float = 1.0
    least_left_s: float = 0.02
    retry_budget_share: float = 0.6


@dataclass(frozen=True, kw_only=True, slots=True)
class AdmissionSettings:
    """
    When a request is refused since it would wait too long.

    Parameters
    ----------
    wait_shares : tuple of float
        Longest expected time until the answer, as a part of the route's target, by
        the route's rank; ranks beyond the last count as the last.
    standing_shares : tuple of float
        The same at an upstream that has had no free slot for a while. Whatever waits
        there makes all later requests wait as long, so that all would come late.
    least_retry_s, most_retry_s : float
        Bounds in seconds of what callers are told to wait.
    """

    wait_shares: tuple[float, ...] = (2.2, 1.8, 1.5)
    standing_shares: tuple[float, ...] = (1.2, 1.1, 1.0)
    least_retry_s: float = 0.1
    most_retry_s: float = 2.0

    def choose_share(self, rank: int, standing: bool) -> float:
        """
        Choose how long a request may wait, as a part of its route's target.

        Parameters
        ----------
        rank : int
            Rank of the route; 0 is the most urgent.
        standing : bool
            Whether its upstream has had no free slot for a while.

        Returns
        -------
        float
            Share of the target.

        Examples
        --------
        >>> AdmissionSettings().choose_share(0, standing=False)
        2.2
        >>> AdmissionSettings().choose_share(7, standing=True)
        1.0
        """
        shares = self.standing_shares if standing else self.wait_shares
        return shares[min(rank, len(shares) - 1)]


@dataclass(frozen=True, kw_only=True, slots=True)
class CoordinationSettings:
    """
    Times of the coordinator and of the instances that follow it.

    Parameters
    ----------
    report_s : float
        Seconds between the reports of an instance.
    silent_s : float
        Seconds without a notice after which the coordinator is suspected.
    beat_s : float
        Seconds between renewals of the coordinator's row.
    unchanged_s : float
        Seconds for which the row must be seen unchanged before a takeover.
    confirmed_s : float
        Seconds after its last confirmed renewal for which the coordinator acts.
    reached_s : float
        Seconds since the store's last answer for which an instance reaches it.
    candidate_s : float
        Longest random delay in seconds before a candidate writes, so that one wins
        alone.
    weak_candidate_s : float
        Further delay in seconds of the weakest candidates, so that others go first.
    offline_s : float
        As `confirmed_s`, while all instances report that they don't reach the store.
    probes_per_s : float
        Calls a second by which all instances together try a store that doesn't answer
        the coordinator; each call is charged for.
    member_s : float
        Seconds after its last report for which an instance counts as live.
    hold_s : float
        Seconds for which keys are granted.
    renew_s : float
        Seconds between renewals of a grant.
    call_timeout_s : float
        Seconds that a grant may take.
    release_timeout_s : float
        Seconds that a release may take; it waits for the work under way.
    clock_drift : float
        Part by which an upstream's clock may run slow.
    hold_margin_s : float
        Seconds added before keys of an upstream out of reach count as free.
    rebalance_s : float
        Seconds between looks at the balance.
    load_memory_s : float
        Seconds over which the load of a key is averaged.
    """

    report_s: float = 0.25
    silent_s: float = 0.7
    beat_s: float = 0.5
    unchanged_s: float = 1.2
    confirmed_s: float = 2.0
    reached_s: float = 0.5
    candidate_s: float = 0.15
    weak_candidate_s: float = 0.5
    offline_s: float = 30.0
    probes_per_s: float = 8.0
    member_s: float = 1.5
    hold_s: float = 3.0
    renew_s: float = 0.75
    call_timeout_s: float = 0.4
    release_timeout_s: float = 2.5
    clock_drift: float = 0.02
    hold_margin_s: float = 0.3
    rebalance_s: float = 0.4
    load_memory_s: float = 2.5


@dataclass(frozen=True, kw_only=True, slots=True)
class DirectSettings:
    """
    All settings of one instance.

    Parameters
    ----------
    name, data_centre : str
        This instance.
    host : str
        IP address of this instance.
    front_port, ready_port, peer_port : int
        TCP ports for callers, for the readiness check and for other instances.
    metrics_port : int
        TCP port of the metrics.
    """

    name: str
    data_centre: str
    host: str
    front_port: int
    ready_port: int
    peer_port: int
    metrics_port: int = 9464
    bounds: BoundSettings = field(default_factory=BoundSettings)
    resources: ResourceSettings = field(default_factory=ResourceSettings)
    feed: FeedSettings = field(default_factory=FeedSettings)
    send: SendSettings = field(default_factory=SendSettings)
    choice: ChoiceSettings = field(default_factory=ChoiceSettings)
    admission: AdmissionSettings = field(default_factory=AdmissionSettings)
    coordination: CoordinationSettings = field(default_factory=CoordinationSettings)
    load: LoadSettings = field(default_factory=LoadSettings)
    spread: SpreadSettings = field(default_factory=SpreadSettings)
