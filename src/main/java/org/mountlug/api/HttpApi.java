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

/**
 * Routes the HTTP requests that users, the load balancer and workers send to the {@code listen} address, and writes the
 * responses.
 */
public final class HttpApi implements HttpHandler {
    private static final String JOB_PREFIX = "/work/";
    private static final String CANCEL_SUFFIX = "/abort";

    private final Controller controller;
    private final UserRequestHandler userRequests;

    /** Creates the handler of all HTTP requests to this controller. */
    public HttpApi(Controller controller, UserRequestHandler userRequests) {
        this.controller = controller;
        this.userRequests = userRequests;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        switch (path) {
            case "/up" ->
                handleIf(Methods.GET, exchange, () -> sendEmpty(exchange, controller.isHealthy() ? 200 : 503));
            case "/metrics" -> handleIf(Methods.GET, exchange, () -> sendMetrics(exchange));
            case "/work" ->
                handleIf(
                        Methods.POST,
                        exchange,
                        () -> receiveBody(
                                exchange, body -> userRequests.submit(body, response -> send(exchange, response))));
            case "/agent/beat" ->
                handleIf(Methods.POST, exchange, () -> receiveBody(exchange, body -> handleReport(exchange, body)));
            default -> handleJobRequest(exchange, path);
        }
    }

    private static void handleIf(HttpString method, HttpServerExchange exchange, Runnable handler) {
        if (exchange.getRequestMethod().equals(method)) {
            handler.run();
        } else {
            sendEmpty(exchange, 405);
        }
    }

    private void handleJobRequest(HttpServerExchange exchange, String path) {
        String jobPath = path.startsWith(JOB_PREFIX) ? path.substring(JOB_PREFIX.length()) : "";
        if (jobPath.endsWith(CANCEL_SUFFIX)) {
            String jobId = jobPath.substring(0, jobPath.length() - CANCEL_SUFFIX.length());
            handleIf(
                    Methods.POST,
                    exchange,
                    () -> receiveBodyOfAnyLength(
                            exchange, body -> userRequests.cancel(jobId, response -> send(exchange, response))));
        } else if (path.startsWith(JOB_PREFIX) && jobPath.indexOf('/') < 0) {
            handleIf(
                    Methods.GET,
                    exchange,
                    () -> exchange.dispatch(
                            SameThreadExecutor.INSTANCE,
                            () -> userRequests.poll(jobPath, response -> send(exchange, response))));
        } else {
            sendEmpty(exchange, 404);
        }
    }

    /** Reads the body and passes it to the handler; a body whose declared length exceeds the limit is rejected unread. */
    private static void receiveBody(HttpServerExchange exchange, Consumer<byte[]> handler) {
        if (exchange.getRequestContentLength() > Constants.MAX_BODY_BYTES) {
            exchange.setPersistent(false);
            sendBody(exchange, 400, Map.of("error", "body over 64 KiB"));
            return;
        }
        receiveBodyOfAnyLength(exchange, handler);
    }

    private static void receiveBodyOfAnyLength(HttpServerExchange exchange, Consumer<byte[]> handler) {
        exchange.getRequestReceiver()
                .receiveFullBytes(
                        (received, body) -> received.dispatch(SameThreadExecutor.INSTANCE, () -> handler.accept(body)),
                        (received, error) -> sendEmpty(received, 400));
    }

    private void send(HttpServerExchange exchange, UserResponse response) {
        int status = UserResponseCodec.status(response);
        if (response instanceof UserResponse.RateLimited) {
            controller.metrics().countRateLimitedRequest();
        } else if (status == 503) {
            controller.metrics().countUnavailableResponse();
        }
        int retryAfterS = UserResponseCodec.retryAfterS(response);
        if (retryAfterS > 0) {
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, retryAfterS);
        }
        Map<String, Object> body = UserResponseCodec.body(response);
        if (body.isEmpty()) {
            sendEmpty(exchange, status);
        } else {
            sendBody(exchange, status, body);
        }
    }

    private void sendMetrics(HttpServerExchange exchange) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; version=0.0.4");
        exchange.getResponseSender().send(controller.metrics().scrape());
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
        Controller.ReportResponse response = controller.handleReport(report);
        if (response instanceof Controller.ReportResponse.Commands commands) {
            sendBody(exchange, 200, WorkerCodec.writeReportResponse(commands.token(), commands.commands()));
        } else if (response instanceof Controller.ReportResponse.NotLeader notLeader) {
            sendBody(exchange, 421, notLeader.leader() == null ? Map.of() : Map.of("foreman", notLeader.leader()));
        } else {
            sendEmpty(exchange, 503);
        }
    }

    /** Returns the decoded report, or null if the body is not a valid report. */
    private static Report readReport(byte[] body) {
        try {
            return WorkerCodec.readReport(Cbor.readMap(body));
        } catch (IOException e) {
            return null;
        }
    }
}
