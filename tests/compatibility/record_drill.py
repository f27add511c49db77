#!/usr/bin/env python3
"""Records a closed-loop conversation with opalroute_drill: record_drill.py DRILL VARIANT SEED FOLDER

Plays a seeded world of relay instances, destinations and clients against the program, as the adapter protocol
describes it, and writes FOLDER/VARIANT.in.gz (the batches) and FOLDER/VARIANT.out.gz (the replies).
The same program, variant and seed give the same bytes.
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
DAY_S = 64.0
START_S = 8.0


def message_class(name, effect, aim, deadline, worth, **more):
    return dict(name=name, effect=effect, aimS=aim, deadlineS=deadline, worth=worth, group="all", keyTtlS=5.0,
                lateShare=0.3, stream=False, **more)


CLASSES = [
    message_class("status", "idempotent", 0.4, 4.0, 1.0),
    message_class("order", "deduplicated", 1.0, 8.0, 1.0, keepOrder=True),
    message_class("payment", "at_most_once", 1.0, 6.0, 3.0),
    message_class("event", "deduplicated", 0.8, 5.0, 0.5),
]

# Settings, and the shape of the world: what differs from one recording to the next.
VARIANTS = {
    "push": dict(discovery="push", rating="nominal", apart=[True, False], bundle=[5, 1], calls_out=12, room=120,
                 late="even", group="all", reports="none", couriers=3, copies=True, cancel=True, tenants=True,
                 key_rest=0.4, rate=9.0, hold=0.5),
    "ask": dict(discovery="ask", rating="none", apart=[False, True], bundle=[1, 3], calls_out=10, room=60,
                late="by_half", group="zone", reports="answers", couriers=2, copies=True, cancel=True, tenants=False,
                key_rest=0.2, rate=12.0, hold=0.8),
    "plain": dict(discovery="push", rating="rough", apart=[False, False], bundle=[4, 2], calls_out=16, room=90,
                  late="even", group="zone", reports="probe", couriers=3, copies=False, cancel=False, tenants=True,
                  key_rest=None, rate=8.0, hold=0.0),
}
VARIANTS["crowded"] = dict(VARIANTS["push"], rate=26.0, room=70, calls_out=9, group="zone", late="by_half")
# One of a large tier, whose other members are not played: idle connections close, and slots are short.
VARIANTS["fleet"] = dict(VARIANTS["plain"], balancers=12, peers=False, cancel=True, calls_out=4, apart=[True, False],
                         rate=10.0, notes=[("r", 3, None), ("c", 1, None), ("b", 5, None), ("c", 0, "e-0a"), ("r", 2, "e-2b")])


def options(v, me):
    classes = [dict(c, group=v["group"]) for c in CLASSES]
    result = {
        "az": "north" if me % 2 == 0 else "south", "balancers": v.get("balancers", v["couriers"]), "callers": {"marksRetry": True},
        "classes": classes, "discovery": v["discovery"], "domainType": "deliver",
        "familyInfo": {"bundleMax": v["bundle"], "callsOut": v["calls_out"], "late": v["late"],
                       "refusedPrice": 0.03, "routesApart": v["apart"], "toll": [0.01, 0.04]},
        "kinds": ["bulk", "small"],
        "limits": {"cancel": v["cancel"], "connIdleS": 15.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 825000,
                   "dialTimeoutS": 0.5, "maxRetryAfterS": 3.0, "mostTries": 6, "openCap": v["room"], "peers": v.get("peers", True),
                   "probes": True, "retryAfter": True, "secondCopies": v["copies"], "streamsPerConn": 1},
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


def packed(path):
    """A text file under gzip without a date or name in it, so that the same text gives the same bytes."""
    return io.TextIOWrapper(gzip.GzipFile("", "wb", 9, open(path, "wb"), mtime=0))


def lane_note(kind, destination, route):
    """What a peer says of a destination, or of a route of it: refused, back or crowded."""
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

    def row(self, factor):
        row = {"endpoint": self.name, "dc": self.zone, "kind": self.kind, "destination": self.destination,
               "mode": self.mode, "rating": factor}
        return dict(row, cameUpS=self.came_up) if self.came_up else row


class Request:
    def __init__(self, name, who, event, until):
        self.name, self.who, self.event, self.until = name, who, event, until
        self.attempts, self.over, self.gone = [], False, False


class Instance:
    def __init__(self):
        self.life, self.out, self.watching, self.version, self.alive = 0, 0, False, 0, True


class World:
    def __init__(self, program, variant, seed, folder):
        self.v = VARIANTS[variant]
        self.random = random.Random(f"{variant}/{seed}")
        self.drill = subprocess.Popen([program], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        self.inputs = packed(f"{folder}/{variant}.in.gz")
        self.outputs = packed(f"{folder}/{variant}.out.gz")
        self.now, self.heap, self.count, self.sheet, self.version = START_S, [], 0, 0, 1
        self.batch, self.requests, self.changes, self.seen = [], {}, [], {}
        self.instances = {f"courier-{i}": Instance() for i in range(self.v["couriers"])}
        self.endpoints, self.buckets, self.discovery_up = {}, {}, True
        for destination in range(6):
            kind = ["bulk", "small"][destination % 2]
            for i in range(3 if destination < 4 else 2):
                self.add(f"e-{destination}{'abc'[i]}", destination, kind, ["north", "south"][i % 2], 0.0)

    # ---- the clock and the batches ----

    def at(self, seconds, step, *arguments):
        self.count += 1
        due = max(math.ceil(round(seconds * 1e6) / TICK_US), round(self.now * 1e6) // TICK_US + 1)
        heapq.heappush(self.heap, (due, self.count, step, arguments))

    def tell(self, who, kind, **fields):
        if not self.instances[who].alive:
            return
        self.seen[kind] = self.seen.get(kind, 0) + 1
        self.batch.append({"type": kind, "who": who, **fields})

    def exchange(self):
        line = json.dumps({"tsS": self.now, "in": self.batch}, separators=(",", ":"))
        self.batch = []
        self.inputs.write(line + "\n")
        self.drill.stdin.write(line + "\n")
        self.drill.stdin.flush()
        reply = self.drill.stdout.readline()
        if not reply:
            sys.exit(f"the program died at {self.now}: take another seed")
        self.outputs.write(reply)
        self.calls = {}  # of this reply, by instance and endpoint: messages share one up to bundleMax
        for action in json.loads(reply)["decisions"]:
            self.seen[action["type"]] = self.seen.get(action["type"], 0) + 1
            getattr(self, "do_" + action["type"].lower())(action["who"], action)

    def play(self):
        for _ in range(2):
            self.exchange()
            self.now = round(self.now + 0.005, 6)
        for who in self.instances:
            self.attach(who)
        self.exchange()
        self.plan()
        while self.heap and self.heap[0][0] * TICK_US / 1e6 < START_S + DAY_S:
            due = self.heap[0][0]
            self.now = due * TICK_US / 1e6
            while self.heap and self.heap[0][0] == due:
                _, _, step, arguments = heapq.heappop(self.heap)
                step(*arguments)
            self.exchange()
        self.drill.stdin.close()
        return self.drill.wait()

    def plan(self):
        """The day: traffic, and what goes wrong when."""
        for who in self.instances:
            self.at(self.now, self.arrive, who)
        drawn = self.random
        names = list(self.endpoints)
        for second in range(6, int(DAY_S) - 6, 3):
            name = names[drawn.randrange(len(names))]
            state = drawn.choice(["refusing", "silent", "failing", "slow", "breaking", "shut"])
            self.at(START_S + second, self.set_state, name, state)
            self.at(START_S + second + drawn.uniform(2, 7), self.set_state, name, "up")
        for second in (14, 37):  # all of a destination at once
            group = [n for n in names if self.endpoints[n].destination == drawn.randrange(6)] or names[:3]
            for name in group:
                self.at(START_S + second, self.set_state, name, "refusing")
                self.at(START_S + second + 6, self.set_state, name, "up")
        for i, second in enumerate(range(9, int(DAY_S) - 8, 9)):
            self.at(START_S + second, self.replace, names[(5 * i + 2) % len(names)], i)
        self.at(START_S + 24, self.limits, 0.5)
        self.at(START_S + 33, self.limits, 2.0)
        self.at(START_S + 20, self.outage_of_discovery, True)
        self.at(START_S + 27, self.outage_of_discovery, False)
        self.at(START_S + 45, self.send_all)
        self.at(START_S + 41, self.crash, "courier-1", 0.8)
        self.at(START_S + 52, self.crash, "courier-0", 0.0)
        for i, note in enumerate(6 * self.v.get("notes", [])):
            self.at(START_S + 5 + 2 * i, self.pass_on, f"courier-{i % 3}", 7, lane_note(*note))
        for second in range(3, int(DAY_S), 7):
            body = bytes(drawn.randrange(256) for _ in range(drawn.randrange(12)))
            self.at(START_S + second, self.pass_on, "courier-0", 1, base64.b64encode(body).decode())

    # ---- instances and lists ----

    def attach(self, who):
        me = int(who.split("-")[1])
        self.instances[who].alive = True
        self.tell(who, "ATTACH", prng=self.random.randrange(1 << 62), options=options(self.v, me))
        self.members(who, "remembered", [e for e in self.endpoints.values() if e.mode != "terminated"])

    def members(self, who, scope, entries):
        instance = self.instances[who]
        if scope == "refused":
            self.seen["refused list"] = self.seen.get("refused list", 0) + 1
            return self.tell(who, "MEMBERS", scope=scope, version=instance.version, sheet=0)
        factor = {"none": lambda e: 1, "nominal": lambda e: e.limit, "rough": lambda e: round(e.limit * 1.3, 3)}
        rows = [e.row(factor[self.v["rating"]](e)) for e in entries]
        if scope != "changes":
            rows = [row for row in rows if row["mode"] != "terminated"]
        self.batch.append({"type": "MANIFEST", "sheet": self.sheet, "records": rows})
        self.seen[scope] = self.seen.get(scope, 0) + 1
        self.tell(who, "MEMBERS", scope=scope, version=self.version, sheet=self.sheet)
        self.sheet, instance.version = (self.sheet + 1) % 16, self.version

    def crash(self, who, away):
        self.tell(who, "CRASH_NOW")
        instance = self.instances[who]
        instance.life, instance.out, instance.watching, instance.alive = instance.life + 1, 0, False, False
        others = [w for w in self.instances if w != who]
        for request in [r for r in self.requests.values() if r.who == who and not r.over]:
            request.over = True
            bad = any(a["may_have_run"] for a in request.attempts)
            if not bad or request.event["grade"] == "status":
                self.at(self.now + 0.3, self.come_again, others[0], request, 16)
        self.at(self.now + away, self.attach, who) if away else self.attach(who)

    def add(self, name, destination, kind, zone, came_up):
        limit = [14.0, 9.0, 30.0, 6.0, 20.0, 11.0][destination]
        self.endpoints[name] = Endpoint(name, zone, kind, destination, limit)
        self.endpoints[name].came_up = came_up

    def changed(self, *endpoints):
        self.version += 1
        self.changes.append((self.version, endpoints))
        for who, instance in self.instances.items():
            if self.v["discovery"] == "push" or instance.watching:
                self.at(self.now + self.random.uniform(0, 0.1), self.deliver_changes, who, instance.life)

    def deliver_changes(self, who, life):
        instance = self.instances[who]
        if instance.life != life or not self.discovery_up:
            return
        missed = {e.name: e for version, entries in self.changes if version > instance.version for e in entries}
        if missed:
            self.members(who, "changes", missed.values())

    def replace(self, name, number):
        old = self.endpoints[name]
        if old.mode != "in_service":
            return
        old.mode = "terminating"
        fresh = f"{name}-{number}"
        self.add(fresh, old.destination, old.kind, old.zone, round(self.now, 3))
        self.changed(old, self.endpoints[fresh])
        self.at(self.now + 2.5, self.remove, old)

    def remove(self, endpoint):
        endpoint.mode = "terminated"
        endpoint.state = "refusing"
        self.changed(endpoint)

    def limits(self, factor):
        for endpoint in self.endpoints.values():
            endpoint.limit *= factor
        self.changed(*[e for e in self.endpoints.values() if e.mode == "in_service"])

    def outage_of_discovery(self, begins):
        self.discovery_up = not begins
        for who, instance in self.instances.items():
            if begins and instance.watching:
                instance.watching = False
                self.members(who, "refused", [])
            if not begins and self.v["discovery"] == "push":
                self.deliver_changes(who, instance.life)

    def send_all(self):
        for who, instance in self.instances.items():
            if self.v["discovery"] == "push" or instance.watching:
                self.members(who, "all", self.endpoints.values())

    def do_stream_changes(self, who, action):
        self.at(self.now + self.random.uniform(0.02, 0.3), self.answer_watch, who, self.instances[who].life)

    def answer_watch(self, who, life):
        instance = self.instances[who]
        if instance.life != life:
            return
        if not self.discovery_up or self.random.random() < 0.2:
            return self.members(who, "refused", [])
        instance.watching = True
        self.members(who, "all", self.endpoints.values())
        self.at(self.now + self.random.uniform(8, 20), self.break_watch, who, life)

    def break_watch(self, who, life):
        if self.instances[who].life == life and self.instances[who].watching:
            self.instances[who].watching = False
            self.members(who, "refused", [])

    # ---- clients ----

    def arrive(self, who):
        r = self.random
        burst = 3.0 if 28 < self.now - START_S < 31 else 1.0
        self.at(self.now + r.expovariate(self.v["rate"] * burst), self.arrive, who)
        c = CLASSES[r.choices(range(4), [4, 3, 2, 2])[0]]
        event = {"grade": c["name"], "patienceLeftS": c["deadlineS"], "destination": r.choices(range(6), [5, 3, 3, 2, 2, 1])[0]}
        if self.v["tenants"]:
            event["account"] = r.choice(["acme", "acme", "zeta"])
        if c["name"] == "order":
            event["item"] = f"seq.{r.randrange(8)}"
        elif c["name"] == "event":
            event["item"] = f"key.{r.getrandbits(32):08x}"
        if r.random() < 0.2:
            event.update(sizeHintS=round(r.uniform(0.005, 0.03), 4), opts=1)
        self.hand_in(who, event, self.now + c["deadlineS"])

    def hand_in(self, who, event, until):
        name = f"r-{len(self.requests):05d}"
        if event["patienceLeftS"] < 0.05:
            return
        if not self.instances[who].alive:
            who = next(w for w, instance in self.instances.items() if instance.alive)
        request = self.requests[name] = Request(name, who, event, until)
        self.tell(who, "INBOUND", corr=name, **event)
        self.at(until, self.time_up, request)
        if self.random.random() < 0.02:
            self.at(self.now + self.random.uniform(0.01, 1.0), self.abort, request, self.instances[who].life)

    def come_again(self, who, request, mark):
        left = round(request.until - self.now, 6)
        opts = request.event.get("opts", 0) | mark
        self.hand_in(who, dict(request.event, patienceLeftS=left, opts=opts), request.until)

    def abort(self, request, life):
        if not request.over and self.instances[request.who].life == life:
            request.over = True
            self.tell(request.who, "ABORTED", corr=request.name)

    def time_up(self, request):
        if not request.over and not request.gone:
            request.gone = True
            self.at(self.now + 0.05, self.abort, request, self.instances[request.who].life)

    def do_refuse(self, who, action):
        request = self.requests[action["corr"]]
        if not request.over and self.random.random() < 0.7:
            wait = action.get("waitS") or 0.0
            self.at(self.now + wait + self.random.uniform(0.1, 0.6), self.come_again, who, request, 2)
        request.over = True

    def do_error(self, who, action):
        self.requests[action["corr"]].over = True

    # ---- calls ----

    def do_place(self, who, action):
        request, instance = self.requests[action["corr"]], self.instances[who]
        number = len(request.attempts)
        attempt = {"endpoint": action["endpoint"], "ended": False, "may_have_run": True, "sent": self.now, "slot": True}
        request.attempts.append(attempt)
        endpoint = self.endpoints[action["endpoint"]]
        call = self.calls.get((who, endpoint.name))
        shared = call is not None and call["messages"] < self.v["bundle"][endpoint.destination % 2]
        attempt["slot"] = not shared
        no_slot = not shared and (instance.out >= self.v["calls_out"] or self.random.random() < 0.004)
        if request.over or number >= 6 or no_slot:
            attempt["slot"] = False
            full = {"holdMs": 1} if no_slot else {}
            return self.at(self.now, self.result, request, number, instance.life, "superseded", full)
        if not shared:
            instance.out += 1
            call = self.calls[who, endpoint.name] = {"messages": 0, "fate": self.serve(endpoint)}
        call["messages"] += 1
        self.seen["in a shared call"] = self.seen.get("in a shared call", 0) + shared
        until = min(action.get("untilS") or request.until, request.until)
        outcome, takes, more = call["fate"]
        if self.now + takes > until:
            outcome, takes, more = "overdue", max(0.0, until - self.now), {}
        elif outcome == "completed" and request.event["grade"] == "status" and self.random.random() < 0.03:
            self.at(self.now + takes / 2, self.flowing, request, number, instance.life)
        self.at(self.now + takes, self.result, request, number, instance.life, outcome, more)

    def serve(self, e):
        """What becomes of a call that leaves now: its outcome, how long that takes, and more fields."""
        r = self.random
        report = {"stats": {"x0": round(r.random(), 3), "x1": e.limit}} if self.v["reports"] == "answers" else {}
        if e.state == "refusing":
            return "refused_conn", r.choice([0.002, 0.5]), {}
        if e.state == "silent":
            return "completed", 1e6, {}
        if e.state == "shut":
            return "saturated", 0.004, report
        bucket = self.buckets.setdefault(
            e.name if self.v["apart"][e.destination % 2] else e.destination, [2.0, self.now])
        warm = min(1.0, 0.25 + 0.75 * (self.now - e.back_at) / 6.0)
        bucket[0] = min(max(2.0, 0.3 * e.limit), bucket[0] + (self.now - bucket[1]) * e.limit * warm)
        bucket[1] = self.now
        if bucket[0] < 1 or self.now < e.hold_until:
            hold = {}
            if self.v["hold"] and r.random() < 0.5:
                e.hold_until = max(e.hold_until, self.now + r.uniform(0.1, self.v["hold"]))
                hold = {"holdMs": math.ceil((e.hold_until - self.now) * 1000)}
            return "saturated", 0.003 + 0.004 * r.random(), {**hold, **report}
        bucket[0] -= 1
        takes = 0.008 + r.expovariate(1 / 0.03) + (0.1 if r.random() < 0.04 else 0) + (e.state == "slow") * 0.8
        chance = r.random()
        if e.state == "failing" or chance < 0.015:
            return "errored", takes, report
        if e.state == "breaking" or chance < 0.025:
            return "severed", takes, {}
        return ("completed", 1e6, {}) if chance < 0.03 else ("completed", takes, report)

    def flowing(self, request, number, life):
        attempt = request.attempts[number]
        if self.instances[request.who].life == life and not request.over and not attempt["ended"]:
            self.tell(request.who, "FLOWING", corr=request.name, shot=number, endpoint=attempt["endpoint"],
                      durationS=round(self.now - attempt["sent"], 6))

    def result(self, request, number, life, outcome, more):
        attempt, instance = request.attempts[number], self.instances[request.who]
        if instance.life != life or attempt["ended"]:
            return
        attempt["ended"] = True
        attempt["may_have_run"] = outcome not in ("saturated", "refused_conn", "superseded")
        instance.out -= attempt["slot"]
        request.over = request.over or outcome == "completed"
        over = {"terminal": True} if request.over else {}
        self.seen[outcome] = self.seen.get(outcome, 0) + 1
        self.tell(request.who, "RESULT", corr=request.name, shot=number, endpoint=attempt["endpoint"],
                  outcome=outcome, durationS=round(self.now - attempt["sent"], 6), **over, **more)

    def do_cancel(self, who, action):
        request = self.requests[action["corr"]]
        self.at(self.now, self.result, request, action["shot"], self.instances[who].life, "recalled", {})

    def do_check(self, who, action):
        outcome, takes, more = self.serve(self.endpoints[action["endpoint"]])
        if takes > 1:
            outcome, takes = "overdue", 1.0
        if self.v["reports"] == "probe":
            more = {"stats": {"x0": 0.5, "x1": self.endpoints[action["endpoint"]].limit}}
        self.at(self.now + takes, self.probed, who, self.instances[who].life, action["endpoint"], outcome, takes, more)

    def probed(self, who, life, endpoint, outcome, takes, more):
        more.pop("holdMs", None)
        if self.instances[who].life == life:
            self.tell(who, "PROBED", endpoint=endpoint, outcome=outcome, durationS=round(takes, 6), **more)

    def set_state(self, name, state):
        endpoint = self.endpoints[name]
        if endpoint.mode == "terminated":
            return
        if state == "up" and endpoint.state != "up":
            endpoint.back_at = self.now
        endpoint.state = state

    # ---- the rest ----

    def do_set_timer(self, who, action):
        self.at(action["dueAtS"], self.remind, who, self.instances[who].life, action["label"])

    def remind(self, who, life, label):
        if self.instances[who].life == life:
            self.tell(who, "REMINDER", label=label)

    def do_announce(self, who, action):
        sender = int(who.split("-")[1])
        for other in self.instances:
            if other != who and action["recipient"] in (None, int(other.split("-")[1])) and self.random.random() < 0.9:
                self.at(self.now + self.random.uniform(0.01, 0.3), self.pass_on, other, sender, action["body"])

    def pass_on(self, who, sender, body):
        self.tell(who, "FROM_PEER", srcPeer=sender, body=body)

    def do_disconnect(self, who, action):
        pass

    def do_trace(self, who, action):
        pass


def main():
    program, variant, seed, folder = sys.argv[1:]
    world = World(program, variant, int(seed), folder)
    status = world.play()
    world.inputs.close()
    world.outputs.close()
    print(variant, "exit status", status, dict(sorted(world.seen.items())))
    return status


if __name__ == "__main__":
    sys.exit(main())
