package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.mountlug.node.FaultTestSteps.jobId;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.mountlug.Constants;
import org.mountlug.core.model.Team;
import org.mountlug.settings.OperatorSettings;
import org.mountlug.settings.Settings;

/** Three controllers over loopback sockets: one team floods all of them, the other's submissions go to all at once. */
class AdmissionLoopbackTest {
    private static final int FLOOD = 900;
    private static final int FLOODING_THREADS = 6;
    /** Seconds between two submissions of a flooding thread: sixty a second in all, for a quarter of a minute. */
    private static final double PAUSE_S = 0.1;

    private static final int QUIET = 12;
    private static final double WAIT_S = 60;

    @Test
    void aFloodLeavesTheQuietTeamItsShareAndEachSubmissionOneDecision()
            throws IOException, Settings.InvalidSettingException, InterruptedException {
        OperatorSettings operators = LoadGenerator.operatorsWithAdmission();
        SimulatedCluster world = new SimulatedCluster(
                0, List.of(new Team("t", 0, 0, 0, 0, 1), new Team("u", 0, 0, 0, 0, 1)), 5, false, 8, 8, operators);
        world.stateService.rps = 200;
        world.stateService.writeRps = 25;
        world.taskDurationS = 2;
        ExecutorService users = Executors.newFixedThreadPool(FLOODING_THREADS);
        try (LoopbackCluster cluster = new LoopbackCluster(world, operators, 3)) {
            assertTrue(cluster.submitUntilAccepted(jobId(1), 1, Map.of("crew", "u")), "the controllers serve");
            cluster.waitUntil(
                    Constants.Admission.OUTAGE_RECOVERY_S + 1, () -> false); // all controllers have been heard
            AtomicInteger deferred = new AtomicInteger();
            for (int number = 0; number < FLOOD; number++) {
                int mine = number;
                users.execute(() -> {
                    int status = cluster.submitOnce(mine, jobId(10_000 + mine), Map.of("crew", "t"));
                    deferred.addAndGet(status == 429 ? 1 : 0);
                    cluster.waitUntil(PAUSE_S, () -> false);
                });
            }
            users.shutdown();
            List<String> quiet = new ArrayList<>();
            for (int number = 0; number < QUIET; number++) {
                String job = jobId(100 + number);
                quiet.add(job);
                int created = 0;
                for (int controller = 0; controller < 3; controller++) {
                    created += cluster.submitOnce(controller, job, Map.of("crew", "u")) == 201 ? 1 : 0;
                }
                assertTrue(created <= 1, job + " was created " + created + " times");
                cluster.waitUntil(0.7, () -> false);
            }
            assertTrue(users.awaitTermination((long) WAIT_S, TimeUnit.SECONDS), "the flood is over");
            for (String job : quiet) {
                assertTrue(cluster.submitUntilAccepted(job, 1, Map.of("crew", "u")), job);
            }
            assertTrue(deferred.get() > 0, "some of the flood was deferred");
            synchronized (world) {
                assertEquals(List.of(), world.violations());
                assertTrue(
                        world.stateService.rateLimitedRequests < FLOOD / 10,
                        "refused by the state service: " + world.stateService.rateLimitedRequests);
            }
        } finally {
            users.shutdownNow();
        }
    }
}
