"""Calls an instance with the openai package; prints `N passed, N failed`."""

import os
import sys
import time
import traceback

import openai

MODEL = "small"
TOKENS = 8
PROMPT = "Which last fits size 42?"
MESSAGES = [
    {"role": "system", "content": "Answer briefly."},
    {"role": "user", "content": PROMPT},
]

# Timeout in seconds for the instance to serve the published configuration.
READY_TIMEOUT = 30

# Exceeds the burst of the limited organisation plus the tokens that its rate adds meanwhile.
LIMITED_CALLS = 20

BASE_URL = sys.argv[1]


def client(key):
    # Automatic retries of the library would hide rejected calls.
    return openai.OpenAI(base_url=BASE_URL, api_key=key, max_retries=0, timeout=30)


CALLER = client(os.environ["CALLER_KEY"])
LIMITED = client(os.environ["LIMITED_KEY"])


def complete(api, model=MODEL):
    return api.completions.create(model=model, prompt=PROMPT, max_tokens=TOKENS)


def expect_error(error, call):
    """Returns the error of the expected type that `call` raises."""
    try:
        call()
    except error as err:
        return err
    raise AssertionError(f"{error.__name__} was not raised")


def await_ready():
    deadline = time.monotonic() + READY_TIMEOUT
    while True:
        try:
            return complete(CALLER)
        except openai.InternalServerError:
            if time.monotonic() > deadline:
                raise
            time.sleep(0.2)


def whole_completion():
    """Guards against a response body that the library cannot parse."""
    response = complete(CALLER)
    assert response.object == "text_completion", response
    assert response.model == MODEL, response
    assert response.choices[0].text, response
    assert response.choices[0].finish_reason == "length", response
    assert response.usage.completion_tokens == TOKENS, response


def streamed_completion():
    """Guards against lost or repeated chunks: the stream must have the text of the whole response."""
    whole = complete(CALLER).choices[0].text
    chunks = list(
        CALLER.completions.create(
            model=MODEL, prompt=PROMPT, max_tokens=TOKENS, stream=True
        )
    )
    assert len(chunks) > 1, chunks
    choices = [chunk.choices[0] for chunk in chunks if chunk.choices]
    assert "".join(choice.text for choice in choices) == whole, chunks
    assert choices[-1].finish_reason == "length", chunks


def whole_chat():
    """Guards against a chat response without a message."""
    response = CALLER.chat.completions.create(
        model=MODEL, messages=MESSAGES, max_tokens=TOKENS
    )
    assert response.object == "chat.completion", response
    assert response.choices[0].message.role == "assistant", response
    assert response.choices[0].message.content, response
    assert response.usage.completion_tokens == TOKENS, response


def streamed_chat():
    """Guards against deltas that do not add up to the whole message, and against lost usage."""
    whole = CALLER.chat.completions.create(
        model=MODEL, messages=MESSAGES, max_tokens=TOKENS
    )
    chunks = list(
        CALLER.chat.completions.create(
            model=MODEL,
            messages=MESSAGES,
            max_tokens=TOKENS,
            stream=True,
            stream_options={"include_usage": True},
        )
    )
    choices = [chunk.choices[0] for chunk in chunks if chunk.choices]
    text = "".join(choice.delta.content or "" for choice in choices)
    assert text == whole.choices[0].message.content, chunks
    assert choices[-1].finish_reason == "length", chunks
    assert chunks[-1].usage.completion_tokens == TOKENS, chunks


def model_list():
    """Guards against a model list that differs from the models of the organisation."""
    assert [model.id for model in CALLER.models.list()] == [MODEL]


def wrong_key():
    """Guards against running a call with an unknown key, or rejecting it with a different error."""
    err = expect_error(openai.AuthenticationError, lambda: complete(client("no-such-key")))
    assert err.code == "invalid_key", err
    assert err.response.headers["x-limpetweir-verdict"] == "not-run", err


def unknown_model():
    """Guards against an unknown model that is reported as a server error."""
    err = expect_error(openai.NotFoundError, lambda: complete(CALLER, "no-such-model"))
    assert err.code == "unknown_model", err
    assert err.response.headers["x-limpetweir-verdict"] == "not-run", err


def malformed_request():
    """Guards against a malformed request that is reported as a server error."""
    call = lambda: CALLER.chat.completions.create(model=MODEL, messages=[])
    err = expect_error(openai.BadRequestError, call)
    assert err.code == "invalid_body", err


def rate_limit():
    """Guards against a rate limit that is not enforced, or a rejection without `retry-after`."""

    def exceed():
        for _ in range(LIMITED_CALLS):
            complete(LIMITED)

    err = expect_error(openai.RateLimitError, exceed)
    assert err.code == "rate_limited", err
    assert int(err.response.headers["retry-after"]) >= 1, err
    assert err.response.headers["x-limpetweir-verdict"] == "not-run", err


CHECKS = [
    whole_completion,
    streamed_completion,
    whole_chat,
    streamed_chat,
    model_list,
    wrong_key,
    unknown_model,
    malformed_request,
    rate_limit,
]


def main():
    await_ready()
    failed = 0
    for check in CHECKS:
        try:
            check()
            print(f"ok      {check.__name__}")
        except Exception:
            failed += 1
            print(f"FAILED  {check.__name__}")
            traceback.print_exc(file=sys.stdout)
    print(f"{len(CHECKS) - failed} passed, {failed} failed")
    return 1 if failed else 0


sys.exit(main())
