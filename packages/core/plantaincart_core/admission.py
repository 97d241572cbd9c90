"""Admission control: whether a request can be answered in time at an upstream."""

from dataclasses import dataclass

__all__ = ["Admission", "LatencyEstimate", "decide_admission"]


@dataclass(frozen=True, kw_only=True, slots=True)
class LatencyEstimate:
    """
    Expected times of a request at the upstream that would run it.

    Parameters
    ----------
    wait_s : float
        Seconds until a concurrency slot is free.
    work_s : float
        Seconds for which the request runs.
    remaining_s : float
        Seconds until the deadline of the caller or the timeout of the route.
    target_s : float
        Latency objective of the route in seconds.
    """

    wait_s: float
    work_s: float
    remaining_s: float
    target_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Admission:
    """
    Decision whether to send a request.

    Parameters
    ----------
    admitted : bool
        Whether the request should be sent.
    max_latency_s : float
        Upper bound in seconds of the expected latency of admitted requests.
    retry_after_s : float
        Seconds until the expected wait is short enough; 0 if admitted.
    """

    admitted: bool
    max_latency_s: float
    retry_after_s: float = 0.0


def decide_admission(expected: LatencyEstimate, latency_share: float) -> Admission:
    """
    Admit a request if its expected latency is low enough for its priority.

    Parameters
    ----------
    expected : LatencyEstimate
        Estimates for the request.
    latency_share : float
        Upper bound of the expected latency as a multiple of the latency objective.

    Returns
    -------
    Admission
        Decision.

    Notes
    -----
    If a concurrency slot is free, a request is admitted unless the remaining time is
    shorter than half of its expected work. Less urgent requests have a lower
    `latency_share`, so that the end of the queue remains free for urgent ones.

    Examples
    --------
    >>> expected = LatencyEstimate(
    ...     wait_s=0.5, work_s=0.2, remaining_s=2.0, target_s=0.4)
    >>> decide_admission(expected, latency_share=1.0)
    Admission(admitted=False, max_latency_s=0.4, retry_after_s=0.3)
    >>> decide_admission(expected, latency_share=2.0).admitted
    True
    """
    max_latency_s = min(latency_share * expected.target_s, expected.remaining_s)
    if expected.wait_s <= 0.0:
        admitted = expected.work_s * 0.5 <= expected.remaining_s
        return Admission(admitted=admitted, max_latency_s=max_latency_s)
    if expected.wait_s + expected.work_s <= max_latency_s:
        return Admission(admitted=True, max_latency_s=max_latency_s)
    excess = expected.wait_s - max(0.0, max_latency_s - expected.work_s)
    return Admission(
        admitted=False, max_latency_s=max_latency_s, retry_after_s=round(excess, 3)
    )
