"""Selection of the failure domain that runs a job."""

from typing import NamedTuple

from gentianlead import model

MIN_LOAD_GAP = 0.1
"""Minimum difference between the loads of two domains, which are shares of
their capacities. A job moves only if, after the move, the load of its source
domain would still exceed that of the destination by at least this much."""


class DomainLoad(NamedTuple):
    """Capacity of a domain and the work assigned to it.

    Attributes:
        domain: Name of the domain.
        is_in_service: Whether the domain may start work.
        capacity: Total capacity of its workers.
        assigned_resources: Total resources of the unfinished tasks of the jobs
            that are assigned to the domain.
    """

    domain: str
    is_in_service: bool
    capacity: model.Resources
    assigned_resources: model.Resources

    def compute_load(self, added_resources: model.Resources) -> float:
        """Returns the load after adding resources, as a share of capacity.

        The result is the highest ratio of assigned amount to capacity among
        processors, memory and accelerators; infinity if a resource is assigned
        of which the domain has none.
        """
        total_assigned = self.assigned_resources.plus(added_resources)
        return max((assigned_amount /
                    capacity_amount if capacity_amount else float("inf"))
                   for assigned_amount, capacity_amount in zip(
                       total_assigned, self.capacity)
                   if assigned_amount) if any(total_assigned) else 0.0


class JobMove(NamedTuple):
    """A move of a waiting job to another domain.

    Attributes:
        job_id: Job to close in its present domain.
        domain: Domain in which to reopen the job.
    """

    job_id: str
    domain: str


def plan_moves(
        source_domain: str, loads: list[DomainLoad],
        waiting_jobs: list[tuple[str, model.Resources]]) -> list[JobMove]:
    """Returns moves of waiting jobs from a full domain to less loaded ones.

    Jobs move only while the load of the source domain is above 1.0. This
    balances the load after a domain has returned to service: the returned
    domain is empty, while jobs still queue in the other domains. A job moves
    only if the source domain remains more loaded than the destination by at
    least `MIN_LOAD_GAP` after the move, so that jobs do not move back and
    forth. A job that does not meet this condition is skipped.

    Args:
        source_domain: Domain in which the jobs wait.
        loads: Loads of all domains.
        waiting_jobs: Ids of jobs without a live run, each with the total
            resources of its unfinished tasks, in the order in which to move
            them.
    """
    loads_by_domain = {load.domain: load for load in loads}
    moves: list[JobMove] = []
    no_resources = model.Resources()
    for job_id, job_resources in waiting_jobs:
        source_load = loads_by_domain[source_domain]
        other_loads = [
            load for load in loads_by_domain.values()
            if load.domain != source_domain
        ]
        destination_domain = choose_domain(other_loads, job_resources)
        if destination_domain is None or source_load.compute_load(
                no_resources) <= 1.0:
            break
        destination_load = loads_by_domain[destination_domain]
        source_load_after = source_load._replace(
            assigned_resources=source_load.assigned_resources.minus(
                job_resources))
        if source_load_after.compute_load(
                no_resources
        ) < destination_load.compute_load(job_resources) + MIN_LOAD_GAP:
            continue
        loads_by_domain[source_domain] = source_load_after
        loads_by_domain[destination_domain] = destination_load._replace(
            assigned_resources=destination_load.assigned_resources.plus(
                job_resources))
        moves.append(JobMove(job_id, destination_domain))
    return moves


def choose_domain(loads: list[DomainLoad],
                  added_resources: model.Resources) -> str | None:
    """Returns the domain in service with the least load after adding resources.

    Returns None if no domain is in service. Ties go to the domain that comes
    first in `loads`, because decisions must not depend on names.
    """
    loads_in_service = [load for load in loads if load.is_in_service]
    if not loads_in_service:
        return None
    return min(loads_in_service,
               key=lambda load: load.compute_load(added_resources)).domain
