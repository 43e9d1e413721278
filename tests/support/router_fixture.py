"""A router's front on loopback, with a configuration and runners given by hand."""

import asyncio
import random
from datetime import timedelta

from fakes.runner import Runner
from sparloom.configuration import build
from sparloom.discovery import Endpoint, EndpointList
from sparloom.membership import ROUTER, Peer, Swim, SwimTiming
from sparloom.router.backends import BackendTable
from sparloom.router.frontend import Frontend
from sparloom.router.router_node import RouterNode
from sparloom.settings import Address, from_dict
from sparloom.transport import bind, monotonic

STARTUP = {
    "nodeName": "front-1",
    "role": "router",
    "ipAddress": "127.0.0.1",
    "zone": "z1",
    "internalPortRange": [7300, 7315],
    "seedNodes": [],
    "listenAddresses": {"front": "127.0.0.1:1", "readiness": "127.0.0.1:2"},
    "bounds": {"retryBudgetRatio": 1.0, "retryBudgetSlack": 100000},
}


def route(name, prefix, **options):
    defaults = {
        "name": name,
        "hostname": "h.example",
        "pathPrefix": prefix,
        "routeKind": "streaming",
        "timeoutMs": 3000,
        "targetMs": 400,
        "priority": 0,
        "service": "s",
        "maxAttempts": 2,
        "resumeStreams": False,
        "gapTargetMs": 200,
    }
    return {**defaults, **options}


POLICY = {
    "revision": 1,
    "routes": [
        route("once", "/once/"),
        route("resume", "/resume/", resumeStreams=True),
        route("safe", "/safe/", routeKind="safe"),
        route("unsafe", "/unsafe/", routeKind="unsafe"),
        route("single", "/single/", maxAttempts=1),
        route("quick", "/quick/", resumeStreams=True, targetMs=50),
        route("brief", "/brief/", timeoutMs=150),
    ],
    "services": [{"name": "s", "connectionLimit": 64, "engine": {"slots": 8, "cacheTokens": 10000}}],
    "limits": {"maxHeaderBytes": 4096, "maxBodyBytes": 10000},
}


class NoDatagrams:
    """Stands for the datagram socket; sends nothing."""

    def send(self, to, rec):
        pass


class Rig:
    """The front, some stand-in runners, and a raw client."""

    def __init__(self, runners=1, policy=POLICY, startup=STARTUP):
        self.runner_count, self.policy, self.up = runners, policy, from_dict(startup).unwrap()

    async def __aenter__(self):
        self.runners = [await Runner(id=f"i-{i}").start() for i in range(self.runner_count)]
        self.state = self._make_node()
        self.front = Frontend(self.up, self.state)
        await self.front.serve_clients(bind(Address("127.0.0.1", 0)))
        self.port = self.front.client_runner.addresses[0][1]
        return self

    def _make_node(self):
        """A node that isn't started: it has all that it needs to forward requests."""
        node = RouterNode(self.up)
        node.started_at = monotonic() - timedelta(minutes=1)
        node.random = random.Random(1)
        me = Peer("me:1", ROUTER, "z1", "", 1, 0, 0)
        node.swim = Swim(me, (), SwimTiming.of(timedelta(seconds=3)), node.random)
        node.datagrams = NoDatagrams()
        node.configuration = build(self.policy)
        node.confirmed = True
        endpoints = [Endpoint(runner.id, "s", f"127.0.0.1:{runner.port}", "z1", 8, False, 0) for runner in self.runners]
        node.endpoint_list = EndpointList(endpoints, 1)
        node.backends = BackendTable().renew(endpoints, lambda service: 10000)
        node.prefixes_known.set()
        return node

    async def __aexit__(self, *exc):
        for runner in self.runners:
            await runner.stop()
        await self.front.on_stop()
        for backend in self.state.backends.by_id.values():
            if backend.client_session:
                await backend.client_session.close()

    async def send(self, path, body=b"hello", heads=(), method="POST", id="a1", left=2000, raw=None):
        """Sends one request on a connection of its own; gives the answer up to its close."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        lines = [
            f"{method} {path} HTTP/1.1",
            "Host: h.example",
            f"X-Sparloom-Attempt-Id: {id}",
            f"X-Sparloom-Deadline-Remaining: {left}",
            f"Content-Length: {len(body)}",
            "Connection: close",
            *heads,
        ]
        writer.write(raw if raw is not None else ("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        got = await reader.read(-1)
        writer.close()
        return Answer(got)


class Answer:
    """A raw answer, taken apart by hand."""

    def __init__(self, raw):
        head, _, self.rest = raw.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        self.raw = raw
        self.status = int(lines[0].split()[1]) if raw else 0
        self.heads = {k.lower(): v for k, _, v in (ln.partition(": ") for ln in lines[1:])}

    @property
    def whole(self):
        """Whether the answer looks complete."""
        if "content-length" in self.heads:
            return len(self.rest) == int(self.heads["content-length"])
        return self.rest.endswith(b"0\r\n\r\n")

    @property
    def body(self):
        """The body, chunks undone."""
        if "content-length" in self.heads:
            return self.rest
        out, rest = b"", self.rest
        while rest:
            size, _, rest = rest.partition(b"\r\n")
            n = int(size, 16)
            if not n:
                break
            out, rest = out + rest[:n], rest[n + 2 :]
        return out
