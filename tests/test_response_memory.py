"""Tests of the memory that the bodies of responses share."""

from __future__ import annotations

from contextlib import ExitStack

import pytest

from chicoryhold.errors import InvalidResponse
from chicoryhold.targets.response_memory import ResponseMemory
from tests.endless_responses import MAX_BODY_BYTES
from tests.sick_target import BLOCK


def test_a_single_response_may_use_its_whole_limit():
    memory = ResponseMemory()
    with memory.buffer() as body:
        for _ in range(MAX_BODY_BYTES // len(BLOCK)):
            body.append(BLOCK)
        with pytest.raises(InvalidResponse):
            body.append(b"x")
    assert memory.used_bytes == 0


def test_long_responses_leave_memory_for_others():
    memory = ResponseMemory(total_bytes=1024, guaranteed_bytes=16)
    block = b"x" * 16
    with ExitStack() as stack:
        sizes = []
        for _ in range(6):
            body = stack.enter_context(memory.buffer())
            with pytest.raises(InvalidResponse):
                while True:
                    body.append(block)
            sizes.append(body.size)
        assert sizes == [512, 256, 128, 64, 32, 16]
        # The guaranteed part is granted whatever the others hold.
        for _ in range(6):
            stack.enter_context(memory.buffer()).append(block)
    assert memory.used_bytes == 0
