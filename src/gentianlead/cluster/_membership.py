"""Connects a daemon to the members of the cluster that it has to know."""

import datetime
from typing import Iterable

from gentianlead import dispatch
from gentianlead import platform
from gentianlead import ports
from gentianlead.cluster import _decision_log
from gentianlead.cluster import _job_topic
from gentianlead.cluster import _peering

MEMBER_RECORD_INTERVAL = datetime.timedelta(seconds=5)
"""Pause after a successful append of this daemon's member record to the job
topic, and timeout of each such append. A daemon that starts finds the addresses
of its peers in their newest member records."""

MEMBER_RECORD_RETRY_DELAY = datetime.timedelta(milliseconds=500)
"""Pause after a failed append of the member record. The append of a record that
the store rejects for good fails at once."""

MAX_MEMBER_RECORD_AGE = datetime.timedelta(seconds=16)
"""Age above which a peer's newest member record is ignored, so that this daemon
stops connecting to the peer. The age is the time from the read of the record to
the last read of the end of the topic, so no record expires while the store is
away. The limit is three times the interval of the records plus one second."""


class MemberAnnouncer:
    """Stores the member record of a daemon again and again.

    What the daemon's VM has is stored once, with the first of them.

    Example:
        >>> announcer = MemberAnnouncer(settings, incarnation, topic_writer,
        ...                             clock, log)
        >>> await announcer.run(peer_address)
    """

    def __init__(self, settings: platform.DaemonSettings, incarnation: str,
                 topic_writer: _job_topic.JobTopicWriter, clock: ports.Clock,
                 log: _decision_log.DecisionLog):
        self._settings = settings
        self._incarnation = incarnation
        self._topic_writer = topic_writer
        self._clock = clock
        self._log = log

    async def run(self, peer_address: str) -> None:
        """Announces the daemon until the task is cancelled."""
        settings = self._settings
        unstored_records = [
            dispatch.CapacityRecord(settings.node, self._incarnation,
                                    settings.processor_cores,
                                    settings.link_mbit_s)
        ]
        heartbeat_number = 0
        while True:
            heartbeat_number += 1
            member_record = dispatch.MemberRecord(settings.node,
                                                  self._incarnation,
                                                  peer_address, settings.domain,
                                                  heartbeat_number)
            try:
                await self._topic_writer.append(
                    [*unstored_records, member_record], MEMBER_RECORD_INTERVAL)
            except ports.StoreError as error:
                self._log.write("member-record-not-stored", error=str(error))
                await self._clock.sleep(MEMBER_RECORD_RETRY_DELAY)
                continue
            unstored_records = []
            await self._clock.sleep(MEMBER_RECORD_INTERVAL)


class Membership:
    """Selects the peers of a daemon by the member records of the job topic.

    Example:
        >>> membership = Membership("entry-1", ["north-1"], reader, peering)
        >>> membership.update_peers()
    """

    def __init__(self, node: str, groups: Iterable[str],
                 topic_reader: _job_topic.JobTopicReader,
                 peering: _peering.Peering):
        self._node = node
        self._groups = tuple(groups)
        self._topic_reader = topic_reader
        self._peering = peering
        self._read_version: tuple[int, float | None] | None = None
        self._members: dict[str, dispatch.MemberRecord] = {}
        self._domains_by_name: dict[str, str] = {}
        self._capacities: dict[str, float] = {}
        self._selection_inputs: tuple | None = None
        self._selected_names: frozenset[str] = frozenset()

    def update_peers(self) -> None:
        """Opens and closes connections after changes of members and leaders."""
        self._read_members()
        leader_names = frozenset(
            entry.record.node
            for entry in self._topic_reader.job_table.leaders.values())
        unreachable_names = self._peering.find_reachability().unreachable_names
        selection_inputs = (self._domains_by_name, leader_names,
                            unreachable_names, self._capacities)
        if selection_inputs != self._selection_inputs:
            self._selection_inputs = selection_inputs
            self._selected_names = dispatch.select_peers(
                self._node, self._groups, *selection_inputs)
        self._peering.set_members(self._members, self._selected_names)

    def _read_members(self) -> None:
        """Finds the current members, if the topic was read since."""
        job_table = self._topic_reader.job_table
        read_at = self._topic_reader.fresh_as_of
        if (job_table.position, read_at) == self._read_version:
            return
        self._read_version = (job_table.position, read_at)
        current_members = {
            name: member
            for name, member in job_table.members.items()
            if (read_at or 0.0) -
            member.seen_at <= MAX_MEMBER_RECORD_AGE.total_seconds()
        }
        domains_by_name = {
            name: member.record.domain
            for name, member in current_members.items()
        }
        capacities = {
            name: member.capacity for name, member in current_members.items()
        }
        if domains_by_name != self._domains_by_name:
            self._domains_by_name = domains_by_name
        if capacities != self._capacities:
            self._capacities = capacities
        current_members.pop(self._node, None)
        self._members = {
            name: member.record for name, member in current_members.items()
        }

    def find_unknown_members(
            self, reachability: _peering.Reachability) -> frozenset[str]:
        """Returns the members of which this daemon knows no connection state.

        It does not connect to them, or its first attempt has not ended yet.
        """
        return (self._members.keys() - reachability.reachable_names -
                reachability.unreachable_names)
