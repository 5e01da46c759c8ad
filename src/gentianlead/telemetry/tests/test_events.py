"""Tests of the events and of the pages that list them."""

import contextvars
import io
import json
import pathlib
import string
import unittest

import logbook

from gentianlead import telemetry

_DOCS = pathlib.Path(__file__).resolve().parents[4] / "docs"


def _read_table_rows(page: str) -> list[str]:
    lines = (_DOCS / page).read_text(encoding="utf-8").splitlines()
    return [line for line in lines if line.startswith("| ")]


class EventCatalogueTest(unittest.TestCase):
    """Compares the `Event` enumeration with the pages in `docs/`."""

    def test_numbers_are_unique_and_sorted(self) -> None:
        """Guards against two events with the same number."""
        numbers = [event.value.number for event in telemetry.Event]
        self.assertEqual(numbers, sorted(set(numbers)))
        self.assertTrue(all(101 <= number <= 699 for number in numbers))

    def test_catalogue_equals_code(self) -> None:
        """Guards against a page that differs from the events in the code."""
        expected = [
            f"| {event.value.number} | `{event.name}` | "
            f"{event.value.level_name} | {event.value.template} |"
            for event in telemetry.Event
        ]
        rows = [
            row for row in _read_table_rows("events.md")
            if row[2:3] in string.digits
        ]
        self.assertEqual(rows, expected)

    def test_every_warning_has_cause_and_action(self) -> None:
        """Guards against a warning that is missing in `OPERATIONS.md`."""
        page = (_DOCS / "OPERATIONS.md").read_text(encoding="utf-8")
        missing = [
            event.name
            for event in telemetry.Event
            if event.value.level >= logbook.WARNING and
            f"| {event.value.number} `{event.name}` |" not in page
        ]
        self.assertEqual(missing, [])


class EmitTest(unittest.TestCase):
    """Tests the lines that `emit` writes."""

    def _emit_and_parse(self, minimum_level: str, event: telemetry.Event, /,
                        **fields: object) -> list[dict]:
        output = io.StringIO()
        with telemetry.open_event_log("entry-1", minimum_level, output):
            telemetry.emit(event, **fields)
        return [json.loads(line) for line in output.getvalue().splitlines()]

    def test_line_carries_number_message_and_fields(self) -> None:
        """Guards against lines that log processors cannot parse."""
        lines = self._emit_and_parse("info",
                                     telemetry.Event.DOMAIN_OUT,
                                     domain="north\n{1}",
                                     version=7)
        self.assertEqual(len(lines), 1)
        line = lines[0]
        self.assertRegex(line.pop("time"), r"^\d{4}-\d\d-\d\dT[\d:.]{12}Z$")
        self.assertEqual(
            line, {
                "level": "warning",
                "event": 504,
                "name": "DOMAIN_OUT",
                "daemon": "entry-1",
                "message": "failure domain north\n{1} is out of service since "
                           "configuration 7",
                "fields": {
                    "domain": "north\n{1}",
                    "version": 7
                },
            })

    def test_wrong_fields_do_not_fail_the_caller(self) -> None:
        """Guards against an exception from `emit` for missing or odd fields."""
        fields = {"domain": object(), "event": 1}
        # pylint: disable-next=kwarg-superseded-by-positional-arg
        line = self._emit_and_parse("info", telemetry.Event.DOMAIN_IN,
                                    **fields)[0]
        self.assertIn("<version missing>", line["message"])
        self.assertEqual(line["fields"]["event"], 1)

    def test_lower_levels_are_dropped(self) -> None:
        """Guards against events written below the configured level."""
        self.assertEqual(
            self._emit_and_parse("warning", telemetry.Event.DOMAIN_IN), [])

    def test_other_contexts_write_to_the_same_log(self) -> None:
        """Guards against lost events of tasks that run in another context."""
        output = io.StringIO()
        with telemetry.open_event_log("entry-1", "info", output):
            contextvars.Context().run(telemetry.emit, telemetry.Event.DOMAIN_IN)
        self.assertIn('"event": 505', output.getvalue())

    def test_closed_stream_does_not_fail_the_caller(self) -> None:
        """Guards against an exception when standard error is full or closed."""

        class FailingStream(io.StringIO):
            """Raises an error for each write, like a full disk."""

            def write(self, text: str) -> int:
                raise OSError("no space")

        closed_output = io.StringIO()
        closed_output.close()
        for output in (FailingStream(), closed_output):
            with telemetry.open_event_log("entry-1", "info", output):
                telemetry.emit(telemetry.Event.DOMAIN_IN, domain="d", version=1)
