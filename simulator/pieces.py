"""What single pieces of state cost: bytes, microseconds and memory at rising sizes, measured on the real libraries."""

import json
import random
import time
import tracemalloc
import zlib
from datetime import timedelta

from sparloom.admission import AdmissionController, Capacity, Demand
from sparloom.codec import pack, unpack
from sparloom.configuration import build, check
from sparloom.controller.control_state import State
from sparloom.discovery import EndpointList, read_page
from sparloom.dynamic_timeout import InFlightCounts, InFlightReport, InFlightUpdate
from sparloom.load_balancing import CachedPrefixes, Candidate, choose, rendezvous_weight
from sparloom.membership import ROUTER, Peer, Swim, SwimTiming
from sparloom.router.backends import BackendTable

from .fleet import entries, policy

CONTACT = timedelta(seconds=4)


def timed(fn, least=0.05):
    """The microseconds of a call: the best of three rounds of processor time.

    >>> timed(lambda: None, 0.001) < 1000
    True
    """
    best = None
    for _ in range(3):
        n, begun = 0, time.process_time()
        while (took := time.process_time() - begun) < least:
            fn()
            n += 1
        best = took / n if best is None else min(best, took / n)
    return round(best * 1e6, 2)


def memory(make):
    """The bytes that what a call gives holds, as told by tracemalloc.

    >>> memory(lambda: bytes(10000)) > 9999
    True
    """
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = make()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return after - before if kept is not None else 0


def runners(n):
    """A list of n runners: its bytes, and what a router pays to take it and to choose from it.

    >>> runners(10)["runners"]
    10
    """
    listed = EndpointList(read_page({"instances": entries(n), "nextPageToken": None}).unwrap()[0], 25)
    blob = zlib.compress(pack(listed), 1)
    fleet = BackendTable().updated(listed.runners, lambda s: 378959)
    luck, stands = random.Random(1), [Candidate(r.id, 300, 0, 3, 16) for r in listed.runners]
    held = [InFlightReport(luck.getrandbits(64), 3, 2000, 0, 0, 0, 0) for _ in range(min(n, 2900))]
    counts = InFlightCounts(CONTACT)
    counts.on_update(
        InFlightUpdate("p:1", 1, 1, 1, held, []), timedelta(0), {h.resource: i for i, h in enumerate(held)}
    )
    return {
        "runners": n,
        "listBytes": len(pack(listed)),
        "listCompressed": len(blob),
        "takeUs": timed(lambda: unpack(zlib.decompress(blob))),
        "renewUs": timed(lambda: fleet.updated(listed.runners, lambda s: 378959)),
        "fleetBytes": memory(lambda: BackendTable().updated(listed.runners, lambda s: 378959)),
        "chooseUs": timed(lambda: choose(stands)),
        "homeUs": timed(lambda: max(rendezvous_weight(7, p.number) for p in fleet.by_id.values())),
        "countUs": timed(lambda: [counts.count(i, timedelta(0)) for i in range(len(held))]),
    }


def routes(n):
    """A configuration of n routes: its bytes in the feed and on the disk, and the cost to check and to take it.

    >>> routes(10)["routes"]
    10
    """
    d = policy(1, n)
    blob = zlib.compress(json.dumps(d, separators=(",", ":")).encode(), 1)
    hit = build(d)
    return {
        "routes": n,
        "jsonBytes": len(json.dumps(d)),
        "feedCompressed": len(blob),
        "stateBytes": len(State(d).pack()),
        "checkUs": timed(lambda: check(d)),
        "takeUs": timed(lambda: build(json.loads(zlib.decompress(blob)))),
        "policyBytes": memory(lambda: build(d)),
        "matchUs": timed(lambda: hit.match(f"tenant-{(n - 1) // 4}.example", f"/p{n - 1}/x")),
        "packUs": timed(lambda: State(d).pack()),
    }


def members(n):
    """A membership table of n: memory, and the cost of a tick and of all that are up.

    >>> members(10)["members"]
    10
    """

    def make():
        s = Swim(Peer("127.2.0.1:7301", ROUTER, "zone-1", "", 1, 0, 0), (), SwimTiming.of(CONTACT), random.Random(1))
        for i in range(1, n):
            s._merge(Peer(f"127.2.{i // 250}.{i % 250 + 1}:7301", ROUTER, f"zone-{i % 5}", "", i, 0, 0))
        return s

    s, now = make(), [timedelta(seconds=1)]

    def tick():
        now[0] += CONTACT / 6
        s.probes.clear()
        return s.tick(now[0])

    one = tick()
    return {
        "members": n,
        "tableBytes": memory(make),
        "probeBytes": max((len(pack(m.record)) for m in one), default=0),
        "aliveUs": timed(lambda: s.alive()),
        "probeUs": timed(tick),
    }


def prefixes(n):
    """n kept parts of prompts, and their memory; a home among 1,000 runners.

    >>> prefixes(10)["prefixes"]
    10
    """
    luck = random.Random(1)

    def make():
        k = CachedPrefixes(1 << 60)
        k.add([(luck.getrandbits(64), 2000) for _ in range(n)])
        return k

    return {"prefixes": n, "keptBytes": memory(make)}


def tenants(n):
    """A gate with n members in line: the cost to enter and leave.

    >>> tenants(4)["tenants"]
    4
    """
    g = AdmissionController(Capacity(10 * n), {f"t{i}": 0.1 / n for i in range(n)})
    for i in range(n):
        g.acquire(timedelta(0), i, f"t{i}", 0, Demand(300), timedelta(seconds=30))

    def pass_one():
        g.acquire(timedelta(0), -1, "t0", 0, Demand(300), timedelta(seconds=30))
        g.release(timedelta(0), -1)

    return {
        "tenants": n,
        "gateBytes": memory(lambda: AdmissionController(Capacity(10 * n), {f"t{i}": 0.1 / n for i in range(n)})),
        "enterLeaveUs": timed(pass_one),
    }


ALL = {
    "runners": (runners, (100, 300, 1000, 3000, 10000)),
    "routes": (routes, (10, 100, 300, 1000, 3000)),
    "members": (members, (25, 100, 400, 1600)),
    "prefixes": (prefixes, (1000, 10000, 63000)),
    "tenants": (tenants, (10, 100, 1000, 3000)),
}
