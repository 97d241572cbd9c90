"""Server side of one HTTP/1.1 connection."""

from asyncio import (
    BaseTransport,
    CancelledError,
    Protocol,
    Task,
    Transport,
)
from enum import Enum, auto
from typing import cast

from h11 import (
    DONE,
    NEED_DATA,
    PAUSED,
    SERVER,
    Connection,
    Data,
    EndOfMessage,
    InformationalResponse,
    LocalProtocolError,
    RemoteProtocolError,
    Request,
    Response,
)
from plantaincart_core.verdict import Reason, Refusal, RefusedError, Verdict

from plantaincart_router.http.answerwriter import AnswerWriter
from plantaincart_router.http.caller import CallerConnection, Closable, ConnectionOwner
from plantaincart_router.http.framing import (
    BODILESS_STATUSES,
    decode_headers,
    frame_answer,
)
from plantaincart_router.http.message import HttpAnswer, HttpRequest
from plantaincart_router.http.problem import HANDLER_FAILED, render_problem
from plantaincart_router.http.requestbody import RequestBody
from plantaincart_router.http.requestlimits import (
    SizeRefusal,
    check_body,
    check_head,
)
from plantaincart_router.http.timeout import ReschedulableTimeout

__all__ = ["ServerConnection"]

# Time for which input is discarded after a rejection, see `ServerConnection`.
LINGER_S = 1.0
RETRY_AFTER_S = 1.0
# Longest time for writing one answer, as a multiple of that for one piece of it.
SLOW_READERS = 4


class _State(Enum):
    IDLE = auto()
    HEAD = auto()
    BODY = auto()
    RUNNING = auto()
    WRITING = auto()
    CLOSING = auto()


class ServerConnection(Protocol, Closable):
    """
    Read requests one at a time, pass them to the handler and write the answers.

    Parameters
    ----------
    owner : ConnectionOwner
        Server that accepted the connection.

    Notes
    -----
    While a request runs, bytes of further requests are buffered up to the head
    limit. After a rejection only the sending direction is closed at first, and
    input is read and discarded for `LINGER_S`: closing a socket with unread input
    resets the connection, and the caller could lose the answer.
    """

    def __init__(self, owner: ConnectionOwner) -> None:
        self._owner = owner
        self._loop = owner.loop
        self._limits = owner.limits
        self._http = Connection(SERVER, owner.limits.max_head_bytes)
        self._caller = CallerConnection()
        self._state = _State.IDLE
        self._request: Request | None = None
        self._body = RequestBody(owner.held)
        self._unread_bytes = 0
        self._transport: Transport
        self._writer: AnswerWriter
        self._task: Task[None] | None = None
        self._written_until = 0.0
        self._timeout = ReschedulableTimeout(owner.loop, self._check_timeout)
        self._active_at = owner.loop.time()

    @property
    def idle_since(self) -> float | None:
        """Loop time of the last activity, or None while a request is in progress."""
        return self._active_at if self._state is _State.IDLE else None

    def close(self) -> None:
        """Close the connection after the buffered output has been sent."""
        self._state = _State.CLOSING
        self._transport.close()
        self._timeout.set(self._limits.body_timeout_s)

    def refuse_incomplete(self, detail: str) -> None:
        """Reject a request that hasn't arrived completely, if there is one."""
        if self._state in (_State.HEAD, _State.BODY):
            self._refuse(503, Reason.SHUTTING_DOWN, detail)

    def abort(self) -> None:
        """Close the connection immediately and discard buffered output."""
        self._state = _State.CLOSING
        self._transport.abort()

    def connection_made(self, transport: BaseTransport) -> None:
        """Register with the server; reject if it has too many connections."""
        self._transport = cast(Transport, transport)
        self._writer = AnswerWriter(
            self._owner, self._transport, self._start_next, self._extend_writing
        )
        if self._owner.add(self):
            self._timeout.set(self._limits.idle_timeout_s)
            return
        reason = Reason.TOO_MANY_REQUESTS_IN_FLIGHT
        self._refuse(503, reason, "too many connections", RETRY_AFTER_S)

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the handler that the caller has disconnected."""
        self._state = _State.CLOSING
        self._timeout.stop()
        self._owner.remove(self)
        self._writer.close()
        if self._task is None or self._task.done():
            self._body.release()
        self._caller.set_disconnected()

    def eof_received(self) -> bool:
        """Notify the handler of a half-close; reject an incomplete request."""
        self._caller.set_disconnected()
        if self._state in (_State.HEAD, _State.BODY):
            self._refuse(400, Reason.BAD_REQUEST, "request ended early")
        return self._state in (_State.RUNNING, _State.WRITING)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, or buffer them while a request runs."""
        if self._state is _State.CLOSING:
            return
        self._unread_bytes += len(data)
        self._http.receive_data(data)
        if self._state in (_State.RUNNING, _State.WRITING):
            if self._unread_bytes > self._limits.max_head_bytes:
                self._transport.pause_reading()
            return
        self._read_events()

    def pause_writing(self) -> None:
        """Delay the next request while the caller doesn't read its answer."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Continue with the answer, or with the next request."""
        self._writer.resume()
        if self._state is _State.WRITING:
            self._start_next()

    def _read_events(self) -> None:
        try:
            while self._read_event():
                pass
        except RemoteProtocolError as error:
            status = error.error_status_hint
            reason = Reason.HEAD_TOO_LARGE if status == 431 else Reason.BAD_REQUEST
            self._refuse(status, reason, str(error))

    def _read_event(self) -> bool:
        event = self._http.next_event()
        kind = type(event)
        if event is NEED_DATA:
            self._wait_for_more()
            return False
        if kind is Request:
            return self._handle_head(cast(Request, event))
        if kind is Data:
            return self._append_body(cast(Data, event).data)
        if kind is EndOfMessage:
            self._start_handler()
            return False
        return event is not PAUSED

    def _wait_for_more(self) -> None:
        if self._state is _State.IDLE and self._unread_bytes:
            self._state = _State.HEAD
            self._timeout.set(self._limits.head_timeout_s)
        elif self._state is _State.BODY and not self._timeout.is_set:
            self._timeout.set(self._limits.body_timeout_s)
        if self._http.they_are_waiting_for_100_continue:
            head = InformationalResponse(status_code=100, headers=[])
            self._transport.write(self._http.send(head) or b"")

    def _handle_head(self, head: Request) -> bool:
        self._request = head
        self._state = _State.BODY
        self._timeout.clear()
        return self._pass(
            check_head(head, self._unread_bytes, self._limits, self._owner.held)
        )

    def _append_body(self, data: bytes) -> bool:
        size = self._body.byte_count + len(data)
        refusal = check_body(size, len(data), self._limits, self._owner.held)
        if refusal is None:
            self._body.append(data)
        return self._pass(refusal)

    def _pass(self, refusal: SizeRefusal | None) -> bool:
        """Reject a request that is too large; return whether it may go on."""
        if refusal is None:
            return True
        self._refuse(
            refusal.status, refusal.reason, refusal.detail, refusal.retry_after_s
        )
        return False

    def _start_handler(self) -> None:
        head = cast(Request, self._request)
        request = HttpRequest(
            head.method.decode("ascii"),
            head.target.decode("ascii"),
            decode_headers(head.headers),
            self._body.take(),
        )
        self._unread_bytes = 0
        self._state = _State.RUNNING
        self._timeout.clear()
        self._task = self._loop.create_task(self._handle_request(request))

    async def _handle_request(self, request: HttpRequest) -> None:
        try:
            answer = await self._owner.handler(request, self._caller)
        except RefusedError as error:
            answer = render_problem(error.refusal)
        except CancelledError:
            self.abort()
            raise
        except Exception as error:
            self._owner.report_failure(request, error)
            answer = HANDLER_FAILED
        finally:
            self._body.release()
        self._caller.set_disconnect_callback(None)
        if self._state is not _State.RUNNING or self._transport.is_closing():
            return
        try:
            is_written = self._write(answer)
        except (LocalProtocolError, UnicodeEncodeError) as error:
            self._owner.report_failure(request, error)
            self.abort()
        else:
            if is_written:
                self._start_next()
            else:
                self._written_until = (
                    self._loop.time() + SLOW_READERS * self._limits.body_timeout_s
                )
                self._extend_writing()

    def _extend_writing(self) -> None:
        """Give a caller time for the next piece of a large answer."""
        left_s = self._written_until - self._loop.time()
        self._timeout.set(max(0.0, min(self._limits.body_timeout_s, left_s)))

    def _write(self, answer: HttpAnswer, close: bool = False) -> bool:
        is_head = self._request is not None and self._request.method == b"HEAD"
        headers = frame_answer(answer, is_head, close or self._owner.closing)
        head = Response(status_code=answer.status, headers=headers)
        parts = [self._http.send(head)]
        if answer.body and not is_head and answer.status not in BODILESS_STATUSES:
            parts.append(self._http.send(Data(data=answer.body)))
        parts.append(self._http.send(EndOfMessage()))
        return self._writer.write(b"".join(part for part in parts if part))

    def _start_next(self) -> None:
        self._active_at = self._loop.time()
        both_done = self._http.our_state is DONE and self._http.their_state is DONE
        if not both_done or self._caller.disconnected.is_set():
            self.close()
            return
        if not self._writer.is_writable:
            self._state = _State.WRITING
            self._timeout.set(self._limits.body_timeout_s)
            return
        self._http.start_next_cycle()
        self._request = None
        self._state = _State.IDLE
        self._unread_bytes = len(self._http.trailing_data[0])
        self._timeout.set(self._limits.idle_timeout_s)
        self._transport.resume_reading()
        if self._unread_bytes:
            self._read_events()

    def _refuse(
        self, status: int, reason: Reason, detail: str, retry_after_s: float = 0.0
    ) -> None:
        refusal = Refusal(
            status=status,
            reason=reason,
            detail=detail,
            verdict=Verdict.not_run,
            retry_after_s=retry_after_s,
        )
        self._body.release()
        self._write(render_problem(refusal), close=True)
        self._state = _State.CLOSING
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._timeout.set(LINGER_S)

    def _check_timeout(self) -> None:
        if self._state in (_State.HEAD, _State.BODY):
            self._refuse(408, Reason.TIMEOUT, "request arrived too slowly")
        elif self._state is _State.IDLE and not self._transport.get_write_buffer_size():
            self.close()
        else:
            self.abort()
