package org.mountlug.node;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.mountlug.agent.WorkerCodec;
import org.mountlug.core.model.AttemptState;
import org.mountlug.core.model.Report;
import org.mountlug.wire.Cbor;

/**
 * Sends the reports of simulated workers as the protocol has it, one at a time: at intervals that vary, and at each change of
 * the tasks or the token, but no more often than every half second. Counts the messages, their sizes and the processor time
 * that the leader spends on them.
 */
final class ChangeDrivenReports {
    private static final double REPORT_INTERVAL_S = 2;
    private static final double MIN_REPORT_GAP_S = 0.5;
    private static final double LATENCY_S = 0.002;
    private static final double STEP_S = 0.1;

    private final SimulatedCluster cluster;
    private final SplittableRandom random = new SplittableRandom(1);
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    long reports;
    long bytes;
    /** Seconds from the exit of each attempt until the worker had forgotten it. */
    final List<Double> forgetDelaysS = new ArrayList<>();
    /** Nanoseconds of processor time of the leader: its responses to reports and its ticks. */
    long leaderCpuNs;

    /** Replaces the way in which the cluster's workers report. */
    ChangeDrivenReports(SimulatedCluster cluster) {
        this.cluster = cluster;
        cluster.reportSender = worker -> new Loop(worker).begin();
        cluster.tickRunner = this::measure;
    }

    private void measure(Runnable action) {
        long startNs = threads.getCurrentThreadCpuTime();
        action.run();
        leaderCpuNs += threads.getCurrentThreadCpuTime() - startNs;
    }

    /** The reports of one worker. */
    private final class Loop {
        private final SimulatedWorker worker;
        private boolean inFlight;
        private double sentAtS = Double.NEGATIVE_INFINITY;
        private double nextRegularS;
        private int reportedState;
        private long reportedToken;
        private double tokenReportedAtS = Double.NEGATIVE_INFINITY;
        private final Map<SimulatedTask, Double> exitedAtS = new HashMap<>();

        Loop(SimulatedWorker worker) {
            this.worker = worker;
        }

        void begin() {
            if (worker.reportLoopStarted) {
                return;
            }
            worker.reportLoopStarted = true;
            cluster.schedule(random.nextDouble() * STEP_S, this::step);
        }

        private void step() {
            if (worker.terminated) {
                return;
            }
            if (!inFlight
                    && (cluster.nowS >= nextRegularS || hasChanged() && cluster.nowS >= sentAtS + MIN_REPORT_GAP_S)) {
                send();
            }
            recordForgotten();
            cluster.schedule(STEP_S, this::step);
        }

        private void recordForgotten() {
            for (SimulatedTask task : worker.tasks.values()) {
                if (task.state == AttemptState.EXITED) {
                    exitedAtS.putIfAbsent(task, cluster.nowS);
                }
            }
            exitedAtS.entrySet().removeIf(exited -> {
                boolean forgotten = !worker.tasks.containsValue(exited.getKey());
                if (forgotten) {
                    forgetDelaysS.add(cluster.nowS - exited.getValue());
                }
                return forgotten;
            });
        }

        private boolean hasChanged() {
            boolean tokenCounts = cluster.nowS >= tokenReportedAtS + cluster.workerLeaseS / 2;
            return taskState() != reportedState || tokenCounts && worker.token != reportedToken;
        }

        private int taskState() {
            int state = 0;
            for (SimulatedTask task : worker.tasks.values()) {
                state += 31 * System.identityHashCode(task) + task.state.hashCode();
            }
            return state;
        }

        private void send() {
            inFlight = true;
            sentAtS = cluster.nowS;
            nextRegularS = cluster.nowS + REPORT_INTERVAL_S * (0.75 + 0.5 * random.nextDouble());
            reportedState = taskState();
            if (worker.token != reportedToken) {
                reportedToken = worker.token;
                tokenReportedAtS = cluster.nowS;
            }
            Report report = worker.createReport();
            reports++;
            bytes += Cbor.write(worker.reportMessage(report)).length;
            cluster.schedule(LATENCY_S, () -> deliver(report));
        }

        private void deliver(Report report) {
            SimulatedCluster.ControllerProcess leader = cluster.leader();
            Controller.ReportResponse[] response = new Controller.ReportResponse[1];
            if (leader != null) {
                measure(() -> response[0] = leader.controller.handleReport(report));
            }
            if (response[0] instanceof Controller.ReportResponse.Commands commands) {
                bytes += Cbor.write(WorkerCodec.writeReportResponse(commands.token(), commands.commands())).length;
            }
            double reportSentAtS = sentAtS;
            cluster.schedule(LATENCY_S, () -> {
                inFlight = false;
                worker.handleReportResponse(response[0], reportSentAtS, report.session());
            });
        }
    }
}
