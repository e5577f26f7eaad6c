"""Collect the contents of the binary: ``python -m tools.collect_site FOLDER``.

Copies the package and the distributions of ``requirements.txt`` from this
environment to the folder.  The binary thus contains the versions that the
tests ran with, and the build needs no downloads.
"""

import re
import shutil
from importlib.metadata import PathDistribution, distribution
from pathlib import Path

import click

ROOT = Path(__file__).parent.parent
PACKAGE = 'foxtailhatch'
PIN = re.compile(r'^([^\s=]+)==(\S+)$', re.MULTILINE)
# Scripts lie outside of the site folder, and bytecode is compiled again where
# the binary is unpacked.
EXCLUDED_PARTS = frozenset(('..', '__pycache__'))


class VersionMismatch(Exception):
    """A pinned distribution is missing its file list or has another version."""


@click.command()
@click.argument('folder', type=click.Path(path_type=Path))
def main(folder: Path) -> None:
    """Copy the package and its pinned libraries to FOLDER."""
    shutil.rmtree(folder, ignore_errors=True)
    ignored = shutil.ignore_patterns('__pycache__')
    shutil.copytree(ROOT / PACKAGE, folder / PACKAGE, ignore=ignored)
    pins = PIN.findall((ROOT / 'requirements.txt').read_text())
    for name, version in pins:
        _copy(name, version, folder)
    click.echo(f'{len(pins)} libraries in {folder}')


def _copy(name: str, version: str, folder: Path) -> None:
    dist = distribution(name)
    if dist.version != version:
        message = f'{name}: expected version {version}, got {dist.version}'
        raise VersionMismatch(message)
    if not isinstance(dist, PathDistribution) or dist.files is None:
        raise VersionMismatch(f'{name}: distribution has no file list')
    for path in dist.files:
        if not EXCLUDED_PARTS.intersection(path.parts):
            target = folder / path
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy(path.locate(), target)


if __name__ == '__main__':
    main()
