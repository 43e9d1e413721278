"""The SWIM state machine, without I/O: it takes messages and the time, and returns the datagrams to send.

Source: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style
Process Group Membership Protocol". This implementation adds anti-entropy: each
probe carries a digest of the whole table, and members whose digests differ
compare their tables.
"""

from __future__ import annotations

from datetime import timedelta
from functools import singledispatchmethod
from math import ceil
from typing import TYPE_CHECKING
from zlib import crc32

from attrs import define, field

from .records import ALIVE, DEAD, SUSPECT, Ack, Peer, Ping, PingRequest, TableComparison
from .timing import SwimTiming, retransmissions

if TYPE_CHECKING:
    from random import Random

    from .records import SwimMessage

UPDATES_PER_DATAGRAM = 18
RANDOM_UPDATES_PER_DATAGRAM = 2
INDIRECT_PROBES = 2
STATE_HASHES_PER_DATAGRAM = 200
STATE_HASH_MASK = 0xFFFF
RECONNECT_PERIODS = 4  # probe periods between two rounds of probes to unreachable seeds or members
RECONNECT_PROBES = 2
INITIAL_SEQUENCE_LIMIT = 1 << 31
UNTRACKED = 0  # sequence number of a probe that expects no answer


@define(frozen=True, slots=True)
class Send:
    """A datagram to send.

    Attributes:
        to: The receiver's internal HOST:PORT.
        record: The message.
    """

    to: str
    record: SwimMessage


@define(slots=True)
class TableEntry:
    """A row of the membership table.

    Attributes:
        peer: The current record of the member.
        since: When this record was stored.
        transmissions: How many times the record was sent to other members.
        notified: Whether a suspect was probed once more before it is declared dead.
    """

    peer: Peer
    since: timedelta
    transmissions: int = 0
    notified: bool = False


@define(slots=True)
class Probe:
    """A probe that awaits its answer; ``indirect``: whether indirect probes were requested."""

    key: str
    sequence: int
    sent_at: timedelta
    indirect: bool = False


@define(frozen=True, slots=True)
class IndirectProbe:
    """A probe made on behalf of another member, to which the answer is forwarded."""

    requester: str
    sequence: int
    sent_at: timedelta


@define(slots=True)
class Swim:
    """One member's view of the group.

    Attributes:
        local_peer: This process.
        seeds: Internal HOST:PORT addresses to join through.
        timing: The protocol's intervals and time-outs.
        rng: The source of every random choice; seeded tests rely on the order of the draws.
        table: The entry of each other process, by key.
        outgoing: Entries that are still to be disseminated, by key.
        pending: Entries of suspect and dead members, by key.
        departed: Processes that died or restarted since ``take_departed``.
        version: Incremented whenever a process joins, dies or restarts.
        digest: The XOR of the state hashes of all members that are considered alive.
        digest_differs: Whether the digest of the last message differed from this one.
    """

    local_peer: Peer
    seeds: tuple[str, ...]
    timing: SwimTiming
    rng: Random
    now: timedelta = timedelta(0)
    sequence: int = 0
    next_probe: timedelta = timedelta(0)
    probe_order: list[str] = field(factory=list)
    table: dict[str, TableEntry] = field(factory=dict)
    probes: list[Probe] = field(factory=list)
    indirect_probes: dict[tuple[str, int], IndirectProbe] = field(factory=dict)
    periods: int = 0
    version: int = 0
    outgoing: dict[str, TableEntry] = field(factory=dict)
    pending: dict[str, TableEntry] = field(factory=dict)
    departed: list[tuple[str, int | None]] = field(factory=list)
    digest: int = 0
    digest_differs: bool = False
    last_tick: timedelta | None = None
    _alive: tuple[Peer, ...] | None = None
    _alive_by_role: dict[int, int] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.digest = self.local_peer.state_hash()
        # Sequence numbers start at a random value: a late answer to a probe of an earlier instance at this
        # address must not match a probe of this instance.
        self.sequence = self.local_peer.instance_id % INITIAL_SEQUENCE_LIMIT

    # -- queries --------------------------------------------------------------
    def alive(self) -> tuple[Peer, ...]:
        """The other members that are considered alive, suspects included; cached until the table changes.

        >>> Swim(Peer("a:1", 0, "", "", 1, 0, 0), (), SwimTiming.of(timedelta(seconds=3)), None).alive()
        ()
        """
        if self._alive is None:
            self._alive = tuple(entry.peer for entry in self.table.values() if entry.peer.state != DEAD)
            self._alive_by_role = {}
            for peer in self._alive:
                self._alive_by_role[peer.role] = self._alive_by_role.get(peer.role, 0) + 1
        return self._alive

    def count_alive(self, role: int) -> int:
        """The number of other members of a role that are considered alive.

        >>> Swim(Peer("a:1", 0, "", "", 1, 0, 0), (), SwimTiming.of(timedelta(seconds=3)), None).count_alive(0)
        0
        """
        self.alive()
        return self._alive_by_role.get(role, 0)

    def is_current(self, key: str, instance_id: int) -> bool:
        """Whether the process at an address may still be this instance: unknown, or alive with this instance id.

        >>> Swim(Peer("a:1", 0, "", "", 1, 0, 0), (), SwimTiming.of(timedelta(seconds=3)), None).is_current("b:1", 7)
        True
        """
        entry = self.table.get(key)
        return entry is None or entry.peer.instance_id == instance_id and entry.peer.state != DEAD

    def take_departed(self) -> list[tuple[str, int | None]]:
        """Processes that died or restarted since the last call.

        Returns:
            Each one's key, with the instance id that runs there now, or None.

        >>> Swim(Peer("a:1", 0, "", "", 1, 0, 0), (), SwimTiming.of(timedelta(seconds=3)), None).take_departed()
        []
        """
        departed, self.departed = self.departed, []
        return departed

    # -- dissemination -----------------------------------------------------------
    def _updates(self) -> list[Peer]:
        """The updates with the fewest transmissions, plus a few random entries."""
        limit = retransmissions(len(self.table))
        chosen = sorted(self.outgoing.values(), key=lambda entry: entry.transmissions)[:UPDATES_PER_DATAGRAM]
        for entry in chosen:
            entry.transmissions += 1
            if entry.transmissions >= limit:
                self.outgoing.pop(entry.peer.key, None)
        alive = self.alive()
        updates = [entry.peer for entry in chosen]
        sampled = self.rng.sample(alive, min(RANDOM_UPDATES_PER_DATAGRAM, len(alive)))
        return updates + [peer for peer in sampled if peer not in updates]

    def _table_sample(self) -> list[Peer]:
        """The whole table for a joining member, or a random sample that fits a datagram."""
        peers = [entry.peer for entry in self.table.values()]
        return peers if len(peers) <= UPDATES_PER_DATAGRAM else self.rng.sample(peers, UPDATES_PER_DATAGRAM)

    def _in_partition(self, partition: int, partitions: int) -> list[Peer]:
        """The members considered alive, this process included, whose keys hash to a partition."""
        return [peer for peer in (self.local_peer, *self.alive()) if crc32(peer.key.encode()) % partitions == partition]

    def _comparison(self) -> TableComparison:
        """The state hashes of a random partition, from which a peer finds the entries that this process lacks."""
        partitions = ceil((len(self.table) + 1) / STATE_HASHES_PER_DATAGRAM)
        partition = self.rng.randrange(partitions)
        state_hashes = [peer.state_hash() & STATE_HASH_MASK for peer in self._in_partition(partition, partitions)]
        return TableComparison(self.local_peer, self.digest, partition, partitions, state_hashes)

    # -- merging -----------------------------------------------------------------
    def _merge(self, peer: Peer) -> None:
        if peer.key == self.local_peer.key:
            self._refute(peer)
            return
        entry = self.table.get(peer.key)
        if entry is None or peer.overrides(entry.peer):
            self._store(peer, entry.peer if entry else None)
        elif entry.peer.state == DEAD and peer.state != DEAD:
            # Another member still considers it alive: the death is disseminated again.
            entry.transmissions, self.outgoing[peer.key] = 0, entry

    def _refute(self, peer: Peer) -> None:
        """Increments the incarnation to refute a suspicion of this process or a record of an earlier instance."""
        is_false = peer.instance_id != self.local_peer.instance_id or peer.state != ALIVE
        if is_false and peer.incarnation >= self.local_peer.incarnation:
            self.digest ^= self.local_peer.state_hash()
            self.local_peer = self.local_peer.with_state(self.local_peer.state, peer.incarnation + 1)
            self.digest ^= self.local_peer.state_hash()

    def _store(self, peer: Peer, old: Peer | None) -> None:
        """Stores a record in place of the old one, if any."""
        self.digest ^= peer.state_hash() ^ (old.state_hash() if old else 0)
        entry = self.table[peer.key] = self.outgoing[peer.key] = TableEntry(peer, self.now)
        if peer.state == ALIVE:
            self.pending.pop(peer.key, None)
        else:
            self.pending[peer.key] = entry
        if old is not None and (peer.state == DEAD or peer.instance_id != old.instance_id):
            self.departed.append((peer.key, None if peer.state == DEAD else peer.instance_id))
        if old is None or (old.state == DEAD) != (peer.state == DEAD) or old.instance_id != peer.instance_id:
            self.version += 1
        self._alive = None

    # -- time --------------------------------------------------------------------
    def tick(self, now: timedelta) -> list[Send]:
        """Advances the clock and returns the datagrams that are due.

        >>> from random import Random
        >>> timing = SwimTiming.of(timedelta(seconds=3))
        >>> swim = Swim(Peer("a:1", 0, "", "", 1, 0, 0), ("b:1",), timing, Random(1))
        >>> [datagram.to for datagram in swim.tick(timedelta(0))]
        ['b:1']
        """
        if self.last_tick is not None and now - self.last_tick >= self.timing.ack_timeout:
            self._extend_timeouts(now - self.last_tick)
        self.now = self.last_tick = now
        return [*self._check_probes(), *self._expire_pending(), *self._probe_next()]

    def _extend_timeouts(self, gap: timedelta) -> None:
        """Extends all time-outs by the length of a pause of this process, which could not receive answers then."""
        for probe in self.probes:
            probe.sent_at += gap
        for entry in self.pending.values():
            if entry.peer.state == SUSPECT:
                entry.since += gap

    def _check_probes(self) -> list[Send]:
        """Handles overdue probes: requests indirect probes first, then suspects the member."""
        out: list[Send] = []
        open_probes = []
        for probe in self.probes:
            entry = self.table.get(probe.key)
            if entry is None or entry.peer.state == DEAD:
                continue
            if self.now - probe.sent_at >= self.timing.period:
                if entry.peer.state == ALIVE and probe.indirect:
                    self._merge(entry.peer.with_state(SUSPECT))
                    out.append(self._notify_suspect(self.table[probe.key].peer))
                continue
            if not probe.indirect and self.now - probe.sent_at >= self.timing.ack_timeout:
                probe.indirect = True
                out += self._request_probes(probe)
            open_probes.append(probe)
        self.probes = open_probes
        return out

    def _request_probes(self, probe: Probe) -> list[Send]:
        others = [peer.key for peer in self.alive() if peer.key != probe.key]
        helpers = self.rng.sample(others, min(INDIRECT_PROBES, len(others)))
        return [Send(key, PingRequest(probe.sequence, self.local_peer, probe.key, [])) for key in helpers]

    def _notify_suspect(self, peer: Peer) -> Send:
        """A datagram that notifies a member of its suspicion, so that it can refute it at once."""
        return Send(peer.key, Ping(UNTRACKED, self.local_peer, self.digest, [peer]))

    def _expire_pending(self) -> list[Send]:
        """Declares overdue suspects dead and removes dead members after the retention time.

        Each member probes a suspect once more itself, because a refutation sent
        to other members may arrive after the time-out.
        """
        out, timing = list[Send](), self.timing
        for entry in list(self.pending.values()):
            age = self.now - entry.since
            if entry.peer.state == DEAD:
                if age >= timing.dead_retention:
                    self._remove(entry.peer.key)
            elif age >= timing.suspicion_timeout:
                self._merge(entry.peer.with_state(DEAD))
            elif not entry.notified and age >= timing.suspicion_timeout - timing.ack_timeout:
                entry.notified = True
                out.append(self._notify_suspect(entry.peer))
        self.indirect_probes = {
            target: probe for target, probe in self.indirect_probes.items() if self.now - probe.sent_at < timing.period
        }
        return out

    def _remove(self, key: str) -> None:
        for rows in (self.table, self.pending, self.outgoing):
            rows.pop(key, None)

    def _probe_next(self) -> list[Send]:
        """The probe of this period; every ``RECONNECT_PERIODS``-th period also probes unreachable seeds and members."""
        if self.now < self.next_probe:
            return []
        self.next_probe = self.now + self.timing.period
        self.periods += 1
        out = []
        key = self._next_key()
        if key:
            self.sequence += 1
            self.probes.append(Probe(key, self.sequence, self.now))
            out.append(Send(key, Ping(self.sequence, self.local_peer, self.digest, self._updates())))
        if not key or self.periods % RECONNECT_PERIODS == 0:
            unreachable = self._unreachable_keys()
            targets = unreachable if not key else self.rng.sample(unreachable, min(RECONNECT_PROBES, len(unreachable)))
            out += [Send(target, Ping(UNTRACKED, self.local_peer, self.digest, self._updates())) for target in targets]
        return out

    def _unreachable_keys(self) -> list[str]:
        """Unknown seeds and dead members; they are probed because a network partition may have ended."""
        known = {peer.key for peer in self.alive()}
        seeds = [seed for seed in self.seeds if seed != self.local_peer.key and seed not in known]
        return seeds + [key for key, entry in self.pending.items() if entry.peer.state == DEAD]

    def _next_key(self) -> str | None:
        """The member to probe next: round-robin over all members, in a new random order each round."""
        while self.probe_order:
            key = self.probe_order.pop()
            if key in self.table and self.table[key].peer.state != DEAD:
                return key
        self.probe_order = sorted(peer.key for peer in self.alive())
        self.rng.shuffle(self.probe_order)
        return self.probe_order.pop() if self.probe_order else None

    # -- messages ----------------------------------------------------------------
    def receive(self, now: timedelta, source: str, message: SwimMessage) -> list[Send]:
        """Handles a message from the HOST:PORT ``source`` and returns the datagrams to send in response.

        >>> from random import Random
        >>> timing = SwimTiming.of(timedelta(seconds=3))
        >>> swim = Swim(Peer("a:1", 0, "", "", 1, 0, 0), ("b:1",), timing, Random(1))
        >>> ping = Ping(7, Peer("b:1", 0, "", "", 2, 0, 0), 0, [])
        >>> [type(datagram.record).__name__ for datagram in swim.receive(timedelta(0), "b:1", ping)]
        ['Ack']
        """
        self.now = now
        entry = self.table.get(message.peer.key)
        joins = entry is None or entry.peer.state != ALIVE or entry.peer.instance_id != message.peer.instance_id
        outdated = [entry.peer] if entry is not None and joins else []
        for peer in (message.peer, *message.updates):
            self._merge(peer)
        self.digest_differs = message.digest not in (0, self.digest)
        return self._handle(message, source, joins, outdated)

    @singledispatchmethod
    def _handle(self, message: SwimMessage, source: str, joins: bool, outdated: list[Peer]) -> list[Send]:
        """The datagrams to send in response to a message.

        Args:
            message: The message; its updates are already merged.
            source: The sender's internal HOST:PORT.
            joins: Whether the sender was not considered alive before this message.
            outdated: The previous record of the sender, which it must receive in order to refute it.
        """
        return []

    @_handle.register(Ping)
    def _on_ping(self, message: Ping, source: str, joins: bool, outdated: list[Peer]) -> list[Send]:
        updates = outdated + self._table_sample() if joins else self._updates()
        return [Send(source, Ack(message.sequence, self.local_peer, self.digest, updates))]

    @_handle.register(Ack)
    def _on_ack(self, message: Ack, source: str, joins: bool, outdated: list[Peer]) -> list[Send]:
        answered = (message.peer.key, message.sequence)
        self.probes = [probe for probe in self.probes if (probe.key, probe.sequence) != answered]
        indirect = self.indirect_probes.pop(answered, None)
        if indirect:
            return [Send(indirect.requester, Ack(indirect.sequence, message.peer, 0, []))]
        return [Send(source, self._comparison())] if self.digest_differs else []

    @_handle.register(TableComparison)
    def _on_comparison(self, message: TableComparison, source: str, joins: bool, outdated: list[Peer]) -> list[Send]:
        theirs = set(message.state_hashes)
        partition = self._in_partition(message.partition, max(1, message.partitions))
        missing = [peer for peer in partition if peer.state_hash() & STATE_HASH_MASK not in theirs]
        if not missing:
            return []
        updates = self.rng.sample(missing, min(UPDATES_PER_DATAGRAM, len(missing)))
        return [Send(source, Ack(UNTRACKED, self.local_peer, 0, updates))]

    @_handle.register(PingRequest)
    def _on_ping_request(self, message: PingRequest, source: str, joins: bool, outdated: list[Peer]) -> list[Send]:
        self.sequence += 1
        self.indirect_probes[message.target, self.sequence] = IndirectProbe(source, message.sequence, self.now)
        return [Send(message.target, Ping(self.sequence, self.local_peer, self.digest, self._updates()))]

    def leave(self) -> list[Send]:
        """The datagrams that notify every member that this process leaves (graceful shutdown).

        >>> Swim(Peer("a:1", 0, "", "", 1, 0, 0), (), SwimTiming.of(timedelta(seconds=3)), None).leave()
        []
        """
        departed = self.local_peer.with_state(DEAD, self.local_peer.incarnation + 1)
        return [Send(peer.key, Ack(UNTRACKED, departed, 0, [])) for peer in self.alive()]
