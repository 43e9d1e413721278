"""The services needed to forward a request, in one value.

The modules of these services must not import this one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from attrs import define

if TYPE_CHECKING:
    import random

    from sparloom.dynamic_timeout import InFlightCounts

    from .admission_queues import AdmissionQueues
    from .in_flight_gossip import InFlightGossip
    from .prefix_recall import PrefixRecall
    from .rollout_watcher import RolloutWatcher
    from .router_state import RetryBudgets, RouterState
    from .usage_reporter import UsageReporter


@define(frozen=True, slots=True)
class ForwardingServices:
    """The collaborators of ``RequestForwarder`` and ``Attempt``.

    Attributes
    ----------
    state: the current snapshots.
    in_flight: requests in flight per backend; slots are taken here.
    budgets: retry budgets by service.
    queues: admission queues by service.
    gossip: reports sent prompts to the other routers.
    prefix_recall: reports long prefixes to the controllers.
    usage: counts responses that have started; None if usage reporting is off.
    random: the random number generator.
    rollouts: watches rollouts; None if no service has any.
    """

    state: RouterState
    in_flight: InFlightCounts
    budgets: RetryBudgets
    queues: AdmissionQueues
    gossip: InFlightGossip
    prefix_recall: PrefixRecall
    usage: UsageReporter | None
    random: random.Random
    rollouts: RolloutWatcher | None = None
