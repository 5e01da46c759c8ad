"""Bounded queues of waiting requests, one per request class."""

from typing import Callable, Generic, Iterator, NamedTuple, TypeVar

import sortedcontainers

from gentianlead.routing import _messages

ItemT = TypeVar("ItemT")


class _QueuePosition(NamedTuple):
    """Sort key of a request in its queue: by deadline, then by arrival.

    Attributes:
        deadline: Deadline of the request in monotonic seconds.
        arrival_number: Count of the requests added to all queues, up to and
            including this one.
    """

    deadline: float
    arrival_number: int


class RequestQueues(Generic[ItemT]):
    """Queues of waiting requests, one per class, each ordered by deadline.

    Iteration yields the items of all interactive requests, then those of bulk
    requests. An item is an object that the user of the queues adds with each
    request and gets back when the request is removed.

    `shed_late_requests` removes requests that can no longer meet their
    deadline, so that slots are only used for requests whose callers still wait
    for a response.
    """

    def __init__(self, max_lengths: dict[_messages.RequestClass, int]):
        """Creates empty queues.

        Args:
            max_lengths: Number of waiting requests at which the queue of a
                class counts as full, by class.
        """
        self._max_lengths = max_lengths
        self._queues = {
            request_class: sortedcontainers.SortedDict()
            for request_class in _messages.RequestClass
        }
        self._positions_by_request_id: dict[str, tuple[_messages.RequestClass,
                                                       _QueuePosition]] = {}
        self._last_arrival_number = 0

    def __len__(self) -> int:
        return len(self._positions_by_request_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._positions_by_request_id

    def __iter__(self) -> Iterator[ItemT]:
        for request_class in _messages.RequestClass:
            yield from self._queues[request_class].values()

    def count_ahead(self, request_class: _messages.RequestClass) -> int:
        """Returns how many waiting requests may start before a new one.

        For a bulk request these are all, for an interactive one those of its
        class. Deadlines are not considered.

        Args:
            request_class: Class of the new request.
        """
        if request_class is _messages.RequestClass.BULK:
            return len(self._positions_by_request_id)
        return len(self._queues[request_class])

    def is_full(self, request_class: _messages.RequestClass) -> bool:
        """Returns whether the queue of a class has its maximum length."""
        return len(
            self._queues[request_class]) >= self._max_lengths[request_class]

    def push(self, request: _messages.Request, item: ItemT) -> None:
        """Adds a request with its item to the queue of its class.

        The maximum length is not checked; see `is_full`.
        """
        self._last_arrival_number += 1
        position = _QueuePosition(request.deadline, self._last_arrival_number)
        self._queues[request.request_class][position] = item
        self._positions_by_request_id[request.request_id] = (
            request.request_class, position)

    def remove(self, request_id: str) -> ItemT | None:
        """Removes a request.

        Returns:
            Its item, or None if the request is not queued.
        """
        class_and_position = self._positions_by_request_id.pop(request_id, None)
        if class_and_position is None:
            return None
        return self._queues[class_and_position[0]].pop(class_and_position[1])

    def get_earliest_deadline(self) -> float | None:
        """Returns the earliest deadline of all waiting requests.

        It is in monotonic seconds; None if no request waits.
        """
        return min((queue.peekitem(0)[0].deadline
                    for queue in self._queues.values()
                    if queue),
                   default=None)

    def shed_late_requests(
            self, now: float, estimate_service_time_s: Callable[[ItemT], float],
            get_request_id: Callable[[ItemT], str]) -> list[ItemT]:
        """Removes the requests that can no longer meet their deadline.

        Each queue is checked in order of the deadlines. The check stops at the
        first request that can be served in time; those behind it stay.

        Args:
            now: Monotonic seconds.
            estimate_service_time_s: Returns the expected seconds from the start
                of an attempt for an item to its response.
            get_request_id: Returns the identifier of the request of an item.

        Returns:
            The items of the removed requests.
        """
        shed_items: list[ItemT] = []
        for queue in self._queues.values():
            while queue:
                position, item = queue.peekitem(0)
                if now + estimate_service_time_s(item) < position.deadline:
                    break
                self.remove(get_request_id(item))
                shed_items.append(item)
        return shed_items
