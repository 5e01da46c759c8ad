"""Stand-in for the platform's store: keyed topics in memory, over HTTP.

It also plays the platform's side of the registry and of the operator's API
under `/admin/`: workers report there, and operators write there.
"""

import argparse
import asyncio
import base64
import json
import struct
import time

from aiohttp import web

ANSWER_S = 0.004
APPEND_S = 0.002
PAGE_RECORDS = 500
KEPT_ANSWERS = 5
SILENT_REPORTS = 3


class Topic:
    """Records of a topic with one partition, and its producers."""

    def __init__(self):
        self.records = []  # (key, value)
        self.producers = {}  # name -> [epoch, last sequence, {seq: answer}]
        self.grown = asyncio.Event()

    def append(self, records):
        offset = len(self.records)
        self.records += records
        self.grown.set()
        self.grown = asyncio.Event()
        return offset

    def newest(self):
        rows = {}
        for offset, (key, value) in enumerate(self.records):
            rows[key] = offset, value
        return [(key, *rows[key]) for key in sorted(rows) if rows[key][1]]


def decode(body):
    records, at = [], 0
    while at < len(body):
        (length,) = struct.unpack_from(">I", body, at)
        content = body[at + 4:at + 4 + length]
        at += 4 + length
        key_end = 1 + content[0]
        records.append((content[1:key_end].decode(), content[key_end:]))
    return records


def encode(key, value):
    name = key.encode()
    content = bytes([len(name)]) + name + value
    return struct.pack(">I", len(content)) + content


class Store:
    """The store."""

    def __init__(self, report_s):
        self.topics = {}
        self.report_s = report_s
        self.slowness = 1.0
        self.reports = {}  # worker id -> (entry without sequence, time)

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    async def append(self, request):
        body = await request.read()
        await asyncio.sleep((ANSWER_S / 2 + APPEND_S) * self.slowness)
        try:
            return self.store(request, body)
        finally:
            await asyncio.sleep(ANSWER_S / 2 * self.slowness)

    def store(self, request, body):
        topic = self.topic(request.query["topic"])
        name = request.query.get("producer")
        epoch = int(request.query.get("epoch", 0))
        sequence = int(request.query.get("sequence", 0))
        if name is None:
            return self.answer(topic, topic.append(decode(body)))
        known = topic.producers.setdefault(name, [0, None, {}])
        if epoch < known[0]:
            return web.json_response({"reason": "fenced"}, status=409)
        if epoch > known[0]:
            known[:] = [epoch, None, {}]
        if sequence in known[2]:
            return web.json_response(known[2][sequence])
        if known[1] is not None and sequence != known[1] + 1:
            return web.json_response({
                "reason": "seq",
                "sequence": known[1] + 1
            },
                                     status=409)
        if not body:
            return self.answer(topic, len(topic.records))
        offset = topic.append(decode(body))
        known[1] = sequence
        known[2][sequence] = {
            "offset": offset,
            "end_offset": len(topic.records)
        }
        known[2].pop(sequence - KEPT_ANSWERS, None)
        return web.json_response(known[2][sequence])

    def answer(self, topic, offset):
        return web.json_response({
            "offset": offset,
            "end_offset": len(topic.records)
        })

    async def read(self, request):
        topic = self.topic(request.query["topic"])
        start = int(request.query["from"])
        wait_s = int(request.query.get("wait_ms", 0)) / 1000
        limit = int(request.query.get("max_kb", 1024)) * 1024
        await asyncio.sleep(ANSWER_S / 2 * self.slowness)
        if start >= len(topic.records) and wait_s:
            try:
                async with asyncio.timeout(wait_s):
                    await topic.grown.wait()
            except TimeoutError:
                pass
        await asyncio.sleep(ANSWER_S / 2 * self.slowness)
        body = struct.pack(">QQ", len(topic.records), 0)
        for key, value in topic.records[start:]:
            record = encode(key, value)
            if len(body) > 16 and len(body) + len(record) > limit:
                break
            body += record
        return web.Response(body=body)

    async def newest(self, request):
        topic = self.topic(request.query["topic"])
        after = request.query.get("depends_on", "")
        await asyncio.sleep(ANSWER_S * self.slowness)
        rows = [row for row in topic.newest() if row[0] > after]
        return web.json_response({
            "items": [{
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset
            } for key, offset, value in rows[:PAGE_RECORDS]],
            "has_more": len(rows) > PAGE_RECORDS,
            "end_offset": len(topic.records)
        })

    async def write(self, request):
        document = await request.json()
        self.topic(document["topic"]).append([(document["key"],
                                               document["value"].encode())])
        return web.json_response({})

    async def slow_down(self, request):
        self.slowness = (await request.json())["x"]
        return web.json_response({})

    async def report(self, request):
        document = await request.json()
        entry = document["entry"]
        plain = {**entry, "sequence": 0}
        known = self.reports.get(document["id"])
        self.reports[document["id"]] = plain, time.monotonic()
        if known is None or known[0] != plain:
            self.topic("keyed.servers").append([(document["id"],
                                                 json.dumps(entry).encode())])
        return web.json_response({})

    async def expire_reports(self):
        while True:
            await asyncio.sleep(0.2)
            oldest = time.monotonic() - SILENT_REPORTS * self.report_s
            for worker_id, (_, reported_at) in list(self.reports.items()):
                if reported_at < oldest:
                    del self.reports[worker_id]
                    self.topic("keyed.servers").append([(worker_id, b"")])


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--report-ms", type=int, default=1500)
    options = parser.parse_args()
    store = Store(options.report_ms / 1000)
    app = web.Application(client_max_size=4 << 20)
    app.router.add_post("/log-append", store.append)
    app.router.add_get("/log-read", store.read)
    app.router.add_get("/log-newest", store.newest)
    app.router.add_post("/admin/write", store.write)
    app.router.add_post("/admin/report", store.report)
    app.router.add_post("/admin/slow", store.slow_down)
    runner = web.AppRunner(app, access_log=None, handle_signals=False)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", options.port).start()
    await store.expire_reports()


if __name__ == "__main__":
    asyncio.run(main())
