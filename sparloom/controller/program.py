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

# The fraction of the grace period after which a planned leave times out.
LEAVE_GRACE_FRACTION = 0.5


class Controller(ServingProgram):
    """All services of a controller.

    Attributes
    ----------
    consensus : ConsensusService
        Runs the consensus member of this controller: disk, membership and messages.
    control_api : ControlApi
        The operators' HTTP API.
    feed_server : FeedServer
        Publishes the configuration and the endpoint list to the routers.
    poller : EndpointPoller
        Keeps the endpoint list up to date while this controller is the primary.
    duties : DutyService or None
        Performs the duties at the platform while this controller is the primary; None if no duties are configured.
    rollouts : RolloutService or None
        Advances roll-outs while this controller is the primary; None if roll-outs are disabled.
    rates : RateService or None
        Updates the table of rate holders while this controller is the primary; None on job deployments.
    jobs : JobService or None
        Stores and runs jobs; None on other deployments.
    """

    def __init__(self, settings: Settings, path: str) -> None:
        super().__init__(settings, path)
        self.feed_server = FeedServer(settings)
        self.add_dependency(self.feed_server)
        self.consensus = ConsensusService(settings, self.feed_server.serve, self._on_committed, self._receive)
        self.control_api = ControlApi(settings, self.consensus, self.feed_server)
        self.duties = self._duty_service(settings)
        assign_pools = self._assign_pools if settings.rollouts.enabled else None
        self.poller = EndpointPoller(
            settings, self.consensus, self.feed_server, self.control_api.router_count, assign_pools
        )
        self.rollouts = self._rollout_service(settings)
        self.rates = self._rate_service(settings)
        self.feed_server.consensus = self.consensus
        self.jobs = self._job_service(settings, self.feed_server)
        self._leave_timeout = settings.bounds.grace * LEAVE_GRACE_FRACTION

    @staticmethod
    def _job_service(settings: Settings, feed_server: FeedServer) -> JobService | None:
        if settings.deployment != JOB_DEPLOYMENT:
            return None
        # Imported here to save startup time and memory on other deployments.
        from .job_service import JobService

        return JobService(settings, feed_server.evacuated_zones)

    def _duty_service(self, settings: Settings) -> DutyService | None:
        if not settings.duties.expected:
            return None
        # Imported here to save startup time and memory on deployments without duties.
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

    def _assign_pools(self, runners: list[Endpoint]) -> list[Endpoint]:
        """Assigns the runners of a list to pools according to the newest committed state."""
        from .rollout_updates import assign_pools

        committed = self.control_api.writer.committed
        return assign_pools(committed.state.rollouts if committed is not None else None, runners)

    def _scaled_services(self) -> list[ScaledService]:
        """The services that are scaled, according to the newest configuration and endpoint list."""
        from .scaled_services import scaled_services

        committed, listed = self.control_api.writer.committed, self.poller.last_published
        if committed is None or listed is None:
            return []
        services = committed.state.configuration.get("services", [])
        return scaled_services(services, self._serving_runners(committed.state, listed.runners))

    @staticmethod
    def _serving_runners(state: State, runners: list[Endpoint]) -> list[Endpoint]:
        """The runners of serving versions under their service names; trial versions don't count as capacity."""
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
        """Starts the services in the order of their dependencies."""
        for service in (self.consensus, self.control_api, self.poller):
            await self.add_runtime_dependency(service)
        for optional in (self.duties, self.rollouts, self.rates, self.jobs):
            if optional is not None:
                await self.add_runtime_dependency(optional)
        await self.start_metrics_reporter()

    def apply_settings(self, settings: Settings) -> None:
        """Replaces the settings; the new ones must have been validated."""
        self.settings = settings
        self.consensus.apply_settings(settings)
        if self.jobs is not None:
            self.jobs.apply_settings(settings)

    async def graceful_shutdown(self) -> None:
        """Leaves the consensus groups, so that neither data nor votes depend on this controller."""
        logging.info("controller: stopping")
        groups = [self.consensus, *([self.jobs.consensus] if self.jobs is not None else [])]
        await asyncio.gather(*(group.leave(self._leave_timeout) for group in groups))


async def serve(settings: Settings, path: str) -> None:
    """Runs a controller until SIGTERM or SIGINT."""
    await serve_until_signalled(Controller(settings, path))
