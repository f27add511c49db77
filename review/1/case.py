"""A keyed message takes effect in two zones: see claim.txt."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standin  # noqa: E402

WINDOW_S, DEADLINE_S = 10.0, 16
SETTINGS = {
    "balancers": 1, "me": 0, "discovery": "ask", "zones": ["room-a", "room-b"], "az": "room-a", "kinds": ["small"],
    "classes": [{"name": "session-event", "effect": "deduplicated", "group": "zone", "keyTtlS": WINDOW_S, "aimS": 2.0,
                 "deadlineS": float(DEADLINE_S), "worth": 1, "lateShare": 0.5}],
    "realms": [], "familyInfo": {"callsOut": 16, "bundleMax": [1], "routesApart": [True], "late": "even"},
    "limits": {"openCap": 150, "mostTries": 8, "cancel": True, "secondCopies": False, "retryAfter": False,
               "maxRetryAfterS": 3, "probes": True, "peers": False, "connIdleS": 15, "dialTimeoutS": 1.0},
    "rules": {"askWithinS": 10, "drainGraceS": 0.25, "coldFrom": 0.2, "overloadFactor": 2, "overloadForS": 1.5,
              "rampTimeS": 13},
    "tickS": 0.005, "weightKind": "rough"}
LIMIT = 4  # calls in each span of 1 s that an endpoint takes
KILLS_AT = (6.0, 12.0, 18.0, 24.0)  # the disruption
IDLE_S = 0.4  # DISRUPTION=idle instead: an endpoint closes a connection that has been idle for so long
CELLS = (1, 2, 3, 4)
TRAFFIC_FOR, END = 30.0, 47.0


async def play(record, rng, trouble, work):
    taken, effects, stores, breaks = {}, {}, {}, []
    way = os.environ.get("DISRUPTION", "restart") if trouble else ""

    def run(call):
        """The effect of a message, unless the zone's endpoints drop it as a repeat."""
        endpoint = call.endpoint
        for message, key in call.messages:
            store = stores.setdefault((endpoint.cell, endpoint.zone), {})
            now = record.now()
            if key in store and now < store[key] + WINDOW_S:
                record(endpoint.name, "drops_repeat", id=message)
                continue
            store.setdefault(key, now)
            effects.setdefault(message, []).append((endpoint.zone, round(now, 3)))
            record(endpoint.name, "takes_effect", id=message, zone=endpoint.zone)
            if len(effects[message]) > 1:
                breaks.append(f"{message} took effect more than once: {effects[message]}")

    async def answer(call):
        endpoint = call.endpoint
        span = int(record.now())
        taken[endpoint.name, span] = taken.get((endpoint.name, span), 0) + 1
        if taken[endpoint.name, span] > LIMIT:
            return 503, {}, None
        if not call.messages:
            return 200, {}, None
        await asyncio.sleep(rng.uniform(0.09, 0.16))
        run(call)
        return 200, {}, None

    platform = standin.Platform(record)
    await platform.listen()
    instances = []
    for cell in CELLS:
        for number, zone in enumerate(("room-a", "room-b")):
            endpoint = standin.Endpoint(f"e{cell}{'ab'[number]}", record, lambda call: None, answer,
                                        idle_s=IDLE_S if way == "idle" else SETTINGS["limits"]["connIdleS"])
            endpoint.cell, endpoint.zone = cell, zone
            await endpoint.listen()
            instances.append({"instanceId": endpoint.name, "hostPort": f"127.0.0.1:{endpoint.port}", "zone": zone,
                              "machineType": "small", "cell": cell, "lifecycle": "ready", "weight": 1.4 * LIMIT,
                              "startedAtMs": 0})
    platform.set_instances(instances)
    relay = standin.Relay(record, work, "n0", standin.config_of("n0", platform, os.path.join(work, "state"), SETTINGS))
    try:
        await relay.start()
        client = standin.Client(record, int(relay.config["listen"].split(":")[1]), rng)
        begin = record.now()
        sends = []

        async def traffic(cell):
            while record.now() - begin < TRAFFIC_FOR:
                sends.append(asyncio.ensure_future(client.send(f"{rng.getrandbits(64):016x}", "session-event", cell,
                                                               DEADLINE_S * 1000, "", f"{rng.getrandbits(128):032x}")))
                await asyncio.sleep(rng.expovariate(0.9 * 2 * LIMIT))

        async def restarts():
            for at in KILLS_AT if way == "restart" else ():
                await asyncio.sleep(begin + at - record.now())
                await relay.kill()
                client.idle.clear()
                await asyncio.sleep(0.6)
                await relay.start()

        await asyncio.gather(*[traffic(cell) for cell in CELLS], restarts())
        await asyncio.gather(*sends)
        if not any(status == 202 for _, status in client.answers.values()):
            raise standin.CannotRun("no message was taken on")
        await asyncio.sleep(END - TRAFFIC_FOR)
        if not relay.running():
            raise standin.CannotRun("the relay has ended")
        return breaks
    finally:
        await relay.kill()


standin.main(play, FOLDER)
