"""Check the HTTP client and server of the data path.

Responses must be complete and belong to their request, and a failure must tell whether
the request was sent.
"""

import contextlib
import unittest

import anyio

from lentilrouter.datapath import messages, sending, serving
from tests import doubles

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n"


class Script:
    """A server that follows a list of steps for each connection.

    A step is bytes to send, ``"receive"``, ``"close"``, ``"wait"`` (5 s) or
    ``"pause"`` (0.03 s).
    """

    def __init__(self, *connections):
        self.connections = list(connections)
        self.received = []

    async def serve(self, stream):
        """Run the steps of the next connection."""
        steps = self.connections.pop(0) if self.connections else ["wait"]
        async with stream:
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                for step in steps:
                    if step == "wait":
                        await anyio.sleep(5)
                    elif step == "pause":
                        await anyio.sleep(0.03)
                    elif step == "close":
                        return
                    elif step == "receive":
                        self.received.append(await stream.receive())
                    else:
                        await stream.send(step)
                await anyio.sleep(0.2)


class ClientTests(unittest.TestCase):
    """Send requests to a scripted server (promises 5 and 6)."""

    def run_script(self, script, count=1, seconds=0.5, pause=0.02, method="GET"):
        """Send ``count`` requests one after the other and return the results."""

        async def main():
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            client = sending.Client(doubles.settings())
            results = []
            async with anyio.create_task_group() as group:
                group.start_soon(listener.serve, script.serve)
                for number in range(count):
                    request = messages.Request(method, f"/{number}", [], b"x")
                    address = f"127.0.0.1:{port}"
                    results.append(await client.send(address, request, seconds))
                    await anyio.sleep(pause)
                group.cancel_scope.cancel()
            await listener.aclose()
            client.close()
            return results

        return anyio.run(main)

    # Guards against a new connection for each request.
    def test_complete_responses_reuse_the_connection(self):
        script = Script(
            ["receive", RESPONSE_HEAD + b"ab", "receive", RESPONSE_HEAD + b"cd"]
        )
        first, second = self.run_script(script, 2)
        self.assertEqual((first.response.body, second.response.body), (b"ab", b"cd"))
        self.assertEqual(len(script.received), 2)

    # Guards against passing a late response to the next request on its connection.
    def test_late_response_never_reaches_the_next_request(self):
        script = Script(
            ["receive", "wait", RESPONSE_HEAD + b"ab"],
            ["receive", RESPONSE_HEAD + b"cd"],
        )
        first, second = self.run_script(script, 2, seconds=0.2)
        self.assertIsInstance(first, messages.Late)
        self.assertEqual(second.response.body, b"cd")

    # Guards against a surplus response that arrives together with the expected one.
    def test_surplus_response_is_not_taken_for_the_next_one(self):
        script = Script(
            ["receive", RESPONSE_HEAD + b"ab" + RESPONSE_HEAD + b"zz"],
            ["receive", RESPONSE_HEAD + b"cd"],
        )
        first, second = self.run_script(script, 2)
        self.assertEqual(second.response.body, b"cd")
        self.assertEqual(first.response.body, b"ab")

    # Guards against a surplus response that arrives while the connection is idle.
    def test_surplus_response_while_idle_closes_the_connection(self):
        script = Script(
            ["receive", RESPONSE_HEAD + b"ab", "pause", RESPONSE_HEAD + b"zz"],
            ["receive", RESPONSE_HEAD + b"cd"],
        )
        results = self.run_script(script, 2, pause=0.08)
        self.assertEqual(results[1].response.body, b"cd")

    # Guards against a truncated response that is taken for complete.
    def test_truncated_responses_are_broken(self):
        for half in (RESPONSE_HEAD, RESPONSE_HEAD + b"a", RESPONSE_HEAD[:20]):
            with self.subTest(half=half):
                script = Script(["receive", half, "close"])
                result = self.run_script(script)[0]
                self.assertIsInstance(result, messages.Broken)
                self.assertEqual(result.started, len(half) > 20)

    # Guards against a response without a length that may be truncated.
    def test_response_without_a_length_is_broken(self):
        script = Script(["receive", b"HTTP/1.1 200 OK\r\n\r\nab", "close"])
        self.assertIsInstance(self.run_script(script)[0], messages.Broken)

    # Guards against a client that raises an exception or waits until the timeout.
    def test_malformed_response_is_broken(self):
        script = Script(["receive", b"garbage\r\n\r\n"])
        self.assertIsInstance(self.run_script(script)[0], messages.Broken)

    # Guards against a failed request on a connection that the server has closed.
    def test_connection_closed_while_idle_is_not_used(self):
        script = Script(
            ["receive", RESPONSE_HEAD + b"ab", "close"],
            ["receive", RESPONSE_HEAD + b"cd"],
        )
        results = self.run_script(script, 2, pause=0.1, method="POST")
        self.assertEqual(results[1].response.body, b"cd")

    # Guards against ``NotSent``, after which the request would be run twice.
    def test_connection_closed_before_any_response_is_broken(self):
        result = self.run_script(Script(["receive", "close"]), method="POST")[0]
        self.assertIsInstance(result, messages.Broken)

    # Guards against an outcome after which the request may not be retried.
    def test_refused_connection_is_not_sent(self):
        async def main():
            client = sending.Client(doubles.settings())
            request = messages.Request("POST", "/", [], b"x")
            return await client.send("127.0.0.1:1", request, 1.0)

        self.assertIsInstance(anyio.run(main), messages.NotSent)


class ServerTests(unittest.TestCase):
    """Send bytes to the server (promises 6 and 10)."""

    def run_server(self, *sends, calls=None, until=b"", cancellable=True):
        """Send each of ``sends`` and return what the server did.

        Return the bytes received within 1 s or up to ``until``, the requests that
        were handled, and those whose handler finished. Check that the memory of all
        bodies was released.
        """

        async def handler(request):
            handled.append(request)
            await anyio.sleep(0.05)
            finished.append(request)
            return messages.Response(200, [], request.body or b"ok")

        handled, finished, received = [], [], b""
        settings = doubles.settings(
            calls={"max_body_bytes": 1024, "body_memory_bytes": 4096, **(calls or {})}
        )

        async def main():
            nonlocal received
            server = serving.Server(
                handler,
                lambda status: messages.Response(status, [], b"refused"),
                lambda request: cancellable,
                settings,
            )
            async with anyio.create_task_group() as group:
                await server.start("127.0.0.1", 0, group)
                port = server.listener.sockets[0].getsockname()[1]
                async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                    for data in sends:
                        await stream.send(data)
                        await anyio.sleep(0.02)
                    with (
                        anyio.move_on_after(1.0),
                        contextlib.suppress(anyio.EndOfStream),
                    ):
                        while not until or until not in received:
                            received += await stream.receive()
                await anyio.sleep(0.15)
                budgets.append(server.budget.used)
                group.cancel_scope.cancel()

        budgets = []
        anyio.run(main)
        self.assertEqual(budgets, [0], "memory for bodies was not released")
        return received, handled, finished

    # Guards against responses that callers assign to the wrong request.
    def test_pipelined_requests_are_answered_in_order(self):
        data = b"POST / HTTP/1.1\r\ncontent-length: 2\r\n\r\nab"
        received, _, _ = self.run_server(data + data.replace(b"ab", b"cd"), until=b"cd")
        self.assertLess(received.index(b"ab"), received.index(b"cd"))

    # Guards against a chunked body that is not put together completely.
    def test_chunked_body_in_pieces_is_joined(self):
        head = b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
        received, handled, _ = self.run_server(
            head, b"2\r\nab\r\n", b"1\r\nc\r\n0\r\n\r\n", until=b"abc"
        )
        self.assertEqual(handled[0].body, b"abc")

    # Guards against reading a body beyond the limit into memory.
    def test_too_large_a_body_is_refused_and_not_handled(self):
        data = b"POST / HTTP/1.1\r\ncontent-length: 2000\r\n\r\n" + b"x" * 2000
        received, handled, _ = self.run_server(data)
        self.assertIn(b" 413 ", received)
        self.assertEqual(handled, [])

    # Guards against a server that raises an exception or sends no response.
    def test_malformed_request_is_refused(self):
        received, handled, _ = self.run_server(b"NONSENSE\r\n\r\n")
        self.assertIn(b" 400 ", received)
        self.assertEqual(handled, [])

    # Guards against running a request of which only a part arrived.
    def test_incomplete_request_is_not_handled(self):
        _, handled, _ = self.run_server(
            b"POST / HTTP/1.1\r\ncontent-length: 9\r\n\r\nab", b"", until=b""
        )
        self.assertEqual(handled, [])

    # Guards against work for callers that disconnected, and against cancelling
    # requests that may not be repeated.
    def test_only_cancellable_requests_end_when_the_caller_disconnects(self):
        for cancellable, finishes in ((True, 0), (False, 1)):
            with self.subTest(cancellable=cancellable):
                data = b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n"
                _, handled, finished = self.disconnect_early(data, cancellable)
                self.assertEqual((len(handled), len(finished)), (1, finishes))

    def disconnect_early(self, data, cancellable):
        """Send a request and disconnect before the response."""
        handled, finished = [], []

        async def handler(request):
            handled.append(request)
            await anyio.sleep(0.1)
            finished.append(request)
            return messages.Response(200, [], b"ok")

        async def main():
            server = serving.Server(
                handler,
                lambda status: messages.Response(status, []),
                lambda request: cancellable,
                doubles.settings(),
            )
            async with anyio.create_task_group() as group:
                await server.start("127.0.0.1", 0, group)
                port = server.listener.sockets[0].getsockname()[1]
                stream = await anyio.connect_tcp("127.0.0.1", port)
                await stream.send(data)
                await anyio.sleep(0.03)
                await stream.aclose()
                await anyio.sleep(0.2)
                group.cancel_scope.cancel()

        anyio.run(main)
        return None, handled, finished

    # Guards against connections that are served beyond the limit.
    def test_number_of_connections_is_limited(self):
        received, handled, _ = self.run_server(
            b"GET / HTTP/1.1\r\n\r\n", calls={"max_connections": 1}, until=b"ok"
        )
        self.assertIn(b" 200 ", received)
        received, handled, _ = self.run_server(
            b"GET / HTTP/1.1\r\n\r\n", calls={"max_connections": 0}
        )
        self.assertIn(b" 503 ", received)
        self.assertEqual(handled, [])


if __name__ == "__main__":
    unittest.main()
