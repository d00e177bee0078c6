"""Runs one simulated service as a separate process."""

from __future__ import annotations

import argparse
import json

import cattrs

from gypsumrelay_standins.engine import Engine, EngineSettings
from gypsumrelay_standins.http_server import Handler, serve
from gypsumrelay_standins.instance_list import InstanceList
from gypsumrelay_standins.log_service import LogService
from gypsumrelay_standins.plain_service import PlainService
from gypsumrelay_standins.weight_store import WeightStore


def build_handler(kind: str, options: dict[str, object]) -> Handler:
    """Return the request handler of a simulated service.

    Args:
        kind: `engine`, `log`, `instances`, `weights` or `service`.
        options: Attributes of the service, or of `EngineSettings`.
    """
    if kind == 'engine':
        settings = cattrs.structure(options, EngineSettings)
        return Engine(settings).handle
    services = {
        'log': LogService,
        'instances': InstanceList,
        'weights': WeightStore,
        'service': PlainService,
    }
    service = services[kind](**options)
    handler: Handler = service.handle
    return handler


def main() -> None:
    """Parse the command line and serve requests."""
    parser = argparse.ArgumentParser(prog='gypsumrelay-standin')
    parser.add_argument('kind')
    parser.add_argument('port', type=int)
    parser.add_argument('--options', default='{}')
    arguments = parser.parse_args()
    serve(
        build_handler(arguments.kind, json.loads(arguments.options)),
        arguments.port,
    )


if __name__ == '__main__':
    main()
