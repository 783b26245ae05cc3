"""Forward calls with hypercorn and httpx: a baseline for the data path."""

import functools

import anyio
import httpx
import hypercorn.asyncio
import hypercorn.config
import typer
from starlette import applications, responses, routing


async def serve(address, port, target):
    """Forward every request to ``target`` until cancelled."""
    client = httpx.AsyncClient(base_url=f"http://{target}", trust_env=False)

    async def forward(request):
        response = await client.request(
            request.method, request.url.path, content=await request.body()
        )
        return responses.Response(response.content, response.status_code)

    route = routing.Route("/{path:path}", forward, methods=["GET", "POST"])
    config = hypercorn.config.Config()
    config.bind = [f"{address}:{port}"]
    config.loglevel = "CRITICAL"
    app = applications.Starlette(routes=[route])
    await hypercorn.asyncio.serve(app, config, shutdown_trigger=anyio.sleep_forever)


def main(port: int, target: str, address: str = "127.0.0.1"):
    """Run the baseline until the process is ended."""
    anyio.run(functools.partial(serve, address, port, target))


if __name__ == "__main__":
    typer.run(main)
