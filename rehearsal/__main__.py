"""The rehearsal's command line."""
import sys

import defopt

from sparloom import __version__

from .play import STORIES, play


def main(*, seed: int = 1, runs: int = 5, story: str = ""):
    """Play failure timelines of the control state on this machine, in simulated time.

    :param seed: the first seed; the same seed plays the same luck
    :param runs: how many seeds to play
    :param story: play this one only
    """
    names = [story] if story else list(STORIES)
    unknown = [n for n in names if n not in STORIES]
    if unknown:
        print(f"no story is named {unknown[0]}; there are: {', '.join(STORIES)}")
        return 2
    bad = 0
    for n in names:
        for s in range(seed, seed + runs):
            fault = play(n, s)
            bad += fault is not None
            print(f"{n}, seed {s}: {'held' if fault is None else 'did not hold: ' + fault}")
    print(f"{len(names) * runs - bad} held, {bad} did not")
    return 1 if bad else 0


sys.exit(defopt.run(main, version=f"rehearsal {__version__}"))
