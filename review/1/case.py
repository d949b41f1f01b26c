"""TWICE: a late second copy of a refusal counts for the next request."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import standins  # noqa: E402

SERVICE = "counter-desk"
ZONES = ["huancayo", "concepcion", "jauja"]
SERVERS = 5
FAULTY = 3  # share 0.6 of the servers
COPY_SHARE = 0.03  # x: of the answers of a faulty server
TROUBLE_S = 5.0
CLIENTS_PER_EDGE = 40
LOAD_S = 10.0


class CopyingServer(standins.BackendServer):
    """Sends second copies of some answers where the next answer is due.

    The copies are of refusals, and at most COPY_SHARE of all answers.
    """

    trouble_from = 0.0
    trouble_until = 0.0
    copies = 0

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.pending = {}
        self.answered_in_trouble = 0

    def is_in_trouble(self):
        return self.trouble_from <= time.monotonic() < self.trouble_until

    def on_run(self, writer):
        copy = self.pending.pop(writer, None)
        if copy is None or not self.is_in_trouble():
            return
        if self.copies + 1 > COPY_SHARE * self.answered_in_trouble:
            return
        self.copies += 1
        self.record.write("server_copies", server=self.id,
                          id=copy.get(standins.WIRE["RequestId"]))
        writer.write(copy.encode())

    def after_answer(self, writer, request, answer):
        if not self.is_in_trouble():
            return
        self.answered_in_trouble += 1
        if answer.status == 503:
            self.pending[writer] = answer


async def run_client(deployment, edge, until, answers):
    client = standins.Client(deployment.record, deployment.host, edge)
    while time.monotonic() < until:
        request_id, answer = await client.request("/fields/plan", 4000,
                                                  b"spread once")
        answers[request_id] = answer.status if answer else 0
        if answer is None or answer.status >= 500:
            await asyncio.sleep(0.1)
    client.close()


async def case(deployment):
    await deployment.store.start()
    for number in range(SERVERS):
        kind = CopyingServer if number < FAULTY else standins.BackendServer
        await deployment.add_server(
            kind(deployment.record, deployment.store, f"i-desk{number}",
                 SERVICE, ZONES[number % len(ZONES)], slots=4, queue=16,
                 work_s=0.05))
    kind = "non" + "_idempotent"
    deployment.store.put(standins.WIRE["RoutesKey"], standins.configuration(
        7, [standins.route("r-plan", deployment.host, "/fields/", kind,
                           SERVICE)], [SERVICE]))
    await deployment.start_edges(ZONES)
    start = time.monotonic()
    if standins.IS_TROUBLE:
        CopyingServer.trouble_from = start + 2
        CopyingServer.trouble_until = start + 2 + TROUBLE_S
    answers = {}
    await asyncio.gather(*(
        run_client(deployment, edge, start + LOAD_S, answers)
        for edge in deployment.edges for _ in range(CLIENTS_PER_EDGE)))
    await asyncio.sleep(1.0)
    runs = deployment.all_runs()
    twice = [request for request, count in runs.items() if count > 1]
    refused = [request for request, status in answers.items()
               if status in (408, 421, 429, 503) and runs.get(request, 0) > 0]
    copies = sum(getattr(server, "copies", 0) for server in deployment.servers)
    deployment.record.say(
        f"requests={len(answers)} served="
        f"{sum(1 for status in answers.values() if status == 200)} "
        f"copies={copies} run_twice={len(twice)} "
        f"refused_though_run={len(refused)}")
    for request in twice[:5]:
        deployment.record.say(f"ran more than once: {request}")
    if not answers or 200 not in answers.values():
        raise standins.CannotRun("no request was served")
    return not twice and not refused


standins.run_case(FOLDER, case)
