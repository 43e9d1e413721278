"""Tests of a router's part in rollouts: its exposure, the end of its lease, and its votes."""

import random
import unittest
from datetime import timedelta
from types import SimpleNamespace
from unittest import mock

from sparloom.configuration import build
from sparloom.discovery import Endpoint, pool_name
from sparloom.rollouts import Step
from sparloom.rollouts.exposure import ExposureTokens, initial_extra_tokens
from sparloom.router import rollout_watcher
from sparloom.router.attempt import AttemptEnd
from sparloom.router.backends import BackendTable
from sparloom.router.rollout_watcher import RolloutWatcher
from sparloom.settings import from_dict
from tests.support.router_fixture import STARTUP

TRIAL = pool_name("s", "v2")
SECOND, MS = timedelta(seconds=1), timedelta(milliseconds=1)
STREAM = SimpleNamespace(name="r", kind="streaming")


def document(step=Step.PROBE, share=0.1, number=1, pools=("s",)):
    entry = {"service": "s", "pools": list(pools), "base": ["s"], "number": number, "trial": TRIAL}
    return {"revision": 1, "rollouts": [{**entry, "step": int(step), "share": share, "collector": "core:1"}]}


class WatcherCase(unittest.TestCase):
    def setUp(self):
        self.now, self.confirmed_at, self.in_flight_count, self.sent = 100 * SECOND, 100 * SECOND, 0, []
        endpoints = [Endpoint(id, pool, id, "z", 8, False, 0) for id, pool in (("a", "s"), ("b", TRIAL), ("c", TRIAL))]
        self.endpoints, self.backends = endpoints, BackendTable()
        self.random, self.key, self.instance_id = random.Random(1), "r:1", 7
        self.fleet_size = SimpleNamespace(divisor=1)
        self.settings = from_dict(STARTUP).unwrap()
        self.in_flight = SimpleNamespace(count=lambda id, now: self.in_flight_count)
        datagrams = SimpleNamespace(send=lambda to, record: self.sent.append((to, record)))
        self.watcher = RolloutWatcher(self, SimpleNamespace(datagrams=datagrams), lambda: 5)
        clock = mock.patch.object(rollout_watcher, "monotonic", lambda: self.now)
        clock.start()
        self.addCleanup(clock.stop)

    def configuration_age(self, now):
        return now - self.confirmed_at

    def apply(self, configuration):
        versions = build(configuration).versions
        self.watcher.on_configuration(versions)
        self.backends = self.backends.updated(self.endpoints, lambda service: 1000, versions=versions)

    def count_exposed(self, count, route="r"):
        """Returns how many of ``count`` requests go to the new version."""
        exposed = 0
        for _ in range(count):
            self.watcher.on_request("s", route)
            exposed += bool(self.watcher.trial_backends("s", route, self.now))
        return exposed


class ExposureTests(WatcherCase):
    def test_the_share_of_the_step_is_exposed_and_nothing_without_a_rollout(self):
        self.assertEqual(self.count_exposed(100), 0)
        self.apply(document())
        self.assertAlmostEqual(self.count_exposed(1000), 95, delta=6)
        self.apply({"revision": 2})
        self.assertEqual(self.count_exposed(100), 0)

    def test_the_probe_step_uses_all_runners_of_the_version(self):
        """Regression: all requests went to one runner, whose faults can't be told from faults of the version."""
        self.apply(document(share=0.5))
        selected = set()
        for _ in range(60):
            self.watcher.on_request("s", "r")
            selected |= {backend.id for backend in self.watcher.trial_backends("s", "r", self.now)}
        self.assertEqual(selected, {"b", "c"})

    def test_nothing_is_exposed_after_the_lease_has_expired(self):
        self.apply(document(share=0.5))
        self.now += 0.9 * SECOND
        self.assertGreater(self.count_exposed(20), 0)
        self.now += 10 * SECOND
        self.assertEqual(self.count_exposed(20), 0)
        self.confirmed_at = self.now
        self.assertGreater(self.count_exposed(20), 0)

    def test_the_load_step_fills_one_runner_at_a_time_up_to_its_slots(self):
        self.apply(document(Step.LOAD, 1.0))
        selected = set()
        for _ in range(40):
            self.watcher.on_request("s", "r")
            chosen = self.watcher.trial_backends("s", "r", self.now)
            self.assertLessEqual(len(chosen), 1)
            selected |= {backend.id for backend in chosen}
            self.now += 100 * MS
            self.confirmed_at = self.now
        self.assertEqual(selected, {"b", "c"})
        self.in_flight_count = 8
        self.assertEqual(self.count_exposed(20), 0)

    def test_at_the_last_step_the_new_version_serves_all_requests(self):
        self.apply(document(Step.FULL, 1.0, pools=(TRIAL,)))
        self.assertEqual({backend.id for backend in self.backends.of("s")}, {"b", "c"})
        self.endpoints = self.endpoints[:1]
        self.apply(document(Step.FULL, 1.0, pools=(TRIAL,)))
        self.assertEqual([backend.id for backend in self.backends.of("s")], ["a"], "no new runner is listed")

    def test_the_fleet_stays_within_the_share_from_the_first_request_on(self):
        for seed in range(20):
            rng = random.Random(seed)
            fleet = [ExposureTokens(rng, initial_extra_tokens(50, 70)) for _ in range(70)]
            exposed = 0
            for count in range(1, 3000):
                tokens, route = rng.choice(fleet), rng.choices("abc", (85, 10, 5))[0]
                tokens.on_request(route, 0.08)
                exposed += tokens.try_consume(route, 0.08)
                self.assertLessEqual(exposed, 0.1 * count + 50)
            self.assertGreater(exposed, 0.06 * 3000)


class VoteTests(WatcherCase):
    def end(self, id, ended=AttemptEnd.COMPLETE, pace=30 * MS, before=0, chunks=10, route=STREAM):
        backend = self.backends.by_id[id]
        self.watcher.on_sent(backend)
        attempt = SimpleNamespace(
            backend=backend,
            in_flight_before=before,
            sent_at=self.now,
            first_chunk_at=self.now + 60 * MS,
            last_chunk_at=self.now + 60 * MS + pace * (chunks - 1),
            chunks=chunks,
        )
        self.watcher.on_ended(attempt, route, ended)

    def tallies(self):
        self.now += SECOND
        self.watcher.tick()
        address, vote = self.sent[-1]
        self.assertEqual((address, vote.number, vote.epoch), ("core:1", 1, 5))
        found = {}
        for tally in vote.tallies:
            key = (tally.trial, tally.loaded)
            counts = (tally.answers, tally.failed, tally.paced, tally.slow)
            found[key] = tuple(map(sum, zip(found.get(key, (0, 0, 0, 0)), counts, strict=True)))
        return found

    def test_answers_are_counted_by_version(self):
        self.apply(document())
        for _ in range(12):
            self.end("a")
        self.end("b", AttemptEnd.FAILED, chunks=0)
        self.end("c", pace=200 * MS)
        self.end("c", AttemptEnd.NOT_RUN, chunks=0)
        # Only the last four answers of the old version have enough earlier ones to be compared with.
        self.assertEqual(self.tallies(), {(False, False): (12, 0, 4, 0), (True, False): (2, 1, 1, 1)})
        self.assertEqual((self.sent[-1][1].sent, self.sent[-1][1].exposed), (15, 3))

    def test_an_abandoned_answer_counts_only_if_it_was_slow(self):
        self.apply(document())
        for _ in range(8):
            self.end("a")
        self.end("b", AttemptEnd.ABANDONED, pace=200 * MS)
        self.end("b", AttemptEnd.ABANDONED, chunks=0)
        self.assertEqual(self.tallies()[True, False], (0, 0, 1, 1))

    def test_the_pace_of_a_loaded_runner_is_not_compared(self):
        self.apply(document())
        for _ in range(8):
            self.end("a")
        self.end("b", pace=200 * MS, before=5)
        self.apply(document(Step.LOAD))
        self.end("b", pace=200 * MS)
        self.assertEqual(self.tallies()[True, True], (1, 0, 0, 0))

    def test_a_new_rollout_starts_with_empty_counts(self):
        self.apply(document())
        self.end("b", AttemptEnd.FAILED)
        self.apply(document(number=2))
        self.now += SECOND
        self.watcher.tick()
        self.assertEqual((self.sent[-1][1].number, self.sent[-1][1].tallies), (2, []))

    def test_a_vote_reports_the_requests_in_flight_at_the_old_version(self):
        self.apply(document(Step.FULL, 1.0, pools=(TRIAL,)))
        self.backends.by_id["a"].open_calls, self.backends.by_id["b"].open_calls = 2, 3
        self.tallies()
        vote = self.sent[-1][1]
        self.assertEqual((vote.step, vote.base_in_flight, vote.in_flight), (Step.FULL, 2, 5))


if __name__ == "__main__":
    unittest.main()
