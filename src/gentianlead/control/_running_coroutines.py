"""Runs coroutines in the background and reports their errors."""

import asyncio
from typing import Any, Callable, Coroutine, Hashable


class BackgroundCoroutines:
    """Runs coroutines in the background, at most one for each key.

    The caller chooses the key, which identifies the work that the coroutine
    does. This class keeps a reference to each running coroutine, because the
    event loop holds only weak ones.

    Args:
        on_error: Called with each exception that a coroutine did not handle,
            except its cancellation.
    """

    def __init__(self, on_error: Callable[[BaseException], None]):
        self._on_error = on_error
        self._asyncio_tasks: dict[Hashable, asyncio.Task[Any]] = {}

    def __contains__(self, key: Hashable) -> bool:
        return key in self._asyncio_tasks

    def __len__(self) -> int:
        return len(self._asyncio_tasks)

    def start(self, key: Hashable, coroutine: Coroutine[Any, Any, Any]) -> bool:
        """Starts a coroutine unless one with the same key is running.

        Returns:
            Whether the coroutine was started. If not, it was closed without
            being run.
        """
        if key in self._asyncio_tasks:
            coroutine.close()
            return False
        asyncio_task = asyncio.get_running_loop().create_task(coroutine)
        self._asyncio_tasks[key] = asyncio_task
        asyncio_task.add_done_callback(
            lambda ended_task: self._handle_end(key, ended_task))
        return True

    def _handle_end(self, key: Hashable,
                    asyncio_task: asyncio.Task[Any]) -> None:
        if self._asyncio_tasks.get(key) is asyncio_task:
            del self._asyncio_tasks[key]
        if not asyncio_task.cancelled() and asyncio_task.exception(
        ) is not None:
            self._on_error(asyncio_task.exception())

    async def wait(self, is_awaited: Callable[[Hashable], bool]) -> None:
        """Waits until the running coroutines with certain keys have ended.

        Args:
            is_awaited: Returns whether to wait for the coroutine of a key.
        """
        await asyncio.gather(
            *(asyncio_task for key, asyncio_task in self._asyncio_tasks.items()
              if is_awaited(key)),
            return_exceptions=True)

    async def close(self) -> None:
        """Cancels all coroutines and waits until they have ended."""
        asyncio_tasks = list(self._asyncio_tasks.values())
        for asyncio_task in asyncio_tasks:
            asyncio_task.cancel()
        await asyncio.gather(*asyncio_tasks, return_exceptions=True)
