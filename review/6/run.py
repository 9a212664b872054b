"""A grey server runs payouts and answers some of them 429, without `Not-Executed`."""

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

from fleet import (
    DISRUPTED,
    KEY,
    SIGNATURE,
    Server,
    answer,
    call,
    main,
    new_id,
    route,
    service,
)  # noqa: E402

# One of seven servers turns grey, a share of 0.143: the one that is alone in its zone, so that the
# daemon of that zone sends there.
PLACES = ["selenge-a", *["khangai-a"] * 3, *["gobi-a"] * 3]
GREY_FOR_S = 5.0
GREY_SHARE = 0.4  # of its requests
PER_S = 26.0  # payouts
CALM_S = 2.0  # before and after
DEADLINE_S = 2.0
WORK_S = 0.09
PROMISES = (408, 421, 429, 503)


class App(Server):
    """The payout application. While it is grey, it fails part of what it ran."""

    def __init__(self, name, zone, fleet):
        super().__init__(name, zone)
        self.fleet = fleet
        self.grey = False
        self.ran_grey = 0
        self.payouts = []  # the payouts that took effect

    async def run(self, request, attempt, writer):
        payout = json.loads(request.body)["payout"]
        self.ran.append((time.monotonic(), attempt))
        self.payouts.append(payout)
        self.fleet.record("ran", server=self.name, attempt=attempt, payout=payout)
        await asyncio.sleep(WORK_S)
        status = 200
        if self.grey:
            # Of five payouts, the second and the fourth fail.
            self.ran_grey += 1
            status = 429 if self.ran_grey % 5 in (2, 4) else 200
        body = json.dumps({"payout": payout, "status": status}).encode()
        headers = [("Attempt-Id", attempt), SIGNATURE, ("Replica-Load", "1,0,6")]
        reason = "OK" if status == 200 else "Too Many Requests"
        writer.write(answer(status, body, headers, reason=reason))
        self.fleet.record("server_answers", server=self.name, attempt=attempt, status=status)
        return True


class Client:
    """A client, which retries a payout once, and only after a promise that it has not run."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.answers = {}  # by attempt: status

    async def pay(self, payout, daemon):
        """Ask for one payout, as the pages say that clients do."""
        until = time.monotonic() + DEADLINE_S
        for _ in range(2):
            attempt = new_id()
            left = until - time.monotonic()
            headers = {"Attempt-Id": attempt, "Deadline-Ms": round(1000 * left)}
            headers["Authorization"] = f"Bearer {KEY}"
            self.fleet.record("sent", daemon=daemon.name, attempt=attempt, payout=payout)
            try:
                status, found, _ = await call(
                    daemon.frontend,
                    "POST",
                    f"/pay/{payout}",
                    headers,
                    json.dumps({"payout": payout}).encode(),
                    limit_s=left,
                )
            except (OSError, ValueError, TimeoutError) as exc:
                self.fleet.record("no_answer", attempt=attempt, cause=repr(exc))
                return
            self.answers[attempt] = status
            signed = "replica-signature" in found
            self.fleet.record("answered", attempt=attempt, status=status, signed=signed)
            if status not in PROMISES:
                return
            wait_s = float(found.get("retry-after", 0.0))
            if wait_s > (until - time.monotonic()) / 3:
                return
            await asyncio.sleep(wait_s)


async def script(fleet):
    zones = ["khangai-a", "gobi-a", "selenge-a"]
    apps = [App(f"i-{n:08x}", zone, fleet) for n, zone in enumerate(PLACES)]
    await fleet.start(
        zones, apps, [route("pay", "non_idempotent", "counter-app")], [service("counter-app")]
    )
    client, tasks = Client(fleet), []
    began = time.monotonic()
    total = round(PER_S * (GREY_FOR_S + 2 * CALM_S))
    for payout in range(total):
        await asyncio.sleep(max(0.0, began + payout / PER_S - time.monotonic()))
        at = time.monotonic() - began
        grey = DISRUPTED and CALM_S <= at < CALM_S + GREY_FOR_S
        if grey != apps[0].grey:
            apps[0].grey = grey
            fleet.record("grey", server=apps[0].name, on=grey)
        daemon = fleet.daemons[payout % len(fleet.daemons)]
        tasks.append(fleet.spawn(client.pay(payout, daemon)))
    await asyncio.gather(*tasks)

    ran = {attempt for app in apps for _, attempt in app.ran}
    refused = {a for a, status in client.answers.items() if status in PROMISES}
    broken = sorted(refused & ran)
    paid = [payout for app in apps for payout in app.payouts]
    twice = sorted({payout for payout in paid if paid.count(payout) > 1})
    for attempt in broken:
        fleet.record("BROKEN", attempt=attempt, status=client.answers[attempt])
    print(f"{total} payouts, {len(client.answers)} answers, {len(refused)} promises of 'not run'")
    print(f"REFUSED: {len(broken)} attempts were answered with such a promise and had run")
    print(f"payouts that took effect twice: {len(twice)}")
    if len(client.answers) < total:
        raise RuntimeError("some payouts got no answer")
    return bool(broken)


main(script, FOLDER)
