"""First filter: refuses requests while the daemon may not serve."""

from expression import Ok

from lovageway.chain import Context, Filter, Verdict, stop
from lovageway.codes import Code, Refusal
from lovageway.controllers.configuration import Configuration
from lovageway.controllers.discovery import Discovery
from lovageway.controllers.drain import Drain
from lovageway.events import Emit

MAX_OTHERS = 8  # addresses of other daemons in a refusal


class Readiness(Filter):
    """Refuses requests while the configuration may be stale or the daemon is draining."""

    def __init__(self, configuration: Configuration, drain: Drain, discovery: Discovery) -> None:
        self._configuration = configuration
        self._drain = drain
        self._discovery = discovery

    def admit(self, ctx: Context, now: float, emit: Emit) -> Verdict:
        """Refuse while an accepted change may not be in force here, and late in a drain."""
        if self._drain.is_refusing(now):
            others = self._discovery.addresses(None, ctx.req.request_id)[:MAX_OTHERS]
            return stop(Refusal(Code.LEAVING, addresses=others, retry_after_s=0.0))
        refusal = self._configuration.may_serve(now)
        return Ok(ctx) if refusal is None else stop(refusal)
