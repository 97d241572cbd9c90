"""The row that names the coordinator, as instances read it."""

from asyncio import get_running_loop
from dataclasses import replace

import pytest
from plantaincart_router.direct.termrow import COORDINATOR_KEY, COORDINATOR_TABLE
from plantaincart_router.direct.tests.memorysystem import run_system
from plantaincart_schema.exception import MalformedMessageError


async def test_row_that_cant_be_decoded_shows_that_the_store_answers():
    """Guards against feeds that wait for calls which an outage has lost."""
    async with run_system(get_running_loop()) as system:
        coordinator = system.find_coordinator()
        member = next(
            instance
            for instance in system.instances.values()
            if instance != coordinator
        )
        identity = COORDINATOR_TABLE, COORDINATOR_KEY
        row = system.store.rows[identity]
        system.store.rows[identity] = replace(row, value=b"{")
        member.follower._row_read_failed = True
        read_at, known = member.follower._term.read_at, member.follower._term.row
        with pytest.raises(MalformedMessageError):
            await member.follower._read_row()
        system.store.rows[identity] = row
        assert not member.follower._row_read_failed
        assert member.follower._term.read_at > read_at
        assert member.follower._term.row == known
