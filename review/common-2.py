"""Stand-ins and tools that the cases 6 to 10 share.

All of it runs in the process of the case: discovery, backends and clients are
asyncio servers and tasks on loopback addresses. Only the nodes are processes of
their own, started with the `run` line of deploy/balancer.toml.
"""

import asyncio
import ctypes
import fcntl
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import termios
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be played: exit 2."""


class Record:
    """record.txt: what was sent, answered and run, with the time in seconds."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        self.file.write(f"{self.now():9.4f} {text}\n")
        self.file.flush()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def unacknowledged(connection):
    """Returns how many bytes the client's system holds that the node's has not received."""
    return struct.unpack("i", fcntl.ioctl(connection, termios.TIOCOUTQ, b"\0" * 4))[0]


def wire_settings(**changes):
    """The settings that WIRE gives as an example, of montreal-main, with changes by path."""
    settings = {
        "balancers": 1,
        "clients": {"marks_retry": False},
        "extra": {"warm_keys": False},
        "goal": {"whole": 0.7, "worst_class": 0.0, "worst_tenant": 0.25, "worst_window": 0.05},
        "kind_of_service": "proxy",
        "kinds": ["std-fast", "std-mid", "std-slow"],
        "limits": {
            "conn_idle_ns": 15000000000, "connect_timeout_ns": 250000000,
            "cpu_us_per_request": 0.0, "cpu_us_per_s": 26166, "max_open": 34888,
            "max_retry_after_ns": 1200000000, "may_cancel": True, "may_probe": False,
            "peer_messages": False, "retry_after": True, "second_copies": True,
            "streams_per_conn": 1, "try_limit": 5},
        "me": 0,
        "over_share_worth": 0.05,
        "profiles": [{
            "deadline_ns": 2500000000, "effect": "guarded", "importance": 1.0,
            "key_scope": "cell", "late_worth": 0.0, "name": "post-notice",
            "promise_ns": 600000000, "repeat_window_ns": 2500000000, "streaming": False}],
        "registry_mode": "subscribe",
        "report": {"fields": ["utilization", "backlog"], "how": "piggyback"},
        "rules": {
            "answer_slack_ns": 20000000, "ask_every_ns": 10000000000, "cold_from": 0.3,
            "drain_grace_ns": 400000000, "fall_multiple": 3.0, "overload_for_ns": 1000000000,
            "warm_up_ns": 8800000000},
        "tenants": [
            {"name": "ville-riviere", "quota_per_s": 83.0, "share": 0.53},
            {"name": "lac-des-pins", "quota_per_s": 38.0, "share": 0.24},
            {"name": "saint-aubin", "quota_per_s": 19.0, "share": 0.12},
            {"name": "mont-gagnon", "quota_per_s": 17.0, "share": 0.11}],
        "tick_ns": 5000000,
        "tier": 0,
        "tiers": ["post-web"],
        "weights": "rough",
        "worth_by": "work",
        "zone": 0,
        "zones": ["mtl-1"],
    }
    for path, value in changes.items():
        *parents, last = path.split("__")
        place = settings
        for key in parents:
            place = place[int(key) if key.isdigit() else key]
        place[last] = value
    return settings


def member(name, port, phase="active", cell=1, up_since_ms=0):
    return {"id": name, "host_port": f"127.0.0.1:{port}", "locality": "mtl-1",
            "flavor": "std-mid", "cell": cell, "phase": phase, "size": 1.0,
            "up_since_ms": up_since_ms}


# ---- HTTP ----


async def read_head(reader):
    """Returns the first line and the headers of a message; None at the end of the stream."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Returns the body of a message, or raises if it ends before its end."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return b""


# ---- stand-ins ----


class Server:
    """A server on a free loopback port that runs `serve(reader, writer)` for each connection."""

    def __init__(self):
        self.port = None
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, limit=1 << 20, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # Cancelled at the end of the case only.
        finally:
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError


class Discovery(Server):
    """Discovery as PROTOCOL has it: the whole list, and a watch with an empty line every 2 s."""

    def __init__(self, members, record):
        super().__init__()
        self.members = {one["id"]: one for one in members}
        self.revision = 41
        self.changed = {}  # id -> revision of its last change
        self.record = record
        self.news = asyncio.Condition()

    def whole(self):
        members = [one for one in self.members.values() if one["phase"] != "left"]
        return {"revision": self.revision, "complete": True, "members": members}

    async def change(self, one):
        async with self.news:
            self.revision += 1
            self.members[one["id"]] = one
            self.changed[one["id"]] = self.revision
            self.record(f"discovery revision {self.revision}: {one['id']} {one['phase']}")
            self.news.notify_all()

    async def serve(self, reader, writer):
        while (head := await read_head(reader)) is not None:
            target = head[0].split(" ")[1]
            path, _, query = target.partition("?")
            if path != "/registry/instances":
                writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                continue
            values = dict(part.split("=") for part in query.split("&") if part)
            if values.get("follow") == "1":
                return await self.watch(writer, int(values.get("since", 0)))
            body = json.dumps(self.whole()).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await writer.drain()

    async def watch(self, writer, since):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

        def line(text):
            writer.write(b"%x\r\n" % (len(text) + 1) + text + b"\n\r\n")

        if since < 41:
            line(json.dumps(self.whole()).encode())
            since = self.revision
        while True:
            async with self.news:
                if self.revision <= since:
                    try:
                        await asyncio.wait_for(self.news.wait(), 2.0)
                    except asyncio.TimeoutError:
                        pass
                changes = [self.members[name] for name, at in self.changed.items() if at > since]
                since = self.revision
            if changes:
                text = {"revision": since, "complete": False, "members": changes}
                line(json.dumps(text).encode())
            else:
                line(b"")
            await writer.drain()


# ---- nodes ----


class Node:
    """One process of a node, started as the deploy file says."""

    def __init__(self, folder, record, settings, discovery, known=None, name="n0", sockets=512,
                 memory_mb=128):
        self.record = record
        self.tag = name
        self.port = free_port()
        self.config = Path(folder) / f"config-{self.tag}.json"
        config = {
            "name": name, "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{discovery}", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "settings": settings}
        if known is not None:
            config["known"] = known
        self.config.write_text(json.dumps(config), encoding="utf-8")
        self.tmpdir = Path(folder) / f"tmp-{self.tag}"
        self.tmpdir.mkdir()
        self.log = Path(folder) / f"log-{self.tag}.txt"
        environment = {key: value for key, value in os.environ.items()
                       if not key.startswith("GW_")}
        environment.update(
            GW_NAME=name, GW_LISTEN=f"127.0.0.1:{self.port}",
            GW_DISCOVERY=f"127.0.0.1:{discovery}", GW_CONFIG=str(self.config),
            TMPDIR=str(self.tmpdir))
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy_line("run")], cwd=ROOT, env=environment,
                stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                preexec_fn=end_with_parent)
        record(f"node {self.tag}: started, listens on {self.port}")

    async def ready(self, limit=10.0):
        deadline = time.monotonic() + limit
        while time.monotonic() < deadline:
            if self.process.poll() is not None:
                raise CannotRun(f"node {self.tag} ended: {self.log.read_text()[-2000:]}")
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: api.internal\r\n"
                             b"Connection: close\r\n\r\n")
                head = await asyncio.wait_for(read_head(reader), 1.0)
                writer.close()
                if head is not None and " 200" in head[0]:
                    self.record(f"node {self.tag}: ready")
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"node {self.tag} is not ready")

    def signal(self, number):
        self.record(f"node {self.tag}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1


def end_with_parent():
    """Runs in a new node before its exec: the system kills the node when the case ends."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def deploy_line(key):
    for line in (ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8").splitlines():
        name, _, value = line.partition("=")
        if name.strip() == key:
            return value.strip()[1:].split('"')[0]
    raise CannotRun(f"deploy/balancer.toml has no {key}")


SIGNALS = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP, signal.SIGALRM)
BROKEN = 11  # run.sh exits with 1 for it: an interpreter that fails by itself ends with 1 as well


def play(file, case):
    """Runs `case(folder, record, nodes)`, which returns the broken rules, and exits by them: with
    0, with BROKEN, or with 2 if the case could not run.

    `nodes` is a list; every node in it is ended at the end. If the case itself is killed, the
    system kills the nodes, and a waiting shell removes the folder.
    """
    # A signal ends this process at once: the system kills the nodes then, and the shell below
    # removes the folder.
    for number in SIGNALS:
        signal.signal(number, lambda *_: os._exit(2))
    signal.alarm(115)
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGTERM)  # The end of run.sh, however it comes, ends this.
    if os.environ.get("RUN_SH", str(os.getppid())) != str(os.getppid()):
        os._exit(2)
    record = nodes = folder = remover = None
    code = 2
    try:
        folder = Path(tempfile.mkdtemp(prefix="case-"))
        remover = subprocess.Popen(
            ["/bin/sh", "-c", 'read -r _; sleep 0.2; rm -rf "$0"', str(folder)],
            stdin=subprocess.PIPE, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
            start_new_session=True)
        record = Record(Path(file).resolve().parent)
        nodes = []
        if not (ROOT / "target" / "release" / "balancer-proxy").exists():
            raise CannotRun("the node is not built: run the deploy file's build")
        record(f"TROUBLE={int(TROUBLE)}")
        loop = asyncio.new_event_loop()
        asyncio.set_event_loop(loop)
        broken = loop.run_until_complete(asyncio.wait_for(case(folder, record, nodes), 110))
        for line in broken:
            record(f"BROKEN {line}")
        for line in broken[:5]:
            print(f"broken: {line}")
        print(f"{len(broken)} broken" if broken else "held")
        code = BROKEN if broken else 0
    except Exception as error:  # Whatever else fails says nothing of the rule.
        print(f"could not run: {error!r}")
        if record is not None:
            record(f"could not run: {error!r}")
    finally:
        for number in SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        for node in nodes or []:
            node.stop()
            record(f"log of {node.tag}:")
            for line in node.log.read_text(errors="replace").splitlines()[-200:]:
                record(f"  {line}")
        if remover is not None:
            remover.stdin.close()
            remover.wait()
        elif folder is not None:
            shutil.rmtree(folder, ignore_errors=True)
    sys.stdout.flush()
    os._exit(code)  # A node that is not in the list ends with this process.
