"""SRV names for partner 1 an address that the list has given to an endpoint of partner 2."""
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standin_2 import *  # noqa: E402,F403

GRACE_S = 2.05  # 2 s and the 50 ms of sockets


async def case(record, folder):
    async def answer(endpoint, call):
        await asyncio.sleep(0.02)
        return done(call)

    platform = Platform(record)
    await platform.start()
    a, b, x = (Endpoint(record, name, answer) for name in "abx")
    for endpoint in (a, b, x):
        await endpoint.start()
    platform.add("s-a", a.port, 1)
    platform.add("s-b", b.port, 2)
    of_a, of_x = ("a.one.example", a.port, 1, 10), ("x.one.example", x.port, 1, 10)
    names = NameServer(record, [of_a, of_x])
    relay = Relay(record, platform, folder, environment={
        "OPALROUTE_DNS_SERVER": "127.0.0.1:%d" % await names.start(),
        "OPALROUTE_SRV": "_api._tcp.one.example=1", "OPALROUTE_SRV_OWN": "1=127.0.0.1:%d" % x.port})
    try:
        await relay.start()
        await relay.ready()
        client = Client(record, relay.port)

        async def traffic(seconds):
            end = record.now() + seconds
            while record.now() < end:
                for dest in (1, 2):
                    number = len(client.sent)
                    await client.send("m%d" % number, "notice-order", dest, 4000, key="k%d" % number)
                await asyncio.sleep(0.1)

        await traffic(3)
        record("x, which was partner 1's, goes; its record is taken out")
        names.zone[:] = [of_a]
        await traffic(8)
        platform.change([platform.add("s-c", x.port, 2, started=1)])
        given = record.now()
        await traffic(4)
        if TROUBLE:
            record("the name server contradicts the list")
            names.zone[:] = [of_a, of_x]
        await traffic(10)
        await asyncio.sleep(5)
    finally:
        await relay.end()
    breaks = []
    for call in x.calls:
        for ident, _, _ in call["items"]:
            if call["t"] > given + GRACE_S and client.sent[ident]["dest"] != 2:
                breaks.append("%s, of destination 1, was sent at %.3f to x, whose cell in the list is 2 since %.3f"
                              % (ident, call["t"], given))
    return breaks


run(case, "record.txt")
