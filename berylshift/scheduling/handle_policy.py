"""Decides which KV handles are offered, and how a prompt goes on without one."""

from enum import StrEnum
from typing import Protocol

import msgspec

from berylshift.ids import InstanceId
from berylshift.messages.replicas import Replica
from berylshift.messages.routed import ReportedLoad
from berylshift.process.directory.pools import Pool

# How long a decode engine takes to refuse a handle that is gone.
REFUSAL_SECONDS = 0.03
# What a refused send costs beside its time: it takes retry budget from requests that
# fail for other reasons.
SEND_SECONDS = 0.2
# The same where no budget is left, so that a refusal ends the request as "not run".
LAST_SEND_SECONDS = 2.0
# A decode engine that refused this many other requests in a row refuses whatever it is
# sent: it is in another phase, or leaves.
MAX_FORMER_REFUSALS = 1.5
# With a larger share of untrusted prefill engines, few are left for all prompts, and
# those may lose their handles next.
MAX_UNTRUSTED_SHARE = 0.5


class HandleRecord(Protocol):
    """What is known of the handles of each prefill engine."""

    def likelihood(self, engine: InstanceId, now: float) -> float:
        """Return how likely a handle is to last until it is fetched."""

    def used_since(self, engine: InstanceId, since: float) -> bool:
        """Return whether a handle of an engine was seen fetched since a time."""

    def untrusted(self, now: float) -> frozenset[int]:
        """Return the engines whose handles probably don't last, by short hash."""


class Refusal(StrEnum):
    """Why a decode engine refused a handle."""

    HANDLE_GONE = "handle-gone"
    DECODE_ENGINE = "decode-engine"


class WithheldReason(StrEnum):
    """Why a handle is not offered."""

    SOURCE_LEAVING = "source-leaving"
    LIKELY_LOST = "likely-lost"


class HandleOffer(msgspec.Struct, frozen=True):
    """A handle that may be offered to a decode engine.

    ``decode_seconds`` is the predicted time to the first token with the handle, and
    ``self_prefill_seconds`` that of a decode engine that prefills the prompt itself;
    ``None``: there is none. ``may_retry``: the retry budget allows another send.
    ``untrusted_share``: the share of the prefill engines that lose handles. The first
    token is due in ``seconds_left``.
    """

    engine: Replica
    is_leaving: bool
    decode_seconds: float
    self_prefill_seconds: float | None
    may_retry: bool
    untrusted_share: float = 0.0
    seconds_left: float = float("inf")


class RefusedOffer(msgspec.Struct, frozen=True):
    """A handle that a decode engine refused.

    ``load`` is the load that the refusal reported, if it did; ``is_leaving``: the
    decode engine is draining or asked for a pause. ``refusals`` counts the decode
    engines that refused this handle, with this one. ``former_refusals``: what the
    decode engine refused before since its last success.
    """

    engine: InstanceId
    prefilled_at: float
    load: ReportedLoad | None
    is_leaving: bool
    refusals: int = 1
    former_refusals: float = 0.0


class RemainingWays(msgspec.Struct, frozen=True):
    """Predicted seconds to the first token of a prompt that has no handle.

    ``None``: no engine is left. ``may_prefill_again``: the retry budget allows the
    additional send that a prefill takes. The first token is due in ``seconds_left``.
    """

    self_prefill_seconds: float | None
    prefill_seconds: float | None
    may_prefill_again: bool
    seconds_left: float = float("inf")

    @property
    def is_self_prefill_sooner(self) -> bool:
        """Return whether a decode engine's own prefill is in time and not much later.

        It takes one send fewer than a prefill at another engine.
        """
        own, other = self.self_prefill_seconds, self.prefill_seconds
        if own is None or other is None:
            return own is not None
        if own > self.seconds_left >= other:
            return False
        return own <= other + SEND_SECONDS or other > self.seconds_left >= own


def untrusted_share(pool: Pool, record: HandleRecord, now: float) -> float:
    """Return the share of the prefill engines that lose handles."""
    engines = untrusted_engines(pool, record, now)
    return len(engines) / max(1, len(pool.prefill_engines))


def untrusted_engines(pool: Pool, record: HandleRecord, now: float) -> list[InstanceId]:
    """Return the prefill engines that prompts are not to be sent to."""
    found = (pool.prefill_engine(target) for target in record.untrusted(now))
    return [rep.instance for rep in found if rep is not None]


def is_worth_detour(
    seconds: float, doubtful_seconds: float, likelihood: float, second_try: float
) -> bool:
    """Return whether a prompt avoids an untrusted engine that is predicted sooner.

    ``second_try`` are the seconds that the prompt takes after its handle is refused.
    """
    loss_seconds = REFUSAL_SECONDS + SEND_SECONDS + second_try
    return seconds <= doubtful_seconds + (1 - likelihood) * loss_seconds


def withheld_reason(
    offer: HandleOffer, record: HandleRecord, now: float
) -> WithheldReason | None:
    """Return why a handle is not to be offered; ``None``: it is.

    It is offered if that is expected to reach the first token sooner than the decode
    engine's own prefill, counting what a refusal costs. For the last send that the
    retry budget allows, an engine of which no loss is known is as likely to lose its
    handles as the others where most of them do. Where few do, it is trusted: the prompt
    would be prefilled twice, the second time at half speed.
    """
    if offer.is_leaving:
        return WithheldReason.SOURCE_LEAVING
    own = offer.self_prefill_seconds
    if own is None or own > offer.seconds_left:
        return None
    likelihood = record.likelihood(offer.engine.instance, now)
    if not offer.may_retry and offer.untrusted_share >= MAX_UNTRUSTED_SHARE:
        likelihood = min(likelihood, 1 - offer.untrusted_share)
    price = SEND_SECONDS if offer.may_retry else LAST_SEND_SECONDS
    saved = max(0.0, own - offer.decode_seconds)
    if likelihood * saved < (1 - likelihood) * (REFUSAL_SECONDS + price):
        return WithheldReason.LIKELY_LOST
    return None


def judge_refusal(refused: RefusedOffer, record: HandleRecord) -> Refusal:
    """Return why a decode engine refused a handle.

    It was the decode engine if it is full or leaving, if it has refused everything
    lately, or if another handle of the same source was fetched after this one was made:
    handles of an engine expire together.
    A second decode engine that refuses it without being full confirms that it is gone.
    """
    load = refused.load
    is_full = load is not None and (load.running >= load.slots or load.waiting > 0)
    refuses_all = refused.former_refusals >= MAX_FORMER_REFUSALS
    if is_full or refused.is_leaving or refuses_all:
        return Refusal.DECODE_ENGINE
    was_fetched = record.used_since(refused.engine, refused.prefilled_at)
    if was_fetched and refused.refusals == 1:
        return Refusal.DECODE_ENGINE
    return Refusal.HANDLE_GONE


def prefers_self_prefill(ways: RemainingWays) -> bool:
    """Return whether a decode engine should prefill a prompt that lost its handle."""
    if ways.self_prefill_seconds is None:
        return False
    return not ways.may_prefill_again or ways.is_self_prefill_sooner


def starts_at_one_engine(pool: Pool, untrusted: int, ways: RemainingWays) -> bool:
    """Return whether a new prompt is prefilled and decoded at one engine.

    That is where no prefill engine is left, where the ones that are left are too late,
    or where most lose their handles and a decode engine reaches the first token as
    soon.
    """
    if ways.self_prefill_seconds is None:
        return False
    if ways.prefill_seconds is None:
        return True
    if untrusted <= MAX_UNTRUSTED_SHARE * len(pool.prefill_engines):
        is_late = ways.prefill_seconds > ways.seconds_left
        return is_late and ways.self_prefill_seconds <= ways.seconds_left
    return ways.is_self_prefill_sooner
