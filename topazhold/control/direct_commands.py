"""Commands sent directly to workers; the response to the next heartbeat repeats them."""

from __future__ import annotations

import logging
from http import HTTPStatus
from typing import Protocol

import curio

from topazhold.control.controller_services import Dial
from topazhold.control.term_context import TermContext
from topazhold.core.machines import Machine
from topazhold.interfaces.term import LeadershipLostError
from topazhold.io.client import ClientPool
from topazhold.io.http import NoResponseError, RequestNotSentError
from topazhold.settings import parse_address
from topazhold.wire import messages as wire
from topazhold.wire.codec import InvalidMessageError, decode
from topazhold.wire.workers import Command, Commands, Heartbeat

log = logging.getLogger(__name__)

#: Maximum direct commands in flight and maximum idle connections kept for them, as shares of the
#: socket limit.
IN_FLIGHT_SOCKET_SHARE = 1 / 32
IDLE_SOCKET_SHARE = 1 / 16
#: Minimum of each of these two limits.
MIN_CONNECTIONS = 4
#: Maximum share of the commands in flight that may be addressed to silent workers.
SILENT_WORKER_SHARE = 0.5
#: Maximum interval between two rounds, in heartbeat intervals.
MAX_ROUND_INTERVAL_HEARTBEATS = 0.05


class OnHeartbeat(Protocol):
    """Processes the heartbeat with which a worker answers direct commands."""

    async def __call__(self, heartbeat: Heartbeat, /) -> None: ...


class DirectCommands:
    """Sends commands and term announcements directly to the endpoints of machines."""

    def __init__(
        self,
        context: TermContext,
        sockets: int,
        dial: Dial,
        on_heartbeat: OnHeartbeat,
    ) -> None:
        self._max_in_flight = max(MIN_CONNECTIONS, int(sockets * IN_FLIGHT_SOCKET_SHARE))
        self._max_silent = max(1, int(self._max_in_flight * SILENT_WORKER_SHARE))
        self._clients = ClientPool(dial, max(MIN_CONNECTIONS, int(sockets * IDLE_SOCKET_SHARE)))
        self._context = context
        self._on_heartbeat = on_heartbeat
        self._in_flight: dict[str, bool] = {}  # machine -> whether its worker is silent
        self.superseded = curio.Event()  # set once a worker knows a higher term

    async def close(self) -> None:
        """Close the idle connections."""
        await self._clients.close()

    async def loop(self) -> None:
        """Send due commands at once when requested, and periodically."""
        while True:
            due = self._context.commands_due
            await curio.ignore_after(
                MAX_ROUND_INTERVAL_HEARTBEATS * self._context.heartbeat_interval_s, due.wait
            )
            due.clear()
            await self.send_due()

    async def send_due(self) -> None:
        """Send due commands, first to responsive machines and for cancelled jobs.

        In another order, dead machines would occupy every slot for a heartbeat interval each and
        delay kills of cancelled jobs and announcements of a new term to responsive machines.
        """
        scheduler = self._context.scheduler
        now = await curio.clock()
        due = [name for name in scheduler.to_command if name not in self._in_flight]
        silent = sum(self._in_flight.values())
        for machine in scheduler.command_order(due, now):
            if len(self._in_flight) >= self._max_in_flight:
                return
            is_silent = not scheduler.is_responsive(machine, now)
            if is_silent and silent >= self._max_silent:
                return  # responsive machines come first, so only silent ones remain
            scheduler.to_command.discard(machine.name)
            commands = scheduler.direct_commands(machine)
            if commands or scheduler.needs_term_announcement(machine, now):
                silent += is_silent
                machine.last_commanded_at = now
                self._in_flight[machine.name] = is_silent
                await curio.spawn(self._command, machine, commands, daemon=True)

    async def _command(self, machine: Machine, commands: list[Command]) -> None:
        try:
            await self.send(machine, commands)
        except LeadershipLostError as exc:
            log.info("term %d ends: %s", self._context.term, exc)
            await self.superseded.set()
        finally:
            del self._in_flight[machine.name]

    async def send(self, machine: Machine, commands: list[Command]) -> None:
        """Send commands by POST /commands and process the heartbeat in the response.

        Raises LeadershipLostError if the worker knows a higher term. Commands without a response
        are not retried here, since the response to the next heartbeat repeats them.
        """
        assert machine.endpoint is not None
        try:
            client = await self._clients.client_for(
                parse_address(machine.endpoint), len(self._in_flight)
            )
            message = Commands(self._context.term, commands, machine.incarnation)
            status, body = await client.request(
                "POST", wire.COMMANDS_PATH, message, self._context.heartbeat_interval_s
            )
            if status in (HTTPStatus.OK, HTTPStatus.CONFLICT):
                heartbeat = decode(body, Heartbeat)
                if heartbeat.fencing_token > self._context.term:
                    raise LeadershipLostError("a worker knows a higher term")
                await self._on_heartbeat(heartbeat)
        except (RequestNotSentError, NoResponseError, InvalidMessageError, ValueError) as exc:
            log.debug("direct command to %s failed: %s", machine.name, exc)
