package org.mountlug.cli;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.mountlug.node.Daemon;
import org.mountlug.settings.Operators;
import org.mountlug.settings.Settings;
import org.mountlug.settings.Sizes;

/**
 * A controller's start and its first second, run once by the build so that the classes it needs land in the class-data
 * archive. Starting from the archive saves most of the time for which a crashed controller is missed.
 */
final class Rehearsal {
    private Rehearsal() {}

    static int run() {
        try {
            Path file = Files.createTempFile("mountlug", ".toml");
            try {
                int[] ports = new int[6];
                for (int i = 0; i < ports.length; i++) {
                    try (ServerSocket s = new ServerSocket(0)) {
                        ports[i] = s.getLocalPort();
                    }
                }
                Files.writeString(file, """
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
                        """.formatted(ports[0], ports[1], ports[4], ports[5], ports[2], ports[3]));
                Settings s = Settings.load(file, Operators.defaults());
                // One peer answers, the other refuses connections, as after a crash.
                try (StandIns standIns = new StandIns(ports[3], ports[2], ports[4])) {
                    standIns.versionsOf("b", "c");
                    List<String> sizes = Sizes.check(s, Runtime.getRuntime().maxMemory() / 1048576.0);
                    Daemon c = new Daemon(s, Operators.defaults(), sizes);
                    c.start();
                    standIns.exercise(ports[0]);
                    c.stop();
                }
                return 0;
            } finally {
                Files.deleteIfExists(file);
            }
        } catch (IOException | InterruptedException | Settings.Invalid e) {
            System.err.println("rehearsal failed: " + e);
            return 1;
        }
    }
}
