"""Retry budgets: how many attempts may be repeated for each contract and service."""

from collections import OrderedDict

from lovageway.controllers.base import Controller

EARNED = 0.1  # for each request that is answered whole
MAX_BALANCE = 10.0
FIRST = 1.0  # a new budget allows one retry, so that a rare caller is not refused at the first loss
MAX_BUDGETS = 4096  # about 0.6 MB; the one used least recently starts anew

Key = tuple[str, str]


class Budgets(Controller):
    """Owner of the balances.

    Answered requests earn, not arriving ones: in an outage nothing is earned, so N requests cost at
    most N + RESERVE attempts. Earning on arrival would allow 1.1 N + RESERVE, always above 1.1.
    """

    def __init__(self) -> None:
        self._balances: OrderedDict[Key, float] = OrderedDict()

    def earn(self, account: str, service: str) -> None:
        """Note that a request has been answered whole."""
        self._set((account, service), min(MAX_BALANCE, self._get((account, service)) + EARNED))

    def spend(self, account: str, service: str) -> bool:
        """Take one retry; False when the budget does not allow it."""
        balance = self._get((account, service))
        # Ten times 0.1 is slightly less than 1 in binary floating point.
        if balance < 1.0 - 1e-9:
            return False
        self._set((account, service), max(0.0, balance - 1.0))
        return True

    def dump(self, now: float) -> dict[str, object]:
        """Return the balances."""
        return {f"{account}/{service}": left for (account, service), left in self._balances.items()}

    def _get(self, key: Key) -> float:
        return self._balances.get(key, FIRST)

    def _set(self, key: Key, balance: float) -> None:
        self._balances[key] = balance
        self._balances.move_to_end(key)
        while len(self._balances) > MAX_BUDGETS:
            self._balances.popitem(last=False)
