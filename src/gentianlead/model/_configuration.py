"""The operators' configuration and its parts."""

from typing import NamedTuple

from gentianlead.model import _resources

ALL_WORKERS = "*"


class Domain(NamedTuple):
    """A failure domain.

    Attributes:
        name: Opaque identity.
        region: Region that the domain lies in.
        is_in_service: False while operators have taken the domain out.
    """

    name: str
    region: str
    is_in_service: bool = True


class Service(NamedTuple):
    """A latency-critical service.

    Attributes:
        name: Opaque identity.
        targets: Names of the workers that serve it, or `("*",)` for all.
        reserve: Resources set aside for it on each of its workers.
        timeout_ms: Longest wait for one attempt at a target, in milliseconds.
    """

    name: str
    targets: tuple[str, ...] = (ALL_WORKERS,)
    reserve: _resources.Resources = _resources.Resources()
    timeout_ms: int = 5000

    def has_target(self, worker: str) -> bool:
        """Returns whether `worker` serves this service."""
        return self.targets == (ALL_WORKERS,) or worker in self.targets


class Team(NamedTuple):
    """A team and its quota in the whole deployment.

    Attributes:
        name: Opaque identity.
        quota: Resources that the team may use without borrowing.
    """

    name: str
    quota: _resources.Resources


class Configuration(NamedTuple):
    """One numbered version of the configuration; never changed in place.

    Attributes:
        version: Number of the version; rises by one with an accepted patch.
        domains: Failure domains by name.
        services: Services by name.
        teams: Teams by name.
        leaving_targets: Names of workers that get no new work.
    """

    # The defaults are shared, and none of them is ever changed.
    # pylint: disable=dangerous-default-value
    version: int = 0
    domains: dict[str, Domain] = {}
    services: dict[str, Service] = {}
    teams: dict[str, Team] = {}
    leaving_targets: frozenset[str] = frozenset()

    def is_domain_in_service(self, name: str) -> bool:
        """Returns whether the domain may start work.

        A domain that the configuration does not name is in service, so that a
        new deployment works before its first patch.
        """
        domain = self.domains.get(name)
        return domain is None or domain.is_in_service
