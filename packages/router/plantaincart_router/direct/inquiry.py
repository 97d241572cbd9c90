"""Asking other instances who the coordinator is, while the store doesn't tell."""

from asyncio import AbstractEventLoop
from collections.abc import Callable, Sequence

from plantaincart_schema.codec import encode_changed
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.direct import (
    CoordinatorNotice,
    CoordinatorRow,
    MemberReport,
)
from zmq import DEALER, Context

from plantaincart_router.direct.messagecheck import check_notice
from plantaincart_router.direct.noticecodec import pack_notice, unpack_notice
from plantaincart_router.log import write_event
from plantaincart_router.socket import LoopSocket

__all__ = ["CoordinatorInquiry", "answer_inquiry", "make_term"]


class CoordinatorInquiry:
    """
    Asks a few instances for a coordinator with a later epoch.

    Parameters
    ----------
    context : zmq.Context
        Context of the process.
    loop : asyncio.AbstractEventLoop
        Loop of the sockets.
    find : callable
        Called with the term that an instance names.

    Notes
    -----
    The question is a report with `inquires`, which makes nobody a member. An instance
    that follows a live coordinator, or is it, answers with a notice that has the
    coordinator's address. An earlier build doesn't answer so, and is ignored.
    """

    def __init__(
        self,
        context: "Context",  # type: ignore[type-arg]
        loop: AbstractEventLoop,
        find: Callable[[CoordinatorRow], None],
    ) -> None:
        self._context = context
        self._loop = loop
        self._find = find
        self._socket: LoopSocket | None = None
        self._addresses: tuple[str, ...] = ()

    def ask(self, report: MemberReport, addresses: Sequence[str]) -> None:
        """
        Send a question to each of some instances.

        Parameters
        ----------
        report : MemberReport
            The question, with the latest epoch that is known.
        addresses : sequence of str
            Host and port of the instances.
        """
        if self._socket is None or self._addresses != tuple(addresses):
            self._connect(tuple(addresses))
        write_event("coordinator_inquired", epoch=report.epoch, peers=len(addresses))
        frames = [encode_changed(report)]
        # The socket sends to each of its peers in turn.
        for _ in addresses:
            if self._socket is not None:
                self._socket.send(frames)

    def close(self) -> None:
        """Close the connections; later answers are ignored."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _connect(self, addresses: tuple[str, ...]) -> None:
        self.close()
        self._addresses = addresses
        self._socket = LoopSocket(self._context, DEALER, self._loop, self._receive)
        for address in addresses:
            host, _, port = address.rpartition(":")
            try:
                self._socket.connect(host, int(port))
            except MalformedMessageError as error:
                write_event("peer_address_unreadable", error=str(error))

    def _receive(self, frames: list[bytes]) -> None:
        try:
            notice = unpack_notice(frames)
            check_notice(notice)
        except MalformedMessageError as error:
            write_event("notice_unreadable", error=str(error))
            return
        if notice.address:
            self._find(make_term(notice.coordinator, notice.address, notice.epoch))


def answer_inquiry(term: CoordinatorRow) -> list[bytes]:
    """
    Return the frames of a notice that only tells who the coordinator is.

    Parameters
    ----------
    term : CoordinatorRow
        Term of a coordinator that is known to act.

    Returns
    -------
    list of bytes
        Frames.
    """
    notice = CoordinatorNotice(
        coordinator=term.holder,
        address=term.address,
        epoch=term.epoch,
        members=0,
        map_version=0,
        complete=False,
    )
    return pack_notice(notice)


def make_term(holder: str, address: str, epoch: int) -> CoordinatorRow:
    """Return the row of a term that isn't known from the store."""
    return CoordinatorRow(
        holder=holder, address=address, epoch=epoch, beat=0, vacant=False
    )
