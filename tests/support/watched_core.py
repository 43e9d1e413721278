"""A simulated consensus group that checks each event against the model checker's invariants and records a timeline."""

from attrs import define

from simulator.check.history import History, Violation
from simulator.core import Core
from simulator.timeline import EVENTS
from sparloom.consensus import Aborted, Committed, ReadConfirmed


@define(frozen=True, slots=True)
class ChangeRequest:
    """A client's change request at one member.

    It is a confirmed read followed by a write on top of the result. ``floor`` is the newest acknowledged data when
    the read began; the read must not return older data.
    """

    node: str
    floor: bytes
    blob: bytes = b""


class WatchedCore(Core):
    """A simulated group that checks each event when it happens.

    ``removed`` has the names of the machines that are lost for good.
    """

    def __init__(self, *args, **kwargs):
        self.history, self.pending_requests, self.events = History(), {}, []
        self.request_numbers = iter(range(1, 1 << 20))
        self.removed = set()
        super().__init__(*args, **kwargs)

    # -- checks -------------------------------------------------------------
    def act(self, name, actions):
        """Executes a member's actions and checks the results that they report."""
        for action in actions or ():
            if isinstance(action, Committed):
                self._check_commit(name, action)
            elif isinstance(action, Aborted):
                self.pending_requests.pop(action.id, None)
        super().act(name, actions)
        for action in actions or ():
            if isinstance(action, ReadConfirmed):
                self._check_read(name, action)
        consensus, incarnation = self.nodes[name]
        if consensus.leading():
            self.history = self.history.leads(consensus.leadership.epoch, (name, incarnation))

    def _check_commit(self, name, action):
        view, data = self.nodes[name][0].leadership.view, action.data
        self.check_holders(view, data)
        if action.id == 0:
            self.history = self.history.new_primary(view.epoch, data.blob)
        elif action.id in self.pending_requests:
            if self.pending_requests.pop(action.id).blob != data.blob:
                raise Violation(f"{name} acknowledged a change that was not requested")
            self.history = self.history.acknowledge(view.epoch, data.blob)

    def _check_read(self, name, action):
        request = self.pending_requests.pop(action.id, None)
        if request is None or not self.nodes[name][0].leading():
            return
        data = action.data
        self.history = self.history.show(request.floor, data.blob)
        self.check_holders(self.nodes[name][0].leadership.view, data)
        number = next(self.request_numbers)
        blob = data.blob + b"%d." % number
        actions = self.nodes[name][0].write(self.now, number, data.revision + 1, blob)
        if actions is not None:
            self.pending_requests[number] = ChangeRequest(name, request.floor, blob)
            self.act(name, actions)

    def check_holders(self, view, data):
        """Checks that committed data is on the disk of every holder that still has its disk."""
        for name, member in self.members.items():
            disk = self.disks.get(name)
            holds_copy = member.id in view.holders and name not in self.removed and disk and disk[0].id == member.id
            if holds_copy and disk[1].version < data.version:
                raise Violation(f"{data.blob.decode()!r} is committed, but it is not on the disk of {name}")

    # -- events -------------------------------------------------------------
    def record_event(self, event, name):
        """Adds an event to the timeline."""
        self.events.append((int(self.now.total_seconds() * 1000), name, event))

    def apply_event(self, event, name):
        """Applies a timeline event to a member."""
        self.record_event(event, name)
        EVENTS[event](self, name)

    def lose_disk(self, event, name):
        """Wipes the disk of a machine; with ``remove``, the machine never restarts."""
        self.apply_event("wipe", name)
        if event == "remove":
            self.removed.add(name)

    def request_change(self, name):
        """Requests a change at a member on behalf of a client; returns whether the member accepted the request."""
        number = next(self.request_numbers)
        self.pending_requests[number] = ChangeRequest(name, self.history.newest())
        actions = self.nodes[name][0].read(self.now, number)
        if actions is None:
            del self.pending_requests[number]
            return False
        self.act(name, actions)
        return True

    def end_faults(self):
        """Ends all faults of links and disks and restarts the stopped machines, except those that were leaving."""
        self.heal()
        self.removed |= {name for name in self.off if self.nodes[name][0].planned_leave and name not in self.left}
        for name in self.nodes:
            if name in self.stalled:
                self.apply_event("flow", name)
            if name in self.off and name not in self.removed and name not in self.left:
                self.apply_event("boot", name)
        self.record_event("heal", self.names[0])

    def available_machines(self):
        """Returns the running machines that are not leaving."""
        return [name for name in self.nodes if name not in self.off and self.nodes[name][0].planned_leave is None]

    # -- progress --------------------------------------------------------------
    def run_until(self, ms, condition):
        """Runs until a condition holds; returns whether it did within the time."""
        for _ in range(ms // 50):
            if condition():
                return True
            self.run(50)
        return condition()

    def acknowledges_change(self, ms):
        """Returns whether a change is acknowledged within the time."""
        before = len(self.history.acknowledged)

        def acknowledged():
            return len(self.history.acknowledged) > before

        for _ in range(ms // 300):
            leader = self.leader()
            if leader is not None:
                self.request_change(leader)
            if self.run_until(300, acknowledged):
                return True
        return False

    def is_repaired(self):
        """Returns whether all voters are running and every holder has the committed data."""
        leader = self.leader()
        if leader is None or not self.nodes[leader][0].leadership.complete():
            return False
        view, names_by_id = self.view(), {self.members[name].id: name for name in self.available_machines()}
        if not set(view.ids) <= set(names_by_id) or len(view.holders) < self.replicas + 1:
            return False
        decided = self.nodes[leader][0].committed_data.version
        return all(self.disks[names_by_id[i]][1].version >= decided for i in view.holders)

    def timeline(self):
        """Returns the recorded events as a timeline with one column per node."""
        columns = list(self.nodes)
        width = max(len(event) for _, _, event in [(0, "", "stall"), *self.events]) + 2
        lines = ["ms".ljust(8) + "".join(column.ljust(width) for column in columns)]
        for ms, name, event in self.events:
            lines.append(
                str(ms).ljust(8) + "".join((event if column == name else ".").ljust(width) for column in columns)
            )
        return "\n".join(line.rstrip() for line in lines)
