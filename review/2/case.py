"""CONFIG: hosts that reach the store keep an old configuration.

One of the two roomiest hosts of a zone gets no response from the store, which
drops its history meanwhile. The other hosts of the zone reach it all the time.
"""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import standins  # noqa: E402

OLD, NEW = "counter-desk", "water-office"
ZONE = "huancayo"
SHARES = [0.5, 0.5, 0.12, 0.12, 0.12, 0.12, 0.12]
TURNED_AWAY = 1  # of 7: a share of 0.14
TURNED_AWAY_S = 9.0
CONTACT_S = 5.0
APPLY_S = 5.0  # ConfigApplyMs
SETTLE_S = 8.0  # until all hosts know of each other


async def ask_all(deployment, edges):
    """Returns the ids that the old service ran, and the routes not found."""
    old_ids, not_found = [], 0
    for edge in edges:
        client = standins.Client(deployment.record, deployment.host, edge)
        request_id, _ = await client.request("/fields/one", 4000)
        if any(request_id in server.runs for server in deployment.servers
               if server.service == OLD):
            old_ids.append(request_id)
        _, answer = await client.request("/alerts/one", 4000)
        not_found += answer is not None and answer.status == 404
        client.close()
    return old_ids, not_found


async def case(deployment):
    store = deployment.store
    await store.start()
    for service in (OLD, NEW):
        for number in range(3):
            await deployment.add_server(standins.BackendServer(
                deployment.record, store, f"i-{service}-{number}", service,
                ZONE, slots=4, queue=16, work_s=0.01))

    def route(name, prefix, service):
        return standins.route(name, deployment.host, prefix, "idempotent",
                              service)

    store.put(standins.WIRE["RoutesKey"], standins.configuration(
        7, [route("r-plan", "/fields/", OLD)], [OLD, NEW]))
    await deployment.start_edges([ZONE] * len(SHARES), SHARES)
    await asyncio.sleep(SETTLE_S)

    cut_at = time.monotonic()
    if standins.IS_TROUBLE:
        for edge in deployment.edges[:TURNED_AWAY]:
            store.unanswered.add(edge.name)
            deployment.record.write("store_answers_no_more", edge=edge.name)
    await asyncio.sleep(0.3)
    # A server is added, and the history up to that is dropped.
    await deployment.add_server(standins.BackendServer(
        deployment.record, store, f"i-{OLD}-added", OLD, ZONE, slots=4,
        queue=16, work_s=0.01))
    if standins.IS_TROUBLE:
        store.drop_history()
    stable_at = time.monotonic() + CONTACT_S
    await asyncio.sleep(0.5)
    store.put(standins.WIRE["RoutesKey"], standins.configuration(
        9, [route("r-plan", "/fields/", NEW), route("r-alert", "/alerts/",
                                                    NEW)], [OLD, NEW]))
    due_at = time.monotonic() + APPLY_S
    await asyncio.sleep(max(stable_at, due_at) - time.monotonic() + 0.5)

    in_touch = deployment.edges[TURNED_AWAY:]
    start, rounds = time.monotonic(), 0
    old_ids, not_found, asked = [], 0, 0
    while time.monotonic() < cut_at + TURNED_AWAY_S - 0.5:
        ids, count = await ask_all(deployment, in_touch)
        old_ids += ids
        not_found += count
        asked += 2 * len(in_touch)
        rounds += 1
        await asyncio.sleep(0.2)
    reads = [(moment, name) for moment, name, target in store.calls
             if moment > cut_at + 1 and target.startswith(
                 standins.WIRE["RangePath"])]
    for edge in deployment.edges[:TURNED_AWAY]:
        store.unanswered.discard(edge.name)
    deployment.record.say(
        f"asked={asked} rounds={rounds} run_by_old_service={len(old_ids)} "
        f"not_found={not_found} reads_of_the_store_by_hosts_in_touch="
        f"{sum(1 for _, name in reads if name in [e.name for e in in_touch])}")
    if rounds == 0 or start > cut_at + TURNED_AWAY_S:
        raise standins.CannotRun("the machine was too slow")
    return not old_ids and not not_found


standins.run_case(FOLDER, case)
