"""Case 1: the answer to one `returned` call is lost, so the booking worker makes the call again."""

import json
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from standins import (TROUBLE, Discovery, Dispatcher, LossyLink, Server, call_back, host_line, play, response, submit)

# Jobs, one after another; all answers are lost within 6 s.
JOBS = 3
INTERVAL_S = 2.0
# How long a booking worker waits before it makes an unanswered call again, in seconds.
RETRY_PAUSE = 0.3
# The work of one `confirm-booking`: the site gives 560 to 1,100 ms on average.
RUN_S = 1.0

SETTINGS = {
    "balancers": 2, "myNumber": 0, "myZone": 0, "quantum": 2000, "layer": 0, "tiers": ["booking-workers"],
    "membershipMode": "subscribe", "weightSource": "rough", "worthBy": "work", "workload": "jobs",
    "zones": ["van-east"], "kinds": ["large", "medium"], "tenants": [{"name": "fraser-parks", "quotaPerS": 37.0, "share": 1.0}],
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


class BookingWorker(Server):
    """A booking worker with two slots. Jobs of the other dispatcher have just taken its room when a job comes, which its
    load reports, refreshed each half second or more, do not show yet. So it hands back the first attempt of each job
    unstarted; then it has room again, and runs what comes."""

    def __init__(self, record, name, runs, to_lose):
        self.record, self.name, self.runs, self.to_lose = record, name, runs, to_lose
        self.seen = set()
        self.running = 0
        self.full = False
        self.dispatcher = None
        self.lossy = None
        self.lock = threading.Lock()
        super().__init__()

    def load(self):
        if self.full:
            return {"queue": 6, "latency_ms": 900, "x0": 0}
        return {"queue": 0, "latency_ms": 900, "x0": max(0, 2 - self.running)}

    def answer(self, first, headers, body):
        method, target, _ = first.split(" ")
        if target == "/metrics/load":
            return response(200, json.dumps(self.load()).encode())
        if target == "/alive":
            return response(200)
        if method == "DELETE":
            self.record.line(self.name, f"gets {first}")
            return response(200)
        job = headers["req-id"]
        with self.lock:
            hands_back = job not in self.seen
            self.seen.add(job)
        self.record.line(self.name, f"takes {job}")
        work = self.hand_back if hands_back else self.run
        threading.Thread(target=work, args=(job,), daemon=True).start()
        return response(202)

    def hand_back(self, job):
        time.sleep(0.01)
        self.full = True
        self.record.line(self.name, f"hands {job} back, unstarted")
        event = {"id": job, "from": self.name, "state": "returned", "load": self.load()}
        self.full = False
        if job in self.to_lose:
            self.to_lose.remove(job)
            call_back(self.record, self.name, self.lossy, event, tries=1, pause=RETRY_PAUSE)
            call_back(self.record, self.name, self.dispatcher, event, tries=9, pause=RETRY_PAUSE)
        else:
            call_back(self.record, self.name, self.dispatcher, event, pause=RETRY_PAUSE)

    def run(self, job):
        with self.lock:
            self.running += 1
            self.runs.append((job, self.name))
        self.record.line(self.name, f"RUNS {job}")
        call_back(self.record, self.name, self.dispatcher, {"id": job, "from": self.name, "state": "started"})
        time.sleep(RUN_S)
        with self.lock:
            self.running -= 1
        self.record.line(self.name, f"has run {job}")
        event = {"id": job, "from": self.name, "state": "done", "result": f"booked-{job}", "load": self.load()}
        call_back(self.record, self.name, self.dispatcher, event)


def story(record, keep):
    runs, to_lose = [], set()
    workers = [BookingWorker(record, name, runs, to_lose) for name in ("w-1", "w-2")]
    keep += workers
    kinds = ("large", "medium")
    hosts = [host_line(worker.name, worker.address, kind) for worker, kind in zip(workers, kinds)]
    discovery = Discovery(record, hosts)
    keep.append(discovery)
    dispatcher = Dispatcher(record, "n0", discovery.address, SETTINGS, discovery.whole())
    keep.append(dispatcher)
    dispatcher.await_ready()
    link = LossyLink(record, dispatcher.address)
    keep.append(link)
    for worker in workers:
        worker.dispatcher, worker.lossy = dispatcher.listen, link.address
    broken = []
    begin = time.monotonic()
    answers = {}
    for number in range(JOBS):
        job = f"5e9a{number:012x}"
        time.sleep(max(0.0, begin + number * INTERVAL_S - time.monotonic()))
        # One answer is lost for each job: that to its first `returned`.
        if TROUBLE:
            to_lose.add(job)
        answers[job] = submit(record, dispatcher.address, "/confirm-booking", job, 10000)
    time.sleep(RUN_S + 1.0)
    for job, (status, body) in answers.items():
        ran_at = [name for ran, name in runs if ran == job]
        record.line("case", f"{job}: answered {status}, ran {len(ran_at)} times, at {ran_at}")
        if len(ran_at) > 1:
            broken.append(f"confirm-booking {job} ran {len(ran_at)} times, at {ran_at}; its client got {status}")
        if status is None:
            broken.append(f"confirm-booking {job} got no answer: {body!r}")
    return broken


play(Path(__file__).resolve().parent, story)
