"""Run the command line with ``python -m foxtailhatch``."""

from foxtailhatch.cli.main import main

if __name__ == '__main__':
    main()
