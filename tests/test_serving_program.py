"""Regression test: a signal at the end of a graceful shutdown terminated the process with status -1.

The event loop removes its signal handlers when it closes, so the default action of a SIGHUP that arrived afterwards
ended the controller (seen in a soak test with real processes).
"""

import subprocess
import sys
import unittest

from tests.support.paths import ROOT

SHUTDOWN_SCRIPT = """
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
print("exited normally")
"""


class ShutdownSignalTest(unittest.TestCase):
    def test_signal_after_event_loop_close_does_not_end_the_process(self):
        for name in ("SIGHUP", "SIGTERM"):
            with self.subTest(name):
                completed = subprocess.run(
                    [sys.executable, "-c", SHUTDOWN_SCRIPT, name], cwd=ROOT, capture_output=True, text=True, check=False
                )
                self.assertEqual((completed.returncode, completed.stdout), (0, "exited normally\n"), completed.stderr)


if __name__ == "__main__":
    unittest.main()
