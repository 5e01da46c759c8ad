"""Tests of the waits between two runs of a long-running task.

The sums are computed from the constants and settings that bound each wait. They
stand in docs/platform.md, "Waits between two runs of a long-running task".
"""

import datetime
import unittest
from typing import NamedTuple

from gentianlead import dispatch
from gentianlead.cluster import _daemon
from gentianlead.cluster import _group_leader
from gentianlead.cluster import _job_topic
from gentianlead.cluster import _order_sender
from gentianlead.cluster import _peering
from gentianlead.cluster import _platform_topics
from gentianlead.cluster import _status_polls
from gentianlead.cluster import _takeover_wait
from gentianlead.dispatch import _election
from gentianlead.dispatch import _move_delays
from gentianlead.dispatch import _moves
from gentianlead.dispatch import _suspicions
from gentianlead.dispatch import _lease_calls
from gentianlead.dispatch import _workers
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import test_election

RESTART_LIMIT = datetime.timedelta(seconds=6)
"""Time from the end of a run within which a long-running task runs again."""

JUDGED_TIME = datetime.timedelta(seconds=3)
"""A task counts as lost if it has no run for this long after the limit."""

DRAIN_TIME = datetime.timedelta(seconds=2)
"""Shortest time from the report that a worker leaves until it exits."""

STORE_CALL_TIME = datetime.timedelta(milliseconds=15)
"""Duration of a call to the store without an impairment."""

WORKER_CALL_TIME = datetime.timedelta(milliseconds=10)
"""Duration of a call to a worker without an impairment."""

PEER_CALL_TIME = datetime.timedelta(milliseconds=10)
"""Duration of a call to another daemon without an impairment."""

TASKS_PER_JOB = 6
"""Tasks of a long-running job on the sites of the milestone."""


class SiteSettings(NamedTuple):
    """Settings of a site that bound waits.

    Attributes:
        max_lease: Maximum duration of a worker's lease.
        stop_limit: Maximum time that a worker takes to stop a run.
    """

    max_lease: datetime.timedelta
    stop_limit: datetime.timedelta


SITES = {
    "sadaqa-prod":
        SiteSettings(datetime.timedelta(seconds=6),
                     datetime.timedelta(milliseconds=900)),
    "lagoon-sched":
        SiteSettings(datetime.timedelta(seconds=10),
                     datetime.timedelta(milliseconds=400)),
}


class Wait(NamedTuple):
    """A wait between two runs of a task.

    Attributes:
        name: What is waited for.
        duration: Upper bound of the wait.
    """

    name: str
    duration: datetime.timedelta


PLAN_AFTER_EVENT = Wait("planning pass after an event",
                        _group_leader.MAX_PLAN_INTERVAL)
PLAN_AFTER_TIME = Wait("planning pass after a time limit",
                       _group_leader.MAX_PLAN_INTERVAL)
START = Wait("start order", WORKER_CALL_TIME)
TOPIC_READ = Wait("read of the job topic",
                  _job_topic.MIN_READ_INTERVAL + STORE_CALL_TIME)
RESIGNATION_READ = Wait("append of a resignation, notice to peers, read",
                        2 * STORE_CALL_TIME + PEER_CALL_TIME + STORE_CALL_TIME)
REGISTRY_READ = Wait("read of the registry",
                     _platform_topics.REGISTRY_INTERVAL + STORE_CALL_TIME)


def get_lease(settings: SiteSettings) -> datetime.timedelta:
    """Returns the longest lease of a worker."""
    return min(settings.max_lease, _group_leader.MAX_LEASE)


def build_lease_expiry(settings: SiteSettings) -> Wait:
    """Returns the wait from the last renewal of a lease to its certain end."""
    margin = datetime.timedelta(
        milliseconds=_lease_calls.LEASE_EXPIRY_MARGIN_MS)
    return Wait("lease expiry of a worker that is gone",
                (get_lease(settings) + margin) /
                (1 - _lease_calls.MAX_RELATIVE_CLOCK_DRIFT))


def build_takeover_wait(settings: SiteSettings) -> Wait:
    """Returns the wait of a new leader for workers that do not reply.

    It counts from the last record of a sole former leader whose process goes
    on.
    """
    former_leader = dispatch.LeaderEntry(
        dispatch.LeaderRecord("north-1", 70, "a", "a#1", 9, True), 5, 0.0, 0.0)
    wait_s = _takeover_wait.compute_takeover_end(get_lease(settings),
                                                 former_leader, None)
    return Wait("takeover wait", datetime.timedelta(seconds=wait_s))


def list_resignation_waits() -> list[Wait]:
    """Returns the waits from the last plan of a leader that stops in order.

    They end when the other daemons know that it has resigned.
    """
    return [
        Wait("replies to the last orders", _group_leader.ORDER_END_TIMEOUT),
        Wait("append of the last progress", STORE_CALL_TIME),
        RESIGNATION_READ,
    ]


def list_election_waits() -> list[Wait]:
    """Returns the waits from the due time of a takeover to the first starts.

    One daemon that ranks higher does not claim the group although it can be
    reached: it is stopping.
    """
    return [
        Wait("check of the groups", _daemon.ELECTION_INTERVAL),
        Wait("delay of the second-ranked candidate, of another domain",
             _election.RANK_DELAY + _election.OTHER_DOMAIN_DELAY),
        Wait("read before the claim", _daemon.CLAIM_CHECK_DELAY),
        Wait("claim, and its read", 2 * STORE_CALL_TIME),
        Wait(
            "first record of the leader", _group_leader.CLAIM_SETTLE_DELAY +
            _group_leader.FLUSH_DELAY + STORE_CALL_TIME),
        Wait("first status polls", WORKER_CALL_TIME),
    ]


def list_former_run_waits(settings: SiteSettings,
                          restart_count: int) -> list[Wait]:
    """Returns the waits for a run whose worker has left unseen.

    The rest of the lease is handed over with each restart of the leader, and
    counts from the moment at which the successor reads it.

    Args:
        settings: Settings of the site.
        restart_count: Restarts of the leader while the lease lasts.
    """
    return [
        build_lease_expiry(settings), *[RESIGNATION_READ] * restart_count,
        PLAN_AFTER_TIME, START
    ]


def list_move_waits(
    delay: datetime.timedelta = _move_delays.RESERVED_TASK_MOVE_DELAY
) -> list[Wait]:
    """Returns the waits from the first attempt to start to a run elsewhere.

    Args:
        delay: Delay before the move; by default the longest.
    """
    return [
        Wait("lack of capacity before a move", delay),
        PLAN_AFTER_TIME,
        Wait("append of the move", STORE_CALL_TIME),
        TOPIC_READ,
        PLAN_AFTER_EVENT,
        START,
    ]


def compute_sum(waits: list[Wait]) -> datetime.timedelta:
    """Returns the sum of the bounds of some waits."""
    return sum((wait.duration for wait in waits), datetime.timedelta(0))


class WaitSumTestCase(unittest.TestCase):
    """Base of tests that compare sums of waits with a limit."""

    def assert_within(self, waits: list[Wait],
                      limit: datetime.timedelta) -> None:
        """Fails if the sum of some waits is above a limit."""
        self.assertLessEqual(
            compute_sum(waits), limit, "\n" +
            "\n".join(f"{wait.duration.total_seconds():7.3f} s {wait.name}"
                      for wait in waits))


class LeaseExpiryTest(unittest.TestCase):
    """Tests that the runs of a silent worker end within the bound."""

    def test_lease_certainly_expires_within_the_bound(self):
        """Guards against a sum with a lease that the scheduler exceeds."""
        for site, settings in SITES.items():
            with self.subTest(site):
                worker = _workers.WorkerState(
                    builders.build_worker(),
                    builders.GroupDriver().scheduler.timings)
                worker.update_clock(1000, 100.0)
                # The clock was last read long before the renewal.
                worker.extend_lease(102.0, get_lease(settings))
                bound_s = build_lease_expiry(settings).duration.total_seconds()
                self.assertTrue(worker.is_lease_expired(102.0 + bound_s +
                                                        0.002))
                self.assertFalse(worker.is_lease_expired(102.0 + bound_s -
                                                         0.01))


class ElectionDelayTest(unittest.TestCase):
    """Tests the delay of the second-ranked candidate."""

    def test_delay_beside_a_member_that_is_stopping(self):
        """Guards against a sum with a delay that the election exceeds.

        The other member is of the group's own domain, and can be reached.
        """
        bound = _election.RANK_DELAY + _election.OTHER_DOMAIN_DELAY
        for domain in ("n1", "n2"):
            members = {
                "a": test_election.build_member("a"),
                "c": test_election.build_member("c", domain)
            }
            with self.subTest(domain):
                view = test_election.build_election_view(
                    "c",
                    100.0 + bound.total_seconds() + 0.001,
                    members=members,
                    reachable_nodes=frozenset({"a"}))
                self.assertEqual(
                    dispatch.find_reason_to_lead(
                        "n1",
                        test_election.build_leader(node="",
                                                   last_record_read_at=100.0),
                        view), "leader resigned")


class CandidateLossTest(unittest.TestCase):
    """Tests the time until further candidates are known."""

    def test_further_candidates_are_known_within_the_silence_limit(self):
        """Guards against a takeover that waits for dials beyond the sums."""
        settings = _peering.LINK_SETTINGS
        self.assertLessEqual(
            settings.suspect_limit + _daemon.ELECTION_INTERVAL +
            settings.dial_timeout, _election.SILENCE_LIMIT)


class LeavingWorkerTest(WaitSumTestCase):
    """Tests the sums for a worker that leaves as announced."""

    def test_runs_are_stopped_before_the_worker_exits(self):
        """Guards against runs whose end no report shows.

        The leader would have to wait for the end of their lease.
        """
        for site, settings in SITES.items():
            with self.subTest(site):
                self.assert_within([
                    REGISTRY_READ, PLAN_AFTER_EVENT,
                    Wait("stop order", WORKER_CALL_TIME),
                    Wait("stop of the run", settings.stop_limit)
                ], DRAIN_TIME)

    def test_task_of_a_stopped_run(self):
        """Guards against a wait after the end of a run was reported."""
        self.assert_within([
            Wait("reply to the status poll", WORKER_CALL_TIME),
            PLAN_AFTER_EVENT,
            START,
        ], RESTART_LIMIT)

    def test_task_of_a_run_that_ended_with_the_worker(self):
        """Guards against a lease that is too long for a short notice.

        The worker exits before its runs are stopped, and its last status report
        does not list their ends.
        """
        for site, settings in SITES.items():
            with self.subTest(site):
                self.assert_within(
                    [build_lease_expiry(settings), PLAN_AFTER_TIME, START],
                    RESTART_LIMIT)

    def test_task_that_only_another_group_can_take(self):
        """Guards against a task that waits for the lease of its old run.

        The run is stopped in time, like that of a task for which its own group
        has room (`test_step_moves.LeavingRunTest`). The task then moves.
        """
        self.assert_within([
            Wait("reply to the status poll", WORKER_CALL_TIME),
            PLAN_AFTER_EVENT, *list_move_waits()
        ], RESTART_LIMIT)


class LeaderChangeTest(WaitSumTestCase):
    """Tests the sums for planned changes of the leader of a group."""

    def test_restart_of_the_leader(self):
        """Guards against an election that takes too long.

        All workers reply to the new leader, or the task has no run that may go
        on at one that does not.
        """
        self.assert_within([
            *list_resignation_waits(), *list_election_waits(), PLAN_AFTER_EVENT,
            START
        ], RESTART_LIMIT)

    def test_two_restarts_in_a_row(self):
        """Guards against a task that waits for two elections.

        The new leader resigns before its first start.
        """
        self.assert_within([
            *(list_resignation_waits() + list_election_waits()) * 2,
            PLAN_AFTER_EVENT, START
        ], RESTART_LIMIT)

    def test_restart_of_the_leader_while_a_worker_leaves(self):
        """Guards against a full takeover wait after a planned restart.

        No report shows the end of the run at the worker.
        """
        for site, settings in SITES.items():
            for restart_count in (1, 2):
                with self.subTest((site, restart_count)):
                    self.assert_within(
                        list_former_run_waits(settings, restart_count),
                        RESTART_LIMIT)

    def test_failback_while_a_worker_leaves(self):
        """Guards against a full takeover wait after a voluntary takeover.

        A leader of another domain hands the group back to a member of the
        group's own domain before that member deposes it. The registry still
        lists a worker that is gone.
        """
        hand_back_time = (_daemon.ELECTION_INTERVAL +
                          compute_sum(list_resignation_waits()))
        self.assertLess(hand_back_time, _election.HAND_BACK_LIMIT)
        for site, settings in SITES.items():
            with self.subTest(site):
                self.assert_within(list_former_run_waits(settings, 1),
                                   RESTART_LIMIT)


class MoveTest(WaitSumTestCase):
    """Tests the sums for tasks that move to another group."""

    def test_task_that_moves_once(self):
        """Guards against a move that takes too long."""
        self.assert_within([PLAN_AFTER_EVENT, *list_move_waits()],
                           RESTART_LIMIT)

    def test_delays(self):
        """Guards against sums with a delay that is not the longest."""
        self.assertLessEqual(_moves.ARRIVAL_MOVE_DELAY,
                             _move_delays.TASK_MOVE_DELAY)
        self.assertLessEqual(_move_delays.TASK_MOVE_DELAY,
                             _move_delays.RESERVED_TASK_MOVE_DELAY)

    def test_task_that_finds_the_room_of_its_new_group_taken(self):
        """Guards against the full delay in a group that it moved to in vain.

        The leaders of several groups have moved tasks into the same room. The
        task tries each group of a site with three, and the last one has room.
        """
        self.assert_within([
            PLAN_AFTER_EVENT, *list_move_waits(),
            *list_move_waits(_moves.ARRIVAL_MOVE_DELAY)
        ], RESTART_LIMIT)

    def test_last_task_of_a_job_that_moves_task_by_task(self):
        """Guards against tasks that wait for the moves of their siblings.

        No task of a job starts or moves while a move of the job is pending.
        """
        sibling_move = [
            PLAN_AFTER_TIME,
            Wait("append of a sibling's move", STORE_CALL_TIME), TOPIC_READ
        ]
        self.assert_within([
            PLAN_AFTER_EVENT, *sibling_move *
            (TASKS_PER_JOB - 1), *list_move_waits()
        ], RESTART_LIMIT)


class FailureTest(WaitSumTestCase):
    """Tests the sums for single failures that no daemon announces."""

    def test_task_on_a_worker_in_quarantine(self):
        """Guards against a worker that is kept out for too long.

        The task fits there only, and another one has just been started as a
        probe.
        """
        self.assert_within([
            Wait("quarantine", _workers.QUARANTINE_DURATION),
            PLAN_AFTER_TIME,
            Wait("time between two probes", _workers.PROBE_INTERVAL),
            PLAN_AFTER_TIME,
            START,
        ], RESTART_LIMIT)

    def test_loss_of_the_leader(self):
        """Guards against a silent leader that is replaced too late.

        Its daemon can be reached as a peer, and all workers reply.
        """
        self.assert_within([
            Wait("silence of the leader", _election.SILENCE_LIMIT),
            *list_election_waits(), PLAN_AFTER_EVENT, START
        ], RESTART_LIMIT)

    def test_loss_of_a_worker(self):
        """Guards against a lease that is renewed after the loss for too long.

        Start orders renew it until a status poll fails, and once more if they
        are repeated. A run younger than the delay of its proof makes its task a
        suspect, whose next start is stored ahead.
        """
        for site, settings in SITES.items():
            with self.subTest(site):
                self.assert_within([
                    Wait(
                        "status poll without a reply",
                        _status_polls.STATUS_WAIT_BUSY +
                        _status_polls.STATUS_REPLY_ALLOWANCE),
                    Wait("start order without a reply, which is repeated",
                         _order_sender.ORDER_TIMEOUT),
                    build_lease_expiry(settings),
                    Wait("delay after a crash", _suspicions.FIRST_RETRY_DELAY),
                    PLAN_AFTER_TIME,
                    Wait("record of the start",
                         _group_leader.FLUSH_DELAY + STORE_CALL_TIME),
                    PLAN_AFTER_EVENT,
                    START,
                ], RESTART_LIMIT + JUDGED_TIME)
