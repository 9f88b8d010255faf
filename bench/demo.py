"""Show lookups, a save and a download over two regions.

Each region has two data centres, and each data centre has two nodes with
one sample server each. Started by run_demo.sh; with --keep all processes
keep running until interrupted.
"""

import argparse
import hashlib
import pathlib
import sys
import time
import uuid

from bench import local_cluster

EXAMPLE = pathlib.Path(__file__).parents[1] / 'examples' / 'lexico.ini'
CALLER_HOST = 'lexico.example'
DATA_CENTRES = ('centro-1', 'centro-2', 'norte-1', 'norte-2')
PACK_BYTES = 20 * 1024 * 1024
LOOKUPS = 200


def _print_response(
    label: str, response: local_cluster.Response, start: float
) -> None:
    elapsed_ms = (time.monotonic() - start) * 1000
    server = response.headers.get('x-server', '-')[:6]
    print(
        f'  {label:<34} {response.status} {response.outcome:<9}'
        f' {len(response.body):>9} bytes  {elapsed_ms:7.1f} ms  by {server}'
    )


def _start_processes(cluster: local_cluster.LocalCluster) -> None:
    for data_centre in DATA_CENTRES:
        for services in ('lookups,lists', 'packs,etymologies'):
            node = cluster.start_node(data_centre)
            cluster.start_server(node, services)
    cluster.publish(EXAMPLE.read_text(encoding='utf-8'))
    cluster.wait_for_members(len(cluster.servers))


def _show_lookups(cluster: local_cluster.LocalCluster) -> None:
    print('Lookups, through a node in each data centre:')
    for node in cluster.nodes[::2]:
        start = time.monotonic()
        response = local_cluster.send_request(
            node.http_port, '/lookup/hola', host=CALLER_HOST
        )
        _print_response(
            f'GET /lookup/hola via {node.data_centre}', response, start
        )
    start = time.monotonic()
    responses = [
        local_cluster.send_request(
            cluster.nodes[number % len(cluster.nodes)].http_port,
            f'/lookup/word{number}',
            host=CALLER_HOST,
        )
        for number in range(LOOKUPS)
    ]
    ok_count = sum(response.status == 200 for response in responses)
    elapsed_s = time.monotonic() - start
    print(f'  {ok_count} of {LOOKUPS} more answered in {elapsed_s:.2f} s')


def _show_save(cluster: local_cluster.LocalCluster) -> None:
    print('A save, sent twice with one Idempotency-Key:')
    key_header = {'Idempotency-Key': str(uuid.uuid4())}
    for node in (cluster.nodes[0], cluster.nodes[2]):
        start = time.monotonic()
        response = local_cluster.send_request(
            node.http_port,
            '/lists/maria',
            'POST',
            b'{"word": "hola"}',
            key_header,
            CALLER_HOST,
        )
        _print_response(f'POST /lists/maria via {node.name}', response, start)
    run_count = sum(
        run['key'] == key_header['Idempotency-Key']
        for server in cluster.servers
        for run in server.runs()
    )
    print(f'  the servers ran it {run_count} time(s)')


def _show_download(cluster: local_cluster.LocalCluster) -> None:
    print('A pack:')
    start = time.monotonic()
    response = local_cluster.send_request(
        cluster.nodes[0].http_port,
        f'/packs/escuela?bytes={PACK_BYTES}',
        host=CALLER_HOST,
        timeout_s=60,
    )
    _print_response('GET /packs/escuela', response, start)
    print(f'  sha256 {hashlib.sha256(response.body).hexdigest()[:16]}')


def main() -> int:
    """Run the demo and return its exit code."""
    parser = argparse.ArgumentParser(prog='run_demo.sh')
    parser.add_argument(
        '--keep',
        action='store_true',
        help='keep all processes running and print a curl command',
    )
    args = parser.parse_args()
    with local_cluster.LocalCluster.open() as cluster:
        print('Starting a platform, 8 nodes and 8 sample servers.')
        _start_processes(cluster)
        print(cluster.command('status'), end='')
        _show_lookups(cluster)
        _show_save(cluster)
        _show_download(cluster)
        if args.keep:
            port = cluster.nodes[0].http_port
            print(f'  curl -i -H "Host: {CALLER_HOST}"', end='')
            print(f' http://127.0.0.1:{port}/lookup/hola')
            print('Interrupt to stop.', flush=True)
            try:
                while True:
                    time.sleep(1)
            except KeyboardInterrupt:
                print()
        exit_codes = cluster.stop_gracefully()
    failures = {name: code for name, code in exit_codes.items() if code}
    print(
        f'Stopped {len(exit_codes)} processes,'
        f' exit codes not 0: {failures or "none"}'
    )
    return 1 if failures else 0


if __name__ == '__main__':
    sys.exit(main())
