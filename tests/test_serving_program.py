"""Regression: a controller that was ending ended by a signal, and not by itself.

A soak of real processes told it: `controller-0 ended with status -1`. The event loop takes its signal handlers along
as it closes, so a SIGHUP in the last moments of a planned end met the signal's default action.
"""

import subprocess
import sys
import unittest

from tests.support.paths import ROOT

ENDING = """
import asyncio, os, signal, sys, time
from sparloom.serving_program import ServingProgram, serve_until_signalled

class Program(ServingProgram):
    async def graceful_shutdown(self):
        pass

async def serve():
    asyncio.get_running_loop().call_later(0.05, os.kill, os.getpid(), signal.SIGTERM)
    await serve_until_signalled(Program(None, "/nowhere"))

asyncio.run(serve())
os.kill(os.getpid(), getattr(signal, sys.argv[1]))
time.sleep(0.05)
print("ended by itself")
"""


class End(unittest.TestCase):
    def test_a_signal_in_the_last_moments_of_a_planned_end_changes_nothing(self):
        for name in ("SIGHUP", "SIGTERM"):
            with self.subTest(name):
                done = subprocess.run(
                    [sys.executable, "-c", ENDING, name], cwd=ROOT, capture_output=True, text=True, check=False
                )
                self.assertEqual((done.returncode, done.stdout), (0, "ended by itself\n"), done.stderr)


if __name__ == "__main__":
    unittest.main()
