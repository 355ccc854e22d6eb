"""Requests whose bodies are a little longer than 64 KiB, while some connections to backends are reset
under requests that run. One class is keyed by cell, as montreal-main's, the other is unsafe to repeat."""

import os
import pathlib
import random
import socket
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
import rig

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REQUESTS = 200
TIMEOUT_MS = 2500
RESET_SHARE = 0.1  # of the requests that a backend runs
WORK_S = 0.065


def main():
    record = rig.Record(HERE)
    runs = {}
    lock = threading.Lock()
    chance = random.Random(35)

    def answer(backend, connection, headers, body):
        name = headers["x-request-id"]
        with lock:
            runs.setdefault(name, []).append(backend.name)
            resets = TROUBLE and chance.random() < RESET_SHARE
        record.write(f"run      {name} at {backend.name} body={len(body)}" + (" then reset" if resets else ""))
        backend.work(WORK_S)
        if resets:
            rig.reset(connection)
            return False
        receipt = f"receipt of {name}".encode()
        connection.sendall(backend.head(len(receipt)) + receipt)
        return True

    backends = [rig.Backend(f"s-{i}", record, answer) for i in range(6)]
    cell = {b.name: 1 + index // 3 for index, b in enumerate(backends)}
    discovery = rig.Discovery([rig.member(b.name, b.port, cell=cell[b.name]) for b in backends])
    settings = rig.settings()
    keyed = settings["profiles"][0]
    settings["profiles"].append(dict(keyed, name="post-once", effect="single_shot"))
    node = rig.Node(discovery, settings)
    answers = {}

    def send(name, path, length):
        try:
            with socket.create_connection(("127.0.0.1", node.port), 5) as connection:
                connection.settimeout(TIMEOUT_MS / 1000 + 5)
                record.write(f"sent     {name} body={length}")
                key = f"k-{name}" if path == "/post-notice" else None
                connection.sendall(rig.request_head(name, TIMEOUT_MS, length, key, path) + b"n" * length)
                head = rig.read_head(connection.makefile("rb"))
                answers[name] = head[0].split()[1] if head else "closed"
        except OSError as error:
            answers[name] = repr(error)
        record.write(f"answered {name} {answers[name]}")

    try:
        threads = []
        for index in range(REQUESTS):
            length = (1000, 66000 + 30 * index)[index % 2]
            path = ("/post-notice", "/post-once")[index // 2 % 2]
            threads.append(threading.Thread(target=send, args=(f"{path[6:]}-{index}", path, length)))
            threads[-1].start()
            time.sleep(0.08)
        for thread in threads:
            thread.join()
        time.sleep(0.5)
    finally:
        node.stop()

    # Unsafe: at most one run. Keyed by cell: after a run, further ones in that cell only.
    twice = sorted(name for name, where in runs.items() if name.startswith("once") and len(where) > 1)
    cells = sorted(name for name, where in runs.items()
                   if name.startswith("notice") and len({cell[one] for one in where}) > 1)
    refused = sorted(name for name in runs if answers.get(name) in ("429", "503"))
    served = sum(answer == "200" for answer in answers.values())
    record.write(f"total    sent={REQUESTS} served={served} unsafe-run-again={twice} "
                 f"keyed-run-in-two-cells={cells} refused-though-run={refused}")
    print(f"sent {REQUESTS}, served {served}, unsafe run again {len(twice)}, "
          f"keyed run in two cells {len(cells)}, refused though run {len(refused)}")
    if served == 0:
        return None
    return bool(twice or cells or refused)


rig.run(main)
