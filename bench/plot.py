"""Histograms of times with logarithmic buckets, as text and as SVG."""

import math
from collections import Counter
from html import escape

PER_DECADE = 5
FLOOR_MS = 0.1  # shorter times fall into the first bucket
BAR = 30  # characters of a bar that holds half of all values
WIDTH, HEIGHT, MARGIN, COLOURS = 720, 300, 50, ("#888888", "#1f77b4", "#d95f02", "#1b9e77")


def bucket(value):
    """Return the number of the bucket that holds `value`."""
    return math.floor(PER_DECADE * math.log10(max(value, FLOOR_MS)) + 1e-9)


def edge(number):
    """Return the lower end of a bucket."""
    return 10 ** (number / PER_DECADE)


def shares(values):
    """Return the part of the values in each bucket."""
    found = Counter(map(bucket, values))
    return {number: count / len(values) for number, count in found.items()}


def _span(series):
    numbers = [number for part in series.values() for number in part]
    return range(min(numbers), max(numbers) + 1) if numbers else range(0)


def text(samples):
    """Return a text plot of the samples (name -> times in ms), side by side."""
    series = {name: shares(values) for name, values in samples.items()}
    lines = ["".join(["      ms  ", *(f"{name:<{BAR + 9}}" for name in series)]).rstrip()]
    for number in _span(series):
        cells = []
        for part in series.values():
            share = part.get(number, 0.0)
            # Any value at all shows: the tail is what the plot is for.
            bar = "#" * min(BAR, math.ceil(2 * BAR * share))
            shown = f"{100 * share:6.2f} " if share else " " * 7
            cells.append(f"{shown}{bar:<{BAR}}  ")
        lines.append(f"{edge(number):8.1f}  {''.join(cells)}".rstrip())
    return "\n".join(lines)


def svg(title, samples):
    """Return an SVG picture: share of values (logarithmic) over time (logarithmic)."""
    series = {name: shares(values) for name, values in samples.items()}
    span = _span(series)
    least = min((share for part in series.values() for share in part.values()), default=1.0)
    decades = max(1, math.ceil(-math.log10(least)))
    step = (WIDTH - 2 * MARGIN) / max(1, len(span))
    base, rise = HEIGHT - MARGIN, (HEIGHT - 2 * MARGIN) / decades
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" '
        'font-family="sans-serif" font-size="11">',
        '<rect width="100%" height="100%" fill="white"/>',
        f'<text x="{MARGIN}" y="16">{escape(title)}</text>',
    ]
    for index, number in enumerate(span):
        if number % PER_DECADE == 0:
            x, label = MARGIN + index * step, f"{edge(number):g} ms"
            parts.append(f'<text x="{x:.1f}" y="{base + 14}">{label}</text>')
    for power in range(decades + 1):
        parts.append(
            f'<text x="4" y="{base - rise * (decades - power):.1f}">{100 / 10**power:g} %</text>'
        )
    for place, (name, part) in enumerate(series.items()):
        colour = COLOURS[place % len(COLOURS)]
        points = []
        for index, number in enumerate(span):
            y = base - rise * (decades + math.log10(part.get(number, 10.0**-decades)))
            x = MARGIN + index * step
            points.append(f"{x:.1f},{y:.1f} {x + step:.1f},{y:.1f}")
        parts.append(f'<polyline fill="none" stroke="{colour}" points="{" ".join(points)}"/>')
        parts.append(
            f'<text x="{MARGIN + 150 * place}" y="34" fill="{colour}">{escape(name)}</text>'
        )
    return "\n".join([*parts, "</svg>", ""])
