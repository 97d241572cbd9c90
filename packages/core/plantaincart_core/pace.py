"""Pace at which an upstream gets requests after a start or while it fails."""

from collections.abc import Mapping, Set
from dataclasses import dataclass

__all__ = ["FleetPace", "PaceSettings"]


@dataclass(frozen=True, kw_only=True, slots=True)
class PaceSettings:
    """
    How the limit of an upstream's requests follows its answers.

    Parameters
    ----------
    start : float
        Requests at a time of an upstream that has just started.
    least : float
        Least limit; below 1, not every instance tries it at any moment.
    growth : float
        Factor of a round with good answers, up to the upstream's slots.
    step : float
        Requests that are added in a round beyond the slots.
    decrease : float
        Factor of a round with too many bad answers.
    idle_growth : float
        Factor of a round without answers.
    bad_share : float
        Share of bad answers above which a round counts as bad.
    round_s : float
        Least duration of a round in seconds; reports come four times a second.
    trigger_bad : float
        Bad answers within about `trigger_s` with which an upstream that isn't paced
        begins to be.
    trigger_share : float
        Share of bad answers from which it begins to be.
    trigger_s : float
        Half-life in seconds of the counted answers.
    silence_s : float
        Seconds without word of the coordinator after which limits grow by themselves.
    silent_doubling_s : float
        Seconds in which they then double.
    """

    start: float = 1.0
    least: float = 0.25
    growth: float = 2.0
    step: float = 1.0
    decrease: float = 0.5
    idle_growth: float = 1.2
    bad_share: float = 0.25
    round_s: float = 0.25
    trigger_bad: float = 3.0
    trigger_share: float = 0.4
    trigger_s: float = 0.5
    silence_s: float = 1.0
    silent_doubling_s: float = 2.0


class _Pace:
    """Limit of one process, and the answers of the present round."""

    __slots__ = ("bad", "born", "good", "limit", "round_began_at")

    def __init__(self, born: int, limit: float, now: float) -> None:
        self.born = born
        self.limit = limit
        self.round_began_at = now
        self.good = 0
        self.bad = 0

    def advance(
        self, slots: int, is_busy: bool, settings: PaceSettings, now: float
    ) -> None:
        """End the round if it has lasted long enough."""
        if now - self.round_began_at < settings.round_s:
            return
        answers = self.good + self.bad
        if self.bad > settings.bad_share * answers:
            self.limit = max(settings.least, self.limit * settings.decrease)
        elif not answers:
            # Requests that aren't answered yet say nothing of what it bears.
            self.limit *= 1.0 if is_busy else settings.idle_growth
        elif self.limit < slots:
            self.limit = min(self.limit * settings.growth, float(slots))
        else:
            self.limit += settings.step
        self.round_began_at, self.good, self.bad = now, 0, 0


@dataclass(slots=True)
class _Recent:
    good: float = 0.0
    bad: float = 0.0
    at: float = 0.0


class FleetPace:
    """
    Limits of all upstreams that are paced, found from the answers of all instances.

    Parameters
    ----------
    settings : PaceSettings
        How limits follow the answers.

    Notes
    -----
    Additive increase beyond the slots and multiplicative decrease converge to what an
    upstream bears [1]_; below its slots, where nothing queues, the limit doubles. An
    upstream is paced until the limit is twice its slots.

    References
    ----------
    .. [1] Chiu, Jain (1989). Analysis of the increase and decrease algorithms for
       congestion avoidance in computer networks. Computer Networks 17, 1-14.

    Examples
    --------
    >>> pace = FleetPace(PaceSettings())
    >>> pace.start("u1", born=1, slots=4, now=0.0)
    >>> limits = []
    >>> for now in (0.25, 0.5, 0.75, 1.0):
    ...     pace.record("u1", good=3, bad=0, now=now - 0.01)
    ...     limits.append(pace.list_limits({"u1": (1, 4)}, now)["u1"])
    >>> limits
    [2.0, 4.0, 5.0, 6.0]
    >>> pace.record("u1", good=1, bad=2, now=1.2)
    >>> pace.list_limits({"u1": (1, 4)}, now=1.25)
    {'u1': 3.0}
    """

    def __init__(self, settings: PaceSettings) -> None:
        self._settings = settings
        self._paces: dict[str, _Pace] = {}
        self._recent: dict[str, _Recent] = {}

    def start(self, upstream: str, born: int, slots: int, now: float) -> None:
        """
        Begin to pace a process that has just started or become cold.

        Parameters
        ----------
        upstream : str
            Identity of the upstream.
        born : int
            Start of its process in Unix milliseconds.
        slots : int
            Requests that it can run concurrently.
        now : float
            Present time in seconds.
        """
        limit = min(self._settings.start, float(slots))
        self._paces[upstream] = _Pace(born, limit, now)

    def adopt(self, upstream: str, born: int, limit: float, now: float) -> None:
        """Go on with the limit that an earlier coordinator has told."""
        self._paces[upstream] = _Pace(born, limit, now)

    def record(self, upstream: str, good: int, bad: int, now: float) -> None:
        """
        Add answers that an instance has got.

        Parameters
        ----------
        upstream : str
            Identity of the upstream.
        good, bad : int
            Number of answers.
        now : float
            Present time in seconds.
        """
        pace = self._paces.get(upstream)
        if pace is not None:
            pace.good += good
            pace.bad += bad
            return
        recent = self._recent.get(upstream)
        if recent is None:
            if not bad:
                return
            recent = self._recent[upstream] = _Recent(at=now)
        weight = 0.5 ** ((now - recent.at) / self._settings.trigger_s)
        recent.good = recent.good * weight + good
        recent.bad = recent.bad * weight + bad
        recent.at = now

    def find_triggered(self) -> list[str]:
        """Return the upstreams whose answers call for a pace, and forget the counts."""
        settings = self._settings
        triggered = [
            upstream
            for upstream, recent in self._recent.items()
            if recent.bad >= settings.trigger_bad
            and recent.bad >= settings.trigger_share * (recent.good + recent.bad)
        ]
        for upstream in triggered:
            del self._recent[upstream]
        return triggered

    def list_limits(
        self,
        processes: Mapping[str, tuple[int, int]],
        now: float,
        busy: Set[str] = frozenset(),
    ) -> dict[str, float]:
        """
        Return the limits in force.

        Parameters
        ----------
        processes : mapping of str to tuple of int and int
            Start of the process and slots of each announced upstream; others are
            forgotten.
        now : float
            Present time in seconds.
        busy : set of str
            Upstreams that have requests.

        Returns
        -------
        dict of str to float
            Requests of all instances together, by upstream.
        """
        for upstream, pace in list(self._paces.items()):
            born, slots = processes.get(upstream, (-1, 0))
            if pace.born != born:
                del self._paces[upstream]
                continue
            pace.advance(slots, upstream in busy, self._settings, now)
            if pace.limit >= 2.0 * slots:
                del self._paces[upstream]
        self._recent = {
            upstream: recent
            for upstream, recent in self._recent.items()
            if upstream in processes
            and now - recent.at < 10.0 * self._settings.trigger_s
        }
        return {upstream: pace.limit for upstream, pace in self._paces.items()}

    def list_names(self) -> set[str]:
        """Return the upstreams that are paced, or of which answers are counted."""
        return self._paces.keys() | self._recent.keys()

    def is_paced(self, upstream: str, born: int) -> bool:
        """Return whether a process has a limit."""
        pace = self._paces.get(upstream)
        return pace is not None and pace.born == born
