"""Starts and stops the controller's services."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from absl import logging

from sparloom.serving_program import ServingProgram, serve_until_signalled
from sparloom.settings import JOB_DEPLOYMENT

from .consensus_service import ConsensusService
from .control_api import ControlApi
from .endpoint_poller import EndpointPoller
from .feed_server import FeedServer

if TYPE_CHECKING:
    from sparloom.codec import Record
    from sparloom.consensus import Data
    from sparloom.discovery import Endpoint
    from sparloom.duties.scaling import ScaledService
    from sparloom.settings import Settings

    from .control_state import State
    from .duty_service import DutyService
    from .job_service import JobService
    from .rate_service import RateService
    from .rollout_service import RolloutService

# The part of the grace period that a planned leave may take.
LEAVE_PART_OF_GRACE = 0.5


class Controller(ServingProgram):
    """All parts of a controller.

    Attributes
    ----------
    consensus : ConsensusService
        This controller's member of the consensus: disk, membership and messages.
    control_api : ControlApi
        What operators call.
    feed_server : FeedServer
        Publishes the configuration and the endpoint list to the routers.
    poller : EndpointPoller
        Keeps the endpoint list up to date while this controller is the primary.
    duties : DutyService or None
        Carries out the duties at the platform while this controller is the primary, where any are expected.
    rollouts : RolloutService or None
        Takes roll-outs from step to step while this controller is the primary, where versions come by them.
    rates : RateService or None
        Keeps the table of routers that share rates while this controller is the primary, where requests are served.
    jobs : JobService or None
        Keeps and runs jobs, on deployments that have them.
    """

    def __init__(self, settings: Settings, path: str) -> None:
        super().__init__(settings, path)
        self.feed_server = FeedServer(settings)
        self.add_dependency(self.feed_server)
        self.consensus = ConsensusService(settings, self.feed_server.serve, self._on_committed, self._receive)
        self.control_api = ControlApi(settings, self.consensus, self.feed_server)
        self.duties = self._duty_service(settings)
        in_pools = self._in_pools if settings.rollouts.enabled else None
        self.poller = EndpointPoller(
            settings, self.consensus, self.feed_server, self.control_api.router_count, in_pools
        )
        self.rollouts = self._rollout_service(settings)
        self.rates = self._rate_service(settings)
        self.feed_server.consensus = self.consensus
        self.jobs = self._job_service(settings, self.feed_server)
        self._leave_timeout = settings.bounds.grace * LEAVE_PART_OF_GRACE

    @staticmethod
    def _job_service(settings: Settings, feed_server: FeedServer) -> JobService | None:
        if settings.deployment != JOB_DEPLOYMENT:
            return None
        # Other deployments don't spend time and memory of a start on it.
        from .job_service import JobService

        return JobService(settings, feed_server.evacuated_zones)

    def _duty_service(self, settings: Settings) -> DutyService | None:
        if not settings.duties.expected:
            return None
        # Other deployments don't spend time and memory of a start on it.
        from .duty_service import DutyService

        return DutyService(settings, self.consensus, self.control_api.writer, self._scaled_services)

    def _rollout_service(self, settings: Settings) -> RolloutService | None:
        if not settings.rollouts.enabled:
            return None
        from .rollout_service import RolloutService

        service = RolloutService(settings, self.consensus, self.control_api.writer, self.poller)
        self.control_api.serve_rollouts(service.votes)
        return service

    def _rate_service(self, settings: Settings) -> RateService | None:
        if settings.deployment == JOB_DEPLOYMENT:
            return None
        from .rate_service import RateService

        return RateService(settings, self.consensus, self.control_api.writer)

    def _in_pools(self, runners: list[Endpoint]) -> list[Endpoint]:
        """The runners of a list in their pools, by the newest committed state."""
        from .rollout_updates import in_pools

        committed = self.control_api.writer.committed
        return in_pools(committed.state.rollouts if committed is not None else None, runners)

    def _scaled_services(self) -> list[ScaledService]:
        """The services whose runners are ordered, as the newest configuration and list have them."""
        from .scaled_services import scaled_services

        committed, listed = self.control_api.writer.committed, self.poller.last
        if committed is None or listed is None:
            return []
        services = committed.state.configuration.get("services", [])
        return scaled_services(services, self._serving_runners(committed.state, listed.runners))

    @staticmethod
    def _serving_runners(state: State, runners: list[Endpoint]) -> list[Endpoint]:
        """The runners of versions that serve, each under its service's name; a version on trial is no room."""
        if state.rollouts is None:
            return runners
        from .rollout_updates import serving_runners

        return serving_runners(state.rollouts, runners)

    def _receive(self, sender: str, record: Record) -> bool:
        if self.rollouts is not None and self.rollouts.receive(record):
            return True
        return self.duties is not None and self.duties.receive(sender, record)

    def _on_committed(self, data: Data) -> None:
        self.control_api.on_committed(data)

    async def on_start(self) -> None:
        """Starts the services in the order in which they need each other."""
        for service in (self.consensus, self.control_api, self.poller):
            await self.add_runtime_dependency(service)
        for optional in (self.duties, self.rollouts, self.rates, self.jobs):
            if optional is not None:
                await self.add_runtime_dependency(optional)
        await self.start_metrics_reporter()

    def apply_settings(self, settings: Settings) -> None:
        """Goes by other checked settings from now on."""
        self.settings = settings
        self.consensus.apply_settings(settings)
        if self.jobs is not None:
            self.jobs.apply_settings(settings)

    async def graceful_shutdown(self) -> None:
        """Leaves the consensus, so that neither data nor votes rest on this controller any more."""
        logging.info("controller: stopping")
        groups = [self.consensus, *([self.jobs.consensus] if self.jobs is not None else [])]
        await asyncio.gather(*(group.leave(self._leave_timeout) for group in groups))


async def serve(settings: Settings, path: str) -> None:
    """Runs a controller until SIGTERM or SIGINT."""
    await serve_until_signalled(Controller(settings, path))
