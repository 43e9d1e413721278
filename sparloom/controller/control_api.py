"""What operators call over HTTP: the configuration, evacuations, roll-outs, and the controller's beliefs.

Any controller answers 400, 408 and 413 for faults of the request alone, and
the beliefs. Whatever depends on the control state is answered by the primary
alone: 200 to a change once every holder has it on disk, a read or a refusal
from state that a majority confirmed after the request came. Otherwise the
answer is a 503 or a redirect. What a change leads to is decided in
``configuration_writer``.
"""

from __future__ import annotations

import asyncio
from datetime import timedelta
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from absl import logging
from aiohttp import web
from attrs import define, field
from mode import Service
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from sparloom.discovery.zones import services_without_runners, zone_figures
from sparloom.feed import CONFIGURATION, ENDPOINTS
from sparloom.metrics.reporter import process_figures
from sparloom.settings import SettingsError
from sparloom.transport import bind

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
from .offload import LARGE_BYTES, is_large, run

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
MAXIMUM_BODY_BYTES = 16 << 20
# A body of which nothing more comes for so long is given up.
BODY_TIMEOUT = timedelta(seconds=5)
RETRY_AFTER = {"Retry-After": "0.2"}
MEMBER_STATES = ("alive", "suspect", "dead")
# Operators are redirected only to a primary that was confirmed within this part of the contact bound.
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
    """A response that names a fault.

    >>> error(400, "no").body
    b'{"error":"no"}'
    """
    return reply(status, {"error": text}, **headers)


def outcome_unknown() -> web.Response:
    """The response to a change that may be committed, or may yet be; it is to be sent again.

    >>> outcome_unknown().status
    503
    """
    return error(HTTPStatus.SERVICE_UNAVAILABLE, "the outcome is not known; send it again", **RETRY_AFTER)


def acknowledged(revision: int, warning: str = "") -> web.Response:
    """The response that acknowledges a change, with a sentence about what the caller may not have meant.

    >>> acknowledged(7).body, acknowledged(7, "look").body
    (b'{"revision":7}', b'{"revision":7,"warning":"look"}')
    """
    body: dict[str, Any] = {"revision": revision}
    return reply(HTTPStatus.OK, {**body, "warning": warning} if warning else body)


# -- requests -------------------------------------------------------------------
def client_left(request: web.BaseRequest) -> bool:
    """Whether nobody waits for the response any more."""
    return request.transport is None or request.transport.is_closing()


async def read_body(request: web.BaseRequest) -> Result[bytes, web.Response]:
    """Reads a request's body; a failure is the response that says why there is none."""
    too_long = error(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"the body is longer than {MAXIMUM_BODY_BYTES} bytes")
    if (request.content_length or 0) > MAXIMUM_BODY_BYTES:
        return Failure(too_long)
    body = bytearray()
    while True:
        try:
            async with asyncio.timeout(BODY_TIMEOUT.total_seconds()):
                chunk = await request.content.readany()
        except TimeoutError:
            return Failure(error(HTTPStatus.REQUEST_TIMEOUT, "the body did not come"))
        if not chunk:
            return Success(bytes(body))
        body += chunk
        if len(body) > MAXIMUM_BODY_BYTES:
            return Failure(too_long)


@define(frozen=True, slots=True)
class RoutingTable:
    """The handlers by path, then by method.

    Attributes
    ----------
    paths : dict
        Of whole paths.
    prefixes : dict
        Of paths that begin so and go on.
    """

    paths: Mapping[str, Mapping[str, Handler]]
    prefixes: Mapping[str, Mapping[str, Handler]] = field(factory=dict)

    def find(self, method: str, path: str) -> Handler | int:
        """The handler, or the status that says why there is none.

        >>> RoutingTable({"/a": {"GET": print}}).find("GET", "/a") is print
        True
        >>> int(RoutingTable({"/a": {}}).find("GET", "/a")), int(RoutingTable({}).find("GET", "/a"))
        (405, 404)
        >>> RoutingTable({}, {"/a/": {"GET": print}}).find("GET", "/a/b") is print
        True
        """
        methods = self.paths.get(path)
        if methods is None:
            methods = next((found for prefix, found in self.prefixes.items() if path.startswith(prefix)), None)
        if methods is None:
            return HTTPStatus.NOT_FOUND
        return methods.get(method, HTTPStatus.METHOD_NOT_ALLOWED)

    def extended(
        self, paths: Mapping[str, Mapping[str, Handler]], prefixes: Mapping[str, Mapping[str, Handler]]
    ) -> RoutingTable:
        """The table with further paths and prefixes.

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
        The handlers of the paths that are served.
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
        """Serves the calls about roll-outs; ``votes`` gives those that the beliefs are to show."""
        # Deployments without roll-outs don't spend time and memory of a start on it.
        from .rollout_api import ROLLOUT_PREFIX, ROLLOUTS_PATH

        calls, of_service = {"POST": self.roll_out}, {"GET": self.rollout}
        self.routes = self.routes.extended({ROLLOUTS_PATH: calls}, {ROLLOUT_PREFIX: of_service})
        self._rollout_votes = votes

    def _write_timeout(self) -> timedelta:
        return self.settings.bounds.acknowledge

    async def on_start(self) -> None:
        """Serves the control address; raises OSError if it can't be bound."""
        address = self.settings.listen.control
        if address is None:
            raise SettingsError("listenAddresses.control is missing")
        # A waiting request is cancelled when its client leaves; a write that has begun is not.
        server = web.Server(self._handle, access_log=None, handler_cancellation=True)
        self.runner = web.ServerRunner(server)
        await self.runner.setup()
        await web.SockSite(self.runner, bind(address)).start()

    async def on_stop(self) -> None:
        """Closes the control address; a write under way is left to the consensus."""
        self.writer.cancel()
        if self.runner is not None:
            await self.runner.cleanup()

    def on_committed(self, data: Data) -> None:
        """Takes data that the consensus committed."""
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
        """The response to what this controller can't answer: to the primary, if that was confirmed of late."""
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
        """Answers GET: the newest configuration."""
        snapshot = await self.writer.confirmed(Deadline.after_body(0))
        if snapshot is None:
            return self.redirect()
        configuration = snapshot.state.configuration
        if not snapshot.state.revision:
            return error(HTTPStatus.NOT_FOUND, "no configuration was taken yet")
        return await run(is_large(configuration), reply, HTTPStatus.OK, configuration)

    async def change(self, request: web.BaseRequest) -> web.Response:
        """Answers PUT and PATCH: a change of the configuration."""
        body_read = await read_body(request)
        if not is_successful(body_read):
            return body_read.failure()
        body = body_read.unwrap()
        deadline = Deadline.after_body(len(body))
        if_match = request.headers.get("If-Match", "")
        parsed = await run(len(body) > LARGE_BYTES, parse_change_request, request.method, if_match, body)
        if not is_successful(parsed):
            return error(HTTPStatus.BAD_REQUEST, parsed.failure())
        outcome = await self.writer.change(parsed.unwrap(), deadline, lambda: not client_left(request))
        return self._response_to(outcome)

    # -- evacuations --------------------------------------------------------------
    async def evacuations(self, request: web.BaseRequest) -> web.Response:
        """Answers GET: the zones that are evacuated."""
        snapshot = await self.writer.confirmed(Deadline.after_body(0))
        if snapshot is None:
            return self.redirect(EVACUATIONS_PATH)
        return reply(HTTPStatus.OK, {"zones": sorted(snapshot.state.evacuated)})

    async def evacuate(self, request: web.BaseRequest) -> web.Response:
        """Answers POST: nothing more is to be sent to the runners of a zone."""
        zone = request.path.removeprefix(EVACUATION_PREFIX)
        fault = zone_fault(zone, self.settings.zones)
        if fault is not None:
            return error(HTTPStatus.NOT_FOUND, fault)
        return await self._order(request, EvacuationOrder(zone, evacuate=True), self._warning(zone))

    async def restore(self, request: web.BaseRequest) -> web.Response:
        """Answers DELETE: a zone is taken back; also one that the startup file doesn't name any more."""
        zone = request.path.removeprefix(EVACUATION_PREFIX)
        fault = zone_fault(zone, ())
        if fault is not None:
            return error(HTTPStatus.NOT_FOUND, fault)
        return await self._order(request, EvacuationOrder(zone, evacuate=False))

    def _warning(self, zone: str) -> str:
        """A sentence that names the services that an evacuation leaves without runners; empty if there is none.

        The operator decides: the order is carried out all the same, since a zone may have to be emptied whatever
        becomes of a service.
        """
        endpoint_list = self.feed_server.state_of(ENDPOINTS)
        evacuated = {*(self.feed_server.evacuated_zones() or ()), zone}
        left = services_without_runners(endpoint_list.runners if endpoint_list else (), evacuated)
        if not left:
            return ""
        logging.warning("control: evacuation leaves services without runners zone=%s services=%s", zone, ",".join(left))
        return f"no runner is left of {', '.join(left)}"

    async def _order(self, request: web.BaseRequest, order: EvacuationOrder, warning: str = "") -> web.Response:
        outcome = await self.writer.change(order, Deadline.after_body(0), lambda: not client_left(request))
        if warning and isinstance(outcome, Acknowledged):
            return acknowledged(outcome.revision, warning)
        return self._response_to(outcome, request.raw_path)

    # -- roll-outs ----------------------------------------------------------------
    async def roll_out(self, request: web.BaseRequest) -> web.Response:
        """Answers POST: the requests of a service are to move to another version."""
        from .rollout_api import parse_order

        body_read = await read_body(request)
        if not is_successful(body_read):
            return body_read.failure()
        parsed = parse_order(body_read.unwrap())
        if not is_successful(parsed):
            return error(HTTPStatus.BAD_REQUEST, parsed.failure())
        outcome = await self.writer.change(parsed.unwrap(), Deadline.after_body(0), lambda: not client_left(request))
        return self._response_to(outcome, request.raw_path)

    async def rollout(self, request: web.BaseRequest) -> web.Response:
        """Answers GET: what has become of a service's newest roll-out."""
        from .rollout_api import NO_ROLLOUT, ROLLOUT_PREFIX, description, newest_rollout

        snapshot = await self.writer.confirmed(Deadline.after_body(0))
        if snapshot is None:
            return self.redirect(request.raw_path)
        rollout = newest_rollout(snapshot.state, request.path.removeprefix(ROLLOUT_PREFIX))
        return error(*NO_ROLLOUT) if rollout is None else reply(HTTPStatus.OK, description(rollout))

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
        """Answers GET of the beliefs: what this controller holds for true, without any confirmation."""
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
                "zones": zone_figures(endpoints, feed.evacuated_zones() or ()),
                "fleet": {endpoint.id: "draining" if endpoint.draining else "ready" for endpoint in endpoints},
                "members": {peer.key: MEMBER_STATES[peer.state] for peer in peers},
                "view": self._view(),
                "leading": member.leading(),
                "sureMs": feed.confirmation_age_ms(),
                "meter": process_figures(),
                **self._duties(),
                **self._rollouts(),
            },
        )

    def _rollouts(self) -> dict[str, Any]:
        """What is committed of roll-outs, where versions are known, and the votes of those under way."""
        committed = self.writer.committed
        state = committed.state.rollouts if committed is not None else None
        if state is None:
            return {}
        from .rollout_api import description

        return {
            "rollouts": {
                "firstVersions": {service: list(names) for service, names in state.first_versions.items()},
                "collector": state.collector,
                "newest": {
                    service: {"number": rollout.number, **description(rollout)}
                    for service, rollout in state.newest.items()
                },
                "votes": self._rollout_votes(),
            }
        }

    def _duties(self) -> dict[str, Any]:
        """What is committed of the duties, where they have a holder."""
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
