"""Tests of the selection of the domain that runs a job."""

import unittest

from gentianlead import model
from gentianlead import scheduling

_UNIT_RESOURCES = model.Resources(1000, 1000)


def _build_load(domain: str,
                assigned_units: int,
                is_in_service: bool = True) -> scheduling.DomainLoad:
    return scheduling.DomainLoad(domain, is_in_service,
                                 _UNIT_RESOURCES.times(10),
                                 _UNIT_RESOURCES.times(assigned_units))


class DomainsTest(unittest.TestCase):
    """Selection of a domain for new jobs, and moves of waiting jobs."""

    def test_least_loaded_domain_in_service_is_chosen(self) -> None:
        """Checks that the least loaded domain in service is chosen.

        Among equal loads, the first domain in the list must be chosen,
        independent of names. No domain is chosen if none is in service.
        """
        cases = [
            ([_build_load("z", 3), _build_load("a", 2)], "a"),
            ([_build_load("z", 2), _build_load("a", 2)], "z"),
            ([_build_load("z", 9),
              _build_load("a", 0, False)], "z"),
            ([_build_load("z", 9, False)], None),
        ]
        for loads, expected_domain in cases:
            self.assertEqual(scheduling.choose_domain(loads, _UNIT_RESOURCES),
                             expected_domain, loads)

    def test_waiting_jobs_move_until_loads_are_close(self) -> None:
        """Checks that waiting jobs move from a full domain to an empty one.

        Four jobs must move, all to the domain in service. None must move back
        once the loads are close, and none must leave the only domain. Guards
        against a domain that stays idle after its return to service.
        """
        loads = [
            _build_load("z", 30),
            _build_load("a", 0),
            _build_load("b", 0, False)
        ]
        jobs = [(f"job-{index}", _UNIT_RESOURCES.times(3)) for index in range(9)
               ]
        moves = scheduling.plan_moves("z", loads, jobs)
        self.assertEqual({move.domain for move in moves}, {"a"})
        self.assertEqual(len(moves), 4)
        loads_after_moves = [_build_load("z", 30 - 12), _build_load("a", 12)]
        self.assertEqual(scheduling.plan_moves("a", loads_after_moves, jobs),
                         [])
        self.assertEqual(
            scheduling.plan_moves("z", [_build_load("z", 9)], jobs), [])
