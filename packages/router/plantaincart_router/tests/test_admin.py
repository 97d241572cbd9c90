from collections.abc import AsyncIterator

import pytest
from plantaincart_router.admin import AdminProviders, AdminServer, Readiness
from plantaincart_router.http.client import HttpClient
from plantaincart_router.http.message import find_header
from plantaincart_router.metrics import METRICS_CONTENT_TYPE, Metrics
from plantaincart_schema.generated.settings import AdminSettings

HOST = "127.0.0.1"


@pytest.fixture
async def client() -> AsyncIterator[HttpClient]:
    metrics = Metrics("router-1")
    providers = AdminProviders(
        check_readiness=lambda: Readiness(ready=False, detail="starting"),
        render_metrics=metrics.render,
        describe_status=lambda: {"name": "router-1"},
        describe_key=lambda service, key: (
            {"service": service, "key": key} if service == "desk" else None
        ),
    )
    server = AdminServer(AdminSettings(host=HOST, port=0), providers)
    client = HttpClient(HOST, await server.start(), 5)
    yield client
    client.close()
    server.close()


@pytest.mark.parametrize(
    ("method", "target", "status", "part"),
    [
        ("GET", "/live", 200, b"live"),
        ("HEAD", "/live", 200, b""),
        ("GET", "/ready", 503, b'{"ready":false,"detail":"starting"}'),
        ("GET", "/metrics", 200, b'plantaincart_instance_info{name="router-1"} 1.0'),
        ("GET", "/status", 200, b'{"name":"router-1"}'),
        ("GET", "/key?service=desk&key=a%20b", 200, b'"key":"a b"'),
        ("GET", "/key?service=other&key=a", 404, b"no service other"),
        ("GET", "/key", 400, b"query needs service and key"),
        ("POST", "/status", 400, b"POST not allowed"),
        ("GET", "/", 404, b"no-route"),
        ("GET", "//[", 404, b"no-route"),
    ],
)
async def test_answers_by_path(
    client: HttpClient, method: str, target: str, status: int, part: bytes
) -> None:
    answer = await client.request(method, target)
    assert answer.status == status
    assert part in answer.body


async def test_metrics_content_type(client: HttpClient) -> None:
    answer = await client.request("GET", "/metrics")
    assert find_header(answer.headers, "content-type") == METRICS_CONTENT_TYPE
