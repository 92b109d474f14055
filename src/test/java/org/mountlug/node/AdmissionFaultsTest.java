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

/** One team floods the controllers, others ask within their shares, and something fails. */
class AdmissionFaultsTest {
    private static final double FLOOD_S = 60;
    /** Seconds to the first second try of a submission that came before the leader had heard of the flood, and a second one. */
    private static final double QUIET_BOUND_S = 10;
    /** Seconds from the end of the last task to the durable end of its job; users are told within as much. */
    private static final double LAG_S = 3;
    /** Requests that the state service may refuse in the minute: at the beginning of a flood and of a term. */
    private static final int LIMITED_MOST = 30;

    static Stream<Arguments> troubles() {
        return Stream.of(AdmissionFault.values())
                .flatMap(trouble -> Stream.of(3, 5).map(controllers -> Arguments.of(trouble, controllers)));
    }

    @ParameterizedTest(name = "{0}, {1} controllers")
    @MethodSource("troubles")
    void whoAsksWithinItsShareIsTakenInAndNothingIsDecidedTwice(AdmissionFault trouble, int controllers) {
        SimulatedCluster world =
                LoadGenerator.startCluster(controllers, LoadGenerator.operatorsWithAdmission(), "a", "b");
        LoadGenerator flood = new LoadGenerator(world, trouble.ordinal() * 10 + controllers);
        flood.schedule(List.of(
                LoadPhase.of("a", "l", 30, 0, FLOOD_S),
                LoadPhase.of("b", "l", 0.6, 0, FLOOD_S),
                LoadPhase.of("b", "m", 0.4, 0, FLOOD_S)));
        trouble.injection.accept(flood);
        world.runFor(FLOOD_S);
        int limited = world.stateService.rateLimitedRequests;
        world.runFor(FLOOD_S + 5);
        assertEquals(List.of(), flood.violations);
        assertEquals(List.of(), world.violations());
        if (trouble == AdmissionFault.FOLLOWER_OF_PRODUCTION_VERSION) {
            return; // it takes in what it can and knows no shares: one decision a submission is all that can hold
        }
        assertTrue(limited <= LIMITED_MOST, "refused by the state service: " + limited);
        assertTrue(flood.longestCompletionLagS <= LAG_S + trouble.leaderlessS, "lag " + flood.longestCompletionLagS);
        for (String jobClass : List.of("l", "m")) {
            LoadGenerator.QueueStatistics quiet = flood.statistics("b", jobClass);
            assertEquals(quiet.submitted, quiet.accepted, "all of b, which asks within its share");
            assertTrue(
                    quiet.slowestAcceptanceS <= trouble.unavailableS + QUIET_BOUND_S,
                    "slowest of b " + quiet.slowestAcceptanceS);
        }
    }

    /** Goodput keeps near what the changes allow and does not fall as the flood grows, however refusals are counted. */
    @ParameterizedTest(name = "{0} submissions a second, {1} controllers, refusals count {2}")
    @CsvSource({"7, 3, true", "30, 3, true", "60, 5, false", "60, 7, true", "300, 3, true", "300, 5, false"})
    void goodputDoesNotFallAsTheFloodGrows(double perS, int controllers, boolean refusalsCount) {
        SimulatedCluster world =
                LoadGenerator.startCluster(controllers, LoadGenerator.operatorsWithAdmission(), "a", "b");
        world.stateService.refusalsConsumeLimit = refusalsCount;
        LoadGenerator flood = new LoadGenerator(world, 77);
        flood.schedule(List.of(LoadPhase.of("a", "l", perS, 0, 80), LoadPhase.of("b", "l", 1, 0, 80)));
        world.runFor(20);
        int before = flood.statistics("a", "l").accepted;
        world.runFor(FLOOD_S);
        double goodputPerS = (flood.statistics("a", "l").accepted - before) / FLOOD_S;
        double lasting = 25 * Constants.Admission.PLANNED_SHARE / (1 + Constants.Admission.MIN_WRITES_PER_JOB);
        double least = (lasting - 1) * Constants.Admission.TARGET_SHARE * 0.75;
        double most = lasting * Constants.Admission.MAX_RATE_GROWTH_FACTOR;
        assertTrue(goodputPerS >= Math.min(least, perS) && goodputPerS <= most, goodputPerS + " of " + least);
        assertTrue(
                world.stateService.rateLimitedRequests <= LIMITED_MOST,
                "refused by the state service: " + world.stateService.rateLimitedRequests);
        assertEquals(List.of(), flood.violations);
    }

    /** Weights decide between floods: Jain's index of what is accepted by weight is near one. */
    @ParameterizedTest(name = "weight {0}, {1} classes of the heavier team")
    @CsvSource({"1, 1", "3, 1", "1, 3"})
    void floodsShareByWeight(double weight, int classes) {
        OperatorSettings operators =
                LoadGenerator.operatorsWithAdmission().withTeamWeights(Map.of("a", weight, "b", 1.0));
        SimulatedCluster world = LoadGenerator.startCluster(3, operators, "a", "b");
        LoadGenerator flood = new LoadGenerator(world, 5);
        List<LoadPhase> flows = new ArrayList<>(List.of(LoadPhase.of("b", "l", 30, 0, 120)));
        for (int i = 0; i < classes; i++) {
            flows.add(LoadPhase.of("a", "l" + i, 30, 0, 120));
        }
        flood.schedule(flows);
        world.runFor(120);
        double ofA = 0;
        List<Double> ofClasses = new ArrayList<>();
        for (int i = 0; i < classes; i++) {
            ofClasses.add((double) flood.statistics("a", "l" + i).accepted);
            ofA += flood.statistics("a", "l" + i).accepted / weight;
        }
        double fairness = jain(List.of(ofA, (double) flood.statistics("b", "l").accepted));
        assertTrue(fairness > 0.95, "between teams " + fairness);
        assertTrue(jain(ofClasses) > 0.95, "between classes " + ofClasses);
    }

    private static double jain(List<Double> values) {
        double sum = values.stream().mapToDouble(Double::doubleValue).sum();
        double squares = values.stream().mapToDouble(value -> value * value).sum();
        return sum * sum / (values.size() * squares);
    }

    /** The same submission at every controller in the same instant: one is created, and all say the same of it. */
    @Test
    void theSameSubmissionAtAllControllersIsDecidedOnce() {
        SimulatedCluster world = LoadGenerator.startCluster(5, LoadGenerator.operatorsWithAdmission(), "a");
        LoadGenerator flood = new LoadGenerator(world, 3);
        flood.schedule(List.of(LoadPhase.of("a", "l", 60, 0, 60)));
        world.runFor(20);
        Map<String, Object> queue = Map.of("crew", "a", "lane", "l");
        int deferred = 0;
        int accepted = 0;
        for (int number = 900_000; number < 900_060; number++) {
            List<UserResponse> answers = new ArrayList<>();
            String job = jobId(number);
            for (SimulatedCluster.ControllerProcess node : world.controllers) {
                byte[] body = node.buildSubmission(job, 1, false, queue);
                node.askAsync(
                        "submission",
                        job,
                        r -> node.users.submit(body, r),
                        a -> answers.add((UserResponse) a.get("answer")));
            }
            world.runFor(0.3);
            assertEquals(world.controllers.size(), answers.size(), "answered at once");
            answers.removeIf(answer -> answer instanceof UserResponse.Unavailable); // says nothing of the job
            Set<Object> kinds = new HashSet<>();
            int created = 0;
            for (UserResponse answer : answers) {
                created += answer instanceof UserResponse.Accepted ? 1 : 0;
                kinds.add(answer instanceof UserResponse.Deferred ? answer : "accepted");
            }
            assertEquals(1, kinds.size(), answers.toString());
            accepted += created;
            deferred += created == 0 ? 1 : 0;
            assertTrue(created <= 1, answers.toString());
        }
        assertTrue(deferred > 20, "deferred " + deferred);
        assertEquals(List.of(), world.violations());
        assertTrue(accepted > 0 || deferred == 60);
    }

    /** A deferred submission leaves nothing behind: cancelling it is 404, and what it is repeated with is judged anew. */
    @Test
    void aDeferredSubmissionIsNotKnown() {
        SimulatedCluster world = LoadGenerator.startCluster(3, LoadGenerator.operatorsWithAdmission(), "a", "b");
        LoadGenerator flood = new LoadGenerator(world, 4);
        flood.schedule(List.of(LoadPhase.of("a", "l", 60, 0, 60)));
        world.runFor(20);
        SimulatedCluster.ControllerProcess node = world.controllers.get(0);
        Map<String, Object> flooded = Map.of("crew", "a", "lane", "l");
        String job = jobId(900_000);
        for (int number = 900_001; !deferred(node.submit(job, 1, false, flooded)); number++) {
            job = jobId(number);
        }
        assertEquals(404, node.cancel(job).get("code"));
        assertEquals(404, node.poll(job).get("code"));
        assertTrue(deferred(world.controllers.get(1).submit(job, 1, false, flooded)), "early, elsewhere");
        assertEquals(400, node.submit(job, 0, false, flooded).get("code"));
        assertEquals(
                422,
                node.submit(job, 1, false, Map.of("crew", "nobody", "lane", "l"))
                        .get("code"));
        assertEquals(
                201,
                node.submit(job, 1, false, Map.of("crew", "b", "lane", "l")).get("code"),
                "of a quiet team");
        assertEquals(200, world.controllers.get(2).cancel(job).get("code"));
        assertEquals(List.of(), world.violations());
    }

    private static boolean deferred(Map<String, Object> answer) {
        return answer.get("answer") instanceof UserResponse.Deferred;
    }
}
