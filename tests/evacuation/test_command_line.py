"""The operator's commands: a zone is evacuated, listed and taken back, and a refusal is told in a sentence."""

import asyncio
import contextlib
import io
import unittest

import defopt

from sparloom.cli import _commands
from tests.evacuation.test_evacuation_on_loopback import EvacuationCase


def command(*words):
    """The exit status, standard output and standard error of a command of the controller."""
    out, error = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(error):
        status = defopt.run(_commands("controller"), argv=list(words))
    return status, out.getvalue(), error.getvalue()


class CommandLine(EvacuationCase):
    async def run_command(self, *words):
        return await asyncio.to_thread(command, *words)

    async def test_a_zone_is_evacuated_listed_and_taken_back(self):
        control = self.url.removeprefix("http://").partition("/")[0]
        nobody = "127.0.0.1:1"
        self.assertEqual(await self.run_command("evacuated", control), (0, "", ""))
        # The first address doesn't answer, so the next one is called.
        done = await self.run_command("evacuate", "z1", nobody, control)
        self.assertEqual(done, (0, "z1 is evacuated\n", ""))
        self.assertEqual(await self.run_command("evacuated", control), (0, "z1\n", ""))
        self.assertEqual(await self.run_command("restore", "z1", control), (0, "z1 is taken back\n", ""))
        self.assertEqual(await self.run_command("evacuated", control), (0, "", ""))

    async def test_the_last_zone_of_a_service_is_evacuated_with_a_warning(self):
        control = self.url.removeprefix("http://").partition("/")[0]
        self.assertEqual(await self.run_command("evacuate", "z1", control), (0, "z1 is evacuated\n", ""))
        warned = (0, "z2 is evacuated\n", "warning: no runner is left of s.\n")
        self.assertEqual(await self.run_command("evacuate", "z2", control), warned)
        # The same order, sent again, is told the same.
        self.assertEqual(await self.run_command("evacuate", "z2", control), warned)
        self.assertEqual(await self.run_command("restore", "z1", control), (0, "z1 is taken back\n", ""))

    async def test_zones_are_shown_as_nodes_believe_them(self):
        control = self.url.removeprefix("http://").partition("/")[0]
        await self.run_command("evacuate", "z1", control)
        status, out, _ = await self.run_command("zones", control, "127.0.0.1:1")
        name = self.controller_settings.node
        lines = [
            f"{name}: z1 evacuated, 1 runners, 0 draining, 0 cold",
            f"{name}: z2 in service, 1 runners, 0 draining, 0 cold",
        ]
        self.assertEqual((status, out.splitlines()), (1, lines))

    async def test_what_is_wrong_is_said_in_a_sentence(self):
        self.controller.control_api.settings.zones["z1"] = "r"
        control = self.url.removeprefix("http://").partition("/")[0]
        status, out, error = await self.run_command("evacuate", "nowhere", control)
        self.assertEqual((status, out, error), (1, "", f"{control} refuses it: the zone nowhere is unknown.\n"))
        self.assertEqual((await self.run_command("evacuated"))[0], 1)


if __name__ == "__main__":
    unittest.main()
