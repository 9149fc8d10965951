"""Retry budgets of one daemon."""

from greengagehoist.retries import RetryBudget
from greengagehoist.utils import Published

# Daemons that may own a pool within one budget window, in succession or because of a partition.
MAX_POOL_OWNERS = 3


class RetryBudgets:
    """Retry budgets of this daemon, by service.

    :param ratio: retries for each request.
    :param slack: retries of all daemons in each window in addition to the ratio.
    :param window_s: length of the window in seconds.
    :param daemons: published number of daemons.
    """

    def __init__(self, ratio: float, slack: float, window_s: float, daemons: Published[int]):
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.daemons = daemons
        self._budgets: dict[str, RetryBudget] = {}

    def set_bounds(self, ratio: float, slack: float, window_s: float) -> None:
        """Change the limits; a stage pool uses the new ones after its next change of owner."""
        self.ratio, self.slack, self.window_s = ratio, slack, window_s
        for budget in self._budgets.values():
            budget.ratio, budget.window_s = ratio, window_s

    def pool_budget(self) -> RetryBudget:
        """Return an unused budget for the owner of a stage pool.

        A pool has one owner, but may have several within one window when daemons fail or are
        partitioned.
        """
        share = self.slack / min(MAX_POOL_OWNERS, max(1, self.daemons.value))
        return RetryBudget(self.ratio, share, self.window_s)

    def service_budget(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self.ratio, self.slack, self.window_s)
            self._budgets[service] = budget
        budget.slack = self.slack / max(1, self.daemons.value)
        return budget
