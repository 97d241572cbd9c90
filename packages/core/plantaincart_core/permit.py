"""Division of the requests that limited upstreams take among the instances."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from plantaincart_core.namedlimit import Process

__all__ = ["PermitIssuer"]

# Permits that may be issued at once after a time without requests, in seconds of the
# limit; at least one.
BURST_S = 0.5


@dataclass(slots=True)
class _Bucket:
    """Permits of one process that aren't issued yet, and the requests that wait."""

    per_s: float
    updated_at: float
    tokens: float = 0.0
    waiting: dict[str, int] = field(default_factory=dict)

    def refill(self, now: float) -> None:
        capacity = max(1.0, self.per_s * BURST_S)
        gained = max(0.0, now - self.updated_at) * self.per_s
        self.tokens = min(capacity, self.tokens + gained)
        self.updated_at = now


class PermitIssuer:
    """
    Issues permits for single requests, as many a second as an upstream takes.

    Notes
    -----
    A permit is issued to an instance only for a request that waits there. So the sum
    over all instances is exact, however unevenly callers are distributed, and few
    permits remain unused. A new issuer starts without permits, since those of an
    earlier one may still be used.

    Examples
    --------
    >>> issuer = PermitIssuer()
    >>> issuer.set_limits({("u1", 5): 2.0}, now=0.0)
    >>> issuer.set_waiting("r1", {("u1", 5): 3})
    >>> issuer.set_waiting("r2", {("u1", 5): 1})
    >>> issuer.issue("r1", ("u1", 5), now=0.4)
    0
    >>> issuer.issue("r1", ("u1", 5), now=0.5)
    1
    >>> issuer.estimate_wait_s(("u1", 5), now=0.5)
    2.0
    >>> issuer.issue("r2", ("u1", 5), now=9.0)
    1
    """

    def __init__(self) -> None:
        self._buckets: dict[Process, _Bucket] = {}

    def set_limits(self, limits: Mapping[Process, float], now: float) -> None:
        """
        Set the limits in force.

        Parameters
        ----------
        limits : mapping of (str, int) to float
            Requests per second by process.
        now : float
            Present time in seconds.
        """
        for process in self._buckets.keys() - limits.keys():
            del self._buckets[process]
        for process, per_s in limits.items():
            bucket = self._buckets.get(process)
            if bucket is None:
                self._buckets[process] = _Bucket(per_s, now)
            elif bucket.per_s != per_s:
                bucket.refill(now)
                bucket.per_s = per_s

    def set_waiting(self, instance: str, waiting: Mapping[Process, int]) -> None:
        """
        Set how many requests wait at an instance.

        Parameters
        ----------
        instance : str
            Name of the instance.
        waiting : mapping of (str, int) to int
            Number of requests by process; none for those that are missing.
        """
        for process, bucket in self._buckets.items():
            count = waiting.get(process, 0)
            if count > 0:
                bucket.waiting[instance] = count
            else:
                bucket.waiting.pop(instance, None)

    def retain(self, instances: Iterable[str]) -> None:
        """Forget the requests that wait at other instances."""
        retained = set(instances)
        for bucket in self._buckets.values():
            for instance in bucket.waiting.keys() - retained:
                del bucket.waiting[instance]

    def issue(self, instance: str, process: Process, now: float) -> int:
        """
        Issue permits for requests that wait at an instance.

        Parameters
        ----------
        instance : str
            Name of the instance.
        process : tuple of str and int
            Process of the upstream.
        now : float
            Present time in seconds.

        Returns
        -------
        int
            Number of permits.
        """
        bucket = self._buckets.get(process)
        if bucket is None or instance not in bucket.waiting:
            return 0
        bucket.refill(now)
        permits = min(int(bucket.tokens + 1e-9), bucket.waiting[instance])
        if permits:
            bucket.tokens -= permits
            bucket.waiting[instance] -= permits
        return permits

    def estimate_wait_s(self, process: Process, now: float) -> float:
        """
        Estimate how long a request waits for a permit if it begins to wait now.

        Parameters
        ----------
        process : tuple of str and int
            Process of the upstream.
        now : float
            Present time in seconds.

        Returns
        -------
        float
            Seconds.
        """
        bucket = self._buckets.get(process)
        if bucket is None:
            return 0.0
        bucket.refill(now)
        ahead = sum(bucket.waiting.values()) + 1 - bucket.tokens
        return max(0.0, ahead / bucket.per_s)
