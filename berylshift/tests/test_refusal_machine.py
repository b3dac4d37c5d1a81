"""Model-based test of refused confirmations among others with the same key."""

from hypothesis import strategies as st
from hypothesis.stateful import rule

from berylshift.request.messages import Reason
from berylshift.store.interfaces import (
    Condition,
    PlatformError,
    Transaction,
    Write,
)
from berylshift.tests.test_confirmation_machine import (
    KEYS,
    MACHINE,
    Arrival,
    ConfirmationMachine,
)


class RefusalMachine(ConfirmationMachine):
    """Adds hosts that refuse a request: they hold its key until they have answered."""

    @rule(key=st.sampled_from(KEYS))
    def arrive_at_the_limit(self, key):
        """Let a host refuse a request."""
        self.arrive(key)
        self.arrivals[-1].state.refusal = Reason.CUSTOMER_LIMIT

    def _answer(self, arrival: Arrival, key: str) -> None:
        """Respond as any host; then delete a row that only a refusal has inserted."""
        super()._answer(arrival, key)
        state = arrival.state
        if not (state.needs_abandon and state.owns_row and state.leaves_no_row):
            return
        write = Write(key, delete=True)
        try:
            self.platform.transact(
                Transaction([Condition(key, state.revision)], [write])
            )
        except PlatformError:
            # The row is set to abandoned later.
            return


class RefusedConfirmationsTest(RefusalMachine.TestCase):
    """Guards against "not run" from a refusal, for a key that runs elsewhere."""

    settings = MACHINE
