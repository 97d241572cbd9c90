"""Questions on where a request would go, as asked on the metrics address."""

from dataclasses import dataclass
from re import ASCII, compile
from urllib.parse import parse_qs, urlsplit

from plantaincart_router.http.message import Header, HttpRequest

__all__ = ["HEADER_FIELD", "WHERE_PATH", "InvalidQuestionError", "Question"]

WHERE_PATH = "/where"
# Field of the question that carries one header field of the request, as NAME:VALUE.
# The request's fields aren't part of the target, which proxies log.
HEADER_FIELD = "plantaincart-where-header"

QUERY_FIELDS = frozenset(("method", "host", "target", "service"))
MAX_HEADERS = 64
TOKEN_PATTERN = compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]{1,64}", ASCII)
TEXT_PATTERN = compile(r"[\t -~\x80-\xff]*")
TARGET_PATTERN = compile(r"/[!-~]*", ASCII)


class InvalidQuestionError(Exception):
    """The question isn't valid."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Question:
    """
    A request that isn't sent, and the service of interest.

    Parameters
    ----------
    request : HttpRequest
        The request, without a body.
    service : str
        Service to explain; empty for all services of the route.
    """

    request: HttpRequest
    service: str = ""

    @classmethod
    def parse(cls, asked: HttpRequest) -> "Question":
        """
        Parse a question.

        Parameters
        ----------
        asked : HttpRequest
            GET with `method`, `host`, `target` and optionally `service` in its query,
            and the header fields of the request in `HEADER_FIELD`.

        Raises
        ------
        InvalidQuestionError
            If it isn't valid.
        """
        try:
            query = parse_qs(
                urlsplit(asked.target).query,
                keep_blank_values=True,
                strict_parsing=True,
                max_num_fields=len(QUERY_FIELDS),
            )
        except ValueError as error:
            raise InvalidQuestionError(f"query: {error}") from None
        unknown = query.keys() - QUERY_FIELDS
        if unknown:
            raise InvalidQuestionError(f"unknown field {min(unknown)!r}")
        method, target = _find(query, "method"), _find(query, "target")
        if not TOKEN_PATTERN.fullmatch(method):
            raise InvalidQuestionError("method: a token is expected")
        if not TARGET_PATTERN.fullmatch(target):
            raise InvalidQuestionError("target: a path that begins with / is expected")
        headers = [
            _split_header(value)
            for name, value in asked.headers
            if name == HEADER_FIELD
        ]
        if len(headers) > MAX_HEADERS:
            raise InvalidQuestionError(f"more than {MAX_HEADERS} header fields")
        host = _find(query, "host")
        if not TEXT_PATTERN.fullmatch(host):
            raise InvalidQuestionError("host: text is expected")
        if host:
            headers = [field for field in headers if field[0] != "host"]
            headers.insert(0, ("host", host))
        request = HttpRequest(method.upper(), target, tuple(headers))
        return cls(request=request, service=_find(query, "service"))


def _find(query: dict[str, list[str]], name: str) -> str:
    values = query.get(name, [""])
    if len(values) > 1:
        raise InvalidQuestionError(f"{name}: given more than once")
    return values[0]


def _split_header(text: str) -> Header:
    name, colon, value = text.partition(":")
    if not colon or not TOKEN_PATTERN.fullmatch(name):
        # The text isn't repeated, as it may be the key of an account.
        raise InvalidQuestionError("header field: NAME:VALUE is expected")
    if not TEXT_PATTERN.fullmatch(value):
        raise InvalidQuestionError(f"header field {name}: its value isn't text")
    return name.lower(), value.strip(" \t")
