"""The place of one prompt in its service's queue, where customers' shares are kept."""

from berylshift.ids import Fingerprint, ServiceName
from berylshift.messages.routed import RoutedRequest
from berylshift.process.directory.pools import Pool
from berylshift.request.relay_dependencies import RelayDependencies
from berylshift.scheduling.fair_share import QueuePosition, short_rank
from berylshift.scheduling.prefill_scheduler import PrefillDecision
from berylshift.scheduling.slo_status import SloStatus, engine_rank
from berylshift.version.routes import Route


class QueueTurn:
    """Decides once whether a prompt waits, and returns its rank; unused: as before."""

    def __init__(
        self,
        deps: RelayDependencies,
        req: RoutedRequest,
        route: Route,
        service: ServiceName,
    ):
        """Decide for a request of ``service``."""
        self._clock = deps.clock
        self._req = req
        self._route = route
        self._service = service
        queueing = deps.fair_queueing
        if queueing is not None and not queueing.uses(service):
            queueing = None
        self._queueing = queueing
        self._is_decided = False
        self._is_counted = False
        self._seconds = 0.0
        self._tokens = 0
        self.is_short = False
        self.waits_for_share = False

    def decide(self, pool: Pool, fingerprint: Fingerprint | None) -> None:
        """Decide whether the prompt waits for its customer's share.

        A request that was refused here lately has been counted and has waited already:
        it does not wait again behind new work of its customer.
        """
        queueing, now = self._queueing, self._clock.monotonic()
        if queueing is None or self._is_decided:
            return
        self._is_decided = True
        self.is_short = queueing.is_short(self._service, pool, self._route, now)
        self._is_counted = queueing.take_refused(fingerprint, now)
        customer = self._req.customer
        if self.is_short and customer is not None and not self._is_counted:
            self.waits_for_share = queueing.waits(self._service, customer, now)

    def on_choice(self, choice: PrefillDecision | None, waited: float) -> None:
        """Record where the prompt is to be prefilled, and count its work once."""
        if self._queueing is None or choice is None:
            return
        self._seconds = waited + choice.seconds
        self._tokens = choice.placement.tokens
        if not self._is_counted:
            self._is_counted = True
            self._queueing.record(
                self._service,
                self._req.customer,
                self._tokens,
                self._clock.monotonic(),
            )

    def may_refuse(self, pool: Pool) -> bool:
        """Return whether the service is so busy that it may refuse a request."""
        if self._queueing is None:
            return True
        now = self._clock.monotonic()
        return not self._queueing.is_idle(self._service, pool, now)

    def rank(self, slo_status: SloStatus) -> int:
        """Return the rank to send to an engine."""
        if not self.is_short:
            return engine_rank(self._route, slo_status)
        position = QueuePosition(slo_status, self._seconds, self.waits_for_share)
        return short_rank(self._route, position)

    def retry_seconds(
        self,
        wait_seconds: float,
        seconds_left: float,
        fingerprint: Fingerprint | None,
    ) -> float:
        """Return after how long the caller may retry, as the request is refused."""
        queueing, now = self._queueing, self._clock.monotonic()
        if queueing is None:
            return wait_seconds
        queueing.remember_refused(fingerprint, now)
        return queueing.retry_seconds(
            self._service, self._tokens, wait_seconds, seconds_left, now
        )
