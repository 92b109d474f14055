package org.mountlug.cli;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.mountlug.store.StateKeys;
import org.mountlug.store.VersionCodec;
import org.mountlug.wire.Cbor;
import org.mountlug.wire.Fields;

/**
 * In-memory fakes of the state service, the cloud and a peer on the loopback interface, with only what the CDS training run
 * needs of them; also the calls that users and a worker make in that run.
 */
final class FakeServices implements AutoCloseable {
    private record Row(Object value, long revision) {}

    private final HttpServer stateServer;
    private final HttpServer cloudServer;
    private final FakePeer peer;
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final TreeMap<String, Row> rows = new TreeMap<>();
    private long epoch = 1;

    FakeServices(int statePort, int cloudPort, int peerPort) throws IOException {
        peer = new FakePeer(peerPort);
        stateServer = createServer(statePort);
        cloudServer = createServer(cloudPort);
        stateServer.createContext("/kv", this::handleRead);
        stateServer.createContext("/multi", this::handleTransaction);
        stateServer.createContext("/holds", exchange -> respond(exchange, 200, Map.of("hold", 7)));
        stateServer.createContext("/watch", this::handleWatch);
        cloudServer.createContext(
                "/flavors",
                exchange -> respond(
                        exchange,
                        200,
                        Map.of(
                                "builds",
                                List.of(Map.of(
                                        "name",
                                        "m",
                                        "vcpus",
                                        8.0,
                                        "cards",
                                        0.0,
                                        "ramGb",
                                        32.0,
                                        "bootS",
                                        10.0,
                                        "sites",
                                        List.of("z"))))));
        cloudServer.createContext(
                "/hosts", exchange -> respond(exchange, 200, Map.of("rigs", List.of(), "hasNext", false)));
        stateServer.start();
        cloudServer.start();
    }

    /** Stores, for each of these controllers, the announcement that it reads the record layout of this version. */
    synchronized void announceVersions(String... labels) {
        for (String label : labels) {
            rows.put(StateKeys.VERSIONS + label, new Row(VersionCodec.announcement(), ++epoch));
        }
    }

    private HttpServer createServer(int port) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 16);
        server.setExecutor(executor);
        return server;
    }

    private static void respond(HttpExchange exchange, int status, Object body) throws IOException {
        exchange.getRequestBody().readAllBytes();
        byte[] bytes = Cbor.write(body);
        exchange.sendResponseHeaders(status, bytes.length);
        try (OutputStream output = exchange.getResponseBody()) {
            output.write(bytes);
        }
    }

    private synchronized void handleRead(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getPath();
        if (path.equals("/kv")) {
            String prefix = exchange.getRequestURI().getQuery().replaceAll(".*prefix=([^&]*).*", "$1");
            List<Object> matchingRows = new ArrayList<>();
            rows.forEach((key, row) -> {
                if (key.startsWith(prefix)) {
                    matchingRows.add(Map.of("k", key, "v", row.value, "stamp", row.revision));
                }
            });
            respond(exchange, 200, Map.of("rows", matchingRows, "hasNext", false, "epoch", epoch));
            return;
        }
        Row row = rows.get(path.substring(4));
        if (row == null) {
            respond(exchange, 404, Map.of("epoch", epoch));
        } else {
            respond(exchange, 200, Map.of("k", path.substring(4), "v", row.value, "stamp", row.revision));
        }
    }

    private synchronized void handleTransaction(HttpExchange exchange) throws IOException {
        Map<String, Object> transaction = Cbor.readMap(exchange.getRequestBody().readAllBytes());
        List<Object> failedKeys = new ArrayList<>();
        for (Object element : Fields.getList(transaction, "guards")) {
            Map<String, Object> guard = Fields.asMap(element);
            Row row = rows.get(Fields.getString(guard, "k"));
            if ((row == null ? 0 : row.revision) != Fields.getLong(guard, "stamp", 0)) {
                failedKeys.add(guard.get("k"));
            }
        }
        if (!failedKeys.isEmpty()) {
            respond(exchange, 409, Map.of("failed", failedKeys, "epoch", epoch));
            return;
        }
        epoch++;
        for (Object element : Fields.getList(transaction, "writes")) {
            Map<String, Object> write = Fields.asMap(element);
            if (write.containsKey("put")) {
                rows.put(Fields.getString(write, "put"), new Row(write.get("v"), epoch));
            } else {
                rows.remove(Fields.getString(write, "delete"));
            }
        }
        respond(exchange, 200, Map.of("epoch", epoch));
    }

    private void handleWatch(HttpExchange exchange) throws IOException {
        try {
            Thread.sleep(200);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        List<Object> changes = new ArrayList<>();
        long currentEpoch;
        synchronized (this) {
            currentEpoch = epoch;
            rows.forEach((key, row) -> {
                if (key.startsWith("j/")) {
                    changes.add(Map.of("put", key, "v", row.value, "stamp", row.revision));
                }
            });
        }
        respond(exchange, 200, Map.of("epoch", currentEpoch, "news", changes));
    }

    /**
     * Takes a controller through its ordinary work: health checks, submissions and polls, a worker that reports and runs the
     * tasks, a cancellation, and a read of the metrics.
     *
     * @param port the controller's port for users and workers
     */
    void exercise(int port) throws IOException, InterruptedException {
        for (int i = 0; i < 40; i++) {
            if (call(port, "GET", "/up", null) == 200) {
                break;
            }
            Thread.sleep(100);
        }
        Thread.sleep(1200);
        long session = 1;
        for (int n = 0; n < 6; n++) {
            Map<String, Object> job = new LinkedHashMap<>();
            job.put("nameId", "wk-00000" + n);
            job.put("lane", "l");
            job.put("crew", "t");
            job.put("shape", n % 2 == 0 ? "array" : "group");
            job.put("urgency", n % 2 == 0 ? "high" : "standard");
            job.put("pieces", 3);
            for (String field : List.of("vcpus", "ramGb", "expectedS", "imageGb")) {
                job.put(field, 1.0);
            }
            for (String field : List.of("cards", "bookmarkS", "stashS")) {
                job.put(field, 0.0);
            }
            for (String field : List.of("oneZone", "apart", "loaners")) {
                job.put(field, n % 2 == 0);
            }
            job.put("bundle", "i");
            call(port, "POST", "/work", job);
            call(port, "GET", "/work/wk-00000" + n, null);
        }
        long token = 0;
        List<Object> attempts = new ArrayList<>();
        for (int tick = 1; tick < 24; tick++) {
            Map<String, Object> report = new LinkedHashMap<>();
            report.put("rig", "n-1");
            report.put("address", "127.0.0.1:1");
            report.put("build", "m");
            report.put("site", "z");
            report.put("loaners", false);
            report.put("stint", session);
            report.put("tick", tick);
            report.put("baton", token);
            report.put("pieces", attempts);
            Map<String, Object> response = sendReport(port, report);
            token = Fields.getLong(response, "baton", token);
            for (Object element : Fields.getList(response, "orders")) {
                Map<String, Object> command = Fields.asMap(element);
                Map<String, Object> attempt = new LinkedHashMap<>();
                attempt.put("piece", command.get("piece"));
                attempt.put("try", command.get("try"));
                attempt.put("status", "exited");
                attempt.put("cause", "done");
                attempts.removeIf(other -> Fields.asMap(other).get("piece").equals(command.get("piece")));
                if ("start".equals(command.get("verb"))) {
                    attempts.add(attempt);
                }
            }
            Thread.sleep(150);
        }
        call(port, "POST", "/work/wk-000005/abort", Map.of());
        call(port, "GET", "/work/wk-000000", null);
        call(port, "GET", "/metrics", null);
        Thread.sleep(300);
    }

    private static HttpURLConnection openConnection(int port, String method, String path, Object body)
            throws IOException {
        HttpURLConnection connection = (HttpURLConnection)
                URI.create("http://127.0.0.1:" + port + path).toURL().openConnection();
        connection.setRequestMethod(method);
        connection.setConnectTimeout(2000);
        connection.setReadTimeout(5000);
        if (body != null) {
            connection.setDoOutput(true);
            connection.getOutputStream().write(Cbor.write(body));
        }
        return connection;
    }

    private static int call(int port, String method, String path, Object body) throws IOException {
        HttpURLConnection connection = openConnection(port, method, path, body);
        int status = connection.getResponseCode();
        try (var input = status < 400 ? connection.getInputStream() : connection.getErrorStream()) {
            if (input != null) {
                input.readAllBytes();
            }
        }
        return status;
    }

    private static Map<String, Object> sendReport(int port, Object report) throws IOException {
        HttpURLConnection connection = openConnection(port, "POST", "/agent/beat", report);
        if (connection.getResponseCode() != 200) {
            return Map.of();
        }
        try (var input = connection.getInputStream()) {
            return Cbor.readMap(input.readAllBytes());
        }
    }

    @Override
    public void close() {
        stateServer.stop(0);
        cloudServer.stop(0);
        peer.close();
        executor.shutdownNow();
    }
}
