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
    InformationalResponse,
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
from plantaincart_router.http.answerbuffers import MAX_ANSWER_BYTES
from plantaincart_router.http.framing import (
    BODILESS_STATUSES,
    decode_headers,
    frame_request,
)
from plantaincart_router.http.message import HttpAnswer, HttpRequest

__all__ = ["ClientCodec"]

# Maximum size of a head, of the line before a chunk, and of the trailers.
MAX_HEAD_BYTES = 65536
MAX_HEAD_LINES = 1000
# Maximum number of interim answers (status 1xx), and of answers to other requests,
# before the answer to a request.
MAX_INTERIM_ANSWERS = 32
MAX_SKIPPED_ANSWERS = 8
# Received bytes that aren't part of the body (heads, chunk lines, trailers), beyond as
# many as the body has. Chunks of single bytes take five such bytes each.
MAX_FRAMING_BYTES = 262144
# Bytes that are parsed at once, except for a body with a length. A parser of whole
# heads, chunks and trailers checks their size only after all bytes that it was given.
STEP_BYTES = 16384
HEAD_END = b"\r\n\r\n"


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
    max_answer_bytes : int
        Maximum size of the body of an answer.

    Attributes
    ----------
    reusable : bool
        Whether another request may be sent after the last answer.
    """

    def __init__(
        self,
        address: str,
        accepts_unframed: bool = False,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
    ) -> None:
        self._address = address
        self._accepts_unframed = accepts_unframed
        self._max_answer_bytes = max_answer_bytes
        self._skipped_answers = 0
        self._method = ""
        self._sent_head: Request | None = None
        self.reset()

    def reset(self) -> None:
        """Discard a request that was encoded but not sent."""
        self._http = Connection(CLIENT, MAX_HEAD_BYTES)
        self._start_answer()
        self.reusable = True

    def _start_answer(self) -> None:
        self._head: Response | None = None
        self._body = bytearray()
        self._received_bytes = 0
        self._head_lines = 0
        self._interim_answers = 0
        self._is_chunked = False

    @property
    def has_head(self) -> bool:
        """Whether the head of an incomplete answer has arrived."""
        return self._head is not None

    @property
    def buffered_bytes(self) -> int:
        """Bytes held for an incomplete answer, besides its head."""
        return len(self._body)

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
        self._skipped_answers = 0
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
        start = 0
        try:
            while start < len(data):
                end = self._choose_step_end(data, start)
                # A view, since a copy of a long body takes longer than its parsing.
                part = memoryview(data)[start:end]
                start = end
                self._http.receive_data(cast(bytes, part))
                answer = self._read_events()
                if answer is not None:
                    self._keep_rest(data[start:])
                    return answer
                self._check_size(part)
        except RemoteProtocolError as error:
            raise AnswerMalformedError(f"{self._address}: {error}") from error
        return None

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
            If the bytes that follow aren't a valid answer, or too many answers to
            other requests came.
        """
        self._skipped_answers += 1
        if self._skipped_answers > MAX_SKIPPED_ANSWERS:
            raise self._make_size_error(
                f"more than {MAX_SKIPPED_ANSWERS} answers to other requests"
            )
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
            elif kind is InformationalResponse:
                self._interim_answers += 1
                if self._interim_answers > MAX_INTERIM_ANSWERS:
                    raise self._make_size_error(
                        f"more than {MAX_INTERIM_ANSWERS} interim answers"
                    )
            elif kind is EndOfMessage:
                return self._finish(cast(Response, self._head))

    def _choose_step_end(self, data: bytes, start: int) -> int:
        """Return the index in received bytes up to which they are parsed next."""
        step_end = start + STEP_BYTES
        if step_end >= len(data):
            return len(data)
        if self._head is None:
            head_end = data.find(HEAD_END, start, step_end)
            return step_end if head_end < 0 else head_end + len(HEAD_END)
        return step_end if self._is_chunked else len(data)

    def _check_size(self, part: memoryview) -> None:
        """Check the bytes of an incomplete answer that aren't part of its body."""
        self._received_bytes += len(part)
        if self._head is None:
            self._head_lines += part.tobytes().count(b"\n")
            if self._head_lines > MAX_HEAD_LINES:
                raise self._make_size_error(f"head above {MAX_HEAD_LINES} lines")
        body_bytes = len(self._body)
        if self._received_bytes > MAX_FRAMING_BYTES + 2 * body_bytes:
            raise self._make_size_error(f"{MAX_FRAMING_BYTES} bytes besides the body")

    def _keep_rest(self, rest: bytes) -> None:
        """Keep bytes after a complete answer, which prevent a further request."""
        if rest:
            self._http.receive_data(rest)
            self.reusable = False

    def _make_size_error(self, detail: str) -> AnswerMalformedError:
        return AnswerMalformedError(f"{self._address}: {detail}")

    def _check_framing(self, head: Response) -> None:
        if self._method == "HEAD" or head.status_code in BODILESS_STATUSES:
            return
        fields = dict(head.headers)
        self._is_chunked = b"transfer-encoding" in fields
        length = fields.get(b"content-length")
        if length is not None and int(length) > self._max_answer_bytes:
            raise self._make_size_error(f"answer above {self._max_answer_bytes} bytes")
        if self._accepts_unframed or length is not None:
            return
        if not self._is_chunked:
            raise AnswerLostError(f"{self._address}: answer without length")

    def _add_data(self, data: bytes) -> None:
        if self._body:
            self._body += data
        else:
            self._body = bytearray(data) if isinstance(data, bytes) else data
        if len(self._body) > self._max_answer_bytes:
            raise self._make_size_error(f"answer above {self._max_answer_bytes} bytes")

    def _finish(self, head: Response) -> HttpAnswer:
        answer = HttpAnswer(
            head.status_code,
            decode_headers(head.headers),
            bytes(self._body),
        )
        self._start_answer()
        states = (self._http.our_state, self._http.their_state)
        self.reusable = states == (DONE, DONE) and not self._http.trailing_data[0]
        return answer

    def start_next(self) -> None:
        """Prepare for the next request after a complete answer."""
        if self.reusable:
            self._http.start_next_cycle()
