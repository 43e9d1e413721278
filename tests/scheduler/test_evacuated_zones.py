"""No task is started in an evacuated zone, neither by a first start request nor by a retry."""

import json
import unittest

from sparloom.scheduler.events import (
    HoldAnswered,
    RunnersListed,
    StartAnswered,
    StartResult,
    StartRun,
    StopRun,
    ZonesEvacuated,
)
from sparloom.scheduler.runners import RunnerListing, read_listing
from sparloom.scheduler.specification import Resources
from tests.scheduler.test_scheduler import TASK, SchedulerCase


def listing_in_zone(id, zone):
    return RunnerListing(id, "s", f"{id}:1", False, Resources(4000, 8000, 0), frozenset(("a", "r1-1")), zone)


class EvacuatedZones(SchedulerCase):
    def connect_two_zones(self):
        """List one runner in each of two zones and let them answer; return the resulting instructions."""
        self.handle(RunnersListed((listing_in_zone("i-1", "z1"), listing_in_zone("i-2", "z2"))))
        self.tick()
        return [request for id in ("i-1", "i-2") for request in self.handle(HoldAnswered(id, self.now * 1000, (), ()))]

    def test_tasks_start_only_in_other_zones_until_the_evacuation_ends(self):
        self.connect_two_zones()
        self.handle(ZonesEvacuated(frozenset({"z1"})))
        self.add_job(json.dumps({"steps": [{"replicaCount": 8, "cpu": 1000}]}).encode())
        self.assertEqual([runner for runner, _, _ in self.start_requests(self.tick())], ["i-2"] * 4)
        self.assertEqual(self.start_requests(self.tick(3.0)), [])
        self.assertEqual(
            [runner for runner, _, _ in self.start_requests(self.handle(ZonesEvacuated(frozenset())))], ["i-1"] * 4
        )

    def test_new_runner_in_an_evacuated_zone_gets_no_starts(self):
        self.handle(ZonesEvacuated(frozenset({"z1"})))
        self.connect_two_zones()
        self.add_job(json.dumps({"steps": [{"replicaCount": 8, "cpu": 1000}]}).encode())
        self.assertEqual({runner for runner, _, _ in self.start_requests(self.tick())}, {"i-2"})

    def test_unanswered_start_in_an_evacuated_zone_is_stopped_and_not_retried(self):
        self.add_job()
        (first,) = [request for request in self.connect_two_zones() if isinstance(request, StartRun)]
        zone = {"i-1": "z1", "i-2": "z2"}[first.runner]
        self.handle(ZonesEvacuated(frozenset({zone})))
        self.handle(StartAnswered(first.runner, TASK, 1, StartResult.NO_ANSWER))
        instructions = [request for _ in range(50) for request in self.tick()]
        self.assertEqual([request for request in instructions if isinstance(request, StartRun)], [])
        self.assertIn(StopRun(first.runner, first.address, TASK, 1), instructions)

    def test_active_runs_continue_in_an_evacuated_zone(self):
        self.add_job()
        (first,) = self.start_requests(self.connect_two_zones())
        self.answer_start(first[0])
        instructions = self.handle(ZonesEvacuated(frozenset({"z1", "z2"})))
        instructions += [request for _ in range(50) for request in self.tick()]
        self.assertEqual([request for request in instructions if isinstance(request, StopRun)], [])

    def test_platform_list_contains_the_zone(self):
        entry = {"runnerId": "i", "service": "s", "address": "h:1", "zone": "z1", "state": "ready"}
        ((listing,), _) = read_listing({"instances": [entry], "nextPageToken": None}).unwrap()
        self.assertEqual(listing.zone, "z1")


if __name__ == "__main__":
    unittest.main()
