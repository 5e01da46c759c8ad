"""A job is cancelled while its acceptance waits for the store.

A daemon is cut off from the store while a client hands a job in there. The
client gets a 504, and cancels the job.
"""

import asyncio
import json

import world

JOB = "3c81d9f04a7be625"
CUT_S = 5.5
WORK_MS = 2700
CANCEL_S = 3.0
END_S = 20.0


async def check_cancelled_job(site: world.World, cancelling_index: int) -> int:
    """Hands a job in at the first daemon and cancels it.

    Args:
        site: The deployment.
        cancelling_index: Index of the daemon at which the job is cancelled.

    Returns:
        1 if a task started too late after the cancelling, else 0.
    """
    await site.start()
    submitting = site.daemons[0]
    cancelling = site.daemons[cancelling_index]
    if world.is_trouble_on():
        submitting.store_link.cut()
        asyncio.get_running_loop().call_later(CUT_S, submitting.store_link.heal)
        site.record.add("store-cut", daemon=submitting.name, seconds=CUT_S)
    steps = [{
        "count": 4,
        "cpu": 3500,
        "mem_mb": 6400,
        "estimate_ms": WORK_MS,
        **({
            "depends_on": [0]
        } if index else {})
    } for index in range(2)]
    work = [{"cpu": 3500, "mem_mb": 6400, "ms": WORK_MS}] * 2
    body = json.dumps({"spec": json.dumps({"steps": work}), "steps": steps})
    site.record.add("job-sent", job=JOB, daemon=submitting.name)
    status, _ = await site.call(submitting, "POST", JOB, body.encode())
    site.record.add("job-answered", job=JOB, status=status)
    site.record.add("cancel-sent", job=JOB, daemon=cancelling.name)
    status, reply = await site.call(cancelling, "DELETE", JOB)
    acknowledged = site.record.add("cancel-answered",
                                   job=JOB,
                                   status=status,
                                   body=reply.decode())
    if status not in (200, 202, 204, 410):
        raise RuntimeError("the cancelling was not acknowledged")
    await asyncio.sleep(END_S)
    for daemon in site.daemons:
        await site.get_state(JOB, daemon)
    late_starts = [
        row for row in site.record.list("run-started")
        if row["at"] > acknowledged["at"] + CANCEL_S
    ]
    site.record.add("checked",
                    starts=len(site.record.list("run-started")),
                    starts_later_than_cancel_ms=len(late_starts))
    return 1 if late_starts else 0
