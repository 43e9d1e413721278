"""The HTTP servers of a router: one for clients' requests, one for the platform's readiness checks."""

from __future__ import annotations

import asyncio
from datetime import timedelta
from typing import TYPE_CHECKING, Any

from absl import logging
from aiohttp import web
from mode import Service

from sparloom.admission import process_budget
from sparloom.configuration import RequestLimits
from sparloom.feed import CONFIGURATION, ENDPOINTS
from sparloom.settings import JOB_DEPLOYMENT, MODEL_DEPLOYMENT, SettingsError
from sparloom.transport import bind, monotonic
from sparloom.transport.http_server import DEFAULT_HEAD_BYTES, BoundedServer

from .client_connections import MINIMUM_IDLE_TIMEOUT, ClientServer
from .forwarding import RequestForwarder
from .graceful_shutdown import GracefulShutdown
from .headers import AUTHORIZATION, AUTHORIZATION_SCHEME, time_remaining
from .outcomes import Outcome, Outcomes
from .refusal import UNAVAILABLE, closing_response
from .request import RequestBody, RequestBodyError, parse_request

if TYPE_CHECKING:
    import socket

    from sparloom.configuration import Route
    from sparloom.settings import Address, Settings

    from .access import Access
    from .job_requests import JobRequests
    from .router_node import RouterNode

# Fractions of the sockets that each listener may use; the rest is for runners and other nodes.
CLIENT_CONNECTION_FRACTION = 0.4
READINESS_CONNECTION_FRACTION = 0.05
IDLE_SWEEP_INTERVAL = timedelta(seconds=1)
DRAIN_POLL_INTERVAL = timedelta(milliseconds=25)
SERVER_SHUTDOWN_TIMEOUT_S = 0.1
# Retry-After value of a router that has no configuration yet, or whose configuration may be outdated.
RETRY_AFTER_UNCONFIGURED_S = "0.2"
# Retry-After value of a router with an unknown deployment kind in its settings.
RETRY_AFTER_UNKNOWN_DEPLOYMENT_S = "1"
READY_PATH = "/-/ready"
BELIEFS_PATH = "/-/beliefs"
NOT_FOUND = 404
UNAUTHORIZED = 401
HEADERS_TOO_LARGE = 431
# Size of a header line beyond its name and value: ": " and CRLF.
HEADER_LINE_OVERHEAD_BYTES = 4
# Names of the SWIM states, indexed by their number.
PEER_STATES = ("alive", "suspect", "dead")


def _require_address(address: Address | None, name: str) -> Address:
    """Return a listen address that this program requires.

    Raises
    ------
    SettingsError: the address is missing from the settings.
    """
    if address is None:
        raise SettingsError(f"listenAddresses.{name} is missing")
    return address


class Frontend(Service):
    """Accepts clients' requests and responds to them.

    Attributes
    ----------
    settings: the current settings; replaced as a whole when the file is reloaded.
    graceful_shutdown: the schedule of the graceful shutdown; None until one has begun.
    forwarders: the requests in progress.
    outcomes: counts of the outcomes of requests.
    jobs: handles requests of the job API; None on other deployments.
    client_server, client_runner: the server for clients and its aiohttp runner; set once clients are served.
    """

    client_server: ClientServer
    client_runner: web.ServerRunner

    def __init__(self, settings: Settings, node: RouterNode) -> None:
        super().__init__()
        self.settings = settings
        self.node = node
        self.graceful_shutdown: GracefulShutdown | None = None
        self.forwarders: set[RequestForwarder] = set()
        self.outcomes = Outcomes()
        self.jobs = self._create_job_requests(settings, node)
        self._server_runners: list[web.ServerRunner] = []

    @staticmethod
    def _create_job_requests(settings: Settings, node: RouterNode) -> JobRequests | None:
        if settings.deployment == MODEL_DEPLOYMENT:
            return None
        if settings.deployment != JOB_DEPLOYMENT:
            logging.warning("frontend: refusing all requests, unknown deployment=%r", settings.deployment)
            return None
        # Imported here to save startup time and memory on other deployments.
        from .job_channel import JobChannel
        from .job_requests import JobRequests

        return JobRequests(node.router_state, JobChannel(node.router_state, node.membership))

    @property
    def stopping(self) -> bool:
        """Whether a graceful shutdown has begun."""
        return self.graceful_shutdown is not None

    # -- listening ----------------------------------------------------------------
    async def on_start(self) -> None:
        """Listen on both addresses."""
        readiness = BoundedServer(
            self._handle_platform_request, self.settings.limits.connections(READINESS_CONNECTION_FRACTION)
        )
        await self.serve(readiness, bind(_require_address(self.settings.listen.readiness, "readiness")))
        await self.serve_clients(bind(_require_address(self.settings.listen.front, "front")))

    async def serve_clients(self, listen_socket: socket.socket) -> None:
        """Serve clients on a listening socket."""
        self.client_runner = await self.serve(self.create_client_server(), listen_socket)

    def create_client_server(self) -> ClientServer:
        """Create the server for clients."""
        maximum_connections = self.settings.limits.connections(CLIENT_CONNECTION_FRACTION)
        self.client_server = ClientServer(
            self._handle, maximum_connections, self.idle_timeout, self._maximum_head_bytes
        )
        return self.client_server

    async def serve(self, server: web.Server, listen_socket: socket.socket) -> web.ServerRunner:
        """Serve on a listening socket until this service stops."""
        runner = web.ServerRunner(server, shutdown_timeout=SERVER_SHUTDOWN_TIMEOUT_S)
        await runner.setup()
        await web.SockSite(runner, listen_socket).start()
        self._server_runners.append(runner)
        return runner

    async def on_stop(self) -> None:
        """Close all listening sockets and connections."""
        if self.jobs is not None:
            self.jobs.close()
        for runner in self._server_runners:
            await runner.cleanup()

    def _maximum_head_bytes(self) -> int:
        configuration = self.node.configuration
        return DEFAULT_HEAD_BYTES if configuration is None else configuration.limits.maximum_header_bytes

    def idle_timeout(self) -> timedelta:
        """Return how long a client's connection may be idle: the configured time, but at least the minimum."""
        configuration = self.node.configuration
        if configuration is None:
            return MINIMUM_IDLE_TIMEOUT
        configured: timedelta = configuration.limits.idle_timeout
        return max(MINIMUM_IDLE_TIMEOUT, configured)

    @Service.task
    async def _close_expired_connections(self) -> None:
        while not self.should_stop:
            await asyncio.sleep(IDLE_SWEEP_INTERVAL.total_seconds())
            self.client_server.close_expired()

    @property
    def _out_of_service(self) -> bool:
        """Whether clients should use other routers: this one is shutting down or cut off from the fleet."""
        return self.stopping or self.node.serviceability.partitioned

    # -- the platform -------------------------------------------------------------
    async def _handle_platform_request(self, http_request: web.BaseRequest) -> web.Response:
        if http_request.path == BELIEFS_PATH:
            return web.json_response(self.beliefs())
        if http_request.path != READY_PATH:
            return web.Response(status=NOT_FOUND)
        ready = self.node.ready() and not self._out_of_service
        return web.Response(status=200 if ready else UNAVAILABLE)

    def beliefs(self) -> dict[str, Any]:
        """Return this router's view of the fleet, for comparison with the other nodes."""
        return collect_beliefs(self.settings, self.node, self.outcomes)

    # -- requests -----------------------------------------------------------------
    async def _handle(self, http_request: web.BaseRequest) -> web.StreamResponse:
        response = await self._respond(http_request)
        if self._out_of_service and not response.prepared:
            response.force_close()
        return response

    async def _respond(self, http_request: web.BaseRequest) -> web.StreamResponse:
        """Read a request, match it to a route, authorize it and forward it."""
        received_at = monotonic()
        if self.settings.deployment not in (MODEL_DEPLOYMENT, JOB_DEPLOYMENT):
            # Requests of an unknown deployment kind may be ones that must not be forwarded. Nothing has run, so that
            # 503 is valid.
            return web.Response(status=UNAVAILABLE, headers={"Retry-After": RETRY_AFTER_UNKNOWN_DEPLOYMENT_S})
        with RequestBody(http_request) as body:
            try:
                return await self._respond_to(http_request, body, received_at)
            except RequestBodyError as error:
                return closing_response(error.status)

    async def _respond_to(
        self, http_request: web.BaseRequest, request_body: RequestBody, received_at: timedelta
    ) -> web.StreamResponse:
        state = self.node.router_state
        request_body.reserve(state.configuration.limits if state.configuration else RequestLimits())
        await self.node.wait_for_prefixes(time_remaining(http_request.headers, self.settings.bounds.contact))
        if state.configuration is None:
            return web.Response(status=UNAVAILABLE, headers={"Retry-After": RETRY_AFTER_UNCONFIGURED_S})
        limits = state.configuration.limits
        if _headers_size_bytes(http_request) > limits.maximum_header_bytes:
            return web.Response(status=HEADERS_TOO_LARGE)
        body = await request_body.read(limits)
        # The configuration may have changed while the body was read.
        path = http_request.raw_path.partition("?")[0]
        route = state.configuration.match(http_request.headers.get("Host", ""), path)
        if route is None:
            return web.Response(status=NOT_FOUND)
        access = self._authorize(route, http_request)
        if isinstance(access, web.Response):
            return access
        if self.jobs is not None:
            return await self.jobs.answer(http_request, body, route)
        member, isolation = self.node.queues.member(route), self.settings.isolation
        request = parse_request(http_request, body, route, received_at, member, isolation, access)
        services = self.node.forwarding_services()
        return await self._forward(RequestForwarder(services, http_request, request, lambda: self.stopping))

    def _authorize(self, route: Route, http_request: web.BaseRequest) -> Access | web.Response | None:
        """Return the access granted to a request, None if no tenants are configured, or the response that denies it."""
        state = self.node.router_state
        if state.configuration is None or state.configuration.tenants is None:
            return None
        # Imported here to save startup time and memory on routers without tenants.
        from .access import Denial, authorize

        access = authorize(state, route, http_request.headers.get(AUTHORIZATION), monotonic())
        if access is Denial.UNKNOWN_KEY:
            return web.Response(status=UNAUTHORIZED, headers={"WWW-Authenticate": AUTHORIZATION_SCHEME})
        if access is Denial.UNCONFIRMED:
            return web.Response(status=UNAVAILABLE, headers={"Retry-After": RETRY_AFTER_UNCONFIGURED_S})
        return access

    async def _forward(self, forwarder: RequestForwarder) -> web.StreamResponse:
        """Forward a request, or refuse it if this router may stop before the request ends."""
        self.forwarders.add(forwarder)
        try:
            if self.graceful_shutdown and not self.graceful_shutdown.admits(monotonic(), forwarder.request.deadline):
                return forwarder.refuse()
            return await forwarder.forward()
        finally:
            self.forwarders.discard(forwarder)
            self._record_outcome(forwarder)

    def _record_outcome(self, forwarder: RequestForwarder) -> None:
        self.outcomes.add(forwarder.outcome)
        if forwarder.outcome is Outcome.NO_RESPONSE:
            logging.warning("frontend: request ended without a response id=%s", forwarder.request.attempt_id)

    # -- graceful shutdown --------------------------------------------------------
    async def drain(self) -> None:
        """Shut down gracefully.

        The router is unready at once. Later it stops accepting connections, closes each one as it becomes idle, and
        aborts the remaining requests near the end of the grace period.
        """
        self.graceful_shutdown = shutdown = GracefulShutdown.starting_at(monotonic(), self.settings.bounds.grace)
        logging.info("frontend: draining in_flight=%d", len(self.forwarders))
        await asyncio.sleep((shutdown.accepts_until - monotonic()).total_seconds())
        await self._stop_listening()
        await self._drain_connections(shutdown.aborts_at)
        if self.forwarders:
            logging.warning("frontend: aborting requests=%d", len(self.forwarders))
        for forwarder in list(self.forwarders):
            forwarder.expire()
        await self._drain_connections(shutdown.ends_at)
        logging.info(
            "frontend: drained connections=%d in_flight=%d outcomes=%s",
            len(self.client_server.connections),
            len(self.forwarders),
            self.outcomes.figures(),
        )

    async def _stop_listening(self) -> None:
        """Stop accepting clients' connections; readiness checks are still answered."""
        for site in list(self.client_runner.sites):
            await site.stop()

    async def _drain_connections(self, deadline: timedelta) -> None:
        """Close connections as they become idle, until none is left or the deadline has passed.

        The library's list of connections may lack one whose request is still
        in flight, so the forwarders are checked as well.
        """
        while monotonic() < deadline:
            self.client_server.close_all_idle()
            await asyncio.sleep(DRAIN_POLL_INTERVAL.total_seconds())
            if not self.client_server.connections and not self.forwarders:
                return


def _headers_size_bytes(http_request: web.BaseRequest) -> int:
    """Return the size of the headers on the wire, in bytes."""
    return sum(len(name) + len(value) + HEADER_LINE_OVERHEAD_BYTES for name, value in http_request.raw_headers)


def _zone_status(node: RouterNode, now: timedelta) -> dict[str, Any]:
    """Return the state of each zone, from the endpoint list and from this router's own requests."""
    from sparloom.discovery.zones import zone_counts

    evacuated = node.configuration.evacuated_zones if node.configuration else ()
    runners = node.endpoint_list.runners if node.endpoint_list else ()
    zones = zone_counts(runners, evacuated)
    for zone, belief in node.zones.unreachable.items():
        if zone in zones:
            age_ms = int((now - belief.since) / timedelta(milliseconds=1))
            zones[zone] |= {"unreachableMs": age_ms, "silentRunners": belief.unresponsive_runners}
    return zones


def collect_beliefs(settings: Settings, node: RouterNode, outcomes: Outcomes) -> dict[str, Any]:
    """Return a router's view of the fleet under the names of the protocol."""
    # Imported here because this is rarely requested, to keep startup fast.
    from sparloom.metrics.reporter import process_figures

    now = monotonic()
    backends = node.backends.by_id
    peers = (entry.peer for entry in node.swim.table.values())
    configuration, isolation = node.configuration, settings.isolation
    return {
        "node": settings.node,
        "role": "router",
        "key": node.key,
        "policy": list(node.feed_store.version(CONFIGURATION)),
        "runners": list(node.feed_store.version(ENDPOINTS)),
        "revision": configuration.revision if configuration else 0,
        "evacuated": sorted(configuration.evacuated_zones) if configuration else [],
        "zones": _zone_status(node, now),
        "members": {peer.key: PEER_STATES[peer.state] for peer in peers},
        "fleet": {backend.id: "draining" if backend.draining else "ready" for backend in backends.values()},
        "counts": {backend_id: node.in_flight.count(backend_id, now) for backend_id in backends},
        "ready": node.ready(),
        "cutOff": node.serviceability.partitioned,
        "shares": {
            f"{service} {member}": figures
            for service, members in node.queues.statistics().items()
            for member, figures in members.items()
        },
        "divisor": node.fleet_size.divisor,
        "relays": dict.fromkeys(node.relay_tier.relays, "relay"),
        "tier": node.relay_server.status(),
        "requests": outcomes.figures(),
        "isolation": isolation.fingerprints() if isolation else [],
        "runnersBeforeIsolation": node.backends_before_isolation(),
        "heldBytes": process_budget().figures(),
        "meter": process_figures(),
    }
