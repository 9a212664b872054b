"""What the longest times between tokens consist of, as the engine stand-ins recorded them.

A gap of the engine leaves out the way through daemon and client; the difference of its p99 to the
caller's is what these add.
"""

import json

from standins.engine import FirstToken, Gap
from standins.fleet import http

KINDS = {"long": 10, "short": 0}  # priorities
TOP = 0.01
PARTS = ("decode_s", "prompt_s", "again_s", "late_s")
HEADS = (
    "gaps",
    "p99",
    "with prompt %",
    "with recomputation %",
    "top: preempted %",
    "top: recomputation %",
    "top: prompt %",
    "top: neither %",
    "top: decode",
    "top: prompt",
    "top: recomputation",
    "top: late",
    "top: waited",
    "p99 decode alone",
    "p99 without prompts",
    "p99 without recomputation",
    "first p99",
    "first waited p99",
)


def read_gaps(fleet, since):
    """Return the gaps and the first tokens of all engines after `since` (monotonic seconds)."""
    gaps, firsts = [], []
    for vm in fleet.vms.values():
        if vm["role"] == "backend":
            resp = http.request("GET", f"http://{vm['address']}/gaps")
            if resp.status == 200:
                more = json.loads(resp.data)
                gaps += [Gap(*item) for item in more[0]]
                firsts += [FirstToken(*item) for item in more[1]]
    return [[item for item in found if item.at >= since] for found in (gaps, firsts)]


def cause(gap):
    """Return the largest avoidable reason of a gap."""
    if gap.preempted:
        return "preempted"
    if gap.again_s or gap.prompt_s:
        return "recomputation" if gap.again_s >= gap.prompt_s else "prompt"
    return "neither"


def composition(gaps, firsts):
    """Return one row of the table: shares in percent, times in ms.

    "top" is the longest hundredth. The columns of p99 are what would be left if
    the named parts took no time and everything else stayed as it was. The first token counts from
    the arrival at the engine; of it, "waited" passed before the sequence joined the batch.
    """
    gaps = sorted(gaps, key=lambda gap: gap.gap_s)
    if not gaps:
        return dict.fromkeys(HEADS, float("nan"))
    top = gaps[int((1 - TOP) * len(gaps)) :]
    causes = [cause(gap) for gap in top]
    means = [1000 * sum(getattr(gap, part) for gap in top) / len(top) for part in PARTS]
    waited = 1000 * sum(gap.gap_s for gap in top) / len(top) - sum(means)
    figures = [len(gaps), top[0].gap_s * 1000]
    figures += [
        _percent(gap.prompt_s > 0 for gap in gaps),
        _percent(gap.again_s > 0 for gap in gaps),
    ]
    figures += [
        _percent(found == name for found in causes)
        for name in ("preempted", "recomputation", "prompt", "neither")
    ]
    figures += [*means, waited]
    figures += [
        _p99_ms(gap.decode_s for gap in gaps),
        _p99_ms(gap.gap_s - gap.prompt_s for gap in gaps),
        _p99_ms(gap.decode_s + gap.prompt_s + gap.late_s for gap in gaps),
        _p99_ms(first.first_s for first in firsts),
        _p99_ms(first.waited_s for first in firsts),
    ]
    return dict(zip(HEADS, figures, strict=True))


def _percent(flags):
    flags = list(flags)
    return 100 * sum(flags) / len(flags)


def _p99_ms(values):
    ordered = sorted(values)
    return ordered[int((1 - TOP) * len(ordered))] * 1000


def show(found, title):
    """Print the composition by policy and kind; maps policies to pairs of `read_gaps`."""
    print(f"\n{title}\n")
    print("| policy | kind | " + " | ".join(HEADS) + " |")
    print("|---" * (len(HEADS) + 2) + "|")
    for kind, priority in KINDS.items():
        for policy, lists in found.items():
            row = composition(*([i for i in items if i.priority == priority] for items in lists))
            cells = [f"{item:.1f}" if isinstance(item, float) else item for item in row.values()]
            print(f"| {policy} | {kind} | " + " | ".join(map(str, cells)) + " |")
