"""How busy upstreams are, as far as one instance can tell."""

from dataclasses import dataclass

__all__ = ["LoadBook", "LoadSettings", "UpstreamLoad"]


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadSettings:
    """
    Weights of the estimates.

    Parameters
    ----------
    smoothing : float
        Part of a new measurement in a mean.
    report_lasts_s : float
        Seconds for which what others have in flight counts in full; reports come
        four times a second.
    report_ages_s : float
        Seconds after that in which it comes to count half.
    max_slowness : float
        Greatest factor by which an upstream counts as slow.
    shed_slowness : float
        Factor that a refusal of an upstream with free slots counts as.
    standing_s : float
        Seconds for which an upstream must be seen without a free slot until its
        queue counts as a standing one, rather than as that of a short burst.
    unseen_s : float
        Longest time in seconds between two such sights.
    """

    smoothing: float = 0.2
    report_lasts_s: float = 0.4
    report_ages_s: float = 0.5
    max_slowness: float = 20.0
    shed_slowness: float = 4.0
    standing_s: float = 0.5
    unseen_s: float = 0.8


class UpstreamLoad:
    """
    Requests at one upstream and its speed.

    Attributes
    ----------
    in_flight : int
        Requests of this instance.
    slowness : float
        Time of its work relative to the usual.
    """

    __slots__ = (
        "_full_since",
        "_others",
        "_others_at",
        "_seen_at",
        "in_flight",
        "slowness",
    )

    def __init__(self) -> None:
        self.in_flight = 0
        self.slowness = 1.0
        self._others = 0.0
        self._others_at = 0.0
        self._full_since = 0.0
        self._seen_at = float("-inf")

    def set_others(self, count: float, now: float) -> None:
        """Note how many requests other instances have at the upstream."""
        self._others = max(0.0, count)
        self._others_at = now

    def estimate_present(self, now: float, settings: LoadSettings) -> float:
        """Estimate the requests at the upstream, of all instances."""
        age_s = max(0.0, now - self._others_at - settings.report_lasts_s)
        left: float = 0.5 ** (age_s / settings.report_ages_s)
        return self.in_flight + self._others * left

    def note_full(self, full: bool, now: float, unseen_s: float) -> None:
        """Note whether all slots were seen to be taken."""
        if not full:
            self._seen_at = float("-inf")
            return
        if now - self._seen_at > unseen_s:
            self._full_since = now
        self._seen_at = now

    def has_standing_queue(self, now: float, settings: LoadSettings) -> bool:
        """Whether no slot has been free for a while."""
        seen = now - self._seen_at <= settings.unseen_s
        return seen and now - self._full_since >= settings.standing_s


class LoadBook:
    """
    Loads of upstreams, and the usual time of each route's work.

    Parameters
    ----------
    settings : LoadSettings
        Weights of the estimates.

    Examples
    --------
    >>> book = LoadBook(LoadSettings())
    >>> book.estimate_work_s("lookup", guess_s=0.2)
    0.2
    >>> book.record_work("lookup", "u1", seconds=0.1, queued=False, guess_s=0.2)
    >>> book.get("u1").set_others(5, now=0.0)
    >>> round(book.estimate_wait_s("u1", slots=2, mean_s=0.1, now=0.0), 3)
    0.18
    """

    def __init__(self, settings: LoadSettings) -> None:
        self.settings = settings
        self._loads: dict[str, UpstreamLoad] = {}
        self._work_s: dict[str, float] = {}
        self._ratios: dict[str, list[float]] = {}

    def get(self, upstream: str) -> UpstreamLoad:
        """Return the load of an upstream, which begins idle."""
        load = self._loads.get(upstream)
        if load is None:
            load = self._loads[upstream] = UpstreamLoad()
        return load

    def record_present(
        self, upstream: str, present: float, slots: int, now: float
    ) -> None:
        """
        Learn how many requests all instances have at an upstream.

        Parameters
        ----------
        upstream : str
            Its identity.
        present : float
            Requests there, running and waiting, with those of this instance.
        slots : int
            Requests that it runs at a time.
        now : float
            Present time in seconds.
        """
        load = self.get(upstream)
        load.set_others(present - load.in_flight, now)
        load.note_full(present >= slots, now, self.settings.unseen_s)

    def has_standing_queue(self, upstream: str, now: float) -> bool:
        """Whether an upstream has had no free slot for a while."""
        return self.get(upstream).has_standing_queue(now, self.settings)

    def forget(self, upstream: str) -> None:
        """Drop what is known of an upstream that has gone."""
        self._loads.pop(upstream, None)

    def list_in_flight(self) -> dict[str, int]:
        """Return the requests of this instance by upstream, without idle ones."""
        return {
            name: load.in_flight for name, load in self._loads.items() if load.in_flight
        }

    def take_ratios(self) -> dict[str, float]:
        """Return the mean slowness measured since the last call, by upstream."""
        ratios, self._ratios = self._ratios, {}
        return {
            name: round(sum(values) / len(values), 2) for name, values in ratios.items()
        }

    def estimate_work_s(self, route: str, guess_s: float) -> float:
        """
        Estimate the seconds that a route's requests take on an idle upstream.

        Parameters
        ----------
        route : str
            Name of the route.
        guess_s : float
            Used until there is a measurement.

        Returns
        -------
        float
            Seconds.
        """
        return self._work_s.get(route, guess_s)

    def record_work(
        self, route: str, upstream: str, seconds: float, queued: bool, guess_s: float
    ) -> None:
        """
        Learn from an answer.

        Parameters
        ----------
        route, upstream : str
            What was run, and where.
        seconds : float
            Time from sending to the whole answer.
        queued : bool
            Whether it probably waited behind others, so that it says little.
        guess_s : float
            Time of the route's work before there is a measurement.
        """
        if queued:
            return
        weight = self.settings.smoothing
        load = self.get(upstream)
        usual = self._work_s.get(route, guess_s)
        ratio = min(seconds / max(usual, 1e-4), self.settings.max_slowness)
        load.slowness += weight * (ratio - load.slowness)
        self._ratios.setdefault(upstream, []).append(ratio)
        corrected = seconds / max(load.slowness, 0.1)
        self._work_s[route] = usual + weight * 0.5 * (corrected - usual)

    def record_shed(self, upstream: str) -> None:
        """Learn that an upstream refused a request although it wasn't full."""
        load = self.get(upstream)
        ratio = self.settings.shed_slowness
        load.slowness += self.settings.smoothing * (ratio - load.slowness)
        self._ratios.setdefault(upstream, []).append(ratio)

    def record_overdue(self, upstream: str, seconds: float, expected_s: float) -> None:
        """
        Learn from an answer that didn't come in time.

        Parameters
        ----------
        upstream : str
            Its identity.
        seconds : float
            Seconds that were waited.
        expected_s : float
            Seconds that wait and work should have taken at the speed known so far.

        Notes
        -----
        The answer would have taken longer still, so this can only raise the slowness.
        Without it an upstream that answers hardly anything in time keeps the speed
        that it had before.

        Examples
        --------
        >>> book = LoadBook(LoadSettings())
        >>> book.record_overdue("u1", seconds=2.0, expected_s=0.2)
        >>> round(book.get("u1").slowness, 1)
        2.8
        >>> book.record_overdue("u1", seconds=0.1, expected_s=0.2)
        >>> round(book.get("u1").slowness, 1)
        2.8
        """
        load = self.get(upstream)
        times = seconds / max(expected_s, 1e-3)
        if times <= 1.0:
            return
        ratio = min(load.slowness * times, self.settings.max_slowness)
        load.slowness += self.settings.smoothing * (ratio - load.slowness)
        self._ratios.setdefault(upstream, []).append(ratio)

    def estimate_wait_s(
        self, upstream: str, slots: int, mean_s: float, now: float
    ) -> float:
        """
        Estimate how long a further request waits for a slot.

        Parameters
        ----------
        upstream : str
            Its identity.
        slots : int
            Requests that it runs at a time.
        mean_s : float
            Usual seconds of a request at this service.
        now : float
            Present time in seconds.

        Returns
        -------
        float
            Seconds; 0 while a slot is free.
        """
        load = self.get(upstream)
        present = load.estimate_present(now, self.settings)
        load.note_full(present >= slots, now, self.settings.unseen_s)
        ahead = max(0.0, present + 1.0 - slots)
        return ahead * mean_s * load.slowness / max(1, slots)
