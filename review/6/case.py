"""A second answer that comes some milliseconds late is handed to another client."""

import asyncio
import importlib.util
import random
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
SPEC = importlib.util.spec_from_file_location("common2", HERE.parent / "common-2.py")
common = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(common)

BACKENDS = 10
CLIENTS = 20
REQUESTS_PER_SECOND = 190
SECONDS = 40
SPOILT = 1 / 20  # part of the answers that come twice
LATE_S = (0.006, 0.009)  # how much later the second one comes


class Backend(common.Server):
    """Serves one request at a time on a connection; the body names the request."""

    def __init__(self, name, record, random_source):
        super().__init__()
        self.name = name
        self.record = record
        self.random = random_source
        self.ran = 0

    async def serve(self, reader, writer):
        while (head := await common.read_head(reader)) is not None:
            body = await common.read_body(reader, head[1])
            request_id = head[1].get("x-request-id")
            self.ran += 1
            await asyncio.sleep(self.random.uniform(0.010, 0.030))
            text = f"posted {request_id} {len(body)}".encode()
            answer = (b"HTTP/1.1 200 OK\r\nX-Server-Load: {\"utilization\":0.4,\"backlog\":0}\r\n"
                      b"Content-Length: %d\r\n\r\n" % len(text) + text)
            writer.write(answer)
            if common.TROUBLE and self.random.random() < SPOILT:
                late = self.random.uniform(*LATE_S)
                asyncio.get_running_loop().call_later(
                    late, self.second_answer, writer, answer, request_id, late)
            await writer.drain()

    def second_answer(self, writer, answer, request_id, late):
        if not writer.is_closing():
            self.record(f"{self.name}: second answer to {request_id} after {late * 1000:.1f} ms")
            writer.write(answer)


class Clients:
    """Sends requests at random times on kept connections, one at a time on each."""

    def __init__(self, port, record, random_source):
        self.port = port
        self.record = record
        self.random = random_source
        self.idle = []
        self.counts = {}
        self.broken = []

    async def request(self, number):
        request_id = f"{number:08x}{self.random.getrandbits(32):08x}"
        body = b"n" * self.random.randrange(50, 400)
        tenant = self.random.choices(
            ["ville-riviere", "lac-des-pins", "saint-aubin", "mont-gagnon"], [53, 24, 12, 11])[0]
        message = (
            f"POST /post-notice HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {request_id}\r\n"
            f"X-Tenant-Id: {tenant}\r\nX-Timeout: 1200m\r\n"
            f"Idempotency-Key: {self.random.getrandbits(128):032x}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        head = None
        sent = time.monotonic()
        while self.idle and head is None:
            # A close that crosses the request: it is sent once more on another connection.
            reader, writer = self.idle.pop()
            if not reader.at_eof():
                writer.write(message)
                head = await asyncio.wait_for(common.read_head(reader), 5)
        if head is None:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(message)
            head = await asyncio.wait_for(common.read_head(reader), 5)
        if head is None:
            raise common.CannotRun("a node closed a new connection without an answer")
        answer = (await common.read_body(reader, head[1])).decode()
        status = int(head[0].split(" ")[1])
        self.counts[status] = self.counts.get(status, 0) + 1
        self.record(f"client: {request_id} {status} {(time.monotonic() - sent) * 1000:.1f} ms "
                    f"{answer!r}")
        if status == 200 and answer != f"posted {request_id} {len(body)}":
            self.broken.append(f"request {request_id} was answered with {answer!r}")
        if head[1].get("connection", "").lower() == "close":
            writer.close()
        else:
            self.idle.append((reader, writer))


async def case(folder, record, nodes):
    source = random.Random(6)
    backends = [await Backend(f"s-{number}", record, source).start() for number in range(BACKENDS)]
    members = [common.member(one.name, one.port, cell=number // 4)
               for number, one in enumerate(backends)]
    discovery = await common.Discovery(members, record).start()
    node = common.Node(folder, record, common.wire_settings(), discovery.port,
                       known=discovery.whole())
    nodes.append(node)
    await node.ready()
    clients = Clients(node.port, record, source)
    tasks = []
    end = time.monotonic() + SECONDS
    number = 0
    while time.monotonic() < end:
        tasks.append(asyncio.create_task(clients.request(number)))
        number += 1
        await asyncio.sleep(source.expovariate(REQUESTS_PER_SECOND))
    await asyncio.gather(*tasks)
    record(f"statuses {clients.counts}")
    print(f"{number} requests, statuses {clients.counts}")
    if clients.counts.get(200, 0) < number / 2:
        raise common.CannotRun("less than half of the requests were served")
    return clients.broken


common.play(__file__, case)
