"""Failure scenarios of the control state: timelines with a column for each controller, and ``play`` to run one."""

import unittest

from .core import Core
from .timeline import play as run

STORIES = {
    "primary-lost": (
        "abc",
        1,
        """
        ms    a     b  c  any
        2500  lead  .  .  write=5
        2600  kill  .  .  .
        4600  .     .  .  leads+has=5
        4700  .     .  .  write=7
    """,
    ),
    "power-lost": (
        "abc",
        1,
        """
        ms    a     b     c     any
        2500  .     .     .     write=5
        2700  kill  kill  kill  .
        3000  boot  boot  boot  .
        5500  .     .     .     leads+has=5
    """,
    ),
    "disk-lost": (
        "abc",
        1,
        """
        ms    a     b     c     any
        2500  .     .     .     write=5
        2700  wipe  kill  kill  .
        3000  boot  boot  boot  .
        6500  .     .     .     leads+has=5
        8000  member member member .
    """,
    ),
    "primary-isolated": (
        "abc",
        1,
        """
        ms    a            b  c  any
        2500  lead         .  .  write=5
        2600  cut          .  .  .
        2601  unwritten=6  .  .  .
        4800  idle         .  .  leads
        4900  .            .  .  write=7
        5500  .            .  .  heal
        7500  .            .  .  has=7
    """,
    ),
    "two-of-five-lost": (
        "abcde",
        2,
        """
        ms    a     b     c  d  e  any
        4500  .     .     .  .  .  write=5
        4700  wipe  kill  .  .  .  .
        7500  .     .     .  .  .  leads+has=5
        7600  .     .     .  .  .  write=7
    """,
    ),
}


def play(name, seed):
    """Run a scenario with a seed; return None if all assertions held, otherwise the first line of the failure.

    >>> play("primary-lost", 1) is None
    True
    """
    names, replicas, text = STORIES[name]
    try:
        run(unittest.TestCase(), Core(names, replicas=replicas, seed=seed), text)
    except AssertionError as error:
        return str(error).splitlines()[0]
    return None
