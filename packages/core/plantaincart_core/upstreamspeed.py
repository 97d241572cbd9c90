"""Lasting speed of upstreams, apart from the slowdown of the moment."""

from collections.abc import Mapping
from dataclasses import dataclass
from math import log2
from statistics import median

__all__ = ["SpeedTracker", "UpstreamSpeeds"]

# Half-life in seconds of a stated slowdown, which changes several times a second.
STATEMENT_HALF_LIFE_S = 0.2
# Weight of a statement in the mean slowdown of all upstreams.
MEAN_WEIGHT = 0.01
# Greatest weight of a request's work in that mean.
MAX_WORK = 10.0
# Slowdowns that differ less from the usual time aren't shared.
MIN_SHARED_SLOWDOWN = 1.2
# Measurements of one upstream between two reports, of which the mean is reported.
MAX_SAMPLES = 32
# Weights of a measurement in the lasting mean and in the recent one.
LASTING_WEIGHT = 0.05
RECENT_WEIGHT = 0.15
# Difference of the two in octaves from which the recent mean replaces the lasting one:
# a speed that changes for some seconds is followed within a few answers.
MAX_DIFFERENCE = 0.85
# Octaves by which one measurement can differ from the lasting mean, since few requests
# take many times the usual work.
MAX_DEVIATION = 2.0
# Measurements of an upstream that count as much as the assumption that its speed is
# usual, and from which on it is told.
PRIOR_SAMPLES = 3.0
MIN_SAMPLES = 4
# Weight, in measurements, of what an earlier coordinator has told.
SEED_SAMPLES = 20


@dataclass(frozen=True, slots=True)
class _Statement:
    slowdown: float
    at: float


class UpstreamSpeeds:
    """
    Speed of upstreams as one instance knows it.

    Attributes
    ----------
    is_stated : bool
        Whether any upstream has stated a slowdown.

    Notes
    -----
    The time of an answer is the work, times the lasting factor of the process that ran
    it, times the slowdown of its machine at that moment, which the answer states. The
    lasting factor is learnt by all instances together. A stated slowdown says little
    after a fraction of a second, and fades to the mean of its service.

    Examples
    --------
    >>> speeds = UpstreamSpeeds()
    >>> speeds.record_answer("u1", seconds=0.3, usual_s=0.1, slowdown=3.0)
    >>> speeds.record_statement("u1", "desk", slowdown=3.0, now=0.0)
    >>> abs(speeds.drain_ratios()["u1"])
    0.0
    >>> speeds.find_factor("u1", "desk", now=0.0) is None
    True
    >>> speeds.set_lasting({"u1": 0.5})
    >>> round(speeds.find_factor("u1", "desk", now=0.0), 2)
    1.47
    >>> round(speeds.find_factor("u1", "desk", now=2.0), 2)
    0.5
    """

    def __init__(self) -> None:
        self._lasting: dict[str, float] = {}
        self._statements: dict[str, _Statement] = {}
        self._new_slowdowns: dict[str, float] = {}
        self._samples: dict[str, list[float]] = {}
        self.is_stated = False
        self._mean_slowdowns: dict[str, float] = {}

    def record_answer(
        self, upstream: str, seconds: float, usual_s: float, slowdown: float
    ) -> None:
        """
        Record the time of an answered request that didn't queue.

        Parameters
        ----------
        upstream : str
            Identity of the upstream.
        seconds : float
            Seconds from sending the request to the end of the answer.
        usual_s : float
            Usual response time of the request's route in seconds.
        slowdown : float
            Slowdown of the moment that the answer states.
        """
        samples = self._samples.setdefault(upstream, [])
        if len(samples) < MAX_SAMPLES:
            ratio = seconds / max(usual_s * slowdown, 1e-4)
            samples.append(log2(max(ratio, 1e-3)))

    def record_failure(self, upstream: str, factor: float) -> None:
        """Record a request that failed, which counts like an answer as slow."""
        samples = self._samples.setdefault(upstream, [])
        if len(samples) < MAX_SAMPLES:
            samples.append(log2(max(factor, 1e-3)))

    def record_statement(
        self,
        upstream: str,
        service: str,
        slowdown: float,
        now: float,
        work: float = 1.0,
    ) -> None:
        """
        Record the slowdown of the moment that an answer states.

        Parameters
        ----------
        upstream, service : str
            Identity of the upstream, and its service.
        slowdown : float
            Time that work takes now, as a multiple of the usual time.
        now : float
            Present time in seconds.
        work : float
            Response time without the slowdown, as a multiple of the usual one: weight
            in the mean, so that usual time times mean is the mean time. A slowdown that
            ends while a request runs lengthens its time, and isn't stated with it.
        """
        self.is_stated = self.is_stated or slowdown != 1.0
        self._new_slowdowns[upstream] = slowdown
        self._statements[upstream] = _Statement(slowdown, now)
        mean = self.find_mean_slowdown(service)
        mean += MEAN_WEIGHT * min(work, MAX_WORK) * (slowdown - mean)
        self._mean_slowdowns[service] = mean

    def drain_ratios(self) -> dict[str, float]:
        """Return the mean logarithm of the measured factors since the last call."""
        samples, self._samples = self._samples, {}
        return {
            upstream: round(sum(values) / len(values), 2)
            for upstream, values in samples.items()
        }

    def drain_slowdowns(self) -> dict[str, float]:
        """Return the slowdowns stated since the last call, by upstream."""
        slowdowns, self._new_slowdowns = self._new_slowdowns, {}
        return slowdowns

    def set_lasting(self, factors: Mapping[str, float]) -> None:
        """Adopt the lasting factors of all upstreams whose speed is known."""
        self._lasting = dict(factors)

    def list_lasting(self) -> Mapping[str, float]:
        """Return the lasting factors by upstream."""
        return self._lasting

    def set_slowdowns(self, slowdowns: Mapping[str, float], now: float) -> None:
        """Adopt the slowdowns that others were told, unless one was stated lately."""
        for upstream, slowdown in slowdowns.items():
            statement = self._statements.get(upstream)
            if statement is None or now - statement.at > STATEMENT_HALF_LIFE_S:
                self._statements[upstream] = _Statement(slowdown, now)

    def find_lasting(self, upstream: str) -> float | None:
        """Return the lasting factor of an upstream; None if it isn't known."""
        return self._lasting.get(upstream)

    def find_mean_slowdown(self, service: str) -> float:
        """Return the mean of the slowdowns that a service's upstreams have stated."""
        return self._mean_slowdowns.get(service, 1.0)

    def find_slowdown(self, upstream: str, service: str, now: float) -> float:
        """Return the slowdown that is expected of an upstream's machine now."""
        mean = self.find_mean_slowdown(service)
        statement = self._statements.get(upstream)
        if statement is None:
            return mean
        weight: float = 0.5 ** (max(0.0, now - statement.at) / STATEMENT_HALF_LIFE_S)
        return mean + weight * (statement.slowdown - mean)

    def measure_age_s(self, upstream: str, now: float) -> float | None:
        """Return how old the last stated slowdown is; None for none."""
        statement = self._statements.get(upstream)
        return None if statement is None else now - statement.at

    def find_factor(self, upstream: str, service: str, now: float) -> float | None:
        """
        Return the expected response time relative to the usual one.

        Parameters
        ----------
        upstream, service : str
            Identity of the upstream, and its service.
        now : float
            Present time in seconds.

        Returns
        -------
        float or None
            Product of the lasting factor and the slowdown that is expected now,
            relative to the mean one, which the usual time contains; None if no lasting
            factor has been told.
        """
        lasting = self._lasting.get(upstream)
        if lasting is None:
            return None
        slowdown = self.find_slowdown(upstream, service, now)
        return lasting * slowdown / self.find_mean_slowdown(service)

    def remove(self, upstream: str) -> None:
        """Forget an upstream whose process has ended."""
        self._lasting.pop(upstream, None)
        self._statements.pop(upstream, None)
        self._new_slowdowns.pop(upstream, None)
        self._samples.pop(upstream, None)


class _Means:
    """Lasting and recent mean of the logarithm of one upstream's factor."""

    __slots__ = ("count", "lasting", "recent")

    def __init__(self, lasting: float = 0.0, count: float = 0.0) -> None:
        self.lasting = self.recent = lasting
        self.count = count

    def record(self, value: float) -> None:
        low, high = self.lasting - MAX_DEVIATION, self.lasting + MAX_DEVIATION
        value = min(max(value, low), high)
        self.count += 1.0
        weight = max(LASTING_WEIGHT, 1.0 / (self.count + PRIOR_SAMPLES))
        self.lasting += weight * (value - self.lasting)
        self.recent += max(weight, RECENT_WEIGHT) * (value - self.recent)
        if abs(self.recent - self.lasting) > MAX_DIFFERENCE:
            self.lasting = self.recent


class SpeedTracker:
    """
    Lasting factor of each upstream over the measurements of all instances.

    Parameters
    ----------
    seeds : mapping of str to float
        Lasting factors that an earlier coordinator has told.

    Examples
    --------
    >>> tracker = SpeedTracker({})
    >>> for _ in range(200):
    ...     tracker.record({"u1": 1.0, "u2": 0.0, "u3": 0.0})
    >>> factors = tracker.compare({"u1": "desk", "u2": "desk", "u3": "desk"})
    >>> {upstream: round(factor, 1) for upstream, factor in factors.items()}
    {'u1': 2.0, 'u2': 1.0, 'u3': 1.0}
    """

    def __init__(self, seeds: Mapping[str, float]) -> None:
        self._means = {
            upstream: _Means(log2(factor), SEED_SAMPLES)
            for upstream, factor in seeds.items()
        }

    def record(self, ratios: Mapping[str, float]) -> None:
        """Add the measurements of one instance, by upstream."""
        for upstream, ratio in ratios.items():
            means = self._means.get(upstream)
            if means is None:
                means = self._means[upstream] = _Means()
            means.record(ratio)

    def remove(self, upstream: str) -> None:
        """Forget an upstream whose process has ended."""
        self._means.pop(upstream, None)

    def compare(self, services: Mapping[str, str]) -> dict[str, float]:
        """
        Return the factors relative to the median of each service.

        Parameters
        ----------
        services : mapping of str to str
            Service by upstream. Other upstreams are omitted and forgotten.

        Returns
        -------
        dict of str to float
            Lasting factor by upstream, of those with enough measurements.
        """
        by_service: dict[str, dict[str, float]] = {}
        for upstream, means in list(self._means.items()):
            service = services.get(upstream)
            if service is None:
                del self._means[upstream]
            elif means.count >= MIN_SAMPLES:
                by_service.setdefault(service, {})[upstream] = means.lasting
        return {
            upstream: 2.0 ** (value - median(values.values()))
            for values in by_service.values()
            for upstream, value in values.items()
        }
