"""Download packs again and again until ended; a process of its own."""

import socket
import sys
import time

READ_BYTES = 64 * 1024


def main(host: str, port: str, size: str, pause_s: str) -> None:
    """Download from a node; print the bytes of each whole download."""
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
