package org.mountlug.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.mountlug.api.UserResponse;
import org.mountlug.core.admit.AdmissionSettings;
import org.mountlug.core.admit.QueueId;
import org.mountlug.core.model.AttemptState;
import org.mountlug.core.model.ExitCause;
import org.mountlug.core.model.Team;
import org.mountlug.settings.OperatorSettings;

/**
 * Users who submit one-task jobs at given rates to controllers in memory, come back as they are told and give up after a minute.
 * It keeps what each was told, and notes every answer that contradicts an earlier one.
 */
final class LoadGenerator {
    static final double PATIENCE_S = 60;
    private static final double LONGEST_WAIT_S = 30;
    private static final double TIMEOUT_S = 5;
    /** Seconds after which the load balancer knows that a controller does not answer. */
    private static final double NOTICED_S = 2;

    /** Submissions of a queue, so many a second, from one time to another in seconds of the scenario. */
    record LoadPhase(QueueId queue, double ratePerS, double fromS, double untilS) {
        static LoadPhase of(String team, String jobClass, double perS, double fromS, double untilS) {
            return new LoadPhase(new QueueId(team, jobClass), perS, fromS, untilS);
        }
    }

    /** What became of a queue's submissions; waits are seconds from the first request to the acceptance. */
    static final class QueueStatistics {
        int submitted;
        int accepted;
        int acceptedAtOnce;
        int abandoned;
        int requests;
        double slowestAcceptanceS;
        double slowestProbeS;
    }

    /** One submission as its user sees it; a probe never gives up. */
    private final class Submission {
        final String id;
        final QueueId queue;
        final boolean probe;
        final double firstS = cluster.nowS;
        /** When it is back for a turn that was told as final; NaN if none was. */
        double finalTurnS = Double.NaN;

        boolean over;
        int tries;

        Submission(QueueId queue, boolean probe) {
            this.id = String.format("wk-%06d", ++submissions);
            this.queue = queue;
            this.probe = probe;
        }

        void send() {
            if (over) {
                return;
            }
            if (!probe && cluster.nowS - firstS >= PATIENCE_S) {
                over = true;
                statistics(queue).abandoned++;
                return;
            }
            SimulatedCluster.ControllerProcess node = anyNode();
            if (node == null) {
                cluster.schedule(1 + random.nextDouble(), this::send);
                return;
            }
            int mine = ++tries;
            statistics(queue).requests++;
            cluster.schedule(TIMEOUT_S, () -> {
                if (mine == tries && !over) {
                    finalTurnS = Double.NaN;
                    send(); // no answer at all
                }
            });
            byte[] body = node.buildSubmission(id, 1, false, Map.of("crew", queue.team(), "lane", queue.jobClass()));
            node.askAsync("submission", id, reply -> node.users.submit(body, reply), answer -> {
                if (answer.get("answer") instanceof UserResponse.Accepted && !created.add(id)) {
                    violations.add(id + " was created twice");
                }
                if (mine == tries && !over) {
                    answered(node, (UserResponse) answer.get("answer"));
                }
            });
        }

        private void answered(SimulatedCluster.ControllerProcess node, UserResponse answer) {
            if (answer instanceof UserResponse.Accepted || answer instanceof UserResponse.JobState) {
                accepted();
            } else if (answer instanceof UserResponse.Deferred deferred) {
                if (cluster.nowS >= finalTurnS) {
                    violations.add(id + " came back at its turn and was deferred again by " + node.label);
                }
                if (deferred.turnIsFinal()) {
                    finalTurnS = cluster.nowS + deferred.retryAfterS();
                }
                toldSeconds.merge(deferred.retryAfterS(), 1, Integer::sum);
                back(deferred.retryAfterS());
            } else if (answer instanceof UserResponse.Unavailable unavailable) {
                undecided(unavailable.retryAfterS());
            } else if (answer instanceof UserResponse.RateLimited overBudget) {
                undecided(overBudget.retryAfterS());
            } else {
                violations.add(id + " got " + answer);
            }
        }

        private void undecided(int retryAfterS) {
            undecided++;
            missedFinalTurns += cluster.nowS >= finalTurnS ? 1 : 0;
            finalTurnS = Double.NaN;
            back(retryAfterS);
        }

        private void accepted() {
            over = true;
            QueueStatistics outcome = statistics(queue);
            double waitedS = cluster.nowS - firstS;
            outcome.accepted++;
            outcome.acceptedAtOnce += tries == 1 ? 1 : 0;
            outcome.slowestAcceptanceS = Math.max(outcome.slowestAcceptanceS, probe ? 0 : waitedS);
            outcome.slowestProbeS = Math.max(outcome.slowestProbeS, probe ? waitedS : 0);
            openProbes.remove(this);
        }

        private void back(int retryAfterS) {
            tries++; // whatever the question before this may still be answered counts no more
            double waitS = honorsRetryAfter ? Math.min(LONGEST_WAIT_S, Math.max(1, retryAfterS)) : 1;
            cluster.schedule(waitS + random.nextDouble() * 0.02, this::send);
        }
    }

    final SimulatedCluster cluster;
    /** Answers that contradict earlier ones. */
    final List<String> violations = new ArrayList<>();
    /** Whether users wait for as long as they are told; otherwise they come back every second. */
    boolean honorsRetryAfter = true;

    int undecided;
    /** How many came back at a final turn and could not be taken in just then. */
    int missedFinalTurns;
    /** Seconds from the end of a task to its job's durable end, the longest, looked at twice a second. */
    double longestCompletionLagS;

    private final Map<QueueId, QueueStatistics> outcomes = new TreeMap<>();
    private final Map<Integer, Integer> toldSeconds = new TreeMap<>();
    private final Map<String, Double> endedAt = new HashMap<>();
    private final Set<String> created = new HashSet<>();
    private final Map<SimulatedCluster.ControllerProcess, Double> silentSince = new HashMap<>();
    private final List<Submission> openProbes = new ArrayList<>();
    private final SplittableRandom random;
    private int submissions;

    LoadGenerator(SimulatedCluster cluster, long seed) {
        this.cluster = cluster;
        random = new SplittableRandom(seed);
        measureLag();
    }

    /** Operators' settings with admission switched on, teams weighing alike. */
    static OperatorSettings operatorsWithAdmission() {
        return OperatorSettings.defaults().withAdmission(AdmissionSettings.defaults());
    }

    /** Controllers with these teams and the smaller site's limits of the state service, a few seconds after their start. */
    static SimulatedCluster startCluster(int controllers, OperatorSettings operators, String... teams) {
        List<Team> all = new ArrayList<>();
        for (String team : teams) {
            all.add(new Team(team, 0, 0, 0, 0, operators.teamWeight(team)));
        }
        SimulatedCluster cluster = new SimulatedCluster(controllers, all, 10, false, 8, 8, operators);
        cluster.stateService.rps = 200;
        cluster.stateService.writeRps = 25;
        cluster.taskDurationS = 2;
        cluster.runFor(8);
        cluster.stateService.rateLimitedRequests = 0;
        return cluster;
    }

    QueueStatistics statistics(QueueId queue) {
        return outcomes.computeIfAbsent(queue, unseen -> new QueueStatistics());
    }

    QueueStatistics statistics(String team, String jobClass) {
        return statistics(new QueueId(team, jobClass));
    }

    Map<QueueId, QueueStatistics> outcomes() {
        return outcomes;
    }

    /** How many deferrals named how many seconds. */
    Map<Integer, Integer> toldSeconds() {
        return toldSeconds;
    }

    /** The longest that a probe has waited which is not accepted yet. */
    double longestOpenProbeS() {
        return openProbes.stream()
                .mapToDouble(probe -> cluster.nowS - probe.firstS)
                .max()
                .orElse(0);
    }

    /** As the load balancer lets users reach one: any that answers its probes. */
    private SimulatedCluster.ControllerProcess anyNode() {
        List<SimulatedCluster.ControllerProcess> up = new ArrayList<>();
        for (SimulatedCluster.ControllerProcess node : cluster.controllers) {
            boolean silent = node.pausedUntilS > cluster.nowS;
            double silentSinceS = silent ? silentSince.getOrDefault(node, cluster.nowS) : cluster.nowS;
            silentSince.put(node, silentSinceS);
            if (node.up && cluster.nowS - silentSinceS < NOTICED_S && (silent || node.controller.isHealthy())) {
                up.add(node);
            }
        }
        return up.isEmpty() ? null : up.get(random.nextInt(up.size()));
    }

    /** Arranges these submissions, arriving at random times from now on. */
    void schedule(List<LoadPhase> phases) {
        for (LoadPhase flow : phases) {
            next(flow, cluster.nowS, flow.fromS());
        }
    }

    private void next(LoadPhase flow, double beganS, double afterS) {
        double nextS = afterS - Math.log(1 - random.nextDouble()) / flow.ratePerS();
        if (nextS < flow.untilS()) {
            cluster.schedule(beganS + nextS - cluster.nowS, () -> {
                statistics(flow.queue()).submitted++;
                new Submission(flow.queue(), false).send();
                next(flow, beganS, nextS);
            });
        }
    }

    /** Submits one job whose user comes back as told and never gives up. */
    void submitProbe(QueueId queue) {
        Submission probe = new Submission(queue, true);
        openProbes.add(probe);
        probe.send();
    }

    private void measureLag() {
        for (SimulatedCluster.Worker worker : cluster.workers.values()) {
            for (SimulatedCluster.Task task : worker.tasks.values()) {
                if (task.state == AttemptState.EXITED && task.cause == ExitCause.DONE) {
                    endedAt.putIfAbsent(task.jobId, cluster.nowS);
                }
            }
        }
        endedAt.keySet().removeIf(job -> cluster.stateService.value("f/" + job) != null);
        endedAt.values().forEach(at -> longestCompletionLagS = Math.max(longestCompletionLagS, cluster.nowS - at));
        cluster.schedule(0.5, this::measureLag);
    }
}
