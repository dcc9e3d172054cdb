#!/usr/bin/env python3
"""Runs what a landing asks for, in turn, and says what is missing.

Each run writes its output into a folder; one that is there and complete is not
run again, so the command can be stopped and called anew. It stops at the first
broken rule or failed gate. The plan and how long its runs take: docs/LANDING.md.

    tools/landing.py --bench PROGRAM --kit FOLDER --out DIR [--lanes 2] [--jobs 3] [--only hunt]
    tools/landing.py --out DIR --list
"""
import argparse
import concurrent.futures
import itertools
import os
import re
import subprocess
import sys
import threading
import time

# A site's file below the kit's folder, and whether it has 60 boxes or more.
SITES = [
    ("sites/rgb-herbar", False),
    ("sites/sma-difusao", False),
    ("further/ubuntu-factor", False),
    ("grown/rgb-herbar-grown", True),
    ("grown/sma-difusao-grown", True),
    ("shifted/rgb-herbar-now-grown", True),
    ("further-grown/ubuntu-factor-grown", True),
    ("newcomers/hongl-valuation-grown", True),
    ("newcomers/jodal-desk-grown", True),
    ("demands/kpakpo-grid-grown", True),
    ("demands/pataka-kai-grown", True),
    ("large/rgb-herbar-large", True),
]
DAYS, LARGE_DAYS = 40, 8
SWEPT = ["sites/rgb-herbar", "sites/sma-difusao", "further/ubuntu-factor", "shifted/rgb-herbar-now-grown", "demands/kpakpo-grid-grown", "demands/pataka-kai-grown", "large/rgb-herbar-large"]

DONE = {
    "hunt": re.compile(r"days on \S+, (\d+) with a rule broken"),
    "score": re.compile(r"GATE (passed|failed)"),
    "sweep": re.compile(r"snapshot \w+"),
}
BROKEN = {
    "hunt": re.compile(r"days on \S+, [1-9]\d* with a rule broken"),
    "score": re.compile(r"GATE failed"),
    "sweep": re.compile(r"BROKEN|rules broken"),
}


def plan():
    """The runs in their order: rules first, the longest of a kind first."""
    by_size = sorted(SITES, key=lambda s: not s[1])
    for kind in ("hunt", "score"):
        for site, large in by_size:
            yield kind, site, large
    for site in SWEPT:
        yield "sweep", site, True


def name(kind, site):
    return f"{kind}-{os.path.basename(site)}"


def command(o, kind, site, large):
    path = os.path.join(o.kit, site + ".toml")
    call = [o.bench, kind, path, "--jobs", str(o.jobs), "--why", f"landing: {kind} of {os.path.basename(site)}"]
    if kind == "hunt":
        call += ["--days", str(LARGE_DAYS if large else DAYS)]
    return call


def text(o, kind, site):
    try:
        with open(os.path.join(o.out, name(kind, site) + ".txt"), encoding="utf-8") as f:
            return f.read()
    except FileNotFoundError:
        return ""


def state(o, kind, site):
    """What is known of a run: missing, done or broken."""
    got = text(o, kind, site)
    if BROKEN[kind].search(got):
        return "broken"
    return "done" if DONE[kind].search(got) else "missing"


def run(o, stop, kind, site, large):
    if stop.is_set() or state(o, kind, site) != "missing":
        return
    began = time.time()
    with open(os.path.join(o.out, name(kind, site) + ".txt"), "w", encoding="utf-8") as f:
        subprocess.run(command(o, kind, site, large), stdout=f, stderr=subprocess.STDOUT, check=False)
    found = state(o, kind, site)
    print(f"{time.strftime('%H:%M:%S')}  {name(kind, site):36} {found:8} {time.time() - began:6.0f} s", flush=True)
    if found == "broken":
        stop.set()


def run_all(o, runs):
    """Larger deployments one at a time: four days of one are 400 processes and more."""
    stop = threading.Event()
    for alone, together in itertools.groupby(runs, key=lambda x: x[2]):
        with concurrent.futures.ThreadPoolExecutor(1 if alone else o.lanes) as lanes:
            for kind, site, large in together:
                lanes.submit(run, o, stop, kind, site, large)


def report(o):
    for kind, site, _ in plan():
        got = DONE[kind].findall(text(o, kind, site))
        print(f"{name(kind, site):36} {state(o, kind, site):8} {' '.join(map(str, got[-1:]))}")


def main():
    p = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    p.add_argument("--bench", help="the users' program that plays days")
    p.add_argument("--kit", help="the folder that the sites' files are below")
    p.add_argument("--out", required=True)
    p.add_argument("--lanes", type=int, default=2, help="runs of small deployments at a time")
    p.add_argument("--jobs", type=int, default=3, help="days played at a time by each")
    p.add_argument("--only", help="a kind of run")
    p.add_argument("--list", action="store_true", help="only say what is there and what is missing")
    o = p.parse_args()
    os.makedirs(o.out, exist_ok=True)
    if not o.list:
        if not o.bench or not o.kit:
            p.error("--bench and --kit are needed to run")
        run_all(o, [x for x in plan() if o.only in (None, x[0])])
    report(o)
    missing = [name(k, s) for k, s, _ in plan() if state(o, k, s) != "done"]
    if missing:
        sys.exit("not there, or broken: " + ", ".join(missing))


if __name__ == "__main__":
    main()
