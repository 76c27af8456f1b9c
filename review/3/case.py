"""Case 3: discovery takes 2.6 s for a call; the dispatcher hangs up after 2.5 s, each time, and goes on with its old list."""

import json
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from standins import TROUBLE, Discovery, Dispatcher, Server, call_back, host_line, play, response, submit

# How long discovery works on one call, in seconds. Calls come 2.7 s apart or more, so none waits for another one.
CALL_S = 2.6 if TROUBLE else 0.05
# A call that has waited longer than this fails, in seconds (the site's `timeout_ms`).
CALL_LIMIT_S = 3.0
# From the start of the load: when w-1 begins to drain, and the end. w-1 stays up to the end.
DRAIN_AT_S, END_AT_S = 3.0, 18.0
# When the change counts as told at the latest, and until when jobs may still go to w-1, from the change on.
TOLD_S, GRACE_S, SLACK_S = 6.0, 2.0, 0.05
# One job in so many seconds, the two classes by turns, and how long a job of each runs.
PAUSE_S = 0.07
RUN_S = {"/avail-search": 0.4, "/confirm-booking": 1.5}

SETTINGS = {
    "balancers": 2, "myNumber": 0, "myZone": 0, "quantum": 2000, "layer": 0, "tiers": ["booking-workers"],
    "membershipMode": "subscribe", "weightSource": "rough", "worthBy": "work", "workload": "jobs",
    "zones": ["van-east"], "kinds": ["large", "medium", "small"],
    "tenants": [{"name": "fraser-parks", "quotaPerS": 37.0, "share": 1.0}],
    "grades": [
        {"name": "avail-search", "aim": 200000, "hardLimit": 5000000, "semantics": "retryable", "keyScope": "all",
         "gain": 1.0, "lateWorth": 0.0, "window": 5000000, "streamed": False},
        {"name": "confirm-booking", "aim": 250000, "hardLimit": 10000000, "semantics": "fragile", "keyScope": "all",
         "gain": 5.0, "lateWorth": 0.0, "window": 5000000, "streamed": False},
        {"name": "site-hold", "aim": 200000, "hardLimit": 5000000, "semantics": "fragile", "keyScope": "all",
         "gain": 5.0, "lateWorth": 0.0, "window": 5000000, "streamed": False}],
    "caps": {"sendCap": 5, "mayCancel": True, "mayDuplicate": True, "probing": True, "connIdle": 15000000,
             "connectTimeout": 250000, "maxRetryAfter": 2000000, "retryAfter": True, "maxStreams": 1, "maxOpen": 30000},
    "familyInfo": {"classKind": [-1, -1, -1], "classPriority": [0, 1, 1], "classStretch": [2.0, 2.5, 2.5],
                   "tellsStart": True, "progress": 1000000, "queueOrder": "fifo", "reportX0": "free slots"},
    "clientHabits": {"marksRetry": True},
    "report": {"fields": ["queue", "latency_ms", "x0"], "how": "inline"},
    "rules": {"answerSlack": 8000, "askWithin": 10000000, "coldFrom": 0.14, "cold": 22000000, "drainGrace": 2000000,
              "tipMultiple": 2.5, "fall": 3000000},
}


class SlowDiscovery(Discovery):
    """Discovery that works through calls in turn and takes its time for each."""

    def __init__(self, record, hosts):
        self.turn = threading.Lock()
        super().__init__(record, hosts)

    def answer(self, first, headers, body):
        came = time.monotonic()
        target = first.split(" ")[1]
        self.record.line("discovery", f"is called: {target}")
        with self.turn:
            if time.monotonic() - came > CALL_LIMIT_S:
                self.record.line("discovery", f"fails {target}, which waited too long")
                return response(503)
            time.sleep(CALL_S)
        # The wait of a watch counts from the call.
        waited_ms = int((time.monotonic() - came) * 1000)
        path, _, query = target.partition("?")
        fields = dict(pair.split("=") for pair in query.split("&") if "=" in pair)
        fields["timeout_ms"] = str(max(0, int(fields.get("timeout_ms", 0)) - waited_ms))
        query = "&".join(f"{name}={value}" for name, value in fields.items())
        answer = super().answer(f"GET {path}?{query} HTTP/1.1", headers, body)
        told = json.loads(answer.partition(b"\r\n\r\n")[2])
        after = time.monotonic() - came
        changes = [(host["host"], host["health"]) for host in told["hosts"]]
        self.record.line("discovery", f"answers {target} after {after:.2f} s: version {told['seq']}, {changes}")
        return answer


# The booking workers: kind, slots and listed size. One of six drains.
WORKERS = {"w-1": ("large", 4, 2.0), "w-2": ("large", 4, 2.0), "w-3": ("medium", 2, 1.0), "w-4": ("medium", 2, 1.0),
           "w-5": ("small", 3, 1.2), "w-6": ("small", 3, 1.2)}


class BookingWorker(Server):
    """A booking worker. It takes what comes, drains or not, and tells how each job ends."""

    def __init__(self, record, name, slots):
        self.record, self.name, self.slots = record, name, slots
        self.dispatcher = None
        self.sends = []
        self.running = {}
        self.lock = threading.Lock()
        super().__init__()

    def load(self):
        return {"queue": 0, "latency_ms": 950, "x0": max(0, self.slots - len(self.running))}

    def answer(self, first, headers, body):
        method, target, _ = first.split(" ")
        if target == "/metrics/load":
            return response(200, json.dumps(self.load()).encode())
        if target == "/alive":
            return response(200)
        if method == "DELETE":
            return response(200)
        job = headers["req-id"]
        with self.lock:
            self.sends.append((time.monotonic(), job, target))
            self.running[job] = target
        self.record.line(self.name, f"takes {target} {job}")
        threading.Thread(target=self.run, args=(job, target), daemon=True).start()
        return response(202)

    def run(self, job, target):
        call_back(self.record, self.name, self.dispatcher, {"id": job, "from": self.name, "state": "started"})
        time.sleep(RUN_S[target])
        with self.lock:
            self.running.pop(job)
        event = {"id": job, "from": self.name, "state": "done", "result": f"result-{job}", "load": self.load()}
        call_back(self.record, self.name, self.dispatcher, event)


def story(record, keep):
    workers = [BookingWorker(record, name, slots) for name, (_, slots, _) in WORKERS.items()]
    keep += workers
    hosts = [{**host_line(worker.name, worker.address, WORKERS[worker.name][0]), "share": WORKERS[worker.name][2]}
             for worker in workers]
    discovery = SlowDiscovery(record, hosts)
    keep.append(discovery)
    dispatcher = Dispatcher(record, "n0", discovery.address, SETTINGS, discovery.whole())
    keep.append(dispatcher)
    dispatcher.await_ready(limit=30)
    for worker in workers:
        worker.dispatcher = dispatcher.listen

    def client(number):
        path = "/confirm-booking" if number % 2 else "/avail-search"
        job = f"3d{number:014x}"
        submit(record, dispatcher.address, path, job, 10000 if number % 2 else 5000)

    begin = time.monotonic()
    changed, number, clients = None, 0, []
    while (now := time.monotonic() - begin) < END_AT_S:
        if changed is None and now >= DRAIN_AT_S:
            discovery.change("w-1", health="draining")
            changed = time.monotonic()
        thread = threading.Thread(target=client, args=(number,), daemon=True)
        thread.start()
        clients.append(thread)
        number += 1
        time.sleep(PAUSE_S)
    for thread in clients:
        thread.join(12)
    limit = TOLD_S + GRACE_S + SLACK_S
    late = [(at - changed, job, target) for at, job, target in workers[0].sends if at - changed > limit]
    broken = []
    if late:
        first, last = late[0][0], late[-1][0]
        broken.append(f"{len(late)} jobs were sent to w-1 later than {limit} s after it began to drain: {first:.2f} to {last:.2f} s")
    return broken


play(Path(__file__).resolve().parent, story)
