"""Measures the cost of single data structures of the fleet at rising sizes: encoded bytes, memory and microseconds.

The structures are those that the routers and controllers use.
"""

import json
import random
import time
import tracemalloc
import zlib
from datetime import timedelta

from sparloom.admission import AdmissionController, Capacity, Demand
from sparloom.codec import pack, unpack
from sparloom.configuration import build
from sparloom.configuration.check import check
from sparloom.controller.control_state import State
from sparloom.discovery import EndpointList, read_page
from sparloom.dynamic_timeout import InFlightCounts, InFlightReport, InFlightUpdate
from sparloom.load_balancing import CachedPrefixes, Candidate, choose, rendezvous_weight
from sparloom.membership import ROUTER, Peer, Swim, SwimTiming
from sparloom.router.backends import BackendTable

from .fleet import configuration, entries

CONTACT_BOUND = timedelta(seconds=4)


def timed(operation, min_seconds=0.05):
    """Microseconds of processor time per call: the minimum over three rounds.

    >>> timed(lambda: None, 0.001) < 1000
    True
    """
    best = None
    for _ in range(3):
        calls, started = 0, time.process_time()
        while (elapsed := time.process_time() - started) < min_seconds:
            operation()
            calls += 1
        best = elapsed / calls if best is None else min(best, elapsed / calls)
    return round(best * 1e6, 2)


def memory(create):
    """Bytes that the result of a call occupies, as traced by tracemalloc.

    >>> memory(lambda: bytes(10000)) > 9999
    True
    """
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = create()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return after - before if result is not None else 0


def runners(count):
    """A list of runners: its size, and what a router pays to decode it, apply it and choose from it.

    >>> runners(10)["runners"]
    10
    """
    endpoints = EndpointList(read_page({"instances": entries(count), "nextPageToken": None}).unwrap()[0], 25)
    compressed = zlib.compress(pack(endpoints), 1)
    backends = BackendTable().updated(endpoints.runners, lambda service: 378959)
    rng, candidates = random.Random(1), [Candidate(runner.id, 300, 0, 3, 16) for runner in endpoints.runners]
    reports = [InFlightReport(rng.getrandbits(64), 3, 2000, 0, 0, 0, 0) for _ in range(min(count, 2900))]
    counts = InFlightCounts(CONTACT_BOUND)
    counts.on_update(
        InFlightUpdate("p:1", 1, 1, 1, reports, []),
        timedelta(0),
        {report.resource: i for i, report in enumerate(reports)},
    )
    return {
        "runners": count,
        "listBytes": len(pack(endpoints)),
        "listCompressed": len(compressed),
        "takeUs": timed(lambda: unpack(zlib.decompress(compressed))),
        "renewUs": timed(lambda: backends.updated(endpoints.runners, lambda service: 378959)),
        "fleetBytes": memory(lambda: BackendTable().updated(endpoints.runners, lambda service: 378959)),
        "chooseUs": timed(lambda: choose(candidates)),
        "homeUs": timed(lambda: max(rendezvous_weight(7, backend.number) for backend in backends.by_id.values())),
        "countUs": timed(lambda: [counts.count(i, timedelta(0)) for i in range(len(reports))]),
    }


def routes(count):
    """A configuration with many routes: its size in the feed and on disk, and the cost to check, build and match it.

    >>> routes(10)["routes"]
    10
    """
    document = configuration(1, count)
    compressed = zlib.compress(json.dumps(document, separators=(",", ":")).encode(), 1)
    built = build(document)
    return {
        "routes": count,
        "jsonBytes": len(json.dumps(document)),
        "feedCompressed": len(compressed),
        "stateBytes": len(State(document).pack()),
        "checkUs": timed(lambda: check(document)),
        "takeUs": timed(lambda: build(json.loads(zlib.decompress(compressed)))),
        "policyBytes": memory(lambda: build(document)),
        "matchUs": timed(lambda: built.match(f"tenant-{(count - 1) // 4}.example", f"/p{count - 1}/x")),
        "packUs": timed(lambda: State(document).pack()),
    }


def members(count):
    """A membership table: its memory, and the cost of a tick and of listing the members that are alive.

    >>> members(10)["members"]
    10
    """

    def create():
        swim = Swim(
            Peer("127.2.0.1:7301", ROUTER, "zone-1", "", 1, 0, 0), (), SwimTiming.of(CONTACT_BOUND), random.Random(1)
        )
        for i in range(1, count):
            swim._merge(Peer(f"127.2.{i // 250}.{i % 250 + 1}:7301", ROUTER, f"zone-{i % 5}", "", i, 0, 0))
        return swim

    swim, now = create(), [timedelta(seconds=1)]

    def tick():
        now[0] += CONTACT_BOUND / 6
        swim.probes.clear()
        return swim.tick(now[0])

    messages = tick()
    return {
        "members": count,
        "tableBytes": memory(create),
        "probeBytes": max((len(pack(message.record)) for message in messages), default=0),
        "aliveUs": timed(lambda: swim.alive()),
        "probeUs": timed(tick),
    }


def prefixes(count):
    """The memory of a table of cached prompt prefixes.

    >>> prefixes(10)["prefixes"]
    10
    """
    rng = random.Random(1)

    def create():
        cached = CachedPrefixes(1 << 60)
        cached.add([(rng.getrandbits(64), 2000) for _ in range(count)])
        return cached

    return {"prefixes": count, "keptBytes": memory(create)}


def tenants(count):
    """An admission controller with one request of each tenant: its memory, and the cost to acquire and release.

    >>> tenants(4)["tenants"]
    4
    """
    admission = AdmissionController(Capacity(10 * count), {f"t{i}": 0.1 / count for i in range(count)})
    for i in range(count):
        admission.acquire(timedelta(0), i, f"t{i}", 0, Demand(300), timedelta(seconds=30))

    def acquire_and_release():
        admission.acquire(timedelta(0), -1, "t0", 0, Demand(300), timedelta(seconds=30))
        admission.release(timedelta(0), -1)

    return {
        "tenants": count,
        "gateBytes": memory(
            lambda: AdmissionController(Capacity(10 * count), {f"t{i}": 0.1 / count for i in range(count)})
        ),
        "enterLeaveUs": timed(acquire_and_release),
    }


MEASUREMENTS = {
    "runners": (runners, (100, 300, 1000, 3000, 10000)),
    "routes": (routes, (10, 100, 300, 1000, 3000)),
    "members": (members, (25, 100, 400, 1600)),
    "prefixes": (prefixes, (1000, 10000, 63000)),
    "tenants": (tenants, (10, 100, 1000, 3000)),
}
