"""Histograms of times with logarithmic buckets, as text and as SVG."""

import math
from collections import Counter
from html import escape

PER_DECADE = 5
FLOOR_MS = 0.1  # shorter times count as this one
MAX_BAR_CHARS = 30  # the bar of a bucket that holds half of the values or more
WIDTH, HEIGHT, MARGIN, COLOURS = 720, 300, 50, ("#888888", "#1f77b4", "#d95f02", "#1b9e77")


def bucket(value):
    """Return the number of the bucket that holds `value` ms."""
    return math.floor(PER_DECADE * math.log10(max(value, FLOOR_MS)) + 1e-9)


def lower_edge(number):
    """Return the lower edge of a bucket in ms."""
    return 10 ** (number / PER_DECADE)


def bucket_shares(values):
    """Return the fraction of the values in each bucket that has any."""
    counts = Counter(map(bucket, values))
    return {number: count / len(values) for number, count in counts.items()}


def _bucket_range(series):
    numbers = [number for fractions in series.values() for number in fractions]
    return range(min(numbers), max(numbers) + 1) if numbers else range(0)


def render_text(samples):
    """Return a text plot of the samples (name -> times in ms), side by side."""
    series = {name: bucket_shares(values) for name, values in samples.items()}
    lines = ["".join(["      ms  ", *(f"{name:<{MAX_BAR_CHARS + 9}}" for name in series)]).rstrip()]
    for number in _bucket_range(series):
        cells = []
        for fractions in series.values():
            share = fractions.get(number, 0.0)
            # Rounded up so that a single value is visible: the plot serves to show the tail.
            bar = "#" * min(MAX_BAR_CHARS, math.ceil(2 * MAX_BAR_CHARS * share))
            shown = f"{100 * share:6.2f} " if share else " " * 7
            cells.append(f"{shown}{bar:<{MAX_BAR_CHARS}}  ")
        lines.append(f"{lower_edge(number):8.1f}  {''.join(cells)}".rstrip())
    return "\n".join(lines)


def render_svg(title, samples):
    """Return an SVG picture: share of values (logarithmic) over time (logarithmic)."""
    series = {name: bucket_shares(values) for name, values in samples.items()}
    buckets = _bucket_range(series)
    min_share = min(
        (share for fractions in series.values() for share in fractions.values()), default=1.0
    )
    decades = max(1, math.ceil(-math.log10(min_share)))
    bucket_width = (WIDTH - 2 * MARGIN) / max(1, len(buckets))
    baseline_y, decade_height = HEIGHT - MARGIN, (HEIGHT - 2 * MARGIN) / decades
    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" '
        'font-family="sans-serif" font-size="11">',
        '<rect width="100%" height="100%" fill="white"/>',
        f'<text x="{MARGIN}" y="16">{escape(title)}</text>',
    ]
    for index, number in enumerate(buckets):
        if number % PER_DECADE == 0:
            x, label = MARGIN + index * bucket_width, f"{lower_edge(number):g} ms"
            parts.append(f'<text x="{x:.1f}" y="{baseline_y + 14}">{label}</text>')
    for power in range(decades + 1):
        parts.append(
            f'<text x="4" y="{baseline_y - decade_height * (decades - power):.1f}">'
            f"{100 / 10**power:g} %</text>"
        )
    for series_number, (name, fractions) in enumerate(series.items()):
        colour = COLOURS[series_number % len(COLOURS)]
        points = []
        for index, number in enumerate(buckets):
            y = baseline_y - decade_height * (
                decades + math.log10(fractions.get(number, 10.0**-decades))
            )
            x = MARGIN + index * bucket_width
            points.append(f"{x:.1f},{y:.1f} {x + bucket_width:.1f},{y:.1f}")
        parts.append(f'<polyline fill="none" stroke="{colour}" points="{" ".join(points)}"/>')
        parts.append(
            f'<text x="{MARGIN + 150 * series_number}" y="34" fill="{colour}">{escape(name)}</text>'
        )
    return "\n".join([*parts, "</svg>", ""])
