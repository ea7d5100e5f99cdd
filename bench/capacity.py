#!/usr/bin/env python3
"""Extrapolates bench results to the target size of a deployment.

usage: bench/capacity.py MEASURED_DIR PAGE

Reads MEASURED_DIR/{control,membership,decision,forward,config}.json, a JSON
object per line, and replaces the part of PAGE between the BEGIN and END
markers by tables: the use of memory, processor time and control traffic by
each role at the target size, the slopes it is computed from, and the measured
cases.
"""

import json
import os
import sys

BEGIN = "<!-- made by bench/capacity.py: begin -->"
END = "<!-- made by bench/capacity.py: end -->"

# The target size: nodes with a balancer, targets with an agent, open flows,
# opens a second, changes of configuration a day.
NODES = 1700
TARGETS = 11000
SERVICES = 1000
FLOWS = 43e6
OPENS_S = 74000
CHANGES_DAY = 6300
DAY_S = 86400
GROUP_SIZE = TARGETS / SERVICES  # members of a service

# Budgets of a node for this software, with which each role is compared:
# processor time (% of a core), memory (MB) and control traffic (bytes/s).
CPU_PERCENT = 3.5
MEMORY_MB = 128
BYTES_S = 3000

# Sizes given by the code: bytes of a hint, hints in a balancer's cache, bytes
# sent to a witness when a flow opens and closes, witnesses of an agent.
HINT_BYTES = 16
HINTS = 524288
WITNESS_OPEN_BYTES = 7
WITNESS_CLOSE_BYTES = 4
WITNESSES = 2
CHANGE_BYTES = 1700  # canonical text of a service, with its frame


def read_results(directory, name):
    path = os.path.join(directory, name + ".json")
    if not os.path.exists(path):
        return []
    with open(path, encoding="utf-8") as lines:
        return [json.loads(line) for line in lines if line.strip()]


def table(head, rows):
    out = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    out += ["| " + " | ".join(str(c) for c in row) + " |" for row in rows]
    return "\n".join(out) + "\n"


def control_table(control):
    rows = []
    for case in control:
        for role in ("balancer", "agent"):
            r = case[role]
            rows.append([case["case"], role, r["processes"],
                         "%.0f" % r["bytes_s"], "%.1f" % r["messages_s"],
                         "%.2f" % r["cpu_percent"],
                         "%.1f" % (r["rss_kb"] / 1024)])
    return table(["case", "role", "processes", "control bytes/s",
                  "control messages/s", "% of a core", "resident MB"], rows)


def slopes(control):
    """Returns the base use of each role and its increase per unit of load."""
    c = {case["case"]: case for case in control}
    s = {}
    idle = c["group-11"]
    s["agent_idle_bytes"] = idle["agent"]["bytes_s"]
    s["agent_idle_cpu"] = idle["agent"]["cpu_percent"]
    s["balancer_idle_bytes"] = idle["balancer"]["bytes_s"]
    s["balancer_idle_cpu"] = idle["balancer"]["cpu_percent"]
    # The case nearest the target's rate of opens; the cost per open is lower
    # at higher rates.
    loaded = c["opens-100"]
    per_agent = loaded["opens_s"] / loaded["targets"]
    per_balancer = loaded["opens_s"] / loaded["balancers"]
    for role, rate in (("agent", per_agent), ("balancer", per_balancer)):
        s[role + "_open_bytes"] = max(0, loaded[role]["bytes_s"] -
                                      idle[role]["bytes_s"]) / rate
        s[role + "_open_cpu"] = max(0, loaded[role]["cpu_percent"] -
                                    idle[role]["cpu_percent"]) / rate
    few, many = c["services-100"], c["services-1000"]
    declared = (many["services"] - few["services"]) * 4
    for role in ("balancer", "agent"):
        s[role + "_target_kb"] = (many[role]["rss_kb"] -
                                  few[role]["rss_kb"]) / declared
        s[role + "_base_mb"] = few[role]["rss_kb"] / 1024
    feeds = c["feeds-100"]
    held = feeds["agent"]["held"] - idle["agent"]["held"]
    s["flow_kb"] = (feeds["agent"]["rss_kb"] - idle["agent"]["rss_kb"]) / held
    return s


def slope_table(s):
    rows = [
        ["agent, idle, group of 11", "%.0f bytes/s, %.2f %% of a core"
         % (s["agent_idle_bytes"], s["agent_idle_cpu"])],
        ["agent, per open a second", "%.0f bytes/s, %.3f %% of a core "
         "(including the flow's packets)"
         % (s["agent_open_bytes"], s["agent_open_cpu"])],
        ["balancer, idle", "%.0f bytes/s, %.2f %% of a core"
         % (s["balancer_idle_bytes"], s["balancer_idle_cpu"])],
        ["balancer, per open a second", "%.1f bytes/s, %.4f %% of a core "
         "(including the flow's packets)"
         % (s["balancer_open_bytes"], s["balancer_open_cpu"])],
        ["balancer, per declared target", "%.2f KB" % s["balancer_target_kb"]],
        ["agent, per declared target", "%.2f KB" % s["agent_target_kb"]],
        ["agent, per held flow", "%.2f KB" % s["flow_kb"]],
    ]
    return table(["role and unit", "cost"], rows)


def roles(s):
    """Returns a table of the use of each role at the target size."""
    opens_agent = OPENS_S / TARGETS
    opens_node = OPENS_S / NODES
    flows_agent = FLOWS / TARGETS
    change = CHANGES_DAY / DAY_S * CHANGE_BYTES
    witness = opens_agent * WITNESSES * (WITNESS_OPEN_BYTES +
                                         WITNESS_CLOSE_BYTES)
    agent_bytes = (s["agent_idle_bytes"] + opens_agent * s["agent_open_bytes"]
                   + change)
    agent_cpu = s["agent_idle_cpu"] + opens_agent * s["agent_open_cpu"]
    agent_mb = (s["agent_base_mb"] + TARGETS * s["agent_target_kb"] / 1024 +
                flows_agent * s["flow_kb"] / 1024)
    balancer_bytes = (s["balancer_idle_bytes"] + change +
                      opens_node * s["balancer_open_bytes"])
    balancer_cpu = s["balancer_idle_cpu"] + opens_node * s["balancer_open_cpu"]
    balancer_mb = (s["balancer_base_mb"] +
                   TARGETS * s["balancer_target_kb"] / 1024 +
                   HINTS * HINT_BYTES / 1024 / 1024)
    rows = []
    for role, state, load, bytes_s, cpu, mb in (
            ("balancer (%d)" % NODES,
             "%d groups, %d members, %d hints" % (SERVICES, TARGETS, HINTS),
             "%.1f opens/s" % opens_node, balancer_bytes, balancer_cpu,
             balancer_mb),
            ("agent (%d)" % TARGETS,
             "%.0f flows, %d members" % (flows_agent, round(GROUP_SIZE)),
             "%.1f opens/s" % opens_agent, agent_bytes, agent_cpu, agent_mb)):
        rows.append([role, state, load,
                     "%.0f of %d (%s)" % (bytes_s, BYTES_S,
                                          headroom(bytes_s, BYTES_S)),
                     "%.2f of %.1f (%s)" % (cpu, CPU_PERCENT,
                                            headroom(cpu, CPU_PERCENT)),
                     "%.0f of %d (%s)" % (mb, MEMORY_MB,
                                          headroom(mb, MEMORY_MB))])
    text = table(["role", "state", "load", "control bytes/s", "% of a core",
                  "MB"], rows)
    text += ("\nOf an agent's control bytes/s, %.0f are for changes of "
             "configuration and %.0f for its witnesses.\n" % (change, witness))
    return text


def headroom(value, budget):
    left = (budget - value) / budget * 100
    return "%.0f %% left" % left if left >= 0 else "%.0f %% over" % -left


def flat_table(rows, title):
    """Returns a table of a list of objects, without nested values."""
    if not rows:
        return "%s: not run.\n" % title
    head = [k for k, v in rows[0].items() if not isinstance(v, (list, dict))]
    rows = [row for row in rows if head[0] in row]
    return table(head, [[row.get(k, "") for k in head] for row in rows])


def main():
    if len(sys.argv) != 3:
        print("usage: bench/capacity.py MEASURED_DIR PAGE", file=sys.stderr)
        return 2
    directory, page = sys.argv[1:]
    control = read_results(directory, "control")
    parts = []
    if control:
        s = slopes(control)
        parts += ["### Each role at the target size\n", roles(s),
                  "### Slopes\n", slope_table(s),
                  "### Measured cases\n", control_table(control)]
    else:
        parts.append("Control cost: not run.\n")
    for name, title in (("membership", "Membership by group size"),
                        ("decision", "Cost of a decision of a balancer"),
                        ("forward", "Forwarding against a plain relay"),
                        ("config", "Configurations by size")):
        parts += ["### " + title + "\n",
                  flat_table(read_results(directory, name), title)]
    with open(page, encoding="utf-8") as f:
        text = f.read()
    head, rest = text.split(BEGIN)
    tail = rest.split(END)[1]
    with open(page, "w", encoding="utf-8") as f:
        f.write(head + BEGIN + "\n\n" + "\n".join(parts) + "\n" + END + tail)
    return 0


if __name__ == "__main__":
    sys.exit(main())
