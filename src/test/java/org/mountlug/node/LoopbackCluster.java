package org.mountlug.node;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.undertow.util.HttpString;
import java.io.IOException;
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
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.mountlug.core.model.Command;
import org.mountlug.core.model.Report;
import org.mountlug.settings.OperatorSettings;
import org.mountlug.settings.Settings;
import org.mountlug.wire.Cbor;
import org.mountlug.wire.Fields;
import org.mountlug.wire.PooledHttpClient;

/**
 * Real controllers over loopback sockets against the stand-ins of a simulated cluster, whose clock follows the real one: the
 * state service, the cloud and the workers answer HTTP, and the workers check the rules as they do in memory.
 */
final class LoopbackCluster implements AutoCloseable {
    private static final int STEP_MS = 20;
    private static final double STANDIN_WAIT_S = 15;
    private static final Duration REPORT_TIMEOUT = Duration.ofSeconds(4);

    /** All of it is touched under its own monitor only. */
    final SimulatedCluster simulation;

    private final SimulatedCluster.ControllerProcess user;
    private final List<HttpServer> servers = new ArrayList<>();
    private final List<ControllerServer> daemons = new ArrayList<>();
    private final List<String> controllers = new ArrayList<>();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Path directory = Files.createTempDirectory("loopback");
    private volatile boolean closed;
    /** The longest time between two turns of the clock: what a busy machine may have delayed anything by. */
    private volatile double longestClockStepS;

    LoopbackCluster(SimulatedCluster simulation, OperatorSettings operators, int count)
            throws IOException, Settings.InvalidSettingException {
        this.simulation = simulation;
        user = simulation.new ControllerProcess("user", 0, List.of());
        simulation.reportSender = this::report;
        String state = serve(call -> simulation
                .stateService
                .connectionFrom(null, () -> FakeStateService.Link.HEALTHY)
                .call(call.method, call.path, call.body, call.waitMs(), call.then));
        String cloud =
                serve(call -> simulation.cloud.call(call.method, call.path, call.body, call.waitMs(), call.then));
        int[] ports = freePorts(2 * count);
        for (int i = 0; i < count; i++) {
            Settings settings = Settings.load(settingsFile(i, count, ports, state, cloud), operators);
            ControllerServer daemon = new ControllerServer(settings, operators, List.of());
            daemon.start();
            daemons.add(daemon);
            controllers.add(settings.listenAddress());
        }
        threads.execute(this::followClock);
    }

    // ---- the clock ----------------------------------------------------------------------------------------------

    private void followClock() {
        long last = System.nanoTime();
        while (!closed) {
            long now = System.nanoTime();
            double turnS = (now - last) / 1e9;
            longestClockStepS = Math.max(longestClockStepS, turnS);
            synchronized (simulation) {
                simulation.runFor(turnS);
            }
            last = now;
            pause(STEP_MS);
        }
    }

    double longestClockStepS() {
        return longestClockStepS;
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until a condition holds, looked at under the world's monitor; false if it never does. */
    boolean waitUntil(double timeoutS, java.util.function.BooleanSupplier condition) {
        long end = System.nanoTime() + (long) (timeoutS * 1e9);
        while (System.nanoTime() < end) {
            synchronized (simulation) {
                if (condition.getAsBoolean()) {
                    return true;
                }
            }
            pause(5 * STEP_MS);
        }
        return false;
    }

    // ---- servers ------------------------------------------------------------------------------------------------

    /** A request to a stand-in, to be answered at any later time. */
    private record Call(
            HttpString method, String path, Map<String, Object> body, Consumer<PooledHttpClient.Response> then) {
        int waitMs() {
            Matcher block = Pattern.compile("blockMs=(\\d+)").matcher(path);
            return block.find() ? Integer.parseInt(block.group(1)) : 1000;
        }
    }

    private String serve(Consumer<Call> standIn) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
        server.setExecutor(threads);
        server.createContext("/", exchange -> answer(exchange, standIn));
        server.start();
        servers.add(server);
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private void answer(HttpExchange exchange, Consumer<Call> standIn) throws IOException {
        byte[] raw = exchange.getRequestBody().readAllBytes();
        CompletableFuture<PooledHttpClient.Response> answered = new CompletableFuture<>();
        Map<String, Object> body = raw.length == 0 ? Map.of() : Cbor.readMap(raw);
        synchronized (simulation) {
            standIn.accept(new Call(
                    new HttpString(exchange.getRequestMethod()),
                    exchange.getRequestURI().toString(),
                    body,
                    answered::complete));
        }
        try {
            PooledHttpClient.Response answer = answered.get((long) STANDIN_WAIT_S, TimeUnit.SECONDS);
            byte[] out = Cbor.write(answer.body());
            exchange.sendResponseHeaders(answer.status(), out.length);
            exchange.getResponseBody().write(out);
        } catch (TimeoutException | ExecutionException e) {
            // Whoever asked has given up: silence is the answer.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    private static int[] freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            sockets.add(new ServerSocket(0));
            ports[i] = sockets.get(i).getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    private Path settingsFile(int index, int count, int[] ports, String state, String cloud) throws IOException {
        StringBuilder text = new StringBuilder();
        text.append("label = \"c-%d\"\nzone = \"b\"\n".formatted(index));
        text.append("listen = \"127.0.0.1:%d\"\n".formatted(ports[2 * index]));
        text.append("cluster_listen = \"127.0.0.1:%d\"\n".formatted(ports[2 * index + 1]));
        for (int other = 0; other < count; other++) {
            if (other != index) {
                text.append("[[others]]\nlabel = \"c-%d\"\nzone = \"b\"\nendpoint = \"127.0.0.1:%d\"\n"
                        .formatted(other, ports[2 * other + 1]));
            }
        }
        text.append("[endpoints]\ncloud = \"%s\"\nstate = \"%s\"\n".formatted(cloud, state));
        text.append("""
                [cluster]
                skew_ms = 25.0
                [[cluster.teams]]
                name = "t"
                [[cluster.teams]]
                name = "u"
                [cluster.workers]
                report_s = 2.0
                lease_s = %s
                gang_wait_s = 50.0
                gang_peer_s = 6.0
                cancel_s = 30.0
                [cluster.state]
                rps = 200.0
                write_rps = 25.0
                value_kb = 8.0
                txn_ops = 8
                [cluster.cloud]
                rps = 4.0
                list_lag_s = 1.0
                """.formatted(simulation.workerLeaseS));
        Path file = directory.resolve("c-" + index + ".toml");
        Files.writeString(file, text);
        return file;
    }

    // ---- workers ------------------------------------------------------------------------------------------------

    /** Opens the address at which the worker takes orders; one that is cut off never answers. */
    void openCommandEndpoint(SimulatedCluster.Worker worker) throws IOException {
        worker.address = serve(call -> {
            if (!worker.inIsolatedZone) {
                worker.handleCommands(call.body, call.then);
            }
        });
    }

    /** Sends a worker's report, as the worker's clock says. */
    private void report(SimulatedCluster.Worker worker) {
        if (worker.inIsolatedZone) {
            tryNext(worker, 2);
            return;
        }
        Report report = worker.createReport();
        double sentAt = simulation.nowS;
        HttpRequest request = request(
                controllers.get(worker.controllerIndex), "/agent/beat", Cbor.write(worker.reportMessage(report)));
        client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray()).whenComplete((answer, failure) -> {
            synchronized (simulation) {
                reported(worker, report, sentAt, failure == null ? answer : null);
            }
        });
    }

    private void reported(SimulatedCluster.Worker worker, Report report, double sentAt, HttpResponse<byte[]> answer) {
        if (worker.terminated || closed) {
            return;
        }
        if (answer == null || worker.inIsolatedZone) {
            tryNext(worker, 1);
            return;
        }
        Map<String, Object> body = readMap(answer.body());
        if (answer.statusCode() == 200) {
            List<Command> orders = new ArrayList<>();
            for (Object element : Fields.getList(body, "orders")) {
                orders.add(order(Fields.asMap(element)));
            }
            worker.handleReportResponse(
                    new Controller.ReportResponse.Commands(Fields.getLong(body, "baton", 0), orders),
                    sentAt,
                    report.session());
            return;
        }
        String foreman = Fields.getString(body, "foreman");
        if (answer.statusCode() == 421 && foreman != null) {
            worker.controllerIndex = Integer.parseInt(foreman.substring(2));
            simulation.schedule(0.2, worker::sendReport);
        } else {
            tryNext(worker, 1);
        }
    }

    private void tryNext(SimulatedCluster.Worker worker, double afterS) {
        worker.controllerIndex = (worker.controllerIndex + 1) % controllers.size();
        simulation.schedule(afterS, worker::sendReport);
    }

    private static Command order(Map<String, Object> order) {
        Command.Verb verb =
                switch (Fields.getString(order, "verb", "")) {
                    case "start" -> Command.Verb.START;
                    case "kill" -> Command.Verb.STOP;
                    default -> Command.Verb.FORGET;
                };
        return new Command(
                verb,
                Fields.getString(order, "piece"),
                Fields.getLong(order, "try", 0),
                Fields.getDouble(order, "leewayS", 0));
    }

    // ---- users --------------------------------------------------------------------------------------------------

    private static HttpRequest request(String to, String path, byte[] body) {
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(URI.create("http://" + to + path)).timeout(REPORT_TIMEOUT);
        return (body == null ? builder.GET() : builder.POST(HttpRequest.BodyPublishers.ofByteArray(body))).build();
    }

    private static Map<String, Object> readMap(byte[] raw) {
        try {
            return raw.length == 0 ? Map.of() : Cbor.readMap(raw);
        } catch (IOException e) {
            return Map.of();
        }
    }

    /** Submits a job at any controller until one accepts it. */
    boolean submitUntilAccepted(String id, int tasks, Map<String, Object> extraFields) {
        byte[] body;
        synchronized (simulation) {
            body = user.buildSubmission(id, tasks, false, extraFields);
        }
        for (int attempt = 0; attempt < 30; attempt++) {
            int status = ask(attempt, "submission", id, "/work", body);
            if (status == 201 || status == 200) {
                return true;
            }
            pause(500);
        }
        return false;
    }

    /** Submits a job at one controller, once, and returns the status code; 0 if there was no answer. */
    int submitOnce(int controller, String id, Map<String, Object> extraFields) {
        byte[] body;
        synchronized (simulation) {
            body = user.buildSubmission(id, 1, false, extraFields);
        }
        return ask(controller, "submission", id, "/work", body);
    }

    /** Asks a controller about a job; what it says is held against all that was said before. */
    int poll(int controller, String id) {
        return ask(controller, "poll", id, "/work/" + id, null);
    }

    private int ask(int controller, String question, String id, String path, byte[] body) {
        double askedAt;
        synchronized (simulation) {
            askedAt = simulation.nowS;
        }
        try {
            HttpResponse<byte[]> answer = client.send(
                    request(controllers.get(controller % controllers.size()), path, body),
                    HttpResponse.BodyHandlers.ofByteArray());
            synchronized (simulation) {
                simulation.checkResponse(id, askedAt, question, answer.statusCode(), readMap(answer.body()));
            }
            return answer.statusCode();
        } catch (IOException e) {
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    /** A zone's meter as the leading controller shows it; NaN while none does. */
    double zoneMetric(String name, String zone) {
        Pattern line = Pattern.compile(name + "\\{zone=\"" + zone + "\"\\} (\\S+)");
        for (String controller : controllers) {
            try {
                String text = client.send(request(controller, "/metrics", null), HttpResponse.BodyHandlers.ofString())
                        .body();
                Matcher found = line.matcher(text);
                if (text.contains("mountlug_leading 1.0") && found.find()) {
                    return Double.parseDouble(found.group(1));
                }
            } catch (IOException e) {
                // asked again
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        return Double.NaN;
    }

    @Override
    public void close() throws IOException {
        closed = true;
        daemons.forEach(ControllerServer::stop);
        servers.forEach(server -> server.stop(0));
        threads.shutdownNow();
        try (var files = Files.list(directory)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(directory);
    }
}
