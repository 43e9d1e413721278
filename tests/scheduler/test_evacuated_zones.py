"""No task is started in an evacuated zone: neither a first one, nor an order that was left without an answer."""

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
from tests.scheduler.test_scheduler import TASK, MachineCase


def in_zone(id, zone):
    return RunnerListing(id, "s", f"{id}:1", False, Resources(4000, 8000, 0), frozenset(("a", "r1-1")), zone)


class EvacuatedZones(MachineCase):
    def two_zones(self):
        """A runner in each of two zones."""
        self.tell(RunnersListed((in_zone("i-1", "z1"), in_zone("i-2", "z2"))))
        self.tick()
        return [order for id in ("i-1", "i-2") for order in self.tell(HoldAnswered(id, self.now * 1000, (), ()))]

    def test_tasks_are_started_in_the_other_zones_until_it_is_taken_back(self):
        self.two_zones()
        self.tell(ZonesEvacuated(frozenset({"z1"})))
        self.add(json.dumps({"steps": [{"replicaCount": 8, "cpu": 1000}]}).encode())
        self.assertEqual([runner for runner, _, _ in self.starts(self.tick())], ["i-2"] * 4)
        self.assertEqual(self.starts(self.tick(3.0)), [])
        self.assertEqual([runner for runner, _, _ in self.starts(self.tell(ZonesEvacuated(frozenset())))], ["i-1"] * 4)

    def test_a_runner_that_comes_up_in_an_evacuated_zone_gets_nothing(self):
        self.tell(ZonesEvacuated(frozenset({"z1"})))
        self.two_zones()
        self.add(json.dumps({"steps": [{"replicaCount": 8, "cpu": 1000}]}).encode())
        self.assertEqual({runner for runner, _, _ in self.starts(self.tick())}, {"i-2"})

    def test_a_start_without_an_answer_is_stopped_and_not_repeated_there(self):
        self.add()
        (first,) = [order for order in self.two_zones() if isinstance(order, StartRun)]
        zone = {"i-1": "z1", "i-2": "z2"}[first.runner]
        self.tell(ZonesEvacuated(frozenset({zone})))
        self.tell(StartAnswered(first.runner, TASK, 1, StartResult.NO_ANSWER))
        out = [order for _ in range(50) for order in self.tick()]
        self.assertEqual([order for order in out if isinstance(order, StartRun)], [])
        self.assertIn(StopRun(first.runner, first.address, TASK, 1), out)

    def test_what_runs_there_goes_on(self):
        self.add()
        (first,) = self.starts(self.two_zones())
        self.started(first[0])
        out = self.tell(ZonesEvacuated(frozenset({"z1", "z2"})))
        out += [order for _ in range(50) for order in self.tick()]
        self.assertEqual([order for order in out if isinstance(order, StopRun)], [])

    def test_the_platforms_list_tells_the_zone(self):
        entry = {"runnerId": "i", "service": "s", "address": "h:1", "zone": "z1", "state": "ready"}
        ((listing,), _) = read_listing({"instances": [entry], "nextPageToken": None}).unwrap()
        self.assertEqual(listing.zone, "z1")


if __name__ == "__main__":
    unittest.main()
