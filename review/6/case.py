"""Requests and answers of up to 64 KiB take the node far over its limit on memory."""

import asyncio
import importlib.util
import signal
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
SPEC = importlib.util.spec_from_file_location("common2", HERE.parent / "common-2.py")
common = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(common)

MEMORY_MB = 48
SOCKETS = 384
CLIENTS = 128  # a third of the descriptors
BACKENDS = 12
SECONDS = 20
BODY_BYTES = 65_536 if common.TROUBLE else 1_000  # a body holds at most 64 KiB
WORK_S = 0.5


class Backend(common.Server):
    """Works for a while on each request, with as many at a time as there are connections."""

    def __init__(self, record):
        super().__init__()
        self.record = record

    async def serve(self, reader, writer):
        while (head := await common.read_head(reader)) is not None:
            body = await common.read_body(reader, head[1])
            self.record(f"ran {head[1]['x-request-id']}, {len(body)} bytes")
            await asyncio.sleep(WORK_S)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await writer.drain()


class Clients:
    """Each sends one request after the other, on a connection that it keeps."""

    def __init__(self, port, record):
        self.port = port
        self.record = record
        self.counts = {}

    def count(self, request_id, what):
        self.record(f"{request_id}: {what}")
        self.counts[what] = self.counts.get(what, 0) + 1

    async def send(self, number, end):
        reader = writer = None
        turn = 0
        while time.monotonic() < end:
            turn += 1
            request_id = f"{number:08x}{turn:08x}"
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(
                        "127.0.0.1", self.port, limit=1 << 20)
                writer.write(
                    f"POST /post-notice HTTP/1.1\r\nHost: api.internal\r\n"
                    f"X-Request-ID: {request_id}\r\nX-Tenant-Id: ville-riviere\r\n"
                    f"X-Timeout: 1300m\r\nIdempotency-Key: {number:016x}{turn:016x}\r\n"
                    f"Content-Length: {BODY_BYTES}\r\n\r\n".encode() + b"n" * BODY_BYTES)
                self.record(f"{request_id}: sent {BODY_BYTES} bytes")
                head = await common.read_head(reader)
                if head is None:
                    raise ConnectionError
                await common.read_body(reader, head[1])
            except (OSError, asyncio.IncompleteReadError):
                self.count(request_id, "no answer: the connection ended")
                writer = None
                await asyncio.sleep(0.5)
                continue
            self.count(request_id, head[0].split(" ")[1])
            if head[1].get("connection", "").lower() == "close":
                writer.close()
                writer = None


def anonymous_mb(pid):
    """Returns the memory that is the process's own, without the mapped program."""
    for line in Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1024
    raise common.CannotRun("the system does not tell RssAnon")


async def case(folder, record, nodes):
    backends = [await Backend(record).start() for _ in range(BACKENDS)]
    members = [common.member(f"s-{number}", one.port, cell=number // 4)
               for number, one in enumerate(backends)]
    discovery = await common.Discovery(members, record).start()
    node = common.Node(folder, record, common.wire_settings(), discovery.port,
                       known=discovery.whole(), sockets=SOCKETS, memory_mb=MEMORY_MB)
    nodes.append(node)
    await node.ready()
    clients = Clients(node.port, record)
    end = time.monotonic() + SECONDS
    tasks = [asyncio.create_task(clients.send(number, end)) for number in range(CLIENTS)]
    broken = []
    peak = 0.0
    while time.monotonic() < end:
        if node.process.poll() is None:
            now = anonymous_mb(node.process.pid)
            if int(now) > int(peak):
                record(f"node: {now:.1f} MB of its own; answers {clients.counts}")
            peak = max(peak, now)
            if now > MEMORY_MB:
                # What the platform does: "Over memory_mb the node is killed."
                broken.append(f"the node had {now:.1f} MB of its own, {MEMORY_MB} MB are its "
                              "limit, and was killed for it")
                node.signal(signal.SIGKILL)
                node.process.wait()
        await asyncio.sleep(0.02)
    await asyncio.wait(tasks, timeout=5)
    record(f"peak {peak:.1f} MB, answers {clients.counts}")
    print(f"peak {peak:.1f} of {MEMORY_MB} MB, answers {clients.counts}")
    if clients.counts.get("200", 0) < 100:
        raise common.CannotRun("hardly any request was served")
    return broken


common.play(__file__, case)
