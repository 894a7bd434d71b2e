"""Responses that the store must not send, with real processes."""

import os
import tempfile
import time
import unittest
from unittest import mock

import test_faulty_responses
from faultyserver import EndlessWriter, FaultyServer
from fleet import SETTINGS, TOKEN, Host


class EndlessStoreResponse(unittest.TestCase):
    """Guards against the end of a host's process by a response of the store that has no end."""

    SECONDS = 4
    MAX_GROWTH_BYTES = 96 << 20

    def check(self, start, part):
        store = FaultyServer(EndlessWriter("/", start, part))
        with mock.patch.dict(os.environ, test_faulty_responses.EndlessResponse.ENVIRONMENT), tempfile.TemporaryDirectory() as folder:
            host = Host(folder, "h1", SETTINGS.format(name="h1", domain="d1", token=TOKEN, store=store.address, peers=""))
            try:
                before = test_faulty_responses.peak_memory(host.process)
                time.sleep(self.SECONDS)
                self.assertIsNone(host.process.poll())
                self.assertLess(test_faulty_responses.peak_memory(host.process) - before, self.MAX_GROWTH_BYTES)
                self.assertGreater(len(host.events("store-lost")), 0)
            finally:
                host.close()
                store.close()

    def test_body_without_a_length(self):
        self.check(test_faulty_responses.EndlessResponse.OK_HEAD + b"\r\n", b"a" * 65536)

    def test_body_with_a_far_too_large_length(self):
        self.check(test_faulty_responses.EndlessResponse.OK_HEAD + b"Content-Length: 1818181818181818181\r\n\r\n", b"a" * 65536)

    def test_chunks(self):
        self.check(test_faulty_responses.EndlessResponse.CHUNKED, b"4000\r\n" + b"a" * 0x4000 + b"\r\n")

    def test_header_line(self):
        self.check(test_faulty_responses.EndlessResponse.OK_HEAD + b"X-Long: ", b"a")


if __name__ == "__main__":
    unittest.main()
