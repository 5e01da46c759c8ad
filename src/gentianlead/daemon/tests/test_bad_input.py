"""Tests that malformed input gets a clear error and changes nothing."""

import json
import socket

from gentianlead.daemon.tests import request_support as support

_PATH = f"/s/{support.SERVICE_NAME}/item"
_BODY_LIMIT = 1024 * 1024


class BadInputTest(support.RequestTestCase):
    """Sends malformed input to the caller port and the operator port."""

    shape = support.build_deployment_shape(1, 1, 1)
    options = support.DEPLOYMENT_OPTIONS._replace(
        daemon_arguments=(*support.DEPLOYMENT_OPTIONS.daemon_arguments,
                          "--body-limit", f"{_BODY_LIMIT} B"))

    def tearDown(self) -> None:
        """Checks that the daemon still runs and serves requests."""
        caller_id = self.build_caller_id()
        response = self.call("entry-1", caller_id)
        self.assertTrue(response.is_complete_response_to(caller_id), response)
        self.assertTrue(self.deployment.daemons["entry-1"].is_running)
        self.check_journals()

    def send_raw(self, data: bytes, closes_sending_side: bool = True) -> bytes:
        """Sends bytes to the caller port and returns the first bytes received.

        Args:
            data: Bytes to send.
            closes_sending_side: Whether to close the sending side afterwards.
        """
        port = self.deployment.seats["entry-1"].caller_port
        with socket.create_connection(("127.0.0.1", port), 30) as connection:
            connection.sendall(data)
            if closes_sending_side:
                connection.shutdown(socket.SHUT_WR)
            try:
                return connection.recv(64 * 1024)
            except ConnectionError:
                return b""

    def test_refused_headers(self) -> None:
        """Guards against an invalid header that is accepted or ignored."""
        for name, value in (("Deadline-Ms", "soon"), ("Deadline-Ms", "0"),
                            ("Deadline-Ms", "-5"), ("Deadline-Ms", "1e3"),
                            ("Deadline-Ms", "9" * 5000), ("Idempotent",
                                                          "maybe"),
                            ("Class", "urgent"), ("Request-Id", "x" * 201),
                            ("Idempotency-Key",
                             "x" * 201), ("Idempotency-Key",
                                          "\xff"), ("Request-Id", "\xfe")):
            with self.subTest(name=name, value=value[:10]):
                caller_id = self.build_caller_id()
                response = self.call("entry-1",
                                     caller_id,
                                     headers={f"Gentianlead-{name}": value})
                self.assertEqual(
                    (response.status, response.code, response.verdict),
                    (400, "BAD_REQUEST", support.DID_NOT_RUN))
                self.assertEqual(self.list_executions(caller_id), [])

    def test_oversized_body(self) -> None:
        """Guards against bodies over the limit, with and without a length."""
        port = self.deployment.seats["entry-1"].caller_port
        response = support.send(port,
                                "POST",
                                _PATH,
                                body=b"x" * (_BODY_LIMIT + 1))
        if response.status:  # The daemon may close the connection first.
            self.assertEqual((response.status, response.code, response.verdict),
                             (413, "BODY_TOO_LARGE", support.DID_NOT_RUN))
        chunk = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
        raw_response = self.send_raw(
            f"POST {_PATH} HTTP/1.1\r\nHost: a\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode() + chunk * 17 +
            b"0\r\n\r\n")
        self.assertIn(raw_response[:12], (b"HTTP/1.1 413", b""))

    def test_malformed_requests(self) -> None:
        """Guards against malformed HTTP requests that reach a target."""
        head = f"GET {_PATH}?id=bad HTTP/1.1\r\nHost: a\r\n".encode()
        for data in (b"nonsense\r\n\r\n", b"\x00\xff\x16\x03\x01" * 50,
                     head + b"No-Colon\r\n\r\n", head + b"A: " + b"x" * 40_000 +
                     b"\r\n\r\n", head + b"B: 1\r\n" * 40_000 + b"\r\n",
                     head + b"Content-Length: -1\r\n\r\n",
                     head + b"Content-Length: 5\r\nTransfer-Encoding: chunked"
                     b"\r\n\r\n0\r\n\r\n",
                     head + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
                     b"GET " + b"/" * 40_000 + b" HTTP/1.1\r\n\r\n"):
            with self.subTest(data=data[:60]):
                raw_response = self.send_raw(data)
                self.assertIn(raw_response[:10],
                              (b"HTTP/1.1 4", b"HTTP/1.0 4", b""))
                self.assertEqual(self.list_executions("bad"), [])

    def test_truncated_request(self) -> None:
        """Guards against an incomplete request that is sent to a target."""
        head = f"POST {_PATH}?id=cut HTTP/1.1\r\nHost: a\r\n"
        for data in (head + "Content-Length: 100\r\n\r\nhalf",
                     head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhe", head):
            self.send_raw(data.encode())
            self.assertEqual(self.list_executions("cut"), [])

    def test_unknown_paths(self) -> None:
        """Guards against unknown paths and services without an error status."""
        port = self.deployment.seats["entry-1"].caller_port
        for method, path, status in (("GET", "/", 404), ("GET", "/s", 404),
                                     ("GET", "/s/unknown/a",
                                      404), ("DELETE", "/v1/jobs", 405),
                                     ("GET", "/v1/jobs/unknown",
                                      404), ("GET", "/v1/config", 404)):
            with self.subTest(path=path):
                response = support.send(port, method, path)
                self.assertEqual(response.status, status, response)

    def test_malformed_documents(self) -> None:
        """Guards against malformed JSON documents that change the state."""
        seat = self.deployment.seats["entry-1"]
        _, configuration_before = self.deployment.call("entry-1", "GET",
                                                       "/v1/config")
        deeply_nested_json = b"[" * 100_000
        for path in ("/v1/jobs", "/v1/config/patches"):
            for body in (
                    b"", b"{", b"[]", b"null", b"\xff\xfe", deeply_nested_json,
                    b'{"tasks": "many"}', b'{"tasks": 1e400}',
                    b'{"patch_id": 5, "base_version": [], "operations": 1}',
                    b'{"job_id": "\\ud800"}', b'{"job_id": "\xed\xa0\x80"}',
                    json.dumps({
                        "patch_id": "p",
                        "base_version": configuration_before["version"],
                        "operations": [{
                            "op": "unknown"
                        }]
                    }).encode()):
                with self.subTest(path=path, body=body[:40]):
                    response = support.send(
                        seat.operator_port, "POST", path,
                        {"Content-Type": "application/json"}, body)
                    self.assertIn(response.status, (400, 409, 422), response)
                    self.assertTrue(response.code, response)
        _, configuration_after = self.deployment.call("entry-1", "GET",
                                                      "/v1/config")
        self.assertEqual(configuration_before, configuration_after)
        version = self.apply_patch({"op": "put_team", "name": "t", "quota": {}})
        self.assertGreater(version, configuration_after["version"])
