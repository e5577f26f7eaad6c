"""Start a router whose connections come from a host of its own.

The stand-ins tell routers on one machine apart by it.  The router is imported from
the working directory, so that it may be of another version than this file.
"""

import os
import runpy
import sys


def main():
    _, host = sys.argv
    # A signal during the imports below must end the process as it does without them.
    from foxtailhatch.startup import prepare_daemon

    prepare_daemon()
    from twisted.internet.posixbase import PosixReactorBase

    connect = PosixReactorBase.connectTCP

    def connect_from_host(reactor, address, port, factory, timeout=30):
        return connect(reactor, address, port, factory, timeout, (host, 0))

    PosixReactorBase.connectTCP = connect_from_host
    sys.argv = ['foxtailhatch.platform']
    runpy.run_module('foxtailhatch.platform', run_name='__main__')


if __name__ == '__main__':
    sys.path[0] = os.getcwd()
    main()
