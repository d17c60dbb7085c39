"""`flintfield queue`: look at the queues of a running scheduler, and mend them, through the API that all
clients use.

The address and a key come from options, or from the variables FLINTFIELD_QUEUE_URL and FLINTFIELD_QUEUE_KEYS.
"""

from __future__ import annotations

import http.client
import json
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any
from urllib.parse import urlsplit

import click

from flintfield.base.errors import BadInput

TIMEOUT_S = 30.0


class Refused(BadInput):
    """The scheduler's answer was an error, or there was none; the text is one line."""


class Api:
    """Calls operations, signed if there are keys."""

    def __init__(self, url: str, keys: str, region: str) -> None:
        parts = urlsplit(url)
        if parts.scheme != "http" or not parts.hostname:
            raise BadInput(f"--url: found {url!r}, expected something like http://127.0.0.1:9324")
        self.host, self._region = parts.netloc, region
        self._key: tuple[str, str] | None = None
        if keys:
            try:
                with open(keys, encoding="utf-8") as file:
                    self._key = next(iter(json.load(file).items()))
            except (OSError, ValueError, StopIteration, AttributeError) as error:
                raise BadInput(f"--keys: found {keys!r}, expected a JSON object of secrets by key id: "
                               f"{error!r}") from error

    def call(self, action: str, **shape: Any) -> dict[str, Any]:
        """One operation; its answer, or `Refused`."""
        from flintfield.wire.sqs.signature import ALGORITHM, DATE, SERVICE, Signed, sign

        body, now = json.dumps(shape).encode(), datetime.now(UTC)
        headers = {"host": self.host, "x-amz-date": now.strftime(DATE), "x-amz-target": f"AmazonSQS.{action}",
                   "content-type": "application/x-amz-json-1.0"}
        if self._key:
            scope, names = f"{now:%Y%m%d}/{self._region}/{SERVICE}/aws4_request", sorted(headers)
            signed = Signed("POST", "/", "", list(headers.items()), body)
            signature = sign(signed, names, self._key[1], now, scope)
            headers["authorization"] = (f"{ALGORITHM} Credential={self._key[0]}/{scope}, SignedHeaders="
                                        f"{';'.join(names)}, Signature={signature}")
        connection = http.client.HTTPConnection(self.host, timeout=TIMEOUT_S)
        try:
            connection.request("POST", "/", body, headers)
            response = connection.getresponse()
            told: dict[str, Any] = json.loads(response.read() or b"{}")
        except (OSError, http.client.HTTPException, ValueError) as error:
            raise Refused(f"{self.host}: no answer that can be read: {error!r}") from error
        finally:
            connection.close()
        if response.status != 200:
            raise Refused(f"{action}: {told.get('__type', '').partition('#')[2]}: {told.get('message', '')}")
        return told

    def url(self, name: str) -> str:
        """A queue's URL."""
        return str(self.call("GetQueueUrl", QueueName=name)["QueueUrl"])


def _options(command: Callable[..., Any]) -> Callable[..., Any]:
    for option in (
        click.option("--url", envvar="FLINTFIELD_QUEUE_URL", default="http://127.0.0.1:9324",
                     show_default=True, help="Where the queues listen."),
        click.option("--keys", envvar="FLINTFIELD_QUEUE_KEYS", default="", metavar="FILE",
                     help="The key file; its first key signs."),
        click.option("--region", default="local", show_default=True, help="As [queues] region says."),
    ):
        command = option(command)
    return command


@click.group()
def queue() -> None:
    """Look at the queues of a running scheduler, and mend them."""


@queue.command("ls")
@_options
@click.option("--json", "as_json", is_flag=True, help="One JSON object for each queue.")
def list_queues(url: str, keys: str, region: str, as_json: bool) -> None:
    """Each queue with the messages that wait, are in flight and are delayed."""
    api, after, rows = Api(url, keys, region), "", []
    while True:
        page = api.call("ListQueues", MaxResults=1000, **({"NextToken": after} if after else {}))
        for queue_url in page.get("QueueUrls", []):
            told = api.call("GetQueueAttributes", QueueUrl=queue_url, AttributeNames=["All"])["Attributes"]
            rows.append((queue_url.rpartition("/")[2], told))
        if not (after := page.get("NextToken", "")):
            break
    counted = ("ApproximateNumberOfMessages", "ApproximateNumberOfMessagesNotVisible",
               "ApproximateNumberOfMessagesDelayed")
    if as_json:
        for name, told in rows:
            click.echo(json.dumps({"queue": name, **told}))
        return
    width = max([len("queue"), *(len(name) for name, _ in rows)])
    click.echo(f"{'queue':{width}}  {'waiting':>9}  {'in flight':>9}  {'delayed':>9}")
    for name, told in rows:
        click.echo(f"{name:{width}}  " + "  ".join(f"{told[c]:>9}" for c in counted))


@queue.command()
@_options
@click.argument("name")
@click.option("-n", "count", type=click.IntRange(1, 100), default=10, show_default=True, help="How many.")
def peek(url: str, keys: str, region: str, name: str, count: int) -> None:
    """Print messages of a queue, one JSON object a line, and let them be seen again at once.

    Each look counts as a receive: with a redrive policy it brings a message nearer to its dead-letter queue.
    """
    api = Api(url, keys, region)
    queue_url, taken = api.url(name), list[dict[str, Any]]()
    while len(taken) < count:
        page = api.call("ReceiveMessage", QueueUrl=queue_url, MaxNumberOfMessages=min(10, count - len(taken)),
                        VisibilityTimeout=30, AttributeNames=["All"], MessageAttributeNames=["All"])
        taken += page.get("Messages", [])
        if not page.get("Messages"):
            break
    for message in taken:
        click.echo(json.dumps({k: v for k, v in message.items() if k != "ReceiptHandle"}, ensure_ascii=False))
        api.call("ChangeMessageVisibility", QueueUrl=queue_url, ReceiptHandle=message["ReceiptHandle"],
                 VisibilityTimeout=0)


@queue.command()
@_options
@click.argument("name")
@click.option("--to", default="", metavar="QUEUE", help="Where to; otherwise each goes back where it "
                                                        "was sent.")
@click.option("--rate", type=click.IntRange(1, 500), default=None, help="Messages a second at the most.")
def redrive(url: str, keys: str, region: str, name: str, to: str, rate: int | None) -> None:
    """Move a dead-letter queue's messages back.

    A booking that may have run is among them only as long as nobody moves it: look at it first (`peek`).
    """
    api = Api(url, keys, region)

    def arn(queue_name: str) -> str:
        told = api.call("GetQueueAttributes", QueueUrl=api.url(queue_name), AttributeNames=["QueueArn"])
        return str(told["Attributes"]["QueueArn"])

    more: dict[str, Any] = {"DestinationArn": arn(to)} if to else {}
    if rate:
        more["MaxNumberOfMessagesPerSecond"] = rate
    source = arn(name)
    api.call("StartMessageMoveTask", SourceArn=source, **more)
    [task] = api.call("ListMessageMoveTasks", SourceArn=source)["Results"]
    click.echo(f"{task['Status']}: {task['ApproximateNumberOfMessagesMoved']} of "
               f"{task['ApproximateNumberOfMessagesToMove']} moved")


@queue.command()
@_options
@click.argument("name")
@click.option("--yes", is_flag=True, help="Do not ask.")
def purge(url: str, keys: str, region: str, name: str, yes: bool) -> None:
    """Delete all messages of a queue, but those that are jobs in work."""
    api = Api(url, keys, region)
    queue_url = api.url(name)
    if not yes:
        click.confirm(f"Delete all messages of {name}?", abort=True)
    api.call("PurgeQueue", QueueUrl=queue_url)
