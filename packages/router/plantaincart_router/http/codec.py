"""Encoding of requests and decoding of complete answers."""

from typing import cast

from h11 import (
    CLIENT,
    DONE,
    NEED_DATA,
    PAUSED,
    Connection,
    Data,
    EndOfMessage,
    LocalProtocolError,
    RemoteProtocolError,
    Request,
    Response,
)

from plantaincart_router.exception import (
    AnswerLostError,
    AnswerMalformedError,
    SendFailedError,
)
from plantaincart_router.http.framing import (
    BODILESS_STATUSES,
    decode_headers,
    frame_request,
)
from plantaincart_router.http.message import HttpAnswer, HttpRequest

__all__ = ["ClientCodec"]

MAX_HEAD_BYTES = 65536
MAX_ANSWER_BYTES = 64 * 1024 * 1024


class ClientCodec:
    """
    HTTP/1.1 client state of one connection, without its transport.

    Parameters
    ----------
    address : str
        Host and port of the server, for the Host header and error messages.
    accepts_unframed : bool
        Whether an answer without a length ends when the server closes the
        connection; otherwise such an answer is an error.

    Attributes
    ----------
    reusable : bool
        Whether another request may be sent after the last answer.
    """

    def __init__(self, address: str, accepts_unframed: bool = False) -> None:
        self._address = address
        self._accepts_unframed = accepts_unframed
        self._method = ""
        self._sent_head: Request | None = None
        self.reset()

    def reset(self) -> None:
        """Discard a request that was encoded but not sent."""
        self._http = Connection(CLIENT, MAX_HEAD_BYTES)
        self._head: Response | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self.reusable = True

    def encode(self, request: HttpRequest) -> bytes:
        """
        Encode a request.

        Parameters
        ----------
        request : HttpRequest
            Request without framing headers; these are derived from its body.

        Returns
        -------
        bytes
            The encoded request, head and body.

        Raises
        ------
        SendFailedError
            If the request can't be encoded as valid HTTP.
        """
        self._method = request.method
        try:
            head = Request(
                method=request.method,
                target=request.target,
                headers=frame_request(request, self._address),
            )
            self._sent_head = head
            parts = [self._http.send(head)]
            if request.body:
                parts.append(self._http.send(Data(data=request.body)))
            parts.append(self._http.send(EndOfMessage()))
        except (LocalProtocolError, UnicodeEncodeError) as error:
            raise SendFailedError(
                f"{self._address}: request not valid: {error}", may_have_started=False
            ) from error
        return b"".join(part for part in parts if part)

    def read(self, data: bytes) -> HttpAnswer | None:
        """
        Decode received bytes.

        Parameters
        ----------
        data : bytes
            Bytes received since the last call.

        Returns
        -------
        HttpAnswer or None
            The answer, or None while it is incomplete.

        Raises
        ------
        AnswerLostError
            If the answer has no length and unframed answers aren't accepted.
        AnswerMalformedError
            If the bytes aren't a valid answer, or the answer is too large.
        """
        try:
            self._http.receive_data(data)
            return self._read_events()
        except RemoteProtocolError as error:
            raise AnswerMalformedError(f"{self._address}: {error}") from error

    def read_end(self) -> HttpAnswer | None:
        """
        Finish an answer that the end of the connection delimits.

        Returns
        -------
        HttpAnswer or None
            The answer, or None if there is no such answer.
        """
        if not self._accepts_unframed or self._head is None:
            return None
        try:
            self._http.receive_data(b"")
            return self._read_events()
        except RemoteProtocolError:
            return None

    def skip_answer(self) -> HttpAnswer | None:
        """
        Discard an answer to another request and decode the next one.

        Returns
        -------
        HttpAnswer or None
            The next answer, or None if it hasn't arrived completely.

        Raises
        ------
        AnswerLostError
            If no further answer can arrive on the connection.
        AnswerMalformedError
            If the bytes that follow aren't a valid answer.
        """
        head, rest = self._sent_head, self._http.trailing_data
        if head is None or rest[1] or self._http.their_state is not DONE:
            raise AnswerLostError(f"{self._address}: answer to another request")
        self.reset()
        # h11 accepts a second answer only after a second request, so the request head
        # is encoded again and the bytes are dropped. Without Content-Length h11 expects
        # no body, so the request can be ended at once.
        headers = [(name, value) for name, value in head.headers]
        unframed = [pair for pair in headers if pair[0] != b"content-length"]
        self._http.send(
            Request(method=head.method, target=head.target, headers=unframed)
        )
        self._http.send(EndOfMessage())
        return self.read(rest[0]) if rest[0] else None

    def _read_events(self) -> HttpAnswer | None:
        while True:
            event = self._http.next_event()
            if event is NEED_DATA or event is PAUSED:
                return None
            kind = type(event)
            if kind is Data:
                self._add_data(cast(Data, event).data)
            elif kind is Response:
                self._head = cast(Response, event)
                self._check_framing(self._head)
            elif kind is EndOfMessage:
                return self._finish(cast(Response, self._head))

    def _check_framing(self, head: Response) -> None:
        if self._accepts_unframed or self._method == "HEAD":
            return
        if head.status_code in BODILESS_STATUSES:
            return
        if not any(
            name in (b"content-length", b"transfer-encoding")
            for name, _ in head.headers
        ):
            raise AnswerLostError(f"{self._address}: answer without length")

    def _add_data(self, data: bytes) -> None:
        self._body.append(data)
        self._body_bytes += len(data)
        if self._body_bytes > MAX_ANSWER_BYTES:
            raise AnswerMalformedError(
                f"{self._address}: answer above {MAX_ANSWER_BYTES} bytes"
            )

    def _finish(self, head: Response) -> HttpAnswer:
        answer = HttpAnswer(
            head.status_code,
            decode_headers(head.headers),
            b"".join(self._body),
        )
        self._head, self._body, self._body_bytes = None, [], 0
        states = (self._http.our_state, self._http.their_state)
        self.reusable = states == (DONE, DONE) and not self._http.trailing_data[0]
        return answer

    def start_next(self) -> None:
        """Prepare for the next request after a complete answer."""
        if self.reusable:
            self._http.start_next_cycle()
