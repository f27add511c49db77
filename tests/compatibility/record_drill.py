#!/usr/bin/env python3
"""Records a closed-loop simulation with opalroute_drill: record_drill.py DRILL VARIANT SEED FOLDER

Simulates relay instances, destinations and clients around the program, according to the adapter protocol, and writes
FOLDER/VARIANT.in.gz (the batches) and FOLDER/VARIANT.out.gz (the replies). The same program, variant and seed give
the same bytes.
"""
import base64
import gzip
import heapq
import io
import json
import math
import random
import subprocess
import sys

TICK_US = 5000
DURATION_S = 64.0
START_S = 8.0


def request_class(name, effect, aim, deadline, worth, **more):
    return dict(name=name, effect=effect, aimS=aim, deadlineS=deadline, worth=worth, group="all", keyTtlS=5.0,
                lateShare=0.3, stream=False, **more)


CLASSES = [
    request_class("status", "idempotent", 0.4, 4.0, 1.0),
    request_class("order", "deduplicated", 1.0, 8.0, 1.0, keepOrder=True),
    request_class("payment", "at_most_once", 1.0, 6.0, 3.0),
    request_class("event", "deduplicated", 0.8, 5.0, 0.5),
]

# What differs between the recordings: the relays' settings and the simulated environment.
VARIANTS = {
    "push": dict(discovery="push", rating="nominal", apart=[True, False], bundle=[5, 1], max_calls=12, capacity=120,
                 late="even", group="all", reports="none", relays=3, copies=True, cancel=True, tenants=True,
                 key_rest=0.4, rate=9.0, hold=0.5),
    "ask": dict(discovery="ask", rating="none", apart=[False, True], bundle=[1, 3], max_calls=10, capacity=60,
                late="by_half", group="zone", reports="answers", relays=2, copies=True, cancel=True, tenants=False,
                key_rest=0.2, rate=12.0, hold=0.8),
    "plain": dict(discovery="push", rating="rough", apart=[False, False], bundle=[4, 2], max_calls=16, capacity=90,
                  late="even", group="zone", reports="probe", relays=3, copies=False, cancel=False, tenants=True,
                  key_rest=None, rate=8.0, hold=0.0),
}
VARIANTS["crowded"] = dict(VARIANTS["push"], rate=26.0, capacity=70, max_calls=9, group="zone", late="by_half")
# Relays of a large fleet whose other members are not simulated: idle connections are closed, and few calls may be in
# flight.
VARIANTS["fleet"] = dict(VARIANTS["plain"], balancers=12, peers=False, cancel=True, max_calls=4, apart=[True, False],
                         rate=10.0, gossip=[("r", 3, None), ("c", 1, None), ("b", 5, None), ("c", 0, "e-0a"),
                                            ("r", 2, "e-2b")])


def options(v, me):
    classes = [dict(c, group=v["group"]) for c in CLASSES]
    result = {
        "az": "north" if me % 2 == 0 else "south", "balancers": v.get("balancers", v["relays"]),
        "callers": {"marksRetry": True},
        "classes": classes, "discovery": v["discovery"], "domainType": "deliver",
        "familyInfo": {"bundleMax": v["bundle"], "callsOut": v["max_calls"], "late": v["late"],
                       "refusedPrice": 0.03, "routesApart": v["apart"], "toll": [0.01, 0.04]},
        "kinds": ["bulk", "small"],
        "limits": {"cancel": v["cancel"], "connIdleS": 15.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 825000,
                   "dialTimeoutS": 0.5, "maxRetryAfterS": 3.0, "mostTries": 6, "openCap": v["capacity"],
                   "peers": v.get("peers", True), "probes": True, "retryAfter": True, "secondCopies": v["copies"], "streamsPerConn": 1},
        "me": me, "overShareWorth": 0.2,
        "rules": {"answerSlackS": 0.02, "askWithinS": 6.0, "coldFrom": 0.25, "drainGraceS": 1.0,
                  "overloadFactor": 2.0, "overloadForS": 2.0, "rampTimeS": 6.0},
        "telemetry": {"fields": ["x0", "x1"] if v["reports"] != "none" else [], "how": v["reports"]},
        "tickS": TICK_US / 1e6, "tier": 0, "tiers": ["partners"], "weightKind": v["rating"], "worthBy": "request",
        "zones": ["north", "south"]}
    if v["tenants"]:
        result["realms"] = [{"allowancePerS": 12.0, "name": "acme", "share": 0.6},
                            {"allowancePerS": 6.0, "name": "zeta", "share": 0.4}]
    if v["key_rest"] is not None:
        result["rules"]["keyRestS"] = v["key_rest"]
    return result


def open_gzip(path):
    """Opens a gzip text file without date and name in its header, so that the same text gives the same bytes."""
    return io.TextIOWrapper(gzip.GzipFile("", "wb", 9, open(path, "wb"), mtime=0))


def route_gossip(kind, destination, route):
    """Encodes a peer's gossip about a destination or one of its routes: rejected (r), recovered (b), out of connections
    (c)."""
    tag = 2166136261
    for letter in route or "":
        tag = (tag ^ ord(letter)) * 16777619 % (1 << 32)
    return base64.b64encode(b"L" + kind.encode() + bytes([2 * destination]) +
                            (tag.to_bytes(4, "little") if route else b"")).decode()


class Endpoint:
    def __init__(self, name, zone, kind, destination, limit):
        self.name, self.zone, self.kind, self.destination = name, zone, kind, destination
        self.limit, self.mode, self.state = limit, "in_service", "up"
        self.came_up, self.back_at, self.hold_until = 0.0, -1e9, -1e9

    def to_record(self, factor):
        row = {"endpoint": self.name, "dc": self.zone, "kind": self.kind, "destination": self.destination,
               "mode": self.mode, "rating": factor}
        return dict(row, cameUpS=self.came_up) if self.came_up else row


class Request:
    def __init__(self, name, who, event, until):
        self.name, self.who, self.event, self.until = name, who, event, until
        self.attempts, self.ended, self.deadline_passed = [], False, False


class Instance:
    def __init__(self):
        self.incarnation, self.calls_in_flight, self.watching, self.version, self.alive = 0, 0, False, 0, True


class Simulation:
    def __init__(self, program, variant, seed, folder):
        self.variant = VARIANTS[variant]
        self.random = random.Random(f"{variant}/{seed}")
        self.program = subprocess.Popen([program], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        self.input_file = open_gzip(f"{folder}/{variant}.in.gz")
        self.output_file = open_gzip(f"{folder}/{variant}.out.gz")
        self.now, self.scheduled, self.scheduled_count, self.sheet, self.version = START_S, [], 0, 0, 1
        self.batch, self.requests, self.changes, self.event_counts = [], {}, [], {}
        self.instances = {f"courier-{i}": Instance() for i in range(self.variant["relays"])}
        self.endpoints, self.buckets, self.discovery_up = {}, {}, True
        for destination in range(6):
            kind = ["bulk", "small"][destination % 2]
            for i in range(3 if destination < 4 else 2):
                self.add_endpoint(f"e-{destination}{'abc'[i]}", destination, kind, ["north", "south"][i % 2], 0.0)

    # ---- clock and batches ----

    def schedule(self, seconds, step, *arguments):
        self.scheduled_count += 1
        due = max(math.ceil(round(seconds * 1e6) / TICK_US), round(self.now * 1e6) // TICK_US + 1)
        heapq.heappush(self.scheduled, (due, self.scheduled_count, step, arguments))

    def send_event(self, who, kind, **fields):
        if not self.instances[who].alive:
            return
        self.event_counts[kind] = self.event_counts.get(kind, 0) + 1
        self.batch.append({"type": kind, "who": who, **fields})

    def send_batch(self):
        line = json.dumps({"tsS": self.now, "in": self.batch}, separators=(",", ":"))
        self.batch = []
        self.input_file.write(line + "\n")
        self.program.stdin.write(line + "\n")
        self.program.stdin.flush()
        reply = self.program.stdout.readline()
        if not reply:
            sys.exit(f"the program ended at {self.now} s: try another seed")
        self.output_file.write(reply)
        self.calls = {}  # of this reply, by instance and endpoint: up to bundleMax requests share one
        for action in json.loads(reply)["decisions"]:
            self.event_counts[action["type"]] = self.event_counts.get(action["type"], 0) + 1
            getattr(self, "do_" + action["type"].lower())(action["who"], action)

    def run(self):
        for _ in range(2):
            self.send_batch()
            self.now = round(self.now + 0.005, 6)
        for who in self.instances:
            self.attach(who)
        self.send_batch()
        self.schedule_all()
        while self.scheduled and self.scheduled[0][0] * TICK_US / 1e6 < START_S + DURATION_S:
            due = self.scheduled[0][0]
            self.now = due * TICK_US / 1e6
            while self.scheduled and self.scheduled[0][0] == due:
                _, _, step, arguments = heapq.heappop(self.scheduled)
                step(*arguments)
            self.send_batch()
        self.program.stdin.close()
        return self.program.wait()

    def schedule_all(self):
        """Schedules the traffic and the faults of the whole run."""
        for who in self.instances:
            self.schedule(self.now, self.request_arrives, who)
        r = self.random
        names = list(self.endpoints)
        for second in range(6, int(DURATION_S) - 6, 3):
            name = names[r.randrange(len(names))]
            state = r.choice(["refusing", "silent", "failing", "slow", "breaking", "shut"])
            self.schedule(START_S + second, self.set_endpoint_state, name, state)
            self.schedule(START_S + second + r.uniform(2, 7), self.set_endpoint_state, name, "up")
        for second in (14, 37):  # all endpoints of a destination at once
            group = [n for n in names if self.endpoints[n].destination == r.randrange(6)] or names[:3]
            for name in group:
                self.schedule(START_S + second, self.set_endpoint_state, name, "refusing")
                self.schedule(START_S + second + 6, self.set_endpoint_state, name, "up")
        for i, second in enumerate(range(9, int(DURATION_S) - 8, 9)):
            self.schedule(START_S + second, self.replace_endpoint, names[(5 * i + 2) % len(names)], i)
        self.schedule(START_S + 24, self.scale_limits, 0.5)
        self.schedule(START_S + 33, self.scale_limits, 2.0)
        self.schedule(START_S + 20, self.set_discovery_outage, True)
        self.schedule(START_S + 27, self.set_discovery_outage, False)
        self.schedule(START_S + 45, self.send_complete_list)
        self.schedule(START_S + 41, self.crash_instance, "courier-1", 0.8)
        self.schedule(START_S + 52, self.crash_instance, "courier-0", 0.0)
        for i, message in enumerate(6 * self.variant.get("gossip", [])):
            self.schedule(START_S + 5 + 2 * i, self.deliver_gossip, f"courier-{i % 3}", 7, route_gossip(*message))
        for second in range(3, int(DURATION_S), 7):
            body = bytes(r.randrange(256) for _ in range(r.randrange(12)))
            self.schedule(START_S + second, self.deliver_gossip, "courier-0", 1, base64.b64encode(body).decode())

    # ---- relay instances and endpoint lists ----

    def attach(self, who):
        me = int(who.split("-")[1])
        self.instances[who].alive = True
        self.send_event(who, "ATTACH", prng=self.random.randrange(1 << 62), options=options(self.variant, me))
        self.send_list(who, "remembered", [e for e in self.endpoints.values() if e.mode != "terminated"])

    def send_list(self, who, scope, entries):
        instance = self.instances[who]
        if scope == "refused":
            self.event_counts["refused list"] = self.event_counts.get("refused list", 0) + 1
            return self.send_event(who, "MEMBERS", scope=scope, version=instance.version, sheet=0)
        factor = {"none": lambda e: 1, "nominal": lambda e: e.limit, "rough": lambda e: round(e.limit * 1.3, 3)}
        rows = [e.to_record(factor[self.variant["rating"]](e)) for e in entries]
        if scope != "changes":
            rows = [row for row in rows if row["mode"] != "terminated"]
        self.batch.append({"type": "MANIFEST", "sheet": self.sheet, "records": rows})
        self.event_counts[scope] = self.event_counts.get(scope, 0) + 1
        self.send_event(who, "MEMBERS", scope=scope, version=self.version, sheet=self.sheet)
        self.sheet, instance.version = (self.sheet + 1) % 16, self.version

    def crash_instance(self, who, downtime):
        self.send_event(who, "CRASH_NOW")
        instance = self.instances[who]
        instance.incarnation, instance.calls_in_flight = instance.incarnation + 1, 0
        instance.watching, instance.alive = False, False
        others = [w for w in self.instances if w != who]
        for request in [r for r in self.requests.values() if r.who == who and not r.ended]:
            request.ended = True
            bad = any(a["may_have_run"] for a in request.attempts)
            if not bad or request.event["grade"] == "status":
                self.schedule(self.now + 0.3, self.resubmit, others[0], request, 16)
        self.schedule(self.now + downtime, self.attach, who) if downtime else self.attach(who)

    def add_endpoint(self, name, destination, kind, zone, came_up):
        limit = [14.0, 9.0, 30.0, 6.0, 20.0, 11.0][destination]
        self.endpoints[name] = Endpoint(name, zone, kind, destination, limit)
        self.endpoints[name].came_up = came_up

    def publish_change(self, *endpoints):
        self.version += 1
        self.changes.append((self.version, endpoints))
        for who, instance in self.instances.items():
            if self.variant["discovery"] == "push" or instance.watching:
                self.schedule(self.now + self.random.uniform(0, 0.1), self.deliver_changes, who, instance.incarnation)

    def deliver_changes(self, who, incarnation):
        instance = self.instances[who]
        if instance.incarnation != incarnation or not self.discovery_up:
            return
        missed = {e.name: e for version, entries in self.changes if version > instance.version for e in entries}
        if missed:
            self.send_list(who, "changes", missed.values())

    def replace_endpoint(self, name, number):
        old = self.endpoints[name]
        if old.mode != "in_service":
            return
        old.mode = "terminating"
        fresh = f"{name}-{number}"
        self.add_endpoint(fresh, old.destination, old.kind, old.zone, round(self.now, 3))
        self.publish_change(old, self.endpoints[fresh])
        self.schedule(self.now + 2.5, self.remove_endpoint, old)

    def remove_endpoint(self, endpoint):
        endpoint.mode = "terminated"
        endpoint.state = "refusing"
        self.publish_change(endpoint)

    def scale_limits(self, factor):
        for endpoint in self.endpoints.values():
            endpoint.limit *= factor
        self.publish_change(*[e for e in self.endpoints.values() if e.mode == "in_service"])

    def set_discovery_outage(self, begins):
        self.discovery_up = not begins
        for who, instance in self.instances.items():
            if begins and instance.watching:
                instance.watching = False
                self.send_list(who, "refused", [])
            if not begins and self.variant["discovery"] == "push":
                self.deliver_changes(who, instance.incarnation)

    def send_complete_list(self):
        for who, instance in self.instances.items():
            if self.variant["discovery"] == "push" or instance.watching:
                self.send_list(who, "all", self.endpoints.values())

    def do_stream_changes(self, who, action):
        delay = self.random.uniform(0.02, 0.3)
        self.schedule(self.now + delay, self.answer_watch, who, self.instances[who].incarnation)

    def answer_watch(self, who, incarnation):
        instance = self.instances[who]
        if instance.incarnation != incarnation:
            return
        if not self.discovery_up or self.random.random() < 0.2:
            return self.send_list(who, "refused", [])
        instance.watching = True
        self.send_list(who, "all", self.endpoints.values())
        self.schedule(self.now + self.random.uniform(8, 20), self.break_watch, who, incarnation)

    def break_watch(self, who, incarnation):
        if self.instances[who].incarnation == incarnation and self.instances[who].watching:
            self.instances[who].watching = False
            self.send_list(who, "refused", [])

    # ---- clients ----

    def request_arrives(self, who):
        r = self.random
        burst = 3.0 if 28 < self.now - START_S < 31 else 1.0
        self.schedule(self.now + r.expovariate(self.variant["rate"] * burst), self.request_arrives, who)
        c = CLASSES[r.choices(range(4), [4, 3, 2, 2])[0]]
        event = {"grade": c["name"], "patienceLeftS": c["deadlineS"], "destination": r.choices(range(6), [5, 3, 3, 2, 2, 1])[0]}
        if self.variant["tenants"]:
            event["account"] = r.choice(["acme", "acme", "zeta"])
        if c["name"] == "order":
            event["item"] = f"seq.{r.randrange(8)}"
        elif c["name"] == "event":
            event["item"] = f"key.{r.getrandbits(32):08x}"
        if r.random() < 0.2:
            event.update(sizeHintS=round(r.uniform(0.005, 0.03), 4), opts=1)
        self.submit(who, event, self.now + c["deadlineS"])

    def submit(self, who, event, until):
        name = f"r-{len(self.requests):05d}"
        if event["patienceLeftS"] < 0.05:
            return
        if not self.instances[who].alive:
            who = next(w for w, instance in self.instances.items() if instance.alive)
        request = self.requests[name] = Request(name, who, event, until)
        self.send_event(who, "INBOUND", corr=name, **event)
        self.schedule(until, self.end_at_deadline, request)
        if self.random.random() < 0.02:
            delay = self.random.uniform(0.01, 1.0)
            self.schedule(self.now + delay, self.abort_request, request, self.instances[who].incarnation)

    def resubmit(self, who, request, flag):
        left = round(request.until - self.now, 6)
        opts = request.event.get("opts", 0) | flag
        self.submit(who, dict(request.event, patienceLeftS=left, opts=opts), request.until)

    def abort_request(self, request, incarnation):
        if not request.ended and self.instances[request.who].incarnation == incarnation:
            request.ended = True
            self.send_event(request.who, "ABORTED", corr=request.name)

    def end_at_deadline(self, request):
        if not request.ended and not request.deadline_passed:
            request.deadline_passed = True
            self.schedule(self.now + 0.05, self.abort_request, request, self.instances[request.who].incarnation)

    def do_refuse(self, who, action):
        request = self.requests[action["corr"]]
        if not request.ended and self.random.random() < 0.7:
            wait = action.get("waitS") or 0.0
            self.schedule(self.now + wait + self.random.uniform(0.1, 0.6), self.resubmit, who, request, 2)
        request.ended = True

    def do_error(self, who, action):
        self.requests[action["corr"]].ended = True

    # ---- calls ----

    def do_place(self, who, action):
        request, instance = self.requests[action["corr"]], self.instances[who]
        number = len(request.attempts)
        attempt = {"endpoint": action["endpoint"], "ended": False, "may_have_run": True, "sent": self.now, "slot": True}
        request.attempts.append(attempt)
        endpoint = self.endpoints[action["endpoint"]]
        call = self.calls.get((who, endpoint.name))
        shared = call is not None and call["requests"] < self.variant["bundle"][endpoint.destination % 2]
        attempt["slot"] = not shared
        no_slot = not shared and (instance.calls_in_flight >= self.variant["max_calls"] or self.random.random() < 0.004)
        if request.ended or number >= 6 or no_slot:
            attempt["slot"] = False
            full = {"holdMs": 1} if no_slot else {}
            return self.schedule(self.now, self.end_attempt, request, number, instance.incarnation, "superseded", full)
        if not shared:
            instance.calls_in_flight += 1
            call = self.calls[who, endpoint.name] = {"requests": 0, "result": self.serve(endpoint)}
        call["requests"] += 1
        self.event_counts["in a shared call"] = self.event_counts.get("in a shared call", 0) + shared
        until = min(action.get("untilS") or request.until, request.until)
        outcome, duration, more = call["result"]
        if self.now + duration > until:
            outcome, duration, more = "overdue", max(0.0, until - self.now), {}
        elif outcome == "completed" and request.event["grade"] == "status" and self.random.random() < 0.03:
            self.schedule(self.now + duration / 2, self.send_flowing, request, number, instance.incarnation)
        self.schedule(self.now + duration, self.end_attempt, request, number, instance.incarnation, outcome, more)

    def serve(self, e):
        """Returns what happens to a call that is sent now: its outcome, its duration, and further fields."""
        r = self.random
        report = {"stats": {"x0": round(r.random(), 3), "x1": e.limit}} if self.variant["reports"] == "answers" else {}
        if e.state == "refusing":
            return "refused_conn", r.choice([0.002, 0.5]), {}
        if e.state == "silent":
            return "completed", 1e6, {}
        if e.state == "shut":
            return "saturated", 0.004, report
        bucket = self.buckets.setdefault(
            e.name if self.variant["apart"][e.destination % 2] else e.destination, [2.0, self.now])
        warm = min(1.0, 0.25 + 0.75 * (self.now - e.back_at) / 6.0)
        bucket[0] = min(max(2.0, 0.3 * e.limit), bucket[0] + (self.now - bucket[1]) * e.limit * warm)
        bucket[1] = self.now
        if bucket[0] < 1 or self.now < e.hold_until:
            hold = {}
            if self.variant["hold"] and r.random() < 0.5:
                e.hold_until = max(e.hold_until, self.now + r.uniform(0.1, self.variant["hold"]))
                hold = {"holdMs": math.ceil((e.hold_until - self.now) * 1000)}
            return "saturated", 0.003 + 0.004 * r.random(), {**hold, **report}
        bucket[0] -= 1
        duration = 0.008 + r.expovariate(1 / 0.03) + (0.1 if r.random() < 0.04 else 0) + (e.state == "slow") * 0.8
        chance = r.random()
        if e.state == "failing" or chance < 0.015:
            return "errored", duration, report
        if e.state == "breaking" or chance < 0.025:
            return "severed", duration, {}
        return ("completed", 1e6, {}) if chance < 0.03 else ("completed", duration, report)

    def send_flowing(self, request, number, incarnation):
        attempt = request.attempts[number]
        if self.instances[request.who].incarnation == incarnation and not request.ended and not attempt["ended"]:
            self.send_event(request.who, "FLOWING", corr=request.name, shot=number, endpoint=attempt["endpoint"],
                      durationS=round(self.now - attempt["sent"], 6))

    def end_attempt(self, request, number, incarnation, outcome, more):
        attempt, instance = request.attempts[number], self.instances[request.who]
        if instance.incarnation != incarnation or attempt["ended"]:
            return
        attempt["ended"] = True
        attempt["may_have_run"] = outcome not in ("saturated", "refused_conn", "superseded")
        instance.calls_in_flight -= attempt["slot"]
        request.ended = request.ended or outcome == "completed"
        over = {"terminal": True} if request.ended else {}
        self.event_counts[outcome] = self.event_counts.get(outcome, 0) + 1
        self.send_event(request.who, "RESULT", corr=request.name, shot=number, endpoint=attempt["endpoint"],
                  outcome=outcome, durationS=round(self.now - attempt["sent"], 6), **over, **more)

    def do_cancel(self, who, action):
        request = self.requests[action["corr"]]
        self.schedule(self.now, self.end_attempt, request, action["shot"], self.instances[who].incarnation,
                      "recalled", {})

    def do_check(self, who, action):
        outcome, duration, more = self.serve(self.endpoints[action["endpoint"]])
        if duration > 1:
            outcome, duration = "overdue", 1.0
        if self.variant["reports"] == "probe":
            more = {"stats": {"x0": 0.5, "x1": self.endpoints[action["endpoint"]].limit}}
        self.schedule(self.now + duration, self.send_check_result, who, self.instances[who].incarnation,
                      action["endpoint"], outcome, duration, more)

    def send_check_result(self, who, incarnation, endpoint, outcome, duration, more):
        more.pop("holdMs", None)
        if self.instances[who].incarnation == incarnation:
            self.send_event(who, "PROBED", endpoint=endpoint, outcome=outcome, durationS=round(duration, 6), **more)

    def set_endpoint_state(self, name, state):
        endpoint = self.endpoints[name]
        if endpoint.mode == "terminated":
            return
        if state == "up" and endpoint.state != "up":
            endpoint.back_at = self.now
        endpoint.state = state

    # ---- timers and gossip ----

    def do_set_timer(self, who, action):
        self.schedule(action["dueAtS"], self.fire_timer, who, self.instances[who].incarnation, action["label"])

    def fire_timer(self, who, incarnation, label):
        if self.instances[who].incarnation == incarnation:
            self.send_event(who, "REMINDER", label=label)

    def do_announce(self, who, action):
        sender = int(who.split("-")[1])
        for other in self.instances:
            if other != who and action["recipient"] in (None, int(other.split("-")[1])) and self.random.random() < 0.9:
                delay = self.random.uniform(0.01, 0.3)
                self.schedule(self.now + delay, self.deliver_gossip, other, sender, action["body"])

    def deliver_gossip(self, who, sender, body):
        self.send_event(who, "FROM_PEER", srcPeer=sender, body=body)

    def do_disconnect(self, who, action):
        pass

    def do_trace(self, who, action):
        pass


def main():
    program, variant, seed, folder = sys.argv[1:]
    simulation = Simulation(program, variant, int(seed), folder)
    status = simulation.run()
    simulation.input_file.close()
    simulation.output_file.close()
    print(variant, "exit status", status, dict(sorted(simulation.event_counts.items())))
    return status


if __name__ == "__main__":
    sys.exit(main())
