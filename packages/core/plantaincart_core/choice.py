"""Choice among upstreams that can all do the work, by instances with old knowledge."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

__all__ = ["ChoiceSettings", "choose_cheapest"]


@dataclass(frozen=True, kw_only=True, slots=True)
class ChoiceSettings:
    """
    How many upstreams are compared.

    Parameters
    ----------
    near, far : int
        Upstreams drawn from the instance's own data centre and from the others.
    drawn : int
        Upstreams drawn at least, if there are as many.
    crossing : float
        Factor by which one in another data centre must be cheaper.
    """

    near: int = 3
    far: int = 2
    drawn: int = 4
    crossing: float = 1.5


def choose_cheapest(
    near: Sequence[str],
    far: Sequence[str],
    measure: Callable[[str], float],
    settings: ChoiceSettings,
    random: Random,
) -> str | None:
    """
    Choose the cheapest of a few upstreams drawn at random.

    Parameters
    ----------
    near, far : sequence of str
        Upstreams of the own data centre and of the others.
    measure : callable
        Returns the expected cost of an upstream; it isn't negative.
    settings : ChoiceSettings
        How many are compared.
    random : Random
        Source of the draw.

    Returns
    -------
    str or None
        The upstream; None if there is none at all.

    Notes
    -----
    What an instance knows of others' requests is up to a quarter of a second old. If
    all instances took the cheapest of all, they would take the same one until they
    hear of it, the more so the more instances there are [1]_. Comparing a few spreads
    them and still avoids slow and full upstreams.

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
    >>> choose(["b"], ["c"], costs.get, ChoiceSettings(crossing=3.0), Random(1))
    'b'
    """
    near_count = max(settings.near, settings.drawn - len(far))
    far_count = max(settings.far, settings.drawn - len(near))
    best: str | None = None
    best_cost = float("inf")
    for names, count, factor in (
        (near, near_count, 1.0),
        (far, far_count, settings.crossing),
    ):
        for name in random.sample(names, min(count, len(names))):
            cost = measure(name) * factor
            if cost < best_cost:
                best, best_cost = name, cost
    return best
