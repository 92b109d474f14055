package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Users ask many times as often as usual, at all controllers, within the state service's limits. */
class PollOverloadTest {
    private static String id(int number) {
        return String.format("wk-%06d", number);
    }

    /**
     * Polls beyond the budget are refused at once; submissions, cancellations, workers' reports and the leader's own writes
     * keep their share, and the state service is not asked more than it serves.
     */
    @ParameterizedTest(name = "{0} controllers, {1} polls a second at each, of {2}, new leader {3}")
    @CsvSource({
        "3, 300, one live job, false",
        "7, 300, one live job, false",
        "5, 300, jobs that are over, false",
        "5, 300, jobs that nobody submitted, false",
        "7, 100, jobs that nobody submitted, false",
        "5, 300, all jobs, true",
        "7, 300, all jobs, true",
    })
    void workGoesOnInAStorm(int controllers, int pollsPerS, String asked, boolean newLeader) {
        SimulatedCluster world = new SimulatedCluster(controllers);
        world.stateService.rps = 200;
        world.stateService.writeRps = 25;
        world.taskDurationS = 6;
        for (int i = 1; i <= 6; i++) {
            world.submitUntilAccepted(id(i), 4, false);
        }
        world.runUntilSettled(120);
        world.taskDurationS = 200;
        world.submitUntilAccepted(id(100), 8, false);
        world.taskDurationS = 8;
        world.runFor(5);
        world.stateService.rateLimitedRequests = 0;
        long token = world.leader().token();
        SplittableRandom random = new SplittableRandom(controllers);
        double[] answeredAt = new double[1];
        int[] refused = new int[1];
        List<Double> slow = new ArrayList<>();
        for (double at = 0; at < 30; at += 0.05) {
            world.schedule(at, () -> {
                for (SimulatedCluster.ControllerProcess node : world.controllers) {
                    for (int k = 0; k < pollsPerS / 20; k++) {
                        String job =
                                switch (asked) {
                                    case "one live job" -> id(100);
                                    case "jobs that are over" -> id(1 + random.nextInt(6));
                                    case "jobs that nobody submitted" -> id(5000 + random.nextInt(1000));
                                    default -> id(1 + random.nextInt(130));
                                };
                        double since = world.nowS;
                        node.askAsync("poll", job, r -> node.users.poll(job, r), answer -> {
                            answeredAt[0] = world.nowS;
                            if (answer.get("code").equals(429)) {
                                refused[0]++;
                                if (world.nowS > since) {
                                    slow.add(world.nowS - since);
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
            SimulatedCluster.ControllerProcess node = world.controllers.get(i % controllers);
            String job = id(101 + i);
            world.schedule(2 + i, () -> {
                byte[] body = world.newSubmission(job, 2);
                node.askAsync("submission", job, r -> node.users.submit(body, r), a -> submissions.add(a.get("code")));
            });
            if (i % 5 == 0) {
                SimulatedCluster.ControllerProcess other = world.controllers.get((i + 1) % controllers);
                world.schedule(
                        3 + i,
                        () -> other.askAsync(
                                "abort", job, r -> other.users.cancel(job, r), a -> cancellations.add(a.get("code"))));
            }
        }
        if (newLeader) {
            world.schedule(12, () -> world.leader().restartAfter(0.5));
        }
        world.runFor(32);
        if (asked.equals("jobs that are over")) {
            assertEquals(0, refused[0], "final answers are kept, and cost nothing");
        } else {
            assertTrue(refused[0] > 1000, "refused " + refused[0]);
        }
        assertEquals(List.of(), slow, "refused at once");
        // A new leader reads all records, here in pages of five.
        int few = newLeader ? 25 : 10;
        assertTrue(
                world.stateService.rateLimitedRequests <= few,
                "refused by the state service: " + world.stateService.rateLimitedRequests);
        long accepted = submissions.stream().filter(code -> code.equals(201)).count();
        assertTrue(accepted >= (newLeader ? 23 : 25), "accepted " + accepted + " of " + submissions.size());
        assertEquals(
                List.of(),
                cancellations.stream().filter(code -> !code.equals(200)).toList());
        if (!newLeader) {
            assertEquals(token, world.leader().token());
        }
        world.runUntilSettled(240);
        assertEquals(List.of(), world.violations());
    }

    /** Of a storm at one controller no other is told anything older, whatever is repeated meanwhile. */
    @ParameterizedTest(name = "seed {0}")
    @CsvSource({"1", "2", "3", "4"})
    void noAnswerGoesBackwards(int seed) {
        SimulatedCluster world = new SimulatedCluster(5);
        world.stateService.rps = 200;
        world.stateService.writeRps = 25;
        world.taskDurationS = 3;
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 1; i <= 12; i++) {
            String job = id(i);
            world.schedule(5 + i, () -> world.controllers.get(random.nextInt(5)).submitAsync(job, 2, false, Map.of()));
            if (i % 3 == 0) {
                world.schedule(6 + i + random.nextDouble() * 6, () -> {
                    SimulatedCluster.ControllerProcess node = world.controllers.get(random.nextInt(5));
                    node.askAsync("abort", job, r -> node.users.cancel(job, r), null);
                });
            }
        }
        for (double at = 5; at < 35; at += 0.02) {
            world.schedule(at, () -> {
                String job = id(1 + random.nextInt(12));
                for (SimulatedCluster.ControllerProcess node : world.controllers) {
                    if (random.nextInt(12) == 0 && world.originalSubmission(job) != null) {
                        node.resubmit(job);
                    } else {
                        node.askAsync("poll", job, r -> node.users.poll(job, r), null);
                    }
                }
            });
        }
        world.runFor(36);
        world.runUntilSettled(150);
        assertEquals(List.of(), world.violations());
    }
}
