"""A planned restart cuts off the end of large answers that clients read slowly."""

import asyncio
import importlib.util
import signal
import socket
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
SPEC = importlib.util.spec_from_file_location("common2", HERE.parent / "common-2.py")
common = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(common)

CLIENTS = 40
FIRST_BYTES, STEP_BYTES = 600_000, 4_000  # the answers' sizes: 0.60 to 0.76 MB
READ_BYTES_PER_SECOND = 64_000
SIGTERM_AFTER_S = 2.5


class Backend(common.Server):
    """Answers at once; the path ends with the size of the answer."""

    def __init__(self, name, record):
        super().__init__()
        self.name = name
        self.record = record

    async def serve(self, reader, writer):
        while (head := await common.read_head(reader)) is not None:
            await common.read_body(reader, head[1])
            size = int(head[0].split(" ")[1].rsplit("/", 1)[1])
            self.record(f"{self.name}: {head[1]['x-request-id']} answered with {size} bytes")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            writer.write(bytes(number % 251 for number in range(1000)) * (size // 1000))
            await writer.drain()


async def client(port, number, record):
    """Returns None, or what is wrong with the answer."""
    loop = asyncio.get_running_loop()
    size = FIRST_BYTES + number * STEP_BYTES
    request_id = f"{number:016x}"
    connection = socket.create_connection(("127.0.0.1", port))
    connection.setblocking(False)
    await loop.sock_sendall(
        connection,
        f"POST /post-notice/{size} HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {request_id}\r\n"
        f"X-Tenant-Id: ville-riviere\r\nX-Timeout: 2400m\r\n"
        f"Idempotency-Key: {number:032x}\r\nContent-Length: 6\r\n\r\nnotice".encode())
    received = b""
    started = time.monotonic()
    end = "the whole answer"
    while True:
        head, separator, body = received.partition(b"\r\n\r\n")
        if separator and len(body) >= size:
            break
        try:
            data = await asyncio.wait_for(loop.sock_recv(connection, 6400), 15)
        except (ConnectionError, asyncio.TimeoutError) as error:
            end = repr(error)
            break
        if not data:
            end = "end of the connection"
            break
        received += data
        ahead = len(received) / READ_BYTES_PER_SECOND - (time.monotonic() - started)
        await asyncio.sleep(max(0.0, ahead))
    connection.close()
    status = head.split(b"\r\n")[0].decode()
    record(f"client: {request_id} {status!r}, {len(body)} of {size} bytes, then {end}")
    if status.startswith("HTTP/1.1 200") and body != (
            bytes(one % 251 for one in range(1000)) * (size // 1000)):
        return f"answer {request_id}: {len(body)} of {size} bytes, then {end}"
    return None


async def case(folder, record, nodes):
    backends = [await Backend(f"s-{number}", record).start() for number in range(4)]
    members = [common.member(one.name, one.port) for one in backends]
    discovery = await common.Discovery(members, record).start()
    node = common.Node(folder, record, common.wire_settings(), discovery.port,
                       known=discovery.whole())
    nodes.append(node)
    await node.ready()
    tasks = [asyncio.create_task(client(node.port, number, record)) for number in range(CLIENTS)]
    await asyncio.sleep(SIGTERM_AFTER_S)
    if common.TROUBLE:
        node.signal(signal.SIGTERM)
        signalled = time.monotonic()
        # SIGKILL is never sent before the node has ended by itself.
        while node.process.poll() is None and time.monotonic() - signalled < 45:
            await asyncio.sleep(0.02)
        code = node.process.poll()
        lasted = time.monotonic() - signalled
        record(f"node ended with {code}, {lasted:.2f} s after SIGTERM")
        print(f"the node ended with {code}, {lasted:.2f} s after SIGTERM")
    return [wrong for wrong in await asyncio.gather(*tasks) if wrong]


common.play(__file__, case)
