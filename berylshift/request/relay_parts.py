"""What relays work with; wired once for the process."""

from collections.abc import Callable
from dataclasses import dataclass

from berylshift.clock import Clock
from berylshift.connection.target_client import TargetClient
from berylshift.ids import CustomerName, ServiceName
from berylshift.messages.routed import Language
from berylshift.process.directory.replica_set import ReplicaSet
from berylshift.process.limits.shared_retry_budget import SharedRetryBudget
from berylshift.process.quarantine.quarantine import Quarantine
from berylshift.process.shutdown import Shutdown
from berylshift.process.targets.engine_speeds import EngineSpeeds
from berylshift.process.targets.recent_times import RecentTimes
from berylshift.process.targets.target_load import TargetLoads
from berylshift.process.targets.throttle import Throttle
from berylshift.request.fingerprint import Fingerprints
from berylshift.request.placement import Placing
from berylshift.request.prompt_read import PromptReads
from berylshift.request.reading_choice import ReadingChooser


@dataclass
class RelayParts:
    """The parts; ``budget`` gives a service's share of further sends."""

    clock: Clock
    language: Language
    client: TargetClient
    replicas: ReplicaSet
    loads: TargetLoads
    speeds: EngineSpeeds
    placer: Placing
    reads: PromptReads
    shutdown: Shutdown
    budget: Callable[[ServiceName], SharedRetryBudget]
    readings: ReadingChooser
    times: RecentTimes
    quarantine: Quarantine
    fingerprints: Fingerprints
    throttle: Throttle
    # Told the customer of a request that began to run, and how many seconds ago.
    run_began: Callable[[CustomerName | None, float], None] = lambda customer, ago: None
