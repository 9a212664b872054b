"""What a daemon and the other daemons tell each other: members, load, rows and moves."""

import asyncio
from random import Random

from lovageway.forwarding import duty, gossip
from lovageway.forwarding.feed import Feed, StoreClient, StoreError
from lovageway.forwarding.intake import TABLES, Intake
from lovageway.forwarding.load import Load
from lovageway.forwarding.members import READY, STARTING
from lovageway.forwarding.migration import LeavingRun
from lovageway.forwarding.model import Row
from lovageway.forwarding.state import State
from lovageway.forwarding.tokenbucket import TokenBucket
from lovageway.platform import heads, names

PEER_AHEAD_S = 0.4  # how long the store may take to tell what a peer knows already
LAPSE_WINDOW_S = 2.0  # after the store's return, removed entries count as lapsed
ADDED_PER_S = 30.0  # datagrams of about 70 bytes on added load; half of a daemon's 4 KB a second
ADDED_BURST = 120.0
FAR_EACH = 3  # every so many of a collector's messages tell of the load of other regions
MEMBERS_TABLE = "daemons"
MEMBERS_READ_S = 15.0
MEMBERS_RETRY_S = 3.0


class Peers:
    """The daemon's part in what all daemons know together.

    A daemon that watches the store passes rows on; one whose store turns it away, or that does not
    watch, takes them from the others.
    """

    def __init__(self, state: State, rng: Random) -> None:
        self._state = state
        self._client = StoreClient(state.cfg.store.address, heads.answer, state.clock)
        self._intake = Intake(state, self.send_news, self._on_leaving_runs)
        self._feeds = {
            table: Feed(
                table,
                self._client,
                state.mirror,
                self.on_store_rows,
                state.log,
                state.clock,
                rng,
            )
            for table in TABLES
        }
        self._gossip = gossip.Gossip(
            self._on_message, lambda reason: state.telemetry.add("datagrams_rejected", reason)
        )
        self._port = state.cfg.internal_ports[0]
        self._ahead: dict[str, tuple[float, str]] = {}  # table: since when which peer is ahead
        self._pulls: set[asyncio.Task[None]] = set()
        self._servers: list[asyncio.Server] = []
        self._announcing: asyncio.Task[None] | None = None
        state.migration_done = self.migration_done
        state.load_added = self.load_added
        self._sums_sent = 0
        self._added_tokens = TokenBucket(ADDED_PER_S, ADDED_BURST)

    async def start(self) -> None:
        """Open the sockets between daemons and begin to watch the store."""
        loop = asyncio.get_running_loop()
        ip = self._state.cfg.ip
        await loop.create_datagram_endpoint(lambda: self._gossip, local_addr=(ip, self._port))
        self._servers.append(await asyncio.start_server(self.serve_rows, ip, self._port))
        for feed in self._feeds.values():
            feed.start()
        self._announcing = loop.create_task(self.announce())

    def close(self) -> None:
        """Close the sockets and stop watching."""
        for feed in self._feeds.values():
            feed.stop()
        self._gossip.close()
        for task in [*self._pulls, *([self._announcing] if self._announcing else [])]:
            task.cancel()
        for server in self._servers:
            server.close()

    @property
    def store_calls(self) -> int:
        """Return how many calls the store was asked."""
        return self._client.calls

    def store_age_s(self, now: float) -> float:
        """Return the time since the store last answered for each table."""
        answered = [feed.answered_at or 0.0 for feed in self._feeds.values()]
        return now - min(answered)

    def on_pause(self) -> None:
        """Ask the store again at once: what changed during a freeze is not known."""
        for feed in self._feeds.values():
            feed.restart()

    def tick(self, now: float) -> None:
        """Do what is due several times a second, besides the news."""
        for change in self._state.replicas.tick(now):
            self._state.log("server_lapsed", server=change.entry.id)
            self._intake.leaves(change)
        self.check_ahead(now)
        self.check_duty(now)

    # Rows.

    def on_store_rows(self, table: str, rows: list[Row], before: int, after_outage: bool) -> None:
        """Take rows that the store told of, and pass them on in a large fleet.

        Parameters
        ----------
        before
            The table's version that the rows follow on.
        after_outage
            The store did not answer before.
        """
        lapsing = after_outage or self.lapsing()
        self._intake.take(rows, "store", lapsing)
        now = self._state.clock()
        if rows and self._state.members.is_large(now):
            data = gossip.encode(gossip.Rows(table, before, rows, lapsing))
            if not self._gossip.send(data, self._state.members.near(now), self._port):
                # The other daemons see the newer version in this one's news and ask for the rows.
                self._state.log("rows_too_large", table=table, rows=len(rows), bytes=len(data))
                self.send_news()

    def lapsing(self) -> bool:
        """Return whether the store was away from this daemon until a moment ago."""
        feed = self._feeds[names.SERVERS_TABLE]
        return feed.returned_at > 0 and self._state.clock() - feed.returned_at < LAPSE_WINDOW_S

    # Generations on servers that leave.

    def _on_leaving_runs(self, server: str, runs: list[LeavingRun]) -> None:
        """Tell of generations on an engine that leaves; in a large fleet where others may be."""
        state, now = self._state, self._state.clock()
        entry = state.replicas.get(server)
        regions = {facts.region for facts in state.members.alive(now)}
        if state.members.is_large(now) and entry is not None:
            regions = {state.cfg.region, entry.replica.region}
        data = gossip.encode(gossip.LeavingRuns(state.cfg.ip, server, runs))
        self._gossip.send(data, state.members.in_regions(regions, now), self._port)

    def migration_done(self, server: str, run: str) -> None:
        """Tell the daemons with generations on an engine that one needs its link no more."""
        self._state.migration_schedule.on_finished(server, run)
        data = gossip.encode(gossip.MoveDone(server, run))
        self._gossip.send(data, sorted(self._state.migration_schedule.daemons(server)), self._port)

    # News.

    def load_added(self, loads: dict[str, Load], region: str) -> None:
        """Tell the other daemons at once of a prompt that an engine has to read.

        Between two ticks, all daemons would send their prompts to the same idle engine. In a large
        fleet the daemons of this region and of the engine's are told.
        """
        state, now = self._state, self._state.clock()
        if state.members.is_large(now):
            peers = state.members.in_regions({region, state.cfg.region}, now)
        else:
            peers = [facts.ip for facts in state.members.alive(now)]
        allowed = int(self._added_tokens.at(now))
        if len(peers) > allowed:
            peers = state.rng.sample(peers, allowed)
        self._added_tokens.take(len(peers))
        self._gossip.send(gossip.encode(gossip.LoadAdded(state.cfg.ip, loads)), peers, self._port)

    async def announce(self) -> None:
        """Write this daemon's row once and read the others' now and then."""
        written, failing = False, False
        while True:
            try:
                page = await self._client.read(MEMBERS_TABLE)
                for row in page.rows:
                    self._state.members.add_contact(row.key)
                self._state.members.on_listed()
                written = written or any(row.key == self._state.cfg.ip for row in page.rows)
                if not written:
                    await self._client.put(MEMBERS_TABLE, self._state.cfg.ip, b"")
                    written = True
                failing = False
            except (StoreError, ValueError) as exc:
                if not failing:
                    self._state.log("members_unread", cause=str(exc))
                failing = True
            await asyncio.sleep(MEMBERS_RETRY_S if failing else MEMBERS_READ_S)
            while not self._feeds[names.SERVERS_TABLE].running:
                await asyncio.sleep(MEMBERS_RETRY_S)

    def send_news(self) -> None:
        """Send what this daemon says of itself to the daemons whose turn it is."""
        state, now = self._state, self._state.clock()
        state.members.beat(state.lifecycle.state)
        to = state.members.targets(now, state.rng)
        news = self._news(now, collecting=bool(to.region))
        self._send(news, to.reports)
        if not to.region and not to.elsewhere:
            return
        self._sums_sent += 1
        total, daemons = state.load_tracker.total(now), state.load_tracker.daemons()
        for ip in to.region:
            loads = state.load_tracker.total_without(ip, total)
            self._send(news._replace(loads=loads, daemons=daemons), [ip])
        self._send(news._replace(loads=total, daemons=daemons, far=()), to.elsewhere)

    def tell_region(self) -> None:
        """Tell every daemon of the region at once of a new state of this one."""
        state, now = self._state, self._state.clock()
        state.members.beat(state.lifecycle.state)
        self._send(self._news(now, collecting=False), state.members.near(now))

    def _news(self, now: float, *, collecting: bool) -> gossip.News:
        state = self._state
        far: tuple[gossip.RegionSum, ...] = ()
        if collecting and self._sums_sent % FAR_EACH == 0:
            far = tuple(
                gossip.RegionSum(region, int(1000 * age_s), loads)
                for region, (age_s, loads) in state.load_tracker.regions(now).items()
            )
        return gossip.News(
            facts=state.members.own,
            versions={table: state.mirror.version(table) for table in TABLES},
            loads=state.load_tracker.own(),
            poison=state.poison.suspects_to_send(now),
            relayed=state.members.relayed(now, collecting=collecting),
            store_lost=self._store_lost(),
            far=far,
        )

    def _send(self, news: gossip.News, ips: list[str]) -> None:
        if not ips:
            return
        data = gossip.encode(gossip.fit(news))
        if not self._gossip.send(data, ips, self._port):
            self._state.log("news_too_large", bytes=len(data), servers=len(news.loads))

    def _on_message(self, message: gossip.Message) -> None:
        now = self._state.clock()
        match message:
            case gossip.LeavingRuns(ip, server, runs):
                self._state.migration_schedule.on_runs(server, runs, now, ip)
            case gossip.MoveDone(server, run):
                self._state.migration_schedule.on_finished(server, run)
            case gossip.Rows():
                self._on_pushed_rows(message)
            case gossip.LoadAdded(ip, loads):
                self._state.load_tracker.on_peer_added(ip, loads, now)
            case gossip.News():
                self._on_news(message)

    def _on_pushed_rows(self, message: gossip.Rows) -> None:
        """Take rows that follow on what is known; a gap is closed by asking for the rows."""
        mirror = self._state.mirror
        if not mirror.complete(message.table) or mirror.version(message.table) < message.after:
            return
        self._intake.take(mirror.apply(message.rows), "peer", message.lapsing)

    def check_duty(self, now: float) -> None:
        """Begin or cease to watch the store."""
        state = self._state
        members = state.members
        started = all(state.mirror.complete(table) for table in TABLES)
        watching = not started or duty.watches(
            members.own, self._store_lost(), members.candidates(now), members.count(now)
        )
        for feed in self._feeds.values():
            if watching != feed.running:
                self._state.log(
                    "watch_store", table=feed.table, on=watching, daemons=members.count(now)
                )
                (feed.start if watching else feed.stop)()

    def _store_lost(self) -> bool:
        return any(feed.failing_since is not None for feed in self._feeds.values())

    def _on_news(self, news: gossip.News) -> None:
        state, now = self._state, self._state.clock()
        changed = state.members.on_direct(news.facts, now, store_lost=news.store_lost)
        for facts in news.relayed:
            state.members.on_relayed(facts, now)
        self._on_load(news, now)
        state.poison.on_peer(news.poison, now)
        if changed:
            state.log("daemon", ip=news.facts.ip, state=news.facts.state)
            if news.facts.state == STARTING and state.lifecycle.state == READY:
                # It knows few daemons yet, and its turn may come late in a large fleet.
                self._send(self._news(now, collecting=True), [news.facts.ip])
        for table, version in news.versions.items():
            if table in self._feeds and version > state.mirror.version(table):
                self._ahead.setdefault(table, (now, news.facts.ip))
        state.pump()

    def _on_load(self, news: gossip.News, now: float) -> None:
        """Take the load of a daemon, or the sum of a region from a collector."""
        load_tracker, own = self._state.load_tracker, self._state.members.own
        elsewhere = news.facts.region != own.region
        if news.daemons > 1 and elsewhere:
            load_tracker.on_other_region(news.facts.region, news.loads, now)
        elif news.daemons > 1:
            load_tracker.on_region_sum(news.facts.ip, news.loads, news.daemons, now)
        elif not elsewhere or not self._state.members.is_large(now):
            load_tracker.on_peer(news.facts.ip, news.loads, now)
        for region, age_ms, loads in news.far:
            if region != own.region:
                load_tracker.on_other_region(region, loads, now - age_ms / 1000)

    def check_ahead(self, now: float) -> None:
        """Take rows from a peer that knows newer ones than the store has told."""
        for table, (since, ip) in list(self._ahead.items()):
            if now - since < PEER_AHEAD_S:
                continue
            del self._ahead[table]
            task = asyncio.get_running_loop().create_task(self._pull(table, ip))
            self._pulls.add(task)
            task.add_done_callback(self._pulls.discard)

    async def serve_rows(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer a peer that asks for rows."""
        await gossip.serve_rows(self._state.mirror, self.lapsing(), reader, writer)

    async def _pull(self, table: str, ip: str) -> None:
        mirror = self._state.mirror
        after = mirror.version(table) if mirror.complete(table) else 0
        try:
            whole, lapsing, rows = await gossip.pull_rows(ip, self._port, table, after)
        except OSError as exc:
            self._state.log("peer_rows_failed", peer=ip, table=table, cause=str(exc))
            return
        newest = max((row.version for row in rows), default=0)
        if newest <= mirror.version(table) and mirror.complete(table):
            return
        taken = mirror.replace(table, _present(rows), newest) if whole else mirror.apply(rows)
        self._state.log("peer_rows", peer=ip, table=table, after=after, rows=len(taken))
        self._intake.take(taken, "peer", lapsing)


def _present(rows: list[Row]) -> list[Row]:
    return [row for row in rows if row.value is not None]
