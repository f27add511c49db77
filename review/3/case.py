"""Second copies although the settings do not allow them: see claim.txt."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import standin  # noqa: E402

CLASSES = [  # the classes of the main site: name, share, deadline in s, work in s
    ("board-status", 0.55, 8, 0.35), ("notice-order", 0.26, 20, 0.25), ("payment", 0.19, 16, 0.35)]
SETTINGS = {
    "balancers": 1, "me": 0, "discovery": "ask", "zones": ["ground", "first"], "az": "ground",
    "kinds": ["bulk", "small"],
    "classes": [
        {"name": "board-status", "effect": "idempotent", "group": "all", "keyTtlS": 5.0, "aimS": 0.8, "deadlineS": 8.0,
         "worth": 1, "lateShare": 0.1},
        {"name": "notice-order", "effect": "deduplicated", "group": "all", "keyTtlS": 12.0, "aimS": 2.0,
         "deadlineS": 20.0, "worth": 1, "lateShare": 0.5},
        {"name": "payment", "effect": "at_most_once", "aimS": 2.0, "deadlineS": 16.0, "worth": 3, "lateShare": 0.5}],
    "realms": [{"name": "affichage-nord", "share": 1, "allowancePerS": 50}],
    "familyInfo": {"callsOut": 24, "bundleMax": [5, 1], "routesApart": [True, False], "late": "even"},
    "limits": {"openCap": 219, "mostTries": 12, "cancel": True, "secondCopies": False, "retryAfter": True,
               "maxRetryAfterS": 3, "probes": True, "peers": False, "connIdleS": 15, "dialTimeoutS": 1.5},
    "rules": {"askWithinS": 10, "drainGraceS": 2, "coldFrom": 0.22, "overloadFactor": 2, "overloadForS": 2,
              "rampTimeS": 13},
    "tickS": 0.005, "weightKind": "rough"}
CELLS = {1: "bulk", 2: "bulk", 3: "small", 4: "small"}
HANG_FROM, HANG_UNTIL, TRAFFIC_FOR, END = 6.0, 18.0, 22.0, 30.0


async def play(record, rng, trouble, work):
    breaks, out, hanging = [], [], set()

    def on_call(call):
        out[:] = [other for other in out if other.out]
        for message, _ in call.messages:
            for earlier in out:
                if message in (m[0] for m in earlier.messages):
                    breaks.append(f"{message} reached {call.endpoint.name} at {call.at:.3f} while the call with it that "
                                  f"{earlier.endpoint.name} got at {earlier.at:.3f} was still out")
        out.append(call)

    async def answer(call):
        work_s = rng.uniform(0.2, 0.4) * (1 + 0.15 * max(0, len(call.messages) - 1))
        await asyncio.sleep(work_s)
        while call.endpoint.name in hanging:
            await asyncio.sleep(0.05)
        return 200, {}, None

    platform = standin.Platform(record)
    await platform.listen()
    instances = []
    for cell, kind in CELLS.items():
        for number, zone in enumerate(("ground", "first")):
            endpoint = standin.Endpoint(f"e{cell}{'ab'[number]}", record, on_call, answer)
            await endpoint.listen()
            instances.append({"instanceId": endpoint.name, "hostPort": f"127.0.0.1:{endpoint.port}", "zone": zone,
                              "machineType": kind, "cell": cell, "lifecycle": "ready", "weight": 12.0,
                              "startedAtMs": 0})
    platform.set_instances(instances)
    relay = standin.Relay(record, work, "n0", standin.config_of("n0", platform, os.path.join(work, "state"), SETTINGS))
    try:
        await relay.start()
        client = standin.Client(record, int(relay.config["listen"].split(":")[1]), rng)
        begin = record.now()
        sends = []

        def hand_in(cell):
            name, _, deadline, _ = rng.choices(CLASSES, [c[1] for c in CLASSES])[0]
            key = f"{rng.getrandbits(128):032x}" if name == "notice-order" else ""
            sends.append(asyncio.ensure_future(client.send(f"{rng.getrandbits(64):016x}", name, cell, deadline * 1000,
                                                           "affichage-nord", key)))

        next_clump = 6.3
        while record.now() - begin < TRAFFIC_FOR:
            at = record.now() - begin
            if trouble and HANG_FROM <= at < HANG_UNTIL and not hanging:
                hanging.update(("e1a", "e2a"))
                record("e1a,e2a", "hang")
            if at >= HANG_UNTIL and hanging:
                hanging.clear()
                record("e1a,e2a", "hang_no_more")
            hand_in(rng.choice(list(CELLS)))
            if at >= next_clump:  # a clump for each partner of kind bulk
                next_clump += 8.0
                for cell in 10 * (1, 2):
                    hand_in(cell)
            await asyncio.sleep(rng.uniform(0.04, 0.1))
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
