"""State machine of the `config` stream: the configuration and all jobs."""

import collections
from typing import NamedTuple

import msgpack
import msgspec
import xxhash

from gentianlead import errors
from gentianlead import model
from gentianlead.state import _state_machine

MAX_SUBMITTED_PATCHES = 4096
MAX_ACCEPTED_PATCHES = 256
MAX_ENDED_JOBS = 20_000
"""Greatest number of ended jobs that are stored. When one more job ends, the
job that ended first is removed; only then can its id be used again."""


class PatchEntry(NamedTuple):
    """A submitted configuration patch and the verdict on it.

    Attributes:
        patch: Record with the patch.
        offset: Offset of the record.
        version: Configuration version after the patch: the version that it
            created, or the unchanged version if the patch was rejected.
        is_accepted: Whether the patch was applied to the configuration.
        reason: Explanation of a rejection; empty when the patch is accepted.
    """

    patch: model.PatchSubmitted
    offset: int
    version: int
    is_accepted: bool
    reason: str = ""


class JobEntry(NamedTuple):
    """A submitted job and its assignment to a failure domain.

    Attributes:
        spec: Specification of the job; without the payload once it has ended.
        domain: Name of the failure domain that the job is assigned to.
        epoch: Number of the assignment; 1 for the first, then one more with
            each move to another domain.
        done: Indexes of the tasks that were done before this assignment.
        checkpoints: Newest checkpoint from earlier assignments, by index of
            the task; without the tasks in `done`, and empty once the job has
            ended.
        is_cancelled: Whether a cancellation was requested.
        outcome: Value of a `JobOutcome`, or empty until the job has ended.
        detail: Explanation of the outcome; empty until the job has ended.
        submitted_ms: Time of submission in milliseconds since 1970.
        digest: Digest of the submitted specification including its payload.
            It still shows whether a repeated submission has the same content
            after the job has ended and its payload was removed.
        crashes: Crashes of workers under the tasks in earlier assignments;
            without the tasks in `done`, and empty once the job has ended.
    """

    # All instances share the default dictionary, which no code modifies.
    # pylint: disable=dangerous-default-value
    spec: model.JobSpec
    domain: str
    epoch: int = 1
    done: tuple[int, ...] = ()
    checkpoints: dict[int, str] = {}
    is_cancelled: bool = False
    outcome: str = ""
    detail: str = ""
    submitted_ms: int = 0
    digest: int = 0
    crashes: model.TaskCrashes = {}


def compute_spec_digest(spec: model.JobSpec) -> int:
    """Returns a 64-bit hash of all fields of the specification."""
    return xxhash.xxh3_64_intdigest(msgpack.packb(spec))


class _SerializedState(NamedTuple):
    """State of the `config` stream in the form that snapshots contain."""

    configuration: model.Configuration
    patches: list[PatchEntry]
    history: list[PatchEntry]
    jobs: list[JobEntry]
    ended_job_ids: list[str]


class ConfigurationStateMachine(_state_machine.StateMachine):
    """Builds the configuration and the table of jobs from their records.

    See `docs/design.md`, section 2.

    Attributes:
        configuration: Configuration after the last accepted patch.
        jobs: Entries by job id, for each job that has not ended and for the
            `MAX_ENDED_JOBS` jobs that ended last.
        changed_jobs: Ids of the jobs that were added, changed or removed since
            the user of this object last replaced the set with an empty one.
            `load` replaces the set with the ids of all loaded jobs.
    """

    def __init__(self) -> None:
        self.configuration = model.Configuration()
        self.jobs: dict[str, JobEntry] = {}
        self.changed_jobs: set[str] = set()
        self._ended_job_ids: collections.deque[str] = collections.deque()
        self._submitted_patches: collections.OrderedDict[str, PatchEntry] = (
            collections.OrderedDict())
        self._accepted_patches: collections.deque[
            PatchEntry] = collections.deque(maxlen=MAX_ACCEPTED_PATCHES)

    @property
    def history(self) -> list[PatchEntry]:
        """Last accepted patches, oldest first; up to `MAX_ACCEPTED_PATCHES`."""
        return list(self._accepted_patches)

    def get_patch(self, patch_id: str) -> PatchEntry | None:
        """Returns the entry of a patch, accepted or rejected.

        Returns None when no patch with this id is stored.
        """
        return self._submitted_patches.get(patch_id)

    def apply(self, offset: int,
              record: model.Record) -> _state_machine.RecordVerdict:
        if isinstance(record, model.PatchSubmitted):
            return self._apply_patch(offset, record)
        if isinstance(record, model.JobSubmitted):
            return self._apply_job_submitted(record)
        if isinstance(record, model.JobMoved):
            return self._apply_job_moved(record)
        if isinstance(record, model.JobCancelled):
            return self._apply_job_cancelled(record)
        if isinstance(record, model.JobEnded):
            return self._apply_job_ended(record)
        return _state_machine.reject(
            f"{type(record).__name__} is not for this stream")

    def _apply_patch(
            self, offset: int,
            patch: model.PatchSubmitted) -> _state_machine.RecordVerdict:
        earlier_entry = self._submitted_patches.get(patch.patch_id)
        if earlier_entry is not None:
            return _state_machine.reject("the patch was already submitted")
        entry = self._evaluate_patch(offset, patch)
        self._submitted_patches[patch.patch_id] = entry
        if len(self._submitted_patches) > MAX_SUBMITTED_PATCHES:
            self._submitted_patches.popitem(last=False)
        if not entry.is_accepted:
            return _state_machine.reject(entry.reason)
        self._accepted_patches.append(entry)
        return _state_machine.ACCEPTED

    def _evaluate_patch(self, offset: int,
                        patch: model.PatchSubmitted) -> PatchEntry:
        current_version = self.configuration.version
        if patch.base_version != current_version:
            return PatchEntry(
                patch, offset, current_version, False,
                f"patch names version {patch.base_version}, current version "
                f"is {current_version}")
        try:
            operations = tuple(
                model.decode_operation(name, fields)
                for name, fields in patch.operations)
            self.configuration = model.apply_operations(self.configuration,
                                                        operations)
        except errors.ConfigurationError as error:
            return PatchEntry(patch, offset, current_version, False, str(error))
        return PatchEntry(patch, offset, self.configuration.version, True)

    def _apply_job_submitted(
            self, record: model.JobSubmitted) -> _state_machine.RecordVerdict:
        if record.spec.job_id in self.jobs:
            return _state_machine.reject("the job id is already in use")
        try:
            model.check_job_spec(record.spec)
        except errors.ConfigurationError as error:
            return _state_machine.reject(str(error))
        self._store_job(
            JobEntry(record.spec,
                     record.domain,
                     submitted_ms=record.time_ms,
                     digest=compute_spec_digest(record.spec)))
        return _state_machine.ACCEPTED

    def _store_job(self, entry: JobEntry) -> None:
        self.jobs[entry.spec.job_id] = entry
        self.changed_jobs.add(entry.spec.job_id)

    def _get_unended_job(self, job_id: str) -> JobEntry | None:
        entry = self.jobs.get(job_id)
        return None if entry is None or entry.outcome else entry

    def _apply_job_moved(
            self, record: model.JobMoved) -> _state_machine.RecordVerdict:
        entry = self._get_unended_job(record.job_id)
        if entry is None:
            return _state_machine.reject("the job is unknown or has ended")
        if record.epoch != entry.epoch + 1:
            return _state_machine.reject(
                f"epoch {record.epoch} does not follow "
                f"{entry.epoch}")
        # A domain can close a job that it has not opened. The record of the
        # move then contains no progress, so the progress that earlier
        # assignments reported is kept.
        done = tuple(sorted({*entry.done, *record.done}))
        checkpoints = {
            task: checkpoint for task, checkpoint in {
                **entry.checkpoints,
                **record.checkpoints
            }.items() if task not in done
        }
        crashes = {
            task: task_crashes for task, task_crashes in {
                **entry.crashes,
                **record.crashes
            }.items() if task not in done
        }
        self._store_job(
            entry._replace(domain=record.domain,
                           epoch=record.epoch,
                           done=done,
                           checkpoints=checkpoints,
                           crashes=crashes))
        return _state_machine.ACCEPTED

    def _apply_job_cancelled(
            self, record: model.JobCancelled) -> _state_machine.RecordVerdict:
        entry = self._get_unended_job(record.job_id)
        if entry is None:
            return _state_machine.reject("the job is unknown or has ended")
        self._store_job(entry._replace(is_cancelled=True))
        return _state_machine.ACCEPTED

    def _apply_job_ended(
            self, record: model.JobEnded) -> _state_machine.RecordVerdict:
        entry = self._get_unended_job(record.job_id)
        if entry is None:
            return _state_machine.reject("the job is unknown or has ended")
        if record.epoch != entry.epoch:
            return _state_machine.reject(
                f"epoch {record.epoch} is not the current "
                f"{entry.epoch}")
        self._store_job(
            entry._replace(spec=entry.spec._replace(payload=b""),
                           outcome=record.outcome,
                           detail=record.detail,
                           checkpoints={},
                           crashes={}))
        self._ended_job_ids.append(record.job_id)
        if len(self._ended_job_ids) > MAX_ENDED_JOBS:
            dropped_job_id = self._ended_job_ids.popleft()
            del self.jobs[dropped_job_id]
            self.changed_jobs.add(dropped_job_id)
        return _state_machine.ACCEPTED

    def dump(self) -> object:
        # msgpack does not support sets, so the set of targets becomes a list.
        # Named tuples need no conversion; msgpack serializes them as arrays.
        configuration = self.configuration._replace(
            leaving_targets=sorted(self.configuration.leaving_targets))
        state = _SerializedState(
            configuration, list(self._submitted_patches.values()),
            list(self._accepted_patches),
            list(map(model.omit_trailing_defaults, self.jobs.values())),
            list(self._ended_job_ids))
        # `load` converts the items of a list, but not those of a
        # `_SerializedState`.
        return list(state)

    def load(self, state: object) -> None:
        try:
            serialized_state = msgspec.convert(state, _SerializedState)
        except msgspec.ValidationError as error:
            raise errors.ProtocolError(
                f"malformed state of the config stream: {error}") from error
        self.configuration = serialized_state.configuration._replace(
            leaving_targets=frozenset(
                serialized_state.configuration.leaving_targets))
        self._submitted_patches = collections.OrderedDict(
            (entry.patch.patch_id, entry) for entry in serialized_state.patches)
        self._accepted_patches = collections.deque(serialized_state.history,
                                                   maxlen=MAX_ACCEPTED_PATCHES)
        self.jobs = {
            entry.spec.job_id: entry for entry in serialized_state.jobs
        }
        self._ended_job_ids = collections.deque(serialized_state.ended_job_ids)
        self.changed_jobs = set(self.jobs)
