"""Stand-in for a worker of the platform: runs tasks under a lease and a fence.

A process is one life of the worker. Every start, refusal and end goes to a
file as a line of JSON with the monotonic time of the machine.

The `spec` of a job is JSON: `{"ms": [duration of the tasks of each step]}`;
a duration of null stands for a task that lasts.
"""

import argparse
import asyncio
import json
import time

import aiohttp
from aiohttp import web

TICK_S = 0.005
STOP_S = 0.02
STARTUP_S = 0.4


class Run:
    """A task at work."""

    def __init__(self, task, number, seconds, need):
        self.task = task
        self.number = number
        self.began_at = time.monotonic()
        self.seconds = seconds
        self.need = need
        self.stop_at = None

    def percent(self, now):
        limit = STARTUP_S if self.seconds is None else self.seconds
        return min(100, int(100 * (now - self.began_at) / limit))


class Worker:
    """One life of a worker."""

    def __init__(self, options):
        self.options = options
        self.life_began_at = time.monotonic()
        self.born_ms = int(time.time() * 1000)
        self.fence = 0
        self.lease_ms = 0
        self.running = {}
        self.finished = []
        self.end_number = 0
        self.highest_ended = {}
        self.changed = asyncio.Event()
        self.log_file = open(options.log, "a", encoding="utf-8")
        self.note("born", born=self.born_ms)

    def note(self, event, **fields):
        line = {"t": time.monotonic(), "worker": self.options.id, "event": event}
        self.log_file.write(json.dumps({**line, **fields}) + "\n")
        self.log_file.flush()

    def clock_ms(self):
        return int((time.monotonic() - self.life_began_at) * 1000)

    def answer(self, document=None, status=200):
        return web.json_response({
            "clock_ms": self.clock_ms(),
            "born": self.born_ms,
            **(document or {})
        },
                                 status=status)

    def refuse(self, request, document):
        expected = request.headers.get("Gentianlead-Expected-Instance")
        if expected not in (None, self.options.id):
            return self.answer({}, 421)
        fence = document.get("fencing_token", 0)
        if fence < self.fence:
            self.note("fenced", path=request.path, fence=fence)
            return self.answer({"reason": "fence"}, 409)
        self.fence = fence
        return None

    def extend_lease(self, document):
        latest = self.clock_ms() + self.options.hold_max_ms
        self.lease_ms = max(self.lease_ms,
                            min(document.get("expires_ms", 0), latest))

    def reject(self, document, reason):
        self.note("rejected",
                  task=document["task"],
                  run=document["run_id"],
                  reason=reason)
        return self.answer({"reason": reason}, 409)

    async def start(self, request):
        document = await request.json()
        refusal = self.refuse(request, document)
        if refusal is not None:
            return refusal
        task, number = document["task"], document["run_id"]
        if (task, number) in self.running:
            return self.answer()
        if document.get("expires_ms", 0) <= self.clock_ms():
            return self.reject(document, "late")
        self.extend_lease(document)
        if number <= self.highest_ended.get(task, 0):
            return self.reject(document, "old")
        step = int(task.split(".")[2])
        spec = json.loads(document["spec"])
        cpu = spec.get("cpu", 1000)
        used = sum(run.need for run in self.running.values())
        if used + cpu > self.options.cpu:
            return self.reject(document, "room")
        ms = spec["ms"][step]
        self.running[task, number] = Run(task, number,
                                         None if ms is None else ms / 1000, cpu)
        self.note("start",
                  task=task,
                  run=number,
                  fence=self.fence,
                  checkpoint=document.get("checkpoint", ""))
        return self.answer()

    async def stop(self, request):
        document = await request.json()
        refusal = self.refuse(request, document)
        if refusal is not None:
            return refusal
        task, number = document["task"], document["run_id"]
        run = self.running.get((task, number))
        if run is None:
            self.highest_ended[task] = max(number,
                                           self.highest_ended.get(task, 0))
        elif run.stop_at is None:
            run.stop_at = time.monotonic() + STOP_S
        self.note("stop", task=task, run=number)
        return self.answer()

    async def pace(self, request):
        document = await request.json()
        return self.refuse(request, document) or self.answer()

    async def hold(self, request):
        document = await request.json()
        refusal = self.refuse(request, document)
        if refusal is not None:
            return refusal
        self.extend_lease(document)
        last_seen = document.get("last_seen", 0)
        taken = [row for row in self.finished if row[0] <= last_seen]
        for row in taken:
            self.note("taken", task=row[1], run=row[2], how=row[3])
        self.finished = [row for row in self.finished if row[0] > last_seen]
        wait_s = min(2000, document.get("wait_ms", 0)) / 1000
        if wait_s and not self.finished:
            try:
                async with asyncio.timeout(wait_s):
                    await self.changed.wait()
            except TimeoutError:
                pass
        now = time.monotonic()
        return self.answer({
            "running": [[run.task, run.number, "",
                         run.percent(now), run.need]
                        for run in self.running.values()],
            "finished": self.finished[:500]
        })

    def end(self, key, how):
        run = self.running.pop(key)
        self.highest_ended[run.task] = max(
            run.number, self.highest_ended.get(run.task, 0))
        self.end_number += 1
        self.finished.append(
            [self.end_number, run.task, run.number, how, ""])
        self.note("end", task=run.task, run=run.number, how=how)
        self.changed.set()
        self.changed = asyncio.Event()

    async def work(self):
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            for key, run in list(self.running.items()):
                if run.stop_at is not None and now >= run.stop_at:
                    self.end(key, "stopped")
                elif self.clock_ms() >= self.lease_ms:
                    self.end(key, "lapsed")
                elif (run.seconds is not None and
                      now - run.began_at >= run.seconds):
                    self.end(key, "done")

    async def report(self):
        options = self.options
        entry = {
            "service": options.service,
            "address": f"127.0.0.1:{options.shown_port or options.port}",
            "zone": options.zone,
            "version": "1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 0,
            "capacity": {
                "cpu": options.cpu,
                "mem_mb": 128000
            },
            "labels": ["a", options.rack],
            "born": self.born_ms
        }
        async with aiohttp.ClientSession() as session:
            while True:
                entry["sequence"] += 1
                try:
                    await session.post(
                        f"http://127.0.0.1:{options.store}/admin/report",
                        json={
                            "id": options.id,
                            "entry": entry
                        })
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(options.report_ms / 1000)


async def main():
    parser = argparse.ArgumentParser()
    for name in ("id", "zone", "rack", "service", "log"):
        parser.add_argument(f"--{name}", required=True)
    for name in ("port", "store"):
        parser.add_argument(f"--{name}", type=int, required=True)
    parser.add_argument("--shown-port", type=int, default=0)
    parser.add_argument("--cpu", type=int, default=32000)
    parser.add_argument("--hold-max-ms", type=int, default=6000)
    parser.add_argument("--report-ms", type=int, default=1500)
    worker = Worker(parser.parse_args())
    app = web.Application()
    app.router.add_post("/run-start", worker.start)
    app.router.add_post("/run-stop", worker.stop)
    app.router.add_post("/pace", worker.pace)
    app.router.add_post("/hold", worker.hold)
    runner = web.AppRunner(app, access_log=None, handle_signals=False)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", worker.options.port).start()
    await asyncio.gather(worker.work(), worker.report())


if __name__ == "__main__":
    asyncio.run(main())
