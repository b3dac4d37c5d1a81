"""Creates crash watches for calls of the native API."""

from dataclasses import dataclass

from berylshift.clock import Clock
from berylshift.ids import InstanceId, TargetName
from berylshift.process.engine_state.load_view import LoadView
from berylshift.process.engine_state.prefix_index import prefix_hashes
from berylshift.process.quarantine.quarantine import Quarantine
from berylshift.request.crash_watch import CrashWatch
from berylshift.request.fingerprint import RequestFingerprinter
from berylshift.request.messages import ModelCall, PlainCall


@dataclass
class CrashWatchFactory:
    """Creates the watches; wired once per process."""

    quarantine: Quarantine
    fingerprints: RequestFingerprinter
    load: LoadView
    clock: Clock

    def for_completion(self, call: ModelCall) -> CrashWatch:
        """Return the watch for a model call."""
        caller = call.caller
        fields = (caller.fleet, caller.customer, call.model, str(call.max_tokens))
        watch = CrashWatch(self.quarantine, self.clock, call.request)
        watch.fingerprint = self.fingerprints.hash_call(fields, call.prompt.encode())
        prefixes = [found for _, found in prefix_hashes(call.prompt)]
        watch.block_keys = self.fingerprints.prefix_keys(
            (caller.fleet, call.model), prefixes, caller.customer
        )
        return watch

    def for_service_call(self, call: PlainCall) -> CrashWatch:
        """Return the watch for a service call.

        The idempotency key is not part of the fingerprint, since it may differ in each
        retry by the caller.
        """
        caller = call.caller
        fields = (
            caller.fleet,
            caller.customer,
            call.service,
            call.method,
            call.path,
        )
        watch = CrashWatch(self.quarantine, self.clock, call.request)
        watch.fingerprint = self.fingerprints.hash_call(fields, call.body)
        return watch

    def instance_id(self, target: TargetName) -> InstanceId:
        """Return the id of a target's running instance.

        It contains the incarnation if the target has reported one.
        """
        incarnation = self.load.incarnation(target)
        return InstanceId(f"{target}@{incarnation}" if incarnation else target)
