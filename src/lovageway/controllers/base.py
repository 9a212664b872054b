"""Base class of the controllers that the node runs."""

from lovageway.events import Emit, TableAnswered
from lovageway.messages import Message


class Controller:
    """Sole owner of one part of the daemon's state.

    Methods receive the time in seconds of the runtime's clock and pass effects to `emit`.
    The methods of this class do nothing; subclasses override those that they need.
    """

    def on_message(self, sender: str, address: str, msg: Message, now: float, emit: Emit) -> None:
        """Process a message from the daemon `sender`, whose peer listener is at `address`."""

    def tick(self, now: float, emit: Emit) -> None:
        """Run timers and periodic work; called several times a second."""

    def on_table(self, event: TableAnswered, now: float, emit: Emit) -> None:
        """Process an answer of the table service.

        Every controller receives every answer; the operation id names the one that made the call.
        """

    def dump(self, now: float) -> dict[str, object]:
        """Return the state as plain values that can be written as JSON."""
        return {}
