"""Model of the job topic in the store."""

from gentianlead import dispatch
from gentianlead import ports
from gentianlead.dispatch.tests import fleet_workers


class StoreModel:
    """Models the job topic in the store.

    Attributes:
        records: Stored records.
        is_down: Whether the store answers no calls.
        up_since: Time in seconds since which it has answered calls.
    """

    def __init__(self) -> None:
        self.records: list[ports.KeyedRecord] = []
        self.is_down = False
        self.up_since = 0.0
        self._epochs: dict[str, int] = {}

    def append(self, group: str, epoch: int,
               records: list[dispatch.Record]) -> int:
        """Stores records and returns the offset of the first.

        Raises:
            fleet_workers.FencedError: A leader of the group has a higher epoch.
        """
        if epoch < self._epochs.get(group, 0):
            raise fleet_workers.FencedError()
        self._epochs[group] = epoch
        offset = len(self.records)
        for record in records:
            self.records.append(
                dispatch.encode_record(record)._replace(
                    offset=len(self.records)))
        return offset
