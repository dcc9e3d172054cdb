#!/usr/bin/env python3
"""Plays builds of the product on the same days and seeds and prints paired differences.

Each build is a checkout of its own. For each site, day and seed every build is
played once; a row is a figure, its mean for the first build, and for each other
build its mean, the mean of the paired differences and their standard error. A
build compared with itself (another checkout of the same commit) states the noise.

    tools/compare.py --bench PROGRAM --site FILE --days trouble-1,scale-1 \
        --seeds 1,2 --out DIR NAME=CHECKOUT NAME=CHECKOUT
"""
import argparse
import concurrent.futures
import json
import math
import os
import subprocess
import sys


def arguments():
    p = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    p.add_argument("--bench", required=True, help="the users' program that plays days")
    p.add_argument("--site", action="append", required=True, help="a site file; may be given again")
    p.add_argument("--days", default="trouble-1,scale-1,trouble-2,scale-2,trouble-3")
    p.add_argument("--seeds", default="0", help="0 is the day's own")
    p.add_argument("--jobs", type=int, default=4, help="days played at a time")
    p.add_argument("--out", required=True, help="where reports are kept; those that are there are not played again")
    p.add_argument("builds", nargs="+", metavar="NAME=CHECKOUT")
    return p.parse_args()


def play(bench, name, checkout, site, day, seed, out):
    """Plays one day unless its report is there, and returns the report."""
    label = os.path.basename(site).removesuffix(".toml")
    path = os.path.join(os.path.abspath(out), f"{name}.{label}.{os.path.basename(day)}.{seed}.json")
    if not os.path.exists(path):
        call = [bench, "run", os.path.abspath(site), day, "--report", path, "--why", f"compare: {name}, {label} {day} seed {seed}"]
        if seed != "0":
            call += ["--seed", seed]
        done = subprocess.run(call, cwd=checkout, capture_output=True, text=True)
        if not os.path.exists(path):
            print(f"not played: {path}: {done.stdout[-500:]} {done.stderr[-500:]}", file=sys.stderr)
            return None
    with open(path, encoding="utf-8") as f:
        return json.load(f)


def figures(report):
    """The figures of one day that are compared."""
    out = {"worth": report["G"], "served": report["served"], "unserved": report["unserved"], "refused": report["refused"]}
    for name, _, value in report["parts"]:
        out["part " + name] = value
    prices = {name: value for name, _, value in report["prices"]}
    out["prices"] = sum(prices.values())
    for name in ("cloud calls", "GB of prompt memory moved", "worth refused again", "GB between zones"):
        out["price " + name] = prices.get(name, 0.0)
    out["late"] = report["all"]["late"]
    out["broken rules"] = len(report["breaks"])
    return out


def spread(values):
    """The mean and its standard error."""
    mean = sum(values) / len(values)
    if len(values) < 2:
        return mean, float("nan")
    variance = sum((v - mean) ** 2 for v in values) / (len(values) - 1)
    return mean, math.sqrt(variance / len(values))


def table(title, pairs, names):
    """Prints one table; pairs are the figures of all builds, by play."""
    print(f"\n{title} ({len(pairs)} plays each)")
    print(f"{'':34}{names[0]:>12}" + "".join(f"{n:>12}{'difference':>12}{'error':>9}" for n in names[1:]))
    # Sites whose goals differ have some figures in common.
    shared = [key for key in pairs[0][names[0]] if all(key in p[n] for p in pairs for n in names)]
    for key in shared:
        base, _ = spread([p[names[0]][key] for p in pairs])
        row = f"{key:34}{base:12.4f}"
        for n in names[1:]:
            mean, _ = spread([p[n][key] for p in pairs])
            difference, error = spread([p[n][key] - p[names[0]][key] for p in pairs])
            row += f"{mean:12.4f}{difference:+12.4f}{error:9.4f}"
        print(row)


def main():
    a = arguments()
    os.makedirs(a.out, exist_ok=True)
    builds = dict(b.split("=", 1) for b in a.builds)
    names = list(builds)
    for checkout in builds.values():
        subprocess.run([a.bench, "build"], cwd=checkout, capture_output=True, check=False)
    plays = [(s, d, seed) for s in a.site for d in a.days.split(",") for seed in a.seeds.split(",")]
    with concurrent.futures.ThreadPoolExecutor(a.jobs) as pool:
        runs = {(p, n): pool.submit(play, a.bench, n, builds[n], *p, a.out) for p in plays for n in names}
    whole = {}
    for p in plays:
        reports = {n: runs[p, n].result() for n in names}
        if all(reports.values()):
            whole[p] = {n: figures(r) for n, r in reports.items()}
            print(f"{os.path.basename(p[0])} {p[1]} seed {p[2]}: " + ", ".join(f"{n} {whole[p][n]['worth']:.3f}" for n in names))
    for site in a.site:
        pairs = [v for p, v in whole.items() if p[0] == site]
        if pairs:
            table(os.path.basename(site), pairs, names)
    if len(a.site) > 1 and whole:
        table("all sites", list(whole.values()), names)


if __name__ == "__main__":
    main()
