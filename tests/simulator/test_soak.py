"""Short soak runs with real processes, two seeds of each scenario, and unit tests of the soak helpers."""

import unittest
from datetime import timedelta

from simulator.clients import Outcome, PlannedShutdown
from simulator.soak.command import soak
from simulator.soak.processes import address, reserve_network, to_toml


class Soak(unittest.TestCase):
    def test_requests_survive_router_restarts_pauses_and_reloads(self):
        self.assertEqual(soak(play="requests", runs=2, parallel=2, seconds=14.0), 0)

    def test_jobs_survive_controller_crashes_and_late_start_orders(self):
        self.assertEqual(soak(play="jobs", runs=2, parallel=2, seconds=12.0), 0)

    def test_duties_survive_holder_crashes_pauses_and_a_slow_platform(self):
        self.assertEqual(soak(play="duties", runs=2, parallel=2, seconds=12.0), 0)

    def test_rollouts_survive_controller_crashes_and_router_pauses(self):
        self.assertEqual(soak(play="rollouts", runs=2, parallel=2, seconds=14.0), 0)

    def test_unknown_scenario_is_rejected(self):
        self.assertEqual(soak(play="nothing"), 2)

    def test_forwarded_request_without_complete_response_counts_as_lost(self):
        shutdown = PlannedShutdown(10.0, timedelta(seconds=5))
        aborted = Outcome("a", 11.68, sent=11.68, waits=8.0, ended=11.98)
        self.assertTrue(shutdown.lost(aborted, forwarded=True))
        self.assertFalse(shutdown.lost(Outcome("a", 11.68, sent=11.68, waits=8.0, ended=11.7), forwarded=False))

    def test_concurrent_scenarios_use_different_addresses(self):
        first, second = reserve_network(), reserve_network()
        for _, lock in (first, second):
            self.addCleanup(lock.close)
        addresses = [address(network, number) for network in (first[0], second[0]) for number in range(300)]
        self.assertEqual(len(set(addresses)), len(addresses))
        self.assertTrue(all(candidate.startswith("127.") for candidate in addresses))

    def test_startup_files_are_valid_toml(self):
        import tomllib

        settings = {"a": "x", "b": [1, 2], "bounds": {"graceS": 5.0, "on": True}}
        self.assertEqual(tomllib.loads(to_toml(settings)), settings)


if __name__ == "__main__":
    unittest.main()
