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
 * A controller's start and its first second, run once by the build so that the classes it needs land in the class-data
 * archive. Starting from the archive saves most of the time for which a crashed controller is missed.
 */
final class CdsTrainingRun {
    private CdsTrainingRun() {}

    private static final String SETTINGS = """
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
    private static final String OPERATORS = """
            shares: {t: 1}
            log: {format: plain}
            machines: {idle_keep_s: 20}
            zones:
              enabled: true
              displacement: []
              ramp: {start_share: 0.1}
            """;
    private static final int PORTS = 6;

    static int run() {
        try {
            Path directory = Files.createTempDirectory("mountlug");
            Path platform = directory.resolve("settings.toml");
            Path own = directory.resolve("operators.yaml");
            try {
                rehearse(platform, own);
                return 0;
            } finally {
                Files.deleteIfExists(platform);
                Files.deleteIfExists(own);
                Files.deleteIfExists(directory);
            }
        } catch (IOException | InterruptedException | Settings.InvalidSettingException e) {
            System.err.println("rehearsal failed: " + e);
            return 1;
        }
    }

    private static void rehearse(Path platform, Path own)
            throws IOException, InterruptedException, Settings.InvalidSettingException {
        int[] ports = freePorts();
        Files.writeString(platform, SETTINGS.formatted(ports[0], ports[1], ports[4], ports[5], ports[2], ports[3]));
        Files.writeString(own, OPERATORS);
        OperatorSettings operators = OperatorSettings.load(own);
        Settings settings = Settings.load(platform, operators);
        // One peer answers, the other refuses connections, as after a crash.
        try (FakeServices standIns = new FakeServices(ports[3], ports[2], ports[4])) {
            standIns.announceVersions("b", "c");
            List<String> sizes =
                    ControllerSizing.check(settings, Runtime.getRuntime().maxMemory() / 1048576.0);
            ControllerServer controller = new ControllerServer(settings, operators, sizes);
            controller.start();
            standIns.exercise(ports[0]);
            controller.stop();
        }
    }

    /** Ports that are free, all held at the same time so that none is given twice. */
    private static int[] freePorts() throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            int[] ports = new int[PORTS];
            for (int i = 0; i < PORTS; i++) {
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
