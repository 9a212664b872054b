"""Calls that are not idempotent run at most once, whichever fault occurs between two steps."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from lovageway.claimrows import MAX_STORED_ANSWER_BYTES
from lovageway.codes import Code
from lovageway.events import CallerGone, Replay, StartAttempt
from tests.claimworld import World

FAULTS = ("none", "none", "none", "none", "lose", "late", "fail", "down")
ACTIONS = st.one_of(
    st.tuples(st.just("step"), st.integers(0, 30), st.sampled_from(FAULTS)),
    st.tuples(st.just("submit"), st.integers(0, 2), st.sampled_from("ab")),
    st.tuples(
        st.sampled_from(["pause", "crash", "gone", "wait", "full"]),
        st.integers(0, 9),
        st.integers(0, 4),
    ),
)


def play(world, actions):
    for kind, number, extra in actions:
        daemon = world.daemons[number % len(world.daemons)]
        match kind:
            case "step":
                # Several steps for each action, so that faults also hit the later steps of calls.
                for _ in range(1 + number % 3):
                    if steps := world.steps():
                        steps[number % len(steps)](extra)
            case "submit":
                world.submit(number, extra)
            case "pause":
                daemon.paused = not daemon.paused
            case "full":
                daemon.full = not daemon.full
            case "crash" if extra == 0:
                world.crash(number)
            case "gone" if daemon.chain.get(f"r{extra}") is not None:
                daemon.inbox.append(CallerGone(f"r{extra}"))
            case "wait":
                world.advance((0.1, 0.5, 2.1, 5.0, 100.0)[extra])
        world.check()


class AtMostOnce(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=1500)
    @given(st.lists(ACTIONS, min_size=10, max_size=80), st.integers(2, 3))
    def test_no_fault_between_two_steps_runs_a_key_twice_or_makes_a_refusal_untrue(
        self, actions, daemons
    ):
        # Guards against a second run, a wrong "ran: no", an altered stored answer and a copy that
        # starts later than the time in an answer to its key; `World` asserts each when it occurs.
        world = World(daemons)
        play(world, actions)
        for daemon in world.daemons:
            daemon.paused = daemon.full = False
        world.advance(0.0)
        world.settle()
        world.check()
        # Guards against rows that stay "sent" although their holder is live.
        names = {daemon.name for daemon in world.daemons}
        for key, row in world.rows.items():
            if key.startswith("claim/") and row.value["state"] == "sent":
                self.assertNotIn(row.value["node"], names)
        last = [world.submit(0, key) for key in "ab"]
        world.settle()
        world.check()
        for name in last:
            # Guards against a lost answer: an answer that a daemon received is replayed.
            key, _ = world.submissions[name]
            if world.state_of(key) == "done":
                stored = world.runs[key][0]
                answer = world.answers.get(name)
                self.assertTrue(name in world.ran or answer == Replay(name, stored), answer)


class Driven(unittest.TestCase):
    def drive(self, world, until):
        for _ in range(100):
            if until():
                return
            world.steps()[0]("none")
        self.fail("not reached")

    def refusal(self, world, name):
        return world.answers[name].refusal


class Resend(Driven):
    def running(self):
        """Return a world in which the service is running the call of daemon 0."""
        world = World(2)
        first = world.submit(0, "a")
        self.drive(world, lambda: world.running)
        return world, first

    def test_a_resend_while_the_call_runs_is_in_progress_through_every_daemon(self):
        # Guards against taking over a claim, and against a wrong "not run".
        world, _ = self.running()
        for number in (0, 1):
            name = world.submit(number, "a")
            self.drive(world, lambda name=name: name in world.answers)
            refusal = self.refusal(world, name)
            self.assertEqual((refusal.code, refusal.effect), (Code.IN_PROGRESS, "unknown"))
            self.assertEqual(refusal.retry_after_s, 1.0)

    def test_a_resend_after_the_holder_is_gone_has_an_unknown_outcome(self):
        # Guards against a takeover of a claim whose holder is paused or dead.
        world, _ = self.running()
        world.daemons[0].paused = True
        name = world.submit(1, "a")
        self.drive(world, lambda: name in world.answers)
        self.assertEqual(self.refusal(world, name).code, Code.OUTCOME_UNKNOWN)

    def test_the_answer_is_kept_when_the_caller_goes_while_the_call_runs(self):
        # Guards against a result that is dropped together with its request.
        world, first = self.running()
        world.daemons[0].handle(CallerGone(first))
        world.settle()
        name = world.submit(1, "a")
        world.settle()
        self.assertEqual(world.answers[name], Replay(name, f"answer of {first}"))

    def test_another_body_under_the_key_is_refused(self):
        # Guards against a replay of the answer to another request.
        world, _ = self.running()
        names = [world.submit(0, "a", "other"), world.submit(1, "a", "other")]
        world.settle()
        codes = {self.refusal(world, name).code for name in names}
        self.assertEqual(codes, {Code.IDEMPOTENCY_KEY_REUSED})

    def test_table_down_before_the_lookup_leaves_earlier_submissions_unknown(self):
        # Guards against "not run" for a key whose row could not be read.
        world, _ = self.running()
        name = world.submit(1, "a")
        while name not in world.answers:
            world.steps()[0]("down")
        refusal = self.refusal(world, name)
        self.assertEqual(refusal.code, Code.TABLE_DOWN)
        self.assertEqual(
            (refusal.effect, refusal.earlier, refusal.retry_after_s), ("no", "unknown", 5.0)
        )

    def test_a_lookup_is_awaited_for_two_seconds(self):
        # Guards against a caller that waits for as long as a slow table service takes.
        world = World(1)
        name = world.submit(0, "a")
        self.drive(world, lambda: world.calls)
        world.advance(1.9)
        self.assertNotIn(name, world.answers)
        world.advance(0.2)
        self.assertEqual(self.refusal(world, name).code, Code.TABLE_DOWN)
        world.settle()
        self.assertEqual(world.rows, {})

    def test_a_slow_table_holds_a_call_two_seconds_and_a_late_insert_runs_nothing(self):
        # Guards against calls that queue for a slow table service, and against a call sent under a
        # claim whose deadline has passed.
        world = World(1)
        name = world.submit(0, "a")
        self.drive(world, lambda: any("claim|" in call.op_id for _, call in world.calls))
        world.advance(1.9)
        self.assertNotIn(name, world.answers)
        world.advance(0.2)
        self.assertEqual(self.refusal(world, name).code, Code.CLAIM_UNKNOWN)
        world.settle()
        self.assertEqual((world.runs, world.state_of("a")), ({}, "not_run"))
        world.submit(0, "a")
        world.settle()
        self.assertEqual(len(world.runs["a"]), 1)

    def test_a_claim_that_cannot_be_read_back_is_never_used(self):
        # Guards against sending under a claim that another daemon may hold.
        for fault in ("lose", "late", "fail"):
            world = World(1)
            name = world.submit(0, "a")
            self.drive(world, lambda world=world: any("claim|" in c.op_id for _, c in world.calls))
            world.steps()[-1](fault)
            while name not in world.answers:
                world.steps()[0]("fail")
            self.assertEqual(self.refusal(world, name).code, Code.CLAIM_UNKNOWN, fault)
            world.settle()
            self.assertEqual((world.runs, world.state_of("a")), ({}, "not_run"), fault)

    def test_a_refused_attempt_is_sent_again_under_the_same_claim_and_then_given_up(self):
        # Guards against a second claim for a retry, and against a row that stays "sent" although
        # it is proved that the call did not run.
        world, first = self.running()
        while first not in world.answers:
            world.steps()[-1]("down" if world.running else "none")
        refusal = self.refusal(world, first)
        self.assertEqual((refusal.code, refusal.effect), (Code.RETRY_BUDGET, "no"))
        world.settle()
        self.assertEqual((world.runs, world.state_of("a")), ({}, "not_run"))
        claims = [key for key in world.rows if key.startswith("claim-index/")]
        self.assertEqual(len(claims), 1)

    def test_a_late_not_run_does_not_undo_a_later_claim(self):
        # Guards against a write that takes effect late, so that a third submission runs the call
        # again.
        world, _ = self.running()
        while not world.late:
            world.steps()[-1]("down" if world.running else "late")
        late = world.late.pop()
        self.assertEqual(late.puts[0][1]["state"], "not_run")
        world.settle()
        world.submit(1, "a")
        world.settle()
        world.apply(late)
        world.submit(0, "a")
        world.settle()
        world.check()
        self.assertEqual(len(world.runs["a"]), 1)

    def test_a_long_answer_leaves_a_marker_that_a_resend_reports(self):
        # Guards against unbounded rows and against the replay of a truncated answer.
        world, first = self.running()
        daemon, effect = world.running.pop()
        self.assertIsInstance(effect, StartAttempt)
        daemon.claims.finished(first, "x" * (MAX_STORED_ANSWER_BYTES + 1), world.now, daemon.emit)
        world.settle()
        name = world.submit(1, "a")
        world.settle()
        refusal = self.refusal(world, name)
        self.assertEqual((refusal.code, refusal.effect), (Code.ANSWER_NOT_STORED, "yes"))

    def test_result_writes_that_fail_are_repeated_until_they_succeed(self):
        # Guards against a result that is lost because one write failed.
        world, first = self.running()
        for fault in ("lose", "late", "fail", "down") * 3:
            while steps := world.steps():
                steps[-1]("none" if world.running else fault)
            world.advance(5.0)
        world.settle()
        self.assertEqual(world.state_of("a"), "done")
        name = world.submit(1, "a")
        world.settle()
        self.assertEqual(world.answers[name], Replay(name, f"answer of {first}"))


class OtherCopies(Driven):
    def waiting(self):
        """Return a world, a copy that waits at daemon 0, and daemon 1's refusal of another."""
        world = World(2)
        world.daemons[0].full = True
        copy = world.submit(0, "a")
        self.drive(world, lambda: not world.steps())
        refused = world.submit(1, "a")
        self.drive(world, lambda: any("claim|" in call.op_id for _, call in world.calls))
        while refused not in world.answers:
            world.steps()[0]("down")
        return world, copy, self.refusal(world, refused)

    def test_a_refusal_says_for_how_long_a_waiting_copy_may_still_run(self):
        # Guards against "not run" without a notice of another copy that may still run.
        world, copy, refusal = self.waiting()
        self.assertEqual(
            (refusal.effect, refusal.earlier, refusal.others_may_run_s), ("no", None, 65.0)
        )
        world.daemons[0].full = False
        world.advance(50.0)
        world.settle()
        self.assertIn(copy, world.ran)

    def test_a_copy_whose_daemon_was_paused_does_not_run_after_that_time(self):
        # Guards against a copy that a paused daemon starts after the time stated to a caller.
        world, copy, refusal = self.waiting()
        world.daemons[0].paused = True
        world.advance(refusal.others_may_run_s + 0.1)
        world.daemons[0].paused = world.daemons[0].full = False
        world.advance(0.0)
        world.settle()
        self.assertEqual((world.ran, self.refusal(world, copy).effect), (set(), "no"))

    def test_a_claim_confirmed_while_the_daemon_was_paused_is_not_used(self):
        # Guards against a call sent under a claim after its caller's wait has ended.
        world = World(2)
        name = world.submit(0, "a")
        self.drive(world, lambda: any("claim|" in call.op_id for _, call in world.calls))
        world.daemons[0].paused = True
        world.steps()[0]("none")
        world.advance(100.0)
        world.daemons[0].paused = False
        world.settle()
        self.assertEqual((world.ran, world.state_of("a")), (set(), "not_run"))
        self.assertEqual(self.refusal(world, name).code, Code.CLAIM_UNKNOWN)
        self.assertEqual(self.refusal(world, name).effect, "no")
