import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.mountlug.wire.Cbor;

/**
 * What all stand-ins of one run share: the clock, the record, threads, and HTTP/1.1 with CBOR bodies on loopback addresses.
 * Every stand-in changes its state only while it holds the lock of this object.
 */
final class World implements AutoCloseable {
    /** An answer; status 0 stands for none. */
    record Answer(int status, Map<String, Object> body) {
        boolean is(int expected) {
            return status == expected;
        }

        String text(String field) {
            return body.get(field) instanceof String text ? text : null;
        }

        long number(String field, long otherwise) {
            return body.get(field) instanceof Number number ? number.longValue() : otherwise;
        }
    }

    /** A request to a server of a stand-in. */
    record Request(String method, String path, Map<String, String> query, Map<String, Object> body) {}

    interface Handler {
        /** Returns the answer, or null if there is none. */
        CompletableFuture<Answer> handle(Request request);
    }

    final long startedNs = System.nanoTime();
    final ScheduledExecutorService timer = Executors.newScheduledThreadPool(4, World::daemon);
    private final ExecutorService threads = Executors.newCachedThreadPool(World::daemon);
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(1000))
            .executor(threads)
            .build();
    private final List<HttpServer> servers = new ArrayList<>();
    private final PrintWriter record;
    final Path directory = Files.createTempDirectory("mountlug-review");
    volatile boolean closed;

    World(Path recordFile) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    /** Returns the seconds since the start of the run. */
    double nowS() {
        return (System.nanoTime() - startedNs) / 1e9;
    }

    /** Writes a line to the record. */
    void note(String format, Object... arguments) {
        String line = String.format("%8.3f  ", nowS()) + String.format(format, arguments);
        synchronized (record) {
            record.println(line);
        }
    }

    void after(double seconds, Runnable task) {
        timer.schedule(
                () -> {
                    if (closed) {
                        return;
                    }
                    try {
                        task.run();
                    } catch (RuntimeException e) {
                        note("a stand-in failed: %s", e);
                        e.printStackTrace();
                    }
                },
                (long) (Math.max(0, seconds) * 1e6),
                TimeUnit.MICROSECONDS);
    }

    static void sleep(double seconds) {
        try {
            Thread.sleep((long) (Math.max(0, seconds) * 1000));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Map<String, Object> map(Object... namesAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            map.put((String) namesAndValues[i], namesAndValues[i + 1]);
        }
        return map;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> asMap(Object value) {
        return value instanceof Map ? (Map<String, Object>) value : Map.of();
    }

    @SuppressWarnings("unchecked")
    static List<Object> asList(Object value) {
        return value instanceof List ? (List<Object>) value : List.of();
    }

    /** Returns free ports below those that the system gives to outgoing connections. */
    static int[] freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        int[] ports = new int[count];
        for (int tries = 0; sockets.size() < count; tries++) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
            try {
                sockets.add(new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
                ports[sockets.size() - 1] = port;
            } catch (IOException e) {
                if (tries > 1000) {
                    throw e;
                }
            }
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    /** Starts a server on a free port and returns its address. */
    String serve(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 128);
        server.setExecutor(threads);
        server.createContext("/", exchange -> serve(exchange, handler));
        server.start();
        synchronized (servers) {
            servers.add(server);
        }
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private void serve(HttpExchange exchange, Handler handler) throws IOException {
        byte[] bytes = exchange.getRequestBody().readAllBytes();
        Map<String, Object> body = bytes.length == 0 ? Map.of() : Cbor.readMap(bytes);
        Map<String, String> query = new LinkedHashMap<>();
        String rawQuery = exchange.getRequestURI().getRawQuery();
        if (rawQuery != null) {
            for (String part : rawQuery.split("&")) {
                int equals = part.indexOf('=');
                query.put(part.substring(0, equals), part.substring(equals + 1));
            }
        }
        Request request =
                new Request(exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, body);
        try {
            CompletableFuture<Answer> future = handler.handle(request);
            Answer answer = future == null ? null : future.get(70, TimeUnit.SECONDS);
            if (answer != null && answer.status() != 0) {
                byte[] answerBytes = Cbor.write(answer.body());
                exchange.getResponseHeaders().set("Content-Type", "application/cbor");
                exchange.sendResponseHeaders(answer.status(), answerBytes.length);
                exchange.getResponseBody().write(answerBytes);
            }
        } catch (Exception e) {
            if (!closed) {
                note("a stand-in's server failed: %s %s: %s", request.method(), request.path(), e);
            }
        } finally {
            exchange.close();
        }
    }

    /** Sends a request; the future always completes, with status 0 if no answer came within the time. */
    CompletableFuture<Answer> call(String address, String method, String path, Map<String, Object> body, double limitS) {
        HttpRequest.BodyPublisher publisher = body == null
                ? HttpRequest.BodyPublishers.noBody()
                : HttpRequest.BodyPublishers.ofByteArray(Cbor.write(body));
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofMillis((long) (limitS * 1000)))
                .method(method, publisher)
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray()).handle((response, failure) -> {
            if (failure != null) {
                return new Answer(0, Map.of());
            }
            try {
                return new Answer(
                        response.statusCode(), response.body().length == 0 ? Map.of() : Cbor.readMap(response.body()));
            } catch (IOException | RuntimeException e) {
                return new Answer(response.statusCode(), Map.of());
            }
        });
    }

    @Override
    public void close() throws IOException {
        closed = true;
        timer.shutdownNow();
        for (HttpServer server : servers) {
            server.stop(0);
        }
        threads.shutdownNow();
        record.close();
        try (var files = Files.walk(directory)) {
            for (Path file : files.sorted((a, b) -> b.compareTo(a)).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
