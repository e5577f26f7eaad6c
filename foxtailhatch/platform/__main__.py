"""Run the router without importing the other commands, to start faster."""

from foxtailhatch.cli.route import route

if __name__ == '__main__':
    route()
