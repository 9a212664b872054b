"""First filter: refuses while the daemon may not serve."""

from expression import Ok

from lovageway.chain import Context, Filter, Verdict, stop
from lovageway.controllers.configuration import Configuration
from lovageway.events import Emit


class Readiness(Filter):
    """Lets requests pass while every accepted change is known to be in force here."""

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration

    def admit(self, ctx: Context, now: float, emit: Emit) -> Verdict:
        """Refuse while there is no configuration, or while it may be out of date."""
        refusal = self._configuration.may_serve(now)
        return Ok(ctx) if refusal is None else stop(refusal)
