"""Case 3: a client writes three requests behind one another; their bodies have lines that begin with `*`.

What a connection ended without an answer, the client sends once more on a new one, behind one another again.
TROUBLE=0 writes each request once the one before has its answer; TROUBLE=plain writes them behind one
another, with bodies of the same length without such lines, to tell the two apart.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from rig import (  # noqa: E402
    Answer,
    Call,
    Client,
    CouldNotRunError,
    Dispatcher,
    Message,
    Rig,
    play,
    queue_class,
    settings,
)

# The menu of some weeks, a dish a line, as a person writes it.
BODY = b"Lunches from Monday on:\r\n" + b"".join(b"* dish number %d\r\n" % number for number in range(1, 21))


async def write_at_once(rig: Rig, messages: list[Message]) -> bool:
    """Write requests behind one another on a new connection; whether the dispatcher ended it."""
    client = Client(rig)
    await client.connect()
    assert client.writer
    rig.record.line(f"client: writes {len(messages)} requests at once on a new connection, and reads on")
    for each in messages:
        rig.sent(each)
    client.writer.write(b"".join(each.encode() for each in messages))
    for each in messages:
        if client.reader:
            await client.read_answer(each)
    ended = client.ended
    client.close()
    return ended


async def scenario(rig: Rig) -> list[str]:
    def decide(call: Call) -> Answer:
        return Answer(200, 0.1)

    for block in (1, 2, 3):
        await rig.add_endpoint(f"school-{block}", block, decide)
    rig.write_configuration(settings([queue_class("status-notice", "retryable", points=2.0)]))
    await Dispatcher(rig).start()

    body = BODY.replace(b"*", b"-") if rig.mode == "plain" else BODY
    messages = [Message(f"menu{block:012d}", "status-notice", block, body=body) for block in (1, 2, 3)]
    ended = False
    if rig.trouble:
        for _ in range(2):
            if unanswered := [each for each in messages if not each.answer]:
                ended = await write_at_once(rig, unanswered)
    else:
        client = Client(rig)
        for each in messages:
            await client.put(each)
    await asyncio.sleep(2.0)
    unanswered = [each for each in messages if not each.answer]
    if unanswered and not ended:
        raise CouldNotRunError("a request has no answer, and the dispatcher has not ended its connection")
    return [
        f"both connections of {each.name} were ended without an answer to it, after its last byte was written"
        for each in unanswered
    ]


play(CASE, scenario)
