"""Prometheus metrics of routed requests."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    GCCollector,
    Histogram,
    ProcessCollector,
    generate_latest,
)

from berylshift.request.routed_handler import RequestSummary

# Customers with a label of their own; further ones share one label.
MAX_CUSTOMER_LABELS = 500
OTHER_CUSTOMERS = "others"
# Upper bounds in seconds, from a plain call to a long stream.
SECONDS_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)


class Telemetry:
    """Metrics of one process."""

    def __init__(self) -> None:
        """Create the registry and its metrics."""
        self.registry = CollectorRegistry()
        ProcessCollector(registry=self.registry)
        GCCollector(registry=self.registry)
        self._requests = Counter(
            "berylshift_requests",
            "Requests ended, by route and outcome.",
            ["route", "outcome"],
            registry=self.registry,
        )
        self._seconds = Histogram(
            "berylshift_request_seconds",
            "Time from a request's arrival to its last byte.",
            ["route"],
            buckets=SECONDS_BUCKETS,
            registry=self.registry,
        )
        self._out_of_time = Counter(
            "berylshift_requests_out_of_time",
            "Requests that ended unfinished, by whose time was up.",
            ["route", "bound"],
            registry=self.registry,
        )
        self._by_customer = Counter(
            "berylshift_customer_requests",
            "Requests ended, by customer and outcome.",
            ["customer", "outcome"],
            registry=self.registry,
        )
        self._attempts = Counter(
            "berylshift_attempts",
            "Attempts of requests at replicas ended, by service and outcome.",
            ["service", "outcome"],
            registry=self.registry,
        )
        self._resumptions = Counter(
            "berylshift_streams_resumed",
            "Streams resumed, by whom, and whether at the software version they began.",
            ["service", "by", "version"],
            registry=self.registry,
        )
        self._not_retried = Counter(
            "berylshift_requests_not_retried",
            "Requests that ended unanswered, by why no further attempt was made.",
            ["service", "reason"],
            registry=self.registry,
        )
        self._records = Counter(
            "berylshift_log_records",
            "Warnings and errors logged, by logger and level.",
            ["logger", "level"],
            registry=self.registry,
        )
        self._customers: set[str] = set()
        self._gauges: dict[str, Gauge] = {}

    def request_ended(self, ended: RequestSummary) -> None:
        """Count a finished request."""
        self._requests.labels(ended.route, ended.outcome).inc()
        self._seconds.labels(ended.route).observe(ended.seconds)
        for outcome in ended.attempt_outcomes:
            self._attempts.labels(ended.service, outcome).inc()
        for resumed in ended.resumptions:
            self._resumptions.labels(ended.service, resumed.by, resumed.match).inc()
        if ended.stop_reason is not None:
            self._not_retried.labels(ended.service, ended.stop_reason).inc()
        if ended.timeout_source is not None:
            self._out_of_time.labels(ended.route, ended.timeout_source).inc()
        if ended.customer is not None:
            label = self._customer_label(ended.customer)
            self._by_customer.labels(label, ended.outcome).inc()

    def count_record(self, name: str, level: str) -> None:
        """Count a record of a logger."""
        self._records.labels(name, level).inc()

    def _customer_label(self, customer: str) -> str:
        """Return a customer's label; the number of labels is limited."""
        if len(self._customers) < MAX_CUSTOMER_LABELS:
            self._customers.add(customer)
        return customer if customer in self._customers else OTHER_CUSTOMERS

    def gauge(self, name: str, text: str, value: float) -> None:
        """Set a gauge; the first call registers it with ``text`` as its help."""
        found = self._gauges.get(name)
        if found is None:
            found = Gauge(f"berylshift_{name}", text, registry=self.registry)
            self._gauges[name] = found
        found.set(value)

    def service_gauge(
        self, name: str, text: str, service: str, phase: str, value: float
    ) -> None:
        """Set a gauge of one service's engines in one phase, as ``gauge`` does."""
        found = self._gauges.get(name)
        if found is None:
            labels = ["service", "phase"]
            found = Gauge(f"berylshift_{name}", text, labels, registry=self.registry)
            self._gauges[name] = found
        found.labels(service, phase).set(value)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
