"""Requests and answers by the chat-completions convention."""

from typing import Any

import msgspec
from msgspec import Struct, field

from bronzepoint_common.prefix import block_hashes, prompt_text, prompt_tokens
from bronzepoint_emulator.engine._job import Job

DEFAULT_MAX_TOKENS = 16
"""Tokens generated where a request gives no maximum."""
LAST_EVENT = b"data: [DONE]\n\n"


class ChatRequest(Struct):
    """The fields of a chat request that an engine uses."""

    model: str = ""
    messages: list[dict[str, Any]] = field(default_factory=list)
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False

    def job(self, request_id: str, priority: int) -> Job:
        """Return the job that runs this request."""
        text = prompt_text(self.messages)
        return Job(
            request_id,
            priority,
            block_hashes(text),
            prompt_tokens(text),
            max(1, self.max_tokens),
            self.echo(),
        )

    def echo(self) -> str:
        """Return the last word of the prompt, which the answer repeats.

        Tests put a nonce there, to check that an answer belongs to its request.
        """
        words = (
            str(self.messages[-1].get("content", "")).split() if self.messages else []
        )
        return words[-1] if words else ""


def token_text(echo: str, number: int) -> str:
    """Return the text of one generated token."""
    return f"echo:{echo}" if number == 0 else f" w{number}"


def usage(job: Job) -> dict[str, Any]:
    """Return the token counts of an answer."""
    return {
        "prompt_tokens": job.prompt_tokens,
        "completion_tokens": job.generated,
        "total_tokens": job.prompt_tokens + job.generated,
        "cached_tokens": job.cached_tokens,
    }


def stream_event(job: Job, model: str, text: str, last: bool) -> bytes:
    """Return one server-sent event of a streamed answer."""
    chunk: dict[str, Any] = {
        "id": job.request_id,
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [
            {
                "index": 0,
                "delta": {"content": text},
                "finish_reason": "stop" if last else None,
            }
        ],
    }
    if last:
        chunk["usage"] = usage(job)
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"


def complete_answer(job: Job, model: str, text: str) -> bytes:
    """Return the body of an answer that isn't streamed."""
    return msgspec.json.encode(
        {
            "id": job.request_id,
            "object": "chat.completion",
            "model": model,
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": "stop",
                }
            ],
            "usage": usage(job),
        }
    )
