"""Which replicas are ordered from a platform that starts, reclaims and refuses them."""

import unittest
from dataclasses import dataclass, field

from berylshift.ids import DomainName, InstanceId, ServiceName
from berylshift.messages.leader_calls import CallResult
from berylshift.messages.replicas import Replica
from berylshift.messages.scaling import ReplicaKind, ScaleOrder
from berylshift.process.scaling.scale_planner import ScalePlanner
from berylshift.version.routes import DomainPrice, Scaling

SERVICE = ServiceName("writer")
ON_DEMAND, INTERRUPTIBLE = ReplicaKind.ON_DEMAND, ReplicaKind.INTERRUPTIBLE
BOOT_SECONDS = 4.0
NOTICE_SECONDS = 2.5
LEAVE_SECONDS = 4.0
STEP_SECONDS = 0.25
PRICES = {"a": 0.85, "b": 1.2, "c": 1.0, "d": 1.1}


@dataclass
class Started:
    """One replica of the simulated platform."""

    replica: Replica
    ready_at: float
    gone_at: float = float("inf")
    draining: bool = False


@dataclass
class Platform:
    """Starts replicas as ordered, and reclaims interruptible ones."""

    per_domain: int = 3
    price: float | None = 0.18
    least: int = 1
    most: int = 10
    domains: tuple[str, ...] = tuple(PRICES)
    now: float = 0.0
    started: list[Started] = field(default_factory=list)
    orders: list[ScaleOrder] = field(default_factory=list)
    unavailable_until: dict[str, float] = field(default_factory=dict)
    cost: float = 0.0
    numbers: int = 0

    def __post_init__(self) -> None:
        prices = tuple(DomainPrice(DomainName(d), PRICES[d]) for d in self.domains)
        scaling = Scaling(self.least, self.most, BOOT_SECONDS, self.price, prices)
        self.planner = ScalePlanner(SERVICE, scaling)
        for domain in self.domains:
            for _ in range(self.per_domain):
                self.start(domain, ON_DEMAND, 0.0)

    def start(self, domain: str, kind: ReplicaKind, boot: float) -> None:
        """Start a replica."""
        self.numbers += 1
        replica = Replica(
            InstanceId(f"i{self.numbers}"),
            SERVICE,
            "10.0.0.1:80",
            DomainName(domain),
            64,
            interruptible=kind is INTERRUPTIBLE,
        )
        self.started.append(Started(replica, self.now + boot))

    def active(self, domain: str, kind: ReplicaKind) -> list[Started]:
        """Return the replicas that run or start and are not draining."""
        cheap = kind is INTERRUPTIBLE
        return [
            found
            for found in self.started
            if found.replica.domain == domain
            and found.replica.interruptible == cheap
            and not found.draining
        ]

    def serving(self) -> int:
        """Return how many replicas can take work."""
        return sum(found.ready_at <= self.now < found.gone_at for found in self.started)

    def reclaim(
        self, domain: str, unavailable_seconds: float, everywhere: bool = False
    ) -> None:
        """Reclaim all interruptible replicas of a domain; new ones are unavailable."""
        for found in self.active(domain, INTERRUPTIBLE):
            found.draining, found.gone_at = True, self.now + NOTICE_SECONDS
        for name in self.domains if everywhere else (domain,):
            self.unavailable_until[name] = self.now + unavailable_seconds

    def execute(self, order: ScaleOrder) -> CallResult:
        """Execute an order."""
        self.orders.append(order)
        active = self.active(order.domain, order.kind)
        more = order.desired - len(active)
        if more > 0 and order.kind is INTERRUPTIBLE:
            if self.now < self.unavailable_until.get(order.domain, 0.0):
                return CallResult.UNAVAILABLE
        for _ in range(more):
            self.start(order.domain, order.kind, BOOT_SECONDS)
        for found in active[: max(0, -more)]:
            found.draining, found.gone_at = True, self.now + LEAVE_SECONDS
        total = sum(len(self.active(order.domain, kind)) for kind in ReplicaKind)
        if total > self.most:
            raise AssertionError(f"{total} replicas in {order.domain}")
        return CallResult.DONE

    def listed(self) -> list[Replica]:
        """Return the entries as hosts read them."""
        found = []
        for started in self.started:
            if started.ready_at <= self.now < started.gone_at:
                entry = started.replica
                found.append(
                    Replica(
                        entry.instance,
                        SERVICE,
                        entry.address,
                        entry.domain,
                        64,
                        draining=started.draining,
                        interruptible=entry.interruptible,
                    )
                )
        return found

    def play(self, seconds: float, is_idle: bool = False) -> int:
        """Run for a while; return the minimum number that served at any time."""
        fewest = self.serving()
        until = self.now + seconds
        while self.now < until:
            orders = self.planner.plan(self.listed(), self.now, is_idle)
            self.planner.needed = self.planner.needed or self.planner.estimate
            for order in orders:
                self.planner.record_result(order, self.execute(order), self.now)
            self.now += STEP_SECONDS
            fewest = min(fewest, self.serving())
            self.started = [one for one in self.started if one.gone_at > self.now]
            self.cost += STEP_SECONDS * sum(
                PRICES[one.replica.domain]
                * (0.18 if one.replica.interruptible else 1.0)
                for one in self.started
            )
        return fewest


class ScalePlannerTest(unittest.TestCase):
    """A service of twelve replicas in four domains."""

    def count(self, platform: Platform, kind: ReplicaKind) -> int:
        return sum(len(platform.active(domain, kind)) for domain in platform.domains)

    def test_interruptible_ones_take_over_without_loss_of_capacity(self):
        """Guards against lost capacity while replicas are exchanged."""
        platform = Platform()
        self.assertEqual(platform.play(40), 12)
        self.assertEqual(self.count(platform, INTERRUPTIBLE), 16)
        self.assertEqual(self.count(platform, ON_DEMAND), 0)

    def test_cost_is_less_than_half(self):
        ordered, unscaled = Platform(), Platform(price=None)
        for platform in (ordered, unscaled):
            platform.play(20, is_idle=True)
            platform.cost = 0.0
            platform.play(40)
        self.assertLess(ordered.cost, 0.5 * unscaled.cost)

    def test_the_loss_of_a_domain_leaves_what_the_service_needs(self):
        """Guards against refusals while a domain's replicas are reclaimed."""
        platform = Platform()
        platform.play(40)
        for domain in platform.domains:
            platform.reclaim(domain, unavailable_seconds=10.0)
            self.assertGreaterEqual(platform.play(25), 12)

    def test_on_demand_ones_are_ordered_if_none_are_available_anywhere(self):
        """Guards against a service that shrinks with each reclaim."""
        platform = Platform()
        platform.play(40)
        platform.reclaim("a", unavailable_seconds=9.0, everywhere=True)
        platform.play(3)
        platform.reclaim("b", unavailable_seconds=9.0, everywhere=True)
        fewest = platform.play(4)
        self.assertGreaterEqual(fewest, 8)
        platform.play(3)
        self.assertGreaterEqual(platform.serving(), 12)
        self.assertGreaterEqual(self.count(platform, ON_DEMAND), 4)
        platform.play(30)
        self.assertEqual(self.count(platform, ON_DEMAND), 0)

    def test_on_demand_ones_are_released_at_once_before_the_first_request(self):
        platform = Platform()
        platform.play(2, is_idle=True)
        self.assertEqual(self.count(platform, ON_DEMAND), 4)
        self.assertGreaterEqual(platform.serving(), 4)
        platform.play(8, is_idle=True)
        self.assertEqual(platform.serving(), 16)

    def test_on_demand_ones_stay_if_no_others_are_available(self):
        """Guards against releasing replicas for others that never start."""
        platform = Platform()
        platform.unavailable_until = {domain: 1e9 for domain in platform.domains}
        self.assertEqual(platform.play(30, is_idle=True), 12)
        self.assertEqual(self.count(platform, ON_DEMAND), 12)

    def test_a_single_domain_keeps_on_demand_replicas(self):
        """Guards against the loss of all replicas at once."""
        platform = Platform(per_domain=6, domains=("a",))
        platform.play(30)
        self.assertEqual(self.count(platform, INTERRUPTIBLE), 0)
        self.assertEqual(platform.orders, [])

    def test_bounds_hold_for_both_kinds_together(self):
        """Guards against orders that the platform refuses; it checks each one."""
        platform = Platform(most=4)
        self.assertGreaterEqual(platform.play(60), 12)
        self.assertEqual(self.count(platform, INTERRUPTIBLE), 16)

    def test_operators_numbers_stay_if_scaling_saves_nothing(self):
        """Guards against removing replicas that operators have added."""
        platform = Platform(price=None)
        platform.play(10)
        for _ in range(3):
            platform.start("a", ON_DEMAND, 0.0)
        platform.play(20)
        self.assertEqual(platform.orders, [])

    def test_replicas_that_are_not_cheap_enough_stay(self):
        platform = Platform(price=0.9)
        platform.play(30)
        self.assertEqual(platform.orders, [])

    def test_a_brief_crash_orders_nothing(self):
        """Guards against replacing replicas that are back in seconds."""
        platform = Platform()
        platform.play(40)
        before = len(platform.orders)
        for found in platform.started[:6]:
            found.ready_at = platform.now + 2.0
        platform.play(10)
        after = platform.orders[before:]
        self.assertEqual([o for o in after if o.kind is ON_DEMAND], [])

    def test_running_replicas_determine_the_needed_number(self):
        """Guards against a service that grows with each change of leader."""
        platform = Platform()
        platform.play(40)
        platform.planner = ScalePlanner(SERVICE, platform.planner.scaling)
        platform.play(2)
        self.assertEqual(platform.planner.estimate, 12)

    def test_the_same_order_is_not_repeated(self):
        platform = Platform()
        platform.play(60)
        self.assertLess(len(platform.orders), 30)


if __name__ == "__main__":
    unittest.main()
