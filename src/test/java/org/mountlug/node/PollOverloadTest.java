package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Users poll all controllers many times as often as usual, while the state service enforces its rate limits. */
class PollOverloadTest {
    private static String id(int number) {
        return String.format("wk-%06d", number);
    }

    /**
     * Polls beyond the rate limit are refused at once; submissions, cancellations, reports and the leader's own writes keep
     * their part of it, and the requests to the state service stay within its limits.
     */
    @ParameterizedTest(name = "{0} controllers, {1} polls a second at each, of {2}, new leader {3}")
    @CsvSource({
        "3, 300, one live job, false",
        "7, 300, one live job, false",
        "5, 300, finished jobs, false",
        "5, 300, jobs never submitted, false",
        "7, 100, jobs never submitted, false",
        "5, 300, all jobs, true",
        "7, 300, all jobs, true",
    })
    void jobsProceedDuringPollOverload(int controllers, int pollsPerS, String polledJobs, boolean newLeader) {
        SimulatedCluster cluster = new SimulatedCluster(controllers);
        cluster.stateService.requestsPerS = 200;
        cluster.stateService.writesPerS = 25;
        cluster.taskDurationS = 6;
        for (int i = 1; i <= 6; i++) {
            cluster.submitUntilAccepted(id(i), 4, false);
        }
        cluster.runUntilSettled(120);
        cluster.taskDurationS = 200;
        cluster.submitUntilAccepted(id(100), 8, false);
        cluster.taskDurationS = 8;
        cluster.runFor(5);
        cluster.stateService.rateLimitedRequests = 0;
        long token = cluster.leader().token();
        SplittableRandom random = new SplittableRandom(controllers);
        double[] lastResponseAtS = new double[1];
        int[] refusedPolls = new int[1];
        List<Double> slowRefusalsS = new ArrayList<>();
        for (double atS = 0; atS < 30; atS += 0.05) {
            cluster.schedule(atS, () -> {
                for (SimulatedCluster.ControllerProcess controller : cluster.controllers) {
                    for (int k = 0; k < pollsPerS / 20; k++) {
                        String job =
                                switch (polledJobs) {
                                    case "one live job" -> id(100);
                                    case "finished jobs" -> id(1 + random.nextInt(6));
                                    case "jobs never submitted" -> id(5000 + random.nextInt(1000));
                                    default -> id(1 + random.nextInt(130));
                                };
                        double sentAtS = cluster.nowS;
                        controller.requestAsync("poll", job, reply -> controller.users.poll(job, reply), response -> {
                            lastResponseAtS[0] = cluster.nowS;
                            if (response.get("code").equals(429)) {
                                refusedPolls[0]++;
                                if (cluster.nowS > sentAtS) {
                                    slowRefusalsS.add(cluster.nowS - sentAtS);
                                }
                            }
                        });
                    }
                }
            });
        }
        List<Object> submissions = new ArrayList<>();
        List<Object> cancellations = new ArrayList<>();
        for (int i = 0; i < 25; i++) {
            SimulatedCluster.ControllerProcess controller = cluster.controllers.get(i % controllers);
            String job = id(101 + i);
            cluster.schedule(2 + i, () -> {
                byte[] body = cluster.newSubmission(job, 2);
                controller.requestAsync(
                        "submission",
                        job,
                        reply -> controller.users.submit(body, reply),
                        response -> submissions.add(response.get("code")));
            });
            if (i % 5 == 0) {
                SimulatedCluster.ControllerProcess nextController = cluster.controllers.get((i + 1) % controllers);
                cluster.schedule(
                        3 + i,
                        () -> nextController.requestAsync(
                                "cancellation",
                                job,
                                reply -> nextController.users.cancel(job, reply),
                                response -> cancellations.add(response.get("code"))));
            }
        }
        if (newLeader) {
            cluster.schedule(12, () -> cluster.leader().restartAfter(0.5));
        }
        cluster.runFor(32);
        if (polledJobs.equals("finished jobs")) {
            assertEquals(0, refusedPolls[0], "final statuses are cached and need no request to the state service");
        } else {
            assertTrue(refusedPolls[0] > 1000, "polls refused: " + refusedPolls[0]);
        }
        assertEquals(List.of(), slowRefusalsS, "refused at once");
        // A new leader reads all records, here in pages of five.
        int maxRateLimited = newLeader ? 25 : 10;
        assertTrue(
                cluster.stateService.rateLimitedRequests <= maxRateLimited,
                "requests refused by the state service: " + cluster.stateService.rateLimitedRequests);
        long accepted = submissions.stream().filter(code -> code.equals(201)).count();
        assertTrue(
                accepted >= (newLeader ? 23 : 25), "submissions accepted: " + accepted + " of " + submissions.size());
        assertEquals(
                List.of(),
                cancellations.stream().filter(code -> !code.equals(200)).toList());
        if (!newLeader) {
            assertEquals(token, cluster.leader().token());
        }
        cluster.runUntilSettled(240);
        assertEquals(List.of(), cluster.violations());
    }

    /** Under many polls at all controllers, no response is older than an earlier one, even if submissions are repeated. */
    @ParameterizedTest(name = "seed {0}")
    @CsvSource({"1", "2", "3", "4"})
    void noResponseIsOlderThanAnEarlierOne(int seed) {
        SimulatedCluster cluster = new SimulatedCluster(5);
        cluster.stateService.requestsPerS = 200;
        cluster.stateService.writesPerS = 25;
        cluster.taskDurationS = 3;
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 1; i <= 12; i++) {
            String job = id(i);
            cluster.schedule(
                    5 + i, () -> cluster.controllers.get(random.nextInt(5)).submitAsync(job, 2, false, Map.of()));
            if (i % 3 == 0) {
                cluster.schedule(6 + i + random.nextDouble() * 6, () -> {
                    SimulatedCluster.ControllerProcess controller = cluster.controllers.get(random.nextInt(5));
                    controller.requestAsync("cancellation", job, reply -> controller.users.cancel(job, reply), null);
                });
            }
        }
        for (double atS = 5; atS < 35; atS += 0.02) {
            cluster.schedule(atS, () -> {
                String job = id(1 + random.nextInt(12));
                for (SimulatedCluster.ControllerProcess controller : cluster.controllers) {
                    if (random.nextInt(12) == 0 && cluster.originalSubmission(job) != null) {
                        controller.resubmit(job);
                    } else {
                        controller.requestAsync("poll", job, reply -> controller.users.poll(job, reply), null);
                    }
                }
            });
        }
        cluster.runFor(36);
        cluster.runUntilSettled(150);
        assertEquals(List.of(), cluster.violations());
    }
}
