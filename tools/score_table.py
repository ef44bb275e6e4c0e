#!/usr/bin/env python3
"""Tabulates the bench's score runs in journal/: one table per site, one row per day (a scenario of the bench).

    tools/score_table.py                 # the two latest score runs of each site, day by day
    tools/score_table.py --all           # every score run of each site, one line each
    tools/score_table.py --svg docs/scores.svg    # also plots the scores

Reads only the entries in journal/. An entry is a score run if its command was `score` on one site without --quick.
"""
import argparse
import glob
import json
import os
import sys

WIDTH, HEIGHT, MARGIN = 720, 300, 45
COLORS = ["#1f6fb2", "#c0504d", "#4f8f4f", "#8064a2"]


def read_scores(folder):
    scores = {}
    for path in sorted(glob.glob(os.path.join(folder, "*.json"))):
        try:
            with open(path, encoding="utf-8") as file:
                entry = json.load(file)
        except (OSError, ValueError) as problem:
            print(f"{path}: can't read the entry, skipped: {problem}", file=sys.stderr)
            continue
        is_score = entry.get("cmd") == "score" and entry.get("score") is not None and entry.get("days")
        if is_score and "--quick" not in entry.get("argv", []):
            scores.setdefault(entry["site"], []).append(entry)
    for entries in scores.values():
        entries.sort(key=lambda entry: entry["at"][0])
    return scores


def price_amount(day, name):
    return next((amount for price, amount, _ in day.get("prices", []) if price == name), 0)


def part_value(day, name):
    return next((value for part, _, value in day.get("parts", []) if part == name), None)


def print_days(site, entries):
    print(f"\n{site}: " + ", ".join(f"{e['score']:.3f} at {e['head'][:7]} ({e['at'][0][:16]})" for e in entries))
    print(f"{'day':<12}{'score':>14}{'worth':>16}{'served':>16}{'worst class':>16}{'orders':>12}{'servers s':>14}"
          f"{'missed':>10}")
    names = [day["name"] for day in entries[-1]["days"] if not day["name"].startswith("fresh-")]
    for name in names:
        days = [next((d for d in e["days"] if d["name"] == name), None) for e in entries]
        cells = []
        for format_spec, get_figure in (("{:.2f}", lambda d: d["score"]), ("{:.3f}", lambda d: d["G"]),
                                        ("{:.3f}", lambda d: d["served"]), ("{:.2f}", lambda d: part_value(d, "worst class")),
                                        ("{:.0f}", lambda d: price_amount(d, "orders")),
                                        ("{:.0f}", lambda d: price_amount(d, "seconds of servers ordered")),
                                        ("{:.0f}", lambda d: price_amount(d, "duties missed"))):
            texts = []
            for day in days:
                figure = get_figure(day) if day else None
                texts.append("-" if figure is None else format_spec.format(figure))
            cells.append(" > ".join(texts))
        print(f"{name:<12}{cells[0]:>14}{cells[1]:>16}{cells[2]:>16}{cells[3]:>16}{cells[4]:>12}{cells[5]:>14}"
              f"{cells[6]:>10}")


def print_all(site, entries):
    print(f"\n{site}")
    for entry in entries:
        gate = "passed" if entry.get("figures", {}).get("gate") else "failed"
        print(f"{entry['at'][0][:16]}  {entry['head'][:7]}  {entry['score']:.3f}  gate {gate}  {entry['why'][:90]}")


def write_svg(path, scores):
    lines = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" font-family="sans-serif" '
             f'font-size="11">', f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>']
    for tenth in range(0, 11, 2):
        y = HEIGHT - MARGIN - tenth / 10 * (HEIGHT - 2 * MARGIN)
        lines.append(f'<line x1="{MARGIN}" x2="{WIDTH - MARGIN}" y1="{y:.0f}" y2="{y:.0f}" stroke="#ddd"/>')
        lines.append(f'<text x="{MARGIN - 25}" y="{y + 4:.0f}">{tenth / 10:.1f}</text>')
    for index, (site, entries) in enumerate(sorted(scores.items())):
        color = COLORS[index % len(COLORS)]
        step = (WIDTH - 2 * MARGIN) / max(1, len(entries) - 1)
        points = [(MARGIN + step * i, HEIGHT - MARGIN - e["score"] * (HEIGHT - 2 * MARGIN))
                  for i, e in enumerate(entries)]
        lines.append(f'<polyline fill="none" stroke="{color}" stroke-width="2" points="'
                     + " ".join(f"{x:.0f},{y:.0f}" for x, y in points) + '"/>')
        for (x, y), entry in zip(points, entries):
            lines.append(f'<circle cx="{x:.0f}" cy="{y:.0f}" r="3" fill="{color}"><title>{entry["head"][:7]} '
                         f'{entry["score"]:.3f}</title></circle>')
        lines.append(f'<text x="{MARGIN + 10 + index * 160}" y="20" fill="{color}">{site}</text>')
    lines.append(f'<text x="{MARGIN}" y="{HEIGHT - 12}">score runs in chronological order; two runs of almost the same code differed by '
                 f'0.05</text></svg>')
    with open(path, "w", encoding="utf-8") as file:
        file.write("\n".join(lines) + "\n")


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--journal", default="journal", help="the directory of the bench's entries")
    parser.add_argument("--all", action="store_true", help="print every score, one line each")
    parser.add_argument("--svg", help="write a plot of the scores to this file")
    options = parser.parse_args()
    scores = read_scores(options.journal)
    if not scores:
        print(f"no score run in {options.journal}/; run the bench's `score` command and commit its entry", file=sys.stderr)
        return 1
    for site, entries in sorted(scores.items()):
        if options.all:
            print_all(site, entries)
        else:
            print_days(site, entries[-2:])
    if options.svg:
        write_svg(options.svg, scores)
    return 0


if __name__ == "__main__":
    sys.exit(main())
