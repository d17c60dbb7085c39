"""The queues' listener, with boto3 as it is and with requests made by hand."""

from __future__ import annotations

import http.client
import socket
import time
from collections.abc import Iterator
from typing import Any
from urllib.parse import urlencode

import pytest
from botocore.exceptions import ClientError

from flintfield.wire.sqs.front import Keys

from support.queue_server import ACCOUNT, QueueServer


@pytest.fixture(scope="module")
def server() -> Iterator[QueueServer]:
    """One listener for all of this file."""
    made = QueueServer()
    yield made
    made.stop()
    assert made.defects == []


@pytest.fixture
def url(server: QueueServer, request: pytest.FixtureRequest) -> str:
    """A queue of the test's own."""
    name = request.node.name.partition("[")[0][-60:]
    return str(server.client().create_queue(QueueName=name)["QueueUrl"])


def test_boto3_sends_receives_and_deletes(server: QueueServer, url: str) -> None:
    client = server.client()
    attributes = {"seat": {"DataType": "Number", "StringValue": "7"},
                  "raw": {"DataType": "Binary", "BinaryValue": b"\0\1"}}
    client.send_message(QueueUrl=url, MessageBody="¿Día?\r\n<x>", MessageAttributes=attributes)
    [message] = client.receive_message(QueueUrl=url, MessageAttributeNames=["All"],
                                       MessageSystemAttributeNames=["All"])["Messages"]
    assert message["Body"] == "¿Día?\r\n<x>" and message["MessageAttributes"] == attributes
    assert message["Attributes"]["SenderId"] == "AKIDEXAMPLE"
    client.delete_message(QueueUrl=url, ReceiptHandle=message["ReceiptHandle"])
    assert "Messages" not in client.receive_message(QueueUrl=url)


def test_a_batch_with_bad_entries_tells_each_by_its_id(server: QueueServer, url: str) -> None:
    result = server.client().send_message_batch(QueueUrl=url, Entries=[
        {"Id": "good", "MessageBody": "a"}, {"Id": "bad", "MessageBody": "\0"}])
    assert [e["Id"] for e in result["Successful"]] == ["good"]
    assert [(e["Id"], e["SenderFault"]) for e in result["Failed"]] == [("bad", True)]


@pytest.mark.parametrize(("secret", "key_id", "code"), [
    ("wrong", "AKIDEXAMPLE", "SignatureDoesNotMatch"), ("secret", "AKIDOTHER", "InvalidClientTokenId")])
def test_a_wrong_key_is_turned_down(server: QueueServer, secret: str, key_id: str, code: str) -> None:
    client = server.client(aws_access_key_id=key_id, aws_secret_access_key=secret)
    with pytest.raises(ClientError) as caught:
        client.list_queues()
    assert caught.value.response["Error"]["Code"] == code
    assert caught.value.response["ResponseMetadata"]["HTTPStatusCode"] == 403


def test_a_long_poll_holds_up_nobody_and_ends_when_a_message_comes(server: QueueServer, url: str) -> None:
    poll = _post(server, {"Action": "ReceiveMessage", "WaitTimeSeconds": "20"}, url)
    server.client().send_message(QueueUrl=url, MessageBody="x")
    body = poll.getresponse().read().decode()
    assert "<Body>x</Body>" in body


def test_a_long_poll_that_the_client_abandons_takes_no_message(server: QueueServer, url: str) -> None:
    poll = _post(server, {"Action": "ReceiveMessage", "WaitTimeSeconds": "20"}, url)
    time.sleep(0.1)
    poll.close()
    time.sleep(0.1)
    client = server.client()
    client.send_message(QueueUrl=url, MessageBody="x")
    assert len(client.receive_message(QueueUrl=url, WaitTimeSeconds=1)["Messages"]) == 1


def _post(server: QueueServer, form: dict[str, str], url: str = "") -> http.client.HTTPConnection:
    server.keys = Keys({})  # unsigned, from here to the end of the test
    connection = http.client.HTTPConnection("127.0.0.1", server.port, timeout=10)
    path = f"/{ACCOUNT}/{url.rpartition('/')[2]}" if url else "/"
    connection.request("POST", path, urlencode(form), {"Content-Type": "application/x-www-form-urlencoded"})
    return connection


@pytest.fixture(autouse=True)
def _signed_again(server: QueueServer) -> Iterator[None]:
    keys = server.keys
    yield
    server.keys = keys


def test_the_query_form_answers_in_xml(server: QueueServer, url: str) -> None:
    sent = _post(server, {"Action": "SendMessage", "MessageBody": "a\rb&c", "MessageAttribute.1.Name": "n",
                          "MessageAttribute.1.Value.DataType": "String",
                          "MessageAttribute.1.Value.StringValue": "v"}, url).getresponse()
    assert sent.status == 200 and b"<MD5OfMessageBody>" in sent.read()
    got = _post(server, {"Action": "ReceiveMessage", "AttributeName.1": "All",
                         "MessageAttributeName.1": "All"}, url).getresponse().read()
    assert b"<Body>a&#xD;b&amp;c</Body>" in got and b"<StringValue>v</StringValue>" in got
    missing = _post(server, {"Action": "SendMessage", "MessageBody": "x"}, "x/none").getresponse()
    assert missing.status == 400
    assert b"<Code>AWS.SimpleQueueService.NonExistentQueue</Code>" in missing.read()


@pytest.mark.parametrize(("raw", "status"), [
    (b"nonsense\r\n\r\n", 400), (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999\r\n\r\n", 413),
    (b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400),
    (b"GET / HTTP/1.1\r\nHost: x\r\nX-A: " + b"a" * 150_000 + b"\r\n\r\n", 431),
    (b"POST / HTTP/1.1\r\nHost: x\r\nX-Amz-Target: AmazonSQS.ListQueues\r\nContent-Length: 1\r\n\r\n{", 403),
], ids=["nonsense", "too long", "two lengths", "long head", "unsigned"])
def test_odd_input_gets_an_error_or_a_close(server: QueueServer, raw: bytes, status: int) -> None:
    with socket.create_connection(("127.0.0.1", server.port), timeout=5) as sock:
        sock.sendall(raw)
        assert int(sock.recv(65_536).split()[1]) == status


@pytest.mark.parametrize("body", [
    b"{", b"[]", b"[" * 100_000, b'{"QueueUrl": 7}', b'{"QueueUrl": "x"}', b"\xff",
], ids=["cut", "a list", "deep", "a number", "no url", "no text"])
def test_a_body_that_is_no_operation_is_told_so(server: QueueServer, body: bytes) -> None:
    server.keys = Keys({})
    connection = http.client.HTTPConnection("127.0.0.1", server.port, timeout=5)
    connection.request("POST", "/", body, {"X-Amz-Target": "AmazonSQS.SendMessage"})
    response = connection.getresponse()
    assert response.status in (400, 404) and b"__type" in response.read()


def test_a_store_that_takes_nothing_is_told_as_a_fault_of_ours(server: QueueServer, url: str) -> None:
    server.storage.fails = "no space is left"
    try:
        with pytest.raises(ClientError) as caught:
            server.client().send_message(QueueUrl=url, MessageBody="x")
    finally:
        server.storage.fails = ""
    assert caught.value.response["ResponseMetadata"]["HTTPStatusCode"] == 503


def test_many_silent_connections_leave_room_for_clients(url: str, server: QueueServer) -> None:
    silent: list[Any] = [socket.create_connection(("127.0.0.1", server.port)) for _ in range(210)]
    assert server.client().list_queues()["QueueUrls"]
    for sock in silent:
        sock.close()
    assert server.counters["queue.closed_for_room"] >= 10
