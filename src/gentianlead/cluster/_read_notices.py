"""Notices that have other daemons read the job topic without a pause."""

import asyncio
from typing import Awaitable, Callable, Coroutine

from gentianlead import dispatch
from gentianlead.cluster import _job_topic
from gentianlead.cluster import _peer_messages
from gentianlead.cluster import _peering


class ReadNotices:
    """Sends such notices, and reads the topic when one arrives."""

    def __init__(self, topic_reader: _job_topic.JobTopicReader,
                 peering: _peering.Peering,
                 send_notice: Callable[[str, str, object], Awaitable[None]],
                 spawn: Callable[[Coroutine], object]):
        self._topic_reader = topic_reader
        self._peering = peering
        self._send_notice = send_notice
        self._spawn = spawn
        peering.handlers[_peer_messages.NOTICE_RESIGNATION] = (
            self._serve_resignation_notice)
        peering.handlers[_peer_messages.NOTICE_ENDS] = self._serve_ends_notice

    async def announce_resignation(self, group: str) -> None:
        """Tells all daemons that the leader of a group has resigned."""
        notice = _peer_messages.ResignationNotice(group)
        await asyncio.gather(*[
            self._send_notice(peer_name, _peer_messages.NOTICE_RESIGNATION,
                              notice)
            for peer_name in self._peering.list_reachable_daemons()
        ])

    def announce_ends(self, source_group: str, groups: set[str]) -> None:
        """Tells the leaders of groups that ends of their tasks are stored.

        Without it, they would go on starting such tasks until their next read.

        Args:
            source_group: Group whose leader has stored the ends.
            groups: Groups with the tasks.
        """
        leaders = self._topic_reader.job_table.leaders
        peer_names = {
            leaders[group].record.node for group in groups if group in leaders
        }
        for peer_name in peer_names.intersection(
                self._peering.list_reachable_daemons()):
            self._spawn(
                self._send_notice(peer_name, _peer_messages.NOTICE_ENDS,
                                  _peer_messages.EndsNotice(source_group)))
        self._topic_reader.request_read()

    async def _serve_resignation_notice(self, payload: bytes) -> object:
        dispatch.decode_value(payload, _peer_messages.ResignationNotice)
        self._topic_reader.request_read()
        return True

    async def _serve_ends_notice(self, payload: bytes) -> object:
        dispatch.decode_value(payload, _peer_messages.EndsNotice)
        self._topic_reader.request_read()
        return True
