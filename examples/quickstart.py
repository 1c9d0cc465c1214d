"""Starts a whole deployment on loopback and sends it some requests.

Run with ``python -m examples.quickstart``; ``--stay`` keeps it up.
"""

import asyncio
import signal
import time

import click

from bulrushdale.claims import keys
from examples import deployment


def say(text: str) -> None:
    """Print a line at once."""
    click.echo(text)


async def turn(
    up: deployment.Deployment, router: str, messages: list
) -> tuple[str, str, int]:
    """Stream one chat turn; return its text, engine and cached tokens."""
    import openai

    client = openai.AsyncOpenAI(
        base_url=f"{up.urls[router]}/v1", api_key="bakery-key"
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


async def show(up: deployment.Deployment) -> None:
    """Send a chat turn, its return, and an order sent twice."""
    routers = up.router_names("mid-a")
    book = "Recipe book of the bakery. " * 40
    messages = [
        {"role": "system", "content": book},
        {"role": "user", "content": "Plan Saturday's bake."},
    ]
    text, target, cached = await turn(up, routers[0], messages)
    say(f"chat turn by {routers[0]}: engine {target}, {cached} cached tokens")
    say(f"  {text[:60]}...")
    messages += [
        {"role": "assistant", "content": text},
        {"role": "user", "content": "And Sunday's?"},
    ]
    _, target, cached = await turn(up, routers[1], messages)
    say(f"its return by {routers[1]}: engine {target}, {cached} cached tokens")
    key = keys.generate(time.time_ns() // 1_000_000)
    for router in routers[:2]:
        status, answer, headers = await up.order(router, key)
        again = headers.get("Idempotency-Replayed", "false")
        say(f"order by {router}: {status} {answer}, replayed {again}")
    say(f"effects of the order: {(await up.effects())[key]}")


def tell(up: deployment.Deployment) -> None:
    """Print what a person needs to use the deployment."""
    router = up.router_names()[0]
    say(f"callers:   {up.urls[router]}  (Authorization: Bearer bakery-key)")
    say(
        f"operators: {up.urls[router + '/operator']}"
        f"  (key {deployment.OPERATOR_KEY})"
    )
    say(
        f"  curl -N {up.urls[router]}/v1/chat/completions"
        " -H 'Authorization: Bearer bakery-key'"
        ' -d \'{"model": "loaf-1", "stream": true,'
        ' "messages": [{"role": "user", "content": "hello"}]}\''
    )
    say(
        f"  bulrushdale fleet --router {up.urls[router + '/operator']}"
        f" --key {deployment.OPERATOR_KEY}"
    )
    for name, process in up.processes.items():
        say(f"  process {process.popen.pid}: {name}")


async def run(stay: bool) -> None:
    """Start, show, and stop."""
    shape = deployment.Shape(
        data_centres=["mid-a", "mid-b", "mid-c"],
        routers=2,
        engines=2,
        services=1,
    )
    say("starting 6 routers, 6 engines, 3 services and the platform ...")
    async with deployment.Deployment(shape) as up:
        await show(up)
        if stay:
            tell(up)
            say("running; stop with Ctrl-C")
            await asyncio.Event().wait()
    say("stopped")


@click.command()
@click.option("--stay", is_flag=True, help="Keep it up until Ctrl-C.")
def main(stay: bool) -> None:
    """Start a deployment on loopback and send it some requests."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        asyncio.run(run(stay))
    except KeyboardInterrupt:
        say("stopped")


if __name__ == "__main__":
    main()
