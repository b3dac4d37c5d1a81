"""Keys of prompt blocks in crash records.

The high half stands for a block of one model at one service, the low half for the
customer whose prompts hold it.
"""

from typing import NewType

from berylshift.ids import BlockKey

HALF_BITS = 32
LOW_HALF = (1 << HALF_BITS) - 1

# The high half of a key.
BlockHash = NewType("BlockHash", int)
# The low half of a key.
CustomerHash = NewType("CustomerHash", int)
ANY_CUSTOMER = CustomerHash(0)


def join_key(block: BlockHash, customer: CustomerHash = ANY_CUSTOMER) -> BlockKey:
    """Return the key of a block in a customer's prompts."""
    return BlockKey(block << HALF_BITS | customer)


def block_of(key: BlockKey) -> BlockHash:
    """Return the hash of the block, which is the same for all customers."""
    return BlockHash(key >> HALF_BITS)


def customer_of(key: BlockKey) -> CustomerHash:
    """Return the hash of the customer."""
    return CustomerHash(key & LOW_HALF)
