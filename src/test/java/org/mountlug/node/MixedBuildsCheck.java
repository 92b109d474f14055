package org.mountlug.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.mountlug.node.FaultTestSteps.jobId;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.mountlug.core.model.AttemptState;
import org.mountlug.core.model.Team;
import org.mountlug.settings.Settings;

/**
 * Controllers of two builds, each in a process of its own, use one state service: what one build writes or sends, the other one
 * must read. Needs two jars with their {@code lib} folders and therefore runs only when it is named:
 * {@code mvn test -Dtest=MixedBuildsCheck -Dmountlug.other.jar=FILE [-Dmountlug.this.jar=FILE]}.
 */
class MixedBuildsCheck {
    private static final String OTHER_JAR_PROPERTY = "mountlug.other.jar";
    private static final String THIS_JAR_PROPERTY = "mountlug.this.jar";
    private static final String DEFAULT_THIS_JAR = "target/mountlug.jar";
    /** Keeps idle machines for the whole scenario, as the fake cloud rents out no others. */
    private static final String OPERATOR_SETTINGS = """
            machines: {idle_keep_s: 600}
            zones: {enabled: true}
            """;

    private static final int CONTROLLERS = 3;
    private static final int MACHINES_PER_ZONE = 4;
    /**
     * Longer than the time without a leader, so that workers keep their tasks, and shorter than the settings' {@code cancel_s}
     * of 30 s: a leader renews no worker lease that could outlast the deadline of a cancellation.
     */
    private static final double WORKER_LEASE_S = 22;

    private static final int SCENARIO_TIMEOUT_S = 60;
    private static final double STEP_TIMEOUT_S = 25;
    private static final double POLL_INTERVAL_S = 0.2;
    private static final int STOP_TIMEOUT_S = 5;
    private static final int LOG_TAIL_LINES = 40;
    private static final double SHORT_TASK_S = 1;
    /** Outlasts every scenario; tasks end when the simulation's duration is set to {@link #SHORT_TASK_S}. */
    private static final double LONG_TASK_S = 1000;

    private static final int ARRAY_TASKS = 12;
    private static final int GANG_TASKS = 4;
    private static final int REPLICAS = 2;

    private enum Scenario {
        ALL_CONTROLLERS_RESTARTED_WITH_THIS_BUILD,
        OTHER_BUILD_LEADS,
        OTHER_BUILD_TAKES_OVER
    }

    /** A jar that controllers are started from; the name appears in the names of log files. */
    private record Build(String name, Path jar) {}

    private final Build otherBuild = new Build("other", jar(System.getProperty(OTHER_JAR_PROPERTY)));
    private final Build thisBuild = new Build("this", jar(System.getProperty(THIS_JAR_PROPERTY, DEFAULT_THIS_JAR)));
    private final SimulatedCluster simulation =
            new SimulatedCluster(0, List.of(new Team("t", 0, 0, 0, 0, 1)), WORKER_LEASE_S);
    private final List<ControllerJvm> controllers = new ArrayList<>();
    private LoopbackCluster cluster;

    private static Path jar(String file) {
        assertNotNull(file, "name the jar of the other build with -D" + OTHER_JAR_PROPERTY + "=FILE");
        Path jar = Path.of(file).toAbsolutePath();
        assertTrue(Files.isRegularFile(jar), "the jar " + jar + " does not exist");
        return jar;
    }

    @ParameterizedTest(name = "{0}")
    @EnumSource
    @Timeout(SCENARIO_TIMEOUT_S)
    void controllersOfTwoBuildsShareAStateService(Scenario scenario)
            throws IOException, Settings.InvalidSettingException {
        boolean passed = false;
        try (LoopbackCluster opened = LoopbackCluster.withoutControllers(simulation, CONTROLLERS)) {
            cluster = opened;
            try {
                addMachines();
                switch (scenario) {
                    case ALL_CONTROLLERS_RESTARTED_WITH_THIS_BUILD -> restartAllControllersWithThisBuild();
                    case OTHER_BUILD_LEADS -> runUnderALeaderOfTheOtherBuild();
                    case OTHER_BUILD_TAKES_OVER -> letTheOtherBuildTakeOver();
                }
                assertNoViolationsAndNoCrash();
                passed = true;
            } finally {
                if (!passed) {
                    Thread.interrupted(); // set after a timeout; files cannot be read while it is set
                    printLogTails();
                }
            }
        }
    }

    // ---- scenarios ----------------------------------------------------------------------------------------------

    /** All controllers end while jobs run, and controllers of this build continue from the state that they find. */
    private void restartAllControllersWithThisBuild() throws IOException, Settings.InvalidSettingException {
        String doneJob = jobId(1);
        String cancelledJob = jobId(2);
        String array = jobId(3);
        String gang = jobId(4);
        String service = jobId(5);
        for (int controller = 0; controller < CONTROLLERS; controller++) {
            start(controller, otherBuild);
        }
        awaitLeader(0, 1, 2);
        setTaskDuration(SHORT_TASK_S);
        submitArray(0, doneJob);
        awaitStatus(1, doneJob, "done");
        setTaskDuration(LONG_TASK_S);
        submitArray(1, cancelledJob);
        awaitAllTasksRunning(cancelledJob, ARRAY_TASKS);
        submitArray(0, array);
        submitGang(1, gang);
        submitService(2, service);
        awaitAllTasksRunning(array, ARRAY_TASKS);
        awaitAllTasksRunning(gang, GANG_TASKS);
        awaitAllTasksRunning(service, REPLICAS);
        cancel(2, cancelledJob); // last, so that its record may still be live when the controllers end

        for (int controller = 0; controller < CONTROLLERS; controller++) {
            cluster.stopController(controller);
        }
        for (int controller = 0; controller < CONTROLLERS; controller++) {
            start(controller, thisBuild);
        }
        awaitLeader(0, 1, 2);
        for (int controller = 0; controller < CONTROLLERS; controller++) {
            awaitStatus(controller, doneJob, "done");
            awaitStatus(controller, cancelledJob, "withdrawn");
            for (String job : List.of(array, gang, service)) {
                awaitStatus(controller, job, "running");
            }
        }
        setTaskDuration(SHORT_TASK_S);
        for (int controller = 0; controller < CONTROLLERS; controller++) {
            awaitStatus(controller, array, "done");
            awaitStatus(controller, gang, "done");
            awaitStatus(controller, service, "running");
        }
        assertStartedOnce(doneJob, ARRAY_TASKS);
        assertStartedOnce(array, ARRAY_TASKS);
        assertStartedOnce(gang, GANG_TASKS);
        assertStartedOnce(service, REPLICAS);
        cancel(0, service);
        awaitStatus(1, service, "withdrawn");
        awaitStopped(cancelledJob);
        awaitStopped(service);
    }

    /** The leader is of the other build; users and workers reach controllers of both builds. */
    private void runUnderALeaderOfTheOtherBuild() throws IOException, Settings.InvalidSettingException {
        start(0, otherBuild);
        awaitLeader(0);
        start(1, thisBuild);
        start(2, thisBuild);
        setTaskDuration(SHORT_TASK_S);
        submitArray(0, jobId(1));
        submitArray(1, jobId(2));
        submitGang(2, jobId(3));
        submitGang(0, jobId(4));
        awaitStatus(1, jobId(1), "done");
        awaitStatus(0, jobId(2), "done");
        awaitStatus(0, jobId(3), "done");
        awaitStatus(2, jobId(4), "done");
        submitService(0, jobId(5));
        submitService(2, jobId(6));
        awaitAllTasksRunning(jobId(5), REPLICAS);
        awaitAllTasksRunning(jobId(6), REPLICAS);
        cancel(1, jobId(5));
        awaitStatus(0, jobId(5), "withdrawn");
        cancel(0, jobId(6));
        awaitStatus(1, jobId(6), "withdrawn");
        awaitStopped(jobId(5));
        awaitStopped(jobId(6));
        assertTrue(cluster.isLeading(0), "the controller of the other build leads to the end");
        assertFalse(cluster.isLeading(1) || cluster.isLeading(2), "a controller of this build leads as well");
    }

    /** The leader of this build ends while jobs run, one of the other build takes over, and the first one comes back. */
    private void letTheOtherBuildTakeOver() throws IOException, Settings.InvalidSettingException {
        String array = jobId(1);
        String gang = jobId(2);
        String service = jobId(3);
        String cancelledJob = jobId(4);
        String laterJob = jobId(5);
        String lastJob = jobId(6);
        start(0, thisBuild);
        awaitLeader(0);
        start(1, otherBuild);
        start(2, otherBuild);
        setTaskDuration(LONG_TASK_S);
        submitArray(0, array);
        submitGang(1, gang);
        submitService(2, service);
        submitArray(1, cancelledJob);
        awaitAllTasksRunning(array, ARRAY_TASKS);
        awaitAllTasksRunning(gang, GANG_TASKS);
        awaitAllTasksRunning(service, REPLICAS);
        awaitAllTasksRunning(cancelledJob, ARRAY_TASKS);
        assertTrue(cluster.isLeading(0), "the controller of this build leads until it ends");
        cancel(0, cancelledJob);
        awaitStatus(1, cancelledJob, "withdrawn");

        cluster.stopController(0);
        awaitLeader(1, 2);
        for (int controller = 1; controller < CONTROLLERS; controller++) {
            for (String job : List.of(array, gang, service)) {
                awaitStatus(controller, job, "running");
            }
            awaitStatus(controller, cancelledJob, "withdrawn");
        }
        setTaskDuration(SHORT_TASK_S);
        submitArray(1, laterJob);
        for (String job : List.of(array, gang, laterJob)) {
            awaitStatus(1, job, "done");
            awaitStatus(2, job, "done");
        }

        start(0, thisBuild);
        for (String job : List.of(array, gang, laterJob)) {
            awaitStatus(0, job, "done");
        }
        awaitStatus(0, cancelledJob, "withdrawn");
        awaitStatus(0, service, "running");
        submitArray(0, lastJob);
        awaitStatus(2, lastJob, "done");
        cancel(0, service);
        awaitStatus(2, service, "withdrawn");
        awaitStopped(service);
        awaitStopped(cancelledJob);
        assertStartedOnce(array, ARRAY_TASKS);
        assertStartedOnce(gang, GANG_TASKS);
        assertStartedOnce(service, REPLICAS);
        assertStartedOnce(laterJob, ARRAY_TASKS);
        assertStartedOnce(lastJob, ARRAY_TASKS);
        assertFalse(cluster.isLeading(0), "a controller that comes back follows");
    }

    // ---- steps --------------------------------------------------------------------------------------------------

    private void addMachines() throws IOException {
        synchronized (simulation) {
            simulation.cloud.zones = List.copyOf(ZoneScenario.ZONES);
            simulation.cloud.zonesRefusingRentals.addAll(ZoneScenario.ZONES);
            for (int i = 0; i < MACHINES_PER_ZONE; i++) {
                for (String zone : ZoneScenario.ZONES) {
                    cluster.openCommandEndpoint(simulation.addMachine(zone));
                }
            }
        }
    }

    private void setTaskDuration(double durationS) {
        synchronized (simulation) {
            simulation.taskDurationS = durationS;
        }
    }

    private void submitArray(int controller, String jobId) {
        submit(controller, jobId, ARRAY_TASKS, false, Map.of());
    }

    private void submitGang(int controller, String jobId) {
        submit(controller, jobId, GANG_TASKS, true, Map.of());
    }

    private void submitService(int controller, String jobId) {
        submit(controller, jobId, REPLICAS, false, Map.of("shape", "daemon"));
    }

    /** Submits a job to this controller only, until the controller accepts the job; it may have been started just now. */
    private void submit(int controller, String jobId, int tasks, boolean gang, Map<String, Object> extraFields) {
        awaitCondition("controller " + controller + " accepts " + jobId, () -> {
            int code = cluster.submitOnce(controller, jobId, tasks, gang, extraFields);
            return code == 200 || code == 201;
        });
    }

    private void cancel(int controller, String jobId) {
        awaitCondition(
                "controller " + controller + " cancels " + jobId,
                () -> "withdrawn".equals(cluster.cancel(controller, jobId)));
    }

    private void awaitStatus(int controller, String jobId, String status) {
        awaitCondition(
                "controller " + controller + " answers that " + jobId + " is " + status,
                () -> status.equals(cluster.pollStatus(controller, jobId)));
    }

    private void awaitLeader(int... candidates) {
        awaitCondition("one of the controllers " + Arrays.toString(candidates) + " leads", () -> {
            for (int candidate : candidates) {
                if (cluster.isLeading(candidate)) {
                    return true;
                }
            }
            return false;
        });
    }

    private void awaitAllTasksRunning(String jobId, int tasks) {
        awaitCondition(tasks + " tasks of " + jobId + " run", () -> {
            synchronized (simulation) {
                return activeTasks(jobId).stream()
                                .filter(task -> task.state == AttemptState.RUNNING)
                                .count()
                        == tasks;
            }
        });
    }

    private void awaitStopped(String jobId) {
        awaitCondition("no task of " + jobId + " runs", () -> {
            synchronized (simulation) {
                return activeTasks(jobId).isEmpty();
            }
        });
    }

    private List<SimulatedTask> activeTasks(String jobId) {
        return simulation.workers.values().stream()
                .flatMap(worker -> worker.activeTasks().stream())
                .filter(task -> task.jobId.equals(jobId))
                .toList();
    }

    private void awaitCondition(String description, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + (long) (STEP_TIMEOUT_S * 1e9);
        while (!condition.getAsBoolean()) {
            assertFalse(Thread.currentThread().isInterrupted(), () -> "interrupted by the timeout: " + description);
            assertTrue(System.nanoTime() < deadlineNanos, () -> "not within " + STEP_TIMEOUT_S + " s: " + description);
            cluster.waitUntil(POLL_INTERVAL_S, () -> false);
        }
    }

    /** A second start of a task would show that a controller lost an attempt that its worker still ran. */
    private void assertStartedOnce(String jobId, int tasks) {
        synchronized (simulation) {
            assertEquals(tasks, simulation.startsByJob.get(jobId), "starts of " + jobId);
        }
    }

    private void assertNoViolationsAndNoCrash() {
        synchronized (simulation) {
            assertEquals(List.of(), simulation.violations());
        }
        for (ControllerJvm controller : controllers) {
            assertTrue(
                    controller.stopped || controller.process.isAlive(), "the process ended early: " + controller.log);
        }
    }

    // ---- processes ----------------------------------------------------------------------------------------------

    private void start(int controller, Build build) throws IOException, Settings.InvalidSettingException {
        cluster.startController(controller, settingsFile -> startProcess(settingsFile, build));
    }

    private LoopbackCluster.RunningController startProcess(Path settingsFile, Build build) throws IOException {
        Path operatorsFile = settingsFile.resolveSibling("operators.yaml");
        Files.writeString(operatorsFile, OPERATOR_SETTINGS);
        String label = settingsFile.getFileName().toString().replace(".toml", "");
        Path log = settingsFile.resolveSibling("%s-%d-%s.log".formatted(label, controllers.size(), build.name));
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx112m",
                        "-jar",
                        build.jar.toString(),
                        "serve",
                        "--operators",
                        operatorsFile.toString(),
                        "--config",
                        settingsFile.toString())
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
                .start();
        ControllerJvm controller = new ControllerJvm(process, log);
        controllers.add(controller);
        return controller;
    }

    private void printLogTails() throws IOException {
        for (ControllerJvm controller : controllers) {
            List<String> lines = Files.readAllLines(controller.log);
            System.err.println("---- end of " + controller.log.getFileName() + " (" + lines.size() + " lines)");
            lines.stream().skip(Math.max(0, lines.size() - LOG_TAIL_LINES)).forEach(System.err::println);
        }
    }

    private static final class ControllerJvm implements LoopbackCluster.RunningController {
        final Process process;
        final Path log;
        boolean stopped;

        ControllerJvm(Process process, Path log) {
            this.process = process;
            this.log = log;
        }

        @Override
        public void stop() {
            stopped = true;
            process.destroyForcibly();
            try {
                assertTrue(process.waitFor(STOP_TIMEOUT_S, TimeUnit.SECONDS), "the process does not end: " + log);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
