"""Requests of an unsafe class whose bodies are a little longer than 64 KiB, while some connections
to backends are reset under requests that run."""

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
REQUESTS = 120
TIMEOUT_MS = 2500
RESET_SHARE = 0.25  # of the requests that a backend runs
WORK_S = 0.03


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
        time.sleep(WORK_S)
        if resets:
            rig.reset(connection)
            return False
        return backend.serve_ok(connection, headers, body)

    backends = [rig.Backend(f"s-{i}", record, answer) for i in range(4)]
    discovery = rig.Discovery([rig.member(b.name, b.port) for b in backends])
    node = rig.Node(discovery, rig.settings(effect="single_shot"))
    answers = {}

    def send(name, length):
        try:
            with socket.create_connection(("127.0.0.1", node.port), 5) as connection:
                connection.settimeout(TIMEOUT_MS / 1000 + 5)
                record.write(f"sent     {name} body={length}")
                connection.sendall(rig.request_head(name, TIMEOUT_MS, length) + b"n" * length)
                head = rig.read_head(connection.makefile("rb"))
                answers[name] = head[0].split()[1] if head else "closed"
        except OSError as error:
            answers[name] = repr(error)
        record.write(f"answered {name} {answers[name]}")

    try:
        threads = []
        for index in range(REQUESTS):
            length = (1000, 66000 + 50 * index)[index % 2]
            threads.append(threading.Thread(target=send, args=(f"q{index}-{length}", length)))
            threads[-1].start()
            time.sleep(0.1)
        for thread in threads:
            thread.join()
        time.sleep(0.5)
    finally:
        node.stop()

    twice = sorted(name for name, where in runs.items() if len(where) > 1)
    refused = sorted(name for name in runs if answers.get(name) in ("429", "503"))
    served = sum(answer == "200" for answer in answers.values())
    record.write(f"total    sent={REQUESTS} served={served} run-more-than-once={twice} refused-though-run={refused}")
    print(f"sent {REQUESTS}, served {served}, run more than once {len(twice)}, refused though run {len(refused)}")
    if served == 0:
        return 2
    return 1 if twice or refused else 0


rig.run(main)
