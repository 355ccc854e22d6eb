"""Slow uploads that the pages allow hold every place: other requests get no answer and no refusal."""

import asyncio
import importlib.util
import socket
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
SPEC = importlib.util.spec_from_file_location("common2", HERE.parent / "common-2.py")
common = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(common)

MEMORY_MB = 48
SOCKETS = 640
SLOW_CLIENTS = 190
OTHER_CLIENTS = 20  # 210 clients together, less than a third of the descriptors
SLOW_BODY_BYTES = 1_000_000
BYTES_PER_SECOND = 64_000
TIMEOUT_S = 1.2  # X-Timeout
LOST_AFTER_S = TIMEOUT_S + 0.5 + 0.05  # half a second later is still no loss; 50 ms of slack
WATCHED_S = LOST_AFTER_S + 0.05  # then the other clients close


class Backend(common.Server):
    """Reads the whole request and answers at once."""

    def __init__(self, name, record):
        super().__init__()
        self.name = name
        self.record = record

    async def serve(self, reader, writer):
        while (head := await common.read_head(reader)) is not None:
            await common.read_body(reader, head[1])
            self.record(f"{self.name}: ran {head[1]['x-request-id']}")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nposted")
            await writer.drain()


def head_of(request_id, timeout_s, size):
    return (f"POST /post-notice HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {request_id}\r\n"
            f"X-Tenant-Id: ville-riviere\r\nX-Timeout: {int(timeout_s * 1000)}m\r\n"
            f"Idempotency-Key: {request_id}{request_id}\r\n"
            f"Content-Length: {size}\r\n\r\n").encode()


async def upload(port, number, record, counts):
    """Sends a large request, at 64 kB a second with the trouble and at once without."""
    loop = asyncio.get_running_loop()
    connection = socket.create_connection(("127.0.0.1", port))
    connection.setblocking(False)
    started = time.monotonic()
    text = "no answer"
    record(f"upload {number}: begins, {SLOW_BODY_BYTES} bytes")
    try:
        await loop.sock_sendall(connection, head_of(f"aa{number:014x}", TIMEOUT_S, SLOW_BODY_BYTES))
        sent = 0
        while sent < SLOW_BODY_BYTES:
            part = min(6400, SLOW_BODY_BYTES - sent)
            await loop.sock_sendall(connection, b"n" * part)
            sent += part
            ahead = sent / BYTES_PER_SECOND - (time.monotonic() - started)
            if common.TROUBLE and ahead > 0:
                await asyncio.sleep(ahead)
        data = await asyncio.wait_for(loop.sock_recv(connection, 4096), 10)
        text = data.split(b"\r\n")[0].decode() or "closed"
    except (OSError, asyncio.TimeoutError) as error:
        text = repr(error)
    connection.close()
    counts[text] = counts.get(text, 0) + 1
    record(f"upload {number}: {text!r} after {time.monotonic() - started:.2f} s")


async def request(port, number, record, counts):
    """Sends a small request on a new connection; returns None, or that it was lost."""
    loop = asyncio.get_running_loop()
    connection = socket.create_connection(("127.0.0.1", port))
    connection.setblocking(False)
    started = time.monotonic()
    received = None
    text = "no answer, no refusal, no close"
    try:
        await loop.sock_sendall(
            connection, head_of(f"{number:016x}", TIMEOUT_S, 200) + b"n" * 200)
        record(f"request {number}: sent")
        answer = asyncio.create_task(loop.sock_recv(connection, 4096))
        while not answer.done() and time.monotonic() - (received or time.monotonic()) < WATCHED_S \
                and time.monotonic() - started < 2 * WATCHED_S:
            if received is None and common.unacknowledged(connection) == 0:
                received = time.monotonic()
            await asyncio.sleep(0.005)
        if answer.done():
            text = answer.result().split(b"\r\n")[0].decode() or "closed"
        else:
            answer.cancel()
            await asyncio.wait([answer])
    except OSError as error:
        text = repr(error)
    ended = time.monotonic()
    connection.close()
    counts[text] = counts.get(text, 0) + 1
    waited = ended - (received or ended)
    record(f"request {number}: {text!r} {waited:.3f} s after the node's system had received it")
    if waited > LOST_AFTER_S and text.startswith(("HTTP/1.1", "no answer")):
        return f"request {number}: {text!r} {waited:.2f} s after its last byte"
    return None


async def case(folder, record, nodes):
    backends = [await Backend(f"s-{number}", record).start() for number in range(12)]
    members = [common.member(one.name, one.port) for one in backends]
    discovery = await common.Discovery(members, record).start()
    node = common.Node(folder, record, common.wire_settings(), discovery.port,
                       known=discovery.whole(), sockets=SOCKETS, memory_mb=MEMORY_MB)
    nodes.append(node)
    await node.ready()
    upload_counts, counts = {}, {}
    uploads = [asyncio.create_task(upload(node.port, number, record, upload_counts))
               for number in range(SLOW_CLIENTS)]
    await asyncio.sleep(3)
    broken = await asyncio.gather(
        *(request(node.port, number, record, counts) for number in range(OTHER_CLIENTS)))
    await asyncio.gather(*uploads)
    print(f"uploads: {upload_counts}; other requests: {counts}")
    record(f"uploads: {upload_counts}; other requests: {counts}")
    return [one for one in broken if one]


common.play(__file__, case)
