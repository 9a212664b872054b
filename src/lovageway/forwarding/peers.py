"""Exchanges state with the other daemons: membership, load, rows of the store and migrations."""

import asyncio
from random import Random

from lovageway.forwarding import gossip, watchers
from lovageway.forwarding.leaving import LeavingSpread
from lovageway.forwarding.load import Load
from lovageway.forwarding.members import READY, STARTING
from lovageway.forwarding.migration import LeavingRun
from lovageway.forwarding.mirror import FIRST
from lovageway.forwarding.model import Revision, Row
from lovageway.forwarding.pacing import PacedRound
from lovageway.forwarding.poisonspread import PoisonSpread
from lovageway.forwarding.rollout.model import Report
from lovageway.forwarding.rollout.spread import RolloutSpread
from lovageway.forwarding.rowhandler import TABLES, RowHandler
from lovageway.forwarding.rowserver import RowServer
from lovageway.forwarding.state import RENEWED_TABLES, State
from lovageway.forwarding.statementspread import StatementSpread
from lovageway.forwarding.storewatch import StoreClient, StoreError, TableWatch
from lovageway.forwarding.tokenbucket import TokenBucket
from lovageway.platform import heads, names

PULL_DELAY_S = 0.4  # time for the store to deliver rows that a peer already has
# For this time after the store is reachable again, removed entries count as possibly expired.
EXPIRY_WINDOW_S = 2.0
# Datagrams on added load, of about 70 bytes each, may use 2 KB per second. That is half of the 4 KB
# per second to which the control messages that a daemon sends are limited.
LOAD_ADDED_PER_S = 30.0
LOAD_ADDED_BURST = 120.0
# Every third total that an aggregator sends to its region includes the load of other regions.
OTHER_REGIONS_EVERY_N_TOTALS = 3
# An aggregator spreads each round of totals over most of the 0.5 s until the next one.
TOTALS_SPREAD_S = 0.4
TOTALS_SLOT_S = 0.01
# After this many intervals, a live server has written its entry again, and that of another one has
# expired: three without a write remove an entry.
SETTLE_HEARTBEATS = 5.0
MAX_DESCRIBED_ROWS = 100
MEMBERS_TABLE = "daemons"
MEMBERS_READ_INTERVAL_S = 15.0
MEMBERS_RETRY_INTERVAL_S = 3.0
# After a return of the store, the daemons that do not watch it write their rows over this time.
REWRITE_SPREAD_S = 15.0


class Peers:
    """Sends this daemon's state to the other daemons and handles theirs.

    A daemon that watches the store sends changed rows to the others. A daemon that does not watch,
    or whose calls to the store fail, receives them from the others.
    """

    def __init__(self, state: State, rng: Random) -> None:
        self._state = state
        self._client = StoreClient(state.cfg.store.address, heads.answer, state.clock, state.turns)
        self._watches = {
            table: TableWatch(
                table,
                self._client,
                state.mirror,
                self.on_store_rows,
                state.log,
                state.clock,
                rng,
                self._on_era,
                SETTLE_HEARTBEATS * state.cfg.heartbeat_s if table in RENEWED_TABLES else None,
            )
            for table in TABLES
        }
        self._gossip = gossip.Gossip(
            self._on_message, lambda reason: state.telemetry.add("datagrams_rejected", reason)
        )
        self._port = state.cfg.internal_ports[0]
        self._row_server = RowServer(
            state.mirror, self.removals_may_be_expired, state.members.is_known
        )
        # By table: a peer that has newer rows, and when its heartbeat showed them.
        self._newer_at_peer: dict[str, tuple[float, str]] = {}
        self._kept_known: dict[str, int] = {}  # by table: the era whose kept rows were pulled
        self._pulls: set[asyncio.Task[None]] = set()
        self._servers: list[asyncio.Server] = []
        self._announce_task: asyncio.Task[None] | None = None
        state.announce_migration_started = self.announce_migration_started
        state.announce_migration_done = self.announce_migration_done
        state.announce_load = self.announce_load
        self._totals_sent = 0
        self._totals_round = PacedRound(TOTALS_SPREAD_S, TOTALS_SLOT_S)
        self._round_heartbeat: gossip.Heartbeat | None = None  # of the round of totals
        self._totals_timer: asyncio.TimerHandle | None = None
        self._load_added_tokens = TokenBucket(LOAD_ADDED_PER_S, LOAD_ADDED_BURST)
        self._poison_spread = PoisonSpread(state, self._client, self._gossip, self._port)
        self._statement_spread = StatementSpread(state, self._gossip, self._port)
        self._rollout_spread = RolloutSpread(state, self._client, self._gossip, self._port)
        self._row_handler = RowHandler(
            state, self.send_heartbeats, self._send_leaving_runs, self._rollout_spread.on_row
        )
        self._leaving_spread = LeavingSpread(
            state, self._gossip, self._port, self._row_handler.on_server_leaving
        )

    async def start(self) -> None:
        """Open the sockets between daemons and start to watch the store."""
        loop = asyncio.get_running_loop()
        ip = self._state.cfg.ip
        await loop.create_datagram_endpoint(lambda: self._gossip, local_addr=(ip, self._port))
        self._servers.append(await asyncio.start_server(self._row_server.serve, ip, self._port))
        for watch in self._watches.values():
            watch.start()
        self._announce_task = loop.create_task(self.announce())

    def close(self) -> None:
        """Close the sockets and stop watching."""
        for watch in self._watches.values():
            watch.stop()
        self._poison_spread.close()
        self._statement_spread.close()
        self._rollout_spread.close()
        self._leaving_spread.close()
        self._gossip.close()
        if self._totals_timer is not None:
            self._totals_timer.cancel()
        for task in [*self._pulls, *([self._announce_task] if self._announce_task else [])]:
            task.cancel()
        for server in self._servers:
            server.close()

    @property
    def store_calls(self) -> int:
        """Return the number of calls made to the store."""
        return self._client.calls

    @property
    def row_requests_refused(self) -> int:
        """Return the number of requests for rows that were refused, since too many were open."""
        return self._row_server.refused

    def describe_store(self, now: float) -> dict[str, object]:
        """Return what is known of the store and what it lost, by table, for operators."""
        mirror = self._state.mirror
        return {
            table: {
                "era": mirror.position(table).era,
                "version": mirror.position(table).number,
                "risen_s": round(now - watch.risen_at, 1) if watch.risen_at is not None else None,
                "watched": watch.is_running,
                "kept": [
                    {"key": row.key, "row": list(row.revision), "removed": row.value is None}
                    for row, _ in mirror.kept(table)[:MAX_DESCRIBED_ROWS]
                ],
                "kept_rows": len(mirror.kept(table)),
            }
            for table, watch in self._watches.items()
        }

    def store_age_s(self, now: float) -> float:
        """Return the time since the store last answered, in seconds.

        The tables are read separately; the one whose last answer is the oldest counts.
        """
        answered = [watch.answered_at or 0.0 for watch in self._watches.values()]
        return now - min(answered)

    def on_pause(self) -> None:
        """Repeat the calls to the store after the process was suspended.

        Changes in that time may have been missed.
        """
        for watch in self._watches.values():
            watch.restart()

    def tick(self, now: float) -> None:
        """Run the periodic work other than heartbeats."""
        for change in self._state.replicas.tick(now):
            self._state.log("server_lapsed", server=change.entry.id)
            self._row_handler.on_server_leaving(change)
        self.pull_newer_rows(now)
        self.update_watching(now)
        self._poison_spread.tick(now)
        self._rollout_spread.tick(now)
        self._leaving_spread.tick(now, store_lost=self._store_lost())
        self._state.statements.forget(now)

    # Rows.

    def on_store_rows(
        self, table: str, rows: list[Row], before: Revision, after_outage: bool
    ) -> None:
        """Apply rows from the store; in a large fleet, send them to the daemons of the region.

        Parameters
        ----------
        before
            Position of the table before these rows.
        after_outage
            Whether the previous call to the store failed.
        """
        may_be_expired = after_outage or self.removals_may_be_expired()
        self._row_handler.apply(rows, "store", may_be_expired)
        now = self._state.clock()
        if self._state.mirror.position(table).era > before.era:
            # The others have to compare the rows with their own, so they pull them.
            self.send_heartbeats()
            self.send_heartbeat_to_region()
        elif rows and self._state.members.is_large(now):
            data = gossip.encode(gossip.Rows(table, before, rows, may_be_expired))
            if not self._gossip.send(data, self._state.members.in_own_region(now), self._port):
                # The heartbeat shows the newer version, so the other daemons pull the rows.
                self._state.log("rows_too_large", table=table, rows=len(rows), bytes=len(data))
                self.send_heartbeats()

    def removals_may_be_expired(self) -> bool:
        """Return whether the store was unreachable until less than `EXPIRY_WINDOW_S` ago.

        An entry removed until then may have expired although its server still runs.
        """
        watch = self._watches[names.SERVERS_TABLE]
        return watch.recovered_at > 0 and self._state.clock() - watch.recovered_at < EXPIRY_WINDOW_S

    # Generations on leaving engines.

    def _send_leaving_runs(self, server: str, runs: list[LeavingRun]) -> None:
        """Send the generations on a leaving engine to the daemons that may have others there.

        In a large fleet these are the daemons of this region and of the engine's region.
        """
        state, now = self._state, self._state.clock()
        entry = state.replicas.get(server)
        regions = {facts.region for facts in state.members.alive(now)}
        if state.members.is_large(now) and entry is not None:
            regions = {state.cfg.region, entry.replica.region}
        data = gossip.encode(gossip.LeavingRuns(state.cfg.ip, server, runs))
        self._gossip.send(data, state.members.in_regions(regions, now), self._port)

    def announce_migration_started(self, server: str, run: str) -> None:
        """Report that a generation now uses the network link of a leaving engine."""
        state = self._state
        state.migration_schedule.on_started(server, run, state.clock())
        self._send_started(server, run, state.migration_schedule.daemons(server))

    def _send_started(self, server: str, run: str, ips: set[str]) -> None:
        data = gossip.encode(gossip.MigrationStarted(server, run))
        self._gossip.send(data, sorted(ips), self._port)

    def announce_migration_done(self, server: str, run: str) -> None:
        """Report that a generation no longer needs the network link of a leaving engine.

        The report goes to the other daemons that have generations on this engine.
        """
        self._state.migration_schedule.on_finished(server, run)
        data = gossip.encode(gossip.MigrationDone(server, run))
        self._gossip.send(data, sorted(self._state.migration_schedule.daemons(server)), self._port)

    # Heartbeats and load.

    def announce_load(self, loads: dict[str, Load], region: str) -> None:
        """Send added load, such as a prompt that an engine has yet to process, without delay.

        Otherwise all daemons would send their prompts to the same idle engine between two
        heartbeats. In a large fleet, only the daemons of this region and of the engine's region
        receive it. If the rate limit does not allow a datagram to each of them, a random sample
        receives it; the others receive this load with the next heartbeat.
        """
        state, now = self._state, self._state.clock()
        if state.members.is_large(now):
            peers = state.members.in_regions({region, state.cfg.region}, now)
        else:
            peers = [facts.ip for facts in state.members.alive(now)]
        allowed = int(self._load_added_tokens.at(now))
        if len(peers) > allowed:
            peers = state.rng.sample(peers, allowed)
        self._load_added_tokens.take(len(peers))
        self._gossip.send(gossip.encode(gossip.LoadAdded(state.cfg.ip, loads)), peers, self._port)

    async def announce(self) -> None:
        """Write this daemon's row to the store, and read the others' rows periodically.

        After the first time, the rows are read only while this daemon watches the store, and when
        the store has returned from a copy: it may have lost this daemon's row.
        """
        written_in: int | None = None  # era
        failing = False
        while True:
            try:
                page = await self._client.read(MEMBERS_TABLE)
                for row in page.rows:
                    self._state.members.add_contact(row.key)
                self._state.members.mark_contacts_complete()
                era = page.era or 0
                if written_in != era and all(row.key != self._state.cfg.ip for row in page.rows):
                    await self._client.put(MEMBERS_TABLE, self._state.cfg.ip, b"")
                    if written_in is None:
                        self._state.on_first_start()
                written_in = era
                await self._poison_spread.read_store()
                failing = False
            except (StoreError, ValueError) as exc:
                if not failing:
                    self._state.log("members_unread", cause=str(exc))
                failing = True
            await asyncio.sleep(MEMBERS_RETRY_INTERVAL_S if failing else MEMBERS_READ_INTERVAL_S)
            while not self._watches[names.SERVERS_TABLE].is_running:
                if self._store_era() > (written_in or 0):
                    await asyncio.sleep(REWRITE_SPREAD_S * self._state.rng.random())
                    break
                await asyncio.sleep(MEMBERS_RETRY_INTERVAL_S)

    def _store_era(self) -> int:
        return self._state.mirror.position(names.SERVERS_TABLE).era

    def send_heartbeats(self) -> None:
        """Send the periodic heartbeats; an aggregator starts a round of the region's totals.

        Totals for other regions go first: they are few, and they travel furthest.
        """
        state, now = self._state, self._state.clock()
        state.members.advance_counter(state.lifecycle.state)
        to = state.members.targets(now, state.rng)
        heartbeat = self._heartbeat(now, aggregator=bool(to.region))
        self._send(heartbeat, to.reports)
        self._poison_spread.send_to(to.reports, now)
        self._statement_spread.send_to(to.reports, now)
        self._rollout_spread.send_to(to.reports, now)
        self._leaving_spread.send_to(to.reports, now)
        if not to.region and not to.other_regions:
            return
        self._totals_sent += 1
        self._round_heartbeat = heartbeat
        self._totals_round.start([*to.other_regions, *to.region])
        if self._totals_timer is None:
            self._send_next_totals()

    def _send_next_totals(self) -> None:
        """Send the region's total load to the next daemons of the round."""
        self._totals_timer = None
        heartbeat, group = self._round_heartbeat, self._totals_round.next_group()
        if not group or heartbeat is None:
            return
        state, now = self._state, self._state.clock()
        self._poison_spread.send_to(group, now)
        self._statement_spread.send_to(group, now)
        self._rollout_spread.send_to(group, now)
        self._leaving_spread.send_to(group, now)
        total, daemons = state.load_tracker.total(now), state.load_tracker.daemons()
        own_region = set(state.members.in_own_region(now))
        for ip in group:
            if ip in own_region:
                loads = state.load_tracker.total_without(ip, total)
                self._send(heartbeat._replace(loads=loads, daemons=daemons), [ip])
            else:
                self._send(heartbeat._replace(loads=total, daemons=daemons, other_regions=()), [ip])
        loop = asyncio.get_running_loop()
        self._totals_timer = loop.call_later(self._totals_round.slot_s, self._send_next_totals)

    def send_heartbeat_to_region(self) -> None:
        """Send a heartbeat to every daemon of the region after a change of state."""
        state, now = self._state, self._state.clock()
        state.members.advance_counter(state.lifecycle.state)
        self._send(self._heartbeat(now, aggregator=False), state.members.in_own_region(now))

    def _heartbeat(self, now: float, *, aggregator: bool) -> gossip.Heartbeat:
        state = self._state
        other_regions: tuple[gossip.RegionLoad, ...] = ()
        if aggregator and self._totals_sent % OTHER_REGIONS_EVERY_N_TOTALS == 0:
            other_regions = tuple(
                gossip.RegionLoad(region, int(1000 * age_s), loads)
                for region, (age_s, loads) in state.load_tracker.regions(now).items()
            )
        return gossip.Heartbeat(
            facts=state.members.own,
            versions={table: state.mirror.position(table).number for table in TABLES},
            loads=state.load_tracker.own(),
            eras=[
                (table, state.mirror.position(table).era, bool(state.mirror.kept(table)))
                for table in TABLES
            ],
            relayed=state.members.relayed(now, aggregator=aggregator),
            store_lost=self._store_lost(),
            other_regions=other_regions,
        )

    def _send(self, heartbeat: gossip.Heartbeat, ips: list[str]) -> None:
        if not ips:
            return
        data = gossip.encode(gossip.fit_to_datagram(heartbeat))
        if not self._gossip.send(data, ips, self._port):
            self._state.log("news_too_large", bytes=len(data), servers=len(heartbeat.loads))

    def _on_message(self, message: gossip.Message) -> None:
        now = self._state.clock()
        match message:
            case gossip.LeavingRuns(ip, server, runs):
                self._state.migration_schedule.on_runs(server, runs, now, ip)
                for run in self._state.migration_schedule.own_started(server):
                    self._send_started(server, run, {ip})
            case gossip.MigrationStarted(server, run):
                self._state.migration_schedule.on_started(server, run, now)
            case gossip.MigrationDone(server, run):
                self._state.migration_schedule.on_finished(server, run)
            case gossip.Rows():
                self._on_pushed_rows(message)
            case gossip.LoadAdded(ip, loads):
                self._state.load_tracker.on_peer_added(ip, loads, now)
            case gossip.Poison(_, news):
                self._poison_spread.on_peer(news)
            case gossip.Statements():
                self._statement_spread.on_peer(message)
            case gossip.Leaving():
                self._leaving_spread.on_peer(message)
            case gossip.Rollouts():
                self._rollout_spread.on_announcements(message)
            case Report():
                self._rollout_spread.on_report(message)
            case gossip.Heartbeat():
                self._on_heartbeat(message)

    def _on_pushed_rows(self, message: gossip.Rows) -> None:
        """Apply pushed rows unless earlier rows are missing, which are pulled later."""
        mirror, after, rows = self._state.mirror, message.after, message.rows
        position = mirror.position(message.table)
        if not message.has_era:
            after = after._replace(era=position.era)
            rows = [row._replace(era=position.era) for row in rows]
        if not mirror.is_complete(message.table) or position < after or position.era != after.era:
            return
        self._row_handler.apply(mirror.apply(rows), "peer", message.may_be_expired)

    def update_watching(self, now: float) -> None:
        """Start or stop watching the store, depending on the other daemons."""
        state = self._state
        members = state.members
        started = all(state.mirror.is_complete(table) for table in TABLES)
        watching = not started or watchers.should_watch(
            members.own, self._store_lost(), members.candidates(now), members.count(now)
        )
        for watch in self._watches.values():
            if watching != watch.is_running:
                self._state.log(
                    "watch_store", table=watch.table, on=watching, daemons=members.count(now)
                )
                (watch.start if watching else watch.stop)()

    def _store_lost(self) -> bool:
        """Return whether this daemon's calls to the store fail for any of the tables."""
        return any(watch.failing_since is not None for watch in self._watches.values())

    def _on_heartbeat(self, heartbeat: gossip.Heartbeat) -> None:
        state, now = self._state, self._state.clock()
        changed = state.members.on_heartbeat(heartbeat.facts, now, store_lost=heartbeat.store_lost)
        for facts in heartbeat.relayed:
            state.members.on_relayed(facts, now)
        self._on_load(heartbeat, now)
        if changed:
            state.log("daemon", ip=heartbeat.facts.ip, state=heartbeat.facts.state)
            if heartbeat.facts.state == STARTING and state.lifecycle.state == READY:
                # A starting daemon has received the state of few others. In a large fleet, which
                # sends heartbeats to some daemons at a time, it might wait long for the rest.
                self._send(self._heartbeat(now, aggregator=True), [heartbeat.facts.ip])
                self._poison_spread.send_to([heartbeat.facts.ip], now, repeat=True)
                self._statement_spread.send_to([heartbeat.facts.ip], now, repeat=True)
                self._rollout_spread.send_to([heartbeat.facts.ip], now, repeat=True)
        self._compare_positions(heartbeat, now)
        state.pump()

    def _compare_positions(self, heartbeat: gossip.Heartbeat, now: float) -> None:
        """Note the tables of which a peer has newer rows, or keeps rows that the store lost."""
        mirror, ip = self._state.mirror, heartbeat.facts.ip
        eras = {table: (era, kept) for table, era, kept in heartbeat.eras}
        for table, number in heartbeat.versions.items():
            if table not in self._watches:
                continue
            own = mirror.position(table)
            era, keeps = eras.get(table, (own.era, False))
            if Revision(era, number) > own:
                self._newer_at_peer.setdefault(table, (now, ip))
            elif keeps and era == own.era and self._kept_known.get(table) != era:
                self._newer_at_peer.setdefault(table, (now - PULL_DELAY_S, ip))

    def _on_load(self, heartbeat: gossip.Heartbeat, now: float) -> None:
        """Record the load of a daemon, or a region's total from an aggregator."""
        tracker, own = self._state.load_tracker, self._state.members.own
        is_other_region = heartbeat.facts.region != own.region
        if heartbeat.daemons > 1 and is_other_region:
            tracker.on_other_region(heartbeat.facts.region, heartbeat.loads, now)
        elif heartbeat.daemons > 1:
            tracker.on_region_sum(heartbeat.facts.ip, heartbeat.loads, heartbeat.daemons, now)
        elif not is_other_region or not self._state.members.is_large(now):
            tracker.on_peer(heartbeat.facts.ip, heartbeat.loads, now)
        for region, age_ms, loads in heartbeat.other_regions:
            if region != own.region:
                tracker.on_other_region(region, loads, now - age_ms / 1000)

    def pull_newer_rows(self, now: float) -> None:
        """Pull rows from a peer that has newer ones, if the store has not delivered them."""
        for table, (since, ip) in list(self._newer_at_peer.items()):
            if now - since < PULL_DELAY_S:
                continue
            del self._newer_at_peer[table]
            task = asyncio.get_running_loop().create_task(self._pull_rows(table, ip))
            self._pulls.add(task)
            task.add_done_callback(self._pulls.discard)

    async def _pull_rows(self, table: str, ip: str) -> None:
        """Request from a peer the rows of a table that this daemon lacks, and apply them.

        A failure is only logged: the next heartbeat that shows newer rows causes another pull.
        """
        mirror = self._state.mirror
        after = mirror.position(table) if mirror.is_complete(table) else FIRST
        try:
            pulled = await gossip.pull_rows(ip, self._port, table, after)
        except OSError as exc:
            self._state.log("peer_rows_failed", peer=ip, table=table, cause=str(exc))
            return
        position = mirror.position(table)
        if pulled.position.era < position.era:
            return  # The store returned from a copy since, and this daemon knows it.
        applied: list[Row] = []
        # If no row is newer, the store or another peer delivered them during the pull.
        if pulled.position > position or not mirror.is_complete(table):
            applied = (
                mirror.replace(table, _without_tombstones(pulled.rows), pulled.position)
                if pulled.is_full
                else mirror.apply(pulled.rows)
            )
        mirror.advance(table, pulled.position)
        self._kept_known[table] = pulled.position.era
        applied += mirror.merge_kept(table, pulled.kept, pulled.position.era)
        self._state.log(
            "peer_rows",
            peer=ip,
            table=table,
            after=after,
            rows=len(applied),
            kept=len(pulled.kept),
        )
        self._row_handler.apply(applied, "peer", pulled.may_be_expired)

    def _on_era(self, era: int) -> None:
        """Read the other tables again: the store returned from a copy."""
        for watch in self._watches.values():
            if watch.era is not None and watch.era < era:
                watch.restart()


def _without_tombstones(rows: list[Row]) -> list[Row]:
    return [row for row in rows if row.value is not None]
