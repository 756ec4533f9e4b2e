#!/usr/bin/env python3
"""Plays days of our own on a site of the users' bench: each kind of trouble alone, twice in a day,
and pairs that cross. Prints one line a day and a table at the end; exits 1 when a rule is broken.

    play_days.py FLEETBENCH SITE.toml FOLDER [--set single|twice|pairs|grown|lost] [--jobs N] [--only TEXT]

The days' files and their reports go to FOLDER, outside the repository.
"""

import argparse
import concurrent.futures
import pathlib
import re
import subprocess
import sys
import zlib

LENGTH_S = 32.0
FIRST_AT = 7.0
SECOND_AT = 17.0
TIME_LIMIT_S = 400

# Each kind with the variants that its page names. Strengths are those of the sites' own lists.
SINGLE = {
    "burst": 'kind = "burst", x = 2.0, for_s = 4.0',
    "shift": 'kind = "shift", share = 0.6, for_s = 6.0',
    "retry_abuse": 'kind = "retry_abuse", x = 3.0, share = 0.4, for_s = 6.0',
    "give_up": 'kind = "give_up", share = 0.4, for_s = 6.0',
    "srv_slow": 'kind = "srv_slow", share = 0.3, x = 5.0, for_s = 6.0',
    "srv_crash": 'kind = "srv_crash", share = 0.3, for_s = 4.0',
    "srv_crash-dark": 'kind = "srv_crash", share = 0.3, for_s = 4.0, how = "dark"',
    "srv_crash-gone": 'kind = "srv_crash", share = 0.2, how = "gone"',
    "srv_crash-across": 'kind = "srv_crash", share = 0.3, for_s = 4.0, how = "across"',
    "srv_cut": 'kind = "srv_cut", share = 0.3, for_s = 5.0',
    "srv_cut-reset": 'kind = "srv_cut", share = 0.3, for_s = 5.0, how = "reset"',
    "release": 'kind = "release", share = 0.6, x = 1.0, gap_s = 1.0',
    "reuse": 'kind = "replace_with_reuse", share = 0.25',
    "reuse-drain": 'kind = "replace_with_reuse", share = 0.25, how = "drain"',
    "reuse-dark": 'kind = "replace_with_reuse", share = 0.25, how = "dark"',
    "scale_out": 'kind = "scale_out", share = 0.4, gap_s = 2.0',
    "scale_in": 'kind = "scale_in", share = 0.25',
    "scale_in-spot": 'kind = "scale_in", share = 0.25, how = "spot"',
    "scale_in-reclaim": 'kind = "scale_in", how = "reclaim", for_s = 5.0',
    "answer_lost": 'kind = "answer_lost", share = 0.6, x = 0.06, for_s = 6.0',
    "answer_lost-reset": 'kind = "answer_lost", share = 0.6, x = 0.06, for_s = 6.0, how = "reset"',
    "garble": 'kind = "garble", share = 0.5, x = 0.05, for_s = 6.0',
    "garble-extra": 'kind = "garble", share = 0.6, x = 0.05, for_s = 6.0, how = "extra"',
    "garble-extra-late": 'kind = "garble", share = 0.6, x = 0.05, for_s = 6.0, how = "extra late"',
    "garble-unframed": 'kind = "garble", share = 0.6, x = 0.05, for_s = 6.0, how = "unframed"',
    "garble-early": 'kind = "garble", share = 0.6, x = 0.05, for_s = 6.0, how = "early"',
    "node_kill": 'kind = "node_kill", share = 0.3',
    "node_kill-power": 'kind = "node_kill", share = 0.3, for_s = 3.0, how = "power"',
    "node_kill-race-drain": 'kind = "node_kill", count = 1, how = "leader race drain"',
    "node_kill-meet-drain": 'kind = "node_kill", count = 1, for_s = 3.0, how = "meet drain"',
    "node_kill-hard": 'kind = "node_kill", count = 1, for_s = 3.0, how = "reader hard"',
    "node_freeze": 'kind = "node_freeze", share = 0.2, for_s = 4.0',
    "node_slow": 'kind = "node_slow", share = 0.2, x = 5.0, for_s = 5.0',
    "roll_term": 'kind = "roll_term", share = 0.6, x = 1.0, gap_s = 1.0',
    "roll_term-two": 'kind = "roll_term", share = 0.8, x = 2.0, gap_s = 1.5',
    "roll_term-busy": 'kind = "roll_term", how = "busy", gap_s = 1.0',
    "roll_term-remove": 'kind = "roll_term", share = 0.3, gap_s = 1.5, how = "remove"',
    "herd_kill": 'kind = "herd_kill", share = 0.8',
    "herd_kill-power": 'kind = "herd_kill", share = 0.6, for_s = 2.0, how = "power"',
    "herd_kill-core": 'kind = "herd_kill", on = "core"',
    "after_ack": 'kind = "after_ack_kill", for_s = 3.0',
    "after_ack-kill": 'kind = "after_ack_kill", count = 3, how = "kill"',
    "after_ack-timed": 'kind = "after_ack_kill", for_s = 2.0, how = "timed"',
    "clock_step": 'kind = "clock_step", share = 0.5, x = 3000, for_s = 5.0',
    "clock_step-back": 'kind = "clock_step", share = 0.5, x = 3000, for_s = 5.0, how = "back"',
    "hup": 'kind = "hup", share = 0.8, gap_s = 1.0',
    "reset_conns": 'kind = "reset_conns", share = 0.5, x = 0.8',
    "core_cut": 'kind = "core_cut", count = 2, for_s = 5.0',
    "core_cut-reset": 'kind = "core_cut", count = 2, for_s = 5.0, how = "reset"',
    "core_cut-all": 'kind = "core_cut", count = 2, for_s = 5.0, how = "all"',
    "core_cut-near": 'kind = "core_cut", count = 2, for_s = 5.0, how = "near"',
    "core_cut-split": 'kind = "core_cut", for_s = 5.0, how = "split"',
    "core_cut-one_way": 'kind = "core_cut", count = 2, for_s = 5.0, how = "one_way"',
    "core_cut-both": 'kind = "core_cut", count = 2, for_s = 5.0, how = "both"',
    "core_cut-lure": 'kind = "core_cut", count = 2, for_s = 5.0, how = "lure"',
    "core_cut-relieve": 'kind = "core_cut", count = 2, for_s = 4.0, how = "relieve"',
    "core_cut-leader-race": 'kind = "core_cut", for_s = 4.0, how = "leader race"',
    "core_cut-meet": 'kind = "core_cut", count = 2, for_s = 4.0, how = "meet"',
    "node_cut": 'kind = "node_cut", share = 0.2, for_s = 5.0',
    "node_cut-all": 'kind = "node_cut", share = 0.2, for_s = 5.0, how = "all"',
    "node_cut-reset": 'kind = "node_cut", share = 0.2, for_s = 5.0, how = "reset"',
    "lossy": 'kind = "lossy", x = 0.05, for_s = 6.0',
    "platform_down": 'kind = "platform_down", for_s = 5.0',
    "platform_down-silent": 'kind = "platform_down", for_s = 5.0, how = "silent"',
    "platform_down-busy": 'kind = "platform_down", for_s = 5.0, how = "busy"',
    "platform_down-reset": 'kind = "platform_down", for_s = 5.0, how = "reset"',
    "platform_down-nodes": 'kind = "platform_down", share = 0.5, for_s = 6.0, how = "nodes"',
    "platform_down-nodes-busy": 'kind = "platform_down", share = 0.5, for_s = 6.0, how = "nodes busy"',
    "platform_down-nodes-many": 'kind = "platform_down", share = 0.5, for_s = 6.0, how = "nodes many"',
    "platform_down-nodes-reset": 'kind = "platform_down", share = 0.5, for_s = 6.0, how = "nodes reset"',
    "platform_slow": 'kind = "platform_slow", x = 80.0, for_s = 5.0',
    "platform_lost": 'kind = "platform_lost", x = 0.5, for_s = 5.0',
    "platform_lost-late": 'kind = "platform_lost", x = 0.5, for_s = 5.0, how = "late"',
    "platform_compact": 'kind = "platform_compact", x = 5.0, for_s = 10.0',
    "platform_compact-drain": 'kind = "platform_compact", x = 5.0, for_s = 10.0, how = "drain"',
    "config_change": 'kind = "config_change", how = "route"',
    "config_change-weights": 'kind = "config_change", how = "weights"',
    "config_change-timeout": 'kind = "config_change", how = "timeout"',
    "config_change-idle": 'kind = "config_change", how = "idle"',
    "config_storm": 'kind = "config_storm", for_s = 5.0, gap_s = 0.1',
    "config_storm-route": 'kind = "config_storm", for_s = 5.0, gap_s = 0.1, how = "route"',
    "big_config": 'kind = "big_config", count = 800',
}

# The second milestone's kinds.
GROWN = {
    "srv_grey-errors": 'kind = "srv_grey", share = 0.3, x = 0.5, for_s = 6.0, how = "errors"',
    "srv_grey-shed": 'kind = "srv_grey", share = 0.3, x = 0.5, for_s = 6.0, how = "shed"',
    "srv_grey-busy": 'kind = "srv_grey", share = 0.3, x = 0.5, for_s = 6.0, how = "busy"',
    "srv_grey-hang": 'kind = "srv_grey", share = 0.3, x = 0.5, for_s = 6.0, how = "hang"',
    "srv_grey-reset": 'kind = "srv_grey", share = 0.3, x = 0.5, for_s = 6.0, how = "reset"',
    "srv_grey-mute": 'kind = "srv_grey", share = 0.3, x = 0.5, for_s = 6.0, how = "mute"',
    "srv_grey-slow": 'kind = "srv_grey", share = 0.3, x = 8, for_s = 6.0, how = "slow"',
    "srv_lying-errors": 'kind = "srv_lying_health", share = 0.25, for_s = 6.0, how = "errors"',
    "srv_lying-hang": 'kind = "srv_lying_health", share = 0.25, for_s = 6.0, how = "hang"',
    "srv_lying-reset": 'kind = "srv_lying_health", share = 0.25, for_s = 6.0, how = "reset"',
    "srv_lying-bad": 'kind = "srv_lying_health", share = 0.25, for_s = 6.0, how = "bad"',
    "srv_flap": 'kind = "srv_flap", share = 0.25, gap_s = 1.0, for_s = 8.0',
    "idle_race": 'kind = "idle_race", share = 0.7, x = 200, for_s = 8.0',
}

# A service loses or spoils much of what it answers, at once on all of its servers and for longer than
# the span over which repeats are bounded; alone, or together with every other service.
LOST = {
    f"{kind}-{service}-{part}": f'kind = "answer_lost", service = "{{service{service}}}", share = 1.0, '
    f"x = {part}, for_s = 14.0{how}"
    for kind, how in (("lost", ""), ("lost_reset", ', how = "reset"'))
    for service in range(3)
    for part in (0.1, 0.3, 0.6)
}
LOST["lost_reset-all"] = 'kind = "answer_lost", share = 1.0, x = 0.3, for_s = 14.0, how = "reset"'

# What crosses: both begin within a second of each other.
PAIRS = [
    ("platform_compact-drain", "release"),
    ("platform_down", "node_kill"),
    ("platform_down-silent", "roll_term"),
    ("platform_down-nodes", "scale_in"),
    ("platform_down-nodes-many", "config_storm"),
    ("platform_slow", "config_storm"),
    ("platform_lost", "config_storm-route"),
    ("platform_lost", "release"),
    ("platform_compact", "herd_kill"),
    ("burst", "release"),
    ("burst", "roll_term"),
    ("burst", "srv_crash"),
    ("clock_step", "config_storm"),
    ("clock_step-back", "release"),
    ("core_cut", "scale_in"),
    ("core_cut", "config_storm"),
    ("core_cut-one_way", "release"),
    ("node_freeze", "release"),
    ("node_freeze", "config_storm"),
    ("node_cut-all", "scale_in"),
    ("lossy", "roll_term"),
    ("lossy", "reset_conns"),
    ("answer_lost", "node_kill"),
    ("answer_lost-reset", "retry_abuse"),
    ("garble-extra-late", "give_up"),
    ("garble-early", "reset_conns"),
    ("garble-unframed", "roll_term"),
    ("give_up", "srv_slow"),
    ("reuse", "platform_down"),
    ("reuse-drain", "core_cut"),
    ("reuse-dark", "node_kill"),
    ("after_ack", "release"),
    ("hup", "roll_term"),
    ("herd_kill", "config_storm"),
    ("big_config", "roll_term"),
    ("shift", "node_slow"),
]


def services_of(site):
    """The names of a site's services, in its order."""
    block = re.search(r"^services = \[$(.*?)^\]$", pathlib.Path(site).read_text(), re.M | re.S)
    return re.findall(r'^\s*\{ name = "([^"]+)"', block.group(1), re.M)


def days_of(which, site):
    """Name and entries of each day of a set."""
    if which == "lost":
        names = {f"service{number}": name for number, name in enumerate(services_of(site))}
        return {
            name: [(4.0, text.format_map(names))]
            for name, text in LOST.items()
            if "{service" not in text or any("{" + each + "}" in text for each in names)
        }
    if which == "single":
        return {name: [(FIRST_AT, text)] for name, text in SINGLE.items()}
    if which == "twice":
        return {f"{name}+again": [(FIRST_AT, text), (SECOND_AT, text)] for name, text in SINGLE.items()}
    if which == "grown":
        return {name: [(FIRST_AT, text), (SECOND_AT, text)] for name, text in GROWN.items()}
    return {
        f"{one}+{other}": [(FIRST_AT, SINGLE[one]), (FIRST_AT + 0.7, SINGLE[other])]
        for one, other in PAIRS
    }


def write_day(folder, name, entries, seed):
    """The file of one day."""
    faults = "".join(f"  {{ at = {at}, {text} }},\n" for at, text in entries)
    path = folder / f"{name}.toml"
    path.write_text(
        f'name = "{name}"\nseed = {seed}\nlength_s = {LENGTH_S}\nplan = []\nfaults = [\n{faults}]\n'
    )
    return path


def play(bench, site, path):
    """Plays one day; its line of the report, and whether it was played with every rule kept."""
    try:
        done = subprocess.run(
            [bench, "run", site, str(path)], capture_output=True, text=True, timeout=TIME_LIMIT_S
        )
        text = done.stdout + done.stderr
    except subprocess.TimeoutExpired:
        text = "not played: it took too long\n"
    path.with_suffix(".report").write_text(text)
    row = re.search(rf"^{re.escape(path.stem)}\s.*$", text, flags=re.M)
    if not row:
        return f"{path.stem}: not played: {text.strip().splitlines()[-1]}", False
    return row.group(0), "BROKEN" not in row.group(0)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("folder", type=pathlib.Path)
    parser.add_argument("--set", default="single", choices=["single", "twice", "pairs", "grown", "lost"])
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--only", default="", help="days whose names hold this")
    parser.add_argument("--seed", type=int, default=0, help="another number, other luck")
    options = parser.parse_args()
    options.folder.mkdir(parents=True, exist_ok=True)
    days = {name: entries for name, entries in days_of(options.set, options.site).items() if options.only in name}
    paths = [
        write_day(options.folder, name, entries, options.seed + zlib.crc32(name.encode()))
        for name, entries in days.items()
    ]
    failures = 0
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        for row, is_good in pool.map(lambda path: play(options.bench, options.site, path), paths):
            print(row, flush=True)
            failures += 0 if is_good else 1
    print(f"{len(paths)} days, {failures} with a rule broken or not played")
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
