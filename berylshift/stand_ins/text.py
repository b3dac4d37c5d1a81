"""Prompts and completions for tests: each prompt determines its completion."""

import xxhash

CHARS_PER_TOKEN = 4
LENGTH_PREFIX = "#"
LENGTH_CHARS = 8
SHARED_PREFIX_FRACTION = 0.75
BLOCK_TOKENS = 64
BLOCK_CHARS = BLOCK_TOKENS * CHARS_PER_TOKEN
TOKEN_STEP = 40503
TOKEN_COUNT = 10_000


def make_prompt(prefix: str, request: str, tokens: int, output_tokens: int) -> str:
    """Return a prompt of ``tokens`` tokens whose completion has ``output_tokens``.

    Prompts with the same prefix name share their first three quarters, rounded down to
    whole blocks.
    """
    shared = (
        int(tokens * SHARED_PREFIX_FRACTION) // BLOCK_TOKENS * BLOCK_CHARS
        if prefix
        else 0
    )
    head = _filler_text(prefix, shared)
    tail = f"{LENGTH_PREFIX}{output_tokens:0{LENGTH_CHARS - 1}d}"
    rest = max(0, tokens * CHARS_PER_TOKEN - shared - len(tail))
    return head + _filler_text(request, rest) + tail


def _filler_text(name: str, chars: int) -> str:
    word = f"{xxhash.xxh64_intdigest(name.encode()):016x}"
    return (word * (chars // len(word) + 1))[:chars]


def completion_token_count(prompt: str, max_tokens: int) -> int:
    """Return how many tokens the completion of ``prompt`` has."""
    suffix = prompt[-LENGTH_CHARS:]
    requested_tokens = (
        int(suffix[1:]) if suffix[:1] == LENGTH_PREFIX and suffix[1:].isdigit() else 16
    )
    return max(1, min(requested_tokens, max_tokens))


def prompt_seed(prompt: str) -> int:
    """Return the seed that determines the completion's tokens."""
    return xxhash.xxh32_intdigest(prompt.encode())


def token_texts(seed: int, start: int, count: int) -> list[str]:
    """Return the texts of ``count`` tokens from index ``start``."""
    return [
        f"{(seed + index * TOKEN_STEP) % TOKEN_COUNT:04d}"
        for index in range(start, start + count)
    ]


def completion_text(prompt: str, max_tokens: int) -> str:
    """Return the whole completion of ``prompt``."""
    count = completion_token_count(prompt, max_tokens)
    return "".join(token_texts(prompt_seed(prompt), 0, count))


def count_tokens(text: str) -> int:
    """Return the number of tokens in a text."""
    return -(-len(text) // CHARS_PER_TOKEN)


def block_hashes(prompt: str) -> list[int]:
    """Return the hash of each prefix of whole blocks."""
    hashes = []
    running = xxhash.xxh64()
    data = prompt.encode()
    for start in range(0, len(data) - BLOCK_CHARS + 1, BLOCK_CHARS):
        running.update(data[start : start + BLOCK_CHARS])
        hashes.append(running.intdigest())
    return hashes
