"""Tests of runs while leaders and daemons are late and nothing is impaired.

To run many days by hand, and count the broken ones by kind:
`python -m gentianlead.dispatch.tests.test_late_fleets FIRST_SEED END_SEED`.
"""

import collections
import sys
from typing import NamedTuple
import unittest

from gentianlead import dispatch
from gentianlead import model
from gentianlead import ports
from gentianlead.dispatch.tests import builders
from gentianlead.dispatch.tests import fleet_workers
from gentianlead.dispatch.tests import late_fleets

SEEDS = range(12)
TROUBLED_S = 8.0
CALM_S = 24.0
CASE_S = 10.0

TASK = model.TaskKey("00000000000000aa", 0, 0, 0)


class Case(NamedTuple):
    """Course of a day on which group n1 has a task, and nothing is impaired.

    Times are in seconds from the start of the first run.

    Attributes:
        name: Description.
        late_until: Time until which replies of the worker of the run are late.
        others_late_until: The same for the other workers of n1.
        next_late_until: The same for the workers of n2.
        next_read_at: Time at which the leader of n2 reads the topic next.
        moves: Earliest times of moves of the job, and their destinations.
    """

    name: str
    late_until: float
    others_late_until: float = 0.0
    next_late_until: float = 0.0
    next_read_at: float = 0.0
    moves: tuple[tuple[float, str], ...] = ()


CASES = (
    Case("lost-worker", 3.0),
    Case("known-end, the next group reads of it", 3.0, 5.0, 0.0, 4.5,
         ((1.0, "n2"),)),
    Case("known-end, the job comes back", 3.0, 3.0, 6.0, 0.0,
         ((1.0, "n2"), (4.0, "n1"))),
)


class CaseWorker(fleet_workers.WorkerModel):
    """Models a worker whose runs are all done after the same time."""

    def _draw_end(self, now: float,
                  _: model.TaskKey) -> tuple[float, ports.EndCause]:
        return now + 0.3, ports.EndCause.DONE


class CaseSite(late_fleets.LateSite):
    """Models the day of a case, without other troubles."""

    min_late_reply_s = 0.9
    worker_class = CaseWorker

    def run_case(self, case: Case) -> None:
        """Runs the day."""
        self.move_rate = 0.0
        # The starts of the leaders are not near any more.
        self.run(2 * self.contact_s, 0.0)
        self.store.append("", 1, [
            dispatch.AcceptedRecord(
                builders.build_job(TASK.job_id,
                                   builders.build_step(1),
                                   assignment=("n1",)), "a#1")
        ])
        while not self.observer.is_active(TASK):
            self.run(self.tick_s, 0.0)
        for worker in self.workers.values():
            late_until = (case.late_until if worker.is_active(TASK) else {
                "n1": case.others_late_until,
                "n2": case.next_late_until
            }.get(worker.group, 0.0))
            self.delay_replies(worker.worker_id, late_until)
        self.delay_read("n2", case.next_read_at)
        started_at, group = self.now, "n1"
        moves = list(case.moves)
        while self.now < started_at + CASE_S:
            self.run(self.tick_s, 0.0)
            if moves and self.now - started_at >= moves[0][0]:
                (leader,) = (daemon.leaders[group]
                             for daemon in self._daemons
                             if group in daemon.leaders)
                for job in leader.scheduler.list_movable_jobs():
                    _, group = moves.pop(0)
                    leader.move_job(job, group)

    def _draw_troubles(self) -> None:
        """Does nothing."""


class LateFleetTest(unittest.TestCase):
    """Tests days on which an end counts once its worker has listed it."""

    def check_cases(self, kind: str) -> None:
        """Runs the cases of a kind."""
        for case in CASES:
            if case.name.startswith(kind):
                with self.subTest(case.name):
                    site = CaseSite(0)
                    site.run_case(case)
                    self.assertEqual(site.observer.kinds, {})

    def test_runs_of_late_leaders(self):
        """Guards against a late leader that gives up runs of workers in use."""
        self.check_cases("lost-worker")

    def test_ends_of_tasks_of_other_groups(self):
        """Guards against a leader that tells nobody of the end of a task.

        Another group had the task, and started it although it was done.
        """
        self.check_cases("known-end")

    def test_drawn_days(self):
        """Guards against the same on days with other troubles beside them.

        All jobs must have ended some seconds after the troubles.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                site = late_fleets.LateSite(seed)
                site.run(TROUBLED_S, CALM_S)
                self.assertEqual(site.observer.violations, [])
                self.assertEqual(site.list_unfinished_jobs(), [])


def print_days(seeds: range) -> None:
    """Runs days and prints how many of them break a rule, by kind."""
    days: dict[str, list[int]] = collections.defaultdict(list)
    counts: collections.Counter[str] = collections.Counter()
    for seed in seeds:
        site = late_fleets.LateSite(seed)
        site.run(TROUBLED_S, CALM_S)
        kinds = dict(site.observer.kinds)
        if kinds:
            kinds["any"] = sum(kinds.values())
        if site.list_unfinished_jobs():
            kinds["unfinished"] = len(site.list_unfinished_jobs())
        counts.update(kinds)
        for kind in kinds:
            days[kind].append(seed)
    print(f"days {seeds.start} to {seeds.stop - 1}")
    for kind, broken_seeds in sorted(days.items()):
        print(f"{kind}: {counts[kind]} on {len(broken_seeds)} days, first "
              f"{broken_seeds[:12]}")


if __name__ == "__main__":
    print_days(range(int(sys.argv[1]), int(sys.argv[2])))
