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
import java.util.function.Consumer;
import org.mountlug.Constants;
import org.mountlug.agent.WorkerCodec;
import org.mountlug.core.model.Report;
import org.mountlug.node.Controller;
import org.mountlug.wire.Cbor;

/** What users, the load balancer and workers reach on {@code listen}: paths, methods and bodies. */
public final class HttpApi implements HttpHandler {
    private static final String JOB_PREFIX = "/work/";
    private static final String ABORT_SUFFIX = "/abort";

    private final Controller node;
    private final UserRequestHandler users;

    /** Serves users and workers of this controller. */
    public HttpApi(Controller node, UserRequestHandler users) {
        this.node = node;
        this.users = users;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        switch (path) {
            case "/up" -> handleIf(Methods.GET, exchange, () -> sendEmpty(exchange, node.isHealthy() ? 200 : 503));
            case "/metrics" -> handleIf(Methods.GET, exchange, () -> sendMetrics(exchange));
            case "/work" ->
                handleIf(
                        Methods.POST,
                        exchange,
                        () -> receive(exchange, body -> users.submit(body, answer -> send(exchange, answer))));
            case "/agent/beat" ->
                handleIf(Methods.POST, exchange, () -> receive(exchange, body -> handleReport(exchange, body)));
            default -> handleJob(exchange, path);
        }
    }

    private static void handleIf(HttpString method, HttpServerExchange exchange, Runnable handler) {
        if (exchange.getRequestMethod().equals(method)) {
            handler.run();
        } else {
            sendEmpty(exchange, 405);
        }
    }

    private void handleJob(HttpServerExchange exchange, String path) {
        String job = path.startsWith(JOB_PREFIX) ? path.substring(JOB_PREFIX.length()) : "";
        if (job.endsWith(ABORT_SUFFIX)) {
            String jobId = job.substring(0, job.length() - ABORT_SUFFIX.length());
            handleIf(
                    Methods.POST,
                    exchange,
                    () -> receiveAnyLength(exchange, body -> users.cancel(jobId, answer -> send(exchange, answer))));
        } else if (path.startsWith(JOB_PREFIX) && job.indexOf('/') < 0) {
            handleIf(
                    Methods.GET,
                    exchange,
                    () -> exchange.dispatch(
                            SameThreadExecutor.INSTANCE, () -> users.poll(job, answer -> send(exchange, answer))));
        } else {
            sendEmpty(exchange, 404);
        }
    }

    /** Reads the body and hands it on; one over the limit is refused unread. */
    private static void receive(HttpServerExchange exchange, Consumer<byte[]> handler) {
        if (exchange.getRequestContentLength() > Constants.MAX_BODY_BYTES) {
            exchange.setPersistent(false);
            sendBody(exchange, 400, Map.of("error", "body over 64 KiB"));
            return;
        }
        receiveAnyLength(exchange, handler);
    }

    private static void receiveAnyLength(HttpServerExchange exchange, Consumer<byte[]> handler) {
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (received, body) -> received.dispatch(SameThreadExecutor.INSTANCE, () -> handler.accept(body)),
                        (received, error) -> sendEmpty(received, 400));
    }

    private void send(HttpServerExchange exchange, UserResponse answer) {
        int status = UserResponseCodec.status(answer);
        if (answer instanceof UserResponse.RateLimited) {
            node.metrics().countRateLimitedRequest();
        } else if (status == 503) {
            node.metrics().countUnservedRequest();
        }
        int retryAfterS = UserResponseCodec.retryAfterS(answer);
        if (retryAfterS > 0) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, retryAfterS);
        }
        Map<String, Object> body = UserResponseCodec.body(answer);
        if (body.isEmpty()) {
            sendEmpty(exchange, status);
        } else {
            sendBody(exchange, status, body);
        }
    }

    private void sendMetrics(HttpServerExchange exchange) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; version=0.0.4");
        exchange.getResponseSender().send(node.metrics().scrape());
    }

    private static void sendEmpty(HttpServerExchange exchange, int status) {
        exchange.setStatusCode(status);
        if (status == 503 && !exchange.getResponseHeaders().contains(Headers.RETRY_AFTER)) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, Constants.RETRY_AFTER_S);
        }
        exchange.endExchange();
    }

    private static void sendBody(HttpServerExchange exchange, int status, Map<String, Object> body) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/cbor");
        exchange.getResponseSender().send(ByteBuffer.wrap(Cbor.write(body)));
    }

    // ---- workers ----------------------------------------------------------------------------------------------

    private void handleReport(HttpServerExchange exchange, byte[] body) {
        Report report = readReport(body);
        if (report == null) {
            sendEmpty(exchange, 400);
            return;
        }
        Controller.ReportResponse answer = node.handleReport(report);
        if (answer instanceof Controller.ReportResponse.Commands orders) {
            sendBody(exchange, 200, WorkerCodec.writeReportResponse(orders.token(), orders.commands()));
        } else if (answer instanceof Controller.ReportResponse.NotLeader elsewhere) {
            sendBody(exchange, 421, elsewhere.leader() == null ? Map.of() : Map.of("foreman", elsewhere.leader()));
        } else {
            sendEmpty(exchange, 503);
        }
    }

    /** The report, or null if nobody can read it. */
    private static Report readReport(byte[] body) {
        try {
            return WorkerCodec.readReport(Cbor.readMap(body));
        } catch (IOException e) {
            return null;
        }
    }
}
