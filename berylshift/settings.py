"""Settings in INI format: defaults, parsing and validation."""

import configparser
import difflib
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

from berylshift.messages.json_decoding import MalformedJsonError, decode_json
from berylshift.version.checks import is_valid_address

Seconds = Annotated[float, Meta(gt=0, le=86400)]
Fraction = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1, le=1_000_000_000)]
Name = Annotated[str, Meta(min_length=1, max_length=64)]


class HostSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Identity and listening addresses of this host.

    ``memory_mb`` is the memory at which the process is killed, in MiB.
    """

    name: Name
    domain: Name
    address: str = "127.0.0.1:8080"
    admin_address: str = "127.0.0.1:8081"
    peer_address: str = "127.0.0.1:8082"
    credentials: str = ""
    seeds: str = ""
    memory_mb: Annotated[int, Meta(ge=64, le=1_000_000)] = 256


class PlatformSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses of the platform's services and this process's rates to them."""

    table: str = "127.0.0.1:9000"
    objects: str = "127.0.0.1:9000"
    hosts: str = "127.0.0.1:9000"
    weights: str = "127.0.0.1:9000"
    timeout: Seconds = 1.0
    writes_per_second: Annotated[float, Meta(gt=0, le=10000)] = 30.0
    reads_per_second: Annotated[float, Meta(gt=0, le=10000)] = 200.0
    batch_window: Annotated[float, Meta(ge=0, le=1)] = 0.005
    batch_rows: Annotated[int, Meta(ge=1, le=100)] = 50


class CallerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on callers' connections and requests."""

    header_bytes: Count = 16384
    body_bytes: Count = 4194304
    request_seconds: Seconds = 10.0
    idle_seconds: Seconds = 60.0
    write_seconds: Seconds = 30.0
    connections: Count = 2048
    default_deadline: Seconds = 30.0
    longest_request: Seconds = 300.0


class TargetSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Timeouts and credential for calls to targets."""

    connect_timeout: Seconds = 1.0
    first_token_timeout: Seconds = 20.0
    token_timeout: Seconds = 5.0
    service_timeout: Seconds = 5.0
    report_interval: Seconds = 1.0
    report_timeout: Seconds = 0.5
    credential: str = ""


class TableSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Polling of the operators' table and the age up to which it is used."""

    poll_interval: Seconds = 1.0
    freshness_limit: Seconds = 3.0


class PeerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Gossip and liveness between hosts."""

    interval: Seconds = 1.0
    fanout: Annotated[int, Meta(ge=1, le=64)] = 4
    byte_budget: Annotated[int, Meta(ge=256, le=65536)] = 4096
    silent_after: Seconds = 5.0
    host_list_interval: Seconds = 2.0


class PolicySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Routing, retries and planning of engine roles, and the initial cost model."""

    router: str = "least-lateness"
    planner: str = "hysteresis"
    lateness_slack: Annotated[float, Meta(ge=0.1, le=10)] = 1.0
    retry_share: Fraction = 0.2
    retry_floor: Annotated[float, Meta(ge=0, le=1000)] = 5.0
    prefill_rate: Annotated[float, Meta(gt=0)] = 8000.0
    step_base: Seconds = 0.020
    step_per_stream: Annotated[float, Meta(ge=0, le=1)] = 0.00015
    prefill_chunk: Count = 512
    kv_import_rate: Annotated[float, Meta(gt=0)] = 50000.0
    churn_price: Annotated[float, Meta(ge=0, le=1000)] = 1.0
    dwell: Seconds = 120.0
    change_seconds: Seconds = 4.0
    plan_interval: Seconds = 5.0
    away_share: Fraction = 0.2


class LeaseSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Leases of the pools; the margin covers clock drift and scheduling delays."""

    term: Seconds = 6.0
    margin: Seconds = 1.0
    interval: Seconds = 1.5


class ShutdownSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Graceful shutdown."""

    balancer_notice: Annotated[float, Meta(ge=0, le=600)] = 5.0
    longest: Seconds = 300.0


class ObservabilitySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Logs and metrics."""

    log_level: str = "INFO"
    statsd: str = ""
    decisions_kept: Count = 2000


class DirectorySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Source of routes and replicas; ``own`` is the operators' table of this system.

    ``in_force_ms`` is the time within which accepted routes are in force on all hosts,
    ``leaving_ms`` that after which a draining replica gets no new work, both counted
    from the platform's acknowledgement. The shorter one determines how long a feed may
    go unconfirmed, and how old another host's status of it may be. ``heartbeat_ms`` is
    the interval at which replicas renew their entries.
    """

    kind: str = "own"
    address: str = "127.0.0.1:9000"
    in_force_ms: Annotated[int, Meta(ge=500, le=86400000)] = 3000
    leaving_ms: Annotated[int, Meta(ge=500, le=86400000)] = 3000
    heartbeat_ms: Annotated[int, Meta(ge=50, le=3600000)] = 2000
    timeout: Seconds = 0.6


class EntrySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Entry host on the platform; times in seconds.

    ``placing`` is the placement policy; all but ``warm`` are baselines for comparison.
    ``keys_expire_ms`` is the age of the routes at which a host that can't reach the
    store stops accepting customers' keys; 0: they don't expire.
    """

    status_address: str = "127.0.0.1:8083"
    ready_path: str = "/ready"
    metrics_address: str = ""
    retry_ratio: Fraction = 0.2
    retry_window: Seconds = 10.0
    retry_burst: Annotated[float, Meta(ge=0, le=100000)] = 10.0
    grace: Annotated[float, Meta(ge=2, le=600)] = 8.0
    orders_apart_ms: Annotated[int, Meta(ge=1, le=86400000)] = 3000
    reading_share: Fraction = 0.65
    placing: str = "warm"
    first_start: bool = False
    keys_expire_ms: Annotated[int, Meta(ge=0, le=86400000)] = 0


class LeaderTaskSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Leader tasks for the platform, each run by one host at a time.

    ``usage_report``: the number of requests of each customer is reported for windows
    of ``usage_window_s`` seconds, within ``usage_delay_s`` after a window's end.
    """

    address: str = "127.0.0.1:9000"
    usage_report: bool = False
    autoscale: bool = False
    timeout: Seconds = 1.0
    usage_window_s: Seconds = 5.0
    usage_delay_s: Seconds = 10.0


class SchedulingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Scheduling features, each ``off``, ``auto`` or ``on``.

    With ``auto`` a feature is used for a service if its deployment calls for it:
    replicas state how long work takes, or ``contracts`` (the contracts that the
    platform lists for the deployment, separated by commas) include contention.
    """

    contracts: str = ""
    replica_speeds: str = "auto"
    handle_tracking: str = "auto"
    prefix_fetch: str = "auto"
    fair_shares: str = "off"
    phase_split: str = "off"
    replica_gossip: str = "off"
    queue_queries: str = "auto"


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """All settings, one field for each section."""

    host: HostSettings
    platform: PlatformSettings = PlatformSettings()
    callers: CallerSettings = CallerSettings()
    targets: TargetSettings = TargetSettings()
    table: TableSettings = TableSettings()
    peers: PeerSettings = PeerSettings()
    policy: PolicySettings = PolicySettings()
    leases: LeaseSettings = LeaseSettings()
    shutdown: ShutdownSettings = ShutdownSettings()
    observability: ObservabilitySettings = ObservabilitySettings()
    directory: DirectorySettings = DirectorySettings()
    entry: EntrySettings = EntrySettings()
    duties: LeaderTaskSettings = LeaderTaskSettings()
    scheduling: SchedulingSettings = SchedulingSettings()


SECTIONS: dict[str, type[msgspec.Struct]] = {
    field.name: field.type for field in msgspec.structs.fields(Settings)
}
DEFAULT_CONFIG: dict[str, dict[str, Any]] = {
    name: {
        field.name: field.default
        for field in msgspec.structs.fields(kind)
        if field.default is not msgspec.NODEFAULT
    }
    for name, kind in SECTIONS.items()
}
FEATURE_MODES = ("off", "auto", "on")
CHOICES = {
    ("policy", "router"): ("least-lateness", "round-robin", "least-reported"),
    ("policy", "planner"): ("hysteresis", "fixed", "threshold"),
    ("directory", "kind"): ("own", "platform"),
    ("entry", "placing"): ("warm", "no-homes", "least-reported", "round-robin"),
    ("observability", "log_level"): ("DEBUG", "INFO", "WARNING", "ERROR"),
    ("scheduling", "replica_speeds"): FEATURE_MODES,
    ("scheduling", "handle_tracking"): FEATURE_MODES,
    ("scheduling", "prefix_fetch"): FEATURE_MODES,
    ("scheduling", "fair_shares"): FEATURE_MODES,
    ("scheduling", "phase_split"): FEATURE_MODES,
    ("scheduling", "replica_gossip"): FEATURE_MODES,
    ("scheduling", "queue_queries"): FEATURE_MODES,
}
ADDRESSES = (
    ("host", "address"),
    ("host", "admin_address"),
    ("host", "peer_address"),
    ("platform", "table"),
    ("platform", "objects"),
    ("platform", "hosts"),
    ("platform", "weights"),
    ("directory", "address"),
    ("entry", "status_address"),
    ("duties", "address"),
)


class SettingError(msgspec.Struct, frozen=True):
    """One error in the settings."""

    section: str
    key: str
    value: str
    allowed: str

    def __str__(self) -> str:
        """Return the error message shown to operators."""
        return f"[{self.section}] {self.key} = {self.value}: {self.allowed}"


def read_settings(path: str) -> Result[Settings, list[SettingError]]:
    """Return the settings of an INI file, or all errors in it."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as exc:
        return Failure([SettingError("", "", path, f"can't be read: {exc.strerror}")])
    except UnicodeDecodeError as exc:
        return Failure([SettingError("", "", path, f"not valid UTF-8: {exc}")])
    return parse_settings(text)


def read_platform_settings(
    path: str,
) -> Result[PlatformSettings, list[SettingError]]:
    """Return the ``[platform]`` section of a settings file, for command-line tools."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, configparser.Error) as exc:
        return Failure([SettingError("", "", path, f"can't be read: {exc}")])
    given = dict(parser["platform"]) if "platform" in parser else {}
    errors = _find_unknown_keys({"platform": given})
    values = _read_section("platform", PlatformSettings, given, errors)
    if errors:
        return Failure(errors)
    return Success(msgspec.convert(values, PlatformSettings))


def parse_settings(text: str) -> Result[Settings, list[SettingError]]:
    """Return the settings of an INI text, or all errors in it."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except configparser.Error as exc:
        return Failure([SettingError("", "", "", f"not a valid INI file: {exc}")])
    given = {name: dict(parser[name]) for name in parser.sections()}
    errors = _find_unknown_keys(given)
    values: dict[str, dict[str, Any]] = {}
    for name, kind in SECTIONS.items():
        values[name] = _read_section(name, kind, given.get(name, {}), errors)
    if errors:
        return Failure(errors)
    settings = msgspec.convert(values, Settings)
    return check_settings(settings)


def check_settings(settings: Settings) -> Result[Settings, list[SettingError]]:
    """Return the settings if addresses, choices and relations between values hold."""
    errors = []
    for section, key in ADDRESSES:
        value = getattr(getattr(settings, section), key)
        # Port 0 lets the kernel choose a port to listen on.
        min_port = 0 if section == "host" else 1
        # str.isdigit() accepts digits such as "\u00b2", which int() rejects.
        if not (value.isascii() and is_valid_address(value, min_port)):
            errors.append(SettingError(section, key, value, "must be IP:PORT"))
    for (section, key), allowed in CHOICES.items():
        value = getattr(getattr(settings, section), key)
        if value not in allowed:
            reason = f"must be one of {', '.join(allowed)}"
            errors.append(SettingError(section, key, value, reason))
    errors += _check_relations(settings)
    return Failure(errors) if errors else Success(settings)


def _check_relations(cfg: Settings) -> list[SettingError]:
    errors = []
    if cfg.table.freshness_limit <= cfg.table.poll_interval:
        value = str(cfg.table.freshness_limit)
        reason = f"must be above poll_interval, which is {cfg.table.poll_interval}"
        errors.append(SettingError("table", "freshness_limit", value, reason))
    min_term = cfg.leases.interval + cfg.leases.margin + cfg.platform.timeout
    if cfg.leases.term <= min_term:
        value = str(cfg.leases.term)
        reason = f"must be above interval + margin + the platform's timeout, {min_term}"
        errors.append(SettingError("leases", "term", value, reason))
    return errors


def _find_unknown_keys(given: dict[str, dict[str, str]]) -> list[SettingError]:
    errors = []
    for section, keys in given.items():
        if section not in SECTIONS:
            reason = f"unknown section{_suggest(section, list(SECTIONS))}"
            errors.append(SettingError(section, "", "", reason))
            continue
        known = SECTIONS[section].__struct_fields__
        for key, value in keys.items():
            if key not in known:
                reason = f"unknown key{_suggest(key, list(known))}"
                errors.append(SettingError(section, key, value, reason))
    return errors


def _suggest(name: str, known: list[str]) -> str:
    found = difflib.get_close_matches(name, known, n=1, cutoff=0.5)
    return f"; the nearest known one is {found[0]}" if found else ""


def _read_section(
    section: str,
    kind: type[msgspec.Struct],
    given: dict[str, str],
    errors: list[SettingError],
) -> dict[str, Any]:
    values = {}
    for field in msgspec.structs.fields(kind):
        if field.name not in given:
            if field.default is msgspec.NODEFAULT:
                reason = "is required and has no default"
                errors.append(SettingError(section, field.name, "", reason))
            continue
        text = given[field.name]
        try:
            values[field.name] = msgspec.convert(text, field.type, strict=False)
        except msgspec.ValidationError as exc:
            errors.append(SettingError(section, field.name, text, str(exc)))
    return values


class Credential(msgspec.Struct, frozen=True):
    """Customer and fleet that a caller's token authenticates."""

    customer: str
    fleet: str


class Credentials(msgspec.Struct, frozen=True):
    """Callers' tokens, and the key that authenticates datagrams between peers."""

    callers: dict[str, Credential]
    cluster_key: str


def read_credentials(path: str) -> Result[Credentials, SettingError]:
    """Return the credentials in a JSON file, or the error."""
    try:
        data = Path(path).read_bytes()
        return Success(decode_json(data, Credentials))
    except OSError as exc:
        reason = f"can't be read: {exc.strerror}"
    except MalformedJsonError as exc:
        reason = f"not a credentials file: {exc}"
    return Failure(SettingError("host", "credentials", path, reason))
