#!/usr/bin/env python3
"""Prints what callers got on played days, by kind of request, zone and second.

Reports are those of tools/compare.py. Each row is the part of what is owed that was
earned, for each report in turn, and the 99th percentile of the time to the first
event in milliseconds.

    tools/callers.py REPORT [REPORT...]
"""
import argparse
import json
import os


def load(path):
    with open(path, encoding="utf-8") as f:
        return json.load(f)


def rows(report):
    """Yields the name, the earned part and the 99th percentile of each group of callers."""
    for key in ("classes", "zones", "windows"):
        for group in report[key]:
            if group["worth"] is not None:
                yield f"{key[:-1]} {group['name']}", group["worth"], group["p99_ms"]


def main():
    p = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    p.add_argument("reports", nargs="+")
    p.add_argument("--no-windows", action="store_true", help="only kinds of request and zones")
    o = p.parse_args()
    reports = [load(path) for path in o.reports]
    names = [os.path.basename(path).removesuffix(".json") for path in o.reports]
    for i, name in enumerate(names):
        print(f"{i}: {name}, worth {reports[i]['G']:.3f}, served {reports[i]['served']:.3f}")
    tables = [{name: (worth, p99) for name, worth, p99 in rows(r)} for r in reports]
    for name in tables[0]:
        if o.no_windows and name.startswith("window"):
            continue
        cells = [t.get(name, (float("nan"), 0)) for t in tables]
        print(f"{name:32}" + "".join(f"{worth:8.3f} {p99 or 0:6.0f}" for worth, p99 in cells))


if __name__ == "__main__":
    main()
