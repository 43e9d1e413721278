"""A router's front end on loopback, with a given configuration and fake runners, and a raw HTTP client."""

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


class NullDatagrams:
    """A fake datagram socket that sends nothing."""

    def send(self, to, record):
        pass


class RouterFixture:
    """A front end with fake runners, and a raw HTTP client (``send``)."""

    def __init__(self, runners=1, policy=POLICY, startup=STARTUP):
        self.runner_count, self.policy, self.settings = runners, policy, from_dict(startup).unwrap()

    async def __aenter__(self):
        self.runners = [await Runner(id=f"i-{i}").start() for i in range(self.runner_count)]
        self.state = self._make_node()
        self.front = Frontend(self.settings, self.state)
        await self.front.serve_clients(bind(Address("127.0.0.1", 0)))
        self.port = self.front.client_runner.addresses[0][1]
        return self

    def _make_node(self):
        """Returns a node that isn't started but can forward requests."""
        node = RouterNode(self.settings)
        node.started_at = monotonic() - timedelta(minutes=1)
        node.random = random.Random(1)
        own_peer = Peer("me:1", ROUTER, "z1", "", 1, 0, 0)
        node.swim = Swim(own_peer, (), SwimTiming.of(timedelta(seconds=3)), node.random)
        node.datagrams = NullDatagrams()
        node.configuration = build(self.policy)
        node.confirmed = True
        endpoints = [Endpoint(runner.id, "s", f"127.0.0.1:{runner.port}", "z1", 8, False, 0) for runner in self.runners]
        node.endpoint_list = EndpointList(endpoints, 1)
        node.backends = BackendTable().updated(endpoints, lambda service: 10000)
        node.prefixes_known.set()
        return node

    async def __aexit__(self, *exc):
        for runner in self.runners:
            await runner.stop()
        await self.front.on_stop()
        for backend in self.state.backends.by_id.values():
            if backend.client_session:
                await backend.client_session.close()

    async def send(self, path, body=b"hello", headers=(), method="POST", id="a1", left=2000, raw=None):
        """Sends a request on a new connection; returns the response, which is read until the connection closes."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        request_lines = [
            f"{method} {path} HTTP/1.1",
            "Host: h.example",
            f"X-Sparloom-Attempt-Id: {id}",
            f"X-Sparloom-Deadline-Remaining: {left}",
            f"Content-Length: {len(body)}",
            "Connection: close",
            *headers,
        ]
        writer.write(raw if raw is not None else ("\r\n".join(request_lines) + "\r\n\r\n").encode() + body)
        response = await reader.read(-1)
        writer.close()
        return Answer(response)


class Answer:
    """A raw HTTP response, parsed without a library."""

    def __init__(self, raw):
        head, _, self.rest = raw.partition(b"\r\n\r\n")
        header_lines = head.decode("latin-1").split("\r\n")
        self.raw = raw
        self.status = int(header_lines[0].split()[1]) if raw else 0
        self.headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in header_lines[1:])}

    @property
    def is_complete(self):
        """Whether the response is complete, by its content length or its last chunk."""
        if "content-length" in self.headers:
            return len(self.rest) == int(self.headers["content-length"])
        return self.rest.endswith(b"0\r\n\r\n")

    @property
    def body(self):
        """The body without chunk framing."""
        if "content-length" in self.headers:
            return self.rest
        decoded, rest = b"", self.rest
        while rest:
            size_line, _, rest = rest.partition(b"\r\n")
            size = int(size_line, 16)
            if not size:
                break
            decoded, rest = decoded + rest[:size], rest[size + 2 :]
        return decoded
