"""Download packs repeatedly until killed.

bench.transfer runs it as a separate process.
"""

import socket
import sys
import time

READ_BYTES = 64 * 1024


def main(host: str, port: str, size: str, pause_s: str) -> None:
    """Download from a node; print the number of bytes of each read.

    The host is the value of the Host header, the port is the HTTP port of
    the node on loopback, the size is the bytes of each download, and
    pause_s is the wait after each read.
    """
    head = (
        f'GET /packs?bytes={size} HTTP/1.1\r\nhost: {host}\r\n'
        'connection: close\r\n\r\n'
    )
    while True:
        with socket.create_connection(('127.0.0.1', int(port))) as sock:
            sock.sendall(head.encode())
            while data := sock.recv(READ_BYTES):
                print(len(data), flush=True)
                time.sleep(float(pause_s))


if __name__ == '__main__':
    main(*sys.argv[1:])
