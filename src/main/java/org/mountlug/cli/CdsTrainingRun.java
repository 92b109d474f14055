package org.mountlug.cli;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.mountlug.node.ControllerServer;
import org.mountlug.settings.ControllerSizing;
import org.mountlug.settings.OperatorSettings;
import org.mountlug.settings.Settings;

/**
 * Starts a controller and takes it through its ordinary work against fake services. The build runs this once so that the
 * classes that a controller needs are recorded in the class-data sharing (CDS) archive. Starting from the archive saves
 * most of the time for which a crashed controller is down.
 */
final class CdsTrainingRun {
    private CdsTrainingRun() {}

    private static final String PLATFORM_SETTINGS = """
            label = "a"
            zone = "z"
            listen = "127.0.0.1:%d"
            cluster_listen = "127.0.0.1:%d"
            [[others]]
            label = "b"
            zone = "z"
            endpoint = "127.0.0.1:%d"
            [[others]]
            label = "c"
            zone = "z"
            endpoint = "127.0.0.1:%d"
            [endpoints]
            cloud = "127.0.0.1:%d"
            state = "127.0.0.1:%d"
            [cluster]
            skew_ms = 25.0
            [[cluster.teams]]
            name = "t"
            [cluster.workers]
            report_s = 2.0
            lease_s = 10.0
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
            list_lag_s = 10.0
            """;
    private static final String OPERATOR_SETTINGS = """
            shares: {t: 1}
            log: {format: plain}
            machines: {idle_keep_s: 20}
            zones:
              enabled: true
              displacement: []
              ramp: {start_share: 0.1}
            """;
    private static final int PORT_COUNT = 6;

    static int run() {
        try {
            Path directory = Files.createTempDirectory("mountlug");
            Path platformFile = directory.resolve("settings.toml");
            Path operatorsFile = directory.resolve("operators.yaml");
            try {
                startAndExercise(platformFile, operatorsFile);
                return 0;
            } finally {
                Files.deleteIfExists(platformFile);
                Files.deleteIfExists(operatorsFile);
                Files.deleteIfExists(directory);
            }
        } catch (IOException | InterruptedException | Settings.InvalidSettingException e) {
            System.err.println("CDS training run failed: " + e);
            return 1;
        }
    }

    private static void startAndExercise(Path platformFile, Path operatorsFile)
            throws IOException, InterruptedException, Settings.InvalidSettingException {
        // Ports: 0 for users and workers and 1 for peers of the controller, 2 of the cloud, 3 of the state service,
        // 4 of peer "b", 5 of peer "c".
        int[] ports = findFreePorts();
        Files.writeString(
                platformFile, PLATFORM_SETTINGS.formatted(ports[0], ports[1], ports[4], ports[5], ports[2], ports[3]));
        Files.writeString(operatorsFile, OPERATOR_SETTINGS);
        OperatorSettings operators = OperatorSettings.load(operatorsFile);
        Settings settings = Settings.load(platformFile, operators);
        // Peer "b" answers; peer "c" refuses connections, as after a crash.
        try (FakeServices fakes = new FakeServices(ports[3], ports[2], ports[4])) {
            fakes.announceVersions("b", "c");
            List<String> sizing =
                    ControllerSizing.check(settings, Runtime.getRuntime().maxMemory() / 1048576.0);
            ControllerServer controller = new ControllerServer(settings, operators, sizing);
            controller.start();
            fakes.exercise(ports[0]);
            controller.stop();
        }
    }

    /** Returns free ports. All sockets stay open until the last one is bound, so that no port is returned twice. */
    private static int[] findFreePorts() throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            int[] ports = new int[PORT_COUNT];
            for (int i = 0; i < PORT_COUNT; i++) {
                ServerSocket socket = new ServerSocket(0);
                sockets.add(socket);
                ports[i] = socket.getLocalPort();
            }
            return ports;
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
    }
}
