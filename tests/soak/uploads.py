"""Bodies that callers of the reload soak send: none, with a length or in chunks, at once or slowly and in odd pieces."""

import asyncio
import random

# How a body is framed. Chunks come with extensions and with trailers at times.
FRAMINGS, FRAMING_WEIGHTS = ("none", "length", "chunks"), (2, 1, 3)
MAX_BODY_BYTES, MAX_CHUNKS = 60_000, 12
# Far below the 3 s that callers have for a request.
MAX_SENDING_S, MAX_PIECES = 1.0, 8
SLOW_SHARE, EXTENSION_SHARE, TRAILER_SHARE = 0.6, 0.3, 0.3
EXTENSIONS = (";a", ";a=b", ' ; a = "b;c"')
SIZE_FIELD = "X-Upload-Bytes"


def body_of(call, size):
    """Returns the body of a call: no two calls have the same bytes."""
    text = f"{call} ".encode()
    return (text * (size // len(text) + 1))[:size]


class Upload:
    """One request as it is sent: `parts`, with a pause before each but the first."""

    def __init__(self, parts, pauses_s):
        self.parts, self.pauses_s = parts, pauses_s

    async def send(self, channel_socket):
        loop = asyncio.get_running_loop()
        for part, pause_s in zip(self.parts, (0.0, *self.pauses_s)):
            await asyncio.sleep(pause_s)
            await loop.sock_sendall(channel_socket, part)


class UploadDraws:
    """Draws for one seed; apart from others, so that what they draw stays as it was."""

    def __init__(self, seed):
        self.random = random.Random(f"uploads {seed}")

    def upload(self, call, head):
        """Returns the upload of a call; `head` is its request line and fields, each with its line end."""
        framing = self.random.choices(FRAMINGS, FRAMING_WEIGHTS)[0]
        body = b"" if framing == "none" else body_of(call, self.random.randint(1, MAX_BODY_BYTES))
        text = head + f"{SIZE_FIELD}: {len(body)}\r\n"
        if framing == "chunks":
            return self.pieces((text + "Transfer-Encoding: chunked\r\n\r\n").encode() + self.chunked(body))
        return self.pieces((text + f"Content-Length: {len(body)}\r\n\r\n").encode() + body)

    def chunked(self, body):
        ends = sorted({*self.random.sample(range(1, len(body) + 1), min(len(body), self.random.randint(1, MAX_CHUNKS))), len(body)})
        text, begin = b"", 0
        for end in ends:
            extension = self.random.choice(EXTENSIONS) if self.random.random() < EXTENSION_SHARE else ""
            text += f"{end - begin:x}{extension}\r\n".encode() + body[begin:end] + b"\r\n"
            begin = end
        trailers = b"X-Trailer: 1\r\n" if self.random.random() < TRAILER_SHARE else b""
        return text + b"0\r\n" + trailers + b"\r\n"

    def pieces(self, text):
        if self.random.random() >= SLOW_SHARE:
            return Upload([text], [])
        cuts = sorted(self.random.sample(range(1, len(text)), self.random.randint(1, MAX_PIECES - 1)))
        parts = [text[begin:end] for begin, end in zip((0, *cuts), (*cuts, len(text)))]
        return Upload(parts, [self.random.uniform(0.0, MAX_SENDING_S / len(cuts)) for _ in cuts])


def body_violations(message):
    """Returns what an upstream got instead of the body that its caller sent."""
    _, headers, body = message
    size = headers.get(SIZE_FIELD.lower())
    call = headers.get("plumdale-request-id", "")
    if size is None or body == body_of(call, int(size)):
        return []
    return [f"UNASKED: {call} arrived with a body of {len(body)} bytes that isn't the {size} bytes of its caller"]
