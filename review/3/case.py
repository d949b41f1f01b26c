"""CONFIG: a late answer taken for a health response excludes a sound server.

The servers of a route that was added later spoil a few answers for a while.
Afterwards they are sound, and no edge ever uses them again.
"""
import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import standins  # noqa: E402

FIRST, LATER = "counter-desk", "water-office"
ZONES = ["huancayo", "concepcion"]
FIRST_SERVERS, LATER_SERVERS = 3, 2  # faulty: 2 of 5, a share of 0.4
SPOILED_SHARE = 0.03  # x: of the answers of a faulty server
TROUBLE_S = 5.0
CONTACT_S = 4.0
APPLY_S = 3.0  # ConfigApplyMs
CLIENTS = {"/fields/": 2, "/alerts/": 6}  # for each edge
ROUNDS = 20


class SpoilingServer(standins.BackendServer):
    """Breaks off some answers and sends second copies of others, late.

    A copy comes where the next response on its connection is due.
    """

    trouble_from = trouble_until = 0.0

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.last_answers = {}  # by connection
        self.answered_in_trouble = 0
        self.broken_off = 0
        self.copies = 0

    def may_spoil(self):
        now = time.monotonic()
        spoiled = self.broken_off + self.copies
        return (self.trouble_from <= now < self.trouble_until and
                spoiled + 1 <= SPOILED_SHARE * self.answered_in_trouble)

    def send(self, writer, request, answer):
        is_health = request.target == "/health"
        if is_health and writer in self.last_answers and self.may_spoil():
            copy = self.last_answers.pop(writer)
            self.copies += 1
            self.record.write("server_copies", server=self.id,
                              id=copy.get(standins.WIRE["RequestId"]))
            writer.write(copy.encode())
        self.answered_in_trouble += \
            self.trouble_from <= time.monotonic() < self.trouble_until
        if not is_health and random.random() < 0.02 and self.may_spoil():
            self.broken_off += 1
            self.record.write("server_breaks_off", server=self.id,
                              id=request.get(standins.WIRE["RequestId"]))
            writer.write(answer.encode()[:-5])
            return False
        is_in_trouble = (self.trouble_from <= time.monotonic() <
                         self.trouble_until)
        if is_in_trouble and not is_health and answer.status == 200:
            self.last_answers[writer] = answer
        writer.write(answer.encode())
        return True


async def run_client(deployment, edge, prefix, until):
    client = standins.Client(deployment.record, deployment.host, edge)
    while time.monotonic() < until:
        _, answer = await client.request(prefix + "one", 4000)
        await asyncio.sleep(0.005 if answer and answer.status == 200 else 0.1)
    client.close()


async def measure(deployment):
    sent = {prefix: 0 for prefix in CLIENTS}
    served = dict(sent)
    for edge in deployment.edges:
        client = standins.Client(deployment.record, deployment.host, edge)
        for _ in range(ROUNDS):
            for prefix in sent:
                _, answer = await client.request(prefix + "one", 4000)
                sent[prefix] += 1
                served[prefix] += answer is not None and answer.status == 200
            await asyncio.sleep(0.1)
        client.close()
    return sent, served


async def case(deployment):
    store = deployment.store
    await store.start()
    for service, count, kind in ((FIRST, FIRST_SERVERS, standins.BackendServer),
                                 (LATER, LATER_SERVERS, SpoilingServer)):
        for number in range(count):
            await deployment.add_server(kind(
                deployment.record, store, f"i-{service}-{number}", service,
                ZONES[number % len(ZONES)], slots=4, queue=16, work_s=0.02))
    routes = [standins.route("r-plan", deployment.host, "/fields/",
                             "idempotent", FIRST)]
    store.put(standins.WIRE["RoutesKey"],
              standins.configuration(7, routes, [FIRST, LATER]))
    await deployment.start_edges(ZONES)
    routes.append(standins.route("r-alert", deployment.host, "/alerts/",
                                 "idempotent", LATER))
    store.put(standins.WIRE["RoutesKey"],
              standins.configuration(9, routes, [FIRST, LATER]))
    await asyncio.sleep(APPLY_S)
    sent, served = await measure(deployment)
    if served != sent:
        raise standins.CannotRun(f"not all served before: {served}")

    start = time.monotonic()
    if standins.IS_TROUBLE:
        SpoilingServer.trouble_from = start + 1.0
        SpoilingServer.trouble_until = start + 1.0 + TROUBLE_S
    await asyncio.gather(*(
        run_client(deployment, edge, prefix, start + 2.0 + TROUBLE_S)
        for edge in deployment.edges for prefix, count in CLIENTS.items()
        for _ in range(count)))
    await asyncio.sleep(CONTACT_S + 6.0)
    sent, served = await measure(deployment)
    faulty = [server for server in deployment.servers
              if isinstance(server, SpoilingServer)]
    deployment.record.say(
        f"sent={sent} served={served} "
        f"broken_off={[server.broken_off for server in faulty]} "
        f"copies={[server.copies for server in faulty]} "
        f"answers={[server.answered_in_trouble for server in faulty]}")
    first_share = served["/fields/"] / sent["/fields/"]
    later_share = served["/alerts/"] / sent["/alerts/"]
    return later_share >= first_share / 4


standins.run_case(FOLDER, case)
