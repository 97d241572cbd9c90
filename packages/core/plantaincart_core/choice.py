"""Choice among equivalent upstreams when load information is stale."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

__all__ = ["ChoiceSettings", "choose_cheapest"]


@dataclass(frozen=True, kw_only=True, slots=True)
class ChoiceSettings:
    """
    Sample sizes of the random choice, and the penalty for other data centres.

    Parameters
    ----------
    local_sample, remote_sample : int
        Number of upstreams drawn from the instance's own data centre and from the
        other data centres.
    min_sample : int
        Least number of upstreams drawn in total, if there are so many.
    remote_cost_factor : float
        Factor by which the cost of an upstream in another data centre is multiplied.
    """

    local_sample: int = 3
    remote_sample: int = 2
    min_sample: int = 4
    remote_cost_factor: float = 1.5


def choose_cheapest(
    local: Sequence[str],
    remote: Sequence[str],
    estimate_cost: Callable[[str], float],
    settings: ChoiceSettings,
    random: Random,
) -> str | None:
    """
    Choose the upstream with the lowest cost from a small random sample.

    Parameters
    ----------
    local, remote : sequence of str
        Upstreams of the instance's own data centre and of the other data centres.
    estimate_cost : callable
        Returns the expected cost of an upstream, which must not be negative.
    settings : ChoiceSettings
        Sample sizes and the penalty for other data centres.
    random : random.Random
        Random number generator.

    Returns
    -------
    str or None
        Identity of the upstream; None if there are no upstreams.

    Notes
    -----
    An instance's information about the requests of its peers is up to a quarter of a
    second old. If all instances chose the cheapest of all upstreams, they would all
    send to the same one until its new load is reported; the effect grows with the
    number of instances [1]_. A random sample distributes the requests and still avoids
    slow and full upstreams.

    References
    ----------
    .. [1] M. Mitzenmacher, "How useful is old information?", IEEE Transactions on
       Parallel and Distributed Systems 11 (2000), 6-20.

    Examples
    --------
    >>> costs = {"a": 0.3, "b": 0.25, "c": 0.1}
    >>> choose = choose_cheapest
    >>> choose(["a", "b"], [], costs.get, ChoiceSettings(), Random(1))
    'b'
    >>> choose(["a", "b"], ["c"], costs.get, ChoiceSettings(), Random(1))
    'c'
    >>> strict = ChoiceSettings(remote_cost_factor=3.0)
    >>> choose(["b"], ["c"], costs.get, strict, Random(1))
    'b'
    """
    local_count = max(settings.local_sample, settings.min_sample - len(remote))
    remote_count = max(settings.remote_sample, settings.min_sample - len(local))
    best: str | None = None
    best_cost = float("inf")
    for upstreams, count, factor in (
        (local, local_count, 1.0),
        (remote, remote_count, settings.remote_cost_factor),
    ):
        for upstream in random.sample(upstreams, min(count, len(upstreams))):
            cost = estimate_cost(upstream) * factor
            if cost < best_cost:
                best, best_cost = upstream, cost
    return best
