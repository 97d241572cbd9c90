"""Chances of upstreams in the random choice of `plantaincart_core.choice`."""

from bisect import bisect_left, bisect_right
from collections.abc import Mapping
from math import comb

from plantaincart_core.choice import ChoiceSettings

__all__ = ["find_chances"]


def find_chances(
    local: Mapping[str, float], remote: Mapping[str, float], settings: ChoiceSettings
) -> dict[str, float]:
    """
    Return how often `choose_cheapest` chooses each upstream.

    Parameters
    ----------
    local, remote : mapping of str to float
        Costs of the upstreams of the instance's own data centre and of the others, as
        the choice estimates them, without the factor for other data centres.
    settings : ChoiceSettings
        Sample sizes and the penalty for other data centres.

    Returns
    -------
    dict of str to float
        Shares of many choices at this moment; their sum is 1 if there are upstreams.

    Examples
    --------
    >>> settings = ChoiceSettings(local_sample=2, remote_sample=1, min_sample=2)
    >>> chances = find_chances({"a": 0.1, "b": 0.2, "c": 0.3}, {}, settings)
    >>> {name: round(chance, 2) for name, chance in chances.items()}
    {'a': 0.67, 'b': 0.33, 'c': 0.0}
    >>> find_chances({"a": 0.2}, {"b": 0.1}, settings)
    {'a': 0.0, 'b': 1.0}
    """
    factor = settings.remote_cost_factor
    remote = {name: cost * factor for name, cost in remote.items()}
    local_count = max(settings.local_sample, settings.min_sample - len(remote))
    remote_count = max(settings.remote_sample, settings.min_sample - len(local))
    chances = {}
    for own, own_count, others, other_count, wins_ties in (
        (local, local_count, remote, remote_count, True),
        (remote, remote_count, local, local_count, False),
    ):
        own_costs, other_costs = sorted(own.values()), sorted(others.values())
        find_before = bisect_left if wins_ties else bisect_right
        for name, cost in own.items():
            cheaper = bisect_left(own_costs, cost)
            equal = bisect_right(own_costs, cost) - cheaper
            chance = (
                _find_absence(len(own), own_count, cheaper)
                - _find_absence(len(own), own_count, cheaper + equal)
            ) / equal
            before = find_before(other_costs, cost)
            chances[name] = chance * _find_absence(len(others), other_count, before)
    return chances


def _find_absence(total: int, sample: int, marked: int) -> float:
    """Return the probability that a random sample contains none of the marked ones."""
    sample = min(sample, total)
    return comb(total - marked, sample) / comb(total, sample)
