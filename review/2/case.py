"""The relay dies when an endpoint does: see claim.txt."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standin  # noqa: E402

SETTINGS = {
    "balancers": 1, "me": 0, "discovery": "ask", "zones": ["ground", "first"], "az": "ground",
    "kinds": ["bulk", "small"],
    "classes": [
        {"name": "board-status", "effect": "idempotent", "group": "all", "keyTtlS": 5.0, "aimS": 0.8, "deadlineS": 8.0,
         "worth": 1, "lateShare": 0.1},
        {"name": "notice-order", "effect": "deduplicated", "group": "all", "keyTtlS": 12.0, "aimS": 2.0,
         "deadlineS": 20.0, "worth": 1, "lateShare": 0.5},
        {"name": "payment", "effect": "at_most_once", "aimS": 2.0, "deadlineS": 16.0, "worth": 3, "lateShare": 0.5}],
    "realms": [{"name": "affichage-nord", "share": 1, "allowancePerS": 60}],
    "familyInfo": {"callsOut": 16, "bundleMax": [5, 1], "routesApart": [True, False], "late": "even"},
    "limits": {"openCap": 219, "mostTries": 12, "cancel": True, "secondCopies": True, "retryAfter": True,
               "maxRetryAfterS": 3, "probes": True, "peers": False, "connIdleS": 15, "dialTimeoutS": 1.5},
    "rules": {"askWithinS": 10, "drainGraceS": 2, "coldFrom": 0.22, "overloadFactor": 2, "overloadForS": 2,
              "rampTimeS": 13},
    "tickS": 0.005, "weightKind": "rough"}
LIMIT = 3  # calls in each span of 1 s that a partner of LIMITED takes from all relays together
LIMITED = ("p1", "p2", "p3")
BUSY_FROM, DIES_AT, BACK_AT, TRAFFIC_FOR, END = 7.5, 23.5, 30.5, 32.0, 36.0


async def play(record, rng, trouble, work):
    taken = {}  # (endpoint, span of 1 s): calls
    begin = None

    async def answer(call):
        name = call.endpoint.name
        if name in LIMITED:
            now = record.now()
            span = int(now)
            taken[name, span] = taken.get((name, span), 0) + 1  # refused calls use up the limit, too
            # When the busy time begins, the other relays take what is left of that span.
            left = 0 if begin and span == int(begin + BUSY_FROM) and now >= begin + BUSY_FROM else LIMIT
            if taken[name, span] > left:
                if rng.random() < 0.3:
                    return 429, {"X-RateLimit-Wait-Ms": int((span + 1 - now) * 1000) + 1}, None
                return 503, {}, None
            await asyncio.sleep(rng.uniform(0.08, 0.16))
            return 200, {}, None
        if call.messages:
            await asyncio.sleep(rng.uniform(0.2, 0.3))
        return 200, {}, None

    platform = standin.Platform(record)
    await platform.listen()
    endpoints = {}
    instances = []
    for name, cell, zone, weight in (("p1", 1, "ground", 1.4 * LIMIT), ("p2", 2, "ground", 1.4 * LIMIT),
                                     ("p3", 3, "ground", 1.4 * LIMIT), ("e4", 4, "ground", 20.0),
                                     ("e5", 4, "first", 20.0), ("e6", 5, "ground", 20.0), ("e7", 5, "first", 20.0),
                                     ("e8", 6, "first", 20.0), ("e9", 6, "first", 20.0)):
        endpoint = endpoints[name] = standin.Endpoint(name, record, lambda call: None, answer)
        await endpoint.listen()
        instances.append({"instanceId": name, "hostPort": f"127.0.0.1:{endpoint.port}", "zone": zone,
                          "machineType": "small", "cell": cell, "lifecycle": "ready", "weight": weight,
                          "startedAtMs": 0})
    platform.set_instances(instances)
    relay = standin.Relay(record, work, "n0", standin.config_of("n0", platform, os.path.join(work, "state"), SETTINGS))
    try:
        await relay.start()
        client = standin.Client(record, int(relay.config["listen"].split(":")[1]), rng)
        while record.now() % 1 > 0.05:  # the spans of the partners begin at whole seconds
            await asyncio.sleep(0.01)
        begin = record.now()
        sends = []

        def hand_in(cell, name):
            key = f"{rng.getrandbits(128):032x}" if name == "notice-order" else ""
            deadline_ms = {"board-status": 8000, "notice-order": 20000, "payment": 16000}[name]
            sends.append(asyncio.ensure_future(client.send(f"{rng.getrandbits(64):016x}", name, cell, deadline_ms,
                                                           "affichage-nord", key)))

        def goes_on():
            return record.now() - begin < TRAFFIC_FOR and relay.running()

        async def boards(cell):
            """Boards, which get their status; from BUSY_FROM on 1.3 times what they take."""
            while goes_on():
                hand_in(cell, "board-status")
                busy = record.now() - begin >= BUSY_FROM
                await asyncio.sleep(rng.uniform(0.8, 1.2) / ((1.3 if busy else 0.6) * LIMIT))

        async def others_traffic(cell):
            while goes_on():
                hand_in(cell, rng.choices(["board-status", "notice-order", "payment"], [0.41, 0.34, 0.25])[0])
                await asyncio.sleep(rng.uniform(0.8, 1.2) / 10.7)

        async def order(cell):
            await asyncio.sleep(BUSY_FROM + 0.05)
            hand_in(cell, "notice-order")

        async def death():
            if not trouble:
                return
            await asyncio.sleep(DIES_AT)
            for name in LIMITED:
                record(name, "dies")
                await endpoints[name].die()
            await asyncio.sleep(BACK_AT - DIES_AT)
            for name in LIMITED:
                await endpoints[name].listen(endpoints[name].port)
                record(name, "is_back")

        await asyncio.gather(*[boards(cell) for cell in (1, 2, 3)], *[others_traffic(cell) for cell in (4, 5, 6)],
                             *[order(cell) for cell in (1, 2, 3)], death())
        await asyncio.gather(*sends)
        if not any(status == 202 for _, status in client.answers.values()):
            raise standin.CannotRun("no message was taken on")
        if relay.running():
            await asyncio.sleep(END - TRAFFIC_FOR)
        if relay.running():
            return []
        record("n0", "ended_by_itself", status=relay.process.returncode)
        return [f"the relay ended by itself with {relay.process.returncode} (negative: the signal)"]
    finally:
        await relay.kill()


standin.main(play, FOLDER)
