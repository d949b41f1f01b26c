"""A restarted machine takes an old configuration from another machine."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig-2"))
from rig import (TROUBLE, CannotRun, Server, Store, WIRE, config,  # noqa: E402
                 play, route, service)

CONTACT_S = 5.0
CONFIG_APPLY_S = 5.0
REFUSAL_S = 3.0
OLD, NEW = "counter-desk", "water-office"


def version(number, service_name):
    return config(number, [route("parcel", service_name)],
                  [service(OLD), service(NEW)])


async def case(rig):
    store = Store(rig.record)
    servers = [Server(rig.record, f"i-{name[:2]}{number}", name)
               for name in (OLD, NEW) for number in (1, 2)]
    for server in servers:
        await server.start(store)
    await store.put(WIRE["kRoutesKey"], version(7, OLD))
    edges = [rig.edge(f"front-{number}") for number in range(1, 8)]
    for edge in edges:
        await edge.prepare(store)
    for edge in edges:
        edge.write_settings([f"127.0.0.1:{seed.control}"
                             for seed in edges[2:5]])
        edge.start()
    for edge in edges:
        await edge.wait_ready()
    await asyncio.sleep(8)

    rig.record.note("operator: version 9 moves the route to " + NEW)
    await store.put(WIRE["kRoutesKey"], version(9, NEW))
    await asyncio.sleep(CONFIG_APPLY_S + 1)
    for edge in edges:
        _, answer = await rig.ask(edge, "/parcel/1")
        if not answer or answer[0] != 200 or NEW.encode() not in answer[2]:
            raise CannotRun(f"{edge.ident} has not taken version 9")

    if TROUBLE:
        for edge in edges[:2]:
            edge.signal(signal.SIGKILL)  # the machine is lost
            await edge.wait_end(2)
    await asyncio.sleep(7)
    added = Server(rig.record, "i-wa3", NEW)
    servers.append(added)
    await added.start(store)  # a server is added (scale_out)
    await asyncio.sleep(2)

    last = edges[-1]
    last.signal(signal.SIGTERM)
    if await last.wait_end(6) is None:
        raise CannotRun("the planned stop took longer than GraceS")
    if TROUBLE:
        rig.record.note(f"store turns {last.ident} away")
        store.refuses.add(last.store_port)
    last.start()
    await asyncio.sleep(REFUSAL_S)
    store.refuses.discard(last.store_port)
    rig.record.note("no disruption any more")
    await last.wait_ready()
    await asyncio.sleep(CONTACT_S + CONFIG_APPLY_S)

    stale = served = 0
    for number in range(40):
        attempt, answer = await rig.ask(last, f"/parcel/{number}")
        if answer and answer[0] == 200:
            served += 1
        stale += any(attempt == run for server in servers
                     if server.service == OLD for _, run in server.runs)
        await asyncio.sleep(0.25)
    if not served:
        raise CannotRun("nothing was served after the restart")
    return stale > 0, (f"{stale} of 40 requests sent to {last.ident} long after "
                       f"version 9 were run by {OLD}, as only version 7 allows")


play(Path(__file__).parent, case)
