"""What every controller offers to the node."""

from lovageway.events import Emit, TableAnswered
from lovageway.messages import Message


class Controller:
    """Sole owner of one piece of state.

    Methods take the time in seconds of the runtime's clock and add effects through `emit`.
    """

    def on_message(self, sender: str, address: str, msg: Message, now: float, emit: Emit) -> None:
        """Take a message of the daemon `sender` whose peer listener is at `address`."""

    def tick(self, now: float, emit: Emit) -> None:
        """Do what is due; called several times a second."""

    def on_table(self, event: TableAnswered, now: float, emit: Emit) -> None:
        """Take an answer of the table service; operation ids tell whose it is."""

    def dump(self, now: float) -> dict[str, object]:
        """Return the state as plain values that can be written as JSON."""
        return {}
