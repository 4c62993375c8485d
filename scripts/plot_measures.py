"""Prints the table of the policy measures and writes a page with the frontier as SVG.

usage: plot_measures.py RUNS.jsonl PAGE.html
"""
import collections
import html
import json
import math
import sys

COLUMNS = [
    ("pre/1000", lambda r: r["preemptions"], "{:.1f}"),
    ("fault", lambda r: r["preemptions_during"], "{:.1f}"),
    ("after", lambda r: r["preemptions_after"], "{:.1f}"),
    ("tokens/s", lambda r: r["tokens_per_second"], "{:.0f}"),
    ("q tok/s", lambda r: r["question"]["tokens_per_second"], "{:.0f}"),
    ("d tok/s", lambda r: r["draft"]["tokens_per_second"], "{:.0f}"),
    ("d refused", lambda r: 100 * r["draft"]["refused"], "{:.1f}%"),
    ("q refused", lambda r: 100 * r["question"]["refused"], "{:.2f}%"),
    ("d stall s", lambda r: r["draft"]["stall_per_answer"], "{:.3f}"),
    ("d p50", lambda r: 1000 * r["draft"]["gap_p50"], "{:.1f}"),
    ("d p95", lambda r: 1000 * r["draft"]["gap_p95"], "{:.1f}"),
    ("d p99", lambda r: 1000 * r["draft"]["gap_p99"], "{:.1f}"),
    ("d p99.9 ms", lambda r: 1000 * r["draft"]["gap_p999"], "{:.1f}"),
    ("q p99", lambda r: 1000 * r["question"]["gap_p99"], "{:.1f}"),
    ("q p99.9 ms", lambda r: 1000 * r["question"]["gap_p999"], "{:.1f}"),
    ("q first p99 s", lambda r: r["question"]["first_p99"], "{:.3f}"),
    ("modest", lambda r: r["worst_modest"], "{:.2f}"),
    ("untrue", lambda r: r["untrue"], "{:.0f}"),
]
COLOURS = {"projected": "#c0392b", "oracle": "#222222", "round_robin": "#7f8c8d",
           "least_connections": "#2980b9", "least_reported_load": "#27ae60", "two_choices": "#8e44ad"}


def mean(values):
    return sum(values) / len(values)


def read(path):
    groups = collections.OrderedDict()
    with open(path, encoding="utf-8") as lines:
        runs = sorted((json.loads(line) for line in lines),
                      key=lambda r: (r["deployment"], r["fault"], r["load"], r["policy"], r["seed"]))
    for run in runs:
        key = (run["deployment"], run["fault"], run["load"], run["policy"])
        groups.setdefault(key, []).append(run)
    return groups


def print_table(groups):
    print("means over seeds; gaps in ms; d draft, q question")
    print(" ".join(["deployment fault load policy seeds |"] + [name for name, _, _ in COLUMNS]))
    for key, runs in groups.items():
        cells = [form.format(mean([value(r) for r in runs])) for _, value, form in COLUMNS]
        print(*key, len(runs), "|", " ".join(cells))


def plot(points, title):
    """Returns the SVG of one frontier: preemptions (log scale) against tokens/s of complete answers."""
    width, height, margin = 520, 320, 50
    xs = [p[1] for p in points]
    low, high = min(xs) * 0.98, max(xs) * 1.02
    log_offset = 0.1

    def to_position(tokens, preemptions):
        x = margin + (tokens - low) / (high - low) * (width - 2 * margin)
        fraction = (math.log10(preemptions + log_offset) + 1) / 4
        return x, height - margin - fraction * (height - 2 * margin)

    out = [f'<svg width="{width}" height="{height}" role="img"><text x="10" y="18">'
           f"{html.escape(title)}</text>"]
    for level in (0, 1, 10, 100, 1000):
        y = to_position(low, level)[1]
        out.append(f'<line x1="{margin}" x2="{width - margin}" y1="{y:.0f}" y2="{y:.0f}" '
                   f'stroke="#ddd"/><text x="8" y="{y + 4:.0f}" font-size="11">{level}</text>')
    for tokens in (low, high):
        out.append(f'<text x="{to_position(tokens, 0)[0] - 15:.0f}" y="{height - 28}" font-size="11">'
                   f"{tokens:.0f}</text>")
    lines = collections.defaultdict(list)
    for policy, tokens, preemptions in points:
        lines[policy.split(":")[0]].append((policy, *to_position(tokens, preemptions)))
    for name, positions in lines.items():
        colour = COLOURS.get(name, "#000")
        path = " ".join(f"{x:.0f},{y:.0f}" for _, x, y in positions)
        out.append(f'<polyline points="{path}" fill="none" stroke="{colour}" opacity="0.4"/>')
        for policy, x, y in positions:
            out.append(f'<circle cx="{x:.0f}" cy="{y:.0f}" r="4" fill="{colour}"><title>'
                       f"{html.escape(policy)}</title></circle>")
    out.append(f'<text x="{width // 2 - 90}" y="{height - 8}" font-size="11">'
               "tokens/s of whole answers</text></svg>")
    return "".join(out)


def write_page(groups, path):
    charts = collections.OrderedDict()
    for (deployment, fault, load, policy), runs in groups.items():
        point = (policy, mean([r["tokens_per_second"] for r in runs]),
                 mean([r["preemptions"] for r in runs]))
        charts.setdefault(f"{deployment}, {fault}, {load}x", []).append(point)
    legend = " ".join(f'<span style="color:{c}">&#9679; {n}</span>' for n, c in COLOURS.items())
    body = "".join(plot(points, title) for title, points in charts.items() if len(points) > 1)
    with open(path, "w", encoding="utf-8") as page:
        page.write('<!doctype html><meta charset="utf-8"><title>Policies</title>'
                   "<h1>Preemptions per 1,000 answers against tokens per second</h1>"
                   f"<p>{legend}</p>{body}")


def main():
    groups = read(sys.argv[1])
    print_table(groups)
    write_page(groups, sys.argv[2])


if __name__ == "__main__":
    main()
