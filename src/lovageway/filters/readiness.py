"""First filter: refuses while the daemon may not serve."""

from expression import Ok

from lovageway.chain import Context, Filter, Verdict, stop
from lovageway.codes import Code, Refusal
from lovageway.controllers.configuration import Configuration
from lovageway.events import Emit

RETRY_AFTER_S = 1.0


class Readiness(Filter):
    """Lets requests pass once a configuration is in force."""

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration

    def admit(self, ctx: Context, now: float, emit: Emit) -> Verdict:
        """Refuse while there is no configuration."""
        if not self._configuration.ready():
            return stop(Refusal(Code.STARTING, retry_after_s=RETRY_AFTER_S))
        return Ok(ctx)
