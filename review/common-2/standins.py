"""Stand-ins and helpers that the cases 6 to 10 share. Standard library only; every address is on loopback."""
import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Unable(Exception):
    """The case could not run."""


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def deploy_command(key):
    """Returns the command of a key of deploy/balancer.toml."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        for line in file:
            name, _, value = line.partition("=")
            if name.strip() == key:
                return json.loads(value.strip())
    raise Unable(f"deploy/balancer.toml has no {key}")


class Record:
    """The lines of record.txt: what was sent, answered and run, with times in seconds from the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()
        self.skipped = None  # Lines that hold this text are left out, to keep the file short.

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        if self.skipped and self.skipped in text:
            return
        self.file.write(f"{self.now():9.4f} {text}\n")
        self.file.flush()


class Case:
    """A temporary folder and the processes of a case; ends all of them at the end."""

    def __init__(self, folder):
        self.folder = folder
        self.record = Record(folder)
        self.tmp = tempfile.mkdtemp(prefix="case-")
        self.processes = []

    def path(self, name):
        return os.path.join(self.tmp, name)

    def write(self, name, text):
        with open(self.path(name), "w", encoding="utf-8") as file:
            file.write(text)
        return self.path(name)

    def start(self, name, arguments="", environment=None, folder=None):
        """Starts the program by `run` of the deploy file, with further arguments. `folder` names its $TMPDIR."""
        if not os.path.exists(os.path.join(ROOT, "target", "release", "micabeam")):
            raise Unable("target/release/micabeam is not built")
        tmp = self.path(f"tmp-{folder or name}")
        os.makedirs(tmp, exist_ok=True)
        env = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
        env.update({"TMPDIR": tmp}, **(environment or {}))
        log = open(self.path(f"{name}.log"), "ab")
        command = f"{deploy_command('run')} {arguments}".strip()
        process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=env, stdout=log, stderr=log)
        self.processes.append(process)
        self.record.line(f"process {name} started: {command.split('/')[-1] if not arguments else 'with an operator file'}")
        return process

    def log(self, name):
        with open(self.path(f"{name}.log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self.tmp, ignore_errors=True)


def wait_for_port(address, seconds=10.0):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        try:
            socket.create_connection(address, 0.5).close()
            return
        except OSError:
            time.sleep(0.05)
    raise Unable(f"nothing listens at {address}")


def wait_until_up(address, seconds=15.0):
    """Waits until `GET /up` answers 200."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        try:
            with urllib.request.urlopen(f"http://{address[0]}:{address[1]}/up", timeout=1) as answer:
                if answer.status == 200:
                    return
        except OSError:
            pass
        time.sleep(0.1)
    raise Unable("the dispatcher is not ready")


async def start_server(handler, port, host="127.0.0.1"):
    """Listens with `handler(reader, writer)`; the end of the case ends its connections without a message."""
    async def quiet(reader, writer):
        try:
            await handler(reader, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
    return await asyncio.start_server(quiet, host, port, backlog=512)


async def read_message(reader):
    """Reads one HTTP/1.1 message with Content-Length. Returns its first line, headers and body, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


def message(first, headers, body=b""):
    text = first + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in headers)
    return text.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


def run_case(folder, main):
    """Runs `main(case)`, which returns whether the rule was broken, and exits as the issue says."""
    case = Case(folder)

    def stop(_number, _frame):
        raise Unable("it took too long")
    signal.signal(signal.SIGTERM, stop)
    try:
        broken = main(case)
        case.record.line("RESULT: the rule was broken" if broken else "RESULT: the rule held")
        code = 1 if broken else 0
    except Unable as error:
        case.record.line(f"RESULT: the case could not run: {error}")
        print(f"the case could not run: {error}", file=sys.stderr)
        code = 2
    except Exception as error:  # An error of the case itself is no finding.
        case.record.line(f"RESULT: the case could not run: {error!r}")
        import traceback
        traceback.print_exc()
        code = 2
    finally:
        case.end()
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.stdout.flush()
    os._exit(code)  # The stand-ins' connections that are still open need no end.


# The platform's side: discovery, booking workers and the configuration.

BC_BOOKINGS = {
    "balancers": 1, "myNumber": 0, "myZone": 0, "quantum": 2000,
    "membershipMode": "subscribe", "weightSource": "rough",
    "zones": ["van-east"], "kinds": ["small"],
    "tenants": [{"name": "fraser-parks"}],
    "grades": [
        {"name": "avail-search", "aim": 200000, "hardLimit": 5000000, "semantics": "retryable"},
        {"name": "confirm-booking", "aim": 250000, "hardLimit": 10000000, "semantics": "fragile"},
        {"name": "site-hold", "aim": 200000, "hardLimit": 5000000, "semantics": "fragile"},
    ],
    "caps": {"sendCap": 5, "mayCancel": True, "mayDuplicate": True, "probing": True, "retryAfter": True,
             "connIdle": 15000000, "connectTimeout": 250000, "maxRetryAfter": 2000000, "maxStreams": 1},
    "familyInfo": {"tellsStart": True, "progress": 1000000, "queueOrder": "fifo", "reportX0": "free slots"},
    "report": {"fields": ["queue", "latency_ms", "x0"], "how": "inline"},
    "rules": {"answerSlack": 8000, "coldFrom": 0.14, "cold": 22000000, "tipMultiple": 2.5, "fall": 3000000,
              "askWithin": 10000000, "drainGrace": 2000000},
}


def host(name, port, **changes):
    """A line of discovery's list."""
    line = {"host": name, "dial": f"127.0.0.1:{port}", "site": "van-east", "class": "small", "block": 0,
            "health": "up", "share": 1.0, "born_ms": 0}
    return {**line, **changes}


class Discovery:
    """The list of booking workers; answers a watch when its time is over, or when the list changes."""

    def __init__(self, hosts):
        self.hosts, self.seq, self.changed = hosts, 1, asyncio.Event()

    def publish(self, hosts):
        self.hosts, self.seq = hosts, self.seq + 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        while (request := await read_message(reader)) is not None:
            target = request[0].split()[1]
            query = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if "=" in pair)
            if query.get("since") == str(self.seq):
                try:
                    await asyncio.wait_for(self.changed.wait(), int(query.get("timeout_ms", "0")) / 1000)
                except asyncio.TimeoutError:
                    pass
            same = query.get("since") == str(self.seq)
            body = {"seq": self.seq, "whole": not same, "hosts": [] if same else self.hosts}
            writer.write(message("HTTP/1.1 200 OK", [], json.dumps(body).encode()))
            await writer.drain()


class Worker:
    """A booking worker: runs up to `slots` jobs at once, in order, and tells of each by callbacks."""

    def __init__(self, case, name, dispatcher, run_s, slots=2):
        self.case, self.name, self.dispatcher, self.run_s, self.slots = case, name, dispatcher, run_s, slots
        self.port = free_port()
        self.running = asyncio.Semaphore(slots)
        self.jobs, self.held = {}, 0
        self.runs = []          # (time, id) of every job that began to run
        self.attempts = []      # (time, id) of every attempt whose last byte has come
        self.given_up = []      # (time, id) of every DELETE
        self.hangs = False
        self.connections = 0

    async def start(self):
        await start_server(self.serve, self.port)

    def load(self):
        free = max(0, self.slots - self.held)
        return {"queue": max(0, self.held - self.slots), "latency_ms": self.run_s(None) * 1000, "x0": free}

    async def hang(self):
        """Stands still while `hangs` is set."""
        while self.hangs:
            await asyncio.sleep(0.02)

    async def serve(self, reader, writer):
        self.connections += 1
        connection = f"connection {self.connections}"
        while (request := await read_message(reader)) is not None:
            await self.hang()
            request[1]["connection"] = connection
            method, target, _ = request[0].split()
            ident = request[1].get("req-id", "")
            if method == "GET":
                writer.write(message("HTTP/1.1 200 OK", [], json.dumps(self.load()).encode()))
            elif method == "DELETE":
                ident = target.rsplit("/", 1)[1]
                self.given_up.append((self.case.record.now(), ident))
                self.case.record.line(f"worker {self.name} is told to give up {ident}")
                if task := self.jobs.pop(ident, None):
                    task.cancel()
                writer.write(message("HTTP/1.1 204 No Content", []))
            else:
                self.attempts.append((self.case.record.now(), ident))
                self.case.record.line(f"worker {self.name} gets {ident} on {connection}")
                await self.take(request, ident, writer)
            await writer.drain()

    async def take(self, request, ident, writer):
        """Answers an attempt; a case may do so otherwise."""
        writer.write(message("HTTP/1.1 202 Accepted", []))
        self.begin(ident)

    def begin(self, ident):
        self.jobs[ident] = asyncio.create_task(self.run(ident))

    async def run(self, ident):
        self.held += 1
        try:
            async with self.running:
                await self.hang()
                self.runs.append((self.case.record.now(), ident))
                self.case.record.line(f"worker {self.name} runs {ident}")
                await self.tell({"id": ident, "from": self.name, "state": "started"})
                await asyncio.sleep(self.run_s(ident))
                await self.hang()
        finally:
            self.held -= 1
            self.jobs.pop(ident, None)
        await self.tell({"id": ident, "from": self.name, "state": "done", "result": f"{self.name} made {ident}",
                         "load": self.load()})

    async def tell(self, event):
        """Calls back until the call is answered, ten times at most. Returns whether it was answered."""
        body = json.dumps(event).encode()
        for _ in range(10):
            try:
                reader, writer = await asyncio.open_connection(*self.dispatcher)
                writer.write(message("POST /v1/job-events HTTP/1.1", [("Host", "dispatcher"), ("Connection", "close")], body))
                answer = await asyncio.wait_for(read_message(reader), 2)
                writer.close()
                if answer is not None and answer[0].split()[1] in ("200", "204"):
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False


def dispatcher_config(case, name, listen, discovery_port, hosts, settings, sockets=1024, memory_mb=192):
    """Writes LB_CONFIG and returns the environment of the dispatcher."""
    config = {"name": name, "listen": f"{listen[0]}:{listen[1]}", "discovery": f"127.0.0.1:{discovery_port}",
              "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
              "known": {"seq": 1, "whole": True, "hosts": hosts}, "settings": settings}
    path = case.write(f"{name}.json", json.dumps(config))
    return {"LB_NAME": name, "LB_LISTEN": config["listen"], "LB_DISCOVERY": config["discovery"], "LB_CONFIG": path}


class Client:
    """Sends one request at a time on a connection that it keeps."""

    def __init__(self, case, address):
        self.case, self.address, self.reader, self.writer = case, address, None, None

    async def send(self, kind, ident, deadline_ms, key=None):
        """Returns the status (0: the connection ended without an answer), the body and the time that it took."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(*self.address)
        headers = [("Host", "origin.svc"), ("Req-Id", ident), ("Req-Owner", "fraser-parks"),
                   ("Req-Deadline", f"{deadline_ms}m")] + ([("Req-Key", key)] if key else [])
        self.case.record.line(f"client sends {ident} ({kind})")
        sent = self.case.record.now()
        self.writer.write(message(f"POST /{kind} HTTP/1.1", headers, b"{}"))
        answer = await read_message(self.reader)
        took = self.case.record.now() - sent
        status = 0 if answer is None else int(answer[0].split()[1])
        body = b"" if answer is None else answer[2]
        self.case.record.line(f"client got {status or 'no answer'} for {ident} after {took:.3f} s: {body.decode(errors='replace')}")
        if answer is None or answer[1].get("connection") == "close":
            self.close()
        return status, body, took

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None
