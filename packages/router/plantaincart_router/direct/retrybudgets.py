"""Retry budgets of all services at one instance."""

from plantaincart_core.rank import Rank
from plantaincart_core.windowbudget import WindowRetryBudget

from plantaincart_router.direct.settings import DirectSettings

__all__ = ["RetryBudgets"]


class RetryBudgets:
    """
    Keeps one retry budget for each service.

    Parameters
    ----------
    settings : DirectSettings
        Settings of the instance.
    """

    def __init__(self, settings: DirectSettings) -> None:
        self._settings = settings
        self._budgets: dict[str, WindowRetryBudget] = {}

    def find(self, service: str) -> WindowRetryBudget:
        """Return the budget of a service, adding one if it is missing."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = self._make_budget()
        return budget

    def estimate_left(
        self, service: str, now: float, instances: int, rank: Rank
    ) -> float:
        """
        Return the retries that are left; nothing is spent.

        Parameters
        ----------
        service : str
            Name of the service.
        now : float
            Present time in seconds.
        instances : int
            Instances that share the budget, at least 1.
        rank : Rank
            Rank of the requests.
        """
        budget = self._budgets.get(service) or self._make_budget()
        return budget.estimate_left(now, instances, rank)

    def _make_budget(self) -> WindowRetryBudget:
        bounds = self._settings.bounds
        budget_share = self._settings.send.retry_budget_share
        return WindowRetryBudget(
            bounds.retry_ratio * budget_share,
            bounds.retry_extra * budget_share,
            bounds.retry_window_s,
        )
