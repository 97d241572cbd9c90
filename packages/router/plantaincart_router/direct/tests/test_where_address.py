"""The address of questions at a running instance."""

from contextlib import asynccontextmanager
from dataclasses import replace

from plantaincart_router.direct.instance import DirectInstance
from plantaincart_router.direct.interface import Platform
from plantaincart_router.direct.tests.cutsystem import WaitingClient, find_fixed_port
from plantaincart_router.direct.tests.fakes import (
    MemoryGrants,
    MemoryStore,
    PlainDialect,
    PlainReader,
    make_settings,
)
from plantaincart_router.http.client import HttpClient
from plantaincart_schema.codec import decode_json
from plantaincart_schema.generated.where import Explanation

QUESTION = "/where?method=GET&host=a.example&target=%2Fx"


@asynccontextmanager
async def run_instance():
    names = ("front_port", "ready_port", "metrics_port")
    ports = {name: find_fixed_port() for name in names}
    settings = replace(make_settings(peer_port=find_fixed_port()), **ports)
    platform = Platform(
        store=WaitingClient(MemoryStore(), "router-1"),
        reader=PlainReader(),
        grants=MemoryGrants({}),
        header_codec=PlainDialect(),
    )
    instance = DirectInstance(settings, platform, "/ready")
    await instance.start()
    try:
        yield settings
    finally:
        instance.close()


async def ask(port, target):
    http = HttpClient("127.0.0.1", port, 2.0)
    try:
        return await http.request("GET", target)
    finally:
        http.close()


async def test_instance_without_a_configuration_says_so():
    async with run_instance() as settings:
        answer = await ask(settings.metrics_port, QUESTION)
        explanation = decode_json(answer.body, Explanation)
        assert answer.status == 200
        assert explanation.instance == settings.name
        assert explanation.configuration_version == 0
        assert explanation.refusal.detail == "no configuration known yet"


async def test_questions_are_answered_beside_the_metrics_alone():
    async with run_instance() as settings:
        metrics = await ask(settings.metrics_port, "/metrics")
        assert b"plantaincart_in_flight" in metrics.body
        callers = await ask(settings.front_port, QUESTION)
        assert (callers.status, b"configuration_version" in callers.body) == (
            503,
            False,
        )
        ready = await ask(settings.ready_port, QUESTION)
        assert ready.status == 404
