"""Crash watches for calls of the own interface."""

from dataclasses import dataclass

from berylshift.clock import Clock
from berylshift.ids import InstanceId, TargetName
from berylshift.process.knowledge.load import LoadView
from berylshift.process.quarantine.quarantine import Quarantine
from berylshift.request.crash_watch import CrashWatch
from berylshift.request.fingerprint import RequestFingerprinter
from berylshift.request.messages import ModelCall, PlainCall


@dataclass
class CallWatching:
    """Makes the watches; wired once for the process."""

    quarantine: Quarantine
    fingerprints: RequestFingerprinter
    load: LoadView
    clock: Clock

    def of_completion(self, call: ModelCall) -> CrashWatch:
        """Return the watch of a model call."""
        caller = call.caller
        fields = (caller.fleet, caller.customer, call.model, str(call.max_tokens))
        watch = CrashWatch(self.quarantine, self.clock, call.request)
        watch.fingerprint = self.fingerprints.hash_call(fields, call.prompt.encode())
        return watch

    def of_plain(self, call: PlainCall) -> CrashWatch:
        """Return the watch of a plain call; its key may differ in each try."""
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

    def instance(self, target: TargetName) -> InstanceId:
        """Return what stands for one start of a target, as far as its reports tell."""
        incarnation = self.load.incarnation(target)
        return InstanceId(f"{target}@{incarnation}" if incarnation else target)
