"""Composition of the longest times between tokens, from the records of the engine stand-ins.

A gap at the engine excludes the path through daemon and client. The p99 at the caller minus the p99
at the engine is what that path adds.
"""

import json

from standins.engine import FirstToken, Gap
from standins.fleet import http

PRIORITIES = {"long": 10, "short": 0}  # by kind of request
TOP_FRACTION = 0.01
PARTS = ("decode_s", "prompt_s", "again_s", "late_s")
COLUMNS = (
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
    """Return the gaps and the first tokens that all engines recorded since `since` (monotonic)."""
    gaps, firsts = [], []
    for vm in fleet.vms.values():
        if vm["role"] == "backend":
            resp = http.request("GET", f"http://{vm['address']}/gaps")
            if resp.status == 200:
                recorded = json.loads(resp.data)
                gaps += [Gap(*item) for item in recorded[0]]
                firsts += [FirstToken(*item) for item in recorded[1]]
    return [[item for item in found if item.at >= since] for found in (gaps, firsts)]


def main_cause(gap):
    """Return the largest avoidable cause of a gap, "neither" if it has none."""
    if gap.preempted:
        return "preempted"
    if gap.again_s or gap.prompt_s:
        return "recomputation" if gap.again_s >= gap.prompt_s else "prompt"
    return "neither"


def composition(gaps, firsts):
    """Return one row of the table: shares in percent, times in ms.

    "top" is the longest hundredth of the gaps. The p99 columns show the p99 that would remain if
    the named parts took no time and all else were unchanged. The time to the first token counts
    from the arrival at the engine; "waited" is its part before the sequence joined the batch.
    """
    gaps = sorted(gaps, key=lambda gap: gap.gap_s)
    if not gaps:
        return dict.fromkeys(COLUMNS, float("nan"))
    top = gaps[int((1 - TOP_FRACTION) * len(gaps)) :]
    causes = [main_cause(gap) for gap in top]
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
    return dict(zip(COLUMNS, figures, strict=True))


def _percent(flags):
    flags = list(flags)
    return 100 * sum(flags) / len(flags)


def _p99_ms(values):
    ordered = sorted(values)
    return ordered[int((1 - TOP_FRACTION) * len(ordered))] * 1000


def print_composition(runs, title):
    """Print the composition by policy and kind; `runs` maps policies to results of `read_gaps`."""
    print(f"\n{title}\n")
    print("| policy | kind | " + " | ".join(COLUMNS) + " |")
    print("|---" * (len(COLUMNS) + 2) + "|")
    for kind, priority in PRIORITIES.items():
        for policy, lists in runs.items():
            row = composition(*([i for i in items if i.priority == priority] for items in lists))
            cells = [f"{item:.1f}" if isinstance(item, float) else item for item in row.values()]
            print(f"| {policy} | {kind} | " + " | ".join(map(str, cells)) + " |")
