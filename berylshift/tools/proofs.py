"""Mutation tests: removes each safeguard in turn and checks that its test fails.

A test that still passes without its safeguard does not guard it. ``python -m
berylshift.tools.proofs`` prints a row per safeguard and exits 1 unless each test passes
with its safeguard and fails without it.
"""

import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

TEST_SECONDS = 60
TESTS = "berylshift.tests"


@dataclass(frozen=True)
class Proof:
    """A safeguard: its source text, the replacement that removes it, and its test.

    ``path`` is relative to the package directory.
    """

    name: str
    path: str
    text: str
    replacement: str
    test: str


RELAY = "test_request_relay"
KEYS = "test_entry_keys"
GATE = "test_request_key_gate"
ISOLATION = "test_request_isolation"
USAGE = "test_usage_loop"
SCALING = "test_scaling_planner"
PREFIX_FETCH = "test_scheduling_prefix_fetch"
STREAMS = "test_request_streams"
MOVED = "test_gossip_moved_hosts"
LIMITS = "test_entry_limits"
PAST = "test_entry_store_past.StorePastTest"
OUT_OF_STEP = "test_entry_hosts_out_of_step"
RATES = "test_targets_rate_limits"
DRAINING = "test_entry_draining"
BACKOFF = "test_entry_backoff"
REPLICA_GATE = "test_request_replica_gate"
SPEEDS = "test_targets_replica_speeds"
LOST_HANDLES = "test_entry_lost_handles"
PHASES = "test_phase_loop"
SPLIT = "test_scheduling_phase_split.DecisionTest"
REPLICA_SET = "test_directory_replica_set.ReplicaSetTest"
SUSPECTS = "test_directory_suspected_gone"
UPDATES = "test_directory_replica_updates"
CUT_OFF = "test_gossip_replica_updates"
PACING = "test_scheduling_decode_pacing"
WEIGHTS = "test_scheduling_capacity_weights"
TUNNELLED = "test_entry_tunnels.TunnelledRequestsTest"
CONCLUSIONS = "test_entry_tunnels.ConclusionsTest"
TUNNELS = "test_tunnels.TunnelTest"
VERSIONS = "test_entry_stream_versions"
STALE = "test_entry_stale_lists"
SILENCE = "test_entry_silent_replicas"
RESUMED = "test_entry_resumed_events"
MOMENTS = "test_entry_stream_moments"
FORMER_ROUTES = "test_entry_former_routes.FormerRouteTest"
DIALER = "process/paths/replica_dialer.py"
TUNNEL_SERVER = "connection/tunnel_server.py"
BLOCKS = "process/quarantine/block_quarantine.py"
BLOCK_TESTS = "test_block_quarantine"
FIRST_START = "test_entry_first_start.FirstStartTest"
SUSPENDED = "test_suspended_hosts.SuspendedHostTest"
UPLOADS = "test_connection_reset_uploads"
HEADS = "test_connection_broken_heads"
SENDING_HALF = "connection/sending_half.py"
HTTP_CLIENT = "connection/http_client.py"
PARSER = "connection/response_parser.py"
PROOFS = (
    Proof(
        "replicas receive the customer name, never the key",
        "request/routed_handler.py",
        "        if not admission.keys_configured:\n",
        "        if True:\n",
        f"{KEYS}.AdmissionTest",
    ),
    Proof(
        "the key is checked again before each attempt",
        "request/relay.py",
        "not self._out.started and not self._is_key_valid()",
        "False",
        f"{KEYS}.KeyChangeTest.test_a_waiting_request_is_authenticated_again",
    ),
    Proof(
        "a started stream completes whatever happens to its key",
        "request/relay.py",
        "not self._out.started and not self._is_key_valid()",
        "not self._is_key_valid()",
        f"{KEYS}.KeyChangeTest.test_a_started_stream_is_completed",
    ),
    Proof(
        "a request with two keys is treated as having none",
        "platform/codec.py",
        "    if len(values) != 1:\n",
        "    if not values:\n",
        f"{GATE}.HeaderTest",
    ),
    Proof(
        "a key claimed by two customers belongs to neither",
        "version/customers.py",
        "                self._by_key[key] = None\n",
        "                pass\n",
        "test_version_customers.CustomerKeysTest",
    ),
    Proof(
        "stale routes do not reject an unknown key",
        "request/key_gate.py",
        "KeyVerdict.STALE_ROUTES if is_old else KeyVerdict.UNKNOWN_KEY",
        "KeyVerdict.UNKNOWN_KEY",
        f"{GATE}.KeyGateTest",
    ),
    Proof(
        "usage is settled before it is sent",
        "process/usage/usage_loop.py",
        "        return settled.report\n",
        "        return self._usage_counts.report(window)\n",
        f"{USAGE}.UsageLoopTest",
    ),
    Proof(
        "a window that may have been settled is not settled again",
        "process/usage/usage_loop.py",
        "        if not self._eras.restore_count:\n            return True\n",
        "        return True\n",
        f"{USAGE}.UsageLoopTest",
    ),
    Proof(
        "usage is sent only while the lease is held",
        "process/leader_tasks/leader_lease.py",
        "        if grant is None or self._boot_clock() >= grant.until:\n",
        "        if grant is None:\n",
        f"{USAGE}.ScheduleTest",
    ),
    Proof(
        "counts are sent again until their window is done",
        "process/usage/counter_gossip.py",
        "            if now >= counter.sent_at + RESEND_SECONDS\n",
        "            if counter.sent_at == NEVER\n",
        "test_usage_counts.UsageCountsTest",
    ),
    Proof(
        "the loss of a domain leaves enough replicas",
        "process/scaling/scale_planner.py",
        "math.ceil(self.needed / (domains - 1))",
        "math.ceil(self.needed / domains)",
        f"{SCALING}.ScalePlannerTest",
    ),
    Proof(
        "the needed replica count is stored, not estimated again",
        "process/scaling/scale_loop.py",
        "                planner.needed = found\n",
        "                planner.needed = planner.estimate\n",
        "test_scaling_loop.ScaleLoopTest",
    ),
    Proof(
        "suspect requests are retried on few engines only",
        "request/isolation.py",
        "return ranked[: max(1, len(remaining) // REPLICAS_PER_ISOLATION_REPLICA)]",
        "return ranked",
        f"{ISOLATION}.SuspectsTest.test_streams_of_a_crashed_engine_resume_on_one_engine",
    ),
    Proof(
        "the last engine takes no suspect request",
        "request/routed_crash_watch.py",
        "        if is_suspect and is_last and not response_started:\n",
        "        if False:\n",
        f"{ISOLATION}.SuspectsTest",
    ),
    Proof(
        "nothing is sent to an engine that crashed under the request",
        "request/routed_crash_watch.py",
        "        found = [*tried, *crashed]\n",
        "        found = [*tried]\n",
        f"{ISOLATION}.SuspectsTest",
    ),
    Proof(
        "only the replica can say that a request did not run",
        "request/retry_policy.py",
        "self not in (*NEVER_SENT, AttemptOutcome.NOT_RUN)",
        "self in (AttemptOutcome.DONE, AttemptOutcome.FAILED)",
        f"{RELAY}.NotRunTest",
    ),
    Proof(
        "a cancelled attempt may have run",
        "request/replica_exchange.py",
        "        self._history.begin_attempt()\n",
        "",
        f"{RELAY}.NotRunTest.test_timeout_is_not_reported_as_not_run",
    ),
    Proof(
        "requests that are not idempotent run once",
        "request/retry_policy.py",
        "return bounds.repeatable and",
        "return",
        "test_request_retry_policy.RetryPolicyTest",
    ),
    Proof(
        "the response's request id is compared",
        "connection/target_response.py",
        "        return ResponseOwner.THIS_REQUEST\n    if response_id is None and",
        "        return ResponseOwner.THIS_REQUEST\n"
        "    return ResponseOwner.THIS_REQUEST\n"
        "    if response_id is None and",
        f"{RELAY}.ConnectionReuseTest.test_unexpected_second_response_is_discarded",
    ),
    Proof(
        "no connection carries the same id twice",
        "connection/target_client.py",
        "elif out.id not in connection.carried:",
        "else:",
        "test_entry_late_copies.LateRefusalTest",
    ),
    Proof(
        "a response on a connection that carried its id before is not believed",
        "connection/target_response.py",
        "    if request_id in carried:\n        return ResponseOwner.UNKNOWN\n",
        "",
        "test_connection_target_response.OwnerTest",
    ),
    Proof(
        "a response without an id is not believed on a connection used before",
        "connection/target_response.py",
        "if response_id is None and None not in carried:",
        "if False:",
        "test_connection_target_response.OwnerTest",
    ),
    Proof(
        "a request's body is freed as it ends",
        "connection/server_connection.py",
        "            self.body.free()\n",
        "",
        "test_entry_request_memory.EndedRequestTest",
    ),
    Proof(
        "a body that was freed does not look complete to a target",
        "connection/request_body.py",
        "            if self._is_freed and offset < self.size:\n"
        "                raise BodyBrokenError\n",
        "            if self._is_freed:\n                return\n",
        "test_request_bodies.FreedBodyTest",
    ),
    Proof(
        "a body is admitted before it is read",
        "connection/request_memory.py",
        "body.set_hold(await pool.take(size))",
        "body.set_hold(pool.take_now(size))",
        "test_entry_request_memory.BoundTest",
    ),
    Proof(
        "a body of unknown length is admitted for the longest one",
        "connection/server_connection.py",
        "await self._hold_memory(body, self.server.limits.body_bytes)",
        "await self._hold_memory(body, SMALL_BYTES)",
        "test_entry_request_memory.BoundTest."
        "test_body_of_unknown_length_is_admitted_for_the_longest",
    ),
    Proof(
        "long bodies leave room for small ones",
        "connection/request_memory.py",
        "self.small_bodies if size <= SMALL_BYTES else self.large_bodies",
        "self.large_bodies",
        "test_entry_request_memory.BoundTest."
        "test_small_requests_are_served_beside_long_ones",
    ),
    Proof(
        "a protocol switch ends a response",
        "connection/http_client.py",
        "            if event is h11.PAUSED:\n",
        "            if False:\n",
        "test_entry_unusual_requests.ConnectTest."
        "test_protocol_switch_by_a_replica_is_an_error",
    ),
    Proof(
        "shares of limits follow the requests",
        "process/targets/host_demand.py",
        "return fraction if is_complete else min(even, fraction)",
        "return even",
        "test_targets_host_demand.HostDemandTest.test_shares_follow_the_requests",
    ),
    Proof(
        "a share grows only once the others have heard of it",
        "process/targets/host_demand.py",
        "own = min(self._own.in_force(now))",
        "own = self._rate(now)",
        "test_targets_host_demand.HostDemandTest.test_shares_never_exceed_the_limit",
    ),
    Proof(
        "no host takes the share of one that it has not heard of",
        "process/targets/host_demand.py",
        "return fraction if is_complete else min(even, fraction)",
        "return fraction",
        "test_targets_host_demand.HostDemandTest."
        "test_a_host_that_is_not_heard_of_keeps_its_even_share",
    ),
    Proof(
        "a connection with an unfinished request body is not reused",
        "connection/target_client.py",
        "                sent.is_set()\n                and is_direct\n",
        "                is_direct\n",
        "test_request_bodies.ClientTest."
        "test_connection_with_an_unsent_chunk_is_not_reused",
    ),
    Proof(
        "a host in shutdown accepts nothing that it can't finish",
        "request/routed_handler.py",
        "        if self._finishes_before_stop(req, route):\n",
        "        if True:\n",
        "test_entry_shutdown.GracefulShutdownTest",
    ),
    Proof(
        "a host in shutdown uses recent durations only",
        "process/targets/recent_durations.py",
        "max([*fresh, *ages])",
        "min(fresh)",
        "test_targets_recent_durations.RecentDurationsTest",
    ),
    Proof(
        "a host in shutdown responds before it exits",
        "process/shutdown.py",
        "            work.deadline = min(work.deadline, self._ends_at)\n\n",
        "            pass\n\n",
        "test_entry_shutdown.GracefulShutdownTest",
    ),
    Proof(
        "a truncated body is not sent as complete",
        "connection/target_client.py",
        "BodyBrokenError:\n            close_now(half.stream)\n",
        "BodyBrokenError:\n"
        '            await half.send_all(writer.send(h11.EndOfMessage()) or b"")\n',
        "test_request_bodies.ClientTest.test_truncated_body_is_not_sent_as_complete",
    ),
    Proof(
        "a slow target applies backpressure to the request body",
        "connection/server_connection.py",
        "                await body.wait_for_room()\n",
        "",
        "test_request_bodies.StreamedBodyTest."
        "test_slow_replica_applies_backpressure_to_its_caller",
    ),
    Proof(
        "entries missing from a full list are removed",
        "process/directory/replica_set.py",
        "missing |= self._listed.keys() -",
        "missing |= set() & self._listed.keys() -",
        "test_directory_schedules.DirectoryScheduleTest",
    ),
    Proof(
        "responses must be signed",
        "platform/codec.py",
        "genuine=names.SIGNATURE in found and",
        "genuine=True or",
        f"{RELAY}.NotRunTest.test_at_most_once_request_runs_once_after_failures",
    ),
    Proof(
        "a stream is forwarded in whole events",
        "request/event_splitter.py",
        "        while (end := self._next_end()) > 0:\n",
        "        while (end := self._next_end() or len(self._buffer))"
        " > self._idle_end:\n",
        f"{STREAMS}.StreamTest",
    ),
    Proof(
        "a resumed stream continues after the last event",
        "request/relay.py",
        "            return self._out.last_event_id\n",
        "            return None\n",
        f"{STREAMS}.StreamTest",
    ),
    Proof(
        "a request names the instance that it is meant for",
        "platform/codec.py",
        "        headers.append((names.TARGET_INSTANCE, dispatch.replica.encode()))\n",
        "",
        f"{RELAY}.InstanceTest",
    ),
    Proof(
        "the replica's request is cancelled when the caller disconnects",
        "connection/server_connection.py",
        "        scope.cancel()\n",
        "",
        f"{RELAY}.CallerDisconnectTest",
    ),
    Proof(
        "an unused KV cache is freed",
        "request/relay.py",
        "                self._release_kv_source()\n            return RelayResult",
        "                pass\n            return RelayResult",
        f"{STREAMS}.StreamTest.test_kv_cache_is_freed_when_the_caller_disconnects",
    ),
    Proof(
        "a retry gets only the time that is left",
        "request/relay.py",
        "seconds_left=self._deadline - self._now(),",
        "seconds_left=self._deadline - self._started_at,",
        f"{RELAY}.TimeLeftTest",
    ),
    Proof(
        "forged orders are dropped",
        "platform/codec.py",
        "HOP_BY_HOP | names.RESERVED | REWRITTEN | listed",
        "HOP_BY_HOP | REWRITTEN | listed",
        "test_platform_adapter.ForwardedHeadersTest",
    ),
    Proof(
        "a connection header can't remove protected headers",
        "platform/codec.py",
        " - (\n        PROTECTED - REWRITTEN\n    )",
        "",
        "test_platform_adapter.ForwardedHeadersTest",
    ),
    Proof(
        "two content lengths are rejected",
        "connection/server_connection.py",
        "        check_framing(head)\n",
        "",
        f"{RELAY}.PlainAnswerTest.test_two_lengths_are_rejected",
    ),
    Proof(
        "retries stay within the retry budget",
        "request/retry_loop.py",
        "not budget.try_acquire(clock.monotonic())",
        "False",
        f"{RELAY}.RetryTest.test_retries_stay_within_the_budget_of_all_hosts",
    ),
    Proof(
        "an attempt beside an overdue one draws on the retry budget",
        "request/hedged_attempts.py",
        "hedge is not None and self._budget.try_acquire(now)",
        "hedge is not None",
        f"{SILENCE}.SpentBudgetTest",
    ),
    Proof(
        "a host that was late itself reads what has arrived first",
        "request/hedged_attempts.py",
        "if now > self._waits_until + MAX_LAG_SECONDS and due != self._deferred_from:",
        "if False:",
        f"{SILENCE}.LateHostTest",
    ),
    Proof(
        "silent replicas get no attempt beside an overdue one",
        "request/relay.py",
        "silent = self._deps.silence.silent(self._now())",
        "silent = []",
        f"{SILENCE}.AllSilentTest.test_started_streams",
    ),
    Proof(
        "an attempt that would answer too late is not made",
        "request/relay.py",
        "if not self._answers_in_time(placement):",
        "if False:",
        f"{SILENCE}.OneSilentTest"
        ".test_engine_that_would_answer_too_late_gets_no_attempt",
    ),
    Proof(
        "the first attempt to answer ends the others",
        "request/open_attempts.py",
        "            if other is not attempt:\n                scope.cancel()\n",
        "            pass\n",
        f"{SILENCE}.TwoAnswersTest",
    ),
    Proof(
        "time of a write to the caller is not overdue",
        "request/replica_exchange.py",
        "        self.overdue_at = NEVER\n        await self.begin_answer()",
        "        await self.begin_answer()",
        f"{SILENCE}.SlowCallerTest",
    ),
    Proof(
        "a started response ignores the retry budget",
        "request/completion.py",
        "        return self._answer.tokens > 0\n",
        "        return False\n",
        "test_answers.StreamFailureTest."
        "test_started_response_is_finished_when_the_retry_budget_is_spent",
    ),
    Proof(
        "clearing the attempts remembers that one may have run",
        "request/retry_policy.py",
        "self._may_have_run_before = self.may_have_run",
        "self._may_have_run_before = False",
        "test_request_retry_loop.RetryLoopTest",
    ),
    Proof(
        "further prefills count as further attempts",
        "request/relay.py",
        "if self._prefills and not self._retry_budget.try_acquire(self._now()):",
        "if False:",
        f"{RELAY}.RetryTest.test_prefills_count_as_attempts",
    ),
    Proof(
        "a prompt that can't meet its deadline is refused at once",
        "request/relay.py",
        "self._now() + seconds <= self._first_chunk_deadline:",
        "True:",
        f"{STREAMS}.StreamTest."
        "test_prompt_that_is_prefilled_too_late_is_refused_at_once",
    ),
    Proof(
        "a retry that is too late is not reported as not run",
        "request/relay.py",
        "        found = self._final_outcome()\n"
        "        if found is RelayOutcome.NOT_RUN:\n",
        "        if True:\n",
        f"{STREAMS}.StreamTest"
        ".test_late_retry_after_a_crash_is_not_reported_as_not_run",
    ),
    Proof(
        "a draining replica takes no new work at once",
        "process/directory/replica_set.py",
        "            if entry.draining:\n"
        "                draining.setdefault(entry.service, []).append(entry)\n"
        "            elif usable",
        "            if usable",
        f"{REPLICA_SET}.test_draining_takes_no_new_work_at_once",
    ),
    Proof(
        "route versions only increase",
        "process/directory/route_holder.py",
        "if table.version < self.table.version:\n            return False",
        "if table.version < self.table.version:\n            return True",
        "test_entry_application.ChangeTest.test_older_version_is_ignored",
    ),
    Proof(
        "a truncated feed is read from the start",
        "process/directory/directory_loop.py",
        "HistoryLostError as exc:\n                self._watch.forget(feed)\n",
        "HistoryLostError as exc:\n                await trio.sleep(1)\n",
        "test_entry_application.ChangeTest."
        "test_in_force_although_feed_history_was_dropped",
    ),
    Proof(
        "the newest row in a feed response wins",
        "platform/store.py",
        "newest = {row.key: row for row in found.rows}.values()",
        "newest = found.rows",
        "test_platform_store.ReplicaFeedTest",
    ),
    Proof(
        "entries that expired during a store outage are kept for a while",
        "process/directory/replica_set.py",
        "in_grace = now < self._store_recovered_at + EXPIRY_GRACE_SECONDS",
        "in_grace = False",
        "test_entry_application.StoreOutageTest",
    ),
    Proof(
        "a graceful shutdown reports not ready at once",
        "entry_application.py",
        "        if self.is_stopping or self.routes.table is None:\n",
        "        if self.routes.table is None:\n",
        "test_entry_shutdown.GracefulShutdownTest",
    ),
    Proof(
        "a graceful shutdown waits for open requests",
        "entry_application.py",
        "            await self.server.wait_until_idle(QUIET_SECONDS)\n",
        "",
        "test_entry_shutdown.GracefulShutdownTest.test_open_stream_completes",
    ),
    Proof(
        "a response to HEAD has no body",
        "connection/server_connection.py",
        "        if not self.is_head_request:\n",
        "        if True:\n",
        "test_entry_writes.HeadRequestTest",
    ),
    Proof(
        "the write to a caller that disconnected is cancelled",
        "connection/server_connection.py",
        "        self.write_scope.cancel()\n",
        "",
        "test_entry_writes.SlowCallerTest.test_half_closed_caller_frees_its_engine",
    ),
    Proof(
        "an error on one connection affects no other caller",
        "connection/http_server.py",
        '        except Exception:\n            logger.exception("connection',
        '        except MemoryError:\n            logger.exception("connection',
        "test_entry_own_end.ProcessSurvivalTest"
        ".test_unwritable_refusal_affects_only_its_caller",
    ),
    Proof(
        "a request read while the server finishes is answered",
        "connection/http_server.py",
        "        while self._idle:\n"
        "            await trio.lowlevel.checkpoint()\n"
        "        await self.wait_until_idle(0)\n",
        "",
        "test_entry_answered_requests.FinishTest.test_requests_read_during_finish_are_answered",
    ),
    Proof(
        "a request that has arrived is read before its connection closes",
        "connection/server_connection.py",
        "scope.cancelled_caught and self.server.accepts_requests",
        "False",
        "test_entry_connections.ClosedUnreadTest"
        ".test_arrived_request_is_read_before_shutdown_closes_connection",
    ),
    Proof(
        "a longer idle timeout applies to idle connections",
        "connection/http_server.py",
        "max(scope.deadline, start + limits.idle_seconds)",
        "scope.deadline",
        "test_entry_connections.ClosedUnreadTest"
        ".test_raised_idle_timeout_applies_to_idle_connections",
    ),
    Proof(
        "a shorter idle timeout closes no connection early",
        "connection/http_server.py",
        "max(scope.deadline, start + limits.idle_seconds)",
        "start + limits.idle_seconds",
        "test_entry_connections.ClosedUnreadTest.test_lowered_idle_timeout_closes_no_idle_connection_early",
    ),
    Proof(
        "a refusal is not lost to a connection reset",
        "connection/http_server.py",
        "                await self._linger(stream)\n",
        "                pass\n",
        "test_entry_connections.ClosedUnreadTest"
        ".test_refusal_at_connection_limit_reaches_caller",
    ),
    Proof(
        "the last response is not lost when the process exits",
        "connection/http_server.py",
        "                await discard_input(stream)\n            raise",
        "                pass\n            raise",
        "test_entry_connections.ClosedUnreadTest"
        ".test_final_response_survives_process_exit",
    ),
    Proof(
        "a partly read request is refused when the shutdown ends",
        "connection/http_server.py",
        "        for scope in self._read_scopes:\n",
        "        for scope in ():\n",
        "test_entry_connections.ClosedUnreadTest"
        ".test_partial_request_at_shutdown_deadline_is_refused",
    ),
    Proof(
        "a host without free file descriptors keeps running",
        "connection/http_server.py",
        "                if exc.errno not in RESOURCE_ERRNOS:\n",
        "                if exc.errno:\n",
        "test_entry_own_end.ProcessSurvivalTest.test_host_without_free_descriptors_keeps_running",
    ),
    Proof(
        "a lease expires on a clock that runs during suspend",
        "process/leader_tasks/leader_lease.py",
        "self._boot_clock() >= grant.until",
        "False",
        "test_leader_lease.LeaderLeaseTest",
    ),
    Proof(
        "a new lease holder waits until earlier orders have expired",
        "process/leader_tasks/leader_lease.py",
        "return USABLE_SECONDS + self._holder_gap_seconds + CLOCK_MARGIN_SECONDS",
        "return USABLE_SECONDS",
        "test_leader_lease.LeaderLeaseTest",
    ),
    Proof(
        "a lease is acquired by a conditional write",
        "process/leader_tasks/leader_lease.py",
        "        if granted is None:\n",
        "        if False:\n",
        "test_leader_lease.LeaderLeaseTest",
    ),
    Proof(
        "orders are sent to the other hosts",
        "process/gossip/protocol.py",
        "        sources.phases.apply_updates(digest.phases, now)\n",
        "",
        "test_entry_application.PhaseTest."
        "test_engine_with_ordered_phase_is_used_during_store_outage",
    ),
    Proof(
        "reports of a single host do not exclude a replica",
        "process/gossip/peer_loads.py",
        "return load.second_failures",
        "return load.failures",
        "test_scheduling_placement.PlainTest",
    ),
    Proof(
        "the age of a store status follows the store's clock",
        "process/directory/store_watch.py",
        "return self._boot_clock() + max(self._offsets) - store_ms / 1000",
        "return 0.0",
        "test_gossip_collectors.FeedReaderTest."
        "test_delayed_status_is_not_taken_for_fresh",
    ),
    Proof(
        "a host reads the feeds itself when its store status is old",
        "process/directory/store_watch.py",
        "seconds_left = self.max_age_seconds - self.clock.age(state.received.store_ms)",
        "seconds_left = 60.0",
        "test_gossip_collectors.FeedReaderTest.test_feed_readers_that_the_store_refuses",
    ),
    Proof(
        "a change that was not read is not skipped",
        "process/directory/store_watch.py",
        "if state.position is not None and status.last_change <= state.position:",
        "if state.position is not None:",
        "test_directory_store_watch.StoreWatchTest",
    ),
    Proof(
        "hosts that did not notice an outage are told of it",
        "process/directory/directory_loop.py",
        "            self._replicas.record_store_recovery(",
        "            float(",
        "test_gossip_collectors.FeedReaderTest."
        "test_entries_that_expired_in_an_outage_most_hosts_did_not_notice",
    ),
    Proof(
        "a lost collector is replaced by the next host",
        "process/gossip/election.py",
        "if now - at < HOLDER_TIMEOUT_SECONDS",
        "if now >= at",
        "test_gossip_collectors.AggregateTest.test_lost_collector_is_replaced",
    ),
    Proof(
        "a new collector's count does not raise limit shares at once",
        "process/gossip/peer_loads.py",
        "if hosts >= self._max_hosts or now",
        "if hosts or now",
        "test_gossip_collectors.AggregateTest."
        "test_new_collector_does_not_raise_the_limit_shares",
    ),
    Proof(
        "a full log pipe does not block",
        "log.py",
        "except OSError:\n            return False\n        self._unwritten = data",
        "except ValueError:\n            return False\n        self._unwritten = data",
        "test_log.DescriptorSinkTest",
    ),
    Proof(
        "the target timeout covers only the wait for the target",
        "connection/read_timeout.py",
        "            return await operation\n",
        "            value = await operation\n"
        "            await trio.lowlevel.checkpoint()\n"
        "            return value\n",
        "test_request_silence.RoutedResponseTest",
    ),
    Proof(
        "a slow store response is read while data arrives",
        "store/client.py",
        "                limit.restart(self._timeout_seconds)\n",
        "",
        "test_store_slow_answers.LargeConfigurationTest",
    ),
    Proof(
        "a store response that never ends is abandoned",
        "store/client.py",
        "wait_seconds + MAX_READ_SECONDS",
        'float("inf")',
        "test_store_slow_answers.UnfinishedResponseTest.test_trickling_response_ends_in_time",
    ),
    Proof(
        "a ready response is written when its deadline passes",
        "connection/http_server.py",
        "shield=True, deadline=min(",
        "shield=False, deadline=min(",
        "test_request_silence.DeadlineDuringWriteTest",
    ),
    Proof(
        "no timeout interrupts a response between head and body",
        "connection/http_server.py",
        "shield=True, deadline=min(",
        "shield=False, deadline=min(",
        "test_entry_writes.ReadyResponseTest",
    ),
    Proof(
        "each start of a replica is a separate instance",
        "messages/replicas.py",
        'return InstanceId(f"{name}@{started_ms}")',
        "return InstanceId(name)",
        "test_entry_starts.RestartTest",
    ),
    Proof(
        "an order is sent only to the instance it was planned for",
        "process/leader_tasks/phase_loop.py",
        "if report.started_ms != replica.started_ms:",
        "if False:",
        "test_entry_starts.RestartTest",
    ),
    Proof(
        "an entry without the replica's start time has another writer",
        "process/directory/replica_set.py",
        "return had_start and replica.started_ms is None",
        "return False",
        "test_directory_replica_set.RestartTest",
    ),
    Proof(
        "an unreadable row does not hide others",
        "platform/store.py",
        "            found.append("
        "parse_replica_entry(row.key, row.data(), row.row_version))\n"
        "        except MalformedEntryError as exc:",
        "            found.append("
        "parse_replica_entry(row.key, row.data(), row.row_version))\n"
        "        except KeyError as exc:",
        "test_platform_store.ReplicaFeedTest",
    ),
    Proof(
        "an entry with an unknown state is ignored",
        "platform/entries.py",
        "if decoded.state not in STATES:",
        "if False:",
        "test_platform_adapter.EntryTest",
    ),
    Proof(
        "prompts that can meet their objective go first",
        "scheduling/prefill_scheduler.py",
        "if slo_status_of(job.route, job.waited_seconds + seconds) "
        "is SloStatus.ON_TIME:",
        "if True:",
        "test_scheduling_prefill_scheduler.BurstTest",
    ),
    Proof(
        "blocks beyond an engine's cache capacity do not count as cached",
        "process/targets/engine_cache.py",
        "return self._tokens > capacity_tokens and bool(self._blocks)",
        "return False",
        "test_targets_knowledge.PrefixCacheIndexTest",
    ),
    Proof(
        "an engine is warm only if it caches all prefix blocks",
        "scheduling/placement.py",
        "self._reason(replica, homes, cached >= prompt.prefix_tokens)",
        "self._reason(replica, homes, cached > 0)",
        "test_scheduling_placement.HomeQueueTest",
    ),
    Proof(
        "an idle engine fetches a prefix from its busy home engine",
        "scheduling/prefix_fetch.py",
        "    if found[0] > MAX_FETCH_SHARE * saved / rate:\n",
        "    if True:\n",
        f"{PREFIX_FETCH}.LoadTest.test_fewer_prompts_wait",
    ),
    Proof(
        "copies of prefixes do not evict the last copies of others",
        "scheduling/prefix_fetch.py",
        "return SHARED_WEIGHT * self.seconds + share * self.prefill_seconds",
        "return SHARED_WEIGHT * self.seconds",
        f"{PREFIX_FETCH}.LoadTest.test_full_caches_keep_most_prefixes",
    ),
    Proof(
        "a prefix is fetched only once its source has prefilled it",
        "scheduling/prefix_fetch.py",
        "age >= READY_FACTOR * prefill_seconds(engine)",
        "True",
        f"{PREFIX_FETCH}.LoadTest",
    ),
    Proof(
        "a source whose fetches failed is left out",
        "scheduling/prefix_fetch.py",
        "        if self._results.has_failed_lately(instance, now):\n"
        "            return False\n",
        "",
        f"{PREFIX_FETCH}.SourceTest",
    ),
    Proof(
        "no caller names the source of a fetch",
        "platform/names.py",
        "        KV_FETCH,\n",
        "",
        "test_request_prefix_fetch.PrefillTest",
    ),
    Proof(
        "a prefill with a fetch is no sample of an engine's speed",
        "request/relay.py",
        "            self._record_fetch(placement, seconds)\n            return\n",
        "            self._record_fetch(placement, seconds)\n",
        "test_request_prefix_fetch.PrefillTest",
    ),
    Proof(
        "a native completion that outlasts the shutdown is answered",
        "request/completion.py",
        "with scope, self._deps.shutdown.bounding(scope):",
        "with scope:",
        "test_shutdown.ResponseTest",
    ),
    Proof(
        "a retryable call that outlasts the shutdown is answered",
        "request/service_call.py",
        "with scope, self._deps.shutdown.bounding(scope):",
        "with scope:",
        "test_shutdown.LookupTest",
    ),
    Proof(
        "no confirmation is sent that would outlast the host",
        "application.py",
        "self.last_sends.begin(seconds - send_margin_seconds)",
        "self.last_sends.begin(seconds)",
        "test_shutdown.ConfirmationTest",
    ),
    Proof(
        "a confirmation's response is not awaited beyond the host's end",
        "application.py",
        "        self.last_responses.begin(seconds - RECORD_TIMEOUT_SECONDS)\n",
        "",
        "test_shutdown.ConfirmationTest",
    ),
    Proof(
        "a silent engine is awaited until the call's deadline",
        "request/engine_attempt.py",
        "limit.restart(max(seconds, self.patient_until() - now))",
        "limit.restart(seconds)",
        "test_native_silent_targets.SilentEnginesTest",
    ),
    Proof(
        "an engine that goes on cancels the attempts beside it",
        "request/completion_attempt.py",
        "            await self.begin_answer()\n",
        "",
        "test_native_silent_targets.SilentEnginesTest",
    ),
    Proof(
        "a service is awaited until the caller's deadline",
        "request/service_sender.py",
        "max(self.timeout_seconds, call.deadline - self.clock.monotonic())",
        "self.timeout_seconds",
        "test_native_silent_targets.SilentServicesTest",
    ),
    Proof(
        "a shutdown of the native API waits for last requests",
        "application.py",
        "        await self.server.wait_until_idle(0)\n",
        "",
        "test_shutdown.LastRequestTest",
    ),
    Proof(
        "a lease is released after the poll in progress",
        "process/control/pool_loop.py",
        "        async with self._pass_lock:\n            while self._sending:",
        "        if True:\n            while self._sending:",
        "test_shutdown.LeaseHolderTest.test_lease_is_released_at_any_point_of_its_loop",
    ),
    Proof(
        "a shutdown waits for the order in flight",
        "process/control/pool_loop.py",
        "while self._sending:",
        "while False:",
        "test_shutdown.LeaseHolderTest.test_pending_order_is_resolved_before_exit",
    ),
    Proof(
        "orders of a dead sender are resolved by its successor",
        "process/control/pool_loop.py",
        "return self._parts.members.is_replaced(host_of(incarnation), incarnation)",
        "return False",
        "test_shutdown.LeaseHolderTest."
        "test_order_of_killed_host_is_resolved_by_lease_successor",
    ),
    Proof(
        "a request that crashed replicas is quarantined",
        "request/relay.py",
        "        self._check_allowed()\n        if not self._out.is_resumable:",
        "        if not self._out.is_resumable:",
        "test_entry_crashing_requests.AllRouteKindsTest",
    ),
    Proof(
        "the quarantine is checked again between prefill and decode",
        "request/relay.py",
        "            # Another attempt of this request may have crashed a replica"
        " meanwhile.\n"
        "            self._check_allowed()\n",
        "",
        f"{KEYS}.KeyChangeTest.test_a_waiting_request_is_authenticated_again",
    ),
    Proof(
        "crashes of two replicas are enough for quarantine",
        "process/quarantine/crash_record.py",
        "if self.crash_count >= MIN_SUSPECT_CRASHES:",
        "if False:",
        "test_quarantine.ThresholdTest",
    ),
    Proof(
        "hosts send each other their replica crashes",
        "process/gossip/protocol.py",
        "        sources.quarantine.merge(digest.crashes, digest.finished, now, "
        "is_own_domain)\n",
        "",
        "test_quarantine_spread.PropagationTest",
    ),
    Proof(
        "quarantined requests are announced again",
        "process/quarantine/crash_gossip.py",
        "if now - self._resent_at >= RESEND_SECONDS:",
        "if False:",
        "test_quarantine_spread.PropagationTest.test_a_restarted_host_learns_of_it",
    ),
    Proof(
        "a collector forwards the crashes that its hosts saw",
        "process/gossip/protocol.py",
        "return digest.domain == self._sources.domain\n\n    def _origin",
        "return False\n\n    def _origin",
        "test_quarantine_spread.PropagationTest.test_all_hosts_learn_in_half_of_the_allowed_time",
    ),
    Proof(
        "a request that completes is cleared",
        "process/quarantine/quarantine.py",
        "        if self._remove(request):\n"
        "            self._gossip.add_completion(request, now, is_own_domain)\n",
        "",
        "test_quarantine.FalseSuspicionTest.test_completed_request_is_cleared",
    ),
    Proof(
        "reports older than a completion are ignored",
        "process/quarantine/quarantine.py",
        "if is_expired or self._completed_recently(report.request, now):",
        "if is_expired:",
        "test_quarantine_spread.PropagationTest.test_completed_request_is_cleared_at_all_hosts",
    ),
    Proof(
        "a recently completed request is not suspected",
        "process/quarantine/quarantine.py",
        "        if self._completed_recently(request, now):\n            return 0\n",
        "",
        "test_quarantine.FalseSuspicionTest."
        "test_recently_completed_request_is_not_suspected",
    ),
    Proof(
        "crashes are counted by prompt block",
        "request/crash_watch.py",
        "        self._check_blocks(now)\n",
        "",
        "test_entry_crash_blocks.CrashBlockTest.test_two_such_blocks_are_not_sent_forever",
    ),
    Proof(
        "a completion clears a block",
        BLOCKS,
        "        self._remove(block)\n        for target, crash in later.items():",
        "        for target, crash in later.items():",
        f"{BLOCK_TESTS}.BlameTest.test_completion_clears_a_block",
    ),
    Proof(
        "common blocks of replicas lost together are not held",
        BLOCKS,
        "if not record.had_completed(COMPLETED_SECONDS):\n            return True",
        "if True:\n            return True",
        f"{BLOCK_TESTS}.BlameTest"
        ".test_common_block_of_replicas_lost_together_is_not_held",
    ),
    Proof(
        "a block that breaks as often as others is not held",
        BLOCKS,
        "            and record.coincidence(self._ended) <= MAX_COINCIDENCE\n",
        "",
        f"{BLOCK_TESTS}.BlameTest"
        ".test_common_block_is_not_held_while_all_replicas_are_gone",
    ),
    Proof(
        "blocks whose crashes others explain are let go",
        BLOCKS,
        " or targets <= explained",
        "",
        f"{BLOCK_TESTS}.BlameTest.test_companion_is_let_go_once_the_cause_shows",
    ),
    Proof(
        "a block that no other needs explains no crash",
        "process/quarantine/blame.py",
        "(len(targets) > own or other in self._needed)",
        "len(targets) > own",
        f"{BLOCK_TESTS}.BlameTest.test_companion_of_two_causes_is_let_go",
    ),
    Proof(
        "a prompt that was decoded for long is not the cause",
        BLOCKS,
        "if decoded_seconds >= SOUND_DECODING_SECONDS:",
        "if False:",
        f"{BLOCK_TESTS}.BlameTest"
        ".test_prompt_that_was_being_decoded_for_long_is_not_the_cause",
    ),
    Proof(
        "one customer's crashes hold no block of another",
        "process/quarantine/block_record.py",
        "if len(customers) >= MIN_CUSTOMERS:",
        "if customers:",
        f"{BLOCK_TESTS}.CustomerTest"
        ".test_customer_cannot_have_the_prompts_of_another_refused",
    ),
    Proof(
        "a held block is tried by one request",
        BLOCKS,
        "        if trial is not None and now - trial.at < TRIAL_SECONDS:\n"
        "            return False\n",
        "",
        f"{BLOCK_TESTS}.TrialTest.test_one_request_is_let_through",
    ),
    Proof(
        "hosts join in a trial one after the other",
        BLOCKS,
        "        if self.trial_rank(block) >= 2**steps:\n            return False\n",
        "",
        f"{BLOCK_TESTS}.TrialTest.test_hosts_join_in_one_after_the_other",
    ),
    Proof(
        "sound blocks evict no held one",
        BLOCKS,
        "self._remove(self._least_important())",
        "self._remove(next(iter(self._candidates)))",
        f"{BLOCK_TESTS}.BoundsTest.test_flood_of_blocks_evicts_no_held_one",
    ),
    Proof(
        "a host that saw a block complete answers a report of it",
        BLOCKS,
        "and self._may_answer(block, now):",
        "and False:",
        f"{BLOCK_TESTS}.ExchangeTest.test_host_that_saw_it_complete_answers_a_report",
    ),
    Proof(
        "held blocks outlast all hosts",
        BLOCKS,
        "                self.row_queue.put(",
        "                max(",
        f"{BLOCK_TESTS}.StoreTest.test_host_that_starts_reads_the_held_blocks",
    ),
    Proof(
        "a stream that ends without an event is broken off",
        "request/replica_exchange.py",
        "if answer.ends_with_connection and not has_events:",
        "if False:",
        "test_request_unframed_streams.UnframedStreamTest"
        ".test_stream_that_broke_off_does_not_look_complete",
    ),
    Proof(
        "no other host is asked about a full replica",
        DIALER,
        "        if self._is_full(opening.request.instance):\n"
        "            return False\n",
        "",
        f"{CONCLUSIONS}.test_full_replica_gets_no_further_connections",
    ),
    Proof(
        "the path to a full replica is not checked",
        DIALER,
        "if is_paused or self._is_full(instance):",
        "if is_paused:",
        f"{CONCLUSIONS}.test_full_replica_gets_no_further_connections",
    ),
    Proof(
        "a replica that accepts a new connection has not crashed",
        "request/crash_watch.py",
        "        if is_alive:\n"
        "            self._quarantine.record_reconnect(instance, now)\n",
        "        if is_alive:\n            pass\n",
        "test_entry_crashing_requests.FalseSuspicionTest."
        "test_a_caller_whose_connections_are_reset_is_served",
    ),
    Proof(
        "failures on a draining replica raise no suspicion",
        "request/routed_crash_watch.py",
        "self.fingerprint is None or self._deps.replicas.is_leaving(replica)",
        "self.fingerprint is None",
        "test_entry_crashing_requests.FalseSuspicionTest."
        "test_a_stream_on_a_leaving_replica_is_not_suspect",
    ),
    Proof(
        "harmless requests do not evict quarantined ones",
        "process/quarantine/quarantine.py",
        "(self._quarantined if is_quarantined else self._observed)[request] = record",
        "self._observed[request] = record",
        "test_quarantine.MemoryBoundTest.test_harmless_requests_do_not_evict_quarantined_ones",
    ),
    Proof(
        "fingerprints are hashed under the hosts' shared key",
        "request/fingerprint.py",
        "key=self._key",
        'key=b""',
        "test_request_fingerprint.FingerprintTest."
        "test_fingerprints_cannot_be_predicted_without_the_key",
    ),
    Proof(
        "the store keeps the quarantine when all hosts restart",
        "process/quarantine/quarantine.py",
        "        self._queue_rows(request)\n",
        "",
        "test_quarantine_loop.QuarantineLoopTest."
        "test_quarantine_survives_a_restart_of_all_hosts",
    ),
    Proof(
        "a native call that crashed targets is quarantined",
        "request/completion.py",
        "            if not self._is_allowed():\n                return None\n",
        "",
        "test_crashing_calls.CrashingCompletionTest",
    ),
    Proof(
        "a confirmation that crashed replicas is quarantined",
        "request/service_call.py",
        "        return self._deps.sender.quarantine_refusal(watch)\n",
        "        return None\n",
        "test_crashing_calls.CrashingPlainCallTest."
        "test_a_confirmation_under_a_new_key_each_time",
    ),
    Proof(
        "a key is released only after its caller was answered",
        "request/service_call.py",
        "            await answered.wait()\n",
        "",
        "test_confirmations.KeyReleaseTest",
    ),
    Proof(
        "a call that did not run is answered before its key is abandoned",
        "request/confirmation.py",
        "        self.record = self.row(RowState.ABANDONED)\n"
        "        self._end(Outcome.NOT_RUN, reason)\n",
        "        self._record(RowState.ABANDONED, Outcome.NOT_RUN, reason)\n",
        "test_confirmations.KeyReleaseTest."
        "test_key_taken_over_before_its_first_caller_is_answered",
    ),
    Proof(
        "a replica's status does not promise that a booking was not run",
        "request/replica_exchange.py",
        "        if head.status in NOT_RUN_STATUSES and not self._route.repeatable:\n",
        "        if False:\n",
        "test_request_relay.NotRunTest."
        "test_error_of_a_booking_that_ran_is_not_forwarded_as_not_run",
    ),
    Proof(
        "a request that was forwarded is not refused as not run",
        "connection/server_connection.py",
        "            result.rejected.may_have_run = req.body_stream.is_forwarded\n",
        "",
        "test_request_bodies.BrokenBodyTest",
    ),
    Proof(
        "a key that is not looked up is not reported as not run",
        "request/native_handler.py",
        "    if has_key and not _is_idempotent(method, headers):\n"
        "        return Outcome.UNKNOWN\n",
        "",
        "test_native_handler.NativeHandlerTest",
    ),
    Proof(
        "a refused call leaves no row",
        "request/key_row.py",
        "        if self._state.leaves_no_row:\n"
        "            return Write(self._key, delete=True)\n",
        "",
        "test_confirmations.KeyReleaseTest.test_refusal_at_admission_leaves_no_row",
    ),
    Proof(
        "a request that was resent may have run",
        "connection/http_client.py",
        "        except ConnectFailedError as exc:\n"
        '            raise ConnectionBrokenError(f"not resent: {exc}") from exc\n',
        "        finally:\n            pass\n",
        "test_connection_targets.ResentRequestTest",
    ),
    Proof(
        "a feed continues only from a position of the same era",
        "process/directory/store_watch.py",
        "return position_era is None or position_era == era",
        "return True",
        "test_store_eras.FeedTest",
    ),
    Proof(
        "a store status of an earlier era is ignored",
        "process/directory/store_watch.py",
        "if era != status.replicas.era or self.eras.is_old(era):",
        "if False:",
        "test_directory_store_watch.StoreWatchTest.test_status_of_a_former_era_is_ignored",
    ),
    Proof(
        "a reused version number is accepted in a new era",
        "process/directory/route_holder.py",
        "return era > self._era and table != self.table",
        "return False",
        "test_store_eras.RouteTest",
    ),
    Proof(
        "a draining replica is not restored by an older copy",
        "process/directory/replica_tombstones.py",
        "elif replica.instance in self._draining:",
        "elif False:",
        f"{REPLICA_SET}.test_a_draining_replica_stays_unused_when_a_copy_lists_it_as_ready",
    ),
    Proof(
        "a removed replica is not restored by an older copy",
        "process/directory/replica_tombstones.py",
        "if former is None or",
        "if True or",
        "test_store_eras.ReplicaTest",
    ),
    Proof(
        "entries missing from an older copy get time to be rewritten",
        "process/directory/replica_set.py",
        "            self._store_recovered_at = now\n        self._era = era",
        "            pass\n        self._era = era",
        "test_store_eras.ReplicaTest",
    ),
    Proof(
        "no host takes a lease whose row may be lost",
        "process/leader_tasks/leader_lease.py",
        "if seconds_left <= 0 or not self._may_be_lost(row):",
        "if True:",
        "test_leader_lease.LeaderLeaseTest",
    ),
    Proof(
        "a lease holder gives up its lease in a new era",
        "process/leader_tasks/leader_lease.py",
        "return None if self._eras.is_old(grant.era) else grant",
        "return grant",
        "test_leader_lease.LeaderLeaseTest",
    ),
    Proof(
        "a write that spans a restore of the store grants no lease",
        "process/leader_tasks/leader_lease.py",
        "if granted.era != row.era:",
        "if False:",
        "test_leader_lease.LeaderLeaseTest",
    ),
    Proof(
        "fencing tokens increase across eras",
        "process/leader_tasks/leader_lease.py",
        "granted.era << REVISION_BITS | granted.revision",
        "int(granted.revision)",
        "test_leader_lease.LeaderLeaseTest",
    ),
    Proof(
        "hosts agree on one key after a restore of the store",
        "process/gossip/load_loop.py",
        "            if found != key:\n                return found",
        "            pass",
        "test_store_eras_hosts.LostRowsTest",
    ),
    Proof(
        "every call to a replica passes the gate",
        "connection/target_client.py",
        "        admitted_at = self._gate.admit(out.instance, out.limit_exempt)\n",
        "        admitted_at = 0.0\n",
        REPLICA_GATE,
    ),
    Proof(
        "the head of every response is processed",
        "connection/target_response.py",
        "        self._on_head(self.status, self.headers)\n",
        "",
        f"{LIMITS}.SomeLimitedTest.test_all_hosts_together_keep_a_replicas_limit",
    ),
    Proof(
        "a response of another replica has no effect",
        "platform/codec.py",
        "        if status == STATUS_WRONG_INSTANCE:\n            return None\n",
        "",
        f"{LIMITS}.LiftedTest.test_response_of_another_replica_sets_no_limit",
    ),
    Proof(
        "hosts share a replica's rate limit",
        "process/targets/limit_shares.py",
        "            return LimitShare(MAIN_SENDERS_FRACTION / count, True)\n",
        "            return LimitShare(1.0, True)\n",
        RATES,
    ),
    Proof(
        "hosts without a share accumulate no send slots",
        "process/targets/rate_limits.py",
        "if now > limit.slot_expires_at:",
        "if False:",
        RATES,
    ),
    Proof(
        "a response to an older request lifts no limit",
        "process/targets/rate_limits.py",
        "if limit is None or sent_at <= limit.confirmed_at:",
        "if limit is None:",
        RATES,
    ),
    Proof(
        "placement skips throttled replicas",
        "request/replica_selector.py",
        "        throttled = self._deps.throttle.blocked(self._now())\n"
        "        excluded",
        "        throttled = []\n        excluded",
        f"{LIMITS}.AllLimitedTest.test_no_prefill_without_a_decode_engine",
    ),
    Proof(
        "a throttled engine's send slot is held during prefill",
        "request/relay.py",
        "            self._choice.reserve(placement.target.instance)\n",
        "",
        f"{LIMITS}.AllLimitedTest.test_no_prefill_without_a_decode_engine",
    ),
    Proof(
        "prefill engines take over from throttled decode engines",
        "process/leader_tasks/phase_loop.py",
        "if not self._is_limited(rep.instance)",
        "if True",
        f"{LIMITS}.PrefillEnginesTest",
    ),
    Proof(
        "an engine that takes over streams is up before another leaves",
        "process/leader_tasks/phase_planner.py",
        "        if remaining < targets.decode_capacity or "
        "count <= targets.decode_engines:\n            continue\n",
        "",
        f"{PHASES}.SwapTest",
    ),
    Proof(
        "an engine that is still changing to decode does not count",
        "process/leader_tasks/phase_planner.py",
        "if rep.phase is EnginePhase.DECODE and rep.instance not in pool.changing",
        "if rep.phase is EnginePhase.DECODE",
        f"{PHASES}.FailureTest.test_lost_orders_cost_no_decode_capacity",
    ),
    Proof(
        "engines that are not clearly slower are not swapped",
        "scheduling/phase_split.py",
        "            and self._factors[rep.instance] >= CLEAR_RATIO * fastest\n",
        "",
        f"{SPLIT}.test_a_late_engine_in_excess_is_as_good_as_the_others",
    ),
    Proof(
        "engines are replaced only by clearly faster ones",
        "scheduling/phase_split.py",
        "(self._factors[rep.instance] for rep in misplaced) / CLEAR_RATIO",
        "(self._factors[rep.instance] for rep in misplaced)",
        f"{SPLIT}.test_replacements_are_clearly_faster",
    ),
    Proof(
        "a factor counts once it has lasted",
        "scheduling/phase_split.py",
        "self._factors[instance] = statistics.median(value for _, value in samples)",
        "self._factors[instance] = factor",
        f"{PHASES}.StabilityTest.test_a_slow_spell_of_many_engines_orders_nothing",
    ),
    Proof(
        "a host that has just started awaits the engines' speeds",
        "process/leader_tasks/phase_planner.py",
        "        return self._split.is_learning(now)\n",
        "        return False\n",
        f"{PHASES}.FailureTest.test_new_hosts_order_nothing",
    ),
    Proof(
        "the end of a limit is sent to all hosts",
        "process/targets/throttle.py",
        "            self._gossip.record_own(target_hash(instance), None, now)\n",
        "            pass\n",
        "test_targets_limit_gossip.PropagationTest",
    ),
    Proof(
        "a replica's own draining notice is respected",
        "request/replica_gate.py",
        "if control.draining and",
        "if False and",
        DRAINING,
    ),
    Proof(
        "the retry delay of a refusal is respected",
        "process/targets/throttle.py",
        "        if control.retry_after > 0:\n",
        "        if False:\n",
        BACKOFF,
    ),
    Proof(
        "the first response to either feed ends an outage",
        "process/directory/directory_loop.py",
        "            self._replicas.mark_store_answered(self._clock.monotonic())\n",
        "",
        "test_gossip_collectors.FeedReaderTest."
        "test_replica_removed_long_after_an_outage_gets_no_work",
    ),
    Proof(
        "a load header that states the time of work is read",
        "platform/codec.py",
        "    if len(figures) < LOAD_FIGURES:\n",
        "    if len(figures) != LOAD_FIGURES:\n",
        "test_platform_adapter.ResponseHeadTest.test_load_may_state_the_time_of_work",
    ),
    Proof(
        "a disturbed fast engine is not taken for a slow one",
        "process/targets/speed_estimates.py",
        "quantile([each for _, each in self._spaced], LASTING_QUANTILE)",
        "factor",
        f"{SPEEDS}.StatedSpeedTest.test_speeds_are_told_apart_from_disturbances",
    ),
    Proof(
        "a statement is bounded by what responses show",
        "process/targets/speed_estimates.py",
        "min(max(stated, low / BOUND_FACTOR), high * BOUND_FACTOR)",
        "stated",
        f"{SPEEDS}.StatedSpeedTest.test_statement_that_responses_contradict_is_bounded",
    ),
    Proof(
        "a slowdown is noticed at once when the newest prefills agree",
        "process/targets/speed_estimates.py",
        "    if min(newest) > CHANGE_FACTOR * found:\n",
        "    if False:\n",
        f"{SPEEDS}.LearnedSpeedTest.test_slowdown_is_noticed_when_it_begins_and_ends",
    ),
    Proof(
        "an engine avoided for its gaps is tried again",
        "process/targets/speed_estimates.py",
        "now - self._gaps[0][0] > GAP_SECONDS",
        "False",
        f"{SPEEDS}.EventGapTest.test_engine_that_was_avoided_is_tried_again",
    ),
    Proof(
        "hosts learn replicas' speeds from each other",
        "process/gossip/protocol.py",
        "        sources.replica_speeds.apply_updates("
        "digest.speeds, now, self._origin(digest))\n",
        "",
        "test_gossip_collectors.ReplicaSpeedsTest"
        ".test_each_host_knows_all_engines_within_seconds",
    ),
    Proof(
        "speeds are recorded only where the feature is used",
        "process/targets/replica_speeds.py",
        "        if gap > 0 and self._is_used(replica.service):\n",
        "        if gap > 0:\n",
        "test_entry_replica_speeds.StatedSpeedTest"
        ".test_nothing_changes_where_nothing_is_stated",
    ),
    Proof(
        "streams avoid engines at which the gap between events would be too long",
        "scheduling/placement.py",
        "            cost += gap_cost(gap, event_gap_seconds)\n",
        "",
        f"{PACING}.GapLimitTest.test_a_busier_engine_within_the_limit_is_chosen",
    ),
    Proof(
        "an engine whose learned gap has aged gets streams again host by host",
        "scheduling/decode_pacing.py",
        "            if now - last[1] < turn:\n",
        "            if False:\n",
        f"{PACING}.AgedGapTest.test_not_all_hosts_return_at_once",
    ),
    Proof(
        "a prompt that would delay streams too long is not prefilled between them",
        "scheduling/placement.py",
        "direct.seconds + direct.stall_cost < remote_seconds",
        "direct.seconds < remote_seconds",
        f"{PACING}.DirectPrefillTest",
    ),
    Proof(
        "hosts don't crowd the same fast decode engines",
        "scheduling/decode_sample.py",
        "        if weights is None or (",
        "        if True or (",
        "test_scheduling_two_speeds.CrowdingTest",
    ),
    Proof(
        "predicted times use the replica's factor",
        "scheduling/used_capacity.py",
        "        return self._capacity.time_factor(replica, now)\n",
        "        return 1.0\n",
        f"{WEIGHTS}.PrefillTest",
    ),
    Proof(
        "no weight changes while a factor varies a little",
        "scheduling/capacity_weights.py",
        "abs(exact - previous) < KEEP_STEPS",
        "False",
        f"{WEIGHTS}.StepsTest.test_a_weight_stays_while_a_factor_varies_a_little",
    ),
    Proof(
        "a replica that is gone is suspected while the store is lost",
        "process/directory/suspected_gone.py",
        "        self._suspects[instance] = now\n",
        "",
        f"{SUSPECTS}.EntryTest",
    ),
    Proof(
        "a read ends the suspicion of a replica",
        "process/directory/suspected_gone.py",
        "        self._suspects.clear()\n",
        "",
        f"{SUSPECTS}.SuspectedGoneTest",
    ),
    Proof(
        "engines of a phase are not all suspected",
        "process/directory/suspected_gone.py",
        "            or (rep.phase is EnginePhase.PREFILL) not in kept_phases\n",
        "",
        f"{SUSPECTS}.SuspectedGoneTest",
    ),
    Proof(
        "hosts that the store turns away learn of replicas from others",
        "process/directory/directory_loop.py",
        "        self._updates.subscribe(self._apply_links)\n",
        "",
        f"{CUT_OFF}.CutOffHostTest",
    ),
    Proof(
        "received changes must continue the list",
        "process/directory/replica_updates.py",
        "            if to <= known.until or not start.overlaps(known):\n",
        "            if to <= known.until or start.era != known.era:\n",
        f"{UPDATES}.HistoryTest",
    ),
    Proof(
        "received changes are valid in their era only",
        "messages/replica_updates.py",
        "        if self.era != other.era:\n",
        "        if False:\n",
        f"{UPDATES}.HistoryTest",
    ),
    Proof(
        "received changes are applied whole",
        "process/directory/replica_updates.py",
        "            if len(incoming.pieces) == count:\n",
        "            if len(incoming.pieces) >= 1:\n",
        f"{UPDATES}.ReceivingTest",
    ),
    Proof(
        "entries are compared with those that the store listed before",
        "process/directory/replica_updates.py",
        "        return self._rows_at == (start.era, start.since)\n",
        "        return True\n",
        f"{UPDATES}.SendingTest",
    ),
    Proof(
        "received changes don't make a list look fresh",
        "process/directory/store_watch.py",
        "        return max(0.0, self.clock.age(status.store_ms))\n",
        "        return 0.0\n",
        f"{UPDATES}.FreshnessTest",
    ),
    Proof(
        "an answer that received changes overtook is not used",
        "process/directory/store_watch.py",
        "        return received is not None and revision < received\n",
        "        return False\n",
        f"{UPDATES}.FreshnessTest",
    ),
    Proof(
        "revisions that heartbeats may have changed aren't compared",
        "process/directory/replica_set.py",
        "        if replica.revision <= self._revisions_known_after:\n",
        "        if False:\n",
        f"{UPDATES}.FreshnessTest",
    ),
    Proof(
        "a lost handle is not offered to a second decode engine",
        "scheduling/handle_policy.py",
        "    return Refusal.HANDLE_GONE\n",
        "    return Refusal.DECODE_ENGINE\n",
        f"{LOST_HANDLES}.LostHandlesTest",
    ),
    Proof(
        "a full decode engine is not taken for a lost handle",
        "scheduling/handle_policy.py",
        "    if is_full or refused.is_leaving or refuses_all:\n",
        "    if False:\n",
        f"{LOST_HANDLES}.RefusalTest",
    ),
    Proof(
        "prompts avoid engines that lose their handles",
        "scheduling/handle_policy.py",
        "    return [rep.instance for rep in found if rep is not None]\n",
        "    return []\n",
        f"{LOST_HANDLES}.LostHandlesTest",
    ),
    Proof(
        "a handle of an engine that is leaving is not offered",
        "scheduling/handle_policy.py",
        "    if offer.is_leaving:\n",
        "    if False:\n",
        f"{LOST_HANDLES}.RefusalTest",
    ),
    Proof(
        "the retry budget's last send is not spent on a doubtful handle",
        "scheduling/handle_policy.py",
        "price = SEND_SECONDS if offer.may_retry else LAST_SEND_SECONDS",
        "price = SEND_SECONDS",
        "test_scheduling_handle_policy.OfferTest",
    ),
    Proof(
        "lost handles are sent to the other hosts",
        "process/gossip/digest_builder.py",
        "sources.handle_losses.counts_to_send(scope, now)",
        "()",
        "test_targets_handle_losses.ManyHostsTest",
    ),
    Proof(
        "a repeated digest does not renew a blame",
        "process/targets/handle_losses.py",
        "digest.sequence <= known.sequence",
        "False",
        "test_targets_handle_losses.SharedLossesTest",
    ),
    Proof(
        "untracked services offer handles as before",
        "request/handle_offers.py",
        "deps.features.uses(Feature.HANDLE_TRACKING, service)",
        "True",
        f"{LOST_HANDLES}.UntrackedTest",
    ),
    Proof(
        "hosts know of each other's prompts before they place one",
        "process/queues/queue_loop.py",
        "            self._deps.view.record("
        "queue.target, queue.tokens, message.complete, now)\n",
        "            pass\n",
        "test_queues.QueueLoopTest.test_a_prompt_is_known_to_others_within_milliseconds",
    ),
    Proof(
        "a registrar that does not answer is not asked again at once",
        "process/queues/queue_loop.py",
        "                self._registrars.suspect(host, now)\n",
        "                pass\n",
        "test_queues.QueueLoopTest.test_a_lost_registrar_delays_one_decision_only",
    ),
    Proof(
        "a prefill whose end is not announced is forgotten",
        "process/queues/queue_register.py",
        "            if now - prefill.opened_at < OPEN_SECONDS:\n",
        "            if True:\n",
        "test_queues.QueueRegisterTest.test_a_lost_notice_of_an_end_is_forgotten",
    ),
    Proof(
        "a register that has just started only adds",
        "process/queues/queue_view.py",
        "        if complete:\n",
        "        if True:\n",
        "test_queues.QueueViewTest.test_an_incomplete_report_only_adds",
    ),
    Proof(
        "the excess of one customer's burst waits behind the others",
        "scheduling/fair_share.py",
        "return 1.0 - level / demand",
        "return 0.0",
        "test_scheduling_fair_share.LoadTest"
        ".test_burst_of_one_customer_does_not_delay_the_others",
    ),
    Proof(
        "demand is sent to the other hosts",
        "process/gossip/digest_builder.py",
        "sources.customer_demand.take_counts(scope, now)",
        "()",
        "test_targets_customer_demand.ManyHostsTest",
    ),
    Proof(
        "a stream that may have run is not refused as not run",
        "request/relay.py",
        "if found is RelayOutcome.NOT_RUN:\n            found = outcome",
        "found = outcome",
        "test_entry_fair_shares.RefusalTest",
    ),
    Proof(
        "services without fair shares keep their ranks",
        "request/queue_turn.py",
        "not queueing.uses(service)",
        "False",
        "test_entry_fair_shares.WaitingTest",
    ),
    Proof(
        "a replica that is not reached is reached through another host",
        DIALER,
        "            opening.hosts = self._hosts.candidates(now)[:max_hosts]\n",
        "            pass\n",
        f"{TUNNELLED}.test_long_body_arrives_whole",
    ),
    Proof(
        "native API: a target that is not reached is reached through another host",
        "application.py",
        "        ports.target_dial.set_dialer(paths.dialer)\n",
        "",
        "test_native_lost_paths",
    ),
    Proof(
        "connections that fell silent are not used again",
        "connection/target_client.py",
        "        if not self._dialer.may_reuse(out.address):\n",
        "        if False:\n",
        f"{TUNNELLED}.test_silent_connections_are_not_used_again",
    ),
    Proof(
        "a prompt at an engine that fell silent is prefilled elsewhere",
        "host_paths.py",
        "ReplicaPaths(self._addresses, deps.on_silent)",
        "ReplicaPaths(self._addresses)",
        f"{TUNNELLED}.test_prompt_at_a_silent_engine_is_prefilled_elsewhere",
    ),
    Proof(
        "tunnels are not pooled",
        "connection/target_client.py",
        "                and is_direct\n",
        "",
        f"{TUNNELLED}.test_tunnel_carries_one_request",
    ),
    Proof(
        "a leaving replica gets no tunnel",
        "host_paths.py",
        "            and not target.is_leaving\n",
        "",
        f"{TUNNELLED}.test_replica_that_leaves_gets_no_tunnel",
    ),
    Proof(
        "a stopping host opens no tunnel",
        "host_paths.py",
        "        if self._deps.is_stopping():\n",
        "        if False:\n",
        f"{TUNNELLED}.test_stopping_host_ends_what_it_carries",
    ),
    Proof(
        "a stopping host waits for its tunnels",
        "entry_application.py",
        "            await self.paths.tunnel_server.wait_until_idle()\n",
        "",
        f"{TUNNELLED}.test_stopping_host_ends_what_it_carries",
    ),
    Proof(
        "failures of a lost path are not told",
        DIALER,
        "        self._on_path_at_fault(request.instance)\n",
        "",
        f"{CONCLUSIONS}.test_other_hosts_hear_of_no_failures",
    ),
    Proof(
        "orders take no tunnel",
        "platform/engines.py",
        "            direct_only=True,\n",
        "",
        f"{CONCLUSIONS}.test_orders_take_no_tunnel",
    ),
    Proof(
        "a host that is cut off does not ask for the lease of orders",
        "entry_application.py",
        "self.is_stopping or self._is_cut_off_from(service)",
        "self.is_stopping",
        f"{CONCLUSIONS}.test_host_that_is_cut_off_gives_no_orders",
    ),
    Proof(
        "a replica that is gone is not asked for again and again",
        "process/paths/replica_paths.py",
        "        self._unreached_until[address] = now + UNREACHED_SECONDS\n",
        "",
        f"{CONCLUSIONS}.test_outage_of_all_replicas_is_no_lost_path",
    ),
    Proof(
        "two witnesses are enough for a replica that is gone",
        DIALER,
        "len(self.witnesses) >= min(MIN_WITNESSES, len(self.hosts) or 1)",
        "False",
        f"{CONCLUSIONS}.test_two_refused_hosts_are_enough",
    ),
    Proof(
        "a lost tunnel is no end of a response",
        "connection/tunnel_stream.py",
        '            raise trio.BrokenResourceError("the tunnel ended early")\n',
        "            data = END_FRAME\n",
        f"{TUNNELS}.test_host_that_dies_is_no_end_of_a_response",
    ),
    Proof(
        "a reset by the replica is no end of a response",
        TUNNEL_SERVER,
        "            return False\n        return True\n\n    async def _try_send",
        "            await self._stream.send_all(END_FRAME)\n"
        "        return True\n\n    async def _try_send",
        f"{TUNNELS}.test_reset_by_the_replica_is_no_end_of_a_response",
    ),
    Proof(
        "a closed tunnel closes the connection to the replica",
        TUNNEL_SERVER,
        '                data = b""\n        self._scope.cancel()\n',
        '                data = b""\n',
        f"{TUNNELS}.test_closed_tunnel_closes_the_connection_to_the_replica",
    ),
    Proof(
        "tunnels of a host are bounded",
        TUNNEL_SERVER,
        "        if self.open_count >= MAX_TUNNELS:\n",
        "        if False:\n",
        f"{TUNNELS}.test_tunnels_of_a_host_are_bounded",
    ),
    Proof(
        "a tunnel without bytes is closed",
        TUNNEL_SERVER,
        "        self._scope.deadline = trio.current_time() + IDLE_SECONDS\n",
        "        pass\n",
        f"{TUNNELS}.test_tunnel_without_bytes_is_closed",
    ),
    Proof(
        "a host that opened no tunnel is asked last",
        "process/paths/tunnel_hosts.py",
        "        self._avoid_until[host] = now + AVOID_SECONDS\n",
        "",
        "test_paths.TunnelHostsTest.test_hosts_that_failed_are_asked_again_later",
    ),
    Proof(
        "a started stream stays at its software version",
        "request/stream_binding.py",
        "            return pool.at_version(self.version)\n",
        "            return pool\n",
        f"{VERSIONS}.OneAnswerTest",
    ),
    Proof(
        "a stream that its caller resumes is bound before its first attempt",
        "request/routed_handler.py",
        "            await binding.resolve()\n",
        "            pass\n",
        f"{VERSIONS}.LaterTryTest",
    ),
    Proof(
        "holders are told what began a stream",
        "process/streams/origin_loop.py",
        "        return self._tell([StreamOrigin(stream, variant)], now)\n",
        "        return ()\n",
        f"{VERSIONS}.LaterTryTest",
    ),
    Proof(
        "open streams are told when a further version appears",
        "process/streams/origin_loop.py",
        "        self._tell(found, now)\n",
        "        del found\n",
        f"{VERSIONS}.WithoutRecordTest",
    ),
    Proof(
        "no version is guessed while several serve",
        "process/streams/origin_search.py",
        "        if any(reply.has_several for reply in (own, *replies)):\n",
        "        if False:\n",
        "test_stream_origins.OriginSearchTest",
    ),
    Proof(
        "a host goes by no list that the store did not confirm since",
        "process/streams/origin_search.py",
        "        if not self._is_confirmed:\n",
        "        if False:\n",
        f"{STALE}.JoinedStreamTest",
    ),
    Proof(
        "a past that another host tells reaches up to where the own one begins",
        "process/streams/origin_search.py",
        "reaches = reply.until >= own.known_from and reply.routes >= own.routes_from\n",
        "reaches = True\n",
        "test_stream_origins.OriginSearchTest",
    ),
    Proof(
        "changes that are not in the list yet count",
        "process/directory/version_check_loop.py",
        "            rep.version == version\n",
        "            True\n",
        f"{STALE}.JoinedStreamTest",
    ),
    Proof(
        "a full read forgets the past",
        "process/directory/version_history.py",
        "        self._known_since, self.known_from = now, revision\n",
        "        self.known_from = self.known_from or revision\n",
        f"{STALE}.JoinedStreamTest",
    ),
    Proof(
        "a version that came and left between two reads counts",
        "process/directory/replica_set.py",
        "        passed += changes.passed\n",
        "",
        f"{STALE}.JoinedStreamTest",
    ),
    Proof(
        "streams are told while the store is lost",
        "process/streams/origin_loop.py",
        "versions.is_store_lost() or ",
        "",
        f"{STALE}.SoleVersionTest",
    ),
    Proof(
        "open streams are told when the store is lost",
        "process/directory/replica_set.py",
        "            self._store_lost_at = now\n            self.on_uncertain()\n",
        "            self._store_lost_at = now\n",
        f"{STALE}.SoleVersionTest",
    ),
    Proof(
        "a host that has just started knows no past",
        "process/directory/version_history.py",
        "        return self._known_since is not None and "
        "now - self._known_since >= seconds\n",
        "        return True\n",
        "test_stream_origins.VersionHistoryTest",
    ),
    Proof(
        "a host that has just started knows no routes of before",
        "process/targets/route_history.py",
        "        return self._known_since is not None and "
        "now - self._known_since >= seconds\n",
        "        return True\n",
        "test_targets_route_history.RouteHistoryTest",
    ),
    Proof(
        "an id used at two versions names none",
        "process/streams/origin_records.py",
        "            variant = AMBIGUOUS\n",
        "            pass\n",
        "test_stream_origins.OriginRecordsTest",
    ),
    Proof(
        "a stream does not change its service with its route",
        "entry_application.py",
        "if self.route_history.has_gained(service, seconds, now):",
        "if False:",
        f"{VERSIONS}.WithoutRecordTest",
    ),
    Proof(
        "the service of a stream is not guessed among several",
        "request/stream_binding.py",
        "is_guess and self._is_split",
        "False",
        f"{FORMER_ROUTES}.test_split_route",
    ),
    Proof(
        "the two holders are in different failure domains",
        "process/streams/origin_holders.py",
        "            ranked.insert(1, second)\n",
        "            ranked.append(second)\n",
        "test_stream_origins.OriginHoldersTest",
    ),
    Proof(
        "a resumable stream does not begin at a lone version",
        "process/directory/pools.py",
        "            if rep.phase is EnginePhase.PREFILL or counts[rep.version] > 1\n",
        "            if True\n",
        "test_stream_origins.PoolTest",
    ),
    Proof(
        "bytes that are nested without end are malformed",
        "messages/json_decoding.py",
        "        if len(bytes(data)) > MAX_SIMPLIFIED_BYTES:\n",
        "        raise\n        if len(bytes(data)) > MAX_SIMPLIFIED_BYTES:\n",
        "test_foreign_bytes.ForeignRowTest",
    ),
    Proof(
        "a lease that can't be read is replaced only once nobody can hold it",
        "process/leader_tasks/leader_lease.py",
        "        if self._is_foreign(row):\n",
        "        if False:\n",
        "test_leader_lease.LeaderLeaseTest",
    ),
    Proof(
        "an address is IPv4 and a port",
        "platform/entries.py",
        "    if not is_endpoint(decoded.address):\n",
        "    if False:\n",
        "test_foreign_numbers.EntryTest",
    ),
    Proof(
        "a replica's limit stays finite between hosts",
        "platform/codec.py",
        "min(found, MAX_REQUESTS) if 0 <= found",
        "found if 0 <= found",
        "test_foreign_numbers.FlowControlTest",
    ),
    Proof(
        "a loop that fails starts again",
        "supervision.py",
        "            except Exception:\n",
        "            except ZeroDivisionError:\n",
        "test_supervision.RestartTest",
    ),
    Proof(
        "a message whose handler fails ends alone",
        "connection/peer_link.py",
        "            except Exception:\n",
        "            except ZeroDivisionError:\n",
        "test_supervision.MessageTest",
    ),
    Proof(
        "an error of a sending task ends its request alone",
        "connection/target_client.py",
        '        except Exception:\n            logger.exception("request not sent")\n',
        "        except ZeroDivisionError:\n            pass\n",
        "test_connection_two_tasks.SendErrorTest",
    ),
    Proof(
        "the sender keeps the state in which it began",
        "connection/http_client.py",
        "        writer = self.conn\n        self.conn = state_after_send(method)\n",
        "        writer = self.conn = state_after_send(method)\n",
        "test_connection_two_tasks.LateCopyTest",
    ),
    Proof(
        "a connection that another task has closed is not pooled",
        "connection/http_client.py",
        " or is_closed(self.stream)",
        "",
        "test_connection_two_tasks.ClosedByAnotherTaskTest",
    ),
    Proof(
        "whether a response has a body is forgotten with its request",
        "connection/server_connection.py",
        "            self.head, self.is_head_request = None, False\n",
        "            self.head = None\n",
        "test_entry_unusual_requests.MalformedAfterHeadTest",
    ),
    Proof(
        "a stream is not resumed where no id names its last event",
        "request/relay.py",
        "        if not self._out.is_resumable:\n            self.attempts",
        "        if False:\n            self.attempts",
        f"{RESUMED}.UnnumberedEventTest",
    ),
    Proof(
        "no attempt is made beside one whose last event no id names",
        "request/relay.py",
        "        if not self._out.is_resumable:\n            return None\n"
        '        self.no_hedge = "no budget"',
        '        self.no_hedge = "no budget"',
        f"{RESUMED}.UnnumberedEventTest.test_silent_engine_is_waited_for",
    ),
    Proof(
        "an id that repeats or goes back names no event",
        "request/response_stream.py",
        "last is None or is_later(event.id, last)",
        "True",
        f"{RESUMED}.UnnumberedEventTest.test_id_that_repeats_or_goes_back",
    ),
    Proof(
        "a replica that sends events again does not go on with a stream",
        "request/replica_exchange.py",
        "not is_later(first, self._after)",
        "False",
        f"{RESUMED}.WrongResumptionTest",
    ),
    Proof(
        "a stream does not end with a response of another status",
        "request/replica_exchange.py",
        "is_stream and self._out.is_other_status(head.status)",
        "False",
        f"{RESUMED}.EndOfResumedStreamTest",
    ),
    Proof(
        "lines of events may end with CR alone",
        "request/event_splitter.py",
        'rb"\\n\\r?\\n|\\r\\r"',
        'rb"\\n\\r?\\n"',
        "test_request_stream_bytes.LineEndTest",
    ),
    Proof(
        "CR alone ends no line of a stream that has a LF",
        "request/event_splitter.py",
        "self._has_line_feeds or b",
        "False and b",
        "test_request_stream_bytes.LineEndTest",
    ),
    Proof(
        "a stream that ends within an event is not complete",
        "request/replica_exchange.py",
        "        if splitter.buffered:\n",
        "        if False:\n",
        "test_request_stream_bytes.BreakTest.test_end_within_an_event_is_no_end",
    ),
    Proof(
        "a later process of a known host is believed at once",
        "process/gossip/protocol.py",
        "rec for rec in usable if self._hosts.learn(rec, now)",
        "rec for rec in usable if False",
        f"{MOVED}.MovedHostTest",
    ),
    Proof(
        "an older row of a host does not replace a newer one",
        "process/gossip/host_list.py",
        "known if is_older else rec",
        "rec",
        f"{MOVED}.HostListTest",
    ),
    Proof(
        "a host's row is written again after a late write of an earlier process",
        "process/gossip/load_loop.py",
        "        if own is None or own.is_older_than(self._own):\n",
        "        if False:\n",
        f"{MOVED}.MovedHostTest",
    ),
    Proof(
        "a late write of a host's row finds another revision",
        "platform/own_tables.py",
        "            [RowCondition(table, name, revision)],\n"
        "            [RowWrite(table, name, msgspec.json.encode(joined))],\n",
        "            [],\n"
        "            [RowWrite(table, name, msgspec.json.encode(joined))],\n",
        "test_platform_store.RowsTest",
    ),
    Proof(
        "a host's first digests are sent several times",
        "process/gossip/protocol.py",
        "ANNOUNCEMENTS = 5\n",
        "ANNOUNCEMENTS = 1\n",
        f"{MOVED}.MovedHostTest",
    ),
    Proof(
        "a reply on a stream's origin goes to the address that the query names",
        "process/streams/origin_loop.py",
        "message.address or self._listed_address(",
        "self._listed_address(",
        "test_entry_moved_hosts.MovedHostTest",
    ),
    Proof(
        "a reply on engines' queues goes to the address that the query names",
        "process/queues/queue_loop.py",
        "message.address or self._listed_address(",
        "self._listed_address(",
        "test_queues.QueueLoopTest",
    ),
    Proof(
        "a collector forwards the records of hosts that have moved",
        "process/gossip/protocol.py",
        "            self._sources.host_updates.add(rec, self._origin(digest), now)\n",
        "            pass\n",
        f"{MOVED}.MovedHostTest",
    ),
    Proof(
        "a new collector forwards the records that it read",
        "process/gossip/protocol.py",
        "                self._sources.host_updates.add_read(rec, now)\n",
        "                pass\n",
        f"{MOVED}.MovedHostTest",
    ),
    Proof(
        "records are forwarded twice",
        "process/gossip/host_updates.py",
        "TIMES_FORWARDED = 2\n",
        "TIMES_FORWARDED = 1\n",
        f"{MOVED}.HostUpdatesTest",
    ),
    Proof(
        "records that all hosts have read are not forwarded",
        "process/gossip/host_updates.py",
        "        if own.joined_ms - record.joined_ms < READ_BY_ALL_SECONDS * 1000:\n",
        "        if True:\n",
        f"{MOVED}.HostUpdatesTest",
    ),
    Proof(
        "a stream may last as long as the route allowed by which it began",
        "request/stream_binding.py",
        "if ago < seconds",
        "if False",
        f"{FORMER_ROUTES}.test_timeout_that_is_shortened",
    ),
    Proof(
        "streams of another service may move to a service by any route",
        "entry_application.py",
        "if self.route_history.has_gained(service, seconds, now):",
        "if False:",
        "test_entry_former_routes",
    ),
    Proof(
        "replicas may serve for a while after their entries are gone",
        "entry_application.py",
        "max(seconds, KEEP_SECONDS)",
        "seconds",
        "test_entry_former_routes.OldListTest",
    ),
    Proof(
        "an attempt that answers ends one that has read half an event",
        "request/open_attempts.py",
        "            if other is not attempt:\n                scope.cancel()\n",
        "            pass\n",
        f"{MOMENTS}.HalfReadChunkTest",
    ),
    Proof(
        "a run ends with the connection of its caller, who may have come back",
        "connection/server_connection.py",
        "        self.write_scope.cancel()\n        scope.cancel()\n",
        "        self.write_scope.cancel()\n",
        f"{MOMENTS}.ComesBackTest",
    ),
    Proof(
        "a stream goes on only where its route allows that now",
        "request/stream_binding.py",
        "self._req.resume_after and not self._route.resumable",
        "False",
        f"{MOMENTS}.ChangedRouteTest",
    ),
    Proof(
        "a stream goes on only with the weights that its head names",
        "request/relay.py",
        "weights=self._expected_weights",
        "weights=None",
        "test_entry_stream_weights",
    ),
    Proof(
        "the weights of a stream may change amid it",
        "request/replica_exchange.py",
        "            if weights is not None:\n",
        "            if False:\n",
        "test_entry_stream_weights",
    ),
    Proof(
        "streams are resumed in order, whatever replicas send",
        "request/replica_exchange.py",
        "not is_later(first, self._after)",
        "False",
        f"{MOMENTS}.StormTest",
    ),
    Proof(
        "partitioned hosts share the burst of retries",
        "process/gossip/load_loop.py",
        "return max(known, most)",
        "return known",
        f"{LIMITS}.SharingHostsTest.test_partitioned_host_shares_the_retry_budget",
    ),
    Proof(
        "a partitioned host leaves usage reports to the others",
        "process/usage/usage_loop.py",
        "self._has_counts_of(window) or window in self._due_at(MAX_RANK)",
        "True",
        f"{USAGE}.UsageLoopTest",
    ),
    Proof(
        "hosts that are left after a loss report usage",
        "process/usage/usage_loop.py",
        " or window in self._due_at(MAX_RANK)",
        "",
        f"{USAGE}.UsageLoopTest.test_hosts_that_are_left_report_in_time",
    ),
    Proof(
        "hosts of other domains count where collectors tell of them",
        "process/gossip/peer_loads.py",
        "found += [(each.hosts, each.received_at) for each in self._domains.values()]",
        "",
        "test_gossip_collectors.AggregateTest",
    ),
    Proof(
        "the past reaches back to a checkpoint",
        "process/directory/version_history.py",
        "if self._known_since is None or since >= self._known_since:",
        "if True:",
        f"{PAST}.test_streams_go_on_after_a_start_of_all_hosts",
    ),
    Proof(
        "versions in the store's history count",
        "process/directory/store_past_loop.py",
        "versions.observe_passed((*changes.put, *changes.passed), now)",
        "()",
        f"{PAST}.test_version_that_left_before_all_hosts_were_killed",
    ),
    Proof(
        "versions that a host knew of count after a start of all",
        "process/directory/store_past_loop.py",
        "further = versions.extend_past(former, revision, now - age, now)",
        "further = versions.extend_past({}, revision, now - age, now)",
        f"{PAST}.test_version_that_left_before_the_history_of_the_store",
    ),
    Proof(
        "routes that have changed since a checkpoint end the past",
        "process/directory/store_past_loop.py",
        "if not is_same or routes.table is not None:",
        "if False:",
        f"{PAST}.test_routes_whose_former_version_is_written_again",
    ),
    Proof(
        "checkpoints of the future are not used",
        "process/directory/store_past_loop.py",
        "and each.since_ms <= each.store_ms <= found.store_ms",
        "",
        f"{PAST}.test_checkpoints_that_can_not_be_true",
    ),
    Proof(
        "a host with old routes may still lead streams as before a move",
        "entry_application.py",
        "self.route_history.has_gained(service, seconds, now)",
        "self.route_history.has_gained(service, 13.0, now)",
        f"{OUT_OF_STEP}.OldRoutesTest.test_stream_that_a_host_with_old_routes_began",
    ),
    Proof(
        "hosts keep routes that a restored store has lost",
        "process/directory/store_past_loop.py",
        "is_same = table is not None and table.version == checkpoint.routes_version",
        "is_same = True",
        f"{OUT_OF_STEP}.OldRoutesTest.test_routes_that_a_restored_store_has_lost",
    ),
    Proof(
        "a table's age counts the time that its host was suspended",
        "process/membership/readiness.py",
        "self.fresh.view(self.boot_clock())",
        "self.fresh.view(self.clock.monotonic())",
        f"{SUSPENDED}.test_resumed_host_does_not_route_by_its_table",
    ),
    Proof(
        "a store's answer is as old as its question, with the time suspended",
        "process/table/table_follower.py",
        "note_store_confirmation(asked_at, head.version)",
        "note_store_confirmation(self._deps.boot_clock(), head.version)",
        f"{SUSPENDED}.test_answer_of_the_store_to_a_question_before_the_suspend",
    ),
    Proof(
        "hosts tell each other the age of their table with the time suspended",
        "process/membership/peer_loop.py",
        "deps.fresh.store_age(sent_at)",
        "deps.fresh.store_age(now)",
        f"{SUSPENDED}.test_age_that_a_resumed_host_tells_its_peers",
    ),
    Proof(
        "a later start takes no lost lease, whatever its settings say",
        "entry_application.py",
        "return None if first is None else first >= era",
        "return True",
        f"{FIRST_START}.test_later_start_does_not_take_a_lease_that_the_store_has_lost",
    ),
    Proof(
        "the first start of a system is not delayed by a lease that is missing",
        "entry_application.py",
        "return None if first is None else first >= era",
        "return False",
        f"{FIRST_START}.test_first_start_takes_the_lease_at_once",
    ),
    Proof(
        "a start not known to be the first one asks for its lease again soon",
        "process/leader_tasks/leader_lease.py",
        "if row.record is None and self._is_first_start(row.era) is None:",
        "if False:",
        "test_leader_lease.LeaderLeaseTest"
        ".test_a_start_that_is_not_known_to_be_the_first_one_asks_again_soon",
    ),
    Proof(
        "the era of the first join is written again once it is lost",
        "platform/own_tables.py",
        "first = found.era if known is None else known",
        "first = found.era",
        "test_platform_store.RowsTest"
        ".test_era_of_the_first_join_is_written_again_once_it_is_lost",
    ),
    Proof(
        "the limit on request heads holds for complete heads",
        "connection/http_request.py",
        "    if size > max_bytes:\n",
        "    if False:\n",
        "test_entry_caller_limits.HeadSizeTest",
    ),
    Proof(
        "callers' heads are read for a limited time",
        "entry_application.py",
        "            header_seconds=limits.header_seconds,\n",
        "",
        "test_entry_caller_limits.TimeTest",
    ),
    Proof(
        "a chunk that declares too much is refused before it arrives",
        "connection/server_connection.py",
        "            self._check_chunk()\n",
        "",
        "test_entry_caller_limits.BodySizeTest.test_chunks_that_declare_too_much",
    ),
    Proof(
        "a partitioned host plans no phases by its own load",
        "scheduling/phase_split.py",
        "if self._hears_others(SILENCE_SECONDS):",
        "if True:",
        "test_phase_loop.StabilityTest"
        ".test_partitioned_host_takes_no_engines_that_others_streams_need",
    ),
    Proof(
        "load of the time in which the others fell silent is dropped",
        "scheduling/phase_split.py",
        "while self._values and self._values[-1][0] >= at:",
        "while False:",
        "test_scheduling_phase_split.DecisionTest"
        ".test_load_of_the_time_in_which_others_fell_silent_does_not_count",
    ),
    Proof(
        "a host that no collector tells of the others knows that",
        "process/gossip/peer_loads.py",
        "if self.uses_collectors and not self.is_collector:",
        "if False:",
        "test_gossip_collectors.AggregateTest"
        ".test_host_without_a_collector_hears_of_few",
    ),
    Proof(
        "a host that could not learn of the past waits for as long as versions count",
        "process/directory/store_past_loop.py",
        "return max(seconds, self._keep_seconds)",
        "return seconds",
        f"{OUT_OF_STEP}.OldListTest.test_host_that_could_not_learn_of_the_past",
    ),
    Proof(
        "a changed limit on request heads holds on open connections",
        "connection/server_connection.py",
        "max_incomplete_event_size=sys.maxsize",
        "max_incomplete_event_size=self.server.limits.header_bytes",
        "test_entry_caller_limits.ChangedLimitTest",
    ),
    Proof(
        "a head that never ends is refused at the limit",
        "connection/server_connection.py",
        "            check_head_size(unparsed, self.server.limits.header_bytes)\n",
        "",
        "test_entry_caller_limits.EndlessTest",
    ),
    Proof(
        "the larger part of a split fleet shares the burst of retries",
        "process/gossip/load_loop.py",
        "return max(known, most)",
        "return most if 2 * known < most else known",
        f"{LIMITS}.SharingHostsTest.test_halves_of_the_hosts_share_the_retry_budget",
    ),
    Proof(
        "a host that hears of no other does not take the fleet for idle",
        "entry_application.py",
        "self.peers.has_heard_of_work or not self.load_loop.hears_listed()",
        "self.peers.has_heard_of_work",
        "test_entry_first_start.FirstStartTest"
        ".test_host_that_restarts_cut_off_from_busy_hosts_is_not_idle",
    ),
    Proof(
        "a reset that the sending task was told of ends no response",
        HTTP_CLIENT,
        "        if await self._sending.hides_reset():\n",
        "        if False:\n",
        f"{UPLOADS}.ResetTest.test_part_without_length_is_no_whole_response",
    ),
    Proof(
        "the reader waits for an error that the sending task has not seen yet",
        SENDING_HALF,
        "        await self._call_ended.wait()\n",
        "",
        f"{UPLOADS}.ResetTest.test_part_without_length_is_no_whole_response",
    ),
    Proof(
        "the reader does not wait for a peer that reads no more",
        SENDING_HALF,
        "        self._call_scope.cancel()\n",
        "",
        f"{UPLOADS}.WholeTest.test_orderly_end_while_the_request_is_stuck",
    ),
    Proof(
        "an orderly end stays one if the connection is reset later",
        SENDING_HALF,
        "self._was_reset = not _follows_orderly_end(exc)",
        "self._was_reset = True",
        f"{UPLOADS}.WholeTest.test_orderly_end_before_a_reset",
    ),
    Proof(
        "the marked end of a response stays one if its tunnel is reset later",
        HTTP_CLIENT,
        " or isinstance(self.stream, TunnelStream):",
        ":",
        f"{UPLOADS}.WholeTest.test_marked_end_before_the_carrying_host_closes",
    ),
    Proof(
        "a carrying host marks no reset as an end",
        TUNNEL_SERVER,
        "            if await self._sending.hides_reset():\n",
        "            if False:\n",
        f"{UPLOADS}.ResetTest.test_part_through_a_tunnel_is_no_whole_response",
    ),
    Proof(
        "a folded line in a response is rejected",
        PARSER,
        "            if FOLDED_LINE.search(parsed):\n",
        "            if False:\n",
        f"{HEADS}.BrokenHeadTest",
    ),
    Proof(
        "a folded line is noticed whose blank arrives alone",
        PARSER,
        "        if begins_folded or FOLDED_LINE",
        "        if FOLDED_LINE",
        f"{HEADS}.BrokenHeadTest.test_folded_lines_split_between_two_reads",
    ),
    Proof(
        "a name that begins with a line feed does not end the head",
        PARSER,
        "            if is_head and _ends_at_line_feed(parsed):\n",
        "            if False:\n",
        f"{HEADS}.BrokenHeadTest.test_names_with_bytes_that_no_name_holds",
    ),
    Proof(
        "a connection with a malformed response is not pooled",
        HTTP_CLIENT,
        "        if self._is_malformed or is_closed(self.stream):\n",
        "        if is_closed(self.stream):\n",
        f"{HEADS}.BrokenHeadTest.test_connection_with_a_bad_trailer_is_not_used_again",
    ),
)


def run_proof(proof: Proof, tree: Path) -> str:
    """Return ``red`` if the test passes with the safeguard and fails without it."""
    path = tree / "berylshift" / proof.path
    original = path.read_text(encoding="utf-8")
    if original.count(proof.text) == 0:
        return "safeguard not found"
    if not passes(proof.test, tree):
        return "RED WITH IT TOO"
    path.write_text(
        original.replace(proof.text, proof.replacement, 1), encoding="utf-8"
    )
    try:
        return "GREEN" if passes(proof.test, tree) else "red"
    finally:
        path.write_text(original, encoding="utf-8")


def passes(test: str, tree: Path) -> bool:
    """Return whether a test passes in a tree; one that times out does not."""
    try:
        completed = subprocess.run(
            [sys.executable, "-m", "unittest", f"{TESTS}.{test}"],
            cwd=tree,
            capture_output=True,
            timeout=TEST_SECONDS,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return False
    return completed.returncode == 0


def main() -> int:
    """Run all proofs and return the exit status."""
    failures = 0
    with tempfile.TemporaryDirectory(prefix="berylshift-proofs-") as name:
        tree = Path(name)
        ignore = shutil.ignore_patterns("__pycache__")
        shutil.copytree("berylshift", tree / "berylshift", ignore=ignore)
        for proof in PROOFS:
            outcome = run_proof(proof, tree)
            failures += outcome != "red"
            sys.stdout.write(f"{outcome:20} {proof.name}  [{proof.test}]\n")
            sys.stdout.flush()
    sys.stdout.write(f"{len(PROOFS) - failures} red, {failures} not\n")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
