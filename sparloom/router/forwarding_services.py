"""The services that forwarding a request takes, in one value: nothing that they need themselves imports this."""

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
    state: the present snapshots.
    in_flight: requests in flight per backend; slots are taken here.
    budgets: retry budgets by service.
    queues: admission queues by service.
    gossip: tells the other routers of prompts that went out.
    prefix_recall: tells controllers of long prefixes.
    usage: counts what begins; None where nobody asks.
    random: source of random draws.
    rollouts: watches roll-outs; None where versions don't matter.
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
