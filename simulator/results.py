"""Saves and loads the results of a run, as JSON and as a CSV file with one row per point."""

import csv
import json
import os


def flatten(table, prefix=""):
    """The values of nested tables, under dotted names; lists become JSON text.

    >>> flatten({"a": {"b": 1, "c": [2]}, "d": None})
    {'a.b': 1, 'a.c': '[2]', 'd': None}
    """
    values = {}
    for key, value in table.items():
        values |= (
            flatten(value, f"{prefix}{key}.")
            if isinstance(value, dict)
            else {prefix + key: json.dumps(value) if isinstance(value, list) else value}
        )
    return values


def save(path, run):
    """Writes a run as JSON to ``path``, and its points as CSV to the same path with the suffix ".csv".

    >>> save("", {"points": []})
    Traceback (most recent call last):
    ...
    FileNotFoundError: [Errno 2] No such file or directory: ''
    """
    if os.path.dirname(path):
        os.makedirs(os.path.dirname(path), exist_ok=True)
    with open(path, "w", encoding="utf-8") as file:
        json.dump(run, file, indent=1)
        file.write("\n")
    rows = [flatten(point) for point in run["points"]]
    names = list(dict.fromkeys(name for row in rows for name in row))
    with open(os.path.splitext(path)[0] + ".csv", "w", encoding="utf-8", newline="") as file:
        writer = csv.DictWriter(file, names)
        writer.writeheader()
        writer.writerows(rows)


def load(path):
    """Reads a run that ``save`` wrote.

    >>> load("/nowhere.json")
    Traceback (most recent call last):
    ...
    FileNotFoundError: [Errno 2] No such file or directory: '/nowhere.json'
    """
    with open(path, encoding="utf-8") as file:
        return json.load(file)
