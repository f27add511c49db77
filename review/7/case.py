"""SRV names an endpoint before the list does: a message that ran there is sent to another zone."""
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standin_2 import *  # noqa: E402,F403

RESETS = 6
LIST_LAG_S = 2.0


async def case(record, folder):
    zones = {"a": "ground", "x": "first"}  # as the list has them
    reset = []

    async def answer(endpoint, call):
        await asyncio.sleep(0.02)
        if TROUBLE and endpoint.name == "x" and len(reset) < RESETS and len(endpoint.calls) % 3 == 0:
            reset.append(call["items"][0][0])
            record("x: %s has run, and its connection is reset" % reset[-1])
            return None
        return done(call)

    def change(settings):
        settings["classes"][1]["group"] = "zone"  # an endpoint drops the repeats of its own zone alone
        settings["kinds"] = ["small"]
        settings["limits"]["secondCopies"] = False
        settings["familyInfo"].update(bundleMax=[1], routesApart=[False])

    platform = Platform(record)
    await platform.start()
    endpoints = {}
    for name in zones:
        endpoints[name] = Endpoint(record, name, answer)
        await endpoints[name].start()
    a, x = endpoints["a"], endpoints["x"]
    platform.add("s-a", a.port, 1, zone=zones["a"])
    names = NameServer(record, [("a.one.example", a.port, 1, 10)])
    relay = Relay(record, platform, folder, change_settings=change, environment={
        "OPALROUTE_DNS_SERVER": "127.0.0.1:%d" % await names.start(),
        "OPALROUTE_SRV": "_api._tcp.one.example=1", "OPALROUTE_SRV_OWN": "1=127.0.0.1:%d" % x.port})
    try:
        await relay.start()
        await relay.ready()
        client = Client(record, relay.port)

        async def traffic(first, count):
            for number in range(first, first + count):
                await client.send("m%d" % number, "notice-order", 1, 5000, key="k%d" % number)
                await asyncio.sleep(0.05)

        await traffic(0, 30)
        names.zone.append(("x.one.example", x.port, 1, 10))
        for _ in range(60):  # until x is called
            if x.calls:
                break
            await traffic(1000 + len(client.sent), 1)
        await asyncio.gather(traffic(100, 70), asyncio.sleep(LIST_LAG_S))
        platform.change([platform.add("s-x", x.port, 1, zone=zones["x"])])
        await asyncio.sleep(6)
    finally:
        await relay.end()
    breaks = []
    calls = sorted((call["t"], name, item[0]) for name in zones for call in endpoints[name].calls
                   for item in call["items"])
    ran = {}  # where a message has run, or may have
    for t, name, ident in calls:
        if ident in ran and zones[ran[ident][1]] != zones[name]:
            breaks.append("%s ran at %s (zone %s) at %.3f, and was sent to %s (zone %s) at %.3f" % (
                ident, ran[ident][1], zones[ran[ident][1]], ran[ident][0], name, zones[name], t))
        ran.setdefault(ident, (t, name))
    record("%d messages, %d calls to x, %d resets" % (len(client.sent), len(x.calls), len(reset)))
    return breaks


run(case, "record.txt")
