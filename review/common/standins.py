"""Stand-ins for the cases under review/: discovery, booking workers, clients, a lossy link, and the dispatcher's start.

Everything listens on loopback addresses and free ports. What is sent, answered and run goes to record.txt.
"""

import http.client
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

RULE_HELD, RULE_BROKEN, COULD_NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes one line for each event, with the seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w", encoding="utf-8")

    def line(self, who, what):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f}  {who:<12} {what}\n")
            self.file.flush()

    def close(self):
        with self.lock:
            self.file.close()


def reset(sock):
    """Closes a socket with a reset."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass
    sock.close()


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def read_message(stream):
    """Reads one HTTP/1.1 message with a Content-Length. Returns (first line, headers, body), or None at the end."""
    first = stream.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = stream.readline()
        if not line:
            return None
        if line in (b"\r\n", b"\n"):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = stream.read(length) if length else b""
    if len(body) < length:
        return None
    return first.decode("latin-1").strip(), headers, body


def response(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Server:
    """Accepts connections on a free loopback port and serves each in a thread."""

    def __init__(self, host="127.0.0.1"):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((host, 0))
        self.listener.listen(128)
        self.address = "%s:%d" % self.listener.getsockname()
        self.closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while not self.closed:
            try:
                conn, _ = self.listener.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn):
        try:
            self.serve(conn)
        except (OSError, ValueError):
            pass
        finally:
            conn.close()

    def serve(self, conn):
        stream = conn.makefile("rb")
        while (message := read_message(stream)) is not None:
            answer = self.answer(*message)
            if answer is None:
                return
            conn.sendall(answer)

    def answer(self, first, headers, body):
        raise NotImplementedError

    def close(self):
        self.closed = True
        self.listener.close()


class Discovery(Server):
    """Discovery as the protocol page tells: the whole list, and watches that wait for changes."""

    def __init__(self, record, hosts):
        self.record = record
        self.changed = threading.Condition()
        self.seq = 1
        self.hosts = {host["host"]: host for host in hosts}
        self.log = []
        super().__init__()

    def change(self, host, **fields):
        with self.changed:
            self.seq += 1
            self.hosts[host] = {**self.hosts[host], **fields}
            self.log.append((self.seq, dict(self.hosts[host])))
            self.changed.notify_all()
        self.record.line("discovery", f"version {self.seq}: {host} {fields}")

    def whole(self):
        return {"seq": self.seq, "whole": True, "hosts": list(self.hosts.values())}

    def answer(self, first, headers, body):
        target = first.split(" ")[1]
        query = dict(pair.split("=") for pair in target.partition("?")[2].split("&") if "=" in pair)
        with self.changed:
            if "since" not in query:
                return response(200, json.dumps(self.whole()).encode())
            since = int(query["since"])
            self.changed.wait_for(lambda: self.seq > since, int(query.get("timeout_ms", 0)) / 1000)
            hosts = {line["host"]: line for seq, line in self.log if seq > since}
            told = {"seq": self.seq, "whole": False, "hosts": list(hosts.values())}
        return response(200, json.dumps(told).encode())


def host_line(name, address, kind="small", zone="van-east", block=0):
    return {"host": name, "dial": address, "site": zone, "class": kind, "block": block, "health": "up", "share": 1.0,
            "born_ms": 0}


class Dispatcher:
    """One real dispatcher, started by the deploy file's `run` as the deployment page tells."""

    def __init__(self, record, name, discovery, settings, known):
        self.record = record
        self.name = name
        self.listen = f"127.0.0.1:{free_port()}"
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        config = {"name": name, "listen": self.listen, "discovery": discovery, "seed": "5d1c9a7e40b2f683",
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": settings}
        self.config = Path(self.folder.name) / "config.json"
        self.config.write_text(json.dumps(config))
        self.log = open(Path(self.folder.name) / "log", "wb")
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        environment = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        environment |= {"LB_NAME": name, "LB_LISTEN": self.listen, "LB_DISCOVERY": discovery,
                        "LB_CONFIG": str(self.config), "TMPDIR": self.folder.name}
        command = deploy["run"]
        if not (ROOT / "target/release/micabeam").exists():
            raise CannotRun("the deploy file's build has not been run")
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log)
        record.line(name, f"started by `{command}`, process {self.process.pid}, listens at {self.listen}")

    @property
    def address(self):
        host, _, port = self.listen.rpartition(":")
        return host, int(port)

    def await_ready(self, limit=10):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}")
            try:
                caller = http.client.HTTPConnection(*self.address, timeout=1)
                caller.request("GET", "/up")
                status = caller.getresponse().status
                caller.close()
                if status == 200:
                    self.record.line(self.name, "ready")
                    return
            except OSError:
                pass
            time.sleep(0.02)
        raise CannotRun(f"{self.name} was not ready in {limit} s")

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()
        self.folder.cleanup()


class StreamFront:
    """The program with its streaming front alone, by the deploy file's `run` and an operator's file."""

    def __init__(self, record, name, table):
        self.record, self.name = record, name
        self.listen = f"127.0.0.1:{free_port()}"
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        operator = Path(self.folder.name) / "operator.toml"
        operator.write_text(table.replace("LISTEN", self.listen))
        self.log = open(Path(self.folder.name) / "log", "wb")
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
        environment = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        environment["TMPDIR"] = self.folder.name
        command = f"{deploy['run']} --operator {operator}"
        if not (ROOT / "target/release/micabeam").exists():
            raise CannotRun("the deploy file's build has not been run")
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log)
        record.line(name, f"started by `{deploy['run']} --operator FILE`, process {self.process.pid}, listens at {self.listen}")

    @property
    def address(self):
        host, _, port = self.listen.rpartition(":")
        return host, int(port)

    def await_ready(self, limit=10):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}")
            try:
                socket.create_connection(self.address, timeout=1).close()
                return
            except OSError:
                time.sleep(0.02)
        raise CannotRun(f"{self.name} does not listen after {limit} s")

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()
        self.folder.cleanup()


def submit(record, address, path, request_id, deadline_ms, body=b"{}", headers=(), owner="fraser-parks"):
    """Hands in one job as a client and waits for its answer. Returns (status, body), or (None, reason)."""
    host, port = address
    caller = http.client.HTTPConnection(host, port, timeout=deadline_ms / 1000 + 2)
    fields = {"Req-Id": request_id, "Req-Owner": owner, "Req-Deadline": f"{deadline_ms}m", **dict(headers)}
    record.line("client", f"sends {path} {request_id}, waits {deadline_ms} ms")
    try:
        caller.request("POST", path, body, fields)
        answer = caller.getresponse()
        result = (answer.status, answer.read())
    except (OSError, http.client.HTTPException) as error:
        result = (None, repr(error).encode())
    finally:
        caller.close()
    record.line("client", f"gets {result[0]} {result[1][:60]!r} for {request_id}")
    return result


def call_back(record, who, address, event, tries=10, pause=0.3):
    """Makes one call to a dispatcher until it is answered with 200 or 204, ten times at most."""
    host, _, port = address.rpartition(":")
    for attempt in range(1, tries + 1):
        try:
            caller = http.client.HTTPConnection(host, int(port), timeout=2)
            caller.request("POST", "/v1/job-events", json.dumps(event), {"Content-Type": "application/json"})
            status = caller.getresponse().status
            caller.close()
            record.line(who, f"call {event['id']} {event['state']}, try {attempt}: {status}")
            if status in (200, 204):
                return
        except (OSError, http.client.HTTPException) as error:
            record.line(who, f"call {event['id']} {event['state']}, try {attempt}: no answer ({type(error).__name__})")
        time.sleep(pause)


class LossyLink(Server):
    """A link to a dispatcher. It passes each call on; the answer is lost, and the caller sees a reset."""

    def __init__(self, record, address):
        self.record = record
        self.target = address
        super().__init__()

    def serve(self, conn):
        message = read_message(conn.makefile("rb"))
        if message is None:
            return
        first, headers, body = message
        caller = http.client.HTTPConnection(self.target[0], self.target[1], timeout=2)
        method, target, _ = first.split(" ")
        caller.request(method, target, body)
        status = caller.getresponse().status
        caller.close()
        self.record.line("link", f"passes on {body.decode()}; the answer {status} is lost")
        reset(conn)


def out_of_time(number, frame):
    raise CannotRun("out of time")


def play(folder, story):
    """Runs a story and ends the program with its verdict. A story returns the list of what broke the rule."""
    signal.signal(signal.SIGTERM, out_of_time)
    record = Record(Path(folder) / "record.txt")
    record.line("case", f"TROUBLE={'1' if TROUBLE else '0'}")
    keep = []
    verdict = COULD_NOT_RUN
    try:
        broken = story(record, keep)
        for line in broken:
            record.line("BROKEN", line)
            print(f"broken: {line}")
        verdict = RULE_BROKEN if broken else RULE_HELD
        record.line("case", "the rule was broken" if broken else "the rule held")
        if not broken:
            print("held")
    except Exception as error:
        record.line("case", f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
    finally:
        for part in reversed(keep):
            part.end() if hasattr(part, "end") else part.close()
    record.close()
    sys.stdout.flush()
    os._exit(verdict)
