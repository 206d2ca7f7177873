from __future__ import annotations

import logging

import attrs
import pytest
from loguru import logger
from twisted.internet import reactor

from gentianhitch.addresses import Address
from gentianhitch.errors import ExitCode
from gentianhitch.operators import answers
from gentianhitch.operators import keys
from gentianhitch.operators.documents import Change
from gentianhitch.operators.entry_client import EntryCallError
from gentianhitch.operators.entry_client import EntryClient
from gentianhitch.operators.keys import KeyChange
from gentianhitch.operators.trial import TrialResponse
from tests.builders_operators import OPERATOR_KEY
from tests.builders_operators import serve_operators
from tests.builders_platform import make_document
from tests.builders_platform import make_platform
from tests.running import run_on_reactor

REFUSING_ADDRESS = Address("127.0.0.1", 1)


async def promote_first(client: EntryClient) -> Change:
    call = answers.TrialCall("t1", make_document())
    await client.change("PUT", "/trial", call, TrialResponse)
    return await client.change("POST", "/promote", answers.PromoteCall("t1"), Change)


class TestOperatorsResource:
    def test_trial_promotion_keys_and_status(self) -> None:
        async def scenario() -> None:
            client = serve_operators(make_platform())
            change = await promote_first(client)
            assert change.changed_by.startswith("ana (key ")
            give = answers.GiveKeyCall("g", "nord", keys.hash_key("k"))
            given = await client.change("POST", "/keys/give", give, KeyChange)
            listed = await client.get("/keys", answers.KeysResponse)
            assert listed.keys[0] == answers.KeyListing("nord", (given.key_id,))
            withdraw = answers.WithdrawKeyCall("w", "nord", given.key_id)
            await client.change("POST", "/keys/withdraw", withdraw, KeyChange)
            status = await client.get("/status", answers.StatusResponse)
            assert status.document and status.document.revision == 3
            assert status.trial and status.trial.id == "t1"

        run_on_reactor(scenario())

    def test_error_responses_carry_the_exit_code(self) -> None:
        async def scenario() -> None:
            platform = make_platform()
            client = serve_operators(platform)
            for call, expected in [
                (answers.PromoteCall("t0"), ExitCode.USAGE),
                ("not a call", ExitCode.USAGE),
            ]:
                with pytest.raises(EntryCallError) as caught:
                    await client.change("POST", "/promote", call, Change)
                assert caught.value.exit_code == expected
            await promote_first(client)
            with pytest.raises(EntryCallError, match="to ana") as caught:
                await client.change(
                    "POST", "/promote", answers.PromoteCall("t0"), Change
                )
            assert caught.value.exit_code == ExitCode.LOST_RACE
            platform.shared.outage = True
            with pytest.raises(EntryCallError) as caught:
                await client.get("/status", answers.StatusResponse)
            assert caught.value.exit_code == ExitCode.FAILED

        run_on_reactor(scenario())

    @pytest.mark.parametrize("key", ["wrong", "", keys.hash_key(OPERATOR_KEY)])
    def test_unknown_operator_key_is_refused(self, key: str) -> None:
        async def scenario() -> None:
            client = attrs.evolve(serve_operators(make_platform()), operator_key=key)
            with pytest.raises(EntryCallError, match="operator key"):
                await client.get("/status", answers.StatusResponse)

        run_on_reactor(scenario())

    def test_refused_connection_reports_no_change(self) -> None:
        async def scenario() -> None:
            client = EntryClient(reactor, REFUSING_ADDRESS, OPERATOR_KEY, "ana")
            with pytest.raises(EntryCallError, match="nothing was changed") as caught:
                await client.change(
                    "POST", "/promote", answers.PromoteCall("t"), Change
                )
            assert caught.value.exit_code == ExitCode.FAILED

        run_on_reactor(scenario())

    def test_logs_and_reprs_do_not_contain_the_key(self) -> None:
        lines: list[str] = []
        sink = logger.add(lines.append, level=logging.DEBUG)

        async def scenario() -> None:
            client = serve_operators(make_platform())
            await promote_first(client)
            lines.append(repr(client))

        run_on_reactor(scenario())
        logger.remove(sink)
        assert len(lines) > 2
        assert OPERATOR_KEY not in "".join(lines)
