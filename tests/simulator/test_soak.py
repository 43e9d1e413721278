"""A short soak with real processes: some seeds of each play, and that a lost request would be seen."""

import unittest
from datetime import timedelta

from simulator.clients import Outcome, PlannedEnd
from simulator.soak.command import soak
from simulator.soak.processes import address, reserve_network, to_toml


class Soak(unittest.TestCase):
    def test_requests_on_kept_connections_while_routers_end_pause_and_read_settings_again(self):
        self.assertEqual(soak(play="requests", runs=2, parallel=2, seconds=14.0), 0)

    def test_jobs_while_controllers_are_killed_and_orders_are_carried_out_late(self):
        self.assertEqual(soak(play="jobs", runs=2, parallel=2, seconds=12.0), 0)

    def test_duties_while_their_holder_is_killed_and_pauses_and_the_platform_is_late(self):
        self.assertEqual(soak(play="duties", runs=2, parallel=2, seconds=12.0), 0)

    def test_roll_outs_while_controllers_are_killed_and_routers_pause(self):
        self.assertEqual(soak(play="rollouts", runs=2, parallel=2, seconds=14.0), 0)

    def test_an_unknown_play_is_refused(self):
        self.assertEqual(soak(play="nothing"), 2)

    def test_the_judge_calls_a_request_lost_that_was_passed_on_and_cut(self):
        end = PlannedEnd(10.0, timedelta(seconds=5))
        cut = Outcome("a", 11.68, sent=11.68, waits=8.0, ended=11.98)
        self.assertTrue(end.lost(cut, passed_on=True))
        self.assertFalse(end.lost(Outcome("a", 11.68, sent=11.68, waits=8.0, ended=11.7), passed_on=False))

    def test_addresses_of_plays_at_the_same_time_differ(self):
        first, second = reserve_network(), reserve_network()
        for _, holder in (first, second):
            self.addCleanup(holder.close)
        addresses = [address(network, number) for network in (first[0], second[0]) for number in range(300)]
        self.assertEqual(len(set(addresses)), len(addresses))
        self.assertTrue(all(a.startswith("127.") for a in addresses))

    def test_startup_files_are_toml(self):
        import tomllib

        settings = {"a": "x", "b": [1, 2], "bounds": {"graceS": 5.0, "on": True}}
        self.assertEqual(tomllib.loads(to_toml(settings)), settings)


if __name__ == "__main__":
    unittest.main()
