"""Send one order to several routers with the same idempotency key.

``python -m examples.order URL [URL ...]`` sends it to one router after the
other, like a caller that retries because responses get lost.
"""

import asyncio
import time

import aiohttp
import click

from bulrushdale.claims import keys


async def send(urls: list[str], team_key: str) -> None:
    """Send the order to each router and print the responses."""
    key = keys.generate(time.time_ns() // 1_000_000)
    headers = {
        "Authorization": f"Bearer {team_key}",
        "Idempotency-Key": key,
    }
    async with aiohttp.ClientSession(headers=headers) as session:
        for url in urls:
            async with session.post(
                f"{url}/services/orders/loaves", json={"loaves": 2}
            ) as response:
                replayed = response.headers.get("Idempotency-Replayed")
                click.echo(
                    f"{url}: {response.status} {await response.text()}"
                    f" replayed {replayed or 'false'}"
                )


@click.command()
@click.argument("urls", nargs=-1, required=True)
@click.option("--key", default="bakery-key", show_default=True)
def main(urls: tuple[str, ...], key: str) -> None:
    """Send one order to the routers at URLS."""
    asyncio.run(send(list(urls), key))


if __name__ == "__main__":
    main()
