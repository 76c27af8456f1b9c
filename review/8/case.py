"""Case 8: a shared policy; requests that wait for the lease are dropped unanswered when silent clients connect by hundreds."""
import asyncio
import os
import random
import socket
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-2"))
from standins import (BC_BOOKINGS, TROUBLE, Client, Discovery, Worker, dispatcher_config, free_port, host,  # noqa: E402
                      run_case, start_server, wait_until_up)

SECONDS = 24.0
MEMBERS = 3
# Requests a second at the dispatcher that stays.
RATE = 15.0
# When two of the three dispatchers are killed, and when silent clients connect, this many each time.
KILL_S, CROWDS_S, CROWD = 5.0, (9.0, 13.0, 17.0), 200
# A request that was sent so long before its connection ended has been read: the dispatcher is all but idle.
READ_S = 0.1
# Descriptors of the dispatcher: the least that the pages give.
SOCKETS = 256

POLICY = """version = 1

[[partition]]
name = "east"
zones = ["van-east"]

[[rule]]
name = "all"
partition = "east"
empty = "next"
"""
FLEET = """
[fleet]
cluster = "example"
generation = 1
name = "{name}"
state = "{folder}/votes"
zones = ["van-east"]
slots = 4

[rollout]
policy = "{policy}"
keep = "{folder}"
lease_ms = 2000
hold_ms = 400

[fleet.rules]
close_after_ms = 600
closed_for_ms = 5000
step_ms = 1000
forgive_ms = 60000
keep_ms = 10000
margin = 0.9
"""
MEMBER = """
[[fleet.member]]
name = "{name}"
address = "127.0.0.1:{port}"
zone = "van-east"
voter = true
"""


def free_udp_port():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


async def request(case, idle, address, ident, outcomes):
    """A client takes a connection that it has, or opens one more if all are busy."""
    for again in ("", "b"):
        client = idle.pop() if idle else Client(case, address)
        sent = case.record.now()
        try:
            status, _, _ = await asyncio.wait_for(client.send("site-hold", ident + again, 5000), 8)
        except ConnectionRefusedError:
            return
        except (asyncio.TimeoutError, ConnectionError):
            # The request was written, and the connection was reset or stays silent.
            status = 0
            client.close()
        took = case.record.now() - sent
        if client.writer is not None:
            idle.append(client)
        if status != 0 or took >= READ_S:
            break
        # The close may have crossed the request before it was read: the client sends it once more on a new connection.
        case.record.line(f"client sends {ident} once more")
    outcomes[ident] = status
    if status == 0:
        case.record.line(f"client got no answer for {ident}; its connection ended after {took:.3f} s")


async def play(case):
    rng, outcomes, idle, tasks, silent = random.Random(61), {}, [], [], []
    listens = [("127.0.0.1", free_port()) for _ in range(MEMBERS)]
    udp = [free_udp_port() for _ in range(MEMBERS)]
    workers = [Worker(case, f"s-{n}", listens[0], lambda ident: 0.2, slots=4) for n in range(4)]
    for worker in workers:
        await worker.start()
    hosts = [host(w.name, w.port) for w in workers]
    policy = case.write("policy.toml", POLICY)
    members = "".join(MEMBER.format(name=f"n{n}", port=port) for n, port in enumerate(udp))
    processes = []
    for number, listen in enumerate(listens):
        port, name = free_port(), f"n{number}"
        await start_server(Discovery(hosts).serve, port)
        folder = case.path(f"keep-{name}")
        os.makedirs(folder)
        operator = case.write(f"{name}.toml", FLEET.format(name=name, folder=folder, policy=policy) + members)
        settings = {**BC_BOOKINGS, "balancers": MEMBERS, "myNumber": number}
        env = dispatcher_config(case, name, listen, port, hosts, settings, sockets=SOCKETS)
        processes.append(case.start(name, f"--operator {operator}", env))
    for listen in listens:
        await asyncio.to_thread(wait_until_up, listen)
    loop = asyncio.get_running_loop()
    begin, sent, killed, crowds = loop.time(), 0, False, list(CROWDS_S)
    while loop.time() < begin + SECONDS:
        await asyncio.sleep(rng.expovariate(RATE))
        sent += 1
        tasks.append(asyncio.create_task(request(case, idle, listens[0], f"r{sent:04d}", outcomes)))
        if TROUBLE and not killed and loop.time() > begin + KILL_S:
            for process in processes[1:]:
                process.kill()
            killed = True
            case.record.line("n1 and n2 are killed")
        if TROUBLE and crowds and loop.time() > begin + crowds[0]:
            crowds.pop(0)
            came = 0
            for _ in range(CROWD):
                try:
                    silent.append(await asyncio.open_connection(*listens[0]))
                    came += 1
                except OSError:
                    pass
            case.record.line(f"{came} clients connected and say nothing")
    await asyncio.gather(*tasks)
    if processes[0].poll() is not None:
        case.record.line("n0 has ended")
    lost = sorted(ident for ident, status in outcomes.items() if status == 0)
    for ident in lost:
        case.record.line(f"LOST: {ident} was taken and its connection ended without an answer")
    counts = {}
    for status in outcomes.values():
        counts[status] = counts.get(status, 0) + 1
    summary = f"answers by status {counts}, lost {len(lost)}"
    case.record.line(summary)
    print(summary)
    return bool(lost)


run_case(HERE, lambda case: asyncio.run(play(case)))
