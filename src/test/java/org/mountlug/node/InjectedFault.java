package org.mountlug.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.DoubleUnaryOperator;
import org.mountlug.core.model.Report;

/** The faults that {@link SeededFaultsTest} overlaps; each begins when it is injected and ends by itself. */
enum InjectedFault {
    /** The leader's process is killed and restarts. */
    LEADER_RESTARTS(context -> context.leader().restartAfter(context.restartDelayS())),
    /** All controllers are killed and restart, some soon and some later. */
    ALL_CONTROLLERS_RESTART(context -> {
        SplittableRandom random = context.random();
        double laterRestartS = context.restartDelayS() + Math.min(context.durationS(), 20);
        for (SimulatedCluster.ControllerProcess process : context.cluster().controllers) {
            process.restartAfter(random.nextBoolean() ? 0.2 + random.nextDouble() : laterRestartS);
        }
    }),
    /** The state service refuses the leader's requests only. */
    STATE_SERVICE_REFUSES_LEADER(
            context -> degradeStateLink(context, context.leader(), FakeStateService.Link.REFUSED, context.durationS())),
    /** The state service is unavailable. */
    STATE_SERVICE_OUTAGE(context -> {
        context.cluster().stateService.outage = true;
        context.atEnd(context.cluster().stateService::recover);
    }),
    /** The leader is cut off from the state service and its peers; its transactions are executed when the fault ends. */
    LEADER_PARTITIONED(context -> {
        FakeStateService state = context.cluster().stateService;
        degradeStateLink(context, context.leader(), FakeStateService.Link.PARTITIONED, context.durationS());
        context.leader().cutFromPeers = true;
        context.atEnd(() -> {
            context.leader().cutFromPeers = false;
            runHeld(state.heldTransactions);
        });
    }),
    /** Transactions are executed, but their responses are lost. */
    WRITE_RESPONSES_LOST(context -> degradeAllStateLinks(context, FakeStateService.Link.RESPONSES_LOST)),
    /** Transactions are executed late, without a response. */
    WRITES_DELAYED(context -> {
        context.cluster().stateService.writeDelayS = 2 + context.random().nextDouble() * 10;
        degradeAllStateLinks(context, FakeStateService.Link.WRITES_DELAYED);
    }),
    /** Some machines are cut off from all controllers. */
    MACHINES_DISCONNECTED(context ->
            context.affectSomeMachines(worker -> worker.disconnected = true, worker -> worker.disconnected = false)),
    /** Some machines hang for at most 25 s and go on. */
    MACHINES_HANG(context -> hang(context.someMachines(), context.cluster().nowS + Math.min(context.durationS(), 25))),
    /** Reports of some machines are lost, while direct commands reach them. */
    MACHINE_REPORTS_BLOCKED(context -> context.affectSomeMachines(
            worker -> worker.reportsBlocked = true, worker -> worker.reportsBlocked = false)),
    /** Responses to reports of some machines are lost, and direct commands reach them only when the fault ends. */
    MACHINE_INBOUND_BLOCKED(context -> {
        context.affectSomeMachines(worker -> worker.inboundBlocked = true, worker -> worker.inboundBlocked = false);
        context.atEnd(() -> runHeld(context.cluster().commandNetwork.heldCalls));
    }),
    /** A third of the machines that were drawn for the fault crash and do not return. */
    MACHINES_CRASH(context ->
            context.someMachines().subList(0, context.someMachines().size() / 3).forEach(SimulatedWorker::crash)),
    /** Direct commands are delayed. */
    COMMANDS_DELAYED(context -> {
        context.cluster().commandNetwork.delayS = 0.5 + context.random().nextDouble() * 8;
        context.atEnd(() -> context.cluster().commandNetwork.delayS = 0);
    }),
    /** Old reports arrive again at every controller that runs. */
    REPORTS_REPLAYED(context -> {
        Runnable replay = collectReportReplay(context);
        context.cluster().schedule(2 + context.random().nextDouble() * context.durationS(), replay);
    }),
    /** Old reports arrive again at every controller that runs, at most 0.8 s after the start of each later term. */
    REPORTS_REPLAYED_TO_NEXT_LEADER(context -> {
        SimulatedCluster cluster = context.cluster();
        Runnable replay = collectReportReplay(context);
        cluster.onTermStart.add(process -> cluster.schedule(context.random().nextInt(3) * 0.4, replay));
    }),
    /** A controller is cut off together with the machines of zone a, or with about half of them if a is the only zone. */
    ZONE_ISOLATED(context -> {
        SimulatedCluster cluster = context.cluster();
        context.anyController().inIsolatedZone = true;
        for (SimulatedWorker worker : cluster.workers.values()) {
            boolean affected = cluster.cloud.zones.size() > 1 || worker.name.hashCode() % 2 == 0;
            worker.inIsolatedZone = worker.zone.equals("a") && affected;
        }
        context.atEnd(() -> {
            context.anyController().inIsolatedZone = false;
            cluster.workers.values().forEach(worker -> worker.inIsolatedZone = false);
        });
    }),
    /** Connections between controllers are refused. */
    PEERS_REFUSE_CONNECTIONS(context -> {
        context.cluster().peersRefuseConnections = true;
        context.atEnd(() -> context.cluster().peersRefuseConnections = false);
    }),
    /** The leader's process is paused for at most 28 s. */
    LEADER_PAUSED_BRIEFLY(context -> context.leader().pause(Math.min(context.durationS(), 28))),
    /** Users cancel about half of the live jobs at once, while some machines hang for less than a worker lease. */
    MASS_CANCELLATION(context -> {
        SimulatedCluster cluster = context.cluster();
        SplittableRandom random = context.random();
        for (String id : cluster.acceptedJobs()) {
            if (cluster.outcome(id) == null && random.nextBoolean()) {
                scheduleCancellation(cluster, id, random.nextDouble() * 0.2, random.nextInt(5));
            }
        }
        List<SimulatedWorker> hung = new ArrayList<>(context.someMachines());
        hung.removeIf(worker -> !random.nextBoolean());
        hang(hung, cluster.nowS + Math.min(context.durationS(), cluster.workerLeaseS - 0.5));
    }),
    /** Users poll and resubmit at all controllers for at most 8 s. */
    FREQUENT_POLLS(context -> {
        SimulatedCluster cluster = context.cluster();
        SplittableRandom random = context.random();
        for (double delayS = 0; delayS < Math.min(context.durationS(), 8); delayS += 0.09) {
            SimulatedCluster.ControllerProcess process =
                    cluster.controllers.get(random.nextInt(cluster.controllers.size()));
            String id = FaultTestSteps.jobId(random.nextInt(26) + 1);
            boolean resubmits = random.nextInt(4) == 0;
            cluster.schedule(delayS, () -> pollOrResubmit(cluster, process, id, resubmits));
        }
    }),
    /** The leader is restarted three times, about 5.5 s apart. */
    REPEATED_LEADER_CHANGES(context -> {
        SimulatedCluster cluster = context.cluster();
        for (int i = 0; i < 3; i++) {
            cluster.schedule(i * 5.5 + context.random().nextDouble(), () -> {
                if (cluster.leader() != null) {
                    cluster.leader().restartAfter(0.3);
                }
            });
        }
    }),
    /** The cloud refuses every request. */
    CLOUD_DOWN(context -> {
        context.cluster().cloud.down = true;
        context.atEnd(() -> context.cluster().cloud.down = false);
    }),
    /** The state service responds slowly. */
    STATE_SERVICE_SLOW(context -> {
        context.cluster().stateService.extraLatencyS = 0.1 + context.random().nextDouble() * 0.5;
        context.atEnd(() -> context.cluster().stateService.extraLatencyS = 0);
    }),
    /** The leader is cut off from all workers. */
    LEADER_CUT_FROM_WORKERS(context -> {
        context.leader().cutFromWorkers = true;
        context.atEnd(() -> context.leader().cutFromWorkers = false);
    }),
    /** The leader's process is paused for more than a minute. */
    LEADER_PAUSED_OVER_A_MINUTE(
            context -> context.leader().pause(longPauseS(context.durationS())), InjectedFault::longPauseS),
    /** One controller's process is paused for more than a minute, while users' requests wait in its sockets. */
    CONTROLLER_PAUSED_OVER_A_MINUTE(
            context -> {
                SimulatedCluster.ControllerProcess process = context.anyController();
                process.pause(longPauseS(context.durationS()));
                for (String id : context.cluster().acceptedJobs()) {
                    process.requestAsyncThroughSocket("poll", id, reply -> process.users.poll(id, reply), null);
                    if (context.random().nextInt(4) == 0) {
                        process.requestAsyncThroughSocket("abort", id, reply -> process.users.cancel(id, reply), null);
                    }
                }
            },
            InjectedFault::longPauseS),
    /** The leader is cut off from workers and peers, but reaches the state service. */
    LEADER_REACHES_ONLY_STATE_SERVICE(context -> {
        SimulatedCluster.ControllerProcess leader = context.leader();
        leader.cutFromWorkers = true;
        leader.cutFromPeers = true;
        context.atEnd(() -> {
            leader.cutFromWorkers = false;
            leader.cutFromPeers = false;
        });
    }),
    /** The leader is cut off from workers and the state service, but reaches its peers. */
    LEADER_REACHES_ONLY_PEERS(context -> {
        context.leader().cutFromWorkers = true;
        degradeStateLink(context, context.leader(), FakeStateService.Link.PARTITIONED, context.durationS());
        context.atEnd(() -> context.leader().cutFromWorkers = false);
    }),
    /** Machines that are rented during the fault boot slowly. */
    MACHINES_BOOT_SLOWLY(context -> {
        context.cluster().bootSlowdownFactor = 2 + context.random().nextDouble() * 10;
        context.atEnd(() -> context.cluster().bootSlowdownFactor = 1);
    }),
    /** Every second machine that is rented during the fault never boots. */
    MACHINES_NEVER_BOOT(context -> {
        context.cluster().everyNthNeverBoots = 2;
        context.atEnd(() -> context.cluster().everyNthNeverBoots = 0);
    }),
    /** Users poll each controller 200 times a second, for at most 12 s; the state service accepts 200 requests a second. */
    POLL_OVERLOAD(context -> {
        SimulatedCluster cluster = context.cluster();
        double durationS = Math.min(context.durationS(), 12);
        cluster.stateService.requestsPerS = 200;
        for (double delayS = 0; delayS < durationS; delayS += 0.05) {
            int firstJob = context.random().nextInt(26);
            cluster.schedule(delayS, () -> pollAllControllers(cluster, firstJob));
        }
        cluster.schedule(durationS + 1, () -> cluster.stateService.requestsPerS = Double.POSITIVE_INFINITY);
    }),
    /** Users submit jobs whose tasks fail on every machine, and cancel them after the fault. */
    FAILING_JOBS(context -> {
        SimulatedCluster cluster = context.cluster();
        for (int i = 0; i < 3; i++) {
            String id = FaultTestSteps.jobId(100 + cluster.failingJobs.size());
            cluster.failingJobs.add(id);
            boolean gang = i == 2;
            Map<String, Object> priority = Map.of("urgency", context.random().nextBoolean() ? "prod" : "standard");
            SimulatedCluster.ControllerProcess process =
                    cluster.controllers.get(context.random().nextInt(cluster.controllers.size()));
            for (double delayS = 0; delayS < 9; delayS += 3) {
                cluster.schedule(delayS, () -> {
                    if (!cluster.acceptedJobs().contains(id)) {
                        process.submitAsync(id, gang ? 4 : 20, gang, priority);
                    }
                });
            }
            scheduleCancellation(cluster, id, context.durationS() + 5, i);
        }
    }),
    /** A team without a guarantee submits idle-priority work: one array of 150 tasks, and 25 arrays of one task. */
    BEST_EFFORT_TEAM(context -> {
        SimulatedCluster cluster = context.cluster();
        Map<String, Object> idleArray = Map.of("crew", "guest", "urgency", "idle");
        SimulatedCluster.ControllerProcess process = context.anyController();
        int firstNumber = 200
                + (int) cluster.acceptedJobs().stream()
                        .filter(id -> id.compareTo("wk-000200") >= 0)
                        .count();
        process.submitAsync(FaultTestSteps.jobId(firstNumber), 150, false, idleArray);
        for (int i = 1; i <= 25; i++) {
            String id = FaultTestSteps.jobId(firstNumber + i);
            cluster.schedule(i * 0.25, () -> process.submitAsync(id, 1, false, idleArray));
        }
    }),
    /** The cloud takes about two thirds of the machines back without a notice; all of them once in four times. */
    MACHINES_TAKEN(context -> {
        SimulatedCluster cluster = context.cluster();
        boolean all = context.random().nextInt(4) == 0;
        List.copyOf(all ? cluster.workers.values() : context.someMachines()).forEach(cluster.cloud::take);
    }),
    /** Direct commands that are executed meanwhile arrive again, once or several times, 0.2 s to 60 s later. */
    COMMANDS_REPEATED(context -> {
        DirectCommandNetwork network = context.cluster().commandNetwork;
        SplittableRandom random = context.random();
        network.repeatDelaysS = () -> random.doubles(random.nextInt(4), 0, 1)
                .map(share -> 0.2 + 59.8 * share * share)
                .boxed()
                .toList();
        context.atEnd(() -> network.repeatDelaysS = List::of);
    });

    private final Consumer<FaultContext> injection;
    private final DoubleUnaryOperator durationOf;

    InjectedFault(Consumer<FaultContext> injection) {
        this(injection, DoubleUnaryOperator.identity());
    }

    InjectedFault(Consumer<FaultContext> injection, DoubleUnaryOperator durationOf) {
        this.injection = injection;
        this.durationOf = durationOf;
    }

    /** Number of original faults, declared before the newer ones; seeds of the test without newer faults draw only these. */
    static final int ORIGINAL_COUNT = LEADER_CUT_FROM_WORKERS.ordinal() + 1;

    /** Number of original and newer faults; seeds of the tests without {@link #MACHINES_TAKEN} draw only these. */
    static final int NEWER_COUNT = BEST_EFFORT_TEAM.ordinal() + 1;

    /** Number of faults up to {@link #MACHINES_TAKEN}; seeds of the test that begins with it draw only these. */
    static final int MACHINES_TAKEN_COUNT = MACHINES_TAKEN.ordinal() + 1;

    /**
     * What a fault affects.
     *
     * @param leader the leader; {@code anyController} if there is none
     * @param someMachines about two thirds of the machines
     * @param durationS seconds until the fault ends
     * @param restartDelayS seconds from the kill to the restart of a controller
     * @param random the source of all further draws of this fault
     */
    record FaultContext(
            SimulatedCluster cluster,
            SimulatedCluster.ControllerProcess leader,
            SimulatedCluster.ControllerProcess anyController,
            List<SimulatedWorker> someMachines,
            double durationS,
            double restartDelayS,
            SplittableRandom random) {
        static FaultContext of(SimulatedCluster cluster, double durationS, SplittableRandom random) {
            SimulatedCluster.ControllerProcess anyController =
                    cluster.controllers.get(random.nextInt(cluster.controllers.size()));
            SimulatedCluster.ControllerProcess leader = cluster.leader() == null ? anyController : cluster.leader();
            List<SimulatedWorker> someMachines = new ArrayList<>(cluster.workers.values());
            someMachines.removeIf(worker -> random.nextInt(3) == 0);
            double restartDelayS = random.nextBoolean() ? 0.1 + random.nextDouble() * 0.4 : 1 + random.nextDouble() * 8;
            return new FaultContext(cluster, leader, anyController, someMachines, durationS, restartDelayS, random);
        }

        /** Schedules an action for the end of the fault. */
        void atEnd(Runnable end) {
            cluster.schedule(durationS, end);
        }

        /** Applies {@code begin} to some machines now and {@code end} at the end of the fault. */
        void affectSomeMachines(Consumer<SimulatedWorker> begin, Consumer<SimulatedWorker> end) {
            for (SimulatedWorker worker : someMachines) {
                begin.accept(worker);
                atEnd(() -> end.accept(worker));
            }
        }
    }

    /** Begins the fault now and schedules its end. */
    void inject(FaultContext context) {
        injection.accept(context);
    }

    /** Returns the seconds for which the fault lasts when {@code nominalS} seconds were drawn for it. */
    double durationS(double nominalS) {
        return durationOf.applyAsDouble(nominalS);
    }

    private static double longPauseS(double nominalS) {
        return 60 + nominalS;
    }

    private static void hang(List<SimulatedWorker> workers, double untilS) {
        workers.forEach(worker -> worker.hungUntilS = untilS);
    }

    /** Runs the held actions, in order, and empties the list. */
    private static void runHeld(List<Runnable> held) {
        List<Runnable> actions = new ArrayList<>(held);
        held.clear();
        actions.forEach(Runnable::run);
    }

    private static void pollOrResubmit(
            SimulatedCluster cluster, SimulatedCluster.ControllerProcess process, String id, boolean resubmits) {
        if (cluster.originalSubmission(id) == null) {
            return;
        }
        if (resubmits) {
            process.resubmit(id);
        } else {
            process.requestAsync("poll", id, reply -> process.users.poll(id, reply), null);
        }
    }

    private static void pollAllControllers(SimulatedCluster cluster, int firstJob) {
        for (SimulatedCluster.ControllerProcess process : cluster.controllers) {
            for (int i = 0; i < 10; i++) {
                String id = FaultTestSteps.jobId(1 + (firstJob + i) % 26);
                process.requestAsync("poll", id, reply -> process.users.poll(id, reply), null);
            }
        }
    }

    private static void degradeAllStateLinks(FaultContext context, FakeStateService.Link link) {
        double durationS = Math.min(context.durationS(), 9);
        context.cluster().controllers.forEach(process -> degradeStateLink(context, process, link, durationS));
    }

    /**
     * Schedules eight cancellation requests for a job, 2 s apart, at each controller in turn. A request is omitted if the job is
     * not accepted or has ended by then.
     */
    static void scheduleCancellation(SimulatedCluster cluster, String id, double delayS, int firstController) {
        for (int i = 0; i < 8; i++) {
            SimulatedCluster.ControllerProcess process =
                    cluster.controllers.get((firstController + i) % cluster.controllers.size());
            cluster.schedule(delayS + 2 * i, () -> {
                if (cluster.acceptedJobs().contains(id) && cluster.outcome(id) == null) {
                    process.requestAsync("abort", id, reply -> process.users.cancel(id, reply), null);
                }
            });
        }
    }

    private static void degradeStateLink(
            FaultContext context,
            SimulatedCluster.ControllerProcess process,
            FakeStateService.Link link,
            double durationS) {
        process.stateLink = link;
        context.cluster().schedule(durationS, () -> {
            if (process.stateLink == link) {
                process.stateLink = FakeStateService.Link.HEALTHY;
            }
        });
    }

    /** Picks about two thirds of each worker's last 12 reports; returns the action that sends them to running controllers. */
    private static Runnable collectReportReplay(FaultContext context) {
        SimulatedCluster cluster = context.cluster();
        SplittableRandom random = context.random();
        List<Report> oldReports = new ArrayList<>();
        for (SimulatedWorker worker : cluster.workers.values()) {
            for (Report report : worker.sentReports.subList(
                    Math.max(0, worker.sentReports.size() - 12), worker.sentReports.size())) {
                if (random.nextInt(3) > 0) {
                    oldReports.add(report);
                }
            }
        }
        return () -> {
            for (SimulatedCluster.ControllerProcess process : cluster.controllers) {
                if (process.up && process.pausedUntilS <= cluster.nowS) {
                    oldReports.forEach(process.controller::handleReport);
                }
            }
        };
    }
}
