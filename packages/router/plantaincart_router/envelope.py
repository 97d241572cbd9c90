"""Envelopes of the messages that an instance sends to its peers."""

from collections.abc import Callable

from plantaincart_core.clock import HybridClock
from plantaincart_schema.codec import encode_msgpack
from plantaincart_schema.generated.mesh import Envelope

from plantaincart_router.identity import Identity

__all__ = ["EnvelopeEncoder"]


class EnvelopeEncoder:
    """
    Encode envelopes and payloads, and count what is sent.

    Parameters
    ----------
    identity : Identity
        Identity of this instance.
    clock : HybridClock
        Source of the time in every envelope.
    """

    def __init__(self, identity: Identity, clock: HybridClock) -> None:
        self._identity = identity
        self._clock = clock
        self.messages_sent = 0
        self.bytes_sent = 0

    def encode(self, message: object) -> bytes:
        """Encode the payload of a message and count it as sent."""
        payload = encode_msgpack(message)
        self.messages_sent += 1
        self.bytes_sent += len(payload)
        return payload

    def make_envelope_builder(self, message: object) -> Callable[[int], bytes]:
        """Return a function that encodes a message's envelope, given its number."""
        kind = type(message).__name__

        def build(number: int) -> bytes:
            return encode_msgpack(
                Envelope(
                    kind=kind,
                    id=number,
                    sender=self._identity.name,
                    incarnation=self._identity.incarnation,
                    clock=self._clock.tick(),
                )
            )

        return build

    def encode_answer_envelope(self, answer: object, request: Envelope) -> bytes:
        """Encode the envelope of an answer to a request."""
        return encode_msgpack(
            Envelope(
                kind=type(answer).__name__,
                id=request.id,
                sender=self._identity.name,
                incarnation=request.incarnation,
                clock=self._clock.tick(),
                answer=True,
            )
        )
