"""Dependencies of a relay, wired once per process."""

from collections.abc import Callable
from dataclasses import dataclass, field

from berylshift.clock import Clock
from berylshift.connection.request_memory import RequestMemory
from berylshift.connection.target_client import TargetClient
from berylshift.ids import CustomerName, ServiceName
from berylshift.messages.routed import WireCodec
from berylshift.process.directory.replica_set import ReplicaSet
from berylshift.process.directory.suspected_gone import SuspectedGone
from berylshift.process.limits.shared_retry_budget import SharedRetryBudget
from berylshift.process.quarantine.quarantine import Quarantine
from berylshift.process.shutdown import Shutdown
from berylshift.process.streams.origin_loop import OriginLoop
from berylshift.process.targets.engine_speeds import EngineSpeeds
from berylshift.process.targets.handle_losses import HandleLosses
from berylshift.process.targets.host_demand import HostDemand
from berylshift.process.targets.prefix_cache_index import PrefixCacheIndex
from berylshift.process.targets.recent_durations import RecentDurations
from berylshift.process.targets.replica_silence import ReplicaSilence
from berylshift.process.targets.replica_speeds import ReplicaSpeeds
from berylshift.process.targets.route_history import RouteHistory
from berylshift.process.targets.target_load import TargetLoads
from berylshift.process.targets.throttle import Throttle
from berylshift.request.engine_queues import EngineQueues
from berylshift.request.fingerprint import RequestFingerprinter
from berylshift.request.prefill_client import PrefillClient
from berylshift.scheduling.fair_queueing import FairQueueing
from berylshift.scheduling.features import NO_FEATURES, Features
from berylshift.scheduling.placement import PlacementPolicy
from berylshift.scheduling.prefill_scheduler import PrefillScheduler
from berylshift.scheduling.prefix_fetch import PrefixFetchPlanner


@dataclass
class RelayDependencies:
    """Dependencies; ``retry_budget_for`` returns the retry budget of a service."""

    clock: Clock
    codec: WireCodec
    client: TargetClient
    replicas: ReplicaSet
    loads: TargetLoads
    speeds: EngineSpeeds
    placer: PlacementPolicy
    prefill_client: PrefillClient
    shutdown: Shutdown
    retry_budget_for: Callable[[ServiceName], SharedRetryBudget]
    prefill_scheduler: PrefillScheduler
    fetches: PrefixFetchPlanner
    recent_durations: RecentDurations
    quarantine: Quarantine
    fingerprints: RequestFingerprinter
    throttle: Throttle
    replica_speeds: ReplicaSpeeds = field(default_factory=ReplicaSpeeds)
    queues: EngineQueues = field(default_factory=EngineQueues)
    memory: RequestMemory = field(default_factory=RequestMemory)
    host_demand: HostDemand = field(default_factory=HostDemand)
    # Called with the customer of a request that started to run and the seconds since.
    on_run_started: Callable[[CustomerName | None, float], None] = (
        lambda customer, ago: None
    )
    features: Features = NO_FEATURES
    handle_losses: HandleLosses = field(default_factory=HandleLosses)
    fair_queueing: FairQueueing | None = None
    prefix_cache: PrefixCacheIndex = field(default_factory=PrefixCacheIndex)
    suspects: SuspectedGone = field(default_factory=SuspectedGone)
    silence: ReplicaSilence = field(default_factory=ReplicaSilence)
    # ``None``: hosts do not tell each other at which versions streams began.
    origins: OriginLoop | None = None
    route_history: RouteHistory = field(default_factory=RouteHistory)
    # Returns whether this host's path to an address is lost.
    is_path_lost: Callable[[str], bool] = lambda address: False
