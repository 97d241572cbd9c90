"""Answers to questions on where a request would go."""

from time import monotonic

from plantaincart_core.rate import TokenBucket
from plantaincart_schema.codec import encode_json
from plantaincart_schema.generated.where import QuestionProblem

from plantaincart_router.direct.where.explainer import RequestExplainer
from plantaincart_router.direct.where.question import InvalidQuestionError, Question
from plantaincart_router.http.message import HttpAnswer, HttpRequest

__all__ = ["WhereHandler"]

# Questions that an instance answers, since each one keeps the event loop busy for some
# milliseconds.
QUESTIONS_PER_S = 2.0
QUESTION_BURST = 6.0
JSON_HEADERS = (("content-type", "application/json"),)


class WhereHandler:
    """
    Answers questions on where a request would go, up to a rate.

    Parameters
    ----------
    explainer : RequestExplainer
        Explains the decisions.
    """

    def __init__(self, explainer: RequestExplainer) -> None:
        self._explainer = explainer
        self._bucket = TokenBucket(QUESTIONS_PER_S, QUESTION_BURST)

    async def answer(self, asked: HttpRequest) -> HttpAnswer:
        """
        Answer a question with an `Explanation` in JSON.

        Parameters
        ----------
        asked : HttpRequest
            The question, see `Question.parse`.

        Returns
        -------
        HttpAnswer
            Status 400 if the question isn't valid, 405 if it isn't a GET, and 429 if
            there are too many.
        """
        if asked.method != "GET":
            return _answer_problem(405, "GET is expected", (("allow", "GET"),))
        wait_s = self._bucket.take(monotonic())
        if wait_s > 0.0:
            return _answer_problem(429, "too many questions", (("retry-after", "1"),))
        try:
            explanation = await self._explainer.explain(Question.parse(asked))
        except InvalidQuestionError as error:
            return _answer_problem(400, str(error))
        return HttpAnswer(200, JSON_HEADERS, encode_json(explanation))


def _answer_problem(
    status: int, detail: str, headers: tuple[tuple[str, str], ...] = ()
) -> HttpAnswer:
    body = encode_json(QuestionProblem(detail=detail))
    return HttpAnswer(status, (*JSON_HEADERS, *headers), body)
