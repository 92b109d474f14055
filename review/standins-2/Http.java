import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URLDecoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import org.mountlug.wire.Cbor;

/** HTTP with CBOR bodies over loopback, for the stand-ins. */
final class Http {
    private static final HttpClient CLIENT = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();

    /** An answer; status 0 stands for none. */
    record Answer(int status, Map<String, Object> body) {}

    /** A request as a stand-in sees it. */
    record Call(String method, String path, Map<String, String> query, Map<String, Object> body) {}

    interface Handler {
        Answer handle(Call call) throws Exception;
    }

    private Http() {}

    static HttpServer serve(Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 512);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", exchange -> respond(exchange, handler));
        server.start();
        return server;
    }

    static String address(HttpServer server) {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private static void respond(HttpExchange exchange, Handler handler) throws IOException {
        try (exchange) {
            byte[] body = exchange.getRequestBody().readAllBytes();
            Map<String, String> query = new HashMap<>();
            String rawQuery = exchange.getRequestURI().getRawQuery();
            if (rawQuery != null) {
                for (String pair : rawQuery.split("&")) {
                    int equals = pair.indexOf('=');
                    query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
                }
            }
            Answer answer;
            try {
                answer = handler.handle(new Call(
                        exchange.getRequestMethod(),
                        exchange.getRequestURI().getPath(),
                        query,
                        body.length == 0 ? Map.of() : Cbor.readMap(body)));
            } catch (Exception e) {
                answer = new Answer(400, Map.of("error", String.valueOf(e)));
            }
            if (answer == null) {
                return; // no answer: the connection is closed
            }
            byte[] bytes = Cbor.write(answer.body());
            exchange.sendResponseHeaders(answer.status(), bytes.length);
            exchange.getResponseBody().write(bytes);
        }
    }

    static Answer call(String method, String address, String path, Map<String, Object> body, double timeoutS) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofMillis((long) (timeoutS * 1000)));
        request.method(
                method,
                body == null
                        ? HttpRequest.BodyPublishers.noBody()
                        : HttpRequest.BodyPublishers.ofByteArray(Cbor.write(body)));
        try {
            HttpResponse<byte[]> response = CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
            Map<String, Object> answer = Map.of();
            if (response.body().length > 0) {
                try {
                    answer = Cbor.readMap(response.body());
                } catch (IOException e) {
                    answer = Map.of();
                }
            }
            return new Answer(response.statusCode(), answer);
        } catch (IOException e) {
            return new Answer(0, Map.of());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Answer(0, Map.of());
        }
    }

    static long number(Map<String, Object> map, String key, long ifMissing) {
        return map.get(key) instanceof Number number ? number.longValue() : ifMissing;
    }

    static double decimal(Map<String, Object> map, String key) {
        return map.get(key) instanceof Number number ? number.doubleValue() : 0;
    }

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> maps(Object value) {
        return value instanceof List ? (List<Map<String, Object>>) value : List.of();
    }
}
