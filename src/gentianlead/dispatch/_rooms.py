"""Capacity of single workers in the load reports of groups."""

from typing import NamedTuple

from gentianlead import model
from gentianlead.dispatch import _placement

MAX_COVERING_ROOMS = 3
"""A report leaves out the room of a worker that this number of others cover.
Several tasks can then move at once to workers with equal room, and the report
still does not grow with their number."""


class WorkerRoom(NamedTuple):
    """Capacity of one worker that a task may use.

    Attributes:
        cpu_millis: CPU in thousandths of a core.
        memory_mib: Memory in MiB.
        accelerators: Number of accelerators.
        labels: Labels of the worker, sorted.
        service: Service of the worker.
    """

    cpu_millis: int
    memory_mib: int
    accelerators: int
    labels: tuple[str, ...]
    service: str = ""

    def has_room_for(self, step: model.Step, service: str) -> bool:
        """Returns whether a task of a service fits that is not best-effort."""
        return (service == self.service and
                step.cpu_millis <= self.cpu_millis and
                step.memory_mib <= self.memory_mib and
                step.accelerators <= self.accelerators and
                (not step.required_label or step.required_label in self.labels))


def find_largest_room(rooms: tuple[WorkerRoom, ...], step: model.Step,
                      service: str) -> int:
    """Returns the most CPU of a room in which a task fits; -1 without one."""
    return max(
        (room.cpu_millis for room in rooms if room.has_room_for(step, service)),
        default=-1)


def find_room(rooms: tuple[WorkerRoom, ...], step: model.Step,
              service: str) -> int | None:
    """Returns the number of the room with the most CPU where a task fits."""
    numbers = [
        number for number, room in enumerate(rooms)
        if (room._replace(
            cpu_millis=step.cpu_millis) if step.is_best_effort else room
           ).has_room_for(step, service)
    ]
    return max(numbers,
               key=lambda number: rooms[number].cpu_millis,
               default=None)


def take_room(rooms: tuple[WorkerRoom, ...], number: int,
              step: model.Step) -> tuple[WorkerRoom, ...]:
    """Returns the rooms after a task has taken its resources from one."""
    room = rooms[number]
    cpu_millis = 0 if step.is_best_effort else step.cpu_millis
    left_room = room._replace(cpu_millis=room.cpu_millis - cpu_millis,
                              memory_mib=room.memory_mib - step.memory_mib,
                              accelerators=room.accelerators -
                              step.accelerators)
    return rooms[:number] + (left_room,) + rooms[number + 1:]


_Resources = tuple[int, int, int]
"""CPU, memory and accelerators, in the units of `WorkerRoom`."""

RoomsByKind = dict[tuple[str, frozenset[str]], list[_Resources]]
"""Capacity of workers by their service and labels."""


def _list_rooms_to_report(rooms: list[_Resources]) -> list[_Resources]:
    """Returns the rooms of workers that not too many others cover."""
    reported_rooms: list[_Resources] = []
    # A room that covers another one precedes it in this order.
    for room in sorted(rooms, reverse=True):
        covering_count = sum(
            other[0] >= room[0] and other[1] >= room[1] and other[2] >= room[2]
            for other in reported_rooms)
        if covering_count < MAX_COVERING_ROOMS:
            reported_rooms.append(room)
    return reported_rooms


def add_free_room(rooms_by_kind: RoomsByKind,
                  candidate: _placement.Candidate) -> None:
    """Adds the free capacity of a worker that has not shrunk below its runs."""
    if candidate.free_cpu_millis >= 0:
        entry = candidate.worker.entry
        rooms_by_kind.setdefault((entry.service, entry.labels), []).append(
            (candidate.free_cpu_millis, candidate.free_memory_mib,
             candidate.free_accelerators))


def list_rooms(rooms_by_kind: RoomsByKind) -> tuple[WorkerRoom, ...]:
    """Returns the rooms to report, without those that others cover."""
    return tuple(
        WorkerRoom(*room, tuple(sorted(labels)), service)
        for (service, labels), rooms in rooms_by_kind.items()
        for room in _list_rooms_to_report(rooms))
