"""Start a complete deployment on loopback and send it some requests.

Run ``python -m examples.quickstart``; ``--stay`` keeps the deployment up.
"""

import asyncio
import signal
import time

import click

from bulrushdale.claims import keys
from examples import deployment


def print_line(text: str) -> None:
    """Print a line."""
    click.echo(text)


async def stream_turn(
    fleet: deployment.Deployment, router: str, messages: list
) -> tuple[str, str, int]:
    """Stream one chat turn and return its text, engine and cached tokens."""
    import openai

    client = openai.AsyncOpenAI(
        base_url=f"{fleet.urls[router]}/v1", api_key="bakery-key"
    )
    async with client.chat.completions.with_streaming_response.create(
        model="loaf-1", messages=messages, max_tokens=12, stream=True
    ) as raw:
        target = raw.headers["Bulrushdale-Target"]
        cached = int(raw.headers["Bulrushdale-Cached-Tokens"])
        stream = await raw.parse()
        text = ""
        async for chunk in stream:
            text += chunk.choices[0].delta.content or ""
    await client.close()
    return text, target, cached


async def send_examples(fleet: deployment.Deployment) -> None:
    """Send two turns of a chat, and an order twice with the same key."""
    routers = fleet.router_names("mid-a")
    recipe_book = "Recipe book of the bakery. " * 40
    messages = [
        {"role": "system", "content": recipe_book},
        {"role": "user", "content": "Plan Saturday's bake."},
    ]
    text, target, cached = await stream_turn(fleet, routers[0], messages)
    print_line(
        f"chat turn by {routers[0]}: engine {target}, {cached} cached tokens"
    )
    print_line(f"  {text[:60]}...")
    messages += [
        {"role": "assistant", "content": text},
        {"role": "user", "content": "And Sunday's?"},
    ]
    _, target, cached = await stream_turn(fleet, routers[1], messages)
    print_line(
        f"next turn by {routers[1]}: engine {target}, {cached} cached tokens"
    )
    key = keys.generate(time.time_ns() // 1_000_000)
    for router in routers[:2]:
        status, result, headers = await fleet.order(router, key)
        replayed = headers.get("Idempotency-Replayed", "false")
        print_line(
            f"order by {router}: {status} {result}, replayed {replayed}"
        )
    print_line(f"effects of the order: {(await fleet.effects())[key]}")


def print_usage(fleet: deployment.Deployment) -> None:
    """Print addresses, keys and process ids of the deployment."""
    router = fleet.router_names()[0]
    print_line(
        f"callers:   {fleet.urls[router]}  (Authorization: Bearer bakery-key)"
    )
    print_line(
        f"operators: {fleet.urls[router + '/operator']}"
        f"  (key {deployment.OPERATOR_KEY})"
    )
    print_line(
        f"  curl -N {fleet.urls[router]}/v1/chat/completions"
        " -H 'Authorization: Bearer bakery-key'"
        ' -d \'{"model": "loaf-1", "stream": true,'
        ' "messages": [{"role": "user", "content": "hello"}]}\''
    )
    print_line(
        f"  bulrushdale fleet --router {fleet.urls[router + '/operator']}"
        f" --key {deployment.OPERATOR_KEY}"
    )
    for name, process in fleet.processes.items():
        print_line(f"  process {process.popen.pid}: {name}")


async def run(stay: bool) -> None:
    """Start a deployment, send the requests and stop it."""
    shape = deployment.Shape(
        data_centres=["mid-a", "mid-b", "mid-c"],
        routers=2,
        engines=2,
        services=1,
    )
    print_line(
        "starting 6 routers, 6 engines, 3 services and the platform ..."
    )
    async with deployment.Deployment(shape) as fleet:
        await send_examples(fleet)
        if stay:
            print_usage(fleet)
            print_line("running; stop with Ctrl-C")
            await asyncio.Event().wait()
    print_line("stopped")


@click.command()
@click.option(
    "--stay", is_flag=True, help="Keep the deployment up until Ctrl-C."
)
def main(stay: bool) -> None:
    """Start a deployment on loopback and send it some requests."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        asyncio.run(run(stay))
    except KeyboardInterrupt:
        print_line("stopped")


if __name__ == "__main__":
    main()
