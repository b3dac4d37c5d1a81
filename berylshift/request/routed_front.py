"""Callers' routed requests: from HTTP to a route, and back to an answer."""

import logging
import random
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import msgspec
import trio

from berylshift.connection.http_request import HttpRequest
from berylshift.connection.responder import Responder, SlowCallerError
from berylshift.ids import CustomerName, RouteName, ServiceName
from berylshift.messages.fingerprint import shown
from berylshift.messages.routed import RoutedRequest
from berylshift.process.directory.route_holder import RouteHolder
from berylshift.request.allowance import TimeBound, allowance_of
from berylshift.request.errors import BadRequestError
from berylshift.request.key_gate import Admission, KeyGate, KeyVerdict
from berylshift.request.refusals import (
    STATUS_BAD_GATEWAY,
    STATUS_BAD_REQUEST,
    STATUS_GATEWAY_TIMEOUT,
    STATUS_NOT_FOUND,
    STATUS_UNAUTHORIZED,
    Refusal,
    come_back,
    refuse,
)
from berylshift.request.relay import Relay
from berylshift.request.relay_parts import RelayParts
from berylshift.request.relay_result import Result, Verdict
from berylshift.request.single_send import FailedAnswer
from berylshift.utils import host_of
from berylshift.version.routes import Route

logger = logging.getLogger(__name__)

# How much later a caller may come back that found no replica listed: replicas whose
# entries lapsed with the store write themselves again within two seconds. Callers come
# back once or twice, and at once would find the list as empty as before.
NO_REPLICA_SECONDS = 0.8
# Ends of requests that have not run and may be sent again after a while.
COMES_BACK = (Verdict.HOPELESS, Verdict.QUARANTINED, Verdict.THROTTLED)
# Ends of requests that took what their kind takes; refused ones, and those whose caller
# left, tell nothing of it.
TELLS_TIME = (Verdict.ANSWERED, Verdict.CUT, Verdict.TIMED_OUT)


class Ended(msgspec.Struct, frozen=True):
    """How a routed request ended, for the metrics; ``bound``: whose time was up."""

    route: RouteName
    verdict: Verdict
    seconds: float
    bound: TimeBound | None = None
    customer: CustomerName | None = None


class RoutedFront:
    """Handles callers' routed requests."""

    def __init__(
        self,
        parts: RelayParts,
        routes: RouteHolder,
        gate: KeyGate,
        rng: random.Random,
        observe: Callable[[Ended], None],
    ):
        """Route by ``routes``; tell ``observe`` how each request ended."""
        self._parts = parts
        self._gate = gate
        self._routes = routes
        self._rng = rng
        self._observe = observe
        self.in_flight = 0
        self.handled = 0

    async def handle(self, http: HttpRequest, responder: Responder) -> None:
        """Answer one HTTP request."""
        with self._in_flight():
            await self._route(http, responder)

    @contextmanager
    def _in_flight(self) -> Iterator[None]:
        """Count the block as work that a graceful shutdown waits for."""
        self.in_flight += 1
        self.handled += 1
        try:
            yield
        finally:
            self.in_flight -= 1

    async def _route(self, http: HttpRequest, responder: Responder) -> None:
        path = http.target.partition(b"?")[0].decode("latin-1")
        try:
            req = self._parts.language.read_request(
                http.method.encode(),
                http.target,
                list(http.raw_headers),
                http.arriving,
            )
        except BadRequestError as exc:
            logger.info("bad request", extra={"path": path, "reason": str(exc)})
            await refuse(responder, Refusal(STATUS_BAD_REQUEST, str(exc)))
            return
        table = self._routes.table
        if table is None:
            reason = "no routes are known yet"
            await self._turn_away(req, responder, reason, NO_REPLICA_SECONDS)
        else:
            host = host_of(http.headers.get("host", ""))
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
            self._log_no_route(req, host, path)
            await refuse(responder, Refusal(STATUS_NOT_FOUND, "no such route"))
            return
        admission = self._gate.admit(req, route, self._parts.clock.monotonic())
        if admission.verdict is not KeyVerdict.ADMITTED:
            await self._deny(req, route, admission, responder)
            return
        req, route = self._on_behalf(req, route, admission)
        if self._ends_in_time(req, route):
            await self._relay(req, route, responder)
        else:
            await self._turn_away(req, responder, "this host is leaving", 0.0)

    def _on_behalf(
        self, req: RoutedRequest, route: Route, admission: Admission
    ) -> tuple[RoutedRequest, Route]:
        """Return request and route as they are for the customer."""
        if not admission.keyed:
            return req, route
        customer = admission.customer
        if customer is None:
            return self._parts.language.without_key(req, None), route
        named = self._parts.language.without_key(req, customer.name)
        return named, route.ranked(customer.rank)

    async def _deny(
        self,
        req: RoutedRequest,
        route: Route,
        admission: Admission,
        responder: Responder,
    ) -> None:
        """Answer a request that is served for no customer; its body is not read."""
        if admission.verdict is KeyVerdict.UNSURE:
            refusal = self._come_back("keys can't be judged here", NO_REPLICA_SECONDS)
        else:
            refusal = Refusal(STATUS_UNAUTHORIZED, admission.verdict)
        table, now = self._routes.table, self._parts.clock.monotonic()
        logger.info(
            "not admitted",
            extra={
                "request": req.id,
                "route": route.name,
                "reason": admission.verdict,
                "version": None if table is None else table.version,
                "routes_age": _rounded(self._routes.age(now)),
                "outcome": refusal.status,
                "again": refusal.again,
            },
        )
        await refuse(responder, refusal)

    def _ends_in_time(self, req: RoutedRequest, route: Route) -> bool:
        """Return whether a request ends before a planned stop of this host does."""
        stop = self._parts.shutdown
        if stop.has_time_for(allowance_of(route, req).seconds):
            return True
        return stop.is_balancer_unaware and stop.has_time_for(
            self._parts.times.likely(route.name)
        )

    async def _turn_away(
        self, req: RoutedRequest, responder: Responder, reason: str, wait: float
    ) -> None:
        """Refuse a request whatever it asks for; it is not run here."""
        refusal = self._come_back(reason, wait)
        logger.info(
            "turned away",
            extra={
                "request": req.id,
                "same": shown(self._parts.fingerprints.of(req)),
                "reason": reason,
                "outcome": refusal.status,
                "again": refusal.again,
                "stopping_for": _rounded(self._parts.shutdown.seconds_since_begin),
            },
        )
        await refuse(responder, refusal)

    async def _relay(
        self, req: RoutedRequest, route: Route, responder: Responder
    ) -> None:
        clock = self._parts.clock
        service = self._service(route)
        relay = Relay(
            self._parts,
            req,
            route,
            service,
            responder,
            lambda: self._gate.still_holds(req, route),
        )
        started = clock.monotonic()
        measured = self._parts.times.begin(route.name)
        # What stands if the request is cancelled from outside: its caller left, or
        # the process ends before the request does.
        result = Result(Verdict.GIVEN_UP)
        try:
            result = await relay.run()
            await self._conclude(relay, req, result, responder)
        except SlowCallerError as exc:
            result = relay.cut_off(str(exc))
            raise
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            result = Result(Verdict.CALLER_LEFT, sends=result.sends)
            raise
        finally:
            if result.verdict is Verdict.GIVEN_UP and responder.caller_left:
                result = Result(Verdict.CALLER_LEFT, sends=result.sends)
            self._parts.times.end(measured, result.verdict in TELLS_TIME)
            seconds = clock.monotonic() - started
            self._log(relay, req, route, result, seconds)
            self._observe(
                Ended(route.name, result.verdict, seconds, result.bound, req.customer)
            )

    def _log_no_route(self, req: RoutedRequest, host: str, path: str) -> None:
        table, now = self._routes.table, self._parts.clock.monotonic()
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

    async def _conclude(
        self, relay: Relay, req: RoutedRequest, result: Result, responder: Responder
    ) -> None:
        """Give the caller its final answer where the relay has not."""
        if result.verdict is Verdict.NOT_RUN:
            wait = 0.0 if result.sends else NO_REPLICA_SECONDS
            await refuse(responder, self._come_back("no replica took it", wait))
        elif result.verdict in COMES_BACK:
            await refuse(responder, self._come_back(result.detail, result.again))
        elif result.verdict is Verdict.KEY_GONE:
            await refuse(responder, self._key_gone(req))
        elif result.verdict is Verdict.FAILED and relay.failure is not None:
            await self._pass_on(relay.failure, responder)
        elif result.verdict is Verdict.FAILED:
            refusal = Refusal(STATUS_BAD_GATEWAY, "the replica broke off")
            await refuse(responder, refusal)
        elif result.verdict is Verdict.TIMED_OUT:
            await refuse(responder, self._timed_out(relay))

    async def _pass_on(self, failed: FailedAnswer, responder: Responder) -> None:
        head, body = failed.head, failed.body
        await responder.full_raw(head.status, list(head.headers), body)

    def _timed_out(self, relay: Relay) -> Refusal:
        if relay.may_have_run:
            return Refusal(STATUS_GATEWAY_TIMEOUT, "no answer in time")
        return self._come_back("no replica took it in time")

    def _key_gone(self, req: RoutedRequest) -> Refusal:
        """Return the answer to a caller whose key was taken away as it waited.

        Where routes have come to ask for keys meanwhile, the key may hold: the caller's
        next try is judged by it.
        """
        if req.customer is None:
            return self._come_back("keys are asked for since")
        return Refusal(STATUS_UNAUTHORIZED, KeyVerdict.UNKNOWN_KEY)

    def _come_back(self, title: str, wait: float = 0.0) -> Refusal:
        return come_back(title, self._rng, wait)

    def _log(
        self,
        relay: Relay,
        req: RoutedRequest,
        route: Route,
        result: Result,
        seconds: float,
    ) -> None:
        now = self._parts.clock.monotonic()
        table = self._routes.table
        replicas = self._parts.replicas
        logger.info(
            "request ended",
            extra={
                "request": relay.request,
                "same": shown(relay.crash_watch.fingerprint),
                "route": route.name,
                "customer": req.customer,
                "service": relay.service,
                "outcome": result.verdict,
                "detail": result.detail,
                "sends": result.sends,
                "bound": result.bound,
                "stopping_for": _rounded(self._parts.shutdown.seconds_since_begin),
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
