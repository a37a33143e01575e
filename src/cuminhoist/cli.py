"""Defines the command-line tool for operators.

The fire library makes its commands and flags from the methods and parameters
of one class, and its help from their docstrings.
"""

import asyncio
import os
import pathlib
import sys
from collections.abc import Awaitable, Callable

import fire
from returns.result import Failure, Result, Success

from . import commands, queries
from .config_model import Drain
from .exceptions import FieldError
from .operatorclient import OperatorClient
from .output import Output, write_output
from .settings import Settings
from .types import DrainScope

TOKEN_VARIABLE = 'CUMINHOIST_TOKEN'

_ClientCommand = Callable[[OperatorClient], Awaitable[Output]]


class Cli:
    """Show and change the configuration of a deployment.

    :param url: address of any instance, such as http://10.0.0.1:8000.
    :param settings: settings file of an instance, instead of its address.
    :param token: operator token; by default CUMINHOIST_TOKEN or settings.
    :param json: write JSON instead of text and tables.
    """

    def __init__(
        self,
        url: str = '',
        settings: str = '',
        token: str = '',
        json: bool = False,
    ) -> None:
        self._url = url
        self._settings = settings
        self._token = str(token) or os.environ.get(TOKEN_VARIABLE, '')
        self._json = json

    def check(
        self,
        topology: str = '',
        plans: str = '',
        allowances: str = '',
    ) -> None:
        """Check files; with --settings also the topology named there.

        :param topology: path of a topology.
        :param plans: path of a list of plans.
        :param allowances: path of a list of allowances.
        """
        self._write_and_exit_on_error(
            queries.check(
                queries.Files(
                    settings=self._settings,
                    topology=topology,
                    plans=plans,
                    allowances=allowances,
                ),
            ),
        )

    def init(self) -> None:
        """Initialise the cluster; the instance becomes its first voter.

        The control replica of the instance must be empty.
        """
        self._run_command(commands.init)

    def apply(
        self,
        plans: str = '',
        allowances: str = '',
        wait: bool = False,
        wait_s: float = commands.IN_FORCE_WAIT_S,
    ) -> None:
        """Replace lists in force by lists from files.

        :param plans: path of the new list of plans.
        :param allowances: path of the new list of allowances.
        :param wait: wait until all instances have the change in force.
        :param wait_s: longest time to wait with --wait, in seconds.
        """
        files = queries.Files(plans=plans, allowances=allowances)
        wait_limit_s = wait_s if wait else 0
        if not plans and not allowances:
            self._write_and_exit_on_error(
                Output.from_error('name --plans or --allowances')
            )
        self._run_command(
            lambda client: commands.apply(client, files, wait_limit_s)
        )

    def show(self) -> None:
        """Show the configuration in force."""
        self._run_command(queries.show)

    def diff(self, plans: str = '', allowances: str = '') -> None:
        """Show how lists in files differ from the lists in force.

        :param plans: path of a list of plans.
        :param allowances: path of a list of allowances.
        """
        files = queries.Files(plans=plans, allowances=allowances)
        self._run_command(lambda client: queries.diff(client, files))

    def drain(
        self,
        scope: str,
        name: str,
        starts_at: float = 0,
        wait: bool = False,
    ) -> None:
        """Announce a planned drain.

        :param scope: upstream, domain, region or entry.
        :param name: name of what is drained.
        :param starts_at: Unix time in seconds; 0 for at once.
        :param wait: wait until all instances have the change in force.
        """
        new_drain = self._build_drain(scope, name, starts_at)
        wait_limit_s = commands.IN_FORCE_WAIT_S if wait else 0
        self._run_command(
            lambda client: commands.drain(client, new_drain, wait_limit_s)
        )

    def undrain(self, scope: str, name: str, wait: bool = False) -> None:
        """End a drain.

        :param scope: upstream, domain, region or entry.
        :param name: name of what was drained.
        :param wait: wait until all instances have the change in force.
        """
        ended_drain = self._build_drain(scope, name, 0)
        wait_limit_s = commands.IN_FORCE_WAIT_S if wait else 0
        self._run_command(
            lambda client: commands.undrain(client, ended_drain, wait_limit_s)
        )

    def status(self) -> None:
        """Show the state of the instance, and the version of all instances."""
        self._run_command(queries.status)

    def lookup(self, service: str, caller: str) -> None:
        """Show which entry instances a caller should use.

        :param service: name of the service.
        :param caller: name of the caller.
        """
        self._run_command(
            lambda client: queries.lookup(client, str(service), str(caller)),
        )

    def explain(self, caller: str, service: str, kind: str) -> None:
        """Show where a request would go now, or why it would be refused.

        :param caller: name of the caller.
        :param service: name of the service.
        :param kind: kind of the request.
        """
        request = (str(caller), str(service), str(kind))
        self._run_command(lambda client: queries.explain(client, *request))

    def report(self) -> None:
        """Show the accounts of all instances: requests by outcome."""
        self._run_command(queries.report)

    def _build_drain(self, scope: str, name: str, starts_at: float) -> Drain:
        drain_scope = commands.parse_scope(scope)
        if drain_scope is None:
            self._write_and_exit_on_error(
                Output.from_error(
                    f'scope: unknown {scope!r} '
                    f'(allowed: {", ".join(DrainScope)})',
                ),
            )
        return Drain(
            scope=drain_scope or DrainScope.upstream,
            name=str(name),
            starts_at=starts_at,
        )

    def _run_command(self, command: _ClientCommand) -> None:
        client = self._make_client()
        if isinstance(client, Failure):
            self._write_and_exit_on_error(
                queries.errors_output((client.failure(),))
            )
        else:
            self._write_and_exit_on_error(
                asyncio.run(_run_and_close(command, client.unwrap()))
            )

    def _make_client(self) -> Result[OperatorClient, FieldError]:
        url, token = self._url, self._token
        if not url and not self._settings:
            return Failure(
                FieldError('command line', 'url', 'needs --url or --settings'),
            )
        if self._settings:
            loaded = queries.load(str(pathlib.Path(self._settings)), Settings)
            if isinstance(loaded, Failure):
                return Failure(loaded.failure())
            cfg = loaded.unwrap()
            url = url or f'http://{cfg.host}:{cfg.http_port}'
            token = token or cfg.operator_token
        if not url.startswith(('http://', 'https://')):
            return Failure(
                FieldError(
                    'command line',
                    'url',
                    f'{url!r} is not an address such as http://10.0.0.1:8000',
                ),
            )
        return Success(OperatorClient.from_url(url, token))

    def _write_and_exit_on_error(self, output: Output) -> None:
        write_output(output, self._json)
        if not output.ok:
            sys.exit(1)


async def _run_and_close(
    command: _ClientCommand,
    client: OperatorClient,
) -> Output:
    try:
        return await command(client)
    finally:
        await client.close()


def main() -> None:
    """Run the command-line tool."""
    fire.Fire(Cli, name='cuminhoist')


if __name__ == '__main__':
    main()
