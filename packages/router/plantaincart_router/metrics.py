"""Metrics of one instance in the Prometheus text format."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    Info,
    generate_latest,
)
from prometheus_client.exposition import CONTENT_TYPE_LATEST

__all__ = ["METRICS_CONTENT_TYPE", "Metrics"]

METRICS_CONTENT_TYPE = CONTENT_TYPE_LATEST
LATENCY_BUCKETS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.015,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
    30.0,
)
CALL_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0)


class Metrics:
    """
    Counters, gauges and histograms of an instance, in a separate registry.

    Parameters
    ----------
    instance : str
        Name of the instance.

    Notes
    -----
    Label values come from the configuration and from fixed sets, never from requests,
    so their number is bounded.

    Examples
    --------
    >>> metrics = Metrics("router-1")
    >>> metrics.record_answer("yard-desk", "ran", "", 0.004)
    >>> b'answers_total{reason="",service="yard-desk",' in metrics.render()
    True
    """

    def __init__(self, instance: str) -> None:
        self.registry = CollectorRegistry()
        info = Info("plantaincart_instance", "This instance", registry=self.registry)
        info.info({"name": instance})
        self._latencies: dict[tuple[str, str], Histogram] = {}
        self._answers: dict[tuple[str, str, str], Counter] = {}
        self._add_entry_metrics()
        self._add_dispatch_metrics()
        self._add_ownership_metrics()
        self._add_platform_metrics()
        self._add_mesh_metrics()

    def record_answer(
        self, service: str, verdict: str, reason: str, latency_s: float
    ) -> None:
        """
        Count an answer to a caller.

        Parameters
        ----------
        service : str
            Service; empty for a request without route.
        verdict : str
            Verdict of the answer.
        reason : str
            Problem type; empty for the answer of an upstream.
        latency_s : float
            Seconds from the receipt of the whole request to its answer.
        """
        latency = self._latencies.get((service, verdict))
        if latency is None:
            latency = self.request_seconds.labels(service, verdict)
            self._latencies[service, verdict] = latency
        latency.observe(latency_s)
        answers = self._answers.get((service, verdict, reason))
        if answers is None:
            answers = self.answers.labels(service, verdict, reason)
            self._answers[service, verdict, reason] = answers
        answers.inc()

    def render(self) -> bytes:
        """
        Render all metrics.

        Returns
        -------
        bytes
            Text of type `METRICS_CONTENT_TYPE`.
        """
        return generate_latest(self.registry)

    def _add_entry_metrics(self) -> None:
        self.request_seconds = self._histogram(
            "request_seconds", "Seconds from request to answer", "service", "verdict"
        )
        self.answers = self._counter(
            "answers", "Answers to callers", "service", "verdict", "reason"
        )
        self.entry_in_flight = self._gauge("entry_in_flight", "Requests held")
        self.entry_connections = self._gauge("entry_connections", "Caller connections")
        self.callers_gone = self._counter(
            "callers_gone", "Requests whose caller left before the answer", "service"
        )

    def _add_dispatch_metrics(self) -> None:
        self.queue_length = self._gauge(
            "queue_length", "Requests that wait in a led shard", "service", "shard"
        )
        self.queue_seconds = self._histogram(
            "queue_seconds", "Seconds that requests waited for a slot", "service"
        )
        self.upstream_in_flight = self._gauge(
            "upstream_in_flight", "Requests at an upstream", "service", "upstream"
        )
        self.upstream_limit = self._gauge(
            "upstream_limit", "Requests an upstream may run", "service", "upstream"
        )
        self.upstream_seconds = self._histogram(
            "upstream_seconds", "Seconds from dispatch to answer", "service"
        )
        self.dispatches = self._counter(
            "dispatches", "Requests sent to upstreams", "service"
        )
        self.retries = self._counter("retries", "Further attempts", "service")
        self.hedges = self._counter("hedges", "Second copies sent", "service")
        self.sheds = self._counter(
            "sheds", "Requests that upstreams refused to run", "service"
        )
        self.exchange_failures = self._counter(
            "exchange_failures", "Upstream exchanges without answer", "service", "error"
        )
        self.quarantined = self._counter(
            "quarantined", "Requests refused as quarantined", "service"
        )
        self.records = self._gauge("records", "Idempotency records kept", "service")
        self.replays = self._counter(
            "replays", "Recorded answers sent again", "service"
        )

    def _add_ownership_metrics(self) -> None:
        self.lease_held = self._gauge("lease_held", "1 while the lease is held")
        self.lease_remaining_s = self._gauge(
            "lease_remaining_seconds", "Seconds that the lease is still held"
        )
        self.under_promises = self._gauge(
            "under_promises", "1 while leading under successors' promises"
        )
        self.shards_led = self._gauge("shards_led", "Shards led", "service")
        self.takeovers = self._counter("takeovers", "Shards taken over", "kind")
        self.slot_moves = self._counter("slot_moves", "Slots moved", "service", "cause")
        self.grants = self._counter("grants", "Grant calls", "service", "outcome")
        self.configuration_version = self._gauge(
            "configuration_version", "Version in force"
        )

    def _add_platform_metrics(self) -> None:
        self.table_reachable = self._gauge(
            "table_reachable", "1 while the platform's table answers"
        )
        self.table_calls = self._counter(
            "table_calls", "Calls to the table", "call", "outcome"
        )
        self.table_seconds = self._histogram(
            "table_seconds", "Seconds of a table call", "call", buckets=CALL_BUCKETS_S
        )

    def _add_mesh_metrics(self) -> None:
        self.mesh_peers = self._gauge("mesh_peers", "Live peers")
        self.mesh_messages = self._counter(
            "mesh_messages", "Messages between instances", "kind", "direction"
        )
        self.mesh_bytes = self._counter(
            "mesh_bytes", "Bytes between instances", "direction"
        )
        self.mesh_replaced = self._counter(
            "mesh_connections_replaced", "Silent connections replaced"
        )
        self.mesh_malformed = self._counter(
            "mesh_messages_malformed", "Messages that don't decode"
        )

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(f"plantaincart_{name}", text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str, *labels: str) -> Gauge:
        return Gauge(f"plantaincart_{name}", text, labels, registry=self.registry)

    def _histogram(
        self,
        name: str,
        text: str,
        *labels: str,
        buckets: tuple[float, ...] = LATENCY_BUCKETS_S,
    ) -> Histogram:
        return Histogram(
            f"plantaincart_{name}",
            text,
            labels,
            registry=self.registry,
            buckets=buckets,
        )
