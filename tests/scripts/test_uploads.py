"""What the reload soak's callers upload, and when an upstream takes a body for another."""

import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "soak"))

from uploads import MAX_BODY_BYTES, MAX_SENDING_S, SIZE_FIELD, UploadDraws, body_of, body_violations  # noqa: E402  (its folder is on the path only now)

HEAD = "POST /draft/c HTTP/1.1\r\nHost: soak\r\n"


def decoded(text):
    """Returns the framing and the body of a request; an independent reading of chunks."""
    head, _, rest = text.partition(b"\r\n\r\n")
    if b"Transfer-Encoding: chunked" not in head:
        length = int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
        assert len(rest) == length
        return "length" if length else "none", rest
    body = b""
    while True:
        line, _, rest = rest.partition(b"\r\n")
        size = int(line.split(b";")[0], 16)
        if size == 0:
            assert rest in (b"\r\n", b"X-Trailer: 1\r\n\r\n")
            return "chunks", body
        body, rest = body + rest[:size], rest[size:]
        assert rest.startswith(b"\r\n")
        rest = rest[2:]


class Uploads(unittest.TestCase):
    def setUp(self):
        self.uploads = [UploadDraws(seed).upload("c", HEAD) for seed in range(300)]

    def test_draws_each_framing_whole(self):
        framings = set()
        for upload in self.uploads:
            framing, body = decoded(b"".join(upload.parts))
            framings.add(framing)
            self.assertEqual(body, body_of("c", len(body)))
            self.assertLessEqual(len(body), MAX_BODY_BYTES)
        self.assertEqual(framings, {"none", "length", "chunks"})

    def test_sends_in_time(self):
        self.assertTrue(any(upload.pauses_s for upload in self.uploads))
        for upload in self.uploads:
            self.assertEqual(len(upload.parts), len(upload.pauses_s) + 1)
            self.assertLessEqual(sum(upload.pauses_s), MAX_SENDING_S)

    def test_repeats_with_its_seed(self):
        self.assertEqual([upload.parts for upload in self.uploads], [UploadDraws(seed).upload("c", HEAD).parts for seed in range(300)])

    def test_finds_another_body(self):
        headers = {SIZE_FIELD.lower(): "5", "plumdale-request-id": "call"}
        self.assertEqual(body_violations(("POST / HTTP/1.1", headers, b"call ")), [])
        for body in (b"", b"call", b"call c", b"other"):
            self.assertEqual(len(body_violations(("POST / HTTP/1.1", headers, body))), 1)
        self.assertEqual(body_violations(("POST / HTTP/1.1", {}, b"any")), [])


if __name__ == "__main__":
    unittest.main()
