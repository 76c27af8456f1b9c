"""Case 9: streaming front; one of eight booking workers fails: it runs requests and answers 503, without Srv-Declined."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
from standins import TROUBLE, free_port, message, read_message, run_case, start_server, wait_for_port  # noqa: E402

SECONDS = 20.0
SERVERS = 8
CLIENTS = 6
# How often a client hands in the same request again after a refusal, as the users' page says of their clients.
RETRIES = 2

OPERATOR = """
[stream]
listen = "127.0.0.1:{port}"
connections = 64
memory_mb = 16
servers = [
{servers}
]

[stream.streams]
total = 32
tenant = 32
server = 8

[[stream.class]]
name = "season-export"
repeat = "safe"

[[stream.class]]
name = "site-map"
repeat = "never"
"""


async def serve(case, rng, name, fails, runs, reader, writer):
    while (request := await read_message(reader)) is not None:
        _, headers, _ = request
        ident, subject = headers["req-id"], headers["req-key"]
        await asyncio.sleep(rng.uniform(0.02, 0.05))
        runs.setdefault(subject, []).append((name, ident))
        case.record.line(f"server {name} ran {subject} for request {ident}, answers {503 if fails else 200}")
        if fails:
            # It has run the request, and then failed to answer it. It does not say that it declined.
            writer.write(message("HTTP/1.1 503 Service Unavailable", [("Content-Type", "text/plain")], b"overloaded"))
        else:
            writer.write(message("HTTP/1.1 200 OK", [("Content-Type", "text/plain")], f"made for {ident}".encode()))
        await writer.drain()


async def client(case, rng, number, port, until, counts):
    """Sends one request at a time, and sends it again, under a new id, only after a refusal (429 or 503)."""
    loop, writer, sent = asyncio.get_running_loop(), None, 0
    while loop.time() < until:
        sent += 1
        kind = rng.choice(["season-export", "site-map", "site-map"])
        subject = f"{kind}-{number}-{sent}"
        for attempt in range(1 + RETRIES):
            if writer is None:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
            ident = f"c{number:02d}-{sent:05d}-{attempt}"
            body = b"" if kind == "season-export" else b"map " * 200
            method = "GET" if kind == "season-export" else "POST"
            headers = [("Host", "origin.svc"), ("Req-Id", ident), ("Req-Owner", "fraser-parks"), ("Req-Key", subject)]
            writer.write(message(f"{method} /{kind}/{sent} HTTP/1.1", headers, body))
            case.record.line(f"client {number} sent {subject} as request {ident}")
            answer = await read_message(reader)
            status = 0 if answer is None else int(answer[0].split()[1])
            case.record.line(f"client {number} got {status or 'no answer'} for request {ident}")
            counts[status] = counts.get(status, 0) + 1
            if answer is None or answer[1].get("connection") == "close":
                writer.close()
                writer = None
            if status not in (429, 503):
                break
        await asyncio.sleep(rng.uniform(0.0, 0.1))
    if writer is not None:
        writer.close()


async def play(case):
    rng, runs, counts = random.Random(61), {}, {}
    ports = [free_port() for _ in range(SERVERS)]
    for number, port in enumerate(ports):
        def handler(reader, writer, name=f"exports-{number}", fails=TROUBLE and number == 3):
            return serve(case, rng, name, fails, runs, reader, writer)
        await start_server(handler, port)
    listed = "".join(f'  {{ name = "exports-{n}", dial = "127.0.0.1:{p}" }},\n' for n, p in enumerate(ports))
    port = free_port()
    operator = case.write("operator.toml", OPERATOR.format(port=port, servers=listed))
    case.start("streams", f"--operator {operator}")
    await asyncio.to_thread(wait_for_port, ("127.0.0.1", port))
    until = asyncio.get_running_loop().time() + SECONDS
    await asyncio.gather(*(client(case, rng, n, port, until, counts) for n in range(CLIENTS)))
    twice = {subject: at for subject, at in runs.items() if subject.startswith("site-map") and len(at) > 1}
    for subject, at in twice.items():
        case.record.line(f"RAN TWICE: {subject} at {at}")
    summary = f"answers by status {counts}, site-maps that ran more than once: {len(twice)}"
    case.record.line(summary)
    print(summary)
    return bool(twice)


run_case(HERE, lambda case: asyncio.run(play(case)))
