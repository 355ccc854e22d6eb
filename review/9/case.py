"""A large request at a backend that hangs gets its final answer only after 10 s."""

import asyncio
import importlib.util
import random
import socket
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
SPEC = importlib.util.spec_from_file_location("common2", HERE.parent / "common-2.py")
common = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(common)

BACKENDS = 12
HUNG = 5  # of these; less than half
CLIENTS = 100
REQUESTS = 1  # of each client
BODY_BYTES = (3_950_000, 4_350_000)
TIMEOUT_S = 1.2  # X-Timeout
LOST_AFTER_S = TIMEOUT_S + 0.5 + 0.05  # half a second later is still no loss; 50 ms of slack
WATCHED_S = 12  # each client sends one request alone, and watches for its answer this long


class Backend(common.Server):
    """Reads the whole request and answers at once."""

    def __init__(self, name, record):
        super().__init__()
        self.name = name
        self.record = record

    async def serve(self, reader, writer):
        while (head := await common.read_head(reader)) is not None:
            left = int(head[1]["content-length"])
            while left:
                data = await reader.read(min(left, 1 << 18))
                if not data:
                    return
                left -= len(data)
            self.record(f"{self.name}: served {head[1]['x-request-id']}")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstored")
            await writer.drain()


class HungBackend:
    """Hangs: the system accepts connections and bytes as far as its buffers go, nobody reads."""

    def __init__(self, name, record):
        self.name = name
        self.record = record
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        self.connections = []

    async def hang(self):
        while True:
            connection, _ = await asyncio.get_running_loop().sock_accept(self.listener)
            self.connections.append(connection)
            self.record(f"{self.name}: hangs on a connection")


async def request(port, request_id, size, record):
    """Returns None, or that the request was lost."""
    loop = asyncio.get_running_loop()
    connection = socket.create_connection(("127.0.0.1", port))
    connection.setblocking(False)
    head = (f"POST /post-notice HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {request_id}\r\n"
            f"X-Tenant-Id: ville-riviere\r\nX-Timeout: {int(TIMEOUT_S * 1000)}m\r\n"
            f"Idempotency-Key: {request_id}{request_id}\r\nContent-Length: {size}\r\n\r\n")
    record(f"client: {request_id} begins, {size} bytes")
    answer = asyncio.create_task(loop.sock_recv(connection, 4096))
    writing = asyncio.create_task(loop.sock_sendall(connection, head.encode() + b"n" * size))
    received = None  # when the node's system had received the last byte
    while not answer.done():
        if received is None and writing.done() and common.unacknowledged(connection) == 0:
            received = time.monotonic()
        if received is not None and time.monotonic() - received > WATCHED_S:
            break
        await asyncio.sleep(0.005)
    ended = time.monotonic()
    answered = answer.done()
    written = writing.done()
    for task in (answer, writing):
        task.cancel()
    await asyncio.wait([answer, writing])
    text = "no answer"
    if answered:
        try:
            text = (answer.result().split(b"\r\n")[0]).decode() or "closed without an answer"
        except OSError as error:
            text = repr(error)
    connection.close()
    if received is None:
        state = "written, and not received whole" if written else "not written whole"
        record(f"client: {request_id} {size} bytes, {state} by the node's system: {text!r}")
        return None
    waited = ended - received
    record(f"client: {request_id} {size} bytes, {text!r} {waited:.3f} s after the node's system "
           f"had received the last byte")
    if waited > LOST_AFTER_S or not answered or not text.startswith("HTTP/1.1"):
        return f"{request_id}, {size} bytes: {text!r} {waited:.2f} s after its last byte"
    return None


async def client(port, number, record, source, broken):
    for turn in range(REQUESTS):
        size = source.randint(*BODY_BYTES)
        broken.append(await request(port, f"{turn:02x}{number:014x}", size, record))


async def case(folder, record, nodes):
    source = random.Random(8)
    backends = [await Backend(f"s-{number}", record).start() for number in range(BACKENDS)]
    hanging = []
    if common.TROUBLE:
        for number in range(HUNG):
            hung = HungBackend(backends[number].name, record)
            hanging.append(asyncio.create_task(hung.hang()))
            backends[number] = hung
    members = [common.member(one.name, one.port) for one in backends]
    discovery = await common.Discovery(members, record).start()
    node = common.Node(folder, record, common.wire_settings(), discovery.port,
                       known=discovery.whole())
    nodes.append(node)
    await node.ready()
    broken = []
    await asyncio.gather(*(client(node.port, number, record, source, broken)
                           for number in range(CLIENTS)))
    for task in hanging:
        task.cancel()
    return [one for one in broken if one]


common.play(__file__, case)
