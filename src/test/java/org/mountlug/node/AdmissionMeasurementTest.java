package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.mountlug.core.admit.AdmissionGate;
import org.mountlug.core.admit.AdmissionSettings;
import org.mountlug.core.admit.AdmissionTable;
import org.mountlug.core.admit.CursorSchedule;
import org.mountlug.core.admit.QueueId;
import org.mountlug.node.LoadGenerator.LoadPhase;
import org.mountlug.settings.OperatorSettings;

/**
 * Measures a flood of one team beside a quiet one, with and without admission by shares, and prints a row for the table of
 * {@code docs/admission.md}. One row with every build, the table's by hand: {@code mvn -B test -Dtest=AdmissionMeasurementTest
 * -Dmountlug.floods=all}.
 */
class AdmissionMeasurementTest {
    private static final double FLOOD_S = 60;
    private static final double SETTLE_S = 70;

    static Stream<Arguments> floods() {
        if (!System.getProperty("mountlug.floods", "").equals("all")) {
            return Stream.of(Arguments.of(60, 3, true, true));
        }
        return Stream.of(false, true)
                .flatMap(strict -> Stream.of(false, true)
                        .flatMap(on -> Stream.concat(
                                Stream.of(5, 30, 60, 120, 300).map(perS -> Arguments.of(perS, 3, on, strict)),
                                Stream.of(60, 120).map(perS -> Arguments.of(perS, 7, on, strict)))));
    }

    @ParameterizedTest(name = "{0} a second, {1} controllers, admission {2}, refusals count {3}")
    @MethodSource("floods")
    void measure(int perS, int controllers, boolean on, boolean refusalsCount) {
        OperatorSettings operators = on ? LoadGenerator.operatorsWithAdmission() : OperatorSettings.defaults();
        SimulatedCluster world = LoadGenerator.startCluster(controllers, operators, "a", "b");
        world.stateService.refusalsConsumeLimit = refusalsCount;
        LoadGenerator flood = new LoadGenerator(world, 1);
        flood.schedule(List.of(LoadPhase.of("a", "l", perS, 0, FLOOD_S), LoadPhase.of("b", "l", 1, 0, FLOOD_S)));
        world.runFor(FLOOD_S + SETTLE_S);
        LoadGenerator.QueueStatistics flooding = flood.statistics("a", "l");
        LoadGenerator.QueueStatistics quiet = flood.statistics("b", "l");
        System.out.printf(
                "| %d | %d | %s | %s | %d of %d | %d of %d | %.1f | %d | %d | %.1f | %.1f |%n",
                perS,
                controllers,
                on ? "on" : "off",
                refusalsCount ? "count" : "do not",
                flooding.accepted,
                flooding.submitted,
                quiet.accepted,
                quiet.submitted,
                quiet.slowestAcceptanceS,
                world.stateService.rateLimitedRequests,
                world.stateService.keys("f/").size(),
                flood.longestCompletionLagS,
                flooding.requests / (double) flooding.submitted);
        if (on) {
            assertEquals(quiet.submitted, quiet.accepted, "the quiet team");
            assertEquals(List.of(), flood.violations);
        }
        measureRefusals();
    }

    /** Processor time of a refusal at the gate, printed; the parsing of its request comes on top. */
    private static void measureRefusals() {
        QueueId queue = new QueueId("a", "l");
        AdmissionGate gate = new AdmissionGate(
                AdmissionSettings.defaults(), new AdmissionGate.Deployment(Map.of("a", 1.0, "b", 1.0), 3, 25, 25));
        CursorSchedule schedule = CursorSchedule.starting(2_000_000, new long[] {500, 500, 500, 500, 500, 500});
        gate.updateTable(new AdmissionTable(2_000_000, 6, Map.of(queue, schedule)), 0);
        int refusals = 20_000;
        int longest = 0;
        long began = System.nanoTime();
        for (int i = 0; i < refusals; i++) {
            gate.decide(queue, "wk-" + (100_000 + i), 2_000_000, 0);
            longest = Math.max(longest, gate.demand().size());
        }
        System.out.printf("%.2f microseconds a refusal%n", (System.nanoTime() - began) / 1e3 / refusals);
        assertTrue(longest == 1, "nothing is kept of a refusal");
    }
}
