"""Estimates of the load and speed of upstreams, as seen by one instance."""

from copy import copy
from dataclasses import dataclass
from typing import Self

__all__ = ["UpstreamLoads", "LoadSettings", "UpstreamLoad"]


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadSettings:
    """
    Weights and durations used by the load estimates.

    Parameters
    ----------
    smoothing : float
        Weight of a new measurement in an exponentially weighted mean.
    report_fresh_s : float
        Seconds for which the reported requests of other instances count in full;
        reports arrive four times a second.
    report_half_life_s : float
        Half-life in seconds of the weight of a report after that time.
    max_slowness : float
        Upper bound of a measured slowness.
    shed_slowness : float
        Slowness recorded when an upstream with free slots sheds a request.
    standing_queue_s : float
        Seconds for which an upstream must be observed without a free slot before its
        queue counts as a standing queue rather than as a short burst.
    max_observation_gap_s : float
        Longest time in seconds between two such observations.
    distributes_keys_by_speed : bool
        Whether owners get keys by their lasting speed, learnt apart from the slowdown
        of the moment that they state; otherwise by the mean slowness of answers.
    chooses_by_slowdown : bool
        Whether upstreams without keys are chosen by lasting speed and slowdown of the
        moment; otherwise by the mean slowness of answers.
    admits_keys_by_speed : bool
        Whether requests are admitted at owners of keys by lasting speed; otherwise by
        the mean slowness of answers.
    """

    smoothing: float = 0.2
    report_fresh_s: float = 0.4
    report_half_life_s: float = 0.5
    max_slowness: float = 20.0
    shed_slowness: float = 4.0
    standing_queue_s: float = 0.5
    max_observation_gap_s: float = 0.8
    distributes_keys_by_speed: bool = False
    chooses_by_slowdown: bool = False
    admits_keys_by_speed: bool = False

    @property
    def learns_speed(self) -> bool:
        """Whether any decision uses the lasting speed of upstreams."""
        return (
            self.distributes_keys_by_speed
            or self.chooses_by_slowdown
            or self.admits_keys_by_speed
        )


class UpstreamLoad:
    """
    Requests in flight at one upstream, and its slowness.

    Attributes
    ----------
    in_flight : int
        Requests of this instance.
    slowness : float
        Mean ratio of its response time to the usual one.
    """

    __slots__ = (
        "_full_since",
        "_peer_in_flight",
        "_peer_in_flight_at",
        "_seen_full_at",
        "in_flight",
        "slowness",
    )

    def __init__(self) -> None:
        self.in_flight = 0
        self.slowness = 1.0
        self._peer_in_flight = 0.0
        self._peer_in_flight_at = 0.0
        self._full_since = 0.0
        self._seen_full_at = float("-inf")

    def set_peer_in_flight(self, count: float, now: float) -> None:
        """Set the number of requests that other instances have at the upstream."""
        self._peer_in_flight = max(0.0, count)
        self._peer_in_flight_at = now

    def estimate_in_flight(self, now: float, settings: LoadSettings) -> float:
        """Estimate the number of requests of all instances at the upstream."""
        age_s = max(0.0, now - self._peer_in_flight_at - settings.report_fresh_s)
        weight: float = 0.5 ** (age_s / settings.report_half_life_s)
        return self.in_flight + self._peer_in_flight * weight

    def measure_age_s(self, now: float) -> float | None:
        """Return how old the count of other instances' requests is; None for none."""
        told_at = self._peer_in_flight_at
        return now - told_at if told_at else None

    def record_occupancy(
        self, full: bool, now: float, max_observation_gap_s: float
    ) -> None:
        """Record an observation of whether all concurrency slots are occupied."""
        if not full:
            self._seen_full_at = float("-inf")
            return
        if now - self._seen_full_at > max_observation_gap_s:
            self._full_since = now
        self._seen_full_at = now

    def has_standing_queue(self, now: float, settings: LoadSettings) -> bool:
        """Return whether no slot has been free for `standing_queue_s`."""
        return self.measure_full_s(now, settings) >= settings.standing_queue_s

    def measure_full_s(self, now: float, settings: LoadSettings) -> float:
        """Return for how many seconds no slot has been free; 0 if one is."""
        is_recent = now - self._seen_full_at <= settings.max_observation_gap_s
        return now - self._full_since if is_recent else 0.0


class UpstreamLoads:
    """
    Loads of all upstreams, and the usual response time of each route.

    Parameters
    ----------
    settings : LoadSettings
        Weights and durations used by the estimates.

    Examples
    --------
    >>> loads = UpstreamLoads(LoadSettings())
    >>> loads.estimate_work_s("lookup", default_s=0.2)
    0.2
    >>> loads.record_work("lookup", "u1", seconds=0.1, queued=False, default_s=0.2)
    >>> loads.get("u1").set_peer_in_flight(5, now=0.0)
    >>> round(loads.estimate_wait_s("u1", slots=2, mean_s=0.1, now=0.0), 3)
    0.18
    """

    def __init__(self, settings: LoadSettings) -> None:
        self.settings = settings
        self._loads: dict[str, UpstreamLoad] = {}
        self._work_s: dict[str, float] = {}
        self._slowness_samples: dict[str, list[float]] = {}

    def copy(self) -> Self:
        """Return a copy that observations of this one and of the copy leave apart."""
        copied = copy(self)
        copied._loads = {name: copy(load) for name, load in self._loads.items()}
        copied._work_s = dict(self._work_s)
        copied._slowness_samples = {}
        return copied

    def get(self, upstream: str) -> UpstreamLoad:
        """Return the load of an upstream, adding an idle one if it is missing."""
        load = self._loads.get(upstream)
        if load is None:
            load = self._loads[upstream] = UpstreamLoad()
        return load

    def record_in_flight(
        self, upstream: str, in_flight: float, slots: int, now: float
    ) -> None:
        """
        Record the number of requests of all instances at an upstream.

        Parameters
        ----------
        upstream : str
            Identity of the upstream.
        in_flight : float
            Running and queued requests, including those of this instance.
        slots : int
            Requests that the upstream can run concurrently.
        now : float
            Present time in seconds.
        """
        load = self.get(upstream)
        load.set_peer_in_flight(in_flight - load.in_flight, now)
        load.record_occupancy(
            in_flight >= slots, now, self.settings.max_observation_gap_s
        )

    def has_standing_queue(self, upstream: str, now: float) -> bool:
        """Return whether an upstream has had no free slot for `standing_queue_s`."""
        return self.get(upstream).has_standing_queue(now, self.settings)

    def remove(self, upstream: str) -> None:
        """Remove the load of an upstream that has been removed."""
        self._loads.pop(upstream, None)

    def list_in_flight(self) -> dict[str, int]:
        """Return the requests of this instance by upstream, without idle ones."""
        return {
            name: load.in_flight for name, load in self._loads.items() if load.in_flight
        }

    def drain_slowness(self) -> dict[str, float]:
        """Return the mean slowness by upstream since the last call, and reset it."""
        samples, self._slowness_samples = self._slowness_samples, {}
        return {
            name: round(sum(values) / len(values), 2)
            for name, values in samples.items()
        }

    def estimate_work_s(self, route: str, default_s: float) -> float:
        """
        Estimate the response time of a route's requests on an idle upstream.

        Parameters
        ----------
        route : str
            Name of the route.
        default_s : float
            Seconds returned if nothing has been measured for the route.

        Returns
        -------
        float
            Seconds.
        """
        return self._work_s.get(route, default_s)

    def record_work(
        self, route: str, upstream: str, seconds: float, queued: bool, default_s: float
    ) -> None:
        """
        Update the estimates with the response time of an answered request.

        Parameters
        ----------
        route, upstream : str
            Name of the request's route, and identity of the upstream that ran it.
        seconds : float
            Seconds from sending the request to the end of the answer.
        queued : bool
            Whether the request probably waited in the upstream's queue; it is then
            ignored, as its response time includes the wait.
        default_s : float
            Response time of the route if nothing has been measured for it.
        """
        if queued:
            return
        weight = self.settings.smoothing
        load = self.get(upstream)
        usual_s = self._work_s.get(route, default_s)
        slowness = min(seconds / max(usual_s, 1e-4), self.settings.max_slowness)
        load.slowness += weight * (slowness - load.slowness)
        self._slowness_samples.setdefault(upstream, []).append(slowness)
        corrected_s = seconds / max(load.slowness, 0.1)
        self._work_s[route] = usual_s + weight * 0.5 * (corrected_s - usual_s)

    def record_shed(self, upstream: str) -> None:
        """Record that an upstream shed a request although it had a free slot."""
        load = self.get(upstream)
        slowness = self.settings.shed_slowness
        load.slowness += self.settings.smoothing * (slowness - load.slowness)
        self._slowness_samples.setdefault(upstream, []).append(slowness)

    def record_overdue(self, upstream: str, seconds: float, expected_s: float) -> None:
        """
        Update the slowness after a request that wasn't answered in time.

        Parameters
        ----------
        upstream : str
            Identity of the upstream.
        seconds : float
            Seconds from sending the request until it was given up.
        expected_s : float
            Expected response time, including the wait for a slot.

        Notes
        -----
        The answer would have taken longer than `seconds`, so the slowness can only
        increase. Otherwise an upstream that answers few requests in time would keep
        its earlier slowness.

        Examples
        --------
        >>> loads = UpstreamLoads(LoadSettings())
        >>> loads.record_overdue("u1", seconds=2.0, expected_s=0.2)
        >>> round(loads.get("u1").slowness, 1)
        2.8
        >>> loads.record_overdue("u1", seconds=0.1, expected_s=0.2)
        >>> round(loads.get("u1").slowness, 1)
        2.8
        """
        load = self.get(upstream)
        excess_factor = seconds / max(expected_s, 1e-3)
        if excess_factor <= 1.0:
            return
        slowness = min(load.slowness * excess_factor, self.settings.max_slowness)
        load.slowness += self.settings.smoothing * (slowness - load.slowness)
        self._slowness_samples.setdefault(upstream, []).append(slowness)

    def estimate_wait_s(
        self,
        upstream: str,
        slots: int,
        mean_s: float,
        now: float,
        factor: float | None = None,
    ) -> float:
        """
        Estimate how long a further request waits for a free slot.

        Parameters
        ----------
        upstream : str
            Identity of the upstream.
        slots : int
            Requests that the upstream can run concurrently.
        mean_s : float
            Usual response time of the service in seconds.
        now : float
            Present time in seconds.
        factor : float or None
            Response time at the upstream relative to the usual one; None for its
            slowness.

        Returns
        -------
        float
            Seconds; 0 while a slot is free.
        """
        load = self.get(upstream)
        in_flight = load.estimate_in_flight(now, self.settings)
        load.record_occupancy(
            in_flight >= slots, now, self.settings.max_observation_gap_s
        )
        requests_ahead = max(0.0, in_flight + 1.0 - slots)
        factor = load.slowness if factor is None else factor
        return requests_ahead * mean_s * factor / max(1, slots)
