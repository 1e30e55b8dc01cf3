"""A replica in a process of its own: it answers before it has read the long
body of the request, without a length, reads on later, and ends the answer with
its connection.

Usage: replica.py ID. Prints its port, then one line for each run."""
import socket
import sys
import threading
import time

SLOTS = 3
PIECES = 4  # of an answer
PIECE_BYTES = 1000
WORK_S = 0.06  # before each piece


def whole_body(request_id, replica_id):
    piece = f"{request_id}.{replica_id};".encode()
    return (piece * (PIECES * PIECE_BYTES // len(piece) + 1)
            )[:PIECES * PIECE_BYTES]


def read_head(connection):
    head = b""
    while b"\r\n\r\n" not in head:
        data = connection.recv(256)
        if not data:
            raise ConnectionError
        head += data
    head, rest = head.split(b"\r\n\r\n", 1)
    headers = dict(line.lower().split(": ", 1)
                   for line in head.decode("latin1").split("\r\n")[1:])
    return headers, len(rest)


def run(connection, request_id, replica_id):
    print(f"run {request_id}\n", end="", flush=True)
    body = whole_body(request_id, replica_id)
    for i in range(PIECES):
        time.sleep(WORK_S)
        head = "" if i else (f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n"
                             f"Server-Stamp: {request_id}.{replica_id}\r\n\r\n")
        connection.sendall(head.encode() +
                           body[i * PIECE_BYTES:(i + 1) * PIECE_BYTES])


def serve(connection, replica_id, slots):
    try:
        headers, n_read = read_head(connection)
        request_id = headers["request-id"]
        if headers.get("target-instance", replica_id) != replica_id:
            connection.sendall(
                f"HTTP/1.1 421 Status\r\nContent-Length: 0\r\n"
                f"Not-Executed: 1\r\nRequest-Id: {request_id}\r\n"
                f"Instance-Id: {replica_id}\r\n\r\n".encode())
            return
        with slots:
            run(connection, request_id, replica_id)
        # It reads on: the rest of the request's body.
        left = int(headers.get("content-length", 0)) - n_read
        while left > 0:
            data = connection.recv(65536)
            if not data:
                break
            left -= len(data)
    except (ConnectionError, KeyError):
        pass
    finally:
        connection.close()


def main():
    listener = socket.socket()
    # Windows and segments like those of the machines' network.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1400)
    listener.bind(("127.0.0.1", 0))
    listener.listen(64)
    slots = threading.Semaphore(SLOTS)
    print("port", listener.getsockname()[1], flush=True)
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve, args=(connection, sys.argv[1], slots),
                         daemon=True).start()


if __name__ == "__main__":
    main()
