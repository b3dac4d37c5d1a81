"""Cost model of the fake engine, and the faults that a test can script."""

from dataclasses import dataclass


@dataclass(frozen=True)
class EngineCosts:
    """Cost model of an engine; times in seconds, sizes in tokens, rates a second."""

    prefill_rate: float = 8000.0
    step_base: float = 0.020
    step_per_stream: float = 0.00015
    max_streams: int = 64
    max_waiting: int = 512
    kv_tokens: int = 400_000
    kv_import_rate: float = 50_000.0
    cache_tokens: int = 200_000
    change_seconds: float = 4.0
    prefill_chunk: int = 512
    report_lag: float = 1.0
    cache_lag: float = 1.0
    cache_gap: float = 0.05
    emit_tokens: int = 8


@dataclass
class EngineScript:
    """Faults of an engine that a test scripts."""

    fail_fast: bool = False
    nonsense: bool = False
    cut_after_tokens: int = 0
    wrong_attempt: bool = False
    repeat_chunks: bool = False
