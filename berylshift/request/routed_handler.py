"""HTTP handler of routed requests: authenticates, matches a route and relays."""

import logging
import random
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager

import msgspec
import trio

from berylshift.connection.http_request import HttpRequest
from berylshift.connection.responder import Responder, SlowCallerError
from berylshift.ids import CustomerName, RouteName, ServiceName
from berylshift.messages.fingerprint import fingerprint_hex
from berylshift.messages.routed import RoutedRequest
from berylshift.process.directory.route_holder import RouteHolder
from berylshift.request.errors import BadRequestError
from berylshift.request.key_gate import Admission, KeyGate, KeyVerdict
from berylshift.request.refusals import (
    STATUS_BAD_GATEWAY,
    STATUS_BAD_REQUEST,
    STATUS_GATEWAY_TIMEOUT,
    STATUS_NOT_FOUND,
    STATUS_UNAUTHORIZED,
    Refusal,
    refuse,
    retry_later,
)
from berylshift.request.relay import Relay
from berylshift.request.relay_dependencies import RelayDependencies
from berylshift.request.relay_result import RelayOutcome, RelayResult
from berylshift.request.replica_exchange import FailedResponse
from berylshift.request.request_timeout import TimeoutSource, request_timeout
from berylshift.request.retry_loop import StopReason
from berylshift.request.stream_binding import (
    CannotResumeError,
    Resumption,
    StreamBinding,
)
from berylshift.utils import host_without_port
from berylshift.version.routes import Route

logger = logging.getLogger(__name__)

# Retry-After when no replica is listed. Replicas whose entries expired during a store
# outage register again within two seconds. Callers retry once or twice; an immediate
# retry would find the list still empty.
NO_REPLICA_RETRY_SECONDS = 0.8
# Outcomes of requests that have not run and may be retried after a while.
RETRY_LATER_OUTCOMES = (
    RelayOutcome.DEADLINE_UNREACHABLE,
    RelayOutcome.QUARANTINED,
    RelayOutcome.THROTTLED,
)
# Outcomes whose duration is typical of the route; that of a refused request, or of one
# whose caller disconnected, is not.
TIMED_OUTCOMES = (RelayOutcome.ANSWERED, RelayOutcome.CUT, RelayOutcome.TIMED_OUT)

NO_DETAILS: Mapping[str, object] = {}


class RequestSummary(msgspec.Struct, frozen=True):
    """A finished request, for metrics; ``timeout_source``: which limit ended it.

    ``attempt_outcomes``: how its attempts at replicas of ``service`` ended.
    ``stop_reason``: why no further attempt was made, if it was not answered.
    """

    route: RouteName
    service: ServiceName
    outcome: RelayOutcome
    seconds: float
    attempt_outcomes: tuple[str, ...] = ()
    timeout_source: TimeoutSource | None = None
    customer: CustomerName | None = None
    resumptions: tuple[Resumption, ...] = ()
    stop_reason: StopReason | None = None


class RoutedHandler:
    """Handles routed requests."""

    def __init__(
        self,
        deps: RelayDependencies,
        routes: RouteHolder,
        gate: KeyGate,
        rng: random.Random,
        observe: Callable[[RequestSummary], None],
    ):
        """Route by ``routes``; call ``observe`` with a summary of each request."""
        self._deps = deps
        self._gate = gate
        self._routes = routes
        self._rng = rng
        self._observe = observe
        self.in_flight = 0
        self.handled = 0

    async def handle(self, http: HttpRequest, responder: Responder) -> None:
        """Handle one HTTP request."""
        with self._in_flight():
            await self._route(http, responder)

    @contextmanager
    def _in_flight(self) -> Iterator[None]:
        """Count the block as in-flight work, which a graceful shutdown waits for."""
        self.in_flight += 1
        self.handled += 1
        try:
            yield
        finally:
            self.in_flight -= 1

    async def _route(self, http: HttpRequest, responder: Responder) -> None:
        path = http.target.partition(b"?")[0].decode("latin-1")
        try:
            req = self._deps.codec.parse_request(
                http.method.encode(),
                http.target,
                list(http.raw_headers),
                http.body_stream,
            )
        except BadRequestError as exc:
            logger.info("bad request", extra={"path": path, "reason": str(exc)})
            await refuse(responder, Refusal(STATUS_BAD_REQUEST, str(exc)))
            return
        table = self._routes.table
        if table is None:
            reason = "no routes are known yet"
            await self._reject(req, responder, reason, NO_REPLICA_RETRY_SECONDS)
        else:
            host = host_without_port(http.headers.get("host", ""))
            await self._serve(req, table.match(host, path), responder, host, path)

    async def _serve(
        self,
        req: RoutedRequest,
        route: Route | None,
        responder: Responder,
        host: str,
        path: str,
    ) -> None:
        if route is None:
            await self._refuse_unknown_route(req, responder, host, path)
            return
        admission = self._gate.admit(req, route, self._deps.clock.monotonic())
        if admission.verdict is not KeyVerdict.ADMITTED:
            await self._refuse_unauthorized(req, route, admission, responder)
            return
        req, route = self._for_customer(req, route, admission)
        if self._finishes_before_stop(req, route):
            await self._relay(req, route, path, responder)
        else:
            await self._reject(req, responder, "this host is leaving", 0.0)

    def _for_customer(
        self, req: RoutedRequest, route: Route, admission: Admission
    ) -> tuple[RoutedRequest, Route]:
        """Return the request without its API key, and the route at the customer's rank.

        Replicas receive the customer's name instead of the key.
        """
        if not admission.keys_configured:
            return req, route
        customer = admission.customer
        if customer is None:
            return self._deps.codec.strip_key(req, None), route
        named = self._deps.codec.strip_key(req, customer.name)
        return named, route.with_rank(customer.rank)

    async def _refuse_unauthorized(
        self,
        req: RoutedRequest,
        route: Route,
        admission: Admission,
        responder: Responder,
    ) -> None:
        """Refuse a request that no API key authorizes; its body is not read."""
        if admission.verdict is KeyVerdict.STALE_ROUTES:
            refusal = self._retry_later(
                "keys can't be judged here", NO_REPLICA_RETRY_SECONDS
            )
        else:
            refusal = Refusal(STATUS_UNAUTHORIZED, admission.verdict)
        table, now = self._routes.table, self._deps.clock.monotonic()
        logger.info(
            "not admitted",
            extra={
                "request": req.id,
                "route": route.name,
                "reason": admission.verdict,
                "version": None if table is None else table.version,
                "routes_age": _rounded(self._routes.age(now)),
                "outcome": refusal.status,
                "again": refusal.retry_after,
            },
        )
        await refuse(responder, refusal)

    def _finishes_before_stop(self, req: RoutedRequest, route: Route) -> bool:
        """Return whether a request finishes before this host shuts down."""
        shutdown = self._deps.shutdown
        if shutdown.has_time_for(request_timeout(route, req).seconds):
            return True
        return shutdown.is_balancer_unaware and shutdown.has_time_for(
            self._deps.recent_durations.upper_bound(route.name)
        )

    async def _reject(
        self,
        req: RoutedRequest,
        responder: Responder,
        reason: str,
        wait_seconds: float,
        details: Mapping[str, object] = NO_DETAILS,
    ) -> None:
        """Refuse a request that this host can't serve now; it is not run."""
        refusal = self._retry_later(reason, wait_seconds)
        logger.info(
            "turned away",
            extra={
                "request": req.id,
                "same": fingerprint_hex(self._deps.fingerprints.hash_request(req)),
                "reason": reason,
                "outcome": refusal.status,
                "again": refusal.retry_after,
                "stopping_for": _rounded(self._deps.shutdown.seconds_since_begin),
                **details,
            },
        )
        await refuse(responder, refusal)

    async def _relay(
        self, req: RoutedRequest, route: Route, path: str, responder: Responder
    ) -> None:
        clock = self._deps.clock
        self._deps.host_demand.record_request(clock.monotonic())
        binding = await self._bind(req, route, path, responder)
        if binding is None:
            return
        service = binding.service or self._service(route)
        relay = Relay(
            self._deps,
            req,
            route,
            service,
            responder,
            binding,
            lambda: self._gate.is_still_authorized(req, route),
        )
        started = clock.monotonic()
        measured = self._deps.recent_durations.begin(route.name)
        # The result if the request is cancelled from outside: the caller disconnected,
        # or the process stops before the request finishes.
        result = RelayResult(RelayOutcome.GIVEN_UP)
        try:
            result = await relay.run()
            await self._send_final_response(relay, req, result, responder)
        except SlowCallerError as exc:
            result = relay.truncated_result(str(exc))
            raise
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            result = RelayResult(RelayOutcome.CALLER_LEFT)
            raise
        finally:
            if result.outcome is RelayOutcome.GIVEN_UP and responder.caller_left:
                result = RelayResult(RelayOutcome.CALLER_LEFT)
            self._deps.recent_durations.end(measured, result.outcome in TIMED_OUTCOMES)
            seconds = clock.monotonic() - started
            relay.attempts.cancel()
            relay.release()
            self._log(relay, req, route, result, seconds)
            self._observe(
                RequestSummary(
                    route.name,
                    relay.service,
                    result.outcome,
                    seconds,
                    tuple(relay.attempts.outcomes),
                    result.timeout_source,
                    req.customer,
                    tuple(relay.binding.resumptions),
                    relay.stop_reason,
                )
            )

    async def _bind(
        self, req: RoutedRequest, route: Route, path: str, responder: Responder
    ) -> StreamBinding | None:
        """Return where a request may be sent; ``None`` if it was refused."""
        deps, now = self._deps, self._deps.clock.monotonic
        binding = StreamBinding(
            req,
            route,
            deps.replicas.pool,
            deps.origins,
            lambda: deps.route_history.former_routes(route.host, path, now()),
        )
        try:
            await binding.resolve()
        except CannotResumeError as exc:
            wait = NO_REPLICA_RETRY_SECONDS if exc.has_no_replica else 0.0
            await self._reject(req, responder, str(exc), wait, binding.log_fields())
            return None
        return binding

    async def _refuse_unknown_route(
        self, req: RoutedRequest, responder: Responder, host: str, path: str
    ) -> None:
        """Refuse a request that no route leads anywhere.

        Callers don't return after a 404, so it needs routes that are not stale.
        """
        if self._gate.may_lack_routes(self._deps.clock.monotonic()):
            reason = "routes can't be judged here"
            await self._reject(req, responder, reason, NO_REPLICA_RETRY_SECONDS)
            return
        self._log_no_route(req, host, path)
        await refuse(responder, Refusal(STATUS_NOT_FOUND, "no such route"))

    def _log_no_route(self, req: RoutedRequest, host: str, path: str) -> None:
        table, now = self._routes.table, self._deps.clock.monotonic()
        logger.info(
            "no route",
            extra={
                "request": req.id,
                "asked_host": host,
                "path": path,
                "version": None if table is None else table.version,
                "routes_age": _rounded(self._routes.age(now)),
                "outcome": STATUS_NOT_FOUND,
            },
        )

    def _service(self, route: Route) -> ServiceName:
        names = [share.service for share in route.shares]
        weights = [share.weight for share in route.shares]
        return self._rng.choices(names, weights)[0]

    async def _send_final_response(
        self,
        relay: Relay,
        req: RoutedRequest,
        result: RelayResult,
        responder: Responder,
    ) -> None:
        """Send the final response where the relay has not sent one."""
        if result.outcome is RelayOutcome.NOT_RUN:
            wait = 0.0 if result.attempts else NO_REPLICA_RETRY_SECONDS
            await refuse(responder, self._retry_later("no replica took it", wait))
        elif result.outcome in RETRY_LATER_OUTCOMES:
            await refuse(
                responder, self._retry_later(result.detail, result.retry_after_seconds)
            )
        elif result.outcome is RelayOutcome.KEY_REVOKED:
            await refuse(responder, self._key_revoked(req))
        elif result.outcome is RelayOutcome.FAILED and relay.failure is not None:
            await self._forward_failure(relay.failure, responder)
        elif result.outcome is RelayOutcome.FAILED:
            refusal = Refusal(STATUS_BAD_GATEWAY, "the replica failed")
            await refuse(responder, refusal)
        elif result.outcome is RelayOutcome.TIMED_OUT:
            await refuse(responder, self._timed_out(relay))

    async def _forward_failure(
        self, failure: FailedResponse, responder: Responder
    ) -> None:
        head, body = failure.head, failure.body
        await responder.full_raw(head.status, list(head.headers), body)

    def _timed_out(self, relay: Relay) -> Refusal:
        if relay.may_have_run:
            return Refusal(STATUS_GATEWAY_TIMEOUT, "no answer in time")
        return self._retry_later("no replica took it in time")

    def _key_revoked(self, req: RoutedRequest) -> Refusal:
        """Return the refusal for a caller whose key was revoked while it waited.

        If the route has started to require keys meanwhile, the caller's key may be
        valid: it is checked when the caller retries.
        """
        if req.customer is None:
            return self._retry_later("keys are asked for since")
        return Refusal(STATUS_UNAUTHORIZED, KeyVerdict.UNKNOWN_KEY)

    def _retry_later(self, title: str, wait_seconds: float = 0.0) -> Refusal:
        return retry_later(title, self._rng, wait_seconds)

    def _log(
        self,
        relay: Relay,
        req: RoutedRequest,
        route: Route,
        result: RelayResult,
        seconds: float,
    ) -> None:
        now = self._deps.clock.monotonic()
        table = self._routes.table
        replicas = self._deps.replicas
        refused = relay.refused_placement
        logger.info(
            "request ended",
            extra={
                **({} if refused is None else {"refused_placement": refused}),
                "request": relay.request,
                "same": fingerprint_hex(relay.crash_watch.fingerprint),
                **relay.binding.log_fields(),
                "route": route.name,
                "customer": req.customer,
                "service": relay.service,
                "outcome": result.outcome,
                "detail": result.detail,
                "sends": relay.attempts.texts,
                "stopped_by": relay.stop_reason,
                "no_hedge": relay.no_hedge,
                "bound": result.timeout_source,
                "stopping_for": _rounded(self._deps.shutdown.seconds_since_begin),
                "ms": round(seconds * 1000, 1),
                "first_ms": relay.first_ms,
                "pause_ms": relay.pause_ms,
                "events": relay.events,
                "version": None if table is None else table.version,
                "routes_age": _rounded(self._routes.age(now)),
                "replicas_age": _rounded(replicas.age(now)),
                "replicas": len(replicas),
            },
        )


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 2)
