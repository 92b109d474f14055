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
 * Simulates users who submit one-task jobs at given rates, retry after the delay that a response names and give up after a
 * minute. Counts the responses of each queue and records those that contradict an earlier one in {@link #violations}.
 */
final class LoadGenerator {
    /** Seconds after its first request at which a submission is given up. */
    static final double GIVE_UP_AFTER_S = 60;
    /** Longest delay before a retry, whatever the response names, in seconds. */
    private static final double MAX_RETRY_DELAY_S = 30;
    /** Seconds after which a request without a response is sent again. */
    private static final double REQUEST_TIMEOUT_S = 5;
    /** Seconds of a process pause after which the load balancer sends no more requests to the controller. */
    private static final double HEALTH_CHECK_DELAY_S = 2;

    /** Submissions of a queue at a mean rate, between two times in seconds since the call of {@link #schedule}. */
    record LoadPhase(QueueId queue, double ratePerS, double fromS, double untilS) {
        static LoadPhase of(String team, String jobClass, double ratePerS, double fromS, double untilS) {
            return new LoadPhase(new QueueId(team, jobClass), ratePerS, fromS, untilS);
        }
    }

    /** Counts of a queue's submissions; times to acceptance run from the first request, in seconds. */
    static final class QueueStatistics {
        int submitted;
        int accepted;
        int acceptedAtFirstRequest;
        int abandoned;
        int requests;
        double slowestAcceptanceS;
        double slowestProbeS;
    }

    /** A submission with its retries; a probe is never given up. */
    private final class Submission {
        final String id;
        final QueueId queue;
        final boolean probe;
        final double firstSentS = cluster.nowS;
        /** Time from which a retry must not be deferred again, as a response called its turn final; {@code NaN} if none did. */
        double finalTurnAtS = Double.NaN;

        boolean finished;
        /** Grows with each request and with each scheduled retry, so that late responses can be told apart. */
        int requestNumber;

        Submission(QueueId queue, boolean probe) {
            this.id = String.format("wk-%06d", ++submissions);
            this.queue = queue;
            this.probe = probe;
        }

        void send() {
            if (finished) {
                return;
            }
            if (!probe && cluster.nowS - firstSentS >= GIVE_UP_AFTER_S) {
                finished = true;
                statistics(queue).abandoned++;
                return;
            }
            SimulatedCluster.ControllerProcess process = pickController();
            if (process == null) {
                cluster.schedule(1 + random.nextDouble(), this::send);
                return;
            }
            int ownNumber = ++requestNumber;
            statistics(queue).requests++;
            cluster.schedule(REQUEST_TIMEOUT_S, () -> {
                if (ownNumber == requestNumber && !finished) {
                    finalTurnAtS = Double.NaN;
                    send(); // no response
                }
            });
            byte[] body = process.buildSubmission(id, 1, false, Map.of("crew", queue.team(), "lane", queue.jobClass()));
            process.requestAsync("submission", id, reply -> process.users.submit(body, reply), response -> {
                if (response.get("answer") instanceof UserResponse.Accepted && !createdJobs.add(id)) {
                    violations.add(id + " was created twice");
                }
                if (ownNumber == requestNumber && !finished) {
                    handleResponse(process, (UserResponse) response.get("answer"));
                }
            });
        }

        private void handleResponse(SimulatedCluster.ControllerProcess process, UserResponse response) {
            if (response instanceof UserResponse.Accepted || response instanceof UserResponse.JobState) {
                recordAcceptance();
            } else if (response instanceof UserResponse.Deferred deferred) {
                if (cluster.nowS >= finalTurnAtS) {
                    violations.add(id + " was deferred again at its final turn by " + process.label);
                }
                if (deferred.turnIsFinal()) {
                    finalTurnAtS = cluster.nowS + deferred.retryAfterS();
                }
                deferralsByDelayS.merge(deferred.retryAfterS(), 1, Integer::sum);
                scheduleRetry(deferred.retryAfterS());
            } else if (response instanceof UserResponse.Unavailable unavailable) {
                handleUndecided(unavailable.retryAfterS());
            } else if (response instanceof UserResponse.RateLimited rateLimited) {
                handleUndecided(rateLimited.retryAfterS());
            } else {
                violations.add(id + " got the unexpected response " + response);
            }
        }

        /** Retries after a response that neither accepts nor defers the submission. */
        private void handleUndecided(int retryAfterS) {
            undecidedResponses++;
            missedFinalTurns += cluster.nowS >= finalTurnAtS ? 1 : 0;
            finalTurnAtS = Double.NaN;
            scheduleRetry(retryAfterS);
        }

        private void recordAcceptance() {
            finished = true;
            QueueStatistics statistics = statistics(queue);
            double waitedS = cluster.nowS - firstSentS;
            statistics.accepted++;
            statistics.acceptedAtFirstRequest += requestNumber == 1 ? 1 : 0;
            statistics.slowestAcceptanceS = Math.max(statistics.slowestAcceptanceS, probe ? 0 : waitedS);
            statistics.slowestProbeS = Math.max(statistics.slowestProbeS, probe ? waitedS : 0);
            openProbes.remove(this);
        }

        private void scheduleRetry(int retryAfterS) {
            requestNumber++; // later responses to the previous request are ignored
            double delayS = honorsRetryAfter ? Math.min(MAX_RETRY_DELAY_S, Math.max(1, retryAfterS)) : 1;
            cluster.schedule(delayS + random.nextDouble() * 0.02, this::send);
        }
    }

    final SimulatedCluster cluster;
    /** Responses that contradict earlier ones. */
    final List<String> violations = new ArrayList<>();
    /** Whether users wait for the delay that a response names before they retry; otherwise they retry after a second. */
    boolean honorsRetryAfter = true;

    /** Number of responses that neither accepted nor deferred a submission. */
    int undecidedResponses;
    /** Number of requests at a final turn that were neither accepted nor deferred. */
    int missedFinalTurns;
    /** Longest time from the end of a task to its job's final record, in seconds, sampled twice a second. */
    double longestCompletionLagS;

    private final Map<QueueId, QueueStatistics> statisticsByQueue = new TreeMap<>();
    private final Map<Integer, Integer> deferralsByDelayS = new TreeMap<>();
    private final Map<String, Double> taskEndedAtS = new HashMap<>();
    private final Set<String> createdJobs = new HashSet<>();
    private final Map<SimulatedCluster.ControllerProcess, Double> pausedSinceS = new HashMap<>();
    private final List<Submission> openProbes = new ArrayList<>();
    private final SplittableRandom random;
    private int submissions;

    LoadGenerator(SimulatedCluster cluster, long seed) {
        this.cluster = cluster;
        random = new SplittableRandom(seed);
        measureCompletionLag();
    }

    /** Returns operator settings with admission control enabled and equal team weights. */
    static OperatorSettings operatorsWithAdmission() {
        return OperatorSettings.defaults().withAdmission(AdmissionSettings.defaults());
    }

    /**
     * Starts controllers for these teams, with the smaller site's rate limits of the state service, and runs for 8 s so that
     * one of them leads.
     */
    static SimulatedCluster startCluster(int controllers, OperatorSettings operators, String... teams) {
        List<Team> allTeams = new ArrayList<>();
        for (String team : teams) {
            allTeams.add(new Team(team, 0, 0, 0, 0, operators.teamWeight(team)));
        }
        SimulatedCluster cluster = new SimulatedCluster(controllers, allTeams, 10, false, 8, 8, operators);
        cluster.stateService.requestsPerS = 200;
        cluster.stateService.writesPerS = 25;
        cluster.taskDurationS = 2;
        cluster.runFor(8);
        cluster.stateService.rateLimitedRequests = 0;
        return cluster;
    }

    /** Returns the counts of the queue; all zero before its first submission. */
    QueueStatistics statistics(QueueId queue) {
        return statisticsByQueue.computeIfAbsent(queue, key -> new QueueStatistics());
    }

    QueueStatistics statistics(String team, String jobClass) {
        return statistics(new QueueId(team, jobClass));
    }

    Map<QueueId, QueueStatistics> statisticsByQueue() {
        return statisticsByQueue;
    }

    /** Returns the number of deferrals by the retry delay that they named, in seconds. */
    Map<Integer, Integer> deferralsByDelayS() {
        return deferralsByDelayS;
    }

    /** Returns the longest time, in seconds, for which a probe that is not accepted yet has waited; 0 if there is none. */
    double longestOpenProbeS() {
        return openProbes.stream()
                .mapToDouble(probe -> cluster.nowS - probe.firstSentS)
                .max()
                .orElse(0);
    }

    /**
     * Returns a random controller of those that pass the load balancer's health checks; null if none does. A paused
     * controller counts as healthy for the first 2 s.
     */
    private SimulatedCluster.ControllerProcess pickController() {
        List<SimulatedCluster.ControllerProcess> reachable = new ArrayList<>();
        for (SimulatedCluster.ControllerProcess process : cluster.controllers) {
            boolean paused = process.pausedUntilS > cluster.nowS;
            double sinceS = paused ? pausedSinceS.getOrDefault(process, cluster.nowS) : cluster.nowS;
            pausedSinceS.put(process, sinceS);
            if (process.up
                    && cluster.nowS - sinceS < HEALTH_CHECK_DELAY_S
                    && (paused || process.controller.isHealthy())) {
                reachable.add(process);
            }
        }
        return reachable.isEmpty() ? null : reachable.get(random.nextInt(reachable.size()));
    }

    /** Schedules the submissions of these phases, at random times from now on. */
    void schedule(List<LoadPhase> phases) {
        for (LoadPhase phase : phases) {
            scheduleNextArrival(phase, cluster.nowS, phase.fromS());
        }
    }

    /**
     * Schedules the phase's next submission an exponentially distributed time after {@code afterS}, which counts from
     * {@code scenarioStartS}.
     */
    private void scheduleNextArrival(LoadPhase phase, double scenarioStartS, double afterS) {
        double arrivalS = afterS - Math.log(1 - random.nextDouble()) / phase.ratePerS();
        if (arrivalS < phase.untilS()) {
            cluster.schedule(scenarioStartS + arrivalS - cluster.nowS, () -> {
                statistics(phase.queue()).submitted++;
                new Submission(phase.queue(), false).send();
                scheduleNextArrival(phase, scenarioStartS, arrivalS);
            });
        }
    }

    /** Submits a job whose user retries after the delay that a response names and never gives up. */
    void submitProbe(QueueId queue) {
        Submission probe = new Submission(queue, true);
        openProbes.add(probe);
        probe.send();
    }

    private void measureCompletionLag() {
        for (SimulatedWorker worker : cluster.workers.values()) {
            for (SimulatedTask task : worker.tasks.values()) {
                if (task.state == AttemptState.EXITED && task.cause == ExitCause.DONE) {
                    taskEndedAtS.putIfAbsent(task.jobId, cluster.nowS);
                }
            }
        }
        taskEndedAtS.keySet().removeIf(job -> cluster.stateService.value("f/" + job) != null);
        taskEndedAtS
                .values()
                .forEach(endS -> longestCompletionLagS = Math.max(longestCompletionLagS, cluster.nowS - endS));
        cluster.schedule(0.5, this::measureCompletionLag);
    }
}
