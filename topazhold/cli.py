"""The command line: runs the controller, and the commands `check` and `duties`."""

from __future__ import annotations

import logging
import os
import sys
from pathlib import Path

import click

from topazhold import __version__
from topazhold import settings as conf

#: The operators' settings that are used without `--operator`, if the file exists.
DEFAULT_OPERATOR_FILE = Path(__file__).resolve().parent.parent / "deploy" / "operator.textproto"
#: Exit status for invalid settings.
BAD_SETTINGS_STATUS = 2
#: Exit status if the key-value store can't be reached.
UNREACHABLE_STATUS = 3
#: Values of the environment variable LOG_LEVEL; any other value means `info`.
LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def set_up_logging() -> None:
    """Log to standard error, at the level that LOG_LEVEL names."""
    level = LOG_LEVELS.get(os.environ.get("LOG_LEVEL", "info").lower(), logging.INFO)
    logging.basicConfig(
        level=level, stream=sys.stderr, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    # curio warns about every late timer; `CpuAccounting` reports a summary instead.
    logging.getLogger("curio").setLevel(logging.ERROR)


def read_settings(
    config: Path, operator: Path | None
) -> tuple[conf.Settings, conf.OperatorSettings]:
    """Read both settings files; print an error and exit with status 2 if one is invalid."""
    if operator is None and DEFAULT_OPERATOR_FILE.exists():
        operator = DEFAULT_OPERATOR_FILE
    try:
        return conf.load(config), conf.load_operator_settings(operator)
    except conf.SettingsError as exc:
        click.echo(f"topazhold: {exc}", err=True)
        sys.exit(BAD_SETTINGS_STATUS)


CONFIG_OPTION = click.option(
    "--config", type=click.Path(path_type=Path), required=True, help="The platform's settings."
)
OPERATOR_OPTION = click.option(
    "--operator", type=click.Path(path_type=Path), help="The operators' own settings."
)


@click.group(invoke_without_command=True)
@click.version_option(__version__, prog_name="topazhold")
@click.option("--config", type=click.Path(path_type=Path), help="The platform's settings (TOML).")
@click.option(
    "--operator",
    type=click.Path(path_type=Path),
    help="The operators' own settings (protobuf text).  [default: deploy/operator.textproto]",
)
@click.pass_context
def main(ctx: click.Context, config: Path | None, operator: Path | None) -> None:
    """Schedule gangs and arrays of jobs on rented machines."""
    if ctx.invoked_subcommand is not None:
        return
    if config is None:
        raise click.UsageError("--config FILE is needed")
    settings, operator_settings = read_settings(config, operator)
    set_up_logging()
    import curio

    from topazhold.control.controller import Controller
    from topazhold.io.cpu_accounting import CpuAccounting

    cpu_accounting = CpuAccounting()

    async def serve() -> None:
        """Run the controller until it is cancelled."""
        await Controller(settings, operator_settings, cpu_accounting=cpu_accounting).run()

    try:
        curio.run(serve, activations=[cpu_accounting])
    except KeyboardInterrupt:
        pass


@main.command()
@CONFIG_OPTION
@OPERATOR_OPTION
def check(config: Path, operator: Path | None) -> None:
    """Check the settings and start nothing."""
    settings, _ = read_settings(config, operator)
    click.echo(f"{config}: good, node {settings.node_name}")


@main.command()
@CONFIG_OPTION
@OPERATOR_OPTION
@click.option("--json", "as_json", is_flag=True, help="Print JSON instead of text.")
def duties(config: Path, operator: Path | None, as_json: bool) -> None:
    """Show who holds each duty, and all recorded orders; changes nothing."""
    settings, _ = read_settings(config, operator)
    import msgspec

    from topazhold.control.key_value_store import KeyValueStore
    from topazhold.io.client import Client
    from topazhold.operations.inspection import StoreUnreachableError, as_text, read_report

    def open_store(client: Client, timeout_s: float) -> KeyValueStore:
        """Create a store client that keeps to the limits in the settings."""
        return KeyValueStore(client, client, settings.cluster.key_value_store, timeout_s)

    try:
        report = read_report(settings, open_store)
    except StoreUnreachableError as exc:
        click.echo(
            f"topazhold: state service at {settings.external.key_value_store}: {exc}", err=True
        )
        sys.exit(UNREACHABLE_STATUS)
    click.echo(msgspec.json.encode(report).decode() if as_json else as_text(report))


if __name__ == "__main__":
    main()
