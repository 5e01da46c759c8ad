"""Shapes of the deployments that run today."""

from typing import NamedTuple

from gentianlead import model

SLOTS = 8
CONNECTIONS = 64


class Shape(NamedTuple):
    """Sizes of a deployment.

    Attributes:
        name: Name of the deployment.
        region: Region of all its domains.
        domains: Failure domains; each has one rack of workers.
        daemons_per_domain: Daemons of each domain; also its seats.
        workers_per_rack: Workers of each rack.
        capacity: Resources of each worker.
        one_way_ms: Time between two domains in one direction.
        weights: Measure that the deployment puts first; a daemon's setting.
    """

    name: str
    region: str
    domains: tuple[str, ...]
    daemons_per_domain: int
    workers_per_rack: int
    capacity: model.Resources
    one_way_ms: float
    weights: str = "tail-latency"

    @property
    def worker_count(self) -> int:
        """Number of workers."""
        return len(self.domains) * self.workers_per_rack

    @property
    def daemon_count(self) -> int:
        """Number of daemons."""
        return len(self.domains) * self.daemons_per_domain


SADAQA_DRIVE = Shape("sadaqa-drive", "ma-north",
                     ("ma-north-1", "ma-north-2", "ma-north-3"), 3, 8,
                     model.Resources(32_000, 125 * 1024, 0), 0.5, "throughput")
REPRINT_LAGOON = Shape("reprint-lagoon", "tt-south",
                       ("tt-south-1", "tt-south-2", "tt-south-3", "tt-south-4"),
                       2, 6, model.Resources(16_000, 60 * 1024, 0), 1.4)
