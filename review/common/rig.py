"""Starts one node by the deploy file's command, with stand-ins for discovery and the platform."""

import json
import os
import pathlib
import select
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
TIME_LIMIT_S = 110
# Exit codes of a case; run.sh makes 0 and 1 of the first two, and 2 of any other.
HELD, BROKEN, COULD_NOT_RUN = 10, 11, 12

# Starts `run` as the deploy page says, in a process that the system ends with this one, however that ends.
START = """
import ctypes, os, signal, sys
ctypes.CDLL(None).prctl(1, signal.SIGKILL)
if os.getppid() != int(sys.argv[1]):
    sys.exit(2)
signal.signal(signal.SIGPIPE, signal.SIG_DFL)
os.execv("/bin/sh", ["/bin/sh", "-c", sys.argv[2]])
"""

nodes = []
CORES = 2  # of a backend, as on montreal-main
IDLE_S = 15  # limits.conn_idle_ns


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


def run_command():
    """The value of `run` in the deploy file."""
    for line in (ROOT / "deploy/balancer.toml").read_text().splitlines():
        key, _, value = line.partition("=")
        if key.strip() == "run":
            return value.strip().split('"')[1]
    raise RuntimeError("the deploy file has no `run`")


def settings(effect="guarded", key_scope="cell", deadline_ms=2500, promise_ms=600, **changes):
    """Settings of a small deployment, after the example of the wire page."""
    ms = 1_000_000
    whole = {
        "balancers": 1, "clients": {"marks_retry": False}, "kind_of_service": "proxy",
        "kinds": ["std-fast"], "zone": 0, "zones": ["mtl-1"], "me": 0, "over_share_worth": 0.05,
        "limits": {"conn_idle_ns": 15000 * ms, "connect_timeout_ns": 250 * ms, "may_cancel": True,
                   "may_probe": False, "peer_messages": False, "retry_after": True,
                   "max_retry_after_ns": 1200 * ms, "second_copies": True, "streams_per_conn": 1,
                   "try_limit": 5, "max_open": 34888},
        "profiles": [{"name": "post-notice", "effect": effect, "key_scope": key_scope,
                      "deadline_ns": deadline_ms * ms, "promise_ns": promise_ms * ms,
                      "repeat_window_ns": 2500 * ms, "importance": 1.0, "late_worth": 0.0,
                      "streaming": False}],
        "registry_mode": "subscribe", "report": {"fields": ["utilization", "backlog"], "how": "piggyback"},
        "rules": {"answer_slack_ns": 20 * ms, "ask_every_ns": 10000 * ms, "cold_from": 0.3,
                  "drain_grace_ns": 400 * ms, "fall_multiple": 3.0, "overload_for_ns": 1000 * ms,
                  "warm_up_ns": 8800 * ms},
        "tenants": [{"name": "ville-riviere", "quota_per_s": 400.0, "share": 1.0}],
        "tick_ns": 5 * ms, "tier": 0, "tiers": ["post-web"], "weights": "rough", "worth_by": "request",
    }
    whole.update(changes)
    return whole


def member(name, port, phase="active", cell=1, up_since_ms=0):
    return {"id": name, "host_port": f"127.0.0.1:{port}", "locality": "mtl-1", "flavor": "std-fast",
            "cell": cell, "phase": phase, "size": 1.0, "up_since_ms": up_since_ms}


class Discovery:
    """Discovery as the protocol page describes it: the whole list, and watches that tell changes."""

    def __init__(self, members):
        self.revision = 41
        self.members = members
        self.changed = threading.Condition()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def whole(self):
        return {"revision": self.revision, "complete": True, "members": self.members}

    def serve(self, connection):
        try:
            reader = connection.makefile("rb")
            while True:
                line = reader.readline().decode()
                if not line:
                    return
                while reader.readline().strip():
                    pass
                if "follow=1" not in line:
                    body = json.dumps(self.whole()).encode()
                    connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                    continue
                connection.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                told = None
                while True:
                    with self.changed:
                        if told == self.revision:
                            self.changed.wait(2.0)
                        news = None if told == self.revision else json.dumps(self.whole())
                        told = self.revision
                    data = (news or "").encode() + b"\n"
                    connection.sendall(b"%x\r\n%s\r\n" % (len(data), data))
        except OSError:
            pass


class Node:
    """One node; its files are in a temporary folder of its own."""

    def __init__(self, discovery, settings_, memory_mb=48, sockets=384):
        nodes.append(self)
        self.process = None
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.port = free_port()
        tmpdir = self.folder / "tmp"
        tmpdir.mkdir()
        config = {"name": "n0", "listen": f"127.0.0.1:{self.port}",
                  "discovery": f"127.0.0.1:{discovery.port}", "seed": "8c1f30d27a5be964",
                  "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
                  "known": discovery.whole(), "settings": settings_}
        path = self.folder / "config.json"
        path.write_text(json.dumps(config))
        env = dict(os.environ, GW_NAME="n0", GW_LISTEN=f"127.0.0.1:{self.port}",
                   GW_DISCOVERY=f"127.0.0.1:{discovery.port}", GW_CONFIG=str(path), TMPDIR=str(tmpdir))
        self.log = open(self.folder / "log", "wb")
        self.process = subprocess.Popen([sys.executable, "-c", START, str(os.getpid()), run_command()], cwd=ROOT, env=env,
                                        stdout=self.log, stderr=self.log)
        self.wait_ready()

    def wait_ready(self):
        end = time.monotonic() + 30
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise RuntimeError("the node has ended: " + self.text())
            try:
                with socket.create_connection(("127.0.0.1", self.port), 1) as s:
                    s.sendall(b"GET /health/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                    s.settimeout(1)
                    if s.recv(100).startswith(b"HTTP/1.1 200"):
                        return
            except OSError:
                pass
            time.sleep(0.1)
        raise RuntimeError("the node is not ready")

    def text(self):
        return (self.folder / "log").read_text(errors="replace")

    def client_ports(self):
        """The ports of the clients whose connections the process has open, as the platform sees them."""
        folder = pathlib.Path(f"/proc/{self.process.pid}/fd")
        inodes = {os.readlink(entry) for entry in folder.iterdir() if entry.is_symlink()}
        ports = set()
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            local, remote = (int(address.split(":")[1], 16) for address in fields[1:3])
            if local == self.port and f"socket:[{fields[9]}]" in inodes:
                ports.add(remote)
        return ports

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class Record:
    """record.txt in the case's folder: what was sent, answered and run, with the time since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.start = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()


def read_head(reader):
    """Returns the first line of a message and its headers; None at the end of the connection."""
    first = reader.readline().decode("latin1").strip()
    if not first:
        return None
    headers = {}
    while line := reader.readline().decode("latin1").strip():
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return first, headers


def read_body(reader, headers):
    """Returns the body of a message; None if the connection ended before its last byte."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            line = reader.readline()
            if not line.endswith(b"\n"):
                return None
            size = int(line.split(b";")[0], 16)
            chunk = reader.read(size + 2)
            if len(chunk) < size + 2:
                return None
            if size == 0:
                return body
            body += chunk[:size]
    length = int(headers.get("content-length", 0))
    body = reader.read(length)
    return body if len(body) == length else None


class Backend:
    """A backend: runs a request when its last byte has arrived.

    `answer(backend, connection, headers, body)` is called for each request that has arrived. It sends
    the answer and returns whether the connection stays open. A request with no id gets 404, and a connection
    that has been idle for the time in the settings is closed, as the protocol page says.
    """

    def __init__(self, name, record, answer=None):
        self.name, self.record = name, record
        self.answer = answer
        self.working = 0
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            connection, _ = self.listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        reader = connection.makefile("rb")
        try:
            while select.select([connection], [], [], IDLE_S)[0]:
                head = read_head(reader)
                if head is None:
                    return
                headers = head[1]
                body = read_body(reader, headers)
                if body is None:
                    return
                if "x-request-id" not in headers:
                    connection.sendall(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    continue
                if not self.answer(self, connection, headers, body):
                    return
        except OSError:
            pass
        finally:
            reader.close()
            connection.close()

    def work(self, seconds):
        self.working += 1
        time.sleep(seconds)
        self.working -= 1

    def head(self, length):
        """The head of a 200, with the load report that the settings name."""
        load = json.dumps({"utilization": min(1, self.working / CORES), "backlog": max(0, self.working - CORES)})
        return f"HTTP/1.1 200 OK\r\nX-Server-Load: {load}\r\nContent-Length: {length}\r\n\r\n".encode()


def reset(connection):
    """Resets a connection, as a process that dies does."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def request_head(name, timeout_ms, length, key=None, path="/post-notice"):
    key = f"Idempotency-Key: {key}\r\n" if key else ""
    return (f"POST {path} HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {name}\r\n"
            f"X-Tenant-Id: ville-riviere\r\nX-Timeout: {timeout_ms}m\r\n{key}"
            f"Content-Length: {length}\r\n\r\n").encode()


def reap(pid):
    """Waits for a killed child, for 2 s at most."""
    end = time.monotonic() + 2
    try:
        while os.waitpid(pid, os.WNOHANG) == (0, 0) and time.monotonic() < end:
            time.sleep(0.01)
    except ChildProcessError:
        pass  # somebody else has waited for it


def run(main):
    """Runs a case and exits by its result: True if the rule was broken, False if it held, None if it could not run.

    The node and its folder go with the case, also when it is interrupted, takes too long or loses its parent.
    """
    interruptions = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM)
    parent = int(os.environ["RUN_PID"])  # the process id of run.sh

    def leave(code):
        for interruption in interruptions:
            if threading.current_thread() is threading.main_thread():
                signal.signal(interruption, signal.SIG_IGN)  # a second one must not begin this anew
        for node in nodes:
            if node.process and node.process.returncode is None:
                os.kill(node.process.pid, signal.SIGKILL)
                reap(node.process.pid)
            shutil.rmtree(node.folder, ignore_errors=True)
        os._exit(code)

    def watch_parent():
        while os.getppid() == parent:
            time.sleep(0.2)
        leave(COULD_NOT_RUN)

    for interruption in interruptions:
        signal.signal(interruption, lambda *_: leave(COULD_NOT_RUN))
    signal.alarm(TIME_LIMIT_S)
    threading.Thread(target=watch_parent, daemon=True).start()
    try:
        broken = main()
    except BaseException:
        traceback.print_exc()
        broken = None
    sys.stdout.flush()
    leave(COULD_NOT_RUN if broken is None else BROKEN if broken else HELD)
