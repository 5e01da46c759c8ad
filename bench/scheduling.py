"""Scenarios of the scheduler: the naive policy against the current one.

Run with `python -m bench.scheduling [--json PATH] [SCENARIO ...]`. Every
scenario runs on the same seeds with each policy. The time is simulated, so
that the results do not depend on the machine.
"""

import argparse
import concurrent.futures
import json
import pathlib
import random
import statistics
import time
from typing import Callable, NamedTuple

from bench import scheduling_model
from gentianlead import model
from gentianlead import scheduling

SEEDS = (1, 2, 3, 4, 5)
WORKERS = 24
PROCESSES = 4
_RACK_SIZE = 8
_CAPACITY = model.Resources(32_000, 125_000)
_SERVICES = ("service-1", "service-2", "service-3")

POLICIES: dict[str, scheduling_model.Schedulers] = {
    "naive": scheduling.BaselineScheduler,
    "current": scheduling.DomainScheduler,
}


class ScenarioResult(NamedTuple):
    """Figures of one scenario, policy and seed.

    Attributes:
        scenario: Name of the scenario.
        policy: `naive` or `current`.
        seed: Seed.
        slowdown_p99: 99th percentile of the services' slowdown.
        slowdown_mean: Mean of the services' slowdown.
        throughput_share: Useful work as a share of what the capacity that was
            left allows, or of what was submitted when that is less.
        evictions: Runs moved or stopped by choice of the policy.
        forced_moves: Runs moved or stopped because of a cancellation or a
            domain that was taken out.
        throttles: Orders that throttle a run.
        lost_work: Core seconds of progress lost.
        failures: Runs that failed.
        memory_kills: Runs killed because a worker's memory ran out.
        violations: Workers committed beyond their capacity.
        rejected_claims: Claims that the fold rejected.
        details: Further figures of the scenario.
    """

    scenario: str
    policy: str
    seed: int
    slowdown_p99: float
    slowdown_mean: float
    throughput_share: float
    evictions: int
    forced_moves: int
    throttles: int
    lost_work: float
    failures: int
    memory_kills: int
    violations: int
    rejected_claims: int
    details: dict[str, float]


def _list_targets(service: int) -> tuple[str, ...]:
    return tuple(f"worker-{i}" for i in range(service, WORKERS, len(_SERVICES)))


class _Setup:
    """A world with domains, workers and generated jobs."""

    def __init__(self, policy: str, seed: int, domains: int = 1):
        self.random = random.Random(seed)
        names = [f"domain-{i}" for i in range(domains)]
        configuration = model.Configuration(
            domains={name: model.Domain(name, "region-1") for name in names},
            services={
                name: model.Service(name, _list_targets(i))
                for i, name in enumerate(_SERVICES)
            })
        self.world = scheduling_model.World(POLICIES[policy], configuration,
                                            seed + 1000)
        self._jobs = 0
        self._policy, self._seed = policy, seed
        for i, name in enumerate(names):
            per_domain = WORKERS // domains
            self.world.add_domain(name, [
                self._build_worker(i * per_domain + j)
                for j in range(per_domain)
            ])

    def _build_worker(self, i: int) -> scheduling_model.FakeWorker:
        services = (_SERVICES[i % len(_SERVICES)],)
        return scheduling_model.FakeWorker(f"worker-{i}",
                                           f"rack-{i // _RACK_SIZE}", _CAPACITY,
                                           services)

    def build_truth(self,
                    tasks: int,
                    work: float,
                    declared_factor: Callable[[], float] = lambda: 1.0,
                    **fields: object) -> scheduling_model.JobTruth:
        """Returns a job of random size."""
        self._jobs += 1
        used = model.Resources(self.random.randrange(1000, 6000, 500),
                               self.random.randrange(2000, 20_000, 1000))
        declared = model.Resources(
            min(_CAPACITY.cpu_millis,
                round(used.cpu_millis * declared_factor())),
            min(_CAPACITY.memory_mib,
                round(used.memory_mib * declared_factor())))
        spec = model.JobSpec(f"job-{self._jobs}",
                             tasks=tasks,
                             resources=declared,
                             run_time_ms=round(work * 1000 * declared_factor()),
                             **fields)
        return scheduling_model.JobTruth(spec, used, work)

    def build_result(self, scenario: str, share: float,
                     **details: float) -> ScenarioResult:
        """Returns the result from the tally."""
        tally = self.world.tally
        slowdowns = sorted(tally.service_slowdowns) or [1.0]
        return ScenarioResult(
            scenario, self._policy, self._seed,
            round(slowdowns[int(0.99 * (len(slowdowns) - 1))], 3),
            round(statistics.fmean(slowdowns), 3), round(share, 4),
            tally.evictions, tally.forced_moves, tally.throttles,
            round(tally.lost_work), tally.failures, tally.memory_kills,
            tally.violations, tally.rejected_claims, details)


def compute_fluid_rate(truths: list[scheduling_model.JobTruth],
                       capacity: model.Resources) -> float:
    """Returns the most core seconds per second that the jobs can do.

    The bound treats tasks as divisible and free of interference: the scarcer
    of processors and memory, at the jobs' mean need, is used in full.
    """
    cpu = sum(t.used.cpu_millis * t.work * t.spec.tasks for t in truths)
    memory = sum(t.used.memory_mib * t.work * t.spec.tasks for t in truths)
    seconds = max(cpu / capacity.cpu_millis, memory / capacity.memory_mib)
    return cpu / 1000 / seconds


def run_noisy_waves(policy: str, seed: int) -> ScenarioResult:
    """Noisy jobs arrive in waves beside three services."""
    setup = _Setup(policy, seed)
    world, source = setup.world, setup.random
    truths = []

    def submit(is_noisy: bool) -> None:
        truth = setup.build_truth(source.randrange(10, 40),
                                  source.uniform(60, 240))
        _draw_effects(world.interference, truth, truths, is_noisy, source)
        truths.append(truth)
        world.submit(truth)

    for i in range(40):
        world.clock.call_in(i * 30.0, lambda: submit(False))
    for wave in (200.0, 500.0, 800.0):
        for i in range(4):
            world.clock.call_in(wave + i, lambda: submit(True))
    world.clock.run_until(1200.0)
    submitted = sum(
        t.used.cpu_millis / 1000 * t.work * t.spec.tasks for t in truths)
    allowed = min(submitted,
                  1200 * compute_fluid_rate(truths, _CAPACITY.times(WORKERS)))
    return setup.build_result("noisy_waves", world.measure_work() / allowed)


def _draw_effects(interference: scheduling_model.Interference,
                  truth: scheduling_model.JobTruth,
                  others: list[scheduling_model.JobTruth], is_noisy: bool,
                  source: random.Random) -> None:
    """A noisy job harms one or two services; a few pairs of jobs collide."""
    job_id = truth.spec.job_id
    victims = source.sample(_SERVICES, source.choice((1, 2)))
    for service in _SERVICES:
        effect = source.uniform(0.0, 0.02)
        if is_noisy and service in victims:
            effect = source.uniform(0.2, 0.8)
        interference.effects[(service, job_id)] = effect
    for other in others:
        if source.random() < 0.1:
            pair = (job_id, other.spec.job_id)
            interference.effects[pair] = source.uniform(0.1, 0.5)
            interference.effects[pair[::-1]] = source.uniform(0.1, 0.5)


def run_domain_leaves(policy: str, seed: int) -> ScenarioResult:
    """Operators take one of three domains out, and bring it back."""
    return _run_domain_outage("domain_leaves", policy, seed, False)


def run_domain_lost(policy: str, seed: int) -> ScenarioResult:
    """The workers of a domain vanish; it is taken out 20 s later."""
    return _run_domain_outage("domain_lost", policy, seed, True)


def _run_domain_outage(scenario: str, policy: str, seed: int,
                       is_sudden: bool) -> ScenarioResult:
    setup = _Setup(policy, seed, domains=3)
    world, source = setup.world, setup.random
    truths = [
        setup.build_truth(source.randrange(20, 60), source.uniform(60, 240))
        for _ in range(80)
    ]
    for truth in truths:
        world.submit(truth)
    clock = world.clock
    if policy == "current":
        world.balance()
    clock.run_until(400.0)
    before = world.measure_work()
    if is_sudden:
        world.domains["domain-0"].lose_workers()
        clock.run_until(420.0)
    world.set_in_service("domain-0", False)
    clock.run_until(900.0)
    during = world.measure_work()
    world.domains["domain-0"].restore_workers()
    world.set_in_service("domain-0", True)
    clock.run_until(1400.0)
    after = world.measure_work()
    remaining = compute_fluid_rate(truths, _CAPACITY.times(WORKERS * 2 // 3))
    full = compute_fluid_rate(truths, _CAPACITY.times(WORKERS))
    return setup.build_result(scenario, (during - before) / (500 * remaining),
                              share_before=round(before / (400 * full), 4),
                              share_after=round((after - during) / (500 * full),
                                                4))


def run_wrong_sizes(policy: str, seed: int) -> ScenarioResult:
    """Declared sizes and run times are 0.25 to 4 times the real ones."""
    setup = _Setup(policy, seed)
    world, source = setup.world, setup.random
    truths = [
        setup.build_truth(source.randrange(20, 80), source.uniform(60, 240),
                          lambda: 2**source.uniform(-2.0, 2.0))
        for _ in range(60)
    ]
    for i, truth in enumerate(truths):
        world.clock.call_in(i * 5.0, lambda t=truth: world.submit(t))
    world.clock.run_until(1200.0)
    rate = compute_fluid_rate(truths, _CAPACITY.times(WORKERS))
    return setup.build_result("wrong_sizes",
                              world.measure_work() / (1200 * rate))


def run_cancellation_burst(policy: str, seed: int) -> ScenarioResult:
    """Half of 300 jobs are cancelled at once."""
    setup = _Setup(policy, seed)
    world, source = setup.world, setup.random
    truths = [
        setup.build_truth(source.randrange(5, 60), source.uniform(60, 240))
        for _ in range(300)
    ]
    for truth in truths:
        world.submit(truth)
    world.clock.run_until(200.0)
    before = world.measure_work()
    cancelled = source.sample(truths, 150)
    domain = world.domains["domain-0"]
    begun = time.process_time()
    for truth in cancelled:
        domain.cancel_job(truth.spec.job_id)
    cost = time.process_time() - begun
    world.clock.run_until(260.0)
    left = sum(t.spec.job_id in domain.state_machine.jobs for t in cancelled)
    world.clock.run_until(600.0)
    rate = compute_fluid_rate(truths, _CAPACITY.times(WORKERS))
    share = (world.measure_work() - before) / (400 * rate)
    return setup.build_result("cancellation_burst",
                              share,
                              open_after_60_s=left,
                              cancel_cost_ms_per_job=round(
                                  1000 * cost / 150, 4))


def run_failing_worker(policy: str, seed: int) -> ScenarioResult:
    """One worker fails every task, and one job fails on every worker."""
    setup = _Setup(policy, seed)
    world, source = setup.world, setup.random
    truths = [
        setup.build_truth(source.randrange(20, 60), source.uniform(30, 120))
        for _ in range(60)
    ]
    broken = setup.build_truth(30, 60.0)._replace(is_broken=True)
    for truth in truths + [broken]:
        world.submit(truth)
    domain = world.domains["domain-0"]
    bad = source.choice(list(domain.workers))
    world.clock.run_until(100.0)
    domain.workers[bad].fails_all = True
    world.clock.run_until(800.0)
    quarantined = domain.scheduler.list_quarantined()
    rate = compute_fluid_rate(truths, _CAPACITY.times(WORKERS - 1))
    return setup.build_result(
        "failing_worker",
        world.measure_work() / (800 * rate),
        is_bad_worker_found=float(bad in quarantined),
        healthy_in_quarantine=float(len(set(quarantined) - {bad})),
        is_broken_job_reported=float(
            any(job.job_id == broken.spec.job_id
                for job in domain.scheduler.list_failing_jobs())))


def run_urgent_work(policy: str, seed: int) -> ScenarioResult:
    """Urgent tasks arrive in a domain that a borrowing team has filled."""
    setup = _Setup(policy, seed)
    world, source = setup.world, setup.random
    teams = {
        "team-1": model.Team("team-1", model.Resources(1000, 1000)),
        "team-2": model.Team("team-2", _CAPACITY.times(WORKERS // 3)),
    }
    world.configuration = world.configuration._replace(teams=teams)
    domain = world.domains["domain-0"]
    domain.scheduler.set_configuration(world.configuration)
    truths = [
        setup.build_truth(source.randrange(20, 60),
                          source.uniform(120, 600),
                          team="team-1") for _ in range(60)
    ]
    for truth in truths:
        world.submit(truth)
    for i in range(20):
        urgent = setup.build_truth(source.randrange(1, 8),
                                   source.uniform(10, 60),
                                   team="team-2",
                                   is_urgent=True)
        truths.append(urgent)
        world.clock.call_in(60.0 + 20.0 * i + source.random(),
                            lambda t=urgent: world.submit(t))
    world.clock.run_until(500.0)
    rate = compute_fluid_rate(truths, _CAPACITY.times(WORKERS))
    waits = sorted(world.tally.urgent_waits)
    return setup.build_result(
        "urgent_work",
        world.measure_work() / (500 * rate),
        urgent_tasks=float(sum(
            t.spec.tasks for t in truths if t.spec.is_urgent)),
        urgent_starts=float(len(waits)),
        longest_urgent_wait_s=round(waits[-1], 3),
        mean_urgent_wait_s=round(statistics.fmean(waits), 3))


SCENARIOS: dict[str, Callable[[str, int], ScenarioResult]] = {
    "noisy_waves": run_noisy_waves,
    "domain_leaves": run_domain_leaves,
    "domain_lost": run_domain_lost,
    "wrong_sizes": run_wrong_sizes,
    "cancellation_burst": run_cancellation_burst,
    "failing_worker": run_failing_worker,
    "urgent_work": run_urgent_work,
}
"""Scenarios by name; each takes a policy of `POLICIES` and a seed."""


def _run(scenario: str, policy: str, seed: int) -> ScenarioResult:
    return SCENARIOS[scenario](policy, seed)


def run_all(scenarios: list[str]) -> list[ScenarioResult]:
    """Runs the scenarios with all policies and seeds, in a few processes."""
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        futures = [
            pool.submit(_run, scenario, policy, seed)
            for scenario in scenarios
            for policy in POLICIES
            for seed in SEEDS
        ]
        return [future.result() for future in futures]


_COLUMNS = ("slowdown_p99", "throughput_share", "evictions", "forced_moves",
            "throttles", "lost_work", "failures", "memory_kills", "violations",
            "rejected_claims")


def print_results(results: list[ScenarioResult]) -> None:
    """Prints the mean over the seeds for each scenario and policy."""
    groups: dict[tuple[str, str], list[ScenarioResult]] = {}
    for result in results:
        groups.setdefault((result.scenario, result.policy), []).append(result)
    print(f"{'scenario':20}{'policy':9}" +
          "".join(f"{name[:12]:>13}" for name in _COLUMNS))
    for (scenario, policy), group in groups.items():
        means = [
            statistics.fmean(getattr(result, name)
                             for result in group)
            for name in _COLUMNS
        ]
        print(f"{scenario:20}{policy:9}" +
              "".join(f"{mean:13.3f}" for mean in means))
        for name in group[0].details:
            values = [result.details[name] for result in group]
            print(f"{'':20}  {name}: {statistics.fmean(values):.4f} "
                  f"({min(values):.4f} to {max(values):.4f})")


def main() -> None:
    """Runs the scenarios named on the command line, or all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenarios", nargs="*", metavar="SCENARIO")
    parser.add_argument("--json", type=pathlib.Path)
    arguments = parser.parse_args()
    results = run_all(arguments.scenarios or list(SCENARIOS))
    print_results(results)
    if arguments.json is not None:
        rows = [result._asdict() for result in results]
        arguments.json.write_text(json.dumps(rows, indent=1) + "\n",
                                  encoding="utf-8")


if __name__ == "__main__":
    main()
