package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.mountlug.node.FaultTestSteps.jobId;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.mountlug.Constants;
import org.mountlug.api.UserResponse;
import org.mountlug.node.LoadGenerator.LoadPhase;
import org.mountlug.settings.OperatorSettings;

/** Tests admission control while one team overloads it, other teams stay within their shares, and a fault occurs. */
class AdmissionFaultsTest {
    private static final double LOAD_S = 60;
    /**
     * Longest time, in seconds, to acceptance in a queue within its share: two retries of a submission that arrived before the
     * leader knew of the overload.
     */
    private static final double MAX_QUIET_ACCEPTANCE_S = 10;
    /** Seconds from the end of a job's last task to its final record; users are notified within the same time. */
    private static final double MAX_COMPLETION_LAG_S = 3;
    /** Requests that the state service may refuse in a minute, at the beginning of an overload or of a term. */
    private static final int MAX_RATE_LIMITED_REQUESTS = 30;

    static Stream<Arguments> faults() {
        return Stream.of(AdmissionFault.values())
                .flatMap(fault -> Stream.of(3, 5).map(controllers -> Arguments.of(fault, controllers)));
    }

    @ParameterizedTest(name = "{0}, {1} controllers")
    @MethodSource("faults")
    void queuesWithinTheirShareAreAcceptedDespiteAFault(AdmissionFault fault, int controllers) {
        SimulatedCluster cluster =
                LoadGenerator.startCluster(controllers, LoadGenerator.operatorsWithAdmission(), "a", "b");
        LoadGenerator load = new LoadGenerator(cluster, fault.ordinal() * 10 + controllers);
        load.schedule(List.of(
                LoadPhase.of("a", "l", 30, 0, LOAD_S),
                LoadPhase.of("b", "l", 0.6, 0, LOAD_S),
                LoadPhase.of("b", "m", 0.4, 0, LOAD_S)));
        fault.injection.accept(load);
        cluster.runFor(LOAD_S);
        int rateLimited = cluster.stateService.rateLimitedRequests;
        cluster.runFor(LOAD_S + 5);
        assertEquals(List.of(), load.violations);
        assertEquals(List.of(), cluster.violations());
        if (fault == AdmissionFault.FOLLOWER_OF_PRODUCTION_VERSION) {
            return; // the production version accepts without regard to shares, so only single decisions can be checked
        }
        assertTrue(rateLimited <= MAX_RATE_LIMITED_REQUESTS, "requests refused by the state service: " + rateLimited);
        assertTrue(
                load.longestCompletionLagS <= MAX_COMPLETION_LAG_S + fault.leaderlessS,
                "completion lag " + load.longestCompletionLagS);
        for (String jobClass : List.of("l", "m")) {
            LoadGenerator.QueueStatistics quiet = load.statistics("b", jobClass);
            assertEquals(
                    quiet.submitted,
                    quiet.accepted,
                    "all submissions of team b, which stays within its share, are accepted");
            assertTrue(
                    quiet.slowestAcceptanceS <= fault.unavailableS + MAX_QUIET_ACCEPTANCE_S,
                    "slowest acceptance of team b " + quiet.slowestAcceptanceS);
        }
    }

    /**
     * Goodput stays near what the write rate limit allows and does not fall as the load grows, whether or not refused requests
     * count towards the limit.
     */
    @ParameterizedTest(name = "{0} submissions per second, {1} controllers, refusals consume the limit {2}")
    @CsvSource({"7, 3, true", "30, 3, true", "60, 5, false", "60, 7, true", "300, 3, true", "300, 5, false"})
    void goodputDoesNotFallAsTheLoadGrows(double ratePerS, int controllers, boolean refusalsConsumeLimit) {
        SimulatedCluster cluster =
                LoadGenerator.startCluster(controllers, LoadGenerator.operatorsWithAdmission(), "a", "b");
        cluster.stateService.refusalsConsumeLimit = refusalsConsumeLimit;
        LoadGenerator load = new LoadGenerator(cluster, 77);
        load.schedule(List.of(LoadPhase.of("a", "l", ratePerS, 0, 80), LoadPhase.of("b", "l", 1, 0, 80)));
        cluster.runFor(20);
        int acceptedBefore = load.statistics("a", "l").accepted;
        cluster.runFor(LOAD_S);
        double goodputPerS = (load.statistics("a", "l").accepted - acceptedBefore) / LOAD_S;
        double sustainableRate = 25 * Constants.Admission.PLANNED_SHARE / (1 + Constants.Admission.MIN_WRITES_PER_JOB);
        double minGoodput = (sustainableRate - 1) * Constants.Admission.TARGET_SHARE * 0.75;
        double maxGoodput = sustainableRate * Constants.Admission.MAX_RATE_GROWTH_FACTOR;
        assertTrue(
                goodputPerS >= Math.min(minGoodput, ratePerS) && goodputPerS <= maxGoodput,
                goodputPerS + " accepted per second, expected from " + minGoodput);
        assertTrue(
                cluster.stateService.rateLimitedRequests <= MAX_RATE_LIMITED_REQUESTS,
                "requests refused by the state service: " + cluster.stateService.rateLimitedRequests);
        assertEquals(List.of(), load.violations);
    }

    /** Overloaded teams are served by weight: Jain's fairness index of their accepted jobs per weight is near one. */
    @ParameterizedTest(name = "weight {0}, {1} classes of the heavier team")
    @CsvSource({"1, 1", "3, 1", "1, 3"})
    void overloadedTeamsShareByWeight(double weight, int classes) {
        OperatorSettings operators =
                LoadGenerator.operatorsWithAdmission().withTeamWeights(Map.of("a", weight, "b", 1.0));
        SimulatedCluster cluster = LoadGenerator.startCluster(3, operators, "a", "b");
        LoadGenerator load = new LoadGenerator(cluster, 5);
        List<LoadPhase> phases = new ArrayList<>(List.of(LoadPhase.of("b", "l", 30, 0, 120)));
        for (int i = 0; i < classes; i++) {
            phases.add(LoadPhase.of("a", "l" + i, 30, 0, 120));
        }
        load.schedule(phases);
        cluster.runFor(120);
        double weightedAcceptedOfA = 0;
        List<Double> acceptedByClass = new ArrayList<>();
        for (int i = 0; i < classes; i++) {
            acceptedByClass.add((double) load.statistics("a", "l" + i).accepted);
            weightedAcceptedOfA += load.statistics("a", "l" + i).accepted / weight;
        }
        double fairness = jainIndex(List.of(weightedAcceptedOfA, (double) load.statistics("b", "l").accepted));
        assertTrue(fairness > 0.95, "fairness between teams " + fairness);
        assertTrue(jainIndex(acceptedByClass) > 0.95, "accepted by class " + acceptedByClass);
    }

    /** Returns Jain's fairness index: one for equal values, down to 1/n if one of n values has all. */
    private static double jainIndex(List<Double> values) {
        double sum = values.stream().mapToDouble(Double::doubleValue).sum();
        double squares = values.stream().mapToDouble(value -> value * value).sum();
        return sum * sum / (values.size() * squares);
    }

    /** Every controller gets the same submission at the same time: at most one creates the job, and all decide alike. */
    @Test
    void allControllersDecideASubmissionAlike() {
        SimulatedCluster cluster = LoadGenerator.startCluster(5, LoadGenerator.operatorsWithAdmission(), "a");
        LoadGenerator load = new LoadGenerator(cluster, 3);
        load.schedule(List.of(LoadPhase.of("a", "l", 60, 0, 60)));
        cluster.runFor(20);
        Map<String, Object> queue = Map.of("crew", "a", "lane", "l");
        int deferred = 0;
        int accepted = 0;
        for (int number = 900_000; number < 900_060; number++) {
            List<UserResponse> responses = new ArrayList<>();
            String job = jobId(number);
            for (SimulatedCluster.ControllerProcess process : cluster.controllers) {
                byte[] body = process.buildSubmission(job, 1, false, queue);
                process.requestAsync(
                        "submission",
                        job,
                        reply -> process.users.submit(body, reply),
                        fields -> responses.add((UserResponse) fields.get("answer")));
            }
            cluster.runFor(0.3);
            assertEquals(cluster.controllers.size(), responses.size(), "every controller responds within 0.3 s");
            responses.removeIf(response -> response instanceof UserResponse.Unavailable); // does not decide the job
            Set<Object> decisions = new HashSet<>();
            int created = 0;
            for (UserResponse response : responses) {
                created += response instanceof UserResponse.Accepted ? 1 : 0;
                decisions.add(response instanceof UserResponse.Deferred ? response : "accepted");
            }
            assertEquals(1, decisions.size(), responses.toString());
            accepted += created;
            deferred += created == 0 ? 1 : 0;
            assertTrue(created <= 1, responses.toString());
        }
        assertTrue(deferred > 20, "deferred " + deferred);
        assertEquals(List.of(), cluster.violations());
        assertTrue(accepted > 0 || deferred == 60);
    }

    /** A deferred submission leaves no record: polls and cancellations get 404, and a changed repetition is decided anew. */
    @Test
    void deferredSubmissionLeavesNoRecord() {
        SimulatedCluster cluster = LoadGenerator.startCluster(3, LoadGenerator.operatorsWithAdmission(), "a", "b");
        LoadGenerator load = new LoadGenerator(cluster, 4);
        load.schedule(List.of(LoadPhase.of("a", "l", 60, 0, 60)));
        cluster.runFor(20);
        SimulatedCluster.ControllerProcess process = cluster.controllers.get(0);
        Map<String, Object> overloadedQueue = Map.of("crew", "a", "lane", "l");
        String job = jobId(900_000);
        for (int number = 900_001; !isDeferred(process.submit(job, 1, false, overloadedQueue)); number++) {
            job = jobId(number);
        }
        assertEquals(404, process.cancel(job).get("code"));
        assertEquals(404, process.poll(job).get("code"));
        assertTrue(
                isDeferred(cluster.controllers.get(1).submit(job, 1, false, overloadedQueue)),
                "deferred by another controller when repeated early");
        assertEquals(400, process.submit(job, 0, false, overloadedQueue).get("code"));
        assertEquals(
                422,
                process.submit(job, 1, false, Map.of("crew", "nobody", "lane", "l"))
                        .get("code"));
        assertEquals(
                201,
                process.submit(job, 1, false, Map.of("crew", "b", "lane", "l")).get("code"),
                "accepted for a team within its share");
        assertEquals(200, cluster.controllers.get(2).cancel(job).get("code"));
        assertEquals(List.of(), cluster.violations());
    }

    private static boolean isDeferred(Map<String, Object> response) {
        return response.get("answer") instanceof UserResponse.Deferred;
    }
}
