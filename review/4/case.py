"""A machine that is cut off counts a tenant's quota beside the tenant's owner."""
import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "support-2"))
import fleet as f  # noqa: E402
import links as l  # noqa: E402

RATE = 150
BURST = 50
ASKED_PER_S = 240
CLIENTS = 40
CUT_S = 5.5
WINDOW_S = 5.0
OVERSHOOT = 0.1
SLACK = 20
LIMIT = (RATE * WINDOW_S + BURST) * (1 + OVERSHOOT) + SLACK


async def client(name, machine, record, state):
    """Sends requests of the tenant on a kept connection, at an even pace."""
    pause = CLIENTS / ASKED_PER_S
    next_at = time.monotonic() + pause * (state["drawn"] % CLIENTS) / CLIENTS
    state["drawn"] += 1
    reader = writer = None
    place = 0
    while not state["ends"]:
        await asyncio.sleep(max(0.0, next_at - time.monotonic()))
        next_at += pause
        place += 1
        identity = "%s-%d" % (name, place)
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection(machine.ip, machine.port("outbound"))
            state["sent"][identity] = time.monotonic()
            record("sent   %s to %s" % (identity, machine.name))
            writer.write(f.request_bytes("GET", "/back/1", [("Host", "back.example"), ("Request-Id", identity),
                                                            ("Authorization", "Bearer key-of-t1"),
                                                            ("Deadline-Milliseconds", 400)]))
            answer = await asyncio.wait_for(f.read_message(reader, True), 3)
            record("answer %s status %d" % (identity, answer.status))
            if answer.get("connection").lower() != "close":
                continue
        except (f.Broken, OSError, asyncio.TimeoutError) as error:
            record("cut    %s (%s)" % (identity, error))
        if writer is not None:
            writer.close()
            writer = None


async def work(server, request, reader, writer):
    identity = request.get("request-id")
    server.machine.fleet.ran.append((identity, time.monotonic(), server.machine))
    await asyncio.sleep(0.005)
    writer.write(server.answer(request, f.body_of(identity)))
    await writer.drain()
    return True


def worst_window(runs, sent):
    """The most requests that were sent and run within one window, and when it begins."""
    times = sorted((sent[identity], at) for identity, at, _ in runs if identity in sent)
    worst = (0, 0.0)
    for begins, _ in times:
        inside = sum(1 for sent_at, at in times if sent_at >= begins and at <= begins + WINDOW_S)
        worst = max(worst, (inside, begins))
    return worst


async def main(record):
    fleet = f.Fleet(record, [("hall-a", "back"), ("hall-a", "back"), ("hall-a", "back")], net=4, linked=True)
    fleet.ran = []
    links = l.Links(fleet)
    try:
        document = f.configuration(7, {"back": {}}, ["back"])
        document["tenants"] = {"t1": {"name": "t1", "apiKeys": ["key-of-t1"], "requestsPerS": RATE, "burst": BURST}}
        await links.start()
        await fleet.start(document, work=work)
        state = {"sent": {}, "ends": False, "drawn": 0}
        single = fleet.machines[2]
        tasks = [asyncio.ensure_future(client("%s%d" % (name, number), machine, record, state))
                 for name, machine in (("a", fleet.machines[0]), ("x", single)) for number in range(CLIENTS)]
        await asyncio.sleep(6.0)
        began = time.monotonic()
        if f.disturbs():
            record("%s is cut off from the other machines" % single.name)
            links.cut(single)
        await asyncio.sleep(CUT_S)
        if f.disturbs():
            record("the cut heals")
            links.heal()
        await asyncio.sleep(5.0)
        state["ends"] = True
        await asyncio.wait(tasks, timeout=5)
        count, begins = worst_window(fleet.ran, state["sent"])
        from_single = sum(1 for identity, at, _ in fleet.ran
                          if identity.startswith("x") and begins <= at <= begins + WINDOW_S)
        record("most in a window of %.0f s: %d ran, %d of them sent to %s; it begins %.2f s after the cut; allowed %.0f"
               % (WINDOW_S, count, from_single, single.name, begins - began, LIMIT))
        if count > LIMIT:
            return ["QUOTA: %d requests of the tenant were sent and ran within %.0f s, %.0f are allowed; %d were sent to "
                    "the machine that was cut off" % (count, WINDOW_S, LIMIT, from_single)]
        return []
    finally:
        fleet.stop()


f.run(main, FOLDER)
