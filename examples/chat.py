"""Stream one chat turn from a running router.

Run ``python -m examples.chat http://127.0.0.1:PORT`` while a deployment is up
that ``python -m examples.quickstart --stay`` started.
"""

import asyncio

import click
import openai


async def stream_turn(url: str, key: str, text: str) -> None:
    """Print a completion while it arrives."""
    async with openai.AsyncOpenAI(base_url=f"{url}/v1", api_key=key) as client:
        stream = await client.chat.completions.create(
            model="loaf-1",
            messages=[{"role": "user", "content": text}],
            max_tokens=20,
            stream=True,
        )
        async for chunk in stream:
            click.echo(chunk.choices[0].delta.content or "", nl=False)
    click.echo()


@click.command()
@click.argument("url")
@click.option("--key", default="bakery-key", show_default=True)
@click.option("--text", default="Which loaves have nuts?")
def main(url: str, key: str, text: str) -> None:
    """Stream one chat turn from the router at URL."""
    asyncio.run(stream_turn(url, key, text))


if __name__ == "__main__":
    main()
