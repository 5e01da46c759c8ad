"""Submission of configuration patches and their verdicts."""

from gentianlead import errors
from gentianlead import model
from gentianlead import ports
from gentianlead import state
from gentianlead import streams
from gentianlead.daemon import _jobs

MAX_OPERATIONS = 1000


class PatchService:
    """Submits configuration patches and returns the verdicts on them.

    Args:
        config_client: Client of the `config` stream.
        clock: Source of time.
    """

    def __init__(self, config_client: streams.StreamClient, clock: ports.Clock):
        self._config_client = config_client
        self._clock = clock

    @property
    def state_machine(self) -> state.ConfigurationStateMachine:
        """The state machine of the `config` stream."""
        state_machine = self._config_client.replica.state_machine
        assert isinstance(state_machine, state.ConfigurationStateMachine)
        return state_machine

    async def submit(self, patch_id: str, base_version: int,
                     operations: tuple[model.Operation, ...], author: str,
                     comment: str) -> state.PatchEntry:
        """Submits a patch and waits for its verdict.

        The first verdict on a patch identifier is final: a patch that is
        submitted again under the same identifier gets the same verdict.

        Args:
            patch_id: Identifier that the operator chose for the patch.
            base_version: Configuration version that the patch builds on.
            operations: Changes of the configuration.
            author: Author of the patch, for the history.
            comment: Reason of the patch, for the history.

        Returns:
            The patch with its verdict.

        Raises:
            RequestError: The log did not confirm the patch, or it is malformed.
        """
        if not self._config_client.is_ready():
            raise errors.RequestError(errors.ErrorCode.NOT_READY,
                                      "the configuration is not known yet")
        if not operations or len(operations) > MAX_OPERATIONS:
            raise errors.RequestError(
                errors.ErrorCode.PATCH_INVALID,
                f"a patch has 1 to {MAX_OPERATIONS} operations, not "
                f"{len(operations)}")
        patch_entry = self.state_machine.get_patch(patch_id)
        if patch_entry is None:
            record = model.PatchSubmitted(
                patch_id, base_version,
                tuple(
                    model.encode_operation(operation)
                    for operation in operations), author, comment,
                int(self._clock.now().timestamp() * 1000))
            await _jobs.append_confirmed_record(self._config_client, record,
                                                "the patch")
            patch_entry = self.state_machine.get_patch(patch_id)
        if patch_entry is None:
            raise errors.RequestError(
                errors.ErrorCode.RESULT_UNKNOWN,
                f"the verdict on patch {patch_id!r} is no longer kept",
                errors.Verdict.MAY_HAVE_RUN)
        return patch_entry

    def get_patch_entry(self, patch_id: str) -> state.PatchEntry:
        """Returns a patch with its verdict.

        Raises:
            RequestError: The patch is unknown to this daemon.
        """
        entry = self.state_machine.get_patch(patch_id)
        if entry is None:
            raise errors.RequestError(errors.ErrorCode.UNKNOWN_PATCH,
                                      f"unknown patch {patch_id!r}")
        return entry
