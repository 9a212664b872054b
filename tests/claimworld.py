"""Deterministic simulation of claims: daemons' filters with one faulty table and one service.

Each of the following is a separate step, so that a pause or a crash can occur between any two:
carrying out an effect, serving a table call, delivering its answer, running a call, delivering its
answer.
"""

from expression import Ok

from lovageway.chain import Chain, Context, Filter, Wait, stop
from lovageway.claimrows import row_key
from lovageway.codes import Code, Refusal
from lovageway.controllers.budgets import Budgets
from lovageway.controllers.claims import Claims
from lovageway.events import (
    AttemptFailed,
    AttemptFinished,
    CallerGone,
    ReadRows,
    Refuse,
    Replay,
    Request,
    Row,
    StartAttempt,
    TableAnswered,
    Transact,
)
from lovageway.filters.attempt import Attempt
from lovageway.filters.idempotency import Claim, Lookup
from lovageway.model import Contract, Service

CONTRACT = Contract("clerks", (), ("counter-app",), 1e9, 100, 1e9, max_wait_s=60.0)
SERVICE = Service("counter-app", "plain", ("refund", "history"), ("history",), timeout_s=30.0)


class FixedContract(Filter):
    """Replacement of `Authenticate` with a fixed contract and service."""

    def admit(self, ctx, now, emit):
        return Ok(ctx._replace(contract=CONTRACT, service=SERVICE))


class AnyServer(Filter):
    """Replacement of `Admission` and `Routing`; requests wait while the daemon has no capacity."""

    def __init__(self, daemon):
        self.daemon = daemon

    def admit(self, ctx, now, emit):
        if self.daemon.full and not ctx.attempt:
            return stop(Wait(Refusal(Code.WAITED_TOO_LONG), ctx.arrived + CONTRACT.max_wait_s))
        return Ok(ctx._replace(server_id="counter-0", address="-", start_id="s"))


class Daemon:
    """The filters and controllers of one daemon that concern claims."""

    def __init__(self, world, name):
        self.world, self.name = world, name
        self.full = False
        self.claims = Claims(name, world.live)
        self.attempt = Attempt(Budgets())
        self.chain = Chain(
            [
                FixedContract(),
                Lookup(self.claims),
                AnyServer(self),
                Claim(self.claims),
                self.attempt,
            ]
        )
        self.paused = False
        self.outbox = []  # effects that are emitted but not carried out
        self.inbox = []  # events that have not been delivered

    def emit(self, effect):
        match effect:
            case ReadRows() | Transact() | StartAttempt():
                if isinstance(effect, StartAttempt) and not effect.attempt:
                    self.world.check_exclusions(effect.request_id)
                self.outbox.append(effect)
            case Refuse() | Replay():
                self.world.record_answer(effect)

    def handle(self, event):
        now = self.world.now
        match event:
            case Request():
                self.world.arrived[event.request_id] = now
                self.chain.enter(Context(event, arrived=now), now, self.emit)
            case TableAnswered():
                self.claims.on_table(event, now, self.emit)
                for request_id in self.claims.pop_ready():
                    self.chain.wake(request_id, now, self.emit)
            case AttemptFinished(request_id, _, _, answer):
                self.claims.finished(request_id, answer, now, self.emit)
                self.chain.finish(request_id, now, self.emit)
            case AttemptFailed(request_id, _, failure):
                self.claims.failed(request_id, failure, now, self.emit)
                ctx = self.chain.get(request_id)
                if ctx is not None:
                    outcome = self.attempt.failed(ctx, event)
                    if outcome.is_ok():
                        self.chain.retry(outcome.ok, AnyServer, now, self.emit)
                    else:
                        self.chain.refuse(request_id, outcome.error, now, self.emit)
            case CallerGone(request_id):
                self.chain.finish(request_id, now, self.emit)
            case None:
                self.claims.tick(now, self.emit)
                self.chain.retry_waiting(now, self.emit)


class World:
    """Daemons, the table service, the called service and the answers to callers."""

    def __init__(self, daemons=2):
        self.now = 100.0
        self.rows, self.revision = {}, 0
        self.calls = []  # table calls in progress: (daemon, effect)
        self.late = []  # transactions whose answer was lost and that may still take effect
        self.running = []  # calls at the service: (daemon, effect, answer)
        self.runs = {}  # key -> answers of the service, one for each run
        self.ran = set()  # request ids that ran
        self.submissions = {}  # request id -> (key, runs of the key when it arrived)
        self.answers = {}  # request id -> Refuse or Replay
        self.bodies = {}  # request id -> (key, fingerprint)
        self.arrived = {}  # request id -> when its daemon read it
        # Answers that exclude later runs: (key and fingerprint, time of the answer, last time at
        # which other copies may start).
        self.exclusions = []
        self.restarts = 0
        self.daemons = [Daemon(self, f"d{number}/0") for number in range(daemons)]

    def live(self):
        return {daemon.name for daemon in self.daemons if not daemon.paused}

    def submit(self, number, key, fingerprint="body"):
        """Send a call to a daemon and return its request id."""
        request_id = f"r{len(self.submissions)}"
        self.submissions[request_id] = (key, len(self.runs.get(key, ())))
        self.bodies[request_id] = (key, fingerprint)
        req = Request(request_id, "", "counter-app", "refund", fingerprint, 0, 0)
        daemon = self.daemons[number % len(self.daemons)]
        daemon.inbox.append(req._replace(idempotency_key=key))
        return request_id

    def crash(self, number):
        """Replace a daemon by a new one; the calls that it has sent continue."""
        self.restarts += 1
        index = number % len(self.daemons)
        self.daemons[index] = Daemon(self, f"d{index}/{self.restarts}")

    def advance(self, seconds):
        self.now += seconds
        for daemon in self.daemons:
            if not daemon.paused:
                daemon.handle(None)

    # ---- steps ----------------------------------------------------------------------------------

    def steps(self):
        """Return the possible next steps as functions of a fault."""
        found = []
        for daemon in self.daemons:
            if not daemon.paused:
                found += [lambda fault, d=daemon: d.handle(d.inbox.pop(0))] * bool(daemon.inbox)
                found += [lambda fault, d=daemon: self.carry_out(d)] * bool(daemon.outbox)
        for number in range(len(self.calls)):
            found.append(lambda fault, n=number: self.serve_table(n, fault))
        for number in range(len(self.late)):
            found.append(lambda fault, n=number: self.apply(self.late.pop(n)))
        for number in range(len(self.running)):
            found.append(lambda fault, n=number: self.complete(n, fault))
        return found

    def settle(self, fault="none", limit=2000):
        """Run all steps and advance the clock until no claim is left."""
        for _ in range(limit):
            steps = self.steps()
            if steps:
                steps[0](fault)
            elif any(daemon.claims.dump(0)["claims"] for daemon in self.daemons):
                self.advance(0.5)
            else:
                return
        raise AssertionError("claims are not settled in time")

    def carry_out(self, daemon):
        effect = daemon.outbox.pop(0)
        if isinstance(effect, StartAttempt):
            self.running.append((daemon, effect))
        else:
            self.calls.append((daemon, effect))

    def serve_table(self, number, fault):
        daemon, effect = self.calls.pop(number)
        status, rows = ("unknown" if isinstance(effect, Transact) else "down"), {}
        if fault == "down":
            status = "down"
        elif fault == "late" and isinstance(effect, Transact):
            self.late.append(effect)
        elif fault != "fail":
            done, found = self.apply(effect)
            if fault != "lose":
                status, rows = ("ok" if done else "conflict"), found
        daemon.inbox.append(TableAnswered(effect.op_id, status, rows))

    def apply(self, effect):
        if isinstance(effect, ReadRows):
            named = set(effect.keys)
            if effect.prefix:
                named |= {key for key in self.rows if key.startswith(effect.prefix)}
            return True, {key: self.rows[key] for key in named if key in self.rows}
        clash = [key for key, rev in effect.conditions if self.revision_of(key) != rev]
        if clash:
            return False, {key: self.rows[key] for key in clash if key in self.rows}
        self.revision += 1
        for key, value in effect.puts:
            self.rows[key] = Row(value, self.revision)
        for key in effect.deletes:
            self.rows.pop(key, None)
        return True, {key: self.rows[key] for key, _ in effect.puts}

    def revision_of(self, key):
        return self.rows[key].revision if key in self.rows else 0

    def complete(self, number, fault):
        """Run or refuse a call and answer the daemon that sent it."""
        daemon, effect = self.running.pop(number)
        name, attempt = effect.request_id, effect.attempt
        if fault in ("down", "late"):
            failure = {"down": "connect", "late": "refused"}[fault]
            daemon.inbox.append(AttemptFailed(name, attempt, failure, 0))
            return
        if fault != "fail":
            key, _ = self.submissions[name]
            self.runs.setdefault(key, []).append(f"answer of {name}")
            self.ran.add(name)
        if fault in ("fail", "lose"):
            daemon.inbox.append(AttemptFailed(name, attempt, "lost", 0))
        else:
            daemon.inbox.append(AttemptFinished(name, attempt, 0, f"answer of {name}"))

    # ---- invariants -----------------------------------------------------------------------------

    def record_answer(self, effect):
        self.answers[effect.request_id] = effect
        key, before = self.submissions[effect.request_id]
        runs = self.runs.get(key, [])
        if isinstance(effect, Replay):
            assert [effect.answer] == runs, f"{effect} but the service gave {runs}"
        elif effect.refusal.effect == "no" and effect.refusal.earlier is None:
            assert not before, f"{effect}, but the key had run before the submission"
        if isinstance(effect, Refuse) and effect.refusal.effect == "no":
            last = self.now + (effect.refusal.others_may_run_s or 0.0)
            self.exclusions.append((self.bodies[effect.request_id], self.now, last))

    def check_exclusions(self, name):
        """Assert that no answer to a caller of the key has excluded that this copy still runs."""
        for body, at, last in self.exclusions:
            if body == self.bodies[name] and self.arrived[name] <= at:
                assert self.now <= last, f"{name} begins at {self.now}, told at {at}: until {last}"

    def check(self):
        for key, answers in self.runs.items():
            assert len(answers) == 1, f"{key} ran {len(answers)} times"
        for name, effect in self.answers.items():
            if isinstance(effect, Refuse) and effect.refusal.effect == "no":
                assert name not in self.ran, f"{effect} but it ran"

    def state_of(self, key):
        row = self.rows.get(row_key("clerks", key))
        return row.value["state"] if row else None
