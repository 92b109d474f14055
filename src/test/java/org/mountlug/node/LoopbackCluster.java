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
import java.util.TreeMap;
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
 * Runs real controllers on loopback sockets against the fakes of a {@link SimulatedCluster}. The fake state service, the fake
 * cloud and the simulated workers answer over HTTP, and the simulation's clock follows real time. The workers check the same
 * rules as without sockets; see {@link SimulatedCluster#violations()}.
 */
final class LoopbackCluster implements AutoCloseable {
    private static final int CLOCK_STEP_MS = 20;
    private static final double FAKE_RESPONSE_TIMEOUT_S = 15;
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(4);

    /** Read and changed only while its own monitor is held. */
    final SimulatedCluster simulation;

    private final SimulatedCluster.ControllerProcess submissionBuilder;
    private final List<HttpServer> httpServers = new ArrayList<>();
    /** Controllers that run, by index. */
    private final Map<Integer, RunningController> runningControllers = new TreeMap<>();

    private final List<String> controllerAddresses = new ArrayList<>();
    private final List<Path> settingsFiles = new ArrayList<>();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Path directory = Files.createTempDirectory("loopback");
    private volatile boolean closed;
    /** The longest time between two steps of the simulation's clock: a busy host may delay any event by this much. */
    private volatile double longestClockStepS;

    /** Starts a controller for a settings file. */
    interface ControllerLauncher {
        RunningController start(Path settingsFile) throws IOException, Settings.InvalidSettingException;
    }

    /** A controller that a {@link ControllerLauncher} started. */
    interface RunningController {
        void stop();
    }

    /** Starts all controllers inside this process. */
    LoopbackCluster(SimulatedCluster simulation, OperatorSettings operators, int controllerCount)
            throws IOException, Settings.InvalidSettingException {
        this(simulation, controllerCount);
        for (int index = 0; index < controllerCount; index++) {
            startController(index, settingsFile -> startInProcess(settingsFile, operators));
        }
        threads.execute(this::runSimulationClock);
    }

    private LoopbackCluster(SimulatedCluster simulation, int controllerCount) throws IOException {
        this.simulation = simulation;
        submissionBuilder = simulation.new ControllerProcess("user", 0, List.of());
        simulation.reportSender = this::sendReport;
        String stateAddress = startHttpServer(request -> simulation
                .stateService
                .connectionFrom(null, () -> FakeStateService.Link.HEALTHY)
                .call(request.method, request.path, request.body, request.watchWaitMs(), request.responseHandler));
        String cloudAddress = startHttpServer(request -> simulation.cloud.call(
                request.method, request.path, request.body, request.watchWaitMs(), request.responseHandler));
        int[] ports = findFreePorts(2 * controllerCount);
        for (int index = 0; index < controllerCount; index++) {
            settingsFiles.add(writeSettingsFile(index, controllerCount, ports, stateAddress, cloudAddress));
            controllerAddresses.add("127.0.0.1:" + ports[2 * index]);
        }
    }

    /** Returns a cluster whose clock runs and whose controllers are started one by one with {@link #startController}. */
    static LoopbackCluster withoutControllers(SimulatedCluster simulation, int controllerCount) throws IOException {
        LoopbackCluster cluster = new LoopbackCluster(simulation, controllerCount);
        cluster.threads.execute(cluster::runSimulationClock);
        return cluster;
    }

    // ---- controllers --------------------------------------------------------------------------------------------

    private static RunningController startInProcess(Path settingsFile, OperatorSettings operators)
            throws IOException, Settings.InvalidSettingException {
        ControllerServer server = new ControllerServer(Settings.load(settingsFile, operators), operators, List.of());
        server.start();
        return server::stop;
    }

    /** Starts a controller that does not run, also one that was stopped before: its settings file stays the same. */
    void startController(int index, ControllerLauncher launcher) throws IOException, Settings.InvalidSettingException {
        runningControllers.put(index, launcher.start(settingsFiles.get(index)));
    }

    void stopController(int index) {
        runningControllers.remove(index).stop();
    }

    // ---- clock --------------------------------------------------------------------------------------------------

    private void runSimulationClock() {
        long lastNanos = System.nanoTime();
        while (!closed) {
            long nowNanos = System.nanoTime();
            double stepS = (nowNanos - lastNanos) / 1e9;
            longestClockStepS = Math.max(longestClockStepS, stepS);
            synchronized (simulation) {
                simulation.runFor(stepS);
            }
            lastNanos = nowNanos;
            pause(CLOCK_STEP_MS);
        }
    }

    double longestClockStepS() {
        return longestClockStepS;
    }

    private static void pause(long durationMs) {
        try {
            Thread.sleep(durationMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Waits in real time until a condition holds.
     *
     * @param condition evaluated while the simulation's monitor is held
     * @return whether the condition held before the timeout
     */
    boolean waitUntil(double timeoutS, java.util.function.BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + (long) (timeoutS * 1e9);
        while (System.nanoTime() < deadlineNanos) {
            synchronized (simulation) {
                if (condition.getAsBoolean()) {
                    return true;
                }
            }
            pause(5 * CLOCK_STEP_MS);
        }
        return false;
    }

    // ---- fake services and settings ---------------------------------------------------------------------------

    /** A request to a fake service or to a worker, which may call the response handler at any later time. */
    private record IncomingRequest(
            HttpString method,
            String path,
            Map<String, Object> body,
            Consumer<PooledHttpClient.Response> responseHandler) {
        /** Returns how long a watch may wait for changes, in milliseconds; 1000 if the path gives no value. */
        int watchWaitMs() {
            Matcher blockParameter = Pattern.compile("blockMs=(\\d+)").matcher(path);
            return blockParameter.find() ? Integer.parseInt(blockParameter.group(1)) : 1000;
        }
    }

    private String startHttpServer(Consumer<IncomingRequest> handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
        server.setExecutor(threads);
        server.createContext("/", exchange -> handleExchange(exchange, handler));
        server.start();
        httpServers.add(server);
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private void handleExchange(HttpExchange exchange, Consumer<IncomingRequest> handler) throws IOException {
        byte[] requestBytes = exchange.getRequestBody().readAllBytes();
        CompletableFuture<PooledHttpClient.Response> futureResponse = new CompletableFuture<>();
        Map<String, Object> body = requestBytes.length == 0 ? Map.of() : Cbor.readMap(requestBytes);
        synchronized (simulation) {
            handler.accept(new IncomingRequest(
                    new HttpString(exchange.getRequestMethod()),
                    exchange.getRequestURI().toString(),
                    body,
                    futureResponse::complete));
        }
        try {
            PooledHttpClient.Response response = futureResponse.get((long) FAKE_RESPONSE_TIMEOUT_S, TimeUnit.SECONDS);
            byte[] responseBytes = Cbor.write(response.body());
            exchange.sendResponseHeaders(response.status(), responseBytes.length);
            exchange.getResponseBody().write(responseBytes);
        } catch (TimeoutException | ExecutionException e) {
            // Closes the exchange without a response, as the client has timed out by now.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            exchange.close();
        }
    }

    private static int[] findFreePorts(int count) throws IOException {
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

    private Path writeSettingsFile(
            int index, int controllerCount, int[] ports, String stateAddress, String cloudAddress) throws IOException {
        StringBuilder text = new StringBuilder();
        text.append("label = \"c-%d\"\nzone = \"b\"\n".formatted(index));
        text.append("listen = \"127.0.0.1:%d\"\n".formatted(ports[2 * index]));
        text.append("cluster_listen = \"127.0.0.1:%d\"\n".formatted(ports[2 * index + 1]));
        for (int peer = 0; peer < controllerCount; peer++) {
            if (peer != index) {
                text.append("[[others]]\nlabel = \"c-%d\"\nzone = \"b\"\nendpoint = \"127.0.0.1:%d\"\n"
                        .formatted(peer, ports[2 * peer + 1]));
            }
        }
        text.append("[endpoints]\ncloud = \"%s\"\nstate = \"%s\"\n".formatted(cloudAddress, stateAddress));
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

    /** Opens an address at which the worker accepts direct commands; a worker in an isolated zone never responds. */
    void openCommandEndpoint(SimulatedWorker worker) throws IOException {
        worker.address = startHttpServer(request -> {
            if (!worker.inIsolatedZone) {
                worker.handleCommands(request.body, response -> {
                    simulation.commandNetwork.recordResponse(worker, request.body, response);
                    request.responseHandler.accept(response);
                });
            }
        });
    }

    /** Sends a worker's report to the controller that the worker has chosen. */
    private void sendReport(SimulatedWorker worker) {
        if (worker.inIsolatedZone) {
            reportToNextController(worker, 2);
            return;
        }
        Report report = worker.createReport();
        double sentAtS = simulation.nowS;
        HttpRequest request = buildRequest(
                controllerAddresses.get(worker.controllerIndex),
                "/agent/beat",
                Cbor.write(worker.reportMessage(report)));
        client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray()).whenComplete((response, failure) -> {
            synchronized (simulation) {
                handleReportResponse(worker, report, sentAtS, failure == null ? response : null);
            }
        });
    }

    private void handleReportResponse(
            SimulatedWorker worker, Report report, double sentAtS, HttpResponse<byte[]> response) {
        if (worker.terminated || closed) {
            return;
        }
        if (response == null || worker.inIsolatedZone) {
            reportToNextController(worker, 1);
            return;
        }
        Map<String, Object> body = parseBody(response.body());
        if (response.statusCode() == 200) {
            List<Command> commands = new ArrayList<>();
            for (Object element : Fields.getList(body, "orders")) {
                commands.add(parseCommand(Fields.asMap(element)));
            }
            worker.handleReportResponse(
                    new Controller.ReportResponse.Commands(Fields.getLong(body, "baton", 0), commands),
                    sentAtS,
                    report.session());
            return;
        }
        String leader = Fields.getString(body, "foreman");
        if (response.statusCode() == 421 && leader != null) {
            worker.controllerIndex = Integer.parseInt(leader.substring(2));
            simulation.schedule(0.2, worker::sendReport);
        } else {
            reportToNextController(worker, 1);
        }
    }

    private void reportToNextController(SimulatedWorker worker, double delayS) {
        worker.controllerIndex = (worker.controllerIndex + 1) % controllerAddresses.size();
        simulation.schedule(delayS, worker::sendReport);
    }

    private static Command parseCommand(Map<String, Object> fields) {
        Command.Verb verb =
                switch (Fields.getString(fields, "verb", "")) {
                    case "start" -> Command.Verb.START;
                    case "kill" -> Command.Verb.STOP;
                    default -> Command.Verb.FORGET;
                };
        return new Command(
                verb,
                Fields.getString(fields, "piece"),
                Fields.getLong(fields, "try", 0),
                Fields.getDouble(fields, "leewayS", 0));
    }

    // ---- users --------------------------------------------------------------------------------------------------

    private static HttpRequest buildRequest(String address, String path, byte[] body) {
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(REQUEST_TIMEOUT);
        return (body == null ? builder.GET() : builder.POST(HttpRequest.BodyPublishers.ofByteArray(body))).build();
    }

    private static Map<String, Object> parseBody(byte[] bytes) {
        try {
            return bytes.length == 0 ? Map.of() : Cbor.readMap(bytes);
        } catch (IOException e) {
            return Map.of();
        }
    }

    /**
     * Submits a job to one controller after the other until one accepts it.
     *
     * @return whether the job was accepted; false after 30 attempts
     */
    boolean submitUntilAccepted(String jobId, int tasks, Map<String, Object> extraFields) {
        byte[] body;
        synchronized (simulation) {
            body = submissionBuilder.buildSubmission(jobId, tasks, false, extraFields);
        }
        for (int attempt = 0; attempt < 30; attempt++) {
            int status = sendUserRequest(attempt, "submission", jobId, "/work", body);
            if (status == 201 || status == 200) {
                return true;
            }
            pause(500);
        }
        return false;
    }

    /**
     * Submits a job with one task once, to one controller.
     *
     * @return the status code; 0 if there was no response
     */
    int submitOnce(int controller, String jobId, Map<String, Object> extraFields) {
        byte[] body;
        synchronized (simulation) {
            body = submissionBuilder.buildSubmission(jobId, 1, false, extraFields);
        }
        return sendUserRequest(controller, "submission", jobId, "/work", body);
    }

    /**
     * Submits a job with several tasks once, to one controller.
     *
     * @return the status code; 0 if there was no response
     */
    int submitOnce(int controller, String jobId, int tasks, boolean gang, Map<String, Object> extraFields) {
        byte[] body;
        synchronized (simulation) {
            body = submissionBuilder.buildSubmission(jobId, tasks, gang, extraFields);
        }
        return sendUserRequest(controller, "submission", jobId, "/work", body);
    }

    /**
     * Polls a job at one controller and checks the response against all earlier responses about the job.
     *
     * @return the status code; 0 if there was no response
     */
    int poll(int controller, String jobId) {
        return sendUserRequest(controller, "poll", jobId, "/work/" + jobId, null);
    }

    /**
     * Polls a job at one controller, with the same checks as {@link #poll}.
     *
     * @return the job's status; {@code null} if the response has none or if there was no response
     */
    String pollStatus(int controller, String jobId) {
        return Fields.getString(exchangeUserRequest(controller, "poll", jobId, "/work/" + jobId, null).body, "status");
    }

    /**
     * Cancels a job at one controller.
     *
     * @return the job's status; {@code null} if the response has none or if there was no response
     */
    String cancel(int controller, String jobId) {
        return Fields.getString(
                exchangeUserRequest(controller, "abort", jobId, "/work/" + jobId + "/abort", new byte[0]).body,
                "status");
    }

    private int sendUserRequest(int controller, String requestType, String jobId, String path, byte[] body) {
        return exchangeUserRequest(controller, requestType, jobId, path, body).code;
    }

    /** A response to a user; the code is 0 and the body empty if there was none. */
    private record UserResponse(int code, Map<String, Object> body) {
        static final UserResponse NONE = new UserResponse(0, Map.of());
    }

    private UserResponse exchangeUserRequest(
            int controller, String requestType, String jobId, String path, byte[] body) {
        double sentAtS;
        synchronized (simulation) {
            sentAtS = simulation.nowS;
        }
        try {
            HttpResponse<byte[]> response = client.send(
                    buildRequest(controllerAddresses.get(controller % controllerAddresses.size()), path, body),
                    HttpResponse.BodyHandlers.ofByteArray());
            Map<String, Object> responseBody = parseBody(response.body());
            synchronized (simulation) {
                simulation.checkResponse(jobId, sentAtS, requestType, response.statusCode(), responseBody);
            }
            return new UserResponse(response.statusCode(), responseBody);
        } catch (IOException e) {
            return UserResponse.NONE;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return UserResponse.NONE;
        }
    }

    /** Whether a controller's metrics page shows that it leads; false if there was no response. */
    boolean isLeading(int controller) {
        try {
            return client.send(
                            buildRequest(controllerAddresses.get(controller), "/metrics", null),
                            HttpResponse.BodyHandlers.ofString())
                    .body()
                    .contains("mountlug_leading 1.0");
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Returns a zone's metric from the metrics page of the leader; {@code NaN} if no leader shows the metric. */
    double zoneMetric(String name, String zone) {
        Pattern metricLine = Pattern.compile(name + "\\{zone=\"" + zone + "\"\\} (\\S+)");
        for (String address : controllerAddresses) {
            try {
                String metricsPage = client.send(
                                buildRequest(address, "/metrics", null), HttpResponse.BodyHandlers.ofString())
                        .body();
                Matcher match = metricLine.matcher(metricsPage);
                if (metricsPage.contains("mountlug_leading 1.0") && match.find()) {
                    return Double.parseDouble(match.group(1));
                }
            } catch (IOException e) {
                // Goes on with the next controller; callers poll.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        return Double.NaN;
    }

    @Override
    public void close() throws IOException {
        closed = true;
        runningControllers.values().forEach(RunningController::stop);
        httpServers.forEach(server -> server.stop(0));
        threads.shutdownNow();
        try (var files = Files.list(directory)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(directory);
    }
}
