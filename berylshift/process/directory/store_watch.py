"""When this host has to read the store itself, and when another's word is enough.

Calls to the store are paid for and shared by all hosts. If each host follows the feeds
of routes and replicas by itself, calls grow with the hosts while the news stays the
same. A few hosts follow; the others hear from them, in digests that are sent anyway,
up to which revision nothing has changed and as of when. A host reads only what it has
heard to be newer, or when it has heard nothing for too long.

A word says when it was true by the store's own clock. Each host knows that clock from
its own reads, so a word that was held up, or told by a host that stood still, shows its
age, whatever the hosts' clocks say.
"""

from collections import deque
from collections.abc import Callable
from enum import Enum

from berylshift.ids import Revision, StoreEra
from berylshift.messages.load_digest import FeedWord, StoreWord
from berylshift.process.directory.store_era_tracker import EraSource, StoreEras
from berylshift.store.eras import FIRST_ERA

# Shares of the time in which a change must be in force. A feed without news answers
# after the first; a word older than the second is not enough. Between them lies the
# way of a word through two hosts, and after them a read by this host itself.
FEED_WAIT_SHARE = 0.55
PATIENCE_SHARE = 0.85
# However good the word, each host reads by itself this often, in seconds: its idea of
# the store's clock drifts, by less than 0.1 s in this time.
LONGEST_UNREAD_SECONDS = 300.0
# Reads that the idea of the store's clock rests on. The largest of their offsets is
# that of the answer that took the shortest way.
OFFSETS_KEPT = 8


class Feed(Enum):
    """The feeds that the store has for entry hosts."""

    ROUTES = "routes"
    REPLICAS = "replicas"


class StoreClock:
    """The store's steady clock, as far as its answers tell it."""

    def __init__(self, boot_clock: Callable[[], float]):
        """Go on by ``boot_clock``, which counts the time that a host stands still.

        On a clock that stops with the host, what was told before a pause would look
        fresh after it.
        """
        self._boot_clock = boot_clock
        self._offsets: deque[float] = deque(maxlen=OFFSETS_KEPT)

    def forget(self) -> None:
        """Forget what is known: the clock may have gone back with the store."""
        self._offsets.clear()

    def note(self, store_ms: int) -> None:
        """Note the clock of an answer that has just come."""
        self._offsets.append(store_ms / 1000 - self._boot_clock())

    def now_ms(self) -> int | None:
        """Return the store's clock, as far as it is known."""
        if not self._offsets:
            return None
        return int((self._boot_clock() + max(self._offsets)) * 1000)

    def age(self, store_ms: int) -> float:
        """Return the seconds since a time of the store; endless if not known."""
        if not self._offsets:
            return float("inf")
        return self._boot_clock() + max(self._offsets) - store_ms / 1000


class _FeedState:
    """How far this host has read one feed, and the best word of another host."""

    def __init__(self) -> None:
        self.position: Revision | None = None
        self.own: FeedWord | None = None
        self.heard: FeedWord | None = None
        self.read_at = float("-inf")

    def best(self) -> FeedWord | None:
        """Return the newer one of this host's own word and another's.

        Of two of one millisecond the one that tells of more counts.
        """
        words = [word for word in (self.own, self.heard) if word is not None]
        return max(words, key=lambda word: (word.store_ms, word.changed), default=None)

    def forget(self) -> None:
        """Forget all that counted in a former era."""
        self.position = self.own = self.heard = None

    def has_news(self) -> bool:
        """Return whether something newer than was read is known to be there."""
        word = self.best()
        if word is None or self.position is None:
            return False
        return word.changed > self.position


class StoreWatch:
    """Decides when to read; times in seconds."""

    def __init__(
        self,
        in_force: float,
        boot_clock: Callable[[], float],
        eras: StoreEras | None = None,
    ):
        """Keep changes in force within ``in_force`` seconds."""
        self._boot_clock = boot_clock
        self.eras = eras or StoreEras(boot_clock)
        self.eras.tell(self._forget_era)
        self._feeds = {feed: _FeedState() for feed in Feed}
        self._back_ms = 0
        self.clock = StoreClock(boot_clock)
        self.feed_wait = FEED_WAIT_SHARE * in_force
        self._patience = PATIENCE_SHARE * in_force
        # Whether this host reads the feeds for others.
        self.follows = False

    def position(self, feed: Feed) -> Revision | None:
        """Return the revision up to which a feed is known; ``None``: read all."""
        return self._feeds[feed].position

    def forget(self, feed: Feed) -> None:
        """Have a feed read whole."""
        self._feeds[feed].position = None

    def _forget_era(self) -> None:
        """Have both feeds read whole: no position of a former era means anything."""
        for state in self._feeds.values():
            state.forget()
        self.clock.forget()
        self._back_ms = 0

    def takes(self, era: StoreEra, asked_in: StoreEra | None) -> bool:
        """Return whether an answer of an era may be gone by.

        ``asked_in`` is the era of the position from which it goes on; ``None``: it is
        whole. One of a former era was under way as the store came back older. One that
        goes on from a former era's position leaves out what changed below it.
        """
        if self.eras.is_old(era):
            return False
        self.eras.learn(era, EraSource.OWN_READ)
        return asked_in is None or asked_in == era

    def read(self, feed: Feed, revision: Revision, store_ms: int, news: bool) -> None:
        """Note an answer: the store's revision and clock, and whether it had news.

        A whole read counts as news: what went before it was not seen.
        """
        state = self._feeds[feed]
        former = state.own
        changed = revision if news or former is None else former.changed
        state.position = revision
        state.read_at = self._boot_clock()
        if store_ms:
            self.clock.note(store_ms)
            era = self.eras.current
            state.own = FeedWord(
                changed, revision, store_ms, FIRST_ERA if era is None else era
            )

    def back(self, store_ms: int) -> None:
        """Note that the store answered again after an outage."""
        self._back_ms = max(self._back_ms, store_ms)

    def hear(self, word: StoreWord) -> bool:
        """Take over another host's word; return whether it tells of news.

        An older word than the one that is known changes nothing.
        """
        era = word.routes.era
        if era != word.replicas.era or self.eras.is_old(era):
            return False
        begun = self.eras.learn(era, EraSource.ANOTHER_HOST)
        found = (
            self._hear(Feed.ROUTES, word.routes),
            self._hear(Feed.REPLICAS, word.replicas),
            begun,
        )
        self._back_ms = max(self._back_ms, word.back_ms)
        return any(found)

    def _hear(self, feed: Feed, word: FeedWord) -> bool:
        state = self._feeds[feed]
        if state.heard is not None and word.store_ms <= state.heard.store_ms:
            return False
        state.heard = word
        if state.position is not None and word.changed <= state.position:
            # Nothing lies between the two: the next read may begin at the later one,
            # which the store's bounded history still holds.
            state.position = max(state.position, word.revision)
            return False
        return state.has_news()

    def word(self) -> StoreWord | None:
        """Return what is best known of both feeds, for other hosts."""
        routes = self._feeds[Feed.ROUTES].best()
        replicas = self._feeds[Feed.REPLICAS].best()
        if routes is None or replicas is None or routes.era != replicas.era:
            return None
        return StoreWord(routes, replicas, self._back_ms)

    def confirmed_age(self, feed: Feed) -> float | None:
        """Return how long ago what is held was known to be the newest.

        ``None``: it is known not to be, or nothing is known.
        """
        state = self._feeds[feed]
        word = state.best()
        if word is None or state.position is None or state.has_news():
            return None
        return max(0.0, self.clock.age(word.store_ms))

    def back_age(self) -> float | None:
        """Return how long the store has been back after an outage."""
        return self.clock.age(self._back_ms) if self._back_ms else None

    def due_in(self, feed: Feed) -> float:
        """Return in how many seconds to read a feed, unless more is heard till then."""
        state = self._feeds[feed]
        if self.follows or state.position is None or state.has_news():
            return 0.0
        if state.heard is None:
            return 0.0
        unread = self._boot_clock() - state.read_at
        left = self._patience - self.clock.age(state.heard.store_ms)
        return max(0.0, min(left, LONGEST_UNREAD_SECONDS - unread))

    def wait(self, feed: Feed) -> float:
        """Return how long the next read may wait for news; none if there is some."""
        if not self.follows and self._feeds[feed].has_news():
            return 0.0
        return self.feed_wait
