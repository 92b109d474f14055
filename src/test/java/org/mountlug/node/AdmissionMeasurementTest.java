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
 * Measures the overload by one team beside a team within its share, with admission control on and off, and prints rows for the
 * table of {@code docs/admission.md}. Builds run one row; the table is printed by {@code mvn -B test
 * -Dtest=AdmissionMeasurementTest -Dmountlug.floods=all}.
 */
class AdmissionMeasurementTest {
    private static final double LOAD_S = 60;
    private static final double SETTLE_S = 70;

    static Stream<Arguments> cases() {
        if (!System.getProperty("mountlug.floods", "").equals("all")) {
            return Stream.of(Arguments.of(60, 3, true, true));
        }
        return Stream.of(false, true)
                .flatMap(refusalsConsumeLimit -> Stream.of(false, true)
                        .flatMap(admissionEnabled -> Stream.concat(
                                Stream.of(5, 30, 60, 120, 300)
                                        .map(ratePerS ->
                                                Arguments.of(ratePerS, 3, admissionEnabled, refusalsConsumeLimit)),
                                Stream.of(60, 120)
                                        .map(ratePerS ->
                                                Arguments.of(ratePerS, 7, admissionEnabled, refusalsConsumeLimit)))));
    }

    @ParameterizedTest(
            name = "{0} submissions per second, {1} controllers, admission {2}, refusals consume the limit {3}")
    @MethodSource("cases")
    void measure(int ratePerS, int controllers, boolean admissionEnabled, boolean refusalsConsumeLimit) {
        OperatorSettings operators =
                admissionEnabled ? LoadGenerator.operatorsWithAdmission() : OperatorSettings.defaults();
        SimulatedCluster cluster = LoadGenerator.startCluster(controllers, operators, "a", "b");
        cluster.stateService.refusalsConsumeLimit = refusalsConsumeLimit;
        LoadGenerator load = new LoadGenerator(cluster, 1);
        load.schedule(List.of(LoadPhase.of("a", "l", ratePerS, 0, LOAD_S), LoadPhase.of("b", "l", 1, 0, LOAD_S)));
        cluster.runFor(LOAD_S + SETTLE_S);
        LoadGenerator.QueueStatistics overloaded = load.statistics("a", "l");
        LoadGenerator.QueueStatistics quiet = load.statistics("b", "l");
        System.out.printf(
                "| %d | %d | %s | %s | %d of %d | %d of %d | %.1f | %d | %d | %.1f | %.1f |%n",
                ratePerS,
                controllers,
                admissionEnabled ? "on" : "off",
                refusalsConsumeLimit ? "count" : "do not",
                overloaded.accepted,
                overloaded.submitted,
                quiet.accepted,
                quiet.submitted,
                quiet.slowestAcceptanceS,
                cluster.stateService.rateLimitedRequests,
                cluster.stateService.keys("f/").size(),
                load.longestCompletionLagS,
                overloaded.requests / (double) overloaded.submitted);
        if (admissionEnabled) {
            assertEquals(quiet.submitted, quiet.accepted, "all submissions of the team within its share are accepted");
            assertEquals(List.of(), load.violations);
        }
        measureRefusals();
    }

    /** Prints the time that the admission gate takes for a refusal, without the parsing of the request. */
    private static void measureRefusals() {
        QueueId queue = new QueueId("a", "l");
        AdmissionGate gate = new AdmissionGate(
                AdmissionSettings.defaults(), new AdmissionGate.Deployment(Map.of("a", 1.0, "b", 1.0), 3, 25, 25));
        CursorSchedule schedule = CursorSchedule.starting(2_000_000, new long[] {500, 500, 500, 500, 500, 500});
        gate.updateTable(new AdmissionTable(2_000_000, 6, Map.of(queue, schedule)), 0);
        int refusals = 20_000;
        int maxDemandEntries = 0;
        long startNs = System.nanoTime();
        for (int i = 0; i < refusals; i++) {
            gate.decide(queue, "wk-" + (100_000 + i), 2_000_000, 0);
            maxDemandEntries = Math.max(maxDemandEntries, gate.demand().size());
        }
        System.out.printf("%.2f microseconds per refusal%n", (System.nanoTime() - startNs) / 1e3 / refusals);
        assertTrue(maxDemandEntries == 1, "the gate stores nothing for a refused submission");
    }
}
