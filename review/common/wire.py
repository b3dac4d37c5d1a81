"""Reads and writes HTTP/1.1 messages."""

import asyncio


async def read_head(reader):
    """Return the start line and the headers of a message; ``None`` at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise ConnectionResetError("the head broke off") from exc
        return None
    lines = data[:-4].split(b"\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(b":")
        headers[name.strip().lower().decode()] = value.strip().decode("latin-1")
    return lines[0].decode(), headers


async def read_body(reader, headers):
    """Return the whole body of a message."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", "0")))
    parts = []
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return b"".join(parts)
        parts.append(data[:-2])


def message(start, headers, body=b""):
    """Return a message with its length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"content-length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def chunked_head(start, headers):
    """Return the head of a message whose body is sent in chunks."""
    lines = [start, *(f"{name}: {value}" for name, value in headers)]
    lines.append("transfer-encoding: chunked")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def chunk(data):
    """Return one chunk of a body; an empty one ends it."""
    return b"%x\r\n%s\r\n" % (len(data), data)
