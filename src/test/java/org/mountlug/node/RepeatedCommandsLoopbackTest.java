package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.mountlug.node.FaultTestSteps.jobId;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.mountlug.core.model.Team;
import org.mountlug.settings.OperatorSettings;
import org.mountlug.settings.Settings;

/** Three controllers on loopback sockets, of whose executed direct commands copies reach the workers. Speed is not asserted. */
class RepeatedCommandsLoopbackTest {
    private static final int MACHINES = 6;
    private static final int JOBS = 4;
    private static final int TASKS = 8;
    private static final double TIMEOUT_S = 60;
    private static final double LAST_COPY_DELAY_S = 9;

    @Test
    void copiesOfExecutedStartsStartNoAttemptAgain() throws IOException, Settings.InvalidSettingException {
        OperatorSettings operators = OperatorSettings.defaults();
        SimulatedCluster simulation =
                new SimulatedCluster(0, List.of(new Team("t", 0, 0, 0, 0, 1)), 10, false, 8, 8, operators);
        simulation.cloud.zonesRefusingRentals.add("a");
        simulation.taskDurationS = 2;
        simulation.commandNetwork.repeatDelaysS = () -> List.of(0.5, 5.0, LAST_COPY_DELAY_S);
        try (LoopbackCluster cluster = new LoopbackCluster(simulation, operators, 3)) {
            synchronized (simulation) {
                for (int i = 0; i < MACHINES; i++) {
                    cluster.openCommandEndpoint(simulation.addMachine("a"));
                }
            }
            for (int job = 1; job <= JOBS; job++) {
                assertTrue(cluster.submitUntilAccepted(jobId(job), TASKS, Map.of()));
                cluster.waitUntil(2, () -> false);
            }
            assertTrue(cluster.waitUntil(TIMEOUT_S, () -> simulation.startLog.size() >= JOBS * TASKS));
            cluster.waitUntil(LAST_COPY_DELAY_S + 4, () -> false);
            synchronized (simulation) {
                assertTrue(simulation.commandNetwork.repeatedCalls > 0, "starts were sent directly");
                assertEquals(List.of(), simulation.violations());
            }
        }
    }
}
