#!/usr/bin/env python3
"""Makes deployments that nobody has tuned for, out of a site file of the users' bench.

Each variant changes one family of facts (zones, sizes, speeds, times, bounds) and leaves the rest
as it is, so that a broken rule points at what the product took for granted. Nothing of a site file
is kept in the repository: the site is read where it lies, the variants go to a folder that you name.

    vary_site.py SITE.toml FOLDER [VARIANT[+VARIANT...] ...]
"""

import pathlib
import re
import shutil
import sys


def scaled(text, key, factor, least=None):
    """`text` with each number after `key = ` multiplied by `factor`."""

    def multiply(match):
        value = float(match.group(2)) * factor
        if least is not None:
            value = max(value, least)
        whole = "." not in match.group(2) and value >= 1
        return match.group(1) + (str(round(value)) if whole else f"{value:.4g}")

    return re.sub(rf"(\b{key} = )(\d+(?:\.\d+)?)", multiply, text)


def assigned(text, key, value):
    """`text` with each value after `key = ` replaced."""
    return re.sub(rf"(\b{key} = )(\"[^\"]*\"|[\w.]+)", rf"\g<1>{value}", text)


def work(text, factor):
    """Work, objectives, deadlines and time-outs of all requests, times `factor`."""

    def scale_line(match):
        line = match.group(0)
        line = scaled(line, "aim_ms", factor)
        line = scaled(line, "deadline_ms", factor)
        line = scaled(line, "timeout_ms", factor)
        work_ms = re.search(r"work_ms = \{[^}]*\}", line)
        if work_ms:
            changed = scaled(scaled(work_ms.group(0), "mean", factor), "max", factor)
            line = line.replace(work_ms.group(0), changed)
        return line

    return re.sub(r"^  \{ name = .*aim_ms.*$", scale_line, text, flags=re.M)


def few_slots(text):
    """Servers that run three at a time and take few connections; quicker work instead."""
    text = assigned(assigned(text, "slots", "3"), "queue", "6")
    return scaled(assigned(text, "conn_cap", "14"), "per_s", 0.33)


def many_slots(text):
    """Large servers behind a small processor share."""
    text = assigned(assigned(text, "slots", "40"), "queue", "20")
    return scaled(assigned(text, "cpu_share", "0.12"), "per_s", 1.2)


def far_zones(text):
    """Zones a long way apart, clients too."""
    text = assigned(text, "cross_zone_ms", "14.0")
    return assigned(text, "client_ms", "6.0")


def quick_work(text):
    """Short work and short deadlines: what the mesh adds weighs more."""
    return work(text, 0.3)


def slow_work(text):
    """Long work and long deadlines, few requests."""
    return scaled(work(text, 4.0), "per_s", 0.25)


def tight_bounds(text):
    """Servers leave and versions bind sooner; a store that serves fewer calls."""
    text = assigned(assigned(text, "drain_ms", "1200"), "config_ms", "1300")
    text = assigned(assigned(text, "grace_s", "4.0"), "touch_ms", "2000")
    return assigned(text, "reads_per_s", "150.0")


def loose_bounds(text):
    """Servers say much earlier that they leave, and stay longer."""
    text = assigned(assigned(text, "drain_ms", "5000"), "config_ms", "4000")
    return assigned(assigned(text, "grace_s", "12.0"), "beat_ms", "3000")


def silent_servers(text):
    """Servers that do not tell their load and refuse the other way round."""
    text = assigned(text, "load_header", "false")
    text = text.replace('on_full = "shed"', 'on_full = "?"')
    text = text.replace('on_full = "reset"', 'on_full = "shed"')
    return text.replace('on_full = "?"', 'on_full = "reset"')


def small_machines(text):
    """Little memory, few descriptors, a thin link, a small share of a core."""
    text = assigned(assigned(text, "memory_mb", "80"), "fds", "700")
    return assigned(assigned(text, "link_mbps", "20.0"), "cpu_share", "0.1")


def fresh_connections(text):
    """Every caller opens a connection for each request."""
    return re.sub(r'habit = "(pool|pipeline)"', 'habit = "fresh"', text)


def pipelined(text):
    """Callers of what may be repeated send before the last answer came."""
    return re.sub(r'(kind = "safe", habit = )"\w+"', r'\g<1>"pipeline"', text)


def five_zones(text):
    """Thirty machines or more in five zones, and as much more traffic."""
    names = re.findall(r'\{ name = "([\w-]+)", region', text)
    region = re.search(r'region = "([\w-]+)"', text).group(1)
    added = [f"zone-x{number}" for number in range(5 - len(names))]
    text = text.replace(
        "zones = [\n",
        "zones = [\n" + "".join(f'  {{ name = "{z}", region = "{region}" }},\n' for z in added),
        1,
    )
    machines = re.search(r"^machines = \[\n(.*?)^\]", text, flags=re.M | re.S).group(1)
    lines = machines.splitlines()
    more = []
    for index, line in enumerate(lines):
        for copy in range(2):
            zone = (names + added)[(index + 2 * copy + 1) % 5]
            more.append(re.sub(r'zone = "[\w-]+"', f'zone = "{zone}"', line))
    text = text.replace(machines, "\n".join(lines + more) + "\n")
    return scaled(text, "per_s", 2.4)


def throttled(text):
    """A store that serves a handful of calls a second to all nodes together."""
    return assigned(text, "reads_per_s", "30.0")


def lone_servers(text):
    """One server, and so one machine, for each service."""
    machines = re.search(r"^machines = \[\n(.*?)^\]", text, flags=re.M | re.S).group(1)
    kept, seen = [], set()
    for line in machines.splitlines():
        app = re.search(r'app = "([\w-]+)"', line).group(1)
        if app not in seen:
            kept.append(re.sub(r"count = \d+", "count = 1", line))
        seen.add(app)
    text = text.replace(machines, "\n".join(kept) + "\n")
    zones = {re.search(r'zone = "([\w-]+)"', line).group(1) for line in kept}
    # Callers live where machines are.
    lone = sorted(zones)[0]
    text = re.sub(
        r'^(  \{ zone = ")([\w-]+)(", mix)',
        lambda m: m.group(1) + (m.group(2) if m.group(2) in zones else lone) + m.group(3),
        text,
        flags=re.M,
    )
    return scaled(text, "per_s", 0.22)


def few_repeats(text):
    """Hardly a burst of repeats: a node's part of it is below one."""
    return assigned(text, "budget_slack", "10.0")


def deep_calls(text):
    """More calls in each run that makes any, of fewer runs: those that fail call most."""
    text = re.sub(r"(\bcalls = \[\{[^]]*?\btimes = )(\d+)", lambda m: m.group(1) + str(2 * int(m.group(2))), text)
    return re.sub(r"(\bcalls = \[\{[^]]*?\bshare = )([\d.]+)", lambda m: f"{m.group(1)}{float(m.group(2)) / 2:.3g}", text)


VARIANTS = {
    "five-zones": five_zones,
    "few-slots": few_slots,
    "many-slots": many_slots,
    "far-zones": far_zones,
    "quick-work": quick_work,
    "slow-work": slow_work,
    "tight-bounds": tight_bounds,
    "loose-bounds": loose_bounds,
    "silent-servers": silent_servers,
    "small-machines": small_machines,
    "fresh-connections": fresh_connections,
    "pipelined": pipelined,
    "throttled": throttled,
    "lone-servers": lone_servers,
    "few-repeats": few_repeats,
    "deep-calls": deep_calls,
}


def main():
    if len(sys.argv) < 3:
        sys.exit(__doc__)
    site = pathlib.Path(sys.argv[1])
    folder = pathlib.Path(sys.argv[2])
    folder.mkdir(parents=True, exist_ok=True)
    for name in sys.argv[3:] or VARIANTS:
        text = site.read_text()
        for part in name.split("+"):
            if part not in VARIANTS:
                sys.exit(f"vary_site: no variant '{part}' (remedy: one of {', '.join(VARIANTS)})")
            text = VARIANTS[part](text)
        target = folder / f"{site.stem}-{name}.toml"
        target.write_text(text.replace(f'name = "{site.stem}"', f'name = "{target.stem}"', 1))
        print(target)
    for needed in (site.parent / "wire.json", site.with_suffix(".days")):
        if needed.exists():
            shutil.copyfile(needed, folder / needed.name)


if __name__ == "__main__":
    main()
