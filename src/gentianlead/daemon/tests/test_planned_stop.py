"""Tests that a planned stop interrupts no request (guarantee 9)."""

import http.client
import signal
import socket
import time

from gentianlead.daemon.tests import request_support as support

_LARGE_BYTES = 6 * 1024 * 1024
_READ_CHUNK_BYTES = 256 * 1024
# Longer than the drain wait, and longer than the 1 s after which the HTTP
# library of the daemon once closed its last connections.
_PAUSE_SECONDS = 1.5


class PlannedStopTest(support.RequestTestCase):
    """Stops daemons by SIGTERM while requests are in progress."""

    def begin_stop(self, name: str) -> None:
        """Sends SIGTERM and waits until the daemon is no longer ready."""
        self.deployment.daemons[name].send(signal.SIGTERM)
        port = self.deployment.seats[name].caller_port
        self.wait_for(
            "unready daemon",
            lambda: support.send(port, "GET", "/readyz").status != 200)

    def restart_after_exit(self, name: str) -> None:
        """Waits until a stopped daemon exits, and starts it again."""
        self.assertEqual(self.deployment.daemons[name].wait(60), 0)
        self.deployment.start_daemon(name)
        self.deployment.wait_ready(support.READY_TIMEOUT_SECONDS, [name])

    def connect(self, small_buffer: bool = False) -> socket.socket:
        """Connects to the caller port of entry-1.

        Args:
            small_buffer: Whether to use a small receive buffer, so that a
                large response cannot be sent at once.
        """
        connection = socket.socket()
        self.addCleanup(connection.close)
        if small_buffer:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        connection.settimeout(60)
        connection.connect(
            ("127.0.0.1", self.deployment.seats["entry-1"].caller_port))
        return connection

    @staticmethod
    def read_response(connection: socket.socket) -> support.CallerResponse:
        """Reads one response, with a pause after each part of a large one."""
        http_response = http.client.HTTPResponse(connection)
        http_response.begin()
        chunks = []
        try:
            while chunk := http_response.read(_READ_CHUNK_BYTES):
                chunks.append(chunk)
                time.sleep(0.01)
        except (OSError, http.client.HTTPException) as error:
            return support.CallerResponse(0, connection_error=repr(error))
        return support.CallerResponse(http_response.status, {},
                                      b"".join(chunks))

    def test_long_requests_are_answered(self) -> None:
        """Guards against a stop that interrupts requests at targets."""
        caller_ids = [self.build_caller_id() for _ in range(6)]
        calls = [
            self.start_call("entry-1", caller_id, method, work_ms=2000)
            for caller_id, method in zip(caller_ids, ["GET", "POST"] * 3)
        ]
        # Only one is awaited; the others may be queued in the daemon.
        self.wait_for_execution(caller_ids[0])
        self.begin_stop("entry-1")
        for caller_id, call in zip(caller_ids, calls):
            response = call.result()
            self.assertTrue(response.is_complete_response_to(caller_id),
                            response)
            # Callers must not reuse a connection that is about to close.
            self.assertEqual(response.headers["connection"], "close")
        self.restart_after_exit("entry-1")
        self.check_journals()

    def test_slow_upload_is_served(self) -> None:
        """Guards against a stop that drops a request while its body arrives."""
        caller_id = self.build_caller_id()
        connection = self.connect()
        connection.sendall(
            f"POST /s/{support.SERVICE_NAME}/item?id={caller_id} "
            "HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n"
            "12345".encode())
        time.sleep(0.3)
        self.begin_stop("entry-1")
        time.sleep(_PAUSE_SECONDS)
        connection.sendall(b"67890")
        response = self.read_response(connection)
        self.assertTrue(response.is_complete_response_to(caller_id), response)
        self.restart_after_exit("entry-1")

    def test_slow_reader_gets_whole_answer(self) -> None:
        """Guards against a stop that truncates a response being sent."""
        caller_id = self.build_caller_id()
        connection = self.connect(small_buffer=True)
        connection.sendall(f"GET /s/{support.SERVICE_NAME}/item?id={caller_id}&"
                           f"body_bytes={_LARGE_BYTES} HTTP/1.1\r\nHost: a\r\n"
                           "\r\n".encode())
        self.wait_for_execution(caller_id)
        time.sleep(0.3)
        self.begin_stop("entry-1")
        time.sleep(2 * _PAUSE_SECONDS)
        response = self.read_response(connection)
        self.assertEqual(len(response.body), _LARGE_BYTES,
                         response.connection_error)
        self.assertTrue(response.is_complete_response_to(caller_id))
        connection.close()
        self.restart_after_exit("entry-1")

    def test_all_daemons_are_replaced(self) -> None:
        """Guards against failed requests when daemons restart under load."""
        with support.RequestLoad(self, 8, 50, one_time_interval=4) as load:
            for name in self.deployment.seats:
                n_complete_responses = load.n_complete_responses
                self.wait_for("load",
                              lambda n=n_complete_responses: load.
                              n_complete_responses > n + 100)
                self.begin_stop(name)
                self.restart_after_exit(name)
        self.assertEqual(load.get_failed_responses(), {})
        self.check_journals()


class ForwardedStopTest(support.RequestTestCase):
    """Stops daemons while a request is forwarded between them."""

    shape = support.build_deployment_shape(2, 1, 1)

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        cls.apply_patch({"op": "target_leaving", "name": "domain-1-w1"})

    def test_forwarded_answer_is_whole(self) -> None:
        """Guards against a stop that truncates a forwarded response."""
        for name in self.deployment.seats:
            with self.subTest(stopped=name):
                caller_id = self.build_caller_id()
                call = self.start_call("entry-1",
                                       caller_id,
                                       "POST",
                                       work_ms=1500,
                                       body_bytes=_LARGE_BYTES)
                self.wait_for_execution(caller_id)
                self.deployment.daemons[name].send(signal.SIGTERM)
                response = call.result()
                self.assertTrue(response.is_complete_response_to(caller_id),
                                (response.status, response.headers,
                                 response.connection_error))
                self.assertEqual(len(self.list_executions(caller_id)), 1)
                self.assertEqual(self.deployment.daemons[name].wait(60), 0)
                self.deployment.start_daemon(name)
                self.deployment.wait_ready(support.READY_TIMEOUT_SECONDS,
                                           [name])
                self.wait_for(
                    "forwarding",
                    lambda: self.call("entry-1", "warm").status == 200)
