"""Run the router without the rest of the command line, for a lean start."""

from foxtailhatch.cli.route import route

if __name__ == '__main__':
    route()
