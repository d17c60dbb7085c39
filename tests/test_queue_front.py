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


# ------------------------------------------------- every operation, as boto3 has it


def test_queues_are_made_found_listed_tagged_and_deleted(server: QueueServer) -> None:
    sqs = server.client()
    url = sqs.create_queue(QueueName="whole-1", Attributes={"DelaySeconds": "3"}, tags={"a": "b"})["QueueUrl"]
    assert sqs.create_queue(QueueName="whole-1", Attributes={"DelaySeconds": "3"})["QueueUrl"] == url
    with pytest.raises(sqs.exceptions.QueueNameExists):
        sqs.create_queue(QueueName="whole-1", Attributes={"DelaySeconds": "4"})
    sqs.create_queue(QueueName="whole-2")
    first = sqs.list_queues(QueueNamePrefix="whole-", MaxResults=1)
    rest = sqs.list_queues(QueueNamePrefix="whole-", MaxResults=1, NextToken=first["NextToken"])
    assert [u.rpartition("/")[2] for u in first["QueueUrls"] + rest["QueueUrls"]] == ["whole-1", "whole-2"]
    sqs.tag_queue(QueueUrl=url, Tags={"c": "d"})
    sqs.untag_queue(QueueUrl=url, TagKeys=["a"])
    assert sqs.list_queue_tags(QueueUrl=url)["Tags"] == {"c": "d"}
    sqs.set_queue_attributes(QueueUrl=url, Attributes={"VisibilityTimeout": "7"})
    told = sqs.get_queue_attributes(QueueUrl=url, AttributeNames=["VisibilityTimeout", "QueueArn"])
    assert told["Attributes"] == {"VisibilityTimeout": "7",
                                  "QueueArn": f"arn:aws:sqs:local:{ACCOUNT}:whole-1"}
    sqs.delete_queue(QueueUrl=url)
    with pytest.raises(sqs.exceptions.QueueDoesNotExist):
        sqs.get_queue_url(QueueName="whole-1")
    with pytest.raises(sqs.exceptions.QueueDeletedRecently):
        sqs.create_queue(QueueName="whole-1")


def test_a_fifo_queue_keeps_order_and_drops_repeats(server: QueueServer) -> None:
    sqs = server.client()
    url = sqs.create_queue(QueueName="order.fifo", Attributes={"FifoQueue": "true"})["QueueUrl"]
    for body, group, name in (("1", "g", "a"), ("2", "g", "b"), ("2", "g", "b"), ("x", "h", "c")):
        sqs.send_message(QueueUrl=url, MessageBody=body, MessageGroupId=group, MessageDeduplicationId=name)
    attempt = {"QueueUrl": url, "MaxNumberOfMessages": 10, "ReceiveRequestAttemptId": "t",
               "MessageSystemAttributeNames": ["All"]}
    got = sqs.receive_message(**attempt)["Messages"]
    assert [m["Body"] for m in got if m["Attributes"]["MessageGroupId"] == "g"] == ["1", "2"]
    assert len(got) == 3
    again = sqs.receive_message(**attempt)["Messages"]
    assert [m["ReceiptHandle"] for m in again] == [m["ReceiptHandle"] for m in got]
    sqs.delete_message_batch(QueueUrl=url, Entries=[
        {"Id": str(i), "ReceiptHandle": m["ReceiptHandle"]} for i, m in enumerate(got)])
    with pytest.raises(ClientError, match="MessageGroupId"):
        sqs.send_message(QueueUrl=url, MessageBody="x", MessageDeduplicationId="d")
    with pytest.raises(ClientError, match="ContentBasedDeduplication"):
        sqs.send_message(QueueUrl=url, MessageBody="x", MessageGroupId="g")


def test_visibility_is_changed_alone_and_in_batches(server: QueueServer, url: str) -> None:
    sqs = server.client()
    sqs.send_message(QueueUrl=url, MessageBody="x")
    [message] = sqs.receive_message(QueueUrl=url)["Messages"]
    handle = message["ReceiptHandle"]
    sqs.change_message_visibility(QueueUrl=url, ReceiptHandle=handle, VisibilityTimeout=0)
    with pytest.raises(sqs.exceptions.MessageNotInflight):
        sqs.change_message_visibility(QueueUrl=url, ReceiptHandle=handle, VisibilityTimeout=5)
    [message] = sqs.receive_message(QueueUrl=url)["Messages"]
    result = sqs.change_message_visibility_batch(QueueUrl=url, Entries=[
        {"Id": "a", "ReceiptHandle": message["ReceiptHandle"], "VisibilityTimeout": 0},
        {"Id": "b", "ReceiptHandle": "forged", "VisibilityTimeout": 0}])
    assert [e["Id"] for e in result["Successful"]] == ["a"]
    assert [(e["Id"], e["Code"]) for e in result["Failed"]] == [("b", "ReceiptHandleIsInvalid")]


def test_dead_letters_move_there_and_back(server: QueueServer) -> None:
    sqs = server.client()
    dead = sqs.create_queue(QueueName="moves-dead")["QueueUrl"]
    arn = sqs.get_queue_attributes(QueueUrl=dead, AttributeNames=["QueueArn"])["Attributes"]["QueueArn"]
    policy = f'{{"deadLetterTargetArn": "{arn}", "maxReceiveCount": "1"}}'
    url = sqs.create_queue(QueueName="moves", Attributes={"RedrivePolicy": policy})["QueueUrl"]
    assert sqs.list_dead_letter_source_queues(QueueUrl=dead)["queueUrls"] == [url]
    sqs.send_message(QueueUrl=url, MessageBody="x")
    sqs.receive_message(QueueUrl=url, VisibilityTimeout=0)
    assert "Messages" not in sqs.receive_message(QueueUrl=url)
    assert sqs.start_message_move_task(SourceArn=arn)["TaskHandle"]
    time.sleep(0.2)
    [task] = sqs.list_message_move_tasks(SourceArn=arn)["Results"]
    assert (task["Status"], task["ApproximateNumberOfMessagesMoved"]) == ("COMPLETED", 1)
    assert sqs.receive_message(QueueUrl=url)["Messages"][0]["Body"] == "x"
    with pytest.raises(ClientError, match="Task does not exist"):
        sqs.cancel_message_move_task(TaskHandle="none")


@pytest.mark.parametrize(("call", "given", "code"), [
    ("send_message", {"MessageBody": "x" * 262_145}, "InvalidParameterValue"),
    ("send_message", {"MessageBody": "x", "DelaySeconds": 901}, "InvalidParameterValue"),
    ("send_message", {"MessageBody": "x", "MessageDeduplicationId": "d"}, "InvalidParameterValue"),
    ("receive_message", {"WaitTimeSeconds": 21}, "InvalidParameterValue"),
    ("receive_message", {"VisibilityTimeout": 43_201}, "InvalidParameterValue"),
    ("set_queue_attributes", {"Attributes": {"VisibilityTimeout": "-1"}}, "InvalidAttributeValue"),
    ("set_queue_attributes", {"Attributes": {"Nonsense": "1"}}, "InvalidAttributeName"),
    ("set_queue_attributes", {"Attributes": {"KmsMasterKeyId": "k"}}, "InvalidAttributeName"),
    ("add_permission", {"Label": "l", "AWSAccountIds": ["1"], "Actions": ["*"]},
     "AWS.SimpleQueueService.UnsupportedOperation"),
    ("delete_message_batch", {"Entries": []}, "AWS.SimpleQueueService.EmptyBatchRequest"),
    ("send_message_batch", {"Entries": [{"Id": "a", "MessageBody": "x" * 200_000},
                                        {"Id": "b", "MessageBody": "x" * 200_000}]},
     "AWS.SimpleQueueService.BatchRequestTooLong"),
], ids=lambda value: value if isinstance(value, str) else "")
def test_errors_are_told_as_published(server: QueueServer, url: str, call: str, given: dict[str, Any],
                                      code: str) -> None:
    with pytest.raises(ClientError) as caught:
        getattr(server.client(), call)(QueueUrl=url, **given)
    assert caught.value.response["Error"]["Code"] == code


def test_one_purge_a_minute(server: QueueServer, url: str) -> None:
    sqs = server.client()
    sqs.send_message(QueueUrl=url, MessageBody="x")
    sqs.purge_queue(QueueUrl=url)
    assert "Messages" not in sqs.receive_message(QueueUrl=url)
    with pytest.raises(sqs.exceptions.PurgeQueueInProgress):
        sqs.purge_queue(QueueUrl=url)


def test_the_command_lists_peeks_and_purges(server: QueueServer, url: str) -> None:
    from click.testing import CliRunner

    from flintfield.wire.sqs.commands import queue

    server.keys = Keys({})
    name = url.rpartition("/")[2]
    server.client().send_message(QueueUrl=url, MessageBody="seat 7")

    def run(*arguments: str) -> str:
        result = CliRunner().invoke(queue, [*arguments, "--url", server.url])
        assert result.exit_code == 0, result.output
        return result.output

    assert f'"queue": "{name}"' in run("ls", "--json")
    assert '"Body": "seat 7"' in run("peek", name) and '"Body": "seat 7"' in run("peek", name)
    run("purge", name, "--yes")
    assert run("peek", name) == ""
