"""Tests of the operator commands that evacuate, list and restore zones, and of their error messages."""

import asyncio
import contextlib
import io
import unittest

import defopt

from sparloom.cli import _commands
from tests.evacuation.test_evacuation_on_loopback import EvacuationCase


def command(*arguments):
    """Runs a controller command; returns its exit status, standard output and standard error."""
    stdout, stderr = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(stdout), contextlib.redirect_stderr(stderr):
        status = defopt.run(_commands("controller"), argv=list(arguments))
    return status, stdout.getvalue(), stderr.getvalue()


class CommandLineTest(EvacuationCase):
    async def run_command(self, *arguments):
        return await asyncio.to_thread(command, *arguments)

    async def test_evacuating_listing_and_restoring_a_zone(self):
        control = self.url.removeprefix("http://").partition("/")[0]
        unreachable = "127.0.0.1:1"
        self.assertEqual(await self.run_command("evacuated", control), (0, "", ""))
        # The first address is unreachable, so the next one is called.
        result = await self.run_command("evacuate", "z1", unreachable, control)
        self.assertEqual(result, (0, "z1 is evacuated\n", ""))
        self.assertEqual(await self.run_command("evacuated", control), (0, "z1\n", ""))
        self.assertEqual(await self.run_command("restore", "z1", control), (0, "z1 is taken back\n", ""))
        self.assertEqual(await self.run_command("evacuated", control), (0, "", ""))

    async def test_the_last_zone_of_a_service_is_evacuated_with_a_warning(self):
        control = self.url.removeprefix("http://").partition("/")[0]
        self.assertEqual(await self.run_command("evacuate", "z1", control), (0, "z1 is evacuated\n", ""))
        expected = (0, "z2 is evacuated\n", "warning: no runners left for s.\n")
        self.assertEqual(await self.run_command("evacuate", "z2", control), expected)
        # A retry of the order prints the same warning.
        self.assertEqual(await self.run_command("evacuate", "z2", control), expected)
        self.assertEqual(await self.run_command("restore", "z1", control), (0, "z1 is taken back\n", ""))

    async def test_the_zones_command_shows_the_local_view_of_each_node(self):
        control = self.url.removeprefix("http://").partition("/")[0]
        await self.run_command("evacuate", "z1", control)
        status, stdout, _ = await self.run_command("zones", control, "127.0.0.1:1")
        name = self.controller_settings.node
        lines = [
            f"{name}: z1 evacuated, 1 runners, 0 draining, 0 cold",
            f"{name}: z2 in service, 1 runners, 0 draining, 0 cold",
        ]
        self.assertEqual((status, stdout.splitlines()), (1, lines))

    async def test_a_rejected_or_incomplete_command_prints_an_error(self):
        self.controller.control_api.settings.zones["z1"] = "r"
        control = self.url.removeprefix("http://").partition("/")[0]
        status, stdout, stderr = await self.run_command("evacuate", "nowhere", control)
        self.assertEqual(
            (status, stdout, stderr), (1, "", f"{control} rejected the request: the zone nowhere is unknown.\n")
        )
        self.assertEqual((await self.run_command("evacuated"))[0], 1)


if __name__ == "__main__":
    unittest.main()
