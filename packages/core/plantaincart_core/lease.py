"""Leases of instances: the lease that an instance holds, and observation of others."""

from collections.abc import Mapping
from dataclasses import dataclass
from math import inf

from plantaincart_schema.generated.settings import LeaseSettings

from plantaincart_core.promise import PromiseRegistry, SuccessorPromises
from plantaincart_core.slot import ShardKey
from plantaincart_core.takeover import find_outage_wait, may_take_over

__all__ = [
    "SuccessorPromises",
    "HeldLease",
    "LeaseObserver",
    "PromiseRegistry",
    "ShardKey",
    "may_take_over",
]


class HeldLease:
    """
    The lease of the instance itself.

    Parameters
    ----------
    settings : LeaseSettings
        Durations of leases.

    Notes
    -----
    For the holder the lease starts before the renewal was sent; for an observer, after
    the renewal was read. Hence the lease expires for the holder first, however long
    the write or its answer took. A renewal is recorded only after it has been confirmed
    that it was committed.
    """

    def __init__(self, settings: LeaseSettings) -> None:
        self._settings = settings
        self._last_renewal = -inf
        self._dropped_at = -inf

    @property
    def last_renewal(self) -> float:
        """Time in seconds, taken before the latest committed renewal was sent."""
        return self._last_renewal

    @property
    def expires_at(self) -> float:
        """Time in seconds at which the lease expires without another renewal."""
        return self._last_renewal + self._settings.ttl_s

    def record_renewal(self, sent_at: float) -> None:
        """
        Record a renewal whose commit has been confirmed.

        Parameters
        ----------
        sent_at : float
            Time in seconds, taken before the write was sent.
        """
        if sent_at >= self._dropped_at:
            self._last_renewal = max(self._last_renewal, sent_at)

    def is_held(self, now: float) -> bool:
        """Return whether the lease is valid, so that no takeover can have happened."""
        return now < self.expires_at

    def invalidate(self, now: float = -inf) -> None:
        """
        End the lease because it was released or its row was overwritten.

        Parameters
        ----------
        now : float, default=-inf
            Time in seconds; renewals that were sent before it are ignored when they
            are confirmed later.
        """
        self._last_renewal = -inf
        self._dropped_at = now


@dataclass(frozen=True)
class _Observation:
    version: int | None
    observed_since: float


class LeaseObserver:
    """
    Measures, on the observer's own clock, how long lease rows stay unchanged.

    Parameters
    ----------
    settings : LeaseSettings
        Durations of leases.

    Notes
    -----
    The time for which a row stayed unchanged starts when the first read with its
    present version was received, and ends when the latest read with the same version
    was sent; so clocks of different machines are never compared.

    Absence is treated like a version. Hence the expiry of a lease can also be
    measured if its row was deleted, or if another incarnation has replaced the holder
    (the key contains the incarnation). A row that no read has contained yet is
    observed from the first read after `measure_unchanged_s` was called with its key:
    that the row was absent before doesn't show that no holder existed between two
    reads.

    If the time between two reads exceeds the lease duration, observation of all rows
    starts again: while the table was unreachable, holders couldn't renew their leases
    either, and they need time to do so.
    """

    def __init__(self, settings: LeaseSettings) -> None:
        self._settings = settings
        self._observations: dict[str, _Observation] = {}
        self._queried_keys: set[str] = set()
        self._latest_sent_at = -inf

    def observe_rows(
        self, sent_at: float, received_at: float, versions: Mapping[str, int]
    ) -> None:
        """
        Record a successful read of all lease rows.

        Parameters
        ----------
        sent_at, received_at : float
            Times in seconds, taken before the read was sent and after its answer was
            received.
        versions : mapping of str to int
            Version of each row that exists.
        """
        if sent_at < self._latest_sent_at:
            return
        if sent_at - self._latest_sent_at > self._settings.ttl_s:
            self._observations.clear()
        for key in self._observations.keys() | versions.keys() | self._queried_keys:
            self._observe_row(key, versions.get(key), received_at)
        self._latest_sent_at = sent_at
        self._discard_absent()

    def record_failed_read(self, now: float) -> None:
        """
        Record a failed read.

        Parameters
        ----------
        now : float
            Time in seconds.
        """
        if now - self._latest_sent_at > self._settings.ttl_s:
            self._observations.clear()

    def measure_unchanged_s(self, key: str) -> float:
        """
        Measure how long a row has certainly stayed unchanged.

        Parameters
        ----------
        key : str
            Key of the row, present or absent.

        Returns
        -------
        float
            Seconds; 0.0 before a read has observed the row.
        """
        self._queried_keys.add(key)
        observation = self._observations.get(key)
        if observation is None:
            return 0.0
        return max(0.0, self._latest_sent_at - observation.observed_since)

    def is_expired(self, key: str) -> bool:
        """Return whether the lease in a row has expired, including the margin."""
        settings = self._settings
        return self.measure_unchanged_s(key) >= settings.ttl_s + settings.margin_s

    def find_version(self, key: str) -> int | None:
        """Return the version in the latest read; None if the row is absent."""
        observation = self._observations.get(key)
        return observation.version if observation else None

    def _observe_row(self, key: str, version: int | None, received_at: float) -> None:
        previous = self._observations.get(key)
        if previous is None or previous.version != version:
            self._observations[key] = _Observation(version, received_at)

    def _discard_absent(self) -> None:
        # After the longest wait for a takeover, an absent row is of no use unless its
        # key is still being queried.
        longest_s = find_outage_wait(self._settings)
        obsolete = [
            key
            for key, observation in self._observations.items()
            if observation.version is None
            and key not in self._queried_keys
            and self._latest_sent_at - observation.observed_since > longest_s
        ]
        for key in obsolete:
            del self._observations[key]
        self._queried_keys.clear()
