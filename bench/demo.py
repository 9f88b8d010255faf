"""Show the main job: two regions, two data centres each, one service set.

Run by run_demo.sh. With --keep all processes stay up until interrupted.
"""

import argparse
import hashlib
import pathlib
import sys
import time
import uuid

from bench import stack as stacks

EXAMPLE = pathlib.Path(__file__).parents[1] / 'examples' / 'lexico.ini'
CALLER_HOST = 'lexico.example'
DATA_CENTRES = ('centro-1', 'centro-2', 'norte-1', 'norte-2')
PACK_BYTES = 20 * 1024 * 1024
LOOKUPS = 200


def _show(what: str, answer: stacks.Answer, begun: float) -> None:
    elapsed_ms = (time.monotonic() - begun) * 1000
    server = answer.headers.get('x-server', '-')[:6]
    print(
        f'  {what:<34} {answer.status} {answer.outcome:<9}'
        f' {len(answer.body):>9} bytes  {elapsed_ms:7.1f} ms  by {server}'
    )


def _start(stack: stacks.Stack) -> None:
    for data_centre in DATA_CENTRES:
        for services in ('lookups,lists', 'packs,etymologies'):
            node = stack.start_node(data_centre)
            stack.start_server(node, services)
    stack.publish(EXAMPLE.read_text(encoding='utf-8'))
    stack.wait_members(len(stack.servers))


def _lookup(stack: stacks.Stack) -> None:
    print('Lookups, through a node in each data centre:')
    for node in stack.nodes[::2]:
        begun = time.monotonic()
        answer = stacks.call(node.http, '/lookup/hola', host=CALLER_HOST)
        _show(f'GET /lookup/hola via {node.data_centre}', answer, begun)
    begun = time.monotonic()
    answers = [
        stacks.call(
            stack.nodes[count % len(stack.nodes)].http,
            f'/lookup/word{count}',
            host=CALLER_HOST,
        )
        for count in range(LOOKUPS)
    ]
    whole = sum(answer.status == 200 for answer in answers)
    elapsed_s = time.monotonic() - begun
    print(f'  {whole} of {LOOKUPS} more answered in {elapsed_s:.2f} s')


def _save(stack: stacks.Stack) -> None:
    print('A save, sent twice with one Idempotency-Key:')
    key = {'Idempotency-Key': str(uuid.uuid4())}
    for node in (stack.nodes[0], stack.nodes[2]):
        begun = time.monotonic()
        answer = stacks.call(
            node.http,
            '/lists/maria',
            'POST',
            b'{"word": "hola"}',
            key,
            CALLER_HOST,
        )
        _show(f'POST /lists/maria via {node.name}', answer, begun)
    runs = sum(
        run['key'] == key['Idempotency-Key']
        for server in stack.servers
        for run in server.runs()
    )
    print(f'  the servers ran it {runs} time(s)')


def _download(stack: stacks.Stack) -> None:
    print('A pack:')
    begun = time.monotonic()
    answer = stacks.call(
        stack.nodes[0].http,
        f'/packs/escuela?bytes={PACK_BYTES}',
        host=CALLER_HOST,
        timeout_s=60,
    )
    _show('GET /packs/escuela', answer, begun)
    print(f'  sha256 {hashlib.sha256(answer.body).hexdigest()[:16]}')


def main() -> int:
    """Run the demo and return its exit code."""
    parser = argparse.ArgumentParser(prog='run_demo.sh')
    parser.add_argument(
        '--keep', action='store_true', help='leave all up, print a curl line'
    )
    args = parser.parse_args()
    with stacks.Stack.open() as stack:
        print('Starting a platform, 8 nodes and 8 sample servers.')
        _start(stack)
        print(stack.command('status'), end='')
        _lookup(stack)
        _save(stack)
        _download(stack)
        if args.keep:
            port = stack.nodes[0].http
            print(f'  curl -i -H "Host: {CALLER_HOST}"', end='')
            print(f' http://127.0.0.1:{port}/lookup/hola')
            print('Interrupt to stop.', flush=True)
            try:
                while True:
                    time.sleep(1)
            except KeyboardInterrupt:
                print()
        codes = stack.stop_gracefully()
    bad = {name: code for name, code in codes.items() if code}
    print(f'Stopped {len(codes)} processes, exit codes not 0: {bad or "none"}')
    return 1 if bad else 0


if __name__ == '__main__':
    sys.exit(main())
