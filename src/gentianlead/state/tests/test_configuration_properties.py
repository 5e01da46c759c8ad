"""Property tests of the state of `config` and of one-time requests."""

import random
import unittest

import hypothesis
from hypothesis import strategies as st

from gentianlead import model
from gentianlead import state
from gentianlead.state.tests import strategies

_NAME_SUFFIXES = ("north-1", "south-1")


def _build_operation(rng: random.Random, name_prefix: str) -> model.Operation:
    name = name_prefix + rng.choice(_NAME_SUFFIXES)
    return rng.choice(
        (model.PutDomain(name,
                         "north"), model.DomainOut(name), model.DomainIn(name),
         model.PutTeam(name,
                       strategies.WORKER_CAPACITY), model.RemoveTeam(name),
         model.TargetLeaving(name), model.TargetReturned(name),
         model.PutService(name, timeout_ms=rng.choice(
             (0, 500))), model.RemoveService(name)))


def _build_stream(record_seeds: list[int],
                  name_prefix: str = "") -> list[bytes]:
    """Builds random patches, of which some are valid.

    The others conflict, reuse an earlier patch id or name another version than
    the current one.

    Args:
        record_seeds: Seed of the random content of each patch.
        name_prefix: Prefix of all names and patch ids.

    Returns:
        The encoded records; the index of a record is its offset.
    """
    state_machine = state.ConfigurationStateMachine()
    stream = []
    for offset, seed in enumerate(record_seeds):
        rng = random.Random(seed)
        version = state_machine.configuration.version - rng.choice(
            (0, 0, 0, 1, -1))
        operations = tuple(
            model.encode_operation(_build_operation(rng, name_prefix))
            for _ in range(rng.choice((1, 1, 2))))
        patch = model.PatchSubmitted(f"{name_prefix}patch-{rng.randrange(40)}",
                                     version, operations, "", "", 0)
        stream.append(model.encode_record("cli", offset + 1, patch))
        state_machine.apply(offset, model.decode_record(stream[-1]).record)
    return stream


def _read_stream(
        stream: list[bytes]
) -> tuple[state.ConfigurationStateMachine, list[bool]]:
    replica = state.StreamReplica("config", state.ConfigurationStateMachine())
    applied = strategies.feed_from_offset(replica, stream)
    return replica.state_machine, [item.verdict.is_accepted for item in applied]


_seed_lists = st.lists(st.integers(0, 9999), min_size=30, max_size=60)


class ConfigurationPropertiesTest(unittest.TestCase):
    """Properties that hold for any sequence of patches or one-time requests."""

    @strategies.HYPOTHESIS_SETTINGS
    @hypothesis.given(_seed_lists)
    def test_patch_applies_only_to_its_version(self, record_seeds) -> None:
        """Checks that a patch is applied once, in full, to its base version.

        A rejected patch must leave the configuration unchanged. Guards against
        patches that are applied twice, in part, or to another version than
        their base.
        """
        state_machine = state.ConfigurationStateMachine()
        accepted_patch_ids: set[str] = set()
        for offset, data in enumerate(_build_stream(record_seeds)):
            configuration_before = state_machine.configuration
            patch = model.decode_record(data).record
            verdict = state_machine.apply(offset, patch)
            if not verdict.is_accepted:
                self.assertEqual(state_machine.configuration,
                                 configuration_before)
                continue
            self.assertNotIn(patch.patch_id, accepted_patch_ids)
            self.assertEqual(patch.base_version, configuration_before.version)
            operations = tuple(
                model.decode_operation(*item) for item in patch.operations)
            self.assertEqual(
                state_machine.configuration,
                model.apply_operations(configuration_before, operations))
            self.assertEqual(state_machine.configuration.version,
                             configuration_before.version + 1)
            accepted_patch_ids.add(patch.patch_id)
        self.assertEqual([entry.version for entry in state_machine.history],
                         list(range(1,
                                    state_machine.configuration.version + 1)))

    @strategies.HYPOTHESIS_SETTINGS
    @hypothesis.given(_seed_lists, st.integers(0, 29))
    def test_restored_state_gives_the_same_verdicts(self, record_seeds,
                                                    snapshot_offset) -> None:
        """Checks the verdicts and the state after a dumped state is loaded.

        Guards against verdicts that change when a snapshot is loaded.
        """
        stream = _build_stream(record_seeds)
        full_state_machine, accepted_flags = _read_stream(stream)
        snapshot_source, _ = _read_stream(stream[:snapshot_offset])
        restored_state = state.ConfigurationStateMachine()
        restored_state.load(snapshot_source.dump())
        records = [model.decode_record(data).record for data in stream]
        self.assertEqual([
            restored_state.apply(offset, record).is_accepted
            for offset, record in list(enumerate(records))[snapshot_offset:]
        ], accepted_flags[snapshot_offset:])
        self.assertEqual(restored_state.dump(), full_state_machine.dump())

    @strategies.HYPOTHESIS_SETTINGS
    @hypothesis.given(_seed_lists)
    def test_duplicates_and_name_prefixes_have_no_effect(self,
                                                         record_seeds) -> None:
        """Checks that duplicates do not change the configuration.

        Also checks that the verdicts stay the same when all names get a prefix,
        which guards against verdicts that depend on the spelling of names.
        """
        stream = _build_stream(record_seeds)
        full_state_machine, accepted_flags = _read_stream(stream)
        state_machine_after_duplicates, _ = _read_stream([
            data for index, item in enumerate(stream)
            for data in (item, stream[index // 2])
        ])
        self.assertEqual(state_machine_after_duplicates.configuration,
                         full_state_machine.configuration)
        _, renamed_accepted_flags = _read_stream(
            _build_stream(record_seeds, "old-department."))
        self.assertEqual(renamed_accepted_flags, accepted_flags)

    @strategies.HYPOTHESIS_SETTINGS
    @hypothesis.given(_seed_lists)
    def test_one_time_key_has_one_holder(self, record_seeds) -> None:
        """Checks that a request begins only if none holds its idempotency key.

        Guards against two daemons that both send a one-time request. Also
        checks that `OnceEnded` is accepted only for a held key, and that a
        restored state gives the same verdicts. The maximum number of keys is
        set to four, so only the four keys whose requests began most recently
        must be stored.
        """
        state_machine, restored_state = state.OneTimeRequestStateMachine(
            4), state.OneTimeRequestStateMachine(4)
        expected_keys: list[str] = []
        for offset, seed in enumerate(record_seeds):
            rng = random.Random(seed)
            key, new_request_id = f"key-{rng.randrange(8)}", str(rng.random())
            existing_entry = state_machine.get(key)
            record = model.OnceBegun(key, "service", new_request_id)
            if rng.random() < 0.3:
                record = model.OnceEnded(
                    key, existing_entry.request_id if existing_entry else "x",
                    200)
            restored_state.load(state_machine.dump())
            verdict = state_machine.apply(offset, record)
            self.assertEqual(verdict, restored_state.apply(offset, record))
            self.assertEqual(state_machine.dump(), restored_state.dump())
            is_begun_record = isinstance(record, model.OnceBegun)
            self.assertEqual(verdict.is_accepted, is_begun_record
                             != (existing_entry is not None))
            if is_begun_record and verdict.is_accepted:
                expected_keys.append(key)
            self.assertEqual([key for key, *_ in state_machine.dump()],
                             expected_keys[-4:])
