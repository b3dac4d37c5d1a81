"""Helper functions for token counts and addresses."""

CHARS_PER_TOKEN = 4


def estimate_token_count(text: str) -> int:
    """Return the approximate token count of a text, by the usual rule of thumb."""
    return max(1, -(-len(text) // CHARS_PER_TOKEN))


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``IP:PORT``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def host_without_port(name: str) -> str:
    """Return the host of a ``Host`` header in lower case, without its port."""
    host, _, port = name.partition(":")
    return host.strip().lower() if port.isdigit() or not port else name.lower()
