"""A budget for retries, so that failures do not multiply the load."""


class RetryBudget:
    """Allows retries up to a share of recent first attempts, plus a floor.

    Without it, each failing target turns one request into several, and a fleet that
    lacks capacity is overloaded further.
    """

    def __init__(self, share: float, floor: float):
        """Allow ``share`` of first attempts and ``floor`` retries a second."""
        self._share = share
        self._floor = floor
        self._tokens = floor
        self._max_tokens = max(10.0, 10 * floor)
        self._filled_at: float | None = None

    def record_first_attempt(self, now: float) -> None:
        """Record a request's first attempt."""
        self._refill(now)
        self._tokens = min(self._max_tokens, self._tokens + self._share)

    def try_acquire(self, now: float) -> bool:
        """Take a token and return ``True`` if a retry is allowed."""
        self._refill(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _refill(self, now: float) -> None:
        if self._filled_at is not None:
            gained = self._floor * (now - self._filled_at)
            self._tokens = min(self._max_tokens, self._tokens + gained)
        self._filled_at = now
