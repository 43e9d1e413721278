"""What a run measured: kept as JSON, and as a CSV with a line per point."""

import csv
import json
import os


def flat(d, head=""):
    """The figures of nested tables, under dotted names.

    >>> flat({"a": {"b": 1, "c": [2]}, "d": None})
    {'a.b': 1, 'a.c': '[2]', 'd': None}
    """
    out = {}
    for k, v in d.items():
        out |= (
            flat(v, f"{head}{k}.") if isinstance(v, dict) else {head + k: json.dumps(v) if isinstance(v, list) else v}
        )
    return out


def save(path, run):
    """Writes a run: ``path`` and, beside it, the same points as CSV.

    >>> save("", {"points": []})
    Traceback (most recent call last):
    ...
    FileNotFoundError: [Errno 2] No such file or directory: ''
    """
    if os.path.dirname(path):
        os.makedirs(os.path.dirname(path), exist_ok=True)
    with open(path, "w", encoding="utf-8") as f:
        json.dump(run, f, indent=1)
        f.write("\n")
    rows = [flat(p) for p in run["points"]]
    names = list(dict.fromkeys(k for r in rows for k in r))
    with open(os.path.splitext(path)[0] + ".csv", "w", encoding="utf-8", newline="") as f:
        out = csv.DictWriter(f, names)
        out.writeheader()
        out.writerows(rows)


def load(path):
    """Reads a run.

    >>> load("/nowhere.json")
    Traceback (most recent call last):
    ...
    FileNotFoundError: [Errno 2] No such file or directory: '/nowhere.json'
    """
    with open(path, encoding="utf-8") as f:
        return json.load(f)
