"""Tests of how requests are told to the dispatcher."""

from cuminhoist.gateway.routes import RouteTable

from .builders import HOST, ScriptedTarget, answer, gateway, route


async def test_routes_that_name_the_same_object_are_told_apart():
    """Guards against expecting a cache hit after a request of another route.

    Found on kragelund-lb mix with seed 381828739627: targets cache what each
    route returns for an object by itself. The first request of a second route
    took four times the expected time, its target counted as slow, the limit
    on shifts was suspended, and 38 in 100 requests of the region shifted.
    """
    cookie = 'X-Affinity-Key=2e'
    routes = (route(), route(name='r2', prefix='/b/'))
    async with gateway(ScriptedTarget(answer)) as harness:
        harness.proxy.routing_state.routes = RouteTable(1, {HOST: routes}, {})
        for path in ('/a/x', '/b/x', '/b/y'):
            received = await harness.request(path=path, cookie=cookie)
            assert received.endswith(b'whole')
        await harness.request(path='/a/x')
    keys = [request.key for request in harness.dispatcher.requests]
    first, second, third, without_object = keys
    assert first != second
    assert second == third
    assert not without_object
