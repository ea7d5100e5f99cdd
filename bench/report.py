#!/usr/bin/env python3
"""Writes a report of the JSON files of one run of the benches.

usage: bench/report.py [REPORT_DIR]

Reads REPORT_DIR/bench/*.json, a JSON object per line, the days in journal/
and the one in REPORT_DIR/day.json. Writes REPORT_DIR/report.md and, when
gnuplot is installed, SVG plots. A section whose file is missing says "Not run".
"""

import json
import os
import subprocess
import sys

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")
sys.path.insert(0, os.path.join(ROOT, "platform"))
import days_report

POLICIES = ["round-robin", "rendezvous", "two-choices", "hunt-declared",
            "hunt-learned", "ranked-hunt-learned"]


def read_results(directory, name):
    """Returns the objects of a file, an empty list when it is missing."""
    path = os.path.join(directory, "bench", name + ".json")
    if not os.path.exists(path):
        return []
    with open(path, encoding="utf-8") as lines:
        return [json.loads(line) for line in lines if line.strip()]


def table(head, rows):
    out = ["| " + " | ".join(head) + " |",
           "|" + " --- |" * len(head)]
    out += ["| " + " | ".join(str(cell) for cell in row) + " |"
            for row in rows]
    return "\n".join(out) + "\n"


def plot(directory, name, title, xlabel, ylabel, series, logscale=False):
    """Writes NAME.svg and returns a Markdown link to it, or why there is none.

    series is a list of (label, [(x, y)...]).
    """
    script = ["set terminal svg size 800,480 font 'sans,12'",
              "set output '%s'" % os.path.join(directory, name + ".svg"),
              "set title '%s'" % title, "set xlabel '%s'" % xlabel,
              "set ylabel '%s'" % ylabel, "set grid", "set key outside"]
    if logscale:
        script.append("set logscale x")
    script.append("plot " + ", ".join(
        "'-' using 1:2 with linespoints pointsize 0.3 title '%s'" % label
        for label, _ in series))
    for _, points in series:
        script += ["%g %g" % point for point in points] + ["e"]
    try:
        subprocess.run(["gnuplot"], input="\n".join(script) + "\n",
                       text=True, check=True)
    except (OSError, subprocess.CalledProcessError) as error:
        return "No plot, gnuplot failed: %s\n" % error
    return "![%s](%s.svg)\n" % (title, name)


def policy_section(directory):
    runs = read_results(directory, "policy")
    if not runs:
        return "Not run: `make bench-policy`.\n"
    out = []
    scenarios = list(dict.fromkeys(run["scenario"] for run in runs))
    for scenario in scenarios:
        by_policy = {run["policy"]: run for run in runs
                     if run["scenario"] == scenario}
        rows = []
        for policy in POLICIES:
            run = by_policy.get(policy)
            if not run:
                rows.append([policy] + ["not run"] * 6)
                continue
            rows.append([policy, "%.3f" % run["greatest_mean"],
                         "%.3f" % run["greatest_worst"],
                         "%.3f" % run["smallest_mean"],
                         " ".join("%.2f" % x for x in run["new_work_share"]),
                         run["passed"], run["first_byte_p99_ms"]])
        out.append("### " + scenario + "\n")
        out.append(table(["policy", "greatest, mean", "greatest, maximum",
                          "smallest, mean",
                          "share of new work, 10 30 60 120 s", "passed on",
                          "first byte p99, ms"], rows))
        out.append(plot(directory, "imbalance-" + scenario,
                        "Imbalance: " + scenario, "s",
                        "greatest utilisation relative to the mean",
                        [(policy, [(p[0], p[1]) for p in run["series"]])
                         for policy, run in by_policy.items()]))
    return "\n".join(out)


def membership_section(directory):
    runs = sorted(read_results(directory, "membership"),
                  key=lambda r: r["members"])
    if not runs:
        return "Not run: `make bench-membership`.\n"
    head = ["members", "bytes_s", "messages_s", "cpu_us_s", "pauses",
            "suspicions", "false_deaths", "opens_stopped_ms", "all_know_ms",
            "opens_lost"]
    out = table(head, [[run[key] for key in head] for run in runs])
    return out + "\n" + plot(
        directory, "membership", "Control cost per member", "members",
        "bytes/s",
        [("bytes/s", [(r["members"], r["bytes_s"]) for r in runs])],
        logscale=True)


def flat_section(directory, name, command):
    """Returns a table of the objects of a file, without nested values."""
    runs = read_results(directory, name)
    if not runs:
        return "Not run: `%s`.\n" % command
    keys = list(dict.fromkeys(key for run in runs for key in run
                              if not isinstance(run[key], (list, dict))))
    return table(keys, [[run.get(key, "") for key in keys] for run in runs])


def control_section(directory):
    runs = read_results(directory, "control")
    out = flat_section(directory, "control", "build/bench_control")
    points = [(r["targets"], r["bytes_s"]) for r in runs
              if "targets" in r and "bytes_s" in r]
    if points:
        out += "\n" + plot(directory, "control", "Control cost",
                           "targets", "bytes/s", [("bytes/s", points)])
    return out


def main():
    directory = sys.argv[1] if len(sys.argv) > 1 else "report"
    journal = os.path.join(ROOT, "journal")
    os.makedirs(directory, exist_ok=True)

    def plot_here(*args):
        return plot(directory, *args)

    parts = [
        ("Days played: scores", days_report.scores_part(journal, table)),
        ("Days played: slopes by size",
         days_report.slopes_part(journal, table, plot_here)),
        ("One day", days_report.day_part(os.path.join(directory, "day.json"),
                                         table, plot_here)),
        ("Imbalance over time by policy", policy_section(directory)),
        ("Membership by group size", membership_section(directory)),
        ("Broken flows by fault",
         flat_section(directory, "matrix", "build/test_matrix")),
        ("Configuration: size and parse time",
         flat_section(directory, "config", "build/bench_config")),
        ("Control cost", control_section(directory)),
        ("Forwarding", flat_section(directory, "forward",
                                 "build/bench_forward")),
        ("Decisions", flat_section(directory, "decision",
                                "build/bench_decision")),
    ]
    path = os.path.join(directory, "report.md")
    with open(path, "w", encoding="utf-8") as out:
        out.write("# Report of one run\n")
        for title, text in parts:
            out.write("\n## %s\n\n%s" % (title, text))
    print(path)


if __name__ == "__main__":
    main()
