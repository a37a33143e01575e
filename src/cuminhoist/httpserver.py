"""HTTP listener of an instance."""

import contextlib
from collections.abc import Iterator
from typing import Any

import uvicorn


class HttpServer(uvicorn.Server):
    """A uvicorn server that leaves signals to the daemon.

    The library's own handler would swallow SIGTERM and stop at once, and
    several servers may share one process.
    """

    @classmethod
    def from_app(cls, app: Any, host: str = '', port: int = 0) -> 'HttpServer':
        """Build a server for an ASGI application.

        :param app: the application.
        :param host: IP number to listen on.
        :param port: port to listen on.
        """
        return cls(
            uvicorn.Config(
                app,
                host=host,
                port=port,
                interface='asgi3',
                loop='asyncio',
                http='httptools',
                ws='none',
                lifespan='off',
                access_log=False,
                log_level='warning',
                timeout_keep_alive=30,
            ),
        )

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield
