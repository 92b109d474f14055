package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.mountlug.node.FaultTestSteps.jobId;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.mountlug.core.zone.ZoneSettings;
import org.mountlug.core.zone.ZoneState;
import org.mountlug.core.zone.ZoneStatus;

/**
 * Runs generated sequences of zone isolations, returns, leader restarts, outages, submissions and cancellations against whole
 * controllers in memory. The seed is fixed; a failure prints the seed that repeats it with {@code @Property(seed = ...)}.
 */
class ZonePropertiesTest {
    /** Seconds after the last step within which all jobs must settle. */
    private static final double SETTLE_S = 400;

    /**
     * An event of a sequence.
     *
     * @param index selects the zone, job or controller that the event affects
     * @param delayAfterS seconds until the next event
     */
    record Step(Event event, int index, int delayAfterS) {}

    enum Event {
        ISOLATE,
        ISOLATE_PART,
        REJOIN,
        RESTART_LEADER,
        STATE_SERVICE_OUTAGE,
        STATE_SERVICE_RECOVERY,
        SUBMIT,
        CANCEL,
        REFUSE_RENTALS
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        return Combinators.combine(
                        Arbitraries.of(Event.class),
                        Arbitraries.integers().between(0, 2),
                        Arbitraries.integers().between(1, 20))
                .as(Step::new)
                .list()
                .ofMinSize(3)
                .ofMaxSize(14);
    }

    /** A cluster with running jobs, to which the steps of a sequence are applied. */
    private static final class ScenarioRun {
        private final ZoneScenario scenario = new ZoneScenario(3, 5, ZoneSettings.defaults());
        private final SimulatedCluster cluster = scenario.cluster;
        private final Map<String, Integer> peakMachines = new HashMap<>();
        private int lastJobNumber = 3;

        ScenarioRun() {
            cluster.cloud.capacity = 24;
            cluster.cloud.zoneCapacity.clear();
            cluster.taskDurationS = 15;
            scenario.submitArray(1, "proofs", "high", 12);
            scenario.submitArray(2, "parts", "standard", 40);
            scenario.submitArray(3, "parts", "standard", 40);
            cluster.runFor(8);
        }

        void apply(Step step) {
            String zone = ZoneScenario.ZONES.get(step.index);
            switch (step.event) {
                case ISOLATE -> scenario.isolate(zone);
                case ISOLATE_PART -> scenario.isolate(zone, 0.6);
                case REJOIN -> scenario.rejoin(zone);
                case RESTART_LEADER -> {
                    if (cluster.leader() != null) {
                        cluster.leader().restartAfter(1 + step.index);
                    }
                }
                case STATE_SERVICE_OUTAGE -> cluster.stateService.outage = true;
                case STATE_SERVICE_RECOVERY -> endOutage();
                case SUBMIT -> {
                    lastJobNumber++;
                    cluster.controllers
                            .get(step.index)
                            .submitAsync(jobId(lastJobNumber), 3 + 5 * step.index, false, Map.of());
                }
                case CANCEL -> {
                    String job = jobId(1 + step.index);
                    SimulatedCluster.ControllerProcess process = cluster.controllers.get(step.index);
                    process.requestAsync("abort", job, reply -> process.users.cancel(job, reply), null);
                }
                case REFUSE_RENTALS -> cluster.cloud.zonesRefusingRentals.add(zone);
                default -> throw new IllegalStateException();
            }
            for (int second = 0; second < step.delayAfterS; second++) {
                cluster.runFor(1);
                checkRamps();
            }
        }

        /**
         * Checks that no returning zone's window exceeds the most machines that the zone has had. The leader bounds the window
         * by the machines of its last tick, which an outage may have delayed; the exact bound is tested with the ramp alone.
         */
        private void checkRamps() {
            for (String zone : ZoneScenario.ZONES) {
                int peak = peakMachines.merge(zone, scenario.workersIn(zone).size(), Math::max);
                ZoneStatus status = scenario.status(zone);
                if (status.state() == ZoneState.RETURNING) {
                    assertTrue(status.window() <= Math.max(1, peak), zone + " has a window of " + status.window());
                }
            }
        }

        private void endOutage() {
            if (cluster.stateService.outage) {
                cluster.stateService.recover();
            }
        }

        void settle() {
            endOutage();
            ZoneScenario.ZONES.forEach(scenario::rejoin);
            cluster.cloud.zonesRefusingRentals.clear();
            cluster.taskDurationS = 4;
            cluster.runUntilSettled(SETTLE_S);
        }
    }

    @Property(tries = 40, seed = "20261202")
    void noJobIsLostAndNoTaskRunsTwice(@ForAll("steps") List<Step> steps) {
        ScenarioRun run = new ScenarioRun();
        steps.forEach(run::apply);
        run.settle();
        assertEquals(List.of(), run.cluster.violations());
    }
}
