"""Settings of an instance on the direct path."""

from dataclasses import dataclass, field, replace

from plantaincart_core.choice import ChoiceSettings
from plantaincart_core.keymove import KeyBalanceSettings
from plantaincart_core.room import RoomSettings
from plantaincart_core.upstreamload import LoadSettings
from plantaincart_core.waitingorder import QueueBounds

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
        Seconds after which a draining upstream must get no more requests.
    evacuate_s : float
        The same for the upstreams of a data centre taken out of service.
    plan_s : float
        Seconds after which a new routing configuration must be in force.
    shutdown_grace_s : float
        Seconds between SIGTERM and SIGKILL.
    retry_ratio, retry_extra : float
        Retries of all instances together within `retry_window_s`: at most the ratio
        times the requests, plus the extra.
    retry_window_s : float
        Seconds over which requests and retries are counted.
    cold_ratio, cold_extra : float
        A cold upstream may get its announced requests per second times the ratio, plus
        the extra.
    max_hold_s : float
        Maximum grant duration in seconds.
    quota_window_s : float
        Seconds over which the requests of a client account are counted.
    quota_overage, quota_extra : float
        Requests of an account at all instances together within the window: at most
        those of its quota times one plus the overage, plus the extra.
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
    quota_window_s: float = 5.0
    quota_overage: float = 0.1
    quota_extra: float = 20.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ResourceSettings:
    """
    Resources of the machine that an instance runs on.

    Parameters
    ----------
    cores : float
        Number of processor cores; may be a fraction.
    link_mbps : float
        Speed of its network link in Mbit/s.
    memory_mb : float
        Memory in MB above which the process is ended; 0 if it isn't known.
    wanted_cores, wanted_link_mbps : float
        Resources with which a coordinator isn't slowed down. They suffice for some 80
        instances and 120 upstreams: 300 reports and 400 grants per second, and whole
        maps of 40 kB for all instances.
    """

    cores: float = 1.0
    link_mbps: float = 1000.0
    memory_mb: float = 0.0
    wanted_cores: float = 0.8
    wanted_link_mbps: float = 50.0

    @property
    def shortage(self) -> float:
        """
        Missing fraction of the resources that a coordinator needs, from 0 to 1.

        Examples
        --------
        >>> ResourceSettings(cores=0.86).shortage
        0.0
        >>> ResourceSettings(cores=0.4, link_mbps=5.0).shortage
        0.9
        """
        missing_cores = 1.0 - self.cores / self.wanted_cores
        missing_link = 1.0 - self.link_mbps / self.wanted_link_mbps
        return max(0.0, missing_cores, missing_link)


@dataclass(frozen=True, kw_only=True, slots=True)
class FeedSettings:
    """
    How the store's tables are followed. Each call to the store is billed.

    Parameters
    ----------
    wait_s : float
        Seconds after which a call for changes returns without any.
    lead_wait_s : float
        The same at the coordinator, which relays the changes to the others. It must
        notice a connection that has fallen silent within the bounds.
    relay_lasts_s : float
        Seconds after the coordinator's last notice for which an instance doesn't call
        the store; three intervals between notices.
    relay_fresh_s : float
        Maximum age in seconds of the store's last answer to the coordinator. Beyond it
        each instance calls the store itself. Must be above `lead_wait_s`, and below
        half of the shortest bound on adopting changes.
    gather_s : float
        Minimum time in seconds from a change to the next call, which returns all
        changes made meanwhile.
    member_gather_s : float
        Seconds per live instance by which that time grows, so that all instances
        together make some 55 calls per second at most while there are many changes.
    bound_share : float
        Maximum of that time, as a fraction of the shortest bound on adopting changes;
        and `relay_lasts_s` if that is longer.
    fresh_share : float
        `relay_fresh_s` as the same fraction, if that is longer.
    first_read_s : float
        Seconds after its start for which an instance waits for whole tables from the
        coordinator before it reads them from the store.
    """

    wait_s: float = 8.0
    lead_wait_s: float = 0.5
    relay_lasts_s: float = 0.75
    relay_fresh_s: float = 1.0
    gather_s: float = 0.2
    member_gather_s: float = 0.018
    bound_share: float = 0.4
    fresh_share: float = 0.48
    first_read_s: float = 1.0

    def adapt(self, bounds: BoundSettings) -> "FeedSettings":
        """
        Choose how long relayed changes are relied on, by the bounds on adopting them.

        A takeover then needs no calls of all instances.

        Parameters
        ----------
        bounds : BoundSettings
            Bounds on adopting changes.

        Examples
        --------
        >>> adapted = FeedSettings().adapt(BoundSettings(drain_s=3.0, plan_s=3.0))
        >>> round(adapted.relay_lasts_s, 2), round(adapted.relay_fresh_s, 2)
        (1.2, 1.44)
        >>> FeedSettings().adapt(BoundSettings(drain_s=1.5)).relay_fresh_s
        1.0
        """
        shortest_s = min(bounds.drain_s, bounds.evacuate_s, bounds.plan_s)
        return replace(
            self,
            relay_lasts_s=max(self.relay_lasts_s, self.bound_share * shortest_s),
            relay_fresh_s=max(self.relay_fresh_s, self.fresh_share * shortest_s),
        )

    def choose_gather_s(self, members: int, bounds: BoundSettings) -> float:
        """
        Choose for how long changes are batched.

        Parameters
        ----------
        members : int
            Number of live instances.
        bounds : BoundSettings
            Bounds on adopting changes, which limit the result.

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
    How requests are sent to upstreams.

    Parameters
    ----------
    connect_timeout_s : float
        Timeout in seconds for opening a connection.
    fresh_s : float
        Maximum time in seconds since the last answer on an idle connection for which it
        is reused for a non-idempotent request.
    keep_s : float
        Seconds for which an idle connection is kept if the upstream announces no idle
        timeout.
    park_s : float
        Maximum time in seconds for which a request is parked.
    handover_s : float
        Seconds after which an unowned key range is no longer assumed to be moving, so
        that requests for it are rejected at once.
    least_left_s : float
        Remaining time in seconds below which a request isn't sent any more.
    retry_budget_share : float
        Fraction of the retry budget that is used. The rest covers instances that have
        joined or left without being counted yet.
    max_answer_bytes : int
        Maximum size in bytes of the body of an upstream's answer. A larger one is given
        up; the caller is told that the request may have run.
    max_buffered_bytes : int
        Maximum size in bytes of all incomplete answers of upstreams together. Above it
        the largest one is given up.
    """

    connect_timeout_s: float = 0.3
    fresh_s: float = 2.0
    keep_s: float = 8.0
    park_s: float = 1.5
    handover_s: float = 1.0
    least_left_s: float = 0.02
    retry_budget_share: float = 0.6
    max_answer_bytes: int = 16777216
    max_buffered_bytes: int = 67108864


@dataclass(frozen=True, kw_only=True, slots=True)
class AdmissionSettings:
    """
    When a request is rejected because it would wait too long.

    Parameters
    ----------
    wait_shares : tuple of float
        Maximum expected time until the answer, as a fraction of the route's target, by
        the route's rank. The last value also applies to all further ranks.
    standing_shares : tuple of float
        The same at an upstream with a standing queue. Requests queued there delay all
        later ones by the same time, so that all answers would be late.
    least_retry_s, most_retry_s : float
        Bounds in seconds of the retry delay that callers are sent.
    cuts_by_rank : bool
        Whether all instances admit the same share of each rank while a service is
        short of room.
    """

    wait_shares: tuple[float, ...] = (2.2, 1.8, 1.5)
    standing_shares: tuple[float, ...] = (1.2, 1.1, 1.0)
    least_retry_s: float = 0.1
    most_retry_s: float = 2.0
    cuts_by_rank: bool = False

    def choose_share(self, rank: int, standing: bool) -> float:
        """
        Choose how long a request may wait, as a fraction of its route's target.

        Parameters
        ----------
        rank : int
            Rank of the route; 0 is the most urgent.
        standing : bool
            Whether its upstream has a standing queue.

        Returns
        -------
        float
            Fraction of the target.

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
    Intervals and timeouts of the coordinator and its members.

    Parameters
    ----------
    report_s : float
        Seconds between the reports of an instance.
    silent_s : float
        Seconds without a notice after which the coordinator is suspected.
    beat_s : float
        Seconds between renewals of the coordinator's row.
    unchanged_s : float
        Seconds for which the row must be unchanged before a takeover.
    confirmed_s : float
        Seconds after the last confirmed renewal for which a term is valid.
    reached_s : float
        Maximum seconds since the store's last answer for which an instance is taken to
        reach it.
    candidate_s : float
        Maximum random delay in seconds before a candidate writes the row, so that
        candidates rarely conflict.
    weak_candidate_s : float
        Additional delay in seconds of the candidates with the fewest resources, so that
        others write first.
    row_read_s : float
        Seconds between reads of the coordinator row while the coordinator is missing.
    weak_row_read_s : float
        Seconds per live instance by which this time is longer at the instances with the
        fewest resources. They are many in large fleets, and others claim the term.
    offline_s : float
        The same as `confirmed_s` while no instance reaches the store and most electors
        follow the coordinator.
    probes_per_s : float
        Test calls per second of all instances together while the store doesn't answer
        the coordinator. Each call is billed.
    member_s : float
        Seconds after its last report for which an instance counts as live.
    followed_s : float
        Seconds for which a member follows the coordinator after it has received a
        notice. With an interval between reports, it must be below `confirmed_s`, so
        that takeovers from a lost coordinator take no longer.
    hold_s : float
        Grant duration in seconds.
    long_grants_after_s : float
        Seconds without an answer of the store after which a coordinator that is being
        stopped makes grants for longer. It must exceed `confirmed_s`, and the time for
        which a kill and a start of all processes leave the coordinator's row unchanged;
        with `renew_s`, it must be below the time for a shutdown.
    renew_s : float
        Seconds between renewals of a grant.
    call_timeout_s : float
        Timeout in seconds of a grant call.
    release_timeout_s : float
        Timeout in seconds of a release call, which waits for requests in progress.
    clock_drift : float
        Fraction by which an upstream's clock may run slow.
    cut_off_s : float
        Seconds without an answer of any upstream after which the coordinator is taken
        to be cut off from them. With a takeover, it must be below `hold_s`.
    hold_margin_s : float
        Seconds added to a grant's expiry before the keys of an unreachable upstream are
        taken to be free.
    rebalance_s : float
        Seconds between rebalances.
    load_memory_s : float
        Time constant in seconds of the mean load of a key.
    """

    report_s: float = 0.25
    silent_s: float = 0.7
    beat_s: float = 0.5
    unchanged_s: float = 1.2
    confirmed_s: float = 2.0
    reached_s: float = 0.5
    candidate_s: float = 0.15
    weak_candidate_s: float = 0.5
    row_read_s: float = 0.4
    weak_row_read_s: float = 0.01
    offline_s: float = 30.0
    probes_per_s: float = 8.0
    member_s: float = 1.5
    followed_s: float = 1.5
    hold_s: float = 3.0
    long_grants_after_s: float = 4.75
    renew_s: float = 0.75
    call_timeout_s: float = 0.4
    release_timeout_s: float = 2.5
    clock_drift: float = 0.02
    cut_off_s: float = 1.0
    hold_margin_s: float = 0.3
    rebalance_s: float = 0.4
    load_memory_s: float = 2.5

    @property
    def takeover_s(self) -> float:
        """Seconds from the last notice of a lost coordinator to its successor's."""
        found_s = self.silent_s + self.row_read_s
        return found_s + self.unchanged_s + self.candidate_s + self.report_s


@dataclass(frozen=True, kw_only=True, slots=True)
class DirectSettings:
    """
    All settings of one instance.

    Parameters
    ----------
    name, data_centre : str
        Name and data centre of this instance.
    host : str
        IP address of this instance.
    front_port, ready_port, peer_port : int
        TCP ports for callers, for the readiness check and for peers.
    metrics_port : int
        TCP port for the metrics.
    relay_port : int
        TCP port for requests of instances that are cut off from the upstreams; 0 for a
        free one.
    advertised_host : str
        IP address at which other instances connect to this one; empty for `host`.
    advertised_peer_port, advertised_relay_port : int
        TCP ports at which they connect to `peer_port` and `relay_port`; 0 for these.
    """

    name: str
    data_centre: str
    host: str
    front_port: int
    ready_port: int
    peer_port: int
    metrics_port: int = 9464
    relay_port: int = 0
    advertised_host: str = ""
    advertised_peer_port: int = 0
    advertised_relay_port: int = 0
    bounds: BoundSettings = field(default_factory=BoundSettings)
    resources: ResourceSettings = field(default_factory=ResourceSettings)
    feed: FeedSettings = field(default_factory=FeedSettings)
    send: SendSettings = field(default_factory=SendSettings)
    choice: ChoiceSettings = field(default_factory=ChoiceSettings)
    admission: AdmissionSettings = field(default_factory=AdmissionSettings)
    queue: QueueBounds = field(default_factory=QueueBounds)
    coordination: CoordinationSettings = field(default_factory=CoordinationSettings)
    load: LoadSettings = field(default_factory=LoadSettings)
    room: RoomSettings = field(default_factory=RoomSettings)
    spread: KeyBalanceSettings = field(default_factory=KeyBalanceSettings)

    @property
    def peer_address(self) -> str:
        """Address at which other instances connect to the port for peers."""
        return self._advertise(self.advertised_peer_port or self.peer_port)

    def make_relay_address(self, bound_port: int) -> str:
        """
        Return the address at which other instances connect to the port for relays.

        Parameters
        ----------
        bound_port : int
            TCP port that is listened on.
        """
        return self._advertise(self.advertised_relay_port or bound_port)

    def _advertise(self, port: int) -> str:
        return f"{self.advertised_host or self.host}:{port}"
