"""CONFIG: a route added later is never served after an evacuation."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import standins  # noqa: E402

FIRST, LATER = "counter-desk", "water-office"
ZONES = ["huancayo", "concepcion"]
LATER_ZONE = "jauja"
EVACUATED_S = 5.0
APPLY_S = 3.0  # ConfigApplyMs
ROUNDS = 20


async def case(deployment):
    store = deployment.store
    await store.start()

    async def add(service, number, zone):
        return await deployment.add_server(standins.BackendServer(
            deployment.record, store, f"i-{service}-{number}", service, zone,
            slots=4, queue=16, work_s=0.02))

    for number in range(4):
        await add(FIRST, number, ZONES[number % len(ZONES)])
    routes = [standins.route("r-plan", deployment.host, "/fields/",
                             "idempotent", FIRST)]
    store.put(standins.WIRE["RoutesKey"],
              standins.configuration(7, routes, [FIRST]))
    await deployment.start_edges(ZONES)

    # The servers of another service start; no version names it yet.
    for number in range(3):
        await add(LATER, number, LATER_ZONE)
    await asyncio.sleep(2.0)
    if standins.IS_TROUBLE:
        store.put(standins.WIRE["DomainOutPrefix"] + LATER_ZONE, {})
    await asyncio.sleep(EVACUATED_S)
    if standins.IS_TROUBLE:
        store.delete(standins.WIRE["DomainOutPrefix"] + LATER_ZONE)
    await asyncio.sleep(4.0)
    routes.append(standins.route("r-alert", deployment.host, "/alerts/",
                                 "idempotent", LATER))
    store.put(standins.WIRE["RoutesKey"],
              standins.configuration(9, routes, [FIRST, LATER]))
    await asyncio.sleep(APPLY_S + 5.0)

    served = {"/fields/": 0, "/alerts/": 0}
    sent = dict(served)
    statuses = {}
    clients = [standins.Client(deployment.record, deployment.host, edge)
               for edge in deployment.edges]
    for _ in range(ROUNDS):
        for client in clients:
            for prefix in served:
                _, answer = await client.request(prefix + "one", 4000)
                status = answer.status if answer else 0
                sent[prefix] += 1
                served[prefix] += status == 200
                key = f"{prefix}{status}"
                statuses[key] = statuses.get(key, 0) + 1
        await asyncio.sleep(0.3)
    deployment.record.say(f"sent={sent} served={served} statuses={statuses}")
    first_share = served["/fields/"] / sent["/fields/"]
    later_share = served["/alerts/"] / sent["/alerts/"]
    if first_share == 0:
        raise standins.CannotRun("the first route was not served")
    return later_share >= first_share / 4


standins.run_case(FOLDER, case)
