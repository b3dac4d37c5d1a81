"""Which replicas are ordered: a platform that starts, reclaims and refuses them."""

import unittest
from dataclasses import dataclass, field

from berylshift.ids import DomainName, InstanceId, ServiceName
from berylshift.messages.leader_calls import DutyAnswer
from berylshift.messages.replicas import Replica
from berylshift.messages.scaling import ReplicaKind, ScaleOrder
from berylshift.process.scaling.scale_planner import ScalePlanner
from berylshift.version.routes import DomainPrice, Scaling

SERVICE = ServiceName("writer")
STANDING, CHEAP = ReplicaKind.STANDING, ReplicaKind.INTERRUPTIBLE
BOOT_SECONDS = 4.0
NOTICE_SECONDS = 2.5
LEAVE_SECONDS = 4.0
STEP_SECONDS = 0.25
PRICES = {"a": 0.85, "b": 1.2, "c": 1.0, "d": 1.1}


@dataclass
class Started:
    """One replica of the played platform."""

    replica: Replica
    ready_at: float
    gone_at: float = float("inf")
    draining: bool = False


@dataclass
class Platform:
    """Starts replicas as ordered, and takes interruptible ones away."""

    per_domain: int = 3
    price: float | None = 0.18
    least: int = 1
    most: int = 10
    domains: tuple[str, ...] = tuple(PRICES)
    now: float = 0.0
    started: list[Started] = field(default_factory=list)
    orders: list[ScaleOrder] = field(default_factory=list)
    dry_until: dict[str, float] = field(default_factory=dict)
    cost: float = 0.0
    numbers: int = 0

    def __post_init__(self) -> None:
        prices = tuple(DomainPrice(DomainName(d), PRICES[d]) for d in self.domains)
        scaling = Scaling(self.least, self.most, BOOT_SECONDS, self.price, prices)
        self.planner = ScalePlanner(SERVICE, scaling)
        for domain in self.domains:
            for _ in range(self.per_domain):
                self.start(domain, STANDING, 0.0)

    def start(self, domain: str, kind: ReplicaKind, boot: float) -> None:
        """Start a replica."""
        self.numbers += 1
        replica = Replica(
            InstanceId(f"i{self.numbers}"),
            SERVICE,
            "10.0.0.1:80",
            DomainName(domain),
            64,
            interruptible=kind is CHEAP,
        )
        self.started.append(Started(replica, self.now + boot))

    def here(self, domain: str, kind: ReplicaKind) -> list[Started]:
        """Return what runs or starts, and does not leave."""
        cheap = kind is CHEAP
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

    def reclaim(self, domain: str, dry: float, everywhere: bool = False) -> None:
        """Take all interruptible replicas of a domain away, and give out no others."""
        for found in self.here(domain, CHEAP):
            found.draining, found.gone_at = True, self.now + NOTICE_SECONDS
        for name in self.domains if everywhere else (domain,):
            self.dry_until[name] = self.now + dry

    def take(self, order: ScaleOrder) -> DutyAnswer:
        """Carry an order out."""
        self.orders.append(order)
        here = self.here(order.domain, order.kind)
        more = order.desired - len(here)
        if more > 0 and order.kind is CHEAP:
            if self.now < self.dry_until.get(order.domain, 0.0):
                return DutyAnswer.UNAVAILABLE
        for _ in range(more):
            self.start(order.domain, order.kind, BOOT_SECONDS)
        for found in here[: max(0, -more)]:
            found.draining, found.gone_at = True, self.now + LEAVE_SECONDS
        total = sum(len(self.here(order.domain, kind)) for kind in ReplicaKind)
        if total > self.most:
            raise AssertionError(f"{total} replicas in {order.domain}")
        return DutyAnswer.DONE

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

    def play(self, seconds: float, calm: bool = False) -> int:
        """Run for a while; return the fewest that served at any moment."""
        fewest = self.serving()
        until = self.now + seconds
        while self.now < until:
            orders = self.planner.plan(self.listed(), self.now, calm)
            self.planner.needed = self.planner.needed or self.planner.found
            for order in orders:
                self.planner.answered(order, self.take(order), self.now)
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
        return sum(len(platform.here(domain, kind)) for domain in platform.domains)

    def test_cheap_ones_take_over_and_enough_serve_all_the_while(self):
        """Guards against callers that pay for the change of replicas."""
        platform = Platform()
        self.assertEqual(platform.play(40), 12)
        self.assertEqual(self.count(platform, CHEAP), 16)
        self.assertEqual(self.count(platform, STANDING), 0)

    def test_it_costs_less_than_half(self):
        ordered, kept = Platform(), Platform(price=None)
        for platform in (ordered, kept):
            platform.play(20, calm=True)
            platform.cost = 0.0
            platform.play(40)
        self.assertLess(ordered.cost, 0.5 * kept.cost)

    def test_the_loss_of_a_domain_leaves_what_the_service_needs(self):
        """Guards against refusals while a domain's cheap replicas are taken away."""
        platform = Platform()
        platform.play(40)
        for domain in platform.domains:
            platform.reclaim(domain, dry=10.0)
            self.assertGreaterEqual(platform.play(25), 12)

    def test_none_to_be_had_anywhere_brings_standing_ones(self):
        """Guards against a service that shrinks from one reclaim to the next."""
        platform = Platform()
        platform.play(40)
        platform.reclaim("a", dry=9.0, everywhere=True)
        platform.play(3)
        platform.reclaim("b", dry=9.0, everywhere=True)
        fewest = platform.play(4)
        self.assertGreaterEqual(fewest, 8)
        platform.play(3)
        self.assertGreaterEqual(platform.serving(), 12)
        self.assertGreaterEqual(self.count(platform, STANDING), 4)
        platform.play(30)
        self.assertEqual(self.count(platform, STANDING), 0)

    def test_before_the_first_caller_standing_ones_go_at_once(self):
        platform = Platform()
        platform.play(2, calm=True)
        self.assertEqual(self.count(platform, STANDING), 4)
        self.assertGreaterEqual(platform.serving(), 4)
        platform.play(8, calm=True)
        self.assertEqual(platform.serving(), 16)

    def test_what_is_not_to_be_had_keeps_the_standing_ones(self):
        """Guards against replicas given up for others that never come."""
        platform = Platform()
        platform.dry_until = {domain: 1e9 for domain in platform.domains}
        self.assertEqual(platform.play(30, calm=True), 12)
        self.assertEqual(self.count(platform, STANDING), 12)

    def test_one_domain_alone_keeps_standing_replicas(self):
        """Guards against the loss of all replicas at once."""
        platform = Platform(per_domain=6, domains=("a",))
        platform.play(30)
        self.assertEqual(self.count(platform, CHEAP), 0)
        self.assertEqual(platform.orders, [])

    def test_bounds_hold_for_both_kinds_together(self):
        """Guards against orders that the platform refuses; it checks each one."""
        platform = Platform(most=4)
        self.assertGreaterEqual(platform.play(60), 12)
        self.assertEqual(self.count(platform, CHEAP), 16)

    def test_operators_numbers_stay_where_there_is_nothing_to_gain(self):
        """Guards against replicas that operators add and this host orders away."""
        platform = Platform(price=None)
        platform.play(10)
        for _ in range(3):
            platform.start("a", STANDING, 0.0)
        platform.play(20)
        self.assertEqual(platform.orders, [])

    def test_replicas_that_are_not_cheap_enough_stay(self):
        platform = Platform(price=0.9)
        platform.play(30)
        self.assertEqual(platform.orders, [])

    def test_a_crash_of_a_moment_orders_nothing(self):
        """Guards against replicas ordered for those that are back in seconds."""
        platform = Platform()
        platform.play(40)
        before = len(platform.orders)
        for found in platform.started[:6]:
            found.ready_at = platform.now + 2.0
        platform.play(10)
        after = platform.orders[before:]
        self.assertEqual([o for o in after if o.kind is STANDING], [])

    def test_what_stands_tells_what_is_needed(self):
        """Guards against a service that grows with each host that takes the duty."""
        platform = Platform()
        platform.play(40)
        platform.planner = ScalePlanner(SERVICE, platform.planner.scaling)
        platform.play(2)
        self.assertEqual(platform.planner.found, 12)

    def test_the_same_order_is_not_sent_again_and_again(self):
        platform = Platform()
        platform.play(60)
        self.assertLess(len(platform.orders), 30)


if __name__ == "__main__":
    unittest.main()
