"""Check the results of commands while the platform fails (promises 2 and 11)."""

import unittest

import anyio

from lentilrouter.distribution import commit, holder
from lentilrouter.moves import commands
from lentilrouter.sheet import history, model
from lentilrouter.store import base
from tests import doubles


def one_service(shares):
    """Return a change after which the sheet has one service with these shares."""
    return commands.replace_all({"ledger": doubles.service("ledger", shares)})


class CommitTests(unittest.TestCase):
    def setUp(self):
        self.store = doubles.FaultyStore()
        self.committer = commit.Committer(self.store, holder.Holder())

    def commit(self, id, shares, fingerprint=b"f"):
        change = one_service(shares)
        return anyio.run(self.committer.commit, id, fingerprint, change)

    def head(self):
        return anyio.run(self.committer.current)

    # Guards against a command that is applied twice: the head was written, but the
    # response to the write was lost.
    def test_head_write_with_lost_response_is_committed_once(self):
        self.store.script = ["ok", "lost"]
        outcome = self.commit("a", {"v1": 100})
        self.assertIsInstance(outcome, commit.Committed)
        self.assertTrue(outcome.repeated)
        self.assertEqual(self.head().sheet.revision, 1)

    # Guards against a refused command: only responses to writes of a part were lost.
    def test_part_write_with_lost_response_is_repeated(self):
        self.store.script = ["lost", "lost"]
        outcome = self.commit("a", {"v1": 100})
        self.assertEqual((outcome.revision, outcome.repeated), (1, False))

    # Guards against a new head without its parts.
    def test_command_whose_part_cannot_be_written_is_refused(self):
        self.store.script = ["lost"] * 3
        outcome = self.commit("a", {"v1": 100})
        self.assertIsInstance(outcome, commit.Refused)
        self.assertEqual(self.head().sheet.revision, 0)

    # Guards against a repeat that undoes a later command.
    def test_repeated_command_is_not_applied_again(self):
        self.commit("a", {"v1": 100})
        self.commit("b", {"v1": 50, "v2": 50})
        outcome = self.commit("a", {"v1": 100})
        self.assertEqual((outcome.revision, outcome.repeated), (1, True))
        self.assertEqual(self.head().sheet.services["ledger"].shares["v2"], 50)

    # Guards against a command that counts as done because its id was used before.
    def test_id_of_another_command_is_refused(self):
        self.commit("a", {"v1": 100})
        outcome = self.commit("a", {"v2": 100}, b"other")
        self.assertEqual(outcome.problems[0].id, "command.E001")

    # Guards against overwriting another command that was committed in the meantime.
    def test_change_is_applied_again_to_the_head_of_a_rival(self):
        rival = commit.Committer(self.store, holder.Holder())
        seen = []

        async def run_rival():
            self.store.script = []
            await rival.commit("rival", b"r", one_service({"v1": 100}))

        def change(services):
            seen.append(sorted(services))
            return one_service({"v1": 50, "v2": 50})(services)

        self.store.rival = run_rival
        self.store.script = ["ok", "race"]
        outcome = anyio.run(self.committer.commit, "a", b"f", change)
        self.assertEqual(outcome.revision, 2)
        self.assertEqual(seen, [[], ["ledger"]])

    # Guards against a command that takes effect after it was refused.
    def test_command_is_refused_while_the_platform_is_down(self):
        self.store.down = True
        outcome = self.commit("a", {"v1": 100})
        self.assertIsInstance(outcome, commit.Refused)
        self.assertEqual(outcome.problems[0].id, "command.E005")
        self.store.down = False
        self.assertEqual(self.head().sheet.revision, 0)

    # Guards against calling a command refused that took effect: the response to the
    # write was lost, and then the platform could not be read.
    def test_command_is_undecided_if_the_platform_fails_after_the_write(self):
        self.store.script = ["ok", "lost"]
        original = self.store.get

        async def get(key):
            return (
                base.Unavailable("down")
                if not self.store.script
                else await original(key)
            )

        self.store.get = get
        outcome = self.commit("a", {"v1": 100})
        self.assertIsInstance(outcome, commit.Undecided)
        self.store.get = original
        self.assertTrue(self.commit("a", {"v1": 100}).repeated)

    # Guards against a mixed sheet after the process ended during a commit.
    def test_cancelled_commit_leaves_the_earlier_sheet(self):
        self.commit("a", {"v1": 100})

        async def interrupted():
            with anyio.CancelScope() as scope:

                async def put(key, value, expect=None, lease=None):
                    if key == history.HEAD_KEY:
                        scope.cancel()
                        await anyio.sleep(1)
                    return self.store.keys.put(key, value, expect, lease)

                self.store.put = put
                await self.committer.commit("b", b"f", one_service({"v2": 100}))

        anyio.run(interrupted)
        current = self.head()
        self.assertEqual(current.sheet.revision, 1)
        self.assertEqual(current.sheet.services["ledger"].shares, {"v1": 100})

    # Guards against activating a damaged part.
    def test_part_that_does_not_match_its_digest_is_not_read(self):
        self.commit("a", {"v1": 100})
        key = next(k for k in self.store.keys.entries if k.startswith("sheet/parts/"))
        self.store.keys.entries[key].value += b" "
        self.assertIsInstance(self.head(), base.Unavailable)

    # Guards against parts that pile up, and against deleting parts in use.
    def test_old_parts_are_deleted_and_only_those(self):
        for number in range(history.RETENTION_REVISIONS + 20):
            share = number % 2
            self.commit(f"c{number}", {"v1": 100 - share, "v2": share})
        keys = [k for k in self.store.keys.entries if k.startswith("sheet/parts/")]
        self.assertLessEqual(len(keys), history.RETENTION_REVISIONS + 2)
        self.assertIsInstance(self.head(), commit.Current)


class MoveCommandTests(unittest.TestCase):
    def services(self, **fields):
        move = model.Move("m", "v1", "v2", 0.0, 60.0, **fields)
        return {"ledger": doubles.service(move=move)}

    # Guards against a late or repeated step that lowers a share or reopens a move.
    def test_share_only_rises_and_final_states_stay(self):
        running = self.services(permille=200)
        self.assertIsInstance(commands.step("ledger", "m", 100)(running), list)
        self.assertIsInstance(commands.step("ledger", "other", 300)(running), list)
        ended = self.services(state=model.MoveState.TAKEN_BACK)
        self.assertIsInstance(commands.step("ledger", "m", 500)(ended), list)
        done = commands.end("ledger", "m", model.MoveState.DONE)
        self.assertIsInstance(done(ended), list)

    # Guards against a share that returns to the old version after the move.
    def test_done_move_gives_the_share_to_the_new_version(self):
        done = commands.end("ledger", "m", model.MoveState.DONE)
        changed = done(self.services(permille=1000))
        self.assertEqual(changed["ledger"].shares, {"v2": 100})

    # Guards against two moves that change the same shares.
    def test_second_move_is_refused_while_one_runs(self):
        move = model.Move("n", "v1", "v3", 0.0, 60.0)
        found = commands.start("ledger", move)(self.services())
        self.assertEqual(found[0].id, "move.E003")

    # Guards against starting moves that cannot succeed.
    def test_time_in_the_past_and_unknown_version_are_refused(self):
        services = {"ledger": doubles.service()}
        past = model.Move("n", "v1", "v3", 60.0, 60.0)
        self.assertEqual(commands.start("ledger", past)(services)[0].id, "move.E004")
        none = model.Move("n", "v0", "v3", 0.0, 60.0)
        self.assertEqual(commands.start("ledger", none)(services)[0].id, "move.E005")


if __name__ == "__main__":
    unittest.main()
