"""Retry budgets, which limit the repeated attempts of each contract at each service."""

from collections import OrderedDict

from lovageway.controllers.base import Controller

EARNED = 0.1  # retries earned by each request that is answered completely
MAX_BALANCE = 10.0
# A new budget allows one retry, so that a rare caller is not refused at its first lost attempt.
INITIAL_BALANCE = 1.0
MAX_BUDGETS = 4096  # about 0.6 MB; the least recently used one is removed

Key = tuple[str, str]


class Budgets(Controller):
    """Balances of retries, keyed by account and service.

    Retries are earned when a request is answered, not when it arrives. In an outage nothing is
    earned, so N requests cost at most N + MAX_BALANCE attempts. Earning on arrival would allow
    1.1 N + MAX_BALANCE attempts, which is always above 1.1 for each request.
    """

    def __init__(self) -> None:
        self._balances: OrderedDict[Key, float] = OrderedDict()

    def earn(self, account: str, service: str) -> None:
        """Credit the budget for a request that has been answered completely."""
        self._set((account, service), min(MAX_BALANCE, self._get((account, service)) + EARNED))

    def spend(self, account: str, service: str) -> bool:
        """Use one retry; return False when the budget does not allow it."""
        balance = self._get((account, service))
        # Ten additions of 0.1 give slightly less than 1 in binary floating point.
        if balance < 1.0 - 1e-9:
            return False
        self._set((account, service), max(0.0, balance - 1.0))
        return True

    def dump(self, now: float) -> dict[str, object]:
        """Return the balances."""
        return {f"{account}/{service}": left for (account, service), left in self._balances.items()}

    def _get(self, key: Key) -> float:
        return self._balances.get(key, INITIAL_BALANCE)

    def _set(self, key: Key, balance: float) -> None:
        self._balances[key] = balance
        self._balances.move_to_end(key)
        while len(self._balances) > MAX_BUDGETS:
            self._balances.popitem(last=False)
