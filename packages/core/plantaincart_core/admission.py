"""Admission control: whether a request can be answered in time at an upstream."""

from dataclasses import dataclass

__all__ = ["Admission", "Expectation", "decide_admission"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Expectation:
    """
    Expected times of a request at the upstream that would run it.

    Parameters
    ----------
    wait_s : float
        Seconds until a concurrency slot is free.
    work_s : float
        Seconds for which the request runs.
    left_s : float
        Seconds until the deadline of the caller or the timeout of the route.
    target_s : float
        Latency objective of the route in seconds.
    """

    wait_s: float
    work_s: float
    left_s: float
    target_s: float


@dataclass(frozen=True, kw_only=True, slots=True)
class Admission:
    """
    Decision whether to send a request.

    Parameters
    ----------
    admitted : bool
        Whether the request should be sent.
    bound_s : float
        Upper bound in seconds of the expected latency of admitted requests.
    retry_after_s : float
        Seconds until the expected wait is short enough; 0 if admitted.
    """

    admitted: bool
    bound_s: float
    retry_after_s: float = 0.0


def decide_admission(expected: Expectation, latency_share: float) -> Admission:
    """
    Admit a request if its expected latency is low enough for its priority.

    Parameters
    ----------
    expected : Expectation
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
    >>> expected = Expectation(wait_s=0.5, work_s=0.2, left_s=2.0, target_s=0.4)
    >>> decide_admission(expected, latency_share=1.0)
    Admission(admitted=False, bound_s=0.4, retry_after_s=0.3)
    >>> decide_admission(expected, latency_share=2.0).admitted
    True
    """
    bound_s = min(latency_share * expected.target_s, expected.left_s)
    if expected.wait_s <= 0.0:
        admitted = expected.work_s * 0.5 <= expected.left_s
        return Admission(admitted=admitted, bound_s=bound_s)
    if expected.wait_s + expected.work_s <= bound_s:
        return Admission(admitted=True, bound_s=bound_s)
    excess = expected.wait_s - max(0.0, bound_s - expected.work_s)
    return Admission(admitted=False, bound_s=bound_s, retry_after_s=round(excess, 3))
