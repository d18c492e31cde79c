"""The commands `serve` and `gateway serve`, which run until SIGTERM.

Their options are read by argparse, and nothing of the other commands is imported: the library of those takes
several megabytes for as long as the process runs.
"""

import argparse
import logging
import os
import sys
from collections.abc import Sequence
from pathlib import Path

from maddercart.sidecar import logs

log = logging.getLogger(__name__)

CONFIG_VARIABLE, LEVEL_VARIABLE, GATEWAY_VARIABLE = "RELAY_CONFIG", "MADDERCART_LOG", "MADDERCART_GATEWAY"
EXIT_FAILED = 1  # an error that is none of the configuration
EXIT_INVALID_CONFIG = 2  # also for a configuration that is missing


def serve_sidecar(arguments: Sequence[str]) -> int:
    """Runs the sidecar until SIGTERM and returns the exit code; `arguments` are those after `serve`."""
    from maddercart.sidecar.configuration import load_configuration
    from maddercart.sidecar.node import SidecarNode

    parser = argparse.ArgumentParser(
        "maddercart serve", description="Runs the sidecar until SIGTERM; SIGHUP reloads the configuration."
    )
    config_in_environment = os.environ.get(CONFIG_VARIABLE)
    parser.add_argument(
        "--config",
        type=Path,
        default=Path(config_in_environment) if config_in_environment else None,
        help=f"The JSON configuration file. [env var: {CONFIG_VARIABLE}]",
    )
    parser.add_argument(
        "--level",
        default=os.environ.get(LEVEL_VARIABLE) or "INFO",
        help=f"Log level: DEBUG, INFO, WARNING or ERROR. [env var: {LEVEL_VARIABLE}]",
    )
    options = parser.parse_args(arguments)
    log_queue, code = logs.start(options.level), 0
    try:
        loaded = load_configuration(options.config)
    except (OSError, ValueError) as error:
        log.error("configuration can't be used", extra={"file": str(options.config), "reason": str(error)})
        code = EXIT_INVALID_CONFIG
    else:
        try:
            SidecarNode(loaded, lambda: load_configuration(options.config)).run()
        except Exception:
            log.exception("sidecar failed")
            code = EXIT_FAILED
    logs.flush(log_queue)
    return code


def serve_gateway(arguments: Sequence[str]) -> int:
    """Runs the gateway until SIGTERM and returns the exit code; `arguments` are those after `serve`."""
    from maddercart.gateway.check import read_gateway
    from maddercart.gateway.config import ConfigFileError
    from maddercart.gateway.node import GatewayNode

    parser = argparse.ArgumentParser(
        "maddercart gateway serve",
        description="Serves until SIGTERM; SIGHUP reloads the file as a whole, or not at all.",
    )
    file_in_environment = os.environ.get(GATEWAY_VARIABLE)
    parser.add_argument(
        "file",
        type=Path,
        nargs="?" if file_in_environment else None,
        default=file_in_environment,
        help=f"gateway configuration file (TOML) [env var: {GATEWAY_VARIABLE}]",
    )
    file = Path(parser.parse_args(arguments).file)
    try:
        config = read_gateway(file)
    except ConfigFileError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID_CONFIG
    log_queue, code = logs.start(config.log.level, config.log.form), 0
    try:
        GatewayNode(file).run()
    except (OSError, ConfigFileError) as error:
        log.error("gateway failed to start", extra={"reason": str(error)})
        code = EXIT_INVALID_CONFIG
    except Exception:
        log.exception("gateway stopped by an unexpected error")
        code = EXIT_FAILED
    logs.flush(log_queue)
    return code


def run_service(arguments: Sequence[str]) -> int | None:
    """Runs the service that the command line `arguments`, without the program's name, ask for.

    Returns its exit code, or None if they ask for another command.
    """
    match list(arguments):
        case ["serve", *options]:
            return serve_sidecar(options)
        case ["gateway", "serve", *options]:
            return serve_gateway(options)
    return None
