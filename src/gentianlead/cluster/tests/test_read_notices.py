"""Tests of notices that have other daemons read the job topic."""

import asyncio
import types
import unittest

from gentianlead import dispatch
from gentianlead.cluster import _peer_messages
from gentianlead.cluster import _read_notices


class EndsNoticeTest(unittest.IsolatedAsyncioTestCase):
    """Tests of the notice that ends of tasks of other groups are stored."""

    async def test_leaders_of_the_tasks_read_at_once(self):
        """Guards against a leader that starts done tasks until its next read.

        Only reachable leaders of the groups with the tasks are told.
        """
        calls = []
        read_requests = []

        async def send_notice(*call) -> None:
            calls.append(call)

        reader = types.SimpleNamespace(
            job_table=types.SimpleNamespace(
                leaders={
                    group:
                        dispatch.LeaderEntry(
                            dispatch.LeaderRecord(group, 64, node, "d#1", 1), 0,
                            0.0) for group, node in (("n1", "d1"), ("n2", "d2"),
                                                    ("n3", "d3"))
                }),
            request_read=lambda: read_requests.append(1))
        peering = types.SimpleNamespace(
            handlers={}, list_reachable_daemons=lambda: ["d1", "d2"])
        notices = _read_notices.ReadNotices(
            reader, peering, send_notice,
            asyncio.get_running_loop().create_task)
        notices.announce_ends("n1", {"n2", "n3", "n4"})
        await asyncio.sleep(0)
        ((peer_name, subject, notice),) = calls
        self.assertEqual((peer_name, notice.group), ("d2", "n1"))
        read_requests.clear()
        await peering.handlers[subject](dispatch.encode_value(notice))
        self.assertTrue(read_requests)
        self.assertEqual(subject, _peer_messages.NOTICE_ENDS)
