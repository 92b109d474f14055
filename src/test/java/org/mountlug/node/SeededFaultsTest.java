package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.mountlug.core.model.Team;
import org.mountlug.core.zone.ZoneSettings;
import org.mountlug.settings.OperatorSettings;

/**
 * Runs a load with two to four randomly drawn faults that overlap, with all checks of the simulated cluster. A failing seed is
 * run again with {@code -Dmountlug.seeds=SEED..SEED}, and gets a test of its own once its cause is known.
 */
class SeededFaultsTest {
    /** Most seconds by which the machine list lags: twice the lag in the controllers' settings. */
    private static final double MAX_LIST_LAG_S = 20;
    /** The range of seeds without {@code -Dmountlug.seeds}. */
    private static final String DEFAULT_SEEDS = "1..60";

    static LongStream seeds() {
        String[] range = System.getProperty("mountlug.seeds", DEFAULT_SEEDS).split("\\.\\.");
        return LongStream.rangeClosed(Long.parseLong(range[0]), Long.parseLong(range[range.length - 1]));
    }

    @ParameterizedTest(name = "seed {0}")
    @MethodSource("seeds")
    void overlappingFaultsCauseNoViolation(long seed) {
        runSeed(seed, FirstFault.ORIGINAL);
    }

    /** The first fault is a newer one: a long pause, partial partition, slow boots, polls, failing jobs, a best-effort team. */
    @ParameterizedTest(name = "seed {0}")
    @MethodSource("seeds")
    void overlappingFaultsWithANewerOneCauseNoViolation(long seed) {
        runSeed(seed, FirstFault.NEWER);
    }

    /** The cloud takes most machines back while its list lags; zones are tracked, and any other fault may follow. */
    @ParameterizedTest(name = "seed {0}")
    @MethodSource("seeds")
    void overlappingFaultsWithMachinesTakenCauseNoViolation(long seed) {
        runSeed(seed, FirstFault.MACHINES_TAKEN);
    }

    /** Direct commands arrive again after they were executed, and any other fault may follow. */
    @ParameterizedTest(name = "seed {0}")
    @MethodSource("seeds")
    void overlappingFaultsWithRepeatedCommandsCauseNoViolation(long seed) {
        runSeed(seed, FirstFault.COMMANDS_REPEATED);
    }

    /** The kind of the first fault; only original faults follow an original one, and others follow the rest. */
    private enum FirstFault {
        ORIGINAL,
        NEWER,
        MACHINES_TAKEN,
        COMMANDS_REPEATED
    }

    private static InjectedFault drawFault(SplittableRandom random, FirstFault firstFault, boolean first) {
        if (first && firstFault == FirstFault.MACHINES_TAKEN) {
            return InjectedFault.MACHINES_TAKEN;
        }
        if (first && firstFault == FirstFault.COMMANDS_REPEATED) {
            return InjectedFault.COMMANDS_REPEATED;
        }
        int from = first && firstFault == FirstFault.NEWER ? InjectedFault.ORIGINAL_COUNT : 0;
        int to =
                switch (firstFault) {
                    case ORIGINAL -> InjectedFault.ORIGINAL_COUNT;
                    case NEWER -> InjectedFault.NEWER_COUNT;
                    case MACHINES_TAKEN -> InjectedFault.MACHINES_TAKEN_COUNT;
                    case COMMANDS_REPEATED -> InjectedFault.values().length;
                };
        return InjectedFault.values()[from + random.nextInt(to - from)];
    }

    private static void runSeed(long seed, FirstFault firstFault) {
        ZoneSettings zones =
                firstFault == FirstFault.MACHINES_TAKEN ? ZoneSettings.defaults() : ZoneSettings.disabled();
        SplittableRandom random = new SplittableRandom(seed);
        SimulatedCluster cluster = new SimulatedCluster(
                random.nextBoolean() ? 3 : 5,
                List.of(new Team("t", 0, 40, 0, 0, 1), new Team("u", 8, 16, 0, 0, 1), new Team("guest", 0, 0, 0, 0, 1)),
                random.nextBoolean() ? 10 : 16,
                false,
                8,
                8,
                OperatorSettings.defaults().withZones(zones));
        cluster.cloud.zones = random.nextBoolean() ? List.of("a") : List.of("a", "b");
        cluster.machineBootS = 0.5 + random.nextDouble() * 3;
        cluster.cloud.listLagS = random.nextDouble() * 15;
        if (firstFault == FirstFault.MACHINES_TAKEN) {
            cluster.cloud.listLagSpreadS = MAX_LIST_LAG_S - cluster.cloud.listLagS;
        }
        cluster.cloud.capacity = 16 + random.nextInt(20);
        cluster.taskDurationS = 4 + random.nextInt(40);
        cluster.runFor(5);
        // Jobs are submitted all the time, and some of them are cancelled soon.
        double spanS = 50;
        for (int i = 1; i <= 26; i++) {
            String id = String.format("wk-%06d", i);
            int jobVariant = random.nextInt(8);
            int tasks = 1 + random.nextInt(jobVariant == 0 ? 2 : 7);
            double atS = i <= 6 ? i * 0.2 : random.nextDouble() * spanS;
            Map<String, Object> extraFields = jobVariant == 0
                    ? Map.of("shape", "daemon")
                    : jobVariant == 1
                            ? Map.of("crew", "u")
                            : jobVariant == 2
                                    ? Map.of("site", "a")
                                    : jobVariant == 3 ? Map.of("oneZone", true) : Map.of();
            SimulatedCluster.ControllerProcess process =
                    cluster.controllers.get(random.nextInt(cluster.controllers.size()));
            for (double retryDelayS = 0; retryDelayS < 12; retryDelayS += 3) {
                cluster.schedule(atS + retryDelayS, () -> {
                    if (!cluster.acceptedJobs().contains(id)) {
                        process.submitAsync(id, tasks, jobVariant == 4 || jobVariant == 5, extraFields);
                    }
                });
            }
            if (random.nextInt(3) == 0) {
                InjectedFault.scheduleCancellation(
                        cluster, id, atS + random.nextDouble() * 14, random.nextInt(cluster.controllers.size()));
            }
        }
        int faultCount = 2 + random.nextInt(3);
        double atS = 6 + random.nextDouble() * 10;
        StringBuilder description = new StringBuilder();
        double lastEndS = 0;
        for (int i = 0; i < faultCount; i++) {
            InjectedFault fault = drawFault(random, firstFault, i == 0);
            double durationS =
                    switch (random.nextInt(4)) {
                        case 0 -> 0.1 + random.nextDouble() * 2;
                        case 1 -> 3 + random.nextDouble() * 5;
                        case 2 -> 9 + random.nextDouble() * 4;
                        default -> 15 + random.nextDouble() * 35;
                    };
            long faultSeed = random.nextLong();
            double startS = atS;
            cluster.schedule(
                    startS,
                    () -> fault.inject(
                            InjectedFault.FaultContext.of(cluster, durationS, new SplittableRandom(faultSeed))));
            description.append(String.format("%s at %.2f for %.2f; ", fault, atS, durationS));
            lastEndS = Math.max(lastEndS, atS + fault.durationS(durationS));
            // The next fault begins before this one ends, sometimes within milliseconds.
            atS += random.nextInt(3) == 0 ? random.nextDouble() * 0.02 : random.nextDouble() * Math.min(durationS, 14);
        }
        cluster.runFor(Math.max(spanS + 15, lastEndS + 3));
        cluster.taskDurationS = 5;
        for (String id : cluster.acceptedJobs()) {
            if (cluster.services.contains(id) || cluster.failingJobs.contains(id)) {
                InjectedFault.scheduleCancellation(cluster, id, 60, 0);
            }
        }
        cluster.runUntilSettled(260);
        assertEquals(List.of(), cluster.violations(), () -> "seed " + seed + ": " + description);
    }
}
