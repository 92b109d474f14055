package org.mountlug.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.mountlug.api.UserAnswer;
import org.mountlug.core.admit.AdmissionSettings;
import org.mountlug.core.admit.QueueId;
import org.mountlug.core.model.Cause;
import org.mountlug.core.model.TaskState;
import org.mountlug.core.model.Team;
import org.mountlug.settings.Operators;

/**
 * Users who submit one-task jobs at given rates to controllers in memory, come back as they are told and give up after a minute.
 * It keeps what each was told, and notes every answer that contradicts an earlier one.
 */
final class FloodScenario {
    static final double PATIENCE_S = 60;
    private static final double LONGEST_WAIT_S = 30;
    private static final double TIMEOUT_S = 5;
    /** Seconds after which the load balancer knows that a controller does not answer. */
    private static final double NOTICED_S = 2;

    /** Submissions of a queue, so many a second, from one time to another in seconds of the scenario. */
    record Flow(QueueId queue, double perS, double fromS, double untilS) {
        static Flow of(String team, String jobClass, double perS, double fromS, double untilS) {
            return new Flow(new QueueId(team, jobClass), perS, fromS, untilS);
        }
    }

    /** What became of a queue's submissions; waits are seconds from the first request to the acceptance. */
    static final class Outcome {
        int submitted;
        int accepted;
        int acceptedAtOnce;
        int abandoned;
        int asked;
        double slowestS;
        double slowestProbeS;
    }

    /** One submission as its user sees it; a probe never gives up. */
    private final class Submission {
        final String id;
        final QueueId queue;
        final boolean probe;
        final double firstS = world.now;
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
            if (!probe && world.now - firstS >= PATIENCE_S) {
                over = true;
                outcome(queue).abandoned++;
                return;
            }
            SimulatedCluster.Node node = anyNode();
            if (node == null) {
                world.in(1 + random.nextDouble(), this::send);
                return;
            }
            int mine = ++tries;
            outcome(queue).asked++;
            world.in(TIMEOUT_S, () -> {
                if (mine == tries && !over) {
                    finalTurnS = Double.NaN;
                    send(); // no answer at all
                }
            });
            byte[] body = node.body(id, 1, false, Map.of("crew", queue.team(), "lane", queue.jobClass()));
            node.askLater("submission", id, reply -> node.users.submit(body, reply), answer -> {
                if (answer.get("answer") instanceof UserAnswer.Accepted && !created.add(id)) {
                    broken.add(id + " was created twice");
                }
                if (mine == tries && !over) {
                    answered(node, (UserAnswer) answer.get("answer"));
                }
            });
        }

        private void answered(SimulatedCluster.Node node, UserAnswer answer) {
            if (answer instanceof UserAnswer.Accepted || answer instanceof UserAnswer.JobState) {
                accepted();
            } else if (answer instanceof UserAnswer.Deferred deferred) {
                if (world.now >= finalTurnS) {
                    broken.add(id + " came back at its turn and was deferred again by " + node.label);
                }
                if (deferred.turnIsFinal()) {
                    finalTurnS = world.now + deferred.retryAfterS();
                }
                toldSeconds.merge(deferred.retryAfterS(), 1, Integer::sum);
                back(deferred.retryAfterS());
            } else if (answer instanceof UserAnswer.Unavailable unavailable) {
                undecided(unavailable.retryAfterS());
            } else if (answer instanceof UserAnswer.OverBudget overBudget) {
                undecided(overBudget.retryAfterS());
            } else {
                broken.add(id + " got " + answer);
            }
        }

        private void undecided(int retryAfterS) {
            undecided++;
            slipped += world.now >= finalTurnS ? 1 : 0;
            finalTurnS = Double.NaN;
            back(retryAfterS);
        }

        private void accepted() {
            over = true;
            Outcome outcome = outcome(queue);
            double waitedS = world.now - firstS;
            outcome.accepted++;
            outcome.acceptedAtOnce += tries == 1 ? 1 : 0;
            outcome.slowestS = Math.max(outcome.slowestS, probe ? 0 : waitedS);
            outcome.slowestProbeS = Math.max(outcome.slowestProbeS, probe ? waitedS : 0);
            openProbes.remove(this);
        }

        private void back(int retryAfterS) {
            tries++; // whatever the question before this may still be answered counts no more
            double waitS = obedient ? Math.min(LONGEST_WAIT_S, Math.max(1, retryAfterS)) : 1;
            world.in(waitS + random.nextDouble() * 0.02, this::send);
        }
    }

    final SimulatedCluster world;
    /** Answers that contradict earlier ones. */
    final List<String> broken = new ArrayList<>();
    /** Whether users wait for as long as they are told; otherwise they come back every second. */
    boolean obedient = true;

    int undecided;
    /** How many came back at a final turn and could not be taken in just then. */
    int slipped;
    /** Seconds from the end of a task to its job's durable end, the longest, looked at twice a second. */
    double longestLagS;

    private final Map<QueueId, Outcome> outcomes = new TreeMap<>();
    private final Map<Integer, Integer> toldSeconds = new TreeMap<>();
    private final Map<String, Double> endedAt = new HashMap<>();
    private final Set<String> created = new HashSet<>();
    private final Map<SimulatedCluster.Node, Double> silentSince = new HashMap<>();
    private final List<Submission> openProbes = new ArrayList<>();
    private final SplittableRandom random;
    private int submissions;

    FloodScenario(SimulatedCluster world, long seed) {
        this.world = world;
        random = new SplittableRandom(seed);
        measureLag();
    }

    /** Operators' settings with admission switched on, teams weighing alike. */
    static Operators admission() {
        return Operators.defaults().with(AdmissionSettings.defaults());
    }

    /** Controllers with these teams and the smaller site's limits of the state service, a few seconds after their start. */
    static SimulatedCluster cluster(int controllers, Operators operators, String... teams) {
        List<Team> all = new ArrayList<>();
        for (String team : teams) {
            all.add(new Team(team, 0, 0, 0, 0, operators.share(team)));
        }
        SimulatedCluster world = new SimulatedCluster(controllers, all, 10, false, 8, 8, operators);
        world.state.rps = 200;
        world.state.writeRps = 25;
        world.runS = 2;
        world.run(8);
        world.state.limited = 0;
        return world;
    }

    Outcome outcome(QueueId queue) {
        return outcomes.computeIfAbsent(queue, unseen -> new Outcome());
    }

    Outcome outcome(String team, String jobClass) {
        return outcome(new QueueId(team, jobClass));
    }

    Map<QueueId, Outcome> outcomes() {
        return outcomes;
    }

    /** How many deferrals named how many seconds. */
    Map<Integer, Integer> toldSeconds() {
        return toldSeconds;
    }

    /** The longest that a probe has waited which is not accepted yet. */
    double longestOpenProbeS() {
        return openProbes.stream()
                .mapToDouble(probe -> world.now - probe.firstS)
                .max()
                .orElse(0);
    }

    /** As the load balancer lets users reach one: any that answers its probes. */
    private SimulatedCluster.Node anyNode() {
        List<SimulatedCluster.Node> up = new ArrayList<>();
        for (SimulatedCluster.Node node : world.nodes) {
            boolean silent = node.frozenUntil > world.now;
            double silentSinceS = silent ? silentSince.getOrDefault(node, world.now) : world.now;
            silentSince.put(node, silentSinceS);
            if (node.up && world.now - silentSinceS < NOTICED_S && (silent || node.controller.healthy())) {
                up.add(node);
            }
        }
        return up.isEmpty() ? null : up.get(random.nextInt(up.size()));
    }

    /** Arranges these submissions, arriving at random times from now on. */
    void arrange(List<Flow> flows) {
        for (Flow flow : flows) {
            next(flow, world.now, flow.fromS());
        }
    }

    private void next(Flow flow, double beganS, double afterS) {
        double nextS = afterS - Math.log(1 - random.nextDouble()) / flow.perS();
        if (nextS < flow.untilS()) {
            world.in(beganS + nextS - world.now, () -> {
                outcome(flow.queue()).submitted++;
                new Submission(flow.queue(), false).send();
                next(flow, beganS, nextS);
            });
        }
    }

    /** Submits one job whose user comes back as told and never gives up. */
    void probe(QueueId queue) {
        Submission probe = new Submission(queue, true);
        openProbes.add(probe);
        probe.send();
    }

    private void measureLag() {
        for (SimulatedCluster.Worker worker : world.workers.values()) {
            for (SimulatedCluster.Task task : worker.tasks.values()) {
                if (task.state == TaskState.EXITED && task.cause == Cause.DONE) {
                    endedAt.putIfAbsent(task.job, world.now);
                }
            }
        }
        endedAt.keySet().removeIf(job -> world.state.value("f/" + job) != null);
        endedAt.values().forEach(at -> longestLagS = Math.max(longestLagS, world.now - at));
        world.in(0.5, this::measureLag);
    }
}
