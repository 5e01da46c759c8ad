"""Configuration of the deployment, which operators change by patches."""

from typing import NamedTuple

from gentianlead.model import _resources

ALL_WORKERS = "*"


class Domain(NamedTuple):
    """A failure domain.

    Attributes:
        name: Unique name; its content is not interpreted.
        region: Region that contains the domain.
        is_in_service: False while operators have taken the domain out of
            service.
    """

    name: str
    region: str
    is_in_service: bool = True


class Service(NamedTuple):
    """A latency-critical service.

    Attributes:
        name: Unique name; its content is not interpreted.
        targets: Names of the workers that serve requests of the service, or
            `("*",)` for all workers.
        reserve: Resources reserved for the service on each of its workers.
        timeout_ms: Timeout of one attempt at a target in milliseconds.
    """

    name: str
    targets: tuple[str, ...] = (ALL_WORKERS,)
    reserve: _resources.Resources = _resources.Resources()
    timeout_ms: int = 5000

    def has_target(self, worker: str) -> bool:
        """Returns whether `worker` serves requests of this service."""
        return self.targets == (ALL_WORKERS,) or worker in self.targets


class Team(NamedTuple):
    """A team and its resource quota.

    Attributes:
        name: Unique name; its content is not interpreted.
        quota: Resources that the team may use without borrowing, summed over
            all failure domains.
    """

    name: str
    quota: _resources.Resources


class Configuration(NamedTuple):
    """One immutable version of the configuration.

    Attributes:
        version: Version number; rises by one with each accepted patch.
        domains: Failure domains by name.
        services: Services by name.
        teams: Teams by name.
        leaving_targets: Names of workers that are leaving and get no new work.
    """

    # Instances share the default dictionaries, which are never mutated.
    # pylint: disable=dangerous-default-value
    version: int = 0
    domains: dict[str, Domain] = {}
    services: dict[str, Service] = {}
    teams: dict[str, Team] = {}
    leaving_targets: frozenset[str] = frozenset()

    def is_domain_in_service(self, name: str) -> bool:
        """Returns whether new work may start in the domain.

        A domain that the configuration does not contain is in service, so that
        a new deployment works before its first patch.
        """
        domain = self.domains.get(name)
        return domain is None or domain.is_in_service
