"""The operators' HTTP API: the configuration, evacuations, roll-outs, and the controller's beliefs.

Every controller serves its beliefs (its local view of the cluster) and answers
400, 408 and 413 to invalid requests. Only the primary answers what depends on
the control state: it acknowledges a change with 200 once every replica has it
on disk, and it answers reads and rejections from state that a majority
confirmed after the request arrived. All other answers are 503 or a redirect.
``configuration_writer`` decides the outcome of a change.
"""

from __future__ import annotations

from datetime import timedelta
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from absl import logging
from aiohttp import web
from attrs import define, field
from mode import Service
from returns.pipeline import is_successful

from sparloom.admission import process_budget
from sparloom.discovery.zones import services_without_runners, zone_counts
from sparloom.feed import CONFIGURATION, ENDPOINTS
from sparloom.metrics.reporter import process_figures
from sparloom.settings import SettingsError
from sparloom.transport import bind
from sparloom.transport.http_server import BoundedServer

from .change_requests import parse_change_request
from .configuration_writer import (
    Acknowledged,
    ConfigurationWriter,
    Conflict,
    Deadline,
    Invalid,
    NotConfirmed,
    OutcomeUnknown,
    Stale,
    UnknownName,
)
from .control_state import json_text
from .evacuation_orders import EvacuationOrder, zone_fault
from .offload import LARGE_BYTES, is_large, run_offloaded
from .operator_body import OperatorBody, OperatorBodyError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Mapping

    from sparloom.consensus import Data
    from sparloom.settings import Settings

    from .configuration_writer import ChangeOutcome
    from .consensus_service import ConsensusService
    from .feed_server import FeedServer

    Handler = Callable[[web.BaseRequest], Awaitable[web.Response]]

CONFIGURATION_PATH = "/-/configuration"
BELIEFS_PATH = "/-/beliefs"
EVACUATIONS_PATH = "/-/evacuation"
EVACUATION_PREFIX = EVACUATIONS_PATH + "/"
# The fraction of the sockets that connections to the control address may use.
CONTROL_CONNECTION_FRACTION = 0.3
RETRY_AFTER = {"Retry-After": "0.2"}
MEMBER_STATES = ("alive", "suspect", "dead")
# Clients are redirected only to a primary that was confirmed within the contact bound divided by this number.
REDIRECT_AGES_PER_CONTACT_BOUND = 3


# -- responses ------------------------------------------------------------------
def reply(status: int, body: Any, **headers: str) -> web.Response:
    """A JSON response.

    >>> reply(200, {"a": 1}).body
    b'{"a":1}'
    """
    return web.Response(
        status=status,
        body=json_text(body).encode(),
        content_type="application/json",
        headers=headers,
    )


def error(status: int, text: str, **headers: str) -> web.Response:
    """A JSON response with an error message.

    >>> error(400, "no").body
    b'{"error":"no"}'
    """
    return reply(status, {"error": text}, **headers)


def outcome_unknown() -> web.Response:
    """The response to a change that may be committed now or later; the client should retry it.

    >>> outcome_unknown().status
    503
    """
    return error(HTTPStatus.SERVICE_UNAVAILABLE, "the outcome is not known; send it again", **RETRY_AFTER)


def acknowledged(revision: int, warning: str = "") -> web.Response:
    """The response that acknowledges a change, with an optional warning about an unintended effect.

    >>> acknowledged(7).body, acknowledged(7, "look").body
    (b'{"revision":7}', b'{"revision":7,"warning":"look"}')
    """
    body: dict[str, Any] = {"revision": revision}
    return reply(HTTPStatus.OK, {**body, "warning": warning} if warning else body)


# -- requests -------------------------------------------------------------------
def client_disconnected(request: web.BaseRequest) -> bool:
    """Whether the client has closed its connection."""
    return request.transport is None or request.transport.is_closing()


@define(frozen=True, slots=True)
class RoutingTable:
    """The request handlers, by path and method.

    Attributes
    ----------
    paths : dict
        The handlers of exact paths.
    prefixes : dict
        The handlers of path prefixes.
    """

    paths: Mapping[str, Mapping[str, Handler]]
    prefixes: Mapping[str, Mapping[str, Handler]] = field(factory=dict)

    def find(self, method: str, path: str) -> Handler | int:
        """The handler of a request, or the error status if there is none.

        >>> RoutingTable({"/a": {"GET": print}}).find("GET", "/a") is print
        True
        >>> int(RoutingTable({"/a": {}}).find("GET", "/a")), int(RoutingTable({}).find("GET", "/a"))
        (405, 404)
        >>> RoutingTable({}, {"/a/": {"GET": print}}).find("GET", "/a/b") is print
        True
        """
        methods = self.paths.get(path)
        if methods is None:
            methods = next((handlers for prefix, handlers in self.prefixes.items() if path.startswith(prefix)), None)
        if methods is None:
            return HTTPStatus.NOT_FOUND
        return methods.get(method, HTTPStatus.METHOD_NOT_ALLOWED)

    def extended(
        self, paths: Mapping[str, Mapping[str, Handler]], prefixes: Mapping[str, Mapping[str, Handler]]
    ) -> RoutingTable:
        """The table with additional paths and prefixes.

        >>> RoutingTable({}).extended({"/a": {"GET": print}}, {}).find("GET", "/a") is print
        True
        """
        return RoutingTable({**self.paths, **paths}, {**self.prefixes, **prefixes})


class ControlApi(Service):
    """The server of the control address.

    Attributes
    ----------
    writer : ConfigurationWriter
        Reads and changes the configuration.
    routes : RoutingTable
        The request handlers.
    """

    def __init__(self, settings: Settings, consensus: ConsensusService, feed_server: FeedServer) -> None:
        super().__init__()
        self.settings, self.consensus, self.feed_server = settings, consensus, feed_server
        self.writer = ConfigurationWriter(consensus, feed_server, self._write_timeout)
        self.routes = RoutingTable(
            {
                CONFIGURATION_PATH: {"PUT": self.change, "PATCH": self.change, "GET": self.get},
                BELIEFS_PATH: {"GET": self.beliefs},
                EVACUATIONS_PATH: {"GET": self.evacuations},
            },
            {EVACUATION_PREFIX: {"POST": self.evacuate, "DELETE": self.restore}},
        )
        self.runner: web.ServerRunner | None = None
        self._rollout_votes: Callable[[], dict[str, Any]] = dict

    def serve_rollouts(self, votes: Callable[[], dict[str, Any]]) -> None:
        """Adds the paths of roll-outs; ``votes`` returns the votes to include in the beliefs."""
        # Imported here to save startup time and memory on deployments without roll-outs.
        from .rollout_api import ROLLOUT_PREFIX, ROLLOUTS_PATH

        handlers, service_handlers = {"POST": self.roll_out}, {"GET": self.rollout}
        self.routes = self.routes.extended({ROLLOUTS_PATH: handlers}, {ROLLOUT_PREFIX: service_handlers})
        self._rollout_votes = votes

    def _write_timeout(self) -> timedelta:
        return self.settings.bounds.acknowledge

    async def on_start(self) -> None:
        """Serves the control address; raises OSError if it can't be bound."""
        address = self.settings.listen.control
        if address is None:
            raise SettingsError("listenAddresses.control is missing")
        # A waiting request is cancelled when its client disconnects; a write in flight is not.
        server = BoundedServer(self._handle, self.settings.limits.connections(CONTROL_CONNECTION_FRACTION))
        self.runner = web.ServerRunner(server)
        await self.runner.setup()
        await web.SockSite(self.runner, bind(address)).start()

    async def on_stop(self) -> None:
        """Closes the control address; the consensus completes a write in flight."""
        self.writer.cancel()
        if self.runner is not None:
            await self.runner.cleanup()

    def on_committed(self, data: Data) -> None:
        """Passes data committed by the consensus to the writer."""
        self.writer.on_committed(data)

    def router_count(self) -> int:
        """The number of routers that share the endpoints."""
        return self.writer.router_count()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        handler = self.routes.find(request.method, request.path)
        if isinstance(handler, int):
            return error(handler, "no such call")
        return await handler(request)

    def redirect(self, path: str = CONFIGURATION_PATH) -> web.Response:
        """Redirects a request to the primary if it was confirmed recently; otherwise the response is 503."""
        member = self.consensus.member
        primary = member.primary()
        if primary is None or primary.id == member.member.id or member.leading() or not primary.control:
            return error(HTTPStatus.SERVICE_UNAVAILABLE, "no primary is known", **RETRY_AFTER)
        age = timedelta(milliseconds=self.feed_server.confirmation_age_ms())
        if age > self.settings.bounds.contact / REDIRECT_AGES_PER_CONTACT_BOUND:
            return error(HTTPStatus.SERVICE_UNAVAILABLE, "the primary has not been heard of lately", **RETRY_AFTER)
        location = f"http://{primary.control}{path}"
        return error(HTTPStatus.TEMPORARY_REDIRECT, "the primary serves this", Location=location)

    # -- the configuration ------------------------------------------------------
    async def get(self, request: web.BaseRequest) -> web.Response:
        """Handles GET: returns the newest configuration."""
        snapshot = await self.writer.read_confirmed(Deadline.after_body(0))
        if snapshot is None:
            return self.redirect()
        configuration = snapshot.state.configuration
        if not snapshot.state.revision:
            return error(HTTPStatus.NOT_FOUND, "no configuration is committed yet")
        return await run_offloaded(is_large(configuration), reply, HTTPStatus.OK, configuration)

    async def change(self, request: web.BaseRequest) -> web.Response:
        """Handles PUT and PATCH: changes the configuration."""
        with OperatorBody(request) as operator_body:
            try:
                body = await operator_body.read_document()
            except OperatorBodyError as failure:
                return self._unread(failure)
            return await self._change(request, operator_body, body)

    @staticmethod
    def _unread(failure: OperatorBodyError) -> web.Response:
        """The response to a request whose body was not read completely."""
        headers = RETRY_AFTER if failure.status == HTTPStatus.SERVICE_UNAVAILABLE else {}
        response = error(failure.status, str(failure), **headers)
        response.force_close()
        return response

    async def _change(self, request: web.BaseRequest, operator_body: OperatorBody, body: bytes) -> web.Response:
        deadline = Deadline.after_body(len(body))
        if_match = request.headers.get("If-Match", "")
        is_slow = len(body) > LARGE_BYTES
        parsed = await operator_body.offload(is_slow, parse_change_request, request.method, if_match, body)
        if not is_successful(parsed):
            return error(HTTPStatus.BAD_REQUEST, parsed.failure())
        outcome = await self.writer.change(parsed.unwrap(), deadline, lambda: not client_disconnected(request))
        return self._response_to(outcome)

    # -- evacuations --------------------------------------------------------------
    async def evacuations(self, request: web.BaseRequest) -> web.Response:
        """Handles GET: lists the evacuated zones."""
        snapshot = await self.writer.read_confirmed(Deadline.after_body(0))
        if snapshot is None:
            return self.redirect(EVACUATIONS_PATH)
        return reply(HTTPStatus.OK, {"zones": sorted(snapshot.state.evacuated)})

    async def evacuate(self, request: web.BaseRequest) -> web.Response:
        """Handles POST: evacuates a zone, so that its runners receive no more requests."""
        zone = request.path.removeprefix(EVACUATION_PREFIX)
        fault = zone_fault(zone, self.settings.zones)
        if fault is not None:
            return error(HTTPStatus.NOT_FOUND, fault)
        return await self._execute_order(request, EvacuationOrder(zone, evacuate=True), self._warning(zone))

    async def restore(self, request: web.BaseRequest) -> web.Response:
        """Handles DELETE: puts a zone back in service, even one that the startup file no longer lists."""
        zone = request.path.removeprefix(EVACUATION_PREFIX)
        fault = zone_fault(zone, ())
        if fault is not None:
            return error(HTTPStatus.NOT_FOUND, fault)
        return await self._execute_order(request, EvacuationOrder(zone, evacuate=False))

    def _warning(self, zone: str) -> str:
        """A warning that lists the services that an evacuation leaves without runners; empty if there are none.

        The evacuation is executed regardless, because the zone may have to be emptied even at the cost of a service.
        """
        endpoint_list = self.feed_server.state_of(ENDPOINTS)
        evacuated = {*(self.feed_server.evacuated_zones() or ()), zone}
        services = services_without_runners(endpoint_list.runners if endpoint_list else (), evacuated)
        if not services:
            return ""
        logging.warning(
            "control: evacuation leaves services without runners zone=%s services=%s", zone, ",".join(services)
        )
        return f"no runners left for {', '.join(services)}"

    async def _execute_order(self, request: web.BaseRequest, order: EvacuationOrder, warning: str = "") -> web.Response:
        outcome = await self.writer.change(order, Deadline.after_body(0), lambda: not client_disconnected(request))
        if warning and isinstance(outcome, Acknowledged):
            return acknowledged(outcome.revision, warning)
        return self._response_to(outcome, request.raw_path)

    # -- roll-outs ----------------------------------------------------------------
    async def roll_out(self, request: web.BaseRequest) -> web.Response:
        """Handles POST: starts a roll-out of another version of a service."""
        from .rollout_api import parse_order

        with OperatorBody(request) as operator_body:
            try:
                parsed = parse_order(await operator_body.read_document())
            except OperatorBodyError as failure:
                return self._unread(failure)
        if not is_successful(parsed):
            return error(HTTPStatus.BAD_REQUEST, parsed.failure())
        outcome = await self.writer.change(
            parsed.unwrap(), Deadline.after_body(0), lambda: not client_disconnected(request)
        )
        return self._response_to(outcome, request.raw_path)

    async def rollout(self, request: web.BaseRequest) -> web.Response:
        """Handles GET: describes the newest roll-out of a service."""
        from .rollout_api import NO_ROLLOUT, ROLLOUT_PREFIX, describe_rollout, newest_rollout

        snapshot = await self.writer.read_confirmed(Deadline.after_body(0))
        if snapshot is None:
            return self.redirect(request.raw_path)
        rollout = newest_rollout(snapshot.state, request.path.removeprefix(ROLLOUT_PREFIX))
        return error(*NO_ROLLOUT) if rollout is None else reply(HTTPStatus.OK, describe_rollout(rollout))

    def _response_to(self, outcome: ChangeOutcome, path: str = CONFIGURATION_PATH) -> web.Response:
        match outcome:
            case Acknowledged(revision=revision):
                return acknowledged(revision)
            case OutcomeUnknown():
                return outcome_unknown()
            case NotConfirmed():
                return self.redirect(path)
            case Stale(current_revision=current):
                text = f"the current revision is {current}"
                return error(HTTPStatus.PRECONDITION_FAILED, text, revision=str(current))
            case Invalid(fault=fault):
                return error(HTTPStatus.BAD_REQUEST, fault)
            case Conflict(fault=fault):
                return error(HTTPStatus.CONFLICT, fault)
            case UnknownName(fault=fault):
                return error(HTTPStatus.NOT_FOUND, fault)

    # -- beliefs ------------------------------------------------------------------
    async def beliefs(self, request: web.BaseRequest) -> web.Response:
        """Handles GET of the beliefs: returns this controller's local view, which is not confirmed by a majority."""
        member, feed = self.consensus.member, self.feed_server
        configuration, endpoint_list = feed.state_of(CONFIGURATION), feed.state_of(ENDPOINTS)
        endpoints = endpoint_list.runners if endpoint_list else ()
        peers = (entry.peer for entry in self.consensus.swim.table.values())
        return reply(
            HTTPStatus.OK,
            {
                "node": self.settings.node,
                "role": "controller",
                "key": self.consensus.key,
                "policy": list(feed.store.version(CONFIGURATION)),
                "runners": list(feed.store.version(ENDPOINTS)),
                "revision": configuration["revision"] if configuration else 0,
                "evacuated": sorted(feed.evacuated_zones() or ()),
                "zones": zone_counts(endpoints, feed.evacuated_zones() or ()),
                "fleet": {endpoint.id: "draining" if endpoint.draining else "ready" for endpoint in endpoints},
                "members": {peer.key: MEMBER_STATES[peer.state] for peer in peers},
                "view": self._view(),
                "leading": member.leading(),
                "sureMs": feed.confirmation_age_ms(),
                "heldBytes": process_budget().figures(),
                "meter": process_figures(),
                **self._duties(),
                **self._rollouts(),
            },
        )

    def _rollouts(self) -> dict[str, Any]:
        """The committed state of the roll-outs, if versions are known, and the votes on roll-outs in progress."""
        committed = self.writer.committed
        state = committed.state.rollouts if committed is not None else None
        if state is None:
            return {}
        from .rollout_api import describe_rollout

        return {
            "rollouts": {
                "firstVersions": {service: list(names) for service, names in state.first_versions.items()},
                "collector": state.collector,
                "newest": {
                    service: {"number": rollout.number, **describe_rollout(rollout)}
                    for service, rollout in state.newest.items()
                },
                "votes": self._rollout_votes(),
            }
        }

    def _duties(self) -> dict[str, Any]:
        """The committed state of the duties, if they have a holder."""
        committed = self.writer.committed
        duties = committed.state.duties if committed is not None else None
        if duties is None:
            return {}
        return {
            "duties": {
                "holder": duties.holder,
                "fence": duties.fence,
                "nextWindow": duties.next_window,
                "undelivered": [window.number for window in duties.windows],
                "orders": {f"{order.service} {order.zone}": order.desired for order in duties.orders},
            }
        }

    def _view(self) -> dict[str, Any] | None:
        view = self.consensus.member.view
        if view is None:
            return None
        return {
            "epoch": view.epoch,
            "primary": view.primary,
            "backups": view.backups,
            "roster": list(view.ids),
        }
