package org.mountlug.api;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Map;
import org.mountlug.Constants;
import org.mountlug.agent.AgentCodec;
import org.mountlug.core.model.Report;
import org.mountlug.node.Controller;
import org.mountlug.wire.Cbor;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What users, the load balancer and workers reach on {@code listen}: paths, methods and bodies. */
public final class Api implements HttpHandler {
    private static final Logger LOG = LoggerFactory.getLogger(Api.class);
    private static final HttpString RETRY_AFTER = Headers.RETRY_AFTER;

    private final Controller node;
    private final Users users;

    /** Serves users and workers of this controller. */
    public Api(Controller node, Users users) {
        this.node = node;
        this.users = users;
    }

    @Override
    public void handleRequest(HttpServerExchange x) {
        String path = x.getRequestPath();
        HttpString method = x.getRequestMethod();
        if (path.equals("/up")) {
            if (!method.equals(Methods.GET)) {
                empty(x, 405);
            } else {
                empty(x, node.healthy() ? 200 : 503);
            }
            return;
        }
        if (path.equals("/metrics")) {
            if (!method.equals(Methods.GET)) {
                empty(x, 405);
            } else {
                x.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; version=0.0.4");
                x.getResponseSender().send(node.metrics().scrape());
            }
            return;
        }
        if (path.equals("/work") || path.equals("/agent/beat")) {
            if (!method.equals(Methods.POST)) {
                empty(x, 405);
                return;
            }
            if (x.getRequestContentLength() > Constants.BODY_MAX) {
                x.setPersistent(false);
                answer(x, 400, Map.of("error", "body over 64 KiB"));
                return;
            }
            boolean beat = path.equals("/agent/beat");
            x.getRequestReceiver()
                    .receiveFullBytes(
                            (y, bytes) -> y.dispatch(SameThreadExecutor.INSTANCE, () -> {
                                if (beat) {
                                    handleReport(y, bytes);
                                } else {
                                    users.submit(bytes, reply(y));
                                }
                            }),
                            (y, e) -> empty(y, 400));
            return;
        }
        if (path.startsWith("/work/")) {
            String id = path.substring(6);
            if (id.endsWith("/abort")) {
                String job = id.substring(0, id.length() - 6);
                if (!method.equals(Methods.POST)) {
                    empty(x, 405);
                } else {
                    x.getRequestReceiver()
                            .receiveFullBytes(
                                    (y, bytes) ->
                                            y.dispatch(SameThreadExecutor.INSTANCE, () -> users.abort(job, reply(y))),
                                    (y, e) -> empty(y, 400));
                }
                return;
            }
            if (id.indexOf('/') < 0) {
                if (!method.equals(Methods.GET)) {
                    empty(x, 405);
                } else {
                    x.dispatch(SameThreadExecutor.INSTANCE, () -> users.poll(id, reply(x)));
                }
                return;
            }
        }
        empty(x, 404);
    }

    private Users.Reply reply(HttpServerExchange x) {
        return (status, body) -> {
            if (status == 429) {
                node.metrics().overBudget();
            } else if (status == 503) {
                node.metrics().unserved();
            }
            if (body == null) {
                empty(x, status);
            } else {
                answer(x, status, body);
            }
        };
    }

    private static void empty(HttpServerExchange x, int status) {
        x.setStatusCode(status);
        if (status == 429 || status == 503) {
            x.getResponseHeaders().put(RETRY_AFTER, Constants.RETRY_AFTER_S);
        }
        x.endExchange();
    }

    private static void answer(HttpServerExchange x, int status, Map<String, Object> body) {
        x.setStatusCode(status);
        if (status == 429 || status == 503) {
            x.getResponseHeaders().put(RETRY_AFTER, Constants.RETRY_AFTER_S);
        }
        x.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/cbor");
        x.getResponseSender().send(ByteBuffer.wrap(Cbor.write(body)));
    }

    // ---- workers ----------------------------------------------------------------------------------------------

    private void handleReport(HttpServerExchange x, byte[] bytes) {
        Report r;
        try {
            r = AgentCodec.report(Cbor.readMap(bytes));
        } catch (IOException e) {
            r = null;
        }
        if (r == null) {
            empty(x, 400);
            return;
        }
        Controller.ReportAnswer b = node.handleReport(r);
        if (b instanceof Controller.ReportAnswer.Orders o) {
            answer(x, 200, AgentCodec.answer(o.token(), o.orders()));
        } else if (b instanceof Controller.ReportAnswer.Elsewhere e) {
            answer(x, 421, e.leader() == null ? Map.of() : Map.of("foreman", e.leader()));
        } else {
            empty(x, 503);
        }
    }
}
