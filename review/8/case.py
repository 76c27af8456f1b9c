"""Case 8: streaming front; clients leave while their requests wait for a place, and the requests are sent on all the same."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
from standins import TROUBLE, free_port, message, read_message, run_case, start_server, wait_for_port  # noqa: E402

SECONDS = 30.0
SERVERS = 3
CLIENTS = 10
# Share of requests whose clients leave, and after how long.
SHARE, LEAVES_S = 0.15, 0.2
# An attempt that begins later after the close breaks the rule: the page's 0.1 s, and 50 ms on sockets.
ALLOWED_S = 0.15

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
server = 2

[[stream.class]]
name = "season-export"
repeat = "safe"

[[stream.class]]
name = "site-map"
repeat = "never"
"""


async def serve(case, rng, name, arrivals, reader, writer):
    while (request := await read_message(reader)) is not None:
        ident = request[1]["req-id"]
        arrivals.append((case.record.now(), name, ident))
        case.record.line(f"server {name} begins {ident}")
        await asyncio.sleep(rng.uniform(0.3, 0.6))
        writer.write(message("HTTP/1.1 200 OK", [("Content-Type", "text/plain")], f"made for {ident}".encode()))
        await writer.drain()


async def client(case, rng, number, port, until, counts, left):
    loop, writer, sent = asyncio.get_running_loop(), None, 0
    while loop.time() < until:
        if writer is None:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        sent += 1
        kind = rng.choice(["season-export", "site-map"])
        ident = f"c{number:02d}-{sent:05d}"
        body = b"" if kind == "season-export" else b"map " * 200
        method = "GET" if kind == "season-export" else "POST"
        headers = [("Host", "origin.svc"), ("Req-Id", ident), ("Req-Owner", "fraser-parks")]
        writer.write(message(f"{method} /{kind}/{sent} HTTP/1.1", headers, body))
        case.record.line(f"client {number} sent {ident} ({kind})")
        if TROUBLE and rng.random() < SHARE:
            try:
                answer = await asyncio.wait_for(read_message(reader), LEAVES_S)
            except asyncio.TimeoutError:
                writer.close()
                await writer.wait_closed()
                left[ident] = case.record.now()
                case.record.line(f"client {number} closed its connection while it waited for {ident}")
                writer = None
                await asyncio.sleep(rng.uniform(0.0, 0.1))
                continue
        else:
            answer = await read_message(reader)
        status = 0 if answer is None else int(answer[0].split()[1])
        case.record.line(f"client {number} got {status or 'no answer'} for {ident}")
        counts[status] = counts.get(status, 0) + 1
        if answer is None or answer[1].get("connection") == "close":
            writer.close()
            writer = None
        await asyncio.sleep(rng.uniform(0.0, 0.1))
    if writer is not None:
        writer.close()


async def play(case):
    rng, arrivals, counts, left = random.Random(61), [], {}, {}
    ports = [free_port() for _ in range(SERVERS)]
    for number, server_port in enumerate(ports):
        def handler(reader, writer, name=f"exports-{number}"):
            return serve(case, rng, name, arrivals, reader, writer)
        await start_server(handler, server_port)
    listed = "".join(f'  {{ name = "exports-{n}", dial = "127.0.0.1:{p}" }},\n' for n, p in enumerate(ports))
    port = free_port()
    operator = case.write("operator.toml", OPERATOR.format(port=port, servers=listed))
    case.start("streams", f"--operator {operator}")
    await asyncio.to_thread(wait_for_port, ("127.0.0.1", port))
    until = asyncio.get_running_loop().time() + SECONDS
    await asyncio.gather(*(client(case, rng, n, port, until, counts, left) for n in range(CLIENTS)))
    await asyncio.sleep(3)
    late = [(at - left[ident], name, ident) for at, name, ident in arrivals if ident in left and at > left[ident] + ALLOWED_S]
    for after, name, ident in late:
        case.record.line(f"BEGUN FOR NOBODY: {ident} at {name}, {after:.2f} s after its client had gone")
    summary = f"answers by status {counts}, clients that left {len(left)}, begun later than {ALLOWED_S} s after that {len(late)}"
    case.record.line(summary)
    print(summary)
    return bool(late)


run_case(HERE, lambda case: asyncio.run(play(case)))
