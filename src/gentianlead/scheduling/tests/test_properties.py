"""Property tests of decisions under renaming, and of concurrent schedulers."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from gentianlead import model
from gentianlead import ports
from gentianlead import scheduling
from gentianlead import state
from gentianlead.scheduling.tests import domains

_HYPOTHESIS_SETTINGS = hypothesis.settings(derandomize=True,
                                           deadline=None,
                                           max_examples=30)
_STEP_NAME_LISTS = strategies.lists(strategies.sampled_from(
    ("open", "start", "finish", "fail", "report", "slow", "evict", "cancel",
     "leave")),
                                    min_size=10,
                                    max_size=40)


class _ScriptedDomain:
    """Runs named steps in a domain in which all names start with `prefix`.

    The seed determines the random choices, such as the run that finishes.
    """

    def __init__(self, prefix: str, seed: int):
        self._prefix = prefix
        self._random = random.Random(seed)
        team_names = [prefix + name for name in ("a", "b")]
        quota = model.Resources(6000, 6000)
        teams = {name: model.Team(name, quota) for name in team_names}
        workers = [f"{prefix}w{index}" for index in range(6)]
        services = {
            prefix + "s": model.Service(prefix + "s", tuple(workers[:3]))
        }
        self._team_names = team_names
        self._opened_job_count = 0
        self._running_starts: list[scheduling.PlannedStart] = []
        self.domain = domains.DomainFixture(
            model.Configuration(teams=teams, services=services))
        for index, worker in enumerate(workers):
            self.domain.append_record(
                model.WorkerPut(worker, f"{prefix}r{index % 2}",
                                model.Resources(4000, 4000)))

    def run(self, step_name: str) -> list[str]:
        """Runs the `_run_` method of a step, 7 s after the previous step.

        Returns the planned starts or orders as text, with the prefix removed.
        """
        self.domain.now += 7.0
        decisions = getattr(self, f"_run_{step_name}")() or []
        return [
            repr(decision).replace(self._prefix, "") for decision in decisions
        ]

    def _run_open(self) -> None:
        self._opened_job_count += 1
        task_size = model.Resources(self._random.choice((500, 1000, 2500)),
                                    self._random.choice((500, 1500)))
        self.domain.open_job(
            model.JobSpec(f"{self._prefix}j{self._opened_job_count}",
                          self._random.choice(self._team_names),
                          self._random.choice(("batch", "batch", "watcher")),
                          1,
                          task_size,
                          is_urgent=self._random.random() < 0.2))

    def _run_start(self) -> list[scheduling.PlannedStart]:
        starts = self.domain.start_tasks(4)
        self._running_starts.extend(starts)
        return starts

    def _pop_random_run(self) -> scheduling.PlannedStart | None:
        if not self._running_starts:
            return None
        return self._running_starts.pop(
            self._random.randrange(len(self._running_starts)))

    def _run_finish(self) -> None:
        start = self._pop_random_run()
        if start is not None:
            self.domain.finish_run(start)

    def _run_fail(self) -> None:
        start = self._pop_random_run()
        if start is not None:
            self.domain.release_run(start, "failed")

    def _run_report(self) -> None:
        for start in self._running_starts:
            run_key = ports.RunKey(start.job_id, start.task, start.run)
            report = ports.UsageReport(run_key, 0, start.resources.times(2),
                                       1 + self._random.random())
            self.domain.scheduler.observe_usage(start.worker, report,
                                                self.domain.now - 3.0)

    def _run_slow(self) -> None:
        for worker in list(self.domain.state_machine.workers)[:3]:
            self.domain.scheduler.observe_service_slowdown(
                worker, self._prefix + "s", 1 + self._random.random(),
                self.domain.now - 3.0)

    def _run_evict(self) -> list[scheduling.Eviction]:
        return self.domain.plan_evictions()

    def _run_cancel(self) -> None:
        self.domain.scheduler.cancel_job(f"{self._prefix}j1")

    def _run_leave(self) -> None:
        worker = list(
            self.domain.state_machine.workers)[self._random.randrange(6)]
        self.domain.scheduler.set_leaving_workers([worker])


class NamesTest(unittest.TestCase):
    """Tests that decisions do not depend on a prefix of all names."""

    @_HYPOTHESIS_SETTINGS
    @hypothesis.given(_STEP_NAME_LISTS, strategies.integers(0, 1000))
    def test_renaming_prefixes_changes_no_decision(self, step_names: list[str],
                                                   seed: int) -> None:
        """Checks that a prefix of all names does not change the decisions.

        The same steps run in two domains. All names in a domain begin with its
        prefix, and the names in both domains are equal apart from it. Guards
        against decisions that depend on the text of names.
        """
        first_domain = _ScriptedDomain("old-department-", seed)
        second_domain = _ScriptedDomain("Zz.", seed)
        for step_name in ["open"] * 5 + step_names:
            self.assertEqual(first_domain.run(step_name),
                             second_domain.run(step_name))


class RacingPlannersTest(unittest.TestCase):
    """Tests that three schedulers together fill but not overcommit workers."""

    @_HYPOTHESIS_SETTINGS
    @hypothesis.given(
        strategies.lists(strategies.tuples(strategies.integers(0, 2),
                                           strategies.integers(1, 6)),
                         min_size=1,
                         max_size=25),
        strategies.randoms(use_true_random=False))
    def test_racing_planners_never_overcommit(
            self, turns: list[tuple[int, int]],
            random_source: random.Random) -> None:
        """Checks that runs fit their workers, and fill them in the end.

        Claims of different schedulers are applied in random order, so that some
        of them conflict and are rejected. After each claim, the runs must fit
        their workers. In the end, 12 of the 30 tasks must run, as many as the
        workers hold. Guards against overcommitted workers, and against tasks
        that never start after a rejected claim.
        """
        domain = domains.DomainFixture()
        domain.put_workers(3)
        domain.open_job(
            model.JobSpec("job-1",
                          tasks=30,
                          resources=model.Resources(900, 700)))
        schedulers = [domain.scheduler] + [
            scheduling.DomainScheduler(domain.state_machine,
                                       model.Configuration(), "domain-1",
                                       lambda: domain.now) for _ in range(2)
        ]
        unapplied_claims: list[tuple[int, scheduling.PlannedStart]] = []
        for scheduler_index, max_starts in turns + [(0, 99), (1, 99), (2, 99)]:
            unapplied_claims.extend(
                (scheduler_index, start)
                for start in schedulers[scheduler_index].plan_starts(
                    domain.now, max_starts))
            while unapplied_claims and random_source.random() < 0.7:
                self._apply_claim(
                    domain, schedulers,
                    unapplied_claims.pop(
                        random_source.randrange(len(unapplied_claims))))
        for claim in unapplied_claims:
            self._apply_claim(domain, schedulers, claim)
        self._plan_and_apply_rest(domain, schedulers)

    def _apply_claim(self, domain: domains.DomainFixture,
                     schedulers: list[scheduling.DomainScheduler],
                     claim: tuple[int, scheduling.PlannedStart]) -> None:
        scheduler_index, start = claim
        verdict = domain.append_record(
            start.build_claim(f"entry-{scheduler_index}"))
        if not verdict.is_accepted:
            schedulers[scheduler_index].discard_claim(start)
        self._check_capacity(domain.state_machine)

    def _plan_and_apply_rest(
            self, domain: domains.DomainFixture,
            schedulers: list[scheduling.DomainScheduler]) -> None:
        for scheduler_index, scheduler in enumerate(schedulers):
            for start in scheduler.plan_starts(domain.now, 99):
                self._apply_claim(domain, schedulers, (scheduler_index, start))
        self.assertEqual(len(domain.state_machine.runs), 12)

    def _check_capacity(self, state_machine: state.DomainStateMachine) -> None:
        for worker in state_machine.workers.values():
            used_resources = model.Resources()
            for task_key in worker.runs:
                used_resources = used_resources.plus(
                    state_machine.runs[task_key].resources)
            self.assertTrue(used_resources.fits_in(worker.capacity),
                            worker.name)
