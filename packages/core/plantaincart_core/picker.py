"""Selection of an upstream for a request without a key."""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

__all__ = ["Candidate", "pick_upstream"]

# Upstreams whose latency is within this factor of the lowest count as equally fast.
LATENCY_TIE_RATIO = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """
    Upstream that could run a request.

    Parameters
    ----------
    name : str
        Name of the upstream.
    in_flight : int
        Requests that it may be running.
    allowed : int
        Requests that it may have in flight, at least 1.
    latency_s : float
        Recent mean latency in seconds.
    straggling : bool
        Whether it is much slower than the other upstreams of its group.
    """

    name: str
    in_flight: int
    allowed: int
    latency_s: float
    straggling: bool


def pick_upstream(candidates: Iterable[Candidate], random: Random) -> str | None:
    """
    Pick the upstream that uses the smallest fraction of its limit.

    Parameters
    ----------
    candidates : iterable of Candidate
        Upstreams that may run the request.
    random : random.Random
        Random number generator that breaks ties.

    Returns
    -------
    str or None
        Name of the upstream; None if the request has to wait.

    Notes
    -----
    Ties are broken at random among the upstreams whose latency is at most twice the
    lowest, so that idle upstreams share the load. A straggler is picked only if all
    candidates are stragglers: while another upstream is merely busy, the wait for it
    is assumed to be shorter than the delay at a straggler.
    """
    group = list(candidates)
    not_straggling = [candidate for candidate in group if not candidate.straggling]
    available = [
        candidate
        for candidate in not_straggling or group
        if candidate.in_flight < candidate.allowed
    ]
    if not available:
        return None
    min_utilisation = min(
        candidate.in_flight / candidate.allowed for candidate in available
    )
    least_utilised = [
        candidate
        for candidate in available
        if candidate.in_flight / candidate.allowed <= min_utilisation
    ]
    max_latency_s = LATENCY_TIE_RATIO * min(
        candidate.latency_s for candidate in least_utilised
    )
    tied = [
        candidate
        for candidate in least_utilised
        if candidate.latency_s <= max_latency_s
    ]
    return tied[0].name if len(tied) == 1 else random.choice(tied).name
