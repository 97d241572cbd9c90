"""Where a request would go now, as instances explain it."""

from asyncio import gather
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from urllib.parse import urlencode, urlsplit

from plantaincart_router.direct.where.question import HEADER_FIELD, WHERE_PATH
from plantaincart_router.exception import ExchangeError
from plantaincart_router.http.client import HttpClient
from plantaincart_router.http.message import Header, HttpAnswer
from plantaincart_schema.codec import decode_json
from plantaincart_schema.exception import MalformedMessageError
from plantaincart_schema.generated.where import Explanation, QuestionProblem

from plantaincart_operator.exception import (
    OperatorError,
    RefusedError,
    UnavailableError,
    UsageError,
)

__all__ = ["InstanceAddress", "WhereQuestion", "ask_instances"]

DEFAULT_METRICS_PORT = 9464
TIMEOUT_S = 2.0


@dataclass(frozen=True, kw_only=True)
class InstanceAddress:
    """
    Metrics address of an instance.

    Parameters
    ----------
    host : str
        Name or address; IPv6 addresses without brackets.
    port : int
        Port of the metrics.
    """

    host: str
    port: int = DEFAULT_METRICS_PORT

    @classmethod
    def parse(cls, text: str) -> "InstanceAddress":
        """
        Parse HOST or HOST:PORT.

        Examples
        --------
        >>> InstanceAddress.parse("10.0.0.1")
        InstanceAddress(host='10.0.0.1', port=9464)
        >>> str(InstanceAddress.parse("[::1]:81"))
        '[::1]:81'
        """
        try:
            parts = urlsplit(f"//{text}")
            host, port = parts.hostname, parts.port
        except ValueError:
            host, port = None, None
        is_plain = host is not None and parts.netloc == text and "@" not in text
        if host is None or not is_plain or port == 0:
            raise UsageError(f"address {text!r}: HOST or HOST:PORT is expected")
        return cls(host=host, port=DEFAULT_METRICS_PORT if port is None else port)

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


@dataclass(frozen=True, kw_only=True)
class WhereQuestion:
    """
    Request that isn't sent.

    Parameters
    ----------
    method : str
        Method.
    host : str
        Host to which callers send it.
    target : str
        Path and query.
    headers : tuple of str
        Header fields, as NAME:VALUE. They may hold the key of an account, so they are
        neither shown nor part of a target.
    service : str
        Service of interest; empty for all.
    """

    method: str
    host: str
    target: str
    headers: tuple[str, ...] = ()
    service: str = ""

    @classmethod
    def parse(
        cls, method: str, url: str, headers: Sequence[str], service: str
    ) -> "WhereQuestion":
        """Parse what was given on the command line; raise `UsageError`."""
        try:
            parts = urlsplit(url)
        except ValueError as error:
            raise UsageError(f"URL: {error}") from None
        if not parts.scheme or not parts.netloc:
            raise UsageError(f"URL {url!r}: http://HOST/PATH is expected")
        for at, field in enumerate(headers, start=1):
            name, colon, _ = field.partition(":")
            is_text = field.isascii() and field.isprintable()
            if not colon or not name.strip() or not is_text:
                # The text isn't repeated, as it may be the key of an account.
                raise UsageError(f"header field {at}: NAME:VALUE in ASCII is expected")
        target = (parts.path or "/") + (f"?{parts.query}" if parts.query else "")
        return cls(
            method=method,
            host=parts.netloc,
            target=target,
            headers=tuple(headers),
            service=service,
        )

    @property
    def path(self) -> str:
        """Path and query of the question to an instance."""
        fields = {"method": self.method, "host": self.host, "target": self.target}
        if self.service:
            fields["service"] = self.service
        return f"{WHERE_PATH}?{urlencode(fields)}"

    @property
    def fields(self) -> tuple[Header, ...]:
        """Header fields of the question to an instance."""
        return tuple((HEADER_FIELD, field) for field in self.headers)


async def ask_instances(
    addresses: Iterable[InstanceAddress], question: WhereQuestion
) -> list[Explanation | OperatorError]:
    """
    Ask several instances at once.

    Parameters
    ----------
    addresses : iterable of InstanceAddress
        Metrics addresses.
    question : WhereQuestion
        The request.

    Returns
    -------
    list of Explanation or OperatorError
        Answers in the order of the addresses, or why there is none.
    """
    return list(await gather(*(_try_ask(address, question) for address in addresses)))


async def _try_ask(
    address: InstanceAddress, question: WhereQuestion
) -> Explanation | OperatorError:
    try:
        return await _ask(address, question)
    except OperatorError as error:
        return error


async def _ask(address: InstanceAddress, question: WhereQuestion) -> Explanation:
    http = HttpClient(address.host, address.port, TIMEOUT_S)
    try:
        answer = await http.request("GET", question.path, question.fields)
    except ExchangeError as error:
        reason = f"{type(error).__name__} {error}"
        raise UnavailableError(f"{address}: {reason}") from None
    finally:
        http.close()
    return _read_answer(address, answer)


def _read_answer(address: InstanceAddress, answer: HttpAnswer) -> Explanation:
    is_json = ("content-type", "application/json") in answer.headers
    if answer.status == 404 or (answer.status == 200 and not is_json):
        # Instances of earlier builds answer any path with their metrics.
        raise RefusedError(f"{address}: its build doesn't answer such questions")
    try:
        if answer.status == 200:
            return decode_json(answer.body, Explanation)
        detail = decode_json(answer.body, QuestionProblem).detail
    except MalformedMessageError as error:
        raise UnavailableError(f"{address}: status {answer.status}, {error}") from None
    if answer.status == 429:
        raise UnavailableError(f"{address}: {detail}")
    raise RefusedError(f"{address}: {detail}")
