"""Prompts and answers that can be checked: an answer follows from its prompt."""

import xxhash

TOKEN_CHARS = 4
LENGTH_MARK = "#"
LENGTH_CHARS = 8
PREFIX_SHARE = 0.75
BLOCK_TOKENS = 64
BLOCK_CHARS = BLOCK_TOKENS * TOKEN_CHARS
TOKEN_STEP = 40503
TOKEN_RANGE = 10_000


def make_prompt(prefix: str, request: str, tokens: int, output_tokens: int) -> str:
    """Return a prompt of ``tokens`` tokens whose answer has ``output_tokens``.

    Prompts of one prefix name share their leading three quarters, by whole blocks.
    """
    shared = int(tokens * PREFIX_SHARE) // BLOCK_TOKENS * BLOCK_CHARS if prefix else 0
    head = _filler(prefix, shared)
    tail = f"{LENGTH_MARK}{output_tokens:0{LENGTH_CHARS - 1}d}"
    rest = max(0, tokens * TOKEN_CHARS - shared - len(tail))
    return head + _filler(request, rest) + tail


def _filler(name: str, chars: int) -> str:
    word = f"{xxhash.xxh64_intdigest(name.encode()):016x}"
    return (word * (chars // len(word) + 1))[:chars]


def answer_tokens(prompt: str, max_tokens: int) -> int:
    """Return how many tokens the answer to ``prompt`` has."""
    mark = prompt[-LENGTH_CHARS:]
    wanted = int(mark[1:]) if mark[:1] == LENGTH_MARK and mark[1:].isdigit() else 16
    return max(1, min(wanted, max_tokens))


def prompt_seed(prompt: str) -> int:
    """Return the number that the answer's tokens follow from."""
    return xxhash.xxh32_intdigest(prompt.encode())


def token_texts(seed: int, start: int, count: int) -> list[str]:
    """Return the texts of ``count`` tokens from index ``start``."""
    return [
        f"{(seed + index * TOKEN_STEP) % TOKEN_RANGE:04d}"
        for index in range(start, start + count)
    ]


def answer_text(prompt: str, max_tokens: int) -> str:
    """Return the whole answer to ``prompt``."""
    count = answer_tokens(prompt, max_tokens)
    return "".join(token_texts(prompt_seed(prompt), 0, count))


def prompt_tokens(text: str) -> int:
    """Return the number of tokens in a text."""
    return -(-len(text) // TOKEN_CHARS)


def block_hashes(prompt: str) -> list[int]:
    """Return a hash for each leading run of whole blocks."""
    hashes = []
    running = xxhash.xxh64()
    data = prompt.encode()
    for start in range(0, len(data) - BLOCK_CHARS + 1, BLOCK_CHARS):
        running.update(data[start : start + BLOCK_CHARS])
        hashes.append(running.intdigest())
    return hashes
