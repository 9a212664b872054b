"""Switches single mechanisms of the forwarding path off in a copy of the repository.

``python -m bench.ablations NAME COPY`` changes the sources below COPY, a checkout to be played and
thrown away; without arguments it lists the names. A daemon has no switch for any of them.
"""

import sys
from pathlib import Path
from typing import NamedTuple

SOURCES = Path("src/lovageway/forwarding")


class Ablation(NamedTuple):
    """One mechanism, and the change that switches it off."""

    mechanism: str
    module: str
    old: str
    new: str


ABLATIONS = {
    "checkpoints": Ablation(
        "checkpoints of long generations on another engine",
        "migration.py",
        "if engine is None or not engine.backups or",
        "if engine is None or True or",
    ),
    "migrations": Ablation(
        "migrations off leaving engines",
        "streams.py",
        "or not engine.supports_migration",
        "or True",
    ),
    "turns": Ablation(
        "turns on the link of a leaving engine",
        "migration.py",
        "        if notice is None:\n            return True\n",
        "        return True\n",
    ),
    "regions": Ablation(
        "preference for regions that can lose an engine",
        "placement.py",
        "UNMIGRATABLE_COST = 6.0",
        "UNMIGRATABLE_COST = 0.0",
    ),
    "load-messages": Ablation(
        "load that is announced at once",
        "peers.py",
        "allowed = int(self._load_added_tokens.at(now))",
        "allowed = 0",
    ),
    "region-totals": Ablation(
        "load of other regions",
        "peers.py",
        "[*to.other_regions, *to.region]",
        "[*to.region]",
    ),
    "unread-prompts": Ablation(
        "cost of prompts that an engine has yet to process",
        "placement.py",
        "UNREAD_TOKEN_COST = 1 / 700",
        "UNREAD_TOKEN_COST = 0.0",
    ),
    "output-hints": Ablation(
        "clients' hints of the length of the output",
        "placement.py",
        "if generation.output_hint > 0:",
        "if False:",
    ),
    "retries": Ablation(
        "second attempts after an attempt that may have run",
        "forwarder.py",
        "return request.may_resend(Kind.RETRY)",
        "return outcome is Outcome.NOT_RUN and request.may_resend(Kind.RETRY)",
    ),
    "priorities": Ablation(
        "priorities of requests at engines",
        "attempt.py",
        "priority=request.priority if request.head.generation is not None else None",
        "priority=None",
    ),
    "queue-order": Ablation(
        "order of waiting requests by target time and priority",
        "admissionqueue.py",
        "return (now > self.target_at, self.priority, self.arrived_at)",
        "return (False, 0, self.arrived_at)",
    ),
}


def apply(name: str, root: Path) -> None:
    """Switch a mechanism off in the sources below a checkout.

    Raises
    ------
    ValueError
        The source does not contain the text to change exactly once.
    """
    ablation = ABLATIONS[name]
    path = root / SOURCES / ablation.module
    text = path.read_text()
    if text.count(ablation.old) != 1:
        raise ValueError(f"{path} does not contain {ablation.old!r} once: update bench.ablations")
    path.write_text(text.replace(ablation.old, ablation.new))


def main(args: list[str]) -> int:
    """Apply one ablation, or list all of them."""
    if len(args) != 2 or args[0] not in ABLATIONS:
        for name, ablation in ABLATIONS.items():
            print(f"{name:<16} {ablation.mechanism}")
        return 2
    apply(args[0], Path(args[1]))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
