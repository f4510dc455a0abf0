"""Requests to a dispatcher's management address, each over its own connection."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import Any


async def get_json(host: str, port: int, path: str, timeout: float) -> dict[str, Any] | None:
    """Return the response to `GET path`; None if there is none within `timeout` seconds."""
    with contextlib.suppress(OSError, ValueError, TimeoutError, asyncio.IncompleteReadError):
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, port)
            try:
                writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
                body = (await reader.read(-1)).partition(b"\r\n\r\n")[2]
                response: dict[str, Any] = json.loads(body)
                return response
            finally:
                writer.transport.abort()
    return None
