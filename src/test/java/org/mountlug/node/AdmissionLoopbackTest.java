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

/**
 * Three controllers on loopback sockets. One team floods all of them, and each job of the other team is submitted to all
 * three: a part of the flood must be deferred, and no job may be created twice.
 */
class AdmissionLoopbackTest {
    private static final int FLOOD_SUBMISSIONS = 900;
    private static final int FLOODING_THREADS = 6;
    /** Seconds between two submissions of a flooding thread: 60 a second in total, for 15 s. */
    private static final double SUBMISSION_PAUSE_S = 0.1;

    private static final int QUIET_TEAM_JOBS = 12;
    private static final double FLOOD_TIMEOUT_S = 60;

    @Test
    void aFloodIsDeferredAndEachJobIsCreatedAtMostOnce()
            throws IOException, Settings.InvalidSettingException, InterruptedException {
        OperatorSettings operators = LoadGenerator.operatorsWithAdmission();
        SimulatedCluster simulation = new SimulatedCluster(
                0, List.of(new Team("t", 0, 0, 0, 0, 1), new Team("u", 0, 0, 0, 0, 1)), 5, false, 8, 8, operators);
        simulation.stateService.requestsPerS = 200;
        simulation.stateService.writesPerS = 25;
        simulation.taskDurationS = 2;
        ExecutorService floodingUsers = Executors.newFixedThreadPool(FLOODING_THREADS);
        try (LoopbackCluster cluster = new LoopbackCluster(simulation, operators, 3)) {
            assertTrue(
                    cluster.submitUntilAccepted(jobId(1), 1, Map.of("crew", "u")),
                    "the controllers accept submissions");
            // By then the leader has the counts of all controllers and may set limits.
            cluster.waitUntil(Constants.Admission.OUTAGE_RECOVERY_S + 1, () -> false);
            AtomicInteger deferred = new AtomicInteger();
            for (int number = 0; number < FLOOD_SUBMISSIONS; number++) {
                int submission = number;
                floodingUsers.execute(() -> {
                    int status = cluster.submitOnce(submission, jobId(10_000 + submission), Map.of("crew", "t"));
                    deferred.addAndGet(status == 429 ? 1 : 0);
                    cluster.waitUntil(SUBMISSION_PAUSE_S, () -> false);
                });
            }
            floodingUsers.shutdown();
            List<String> quietTeamJobs = new ArrayList<>();
            for (int number = 0; number < QUIET_TEAM_JOBS; number++) {
                String jobId = jobId(100 + number);
                quietTeamJobs.add(jobId);
                int created = 0;
                for (int controller = 0; controller < 3; controller++) {
                    created += cluster.submitOnce(controller, jobId, Map.of("crew", "u")) == 201 ? 1 : 0;
                }
                assertTrue(created <= 1, jobId + " was created " + created + " times");
                cluster.waitUntil(0.7, () -> false);
            }
            assertTrue(
                    floodingUsers.awaitTermination((long) FLOOD_TIMEOUT_S, TimeUnit.SECONDS), "the flood ends in time");
            for (String jobId : quietTeamJobs) {
                assertTrue(cluster.submitUntilAccepted(jobId, 1, Map.of("crew", "u")), jobId);
            }
            assertTrue(deferred.get() > 0, "submissions of the flood were deferred");
            synchronized (simulation) {
                assertEquals(List.of(), simulation.violations());
                assertTrue(
                        simulation.stateService.rateLimitedRequests < FLOOD_SUBMISSIONS / 10,
                        "requests refused by the state service: " + simulation.stateService.rateLimitedRequests);
            }
        } finally {
            floodingUsers.shutdownNow();
        }
    }
}
