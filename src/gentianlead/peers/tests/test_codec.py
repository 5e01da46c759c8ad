"""Tests of frames."""

import random
import unittest

import msgpack

from gentianlead import errors
from gentianlead import peers
from gentianlead import ports
from gentianlead.peers import _codec
from gentianlead.peers import _messages
from gentianlead.peers.tests import doubles

_REQUEST = doubles.build_request("/a")
_RAN = errors.Verdict.RAN

_WIRE_FORMS = (
    (peers.Hello("n#1", "d", (1, 2)), [1, 1, 7, "n#1", "d", [1, 2]]),
    (_messages.Heartbeat(), [1, 2, 7]),
    (_REQUEST, [
        1, 3, 7, "previews", "GET", "/a", [["a", "b"]], b"0", 1000, True,
        "interactive", {
            "traceparent": "00-1"
        }
    ]),
    (ports.HttpResponse(200, (("a", "b"),), b"x",
                  _RAN), [1, 4, 7, 200, [["a", "b"]], b"x", "ran"]),
    (_messages.Refusal("NO_TARGET", "text",
                       _RAN), [1, 5, 7, "NO_TARGET", "text", "ran"]),
    (_messages.AnswerPart(0, 2, b"x"), [1, 6, 7, 0, 2, b"x"]),
    (_messages.Cancel(), [1, 7, 7]),
    (peers.LoanAsk("w", 2, 500), [1, 8, 7, "w", 2, 500]),
    (peers.LoanGrant("l", 2, 500), [1, 9, 7, "l", 2, 500]),
    (peers.LoanReturn("l"), [1, 10, 7, "l"]),
    (peers.StatusQuery("s", {"k": "v"}), [1, 11, 7, "s", {
        "k": "v"
    }]),
    (peers.StatusAnswer([1, None, {}]), [1, 12, 7, [1, None, {}]]),
    (peers.GroupCall("state", b"\x90"), [1, 13, 7, "state", b"\x90"]),
    (peers.GroupAnswer(b"\xc3"), [1, 14, 7, b"\xc3"]),
)


class CodecTest(unittest.TestCase):
    """Encoding, decoding and limits."""

    def test_wire_form_of_each_kind(self) -> None:
        """Guards against a change that daemons in service cannot read."""
        self.assertEqual({type(message) for message, _ in _WIRE_FORMS},
                         set(_messages.MESSAGE_KINDS.values()))
        for message, values in _WIRE_FORMS:
            body = _codec.encode_frame(1, 7, message)[4:]
            self.assertEqual(msgpack.unpackb(body), values)
            self.assertEqual(_codec.decode_body(body),
                             _codec.Frame(1, 7, message))
            longer = msgpack.packb(values + ["from a newer version"])
            self.assertEqual(_codec.decode_body(longer).message, message)

    def test_malformed_bodies_are_protocol_errors(self) -> None:
        """Guards against input that raises anything else."""
        bodies = (b"", b"\xc1", b"\x91", msgpack.packb({}),
                  msgpack.packb([1, 99, 0]), msgpack.packb([1, [], 0]),
                  msgpack.packb([1, 2, -1]), msgpack.packb([1, 2, 2**63]),
                  msgpack.packb([1, 2, True]), msgpack.packb([1, 1, 0, "n"]),
                  msgpack.packb([1, 4, 0, 200, [], b"",
                                 "perhaps"]), b"\x91" * 5000)
        for body in bodies:
            with self.assertRaises(errors.ProtocolError, msg=body[:20]):
                _codec.decode_body(body)

    def test_mutated_bodies_never_raise_anything_else(self) -> None:
        """Guards against a crash on damaged input."""
        source = random.Random(7)
        bodies = [
            _codec.encode_frame(1, 7, message)[4:] for message, _ in _WIRE_FORMS
        ]
        decoded = 0
        for _ in range(5000):
            try:
                _codec.decode_body(doubles.mutate(source,
                                                  source.choice(bodies)))
                decoded += 1
            except errors.ProtocolError:
                pass
        self.assertGreater(decoded, 100)

    def test_frames_are_cut_at_any_byte(self) -> None:
        """Guards against frames that depend on the sizes of the reads."""
        stream = b"".join(
            _codec.encode_frame(1, 7, message) for message, _ in _WIRE_FORMS)
        for size in (1, 3, 17, len(stream)):
            reader = _codec.FrameReader()
            bodies = []
            for start in range(0, len(stream), size):
                bodies += reader.feed(stream[start:start + size])
            self.assertEqual(
                [_codec.decode_body(body).message for body in bodies],
                [message for message, _ in _WIRE_FORMS])
            self.assertTrue(reader.is_empty)

    def test_frame_limit(self) -> None:
        """Guards against a length that reserves memory without bound."""
        limit = _codec.MAX_FRAME_BYTES
        reader = _codec.FrameReader()
        self.assertEqual(reader.feed(limit.to_bytes(4, "big")), [])
        with self.assertRaises(errors.ProtocolError):
            _codec.FrameReader().feed((limit + 1).to_bytes(4, "big"))
        with self.assertRaises(errors.ProtocolError):
            _codec.encode_frame(1, 7, _REQUEST._replace(body=bytes(limit)))

    def test_long_answer_is_whole_or_an_error(self) -> None:
        """Guards against a part of an answer that passes for all of it."""
        answer = ports.HttpResponse(200, (), bytes(range(256)) * 16_000)
        frames = _codec.encode_reply(1, 7, answer)
        parts = [_codec.decode_body(frame[4:]).message for frame in frames]
        self.assertGreater(len(parts), 3)
        last = parts[-1]
        other = _codec.encode_reply(1, 8, answer)
        cases = (
            ("whole", parts, answer),
            ("not all", parts[:-1], None),
            ("first missing", parts[1:], errors.ProtocolError),
            ("one missing", parts[:1] + parts[2:], errors.ProtocolError),
            ("repeated", parts[:1] + parts, errors.ProtocolError),
            ("other count", parts[:-1] + [last._replace(count=99)],
             errors.ProtocolError),
            ("shorter", parts[:-1] + [last._replace(data=last.data[1:])],
             errors.ProtocolError),
            ("longer", parts[:-1] + [last._replace(data=last.data + b"x")],
             errors.ProtocolError),
            ("of another request",
             [_codec.decode_body(frame[4:]).message for frame in other
             ], errors.ProtocolError),
            ("empty", [_messages.AnswerPart(0, 0, b"")], errors.ProtocolError),
            ("endless", [
                _messages.AnswerPart(index, 100, bytes(2**20))
                for index in range(10)
            ], errors.ProtocolError),
        )
        for name, sequence, expected in cases:
            assembler = _codec.AnswerAssembler(7)
            try:
                frame = None
                for part in sequence:
                    frame = assembler.add(part)
                result = None if frame is None else frame.message
            except errors.ProtocolError:
                result = errors.ProtocolError
            self.assertEqual(result, expected, name)

    def test_answer_limit(self) -> None:
        """Guards against an answer that fills the memory of the receiver."""
        limit = _codec.MAX_ANSWER_BYTES
        self.assertTrue(
            _codec.encode_reply(1, 7, ports.HttpResponse(200, (), bytes(limit))))
        with self.assertRaises(errors.ProtocolError):
            _codec.encode_reply(1, 7, ports.HttpResponse(200, (), bytes(limit + 1)))
