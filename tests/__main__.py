"""Runs the whole suite; what KNOWN-RED.txt lists may fail, and is printed.

Each of its lines holds: test id, cause, issue; parted by commas.
"""

import os
import sys
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def known():
    """The ids of tests that are known to fail.

    >>> isinstance(known(), dict)
    True
    """
    path = os.path.join(ROOT, "KNOWN-RED.txt")
    if not os.path.exists(path):
        return {}
    with open(path, encoding="utf-8") as f:
        return {t.split(",")[0].strip(): t.strip() for t in f if t.strip()}


def fix_hash_seed():
    """Starts this process again with one order of sets for every run, so that each seeded play is the same."""
    if "PYTHONHASHSEED" not in os.environ:
        os.execve(sys.executable, [sys.executable, "-m", "tests"], {**os.environ, "PYTHONHASHSEED": "0"})


def main():
    """Runs and judges."""
    os.chdir(ROOT)
    fix_hash_seed()
    suite = unittest.defaultTestLoader.discover("tests", top_level_dir=".")
    res = unittest.TextTestRunner(verbosity=1).run(suite)
    red = known()
    bad = [t.id() for t, _ in (*res.failures, *res.errors)]
    new = [t for t in bad if t not in red]
    for t in bad:
        if t in red:
            print(f"known red: {red[t]}")
    gone = [t for t in red if t not in bad]
    for t in gone:
        print(f"listed in KNOWN-RED.txt but not failing: {t}")
    print(f"{res.testsRun - len(bad)} passed, {len(new)} failed, {len(bad) - len(new) + len(res.skipped)} skipped")
    if not res.testsRun:
        print("no test ran")
    sys.exit(1 if new or gone or not res.testsRun or res.unexpectedSuccesses else 0)


if __name__ == "__main__":
    main()
