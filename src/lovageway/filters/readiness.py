"""First filter: refuses while the daemon may not serve."""

from expression import Ok

from lovageway.chain import Context, Filter, Verdict, stop
from lovageway.codes import Code, Refusal
from lovageway.controllers.configuration import Configuration
from lovageway.controllers.discovery import Discovery
from lovageway.controllers.drain import Drain
from lovageway.events import Emit

RETRY_AFTER_S = 1.0
MAX_OTHERS = 8


class Readiness(Filter):
    """Lets requests pass once a configuration is in force and until a planned stop refuses them."""

    def __init__(self, configuration: Configuration, drain: Drain, discovery: Discovery) -> None:
        self._configuration = configuration
        self._drain = drain
        self._discovery = discovery

    def admit(self, ctx: Context, now: float, emit: Emit) -> Verdict:
        """Refuse while there is no configuration, and when this daemon is about to stop."""
        if self._drain.refusing(now):
            others = self._discovery.addresses(None, ctx.req.request_id)[:MAX_OTHERS]
            return stop(Refusal(Code.LEAVING, addresses=others, retry_after_s=0.0))
        if not self._configuration.ready():
            return stop(Refusal(Code.STARTING, retry_after_s=RETRY_AFTER_S))
        return Ok(ctx)
