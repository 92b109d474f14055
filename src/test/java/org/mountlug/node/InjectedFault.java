package org.mountlug.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.DoubleUnaryOperator;
import org.mountlug.core.model.Report;

/** The faults that meet in {@link SeededFaultsTest}; each begins at once and ends by itself. */
enum InjectedFault {
    /** The leader's process ends and comes back. */
    LEADER_RESTARTS(scene -> scene.leader().restartAfter(scene.backS())),
    /** All controllers end and come back. */
    ALL_CONTROLLERS_RESTART(scene -> {
        SplittableRandom random = scene.random();
        double laterS = scene.backS() + Math.min(scene.forS(), 20);
        for (SimulatedCluster.ControllerProcess node : scene.world().controllers) {
            node.restartAfter(random.nextBoolean() ? 0.2 + random.nextDouble() : laterS);
        }
    }),
    /** The state service refuses the leader alone. */
    STATE_SERVICE_REFUSES_LEADER(scene -> link(scene, scene.leader(), FakeStateService.Link.REFUSED, scene.forS())),
    /** The state service is out. */
    STATE_SERVICE_OUTAGE(scene -> {
        scene.world().stateService.outage = true;
        scene.atEnd(scene.world().stateService::recover);
    }),
    /** The leader loses the state service and its peers; what it sent is carried out late. */
    LEADER_PARTITIONED(scene -> {
        FakeStateService state = scene.world().stateService;
        link(scene, scene.leader(), FakeStateService.Link.PARTITIONED, scene.forS());
        scene.leader().cutFromPeers = true;
        scene.atEnd(() -> {
            scene.leader().cutFromPeers = false;
            carryOut(state.heldTransactions);
        });
    }),
    /** Transactions are carried out, their answers lost. */
    WRITE_RESPONSES_LOST(scene -> linkAll(scene, FakeStateService.Link.RESPONSES_LOST)),
    /** Transactions are carried out late, without an answer. */
    WRITES_DELAYED(scene -> {
        scene.world().stateService.writeDelayS = 2 + scene.random().nextDouble() * 10;
        linkAll(scene, FakeStateService.Link.WRITES_DELAYED);
    }),
    /** Machines lose the network. */
    MACHINES_DISCONNECTED(
            scene -> scene.forSome(worker -> worker.disconnected = true, worker -> worker.disconnected = false)),
    /** Machines hang and go on. */
    MACHINES_HANG(scene -> hang(scene.some(), scene.world().nowS + Math.min(scene.forS(), 25))),
    /** No report of these machines leaves; direct commands reach them. */
    MACHINE_REPORTS_BLOCKED(
            scene -> scene.forSome(worker -> worker.reportsBlocked = true, worker -> worker.reportsBlocked = false)),
    /** These machines hear nothing; commands to them arrive late. */
    MACHINE_INBOUND_BLOCKED(scene -> {
        scene.forSome(worker -> worker.inboundBlocked = true, worker -> worker.inboundBlocked = false);
        scene.atEnd(() -> carryOut(scene.world().heldCommands));
    }),
    /** Machines stop for good. */
    MACHINES_CRASH(scene -> scene.some().subList(0, scene.some().size() / 3).forEach(SimulatedCluster.Worker::crash)),
    /** Direct commands are held up. */
    COMMANDS_DELAYED(scene -> {
        scene.world().commandDelayS = 0.5 + scene.random().nextDouble() * 8;
        scene.atEnd(() -> scene.world().commandDelayS = 0);
    }),
    /** Old reports arrive again. */
    REPORTS_REPLAYED(scene -> {
        Runnable come = oldReports(scene);
        scene.world().schedule(2 + scene.random().nextDouble() * scene.forS(), come);
    }),
    /** Old reports arrive at the next leader. */
    REPORTS_REPLAYED_TO_NEXT_LEADER(scene -> {
        SimulatedCluster world = scene.world();
        Runnable come = oldReports(scene);
        world.onTermStart.add(node -> world.schedule(scene.random().nextInt(3) * 0.4, come));
    }),
    /** A zone with a controller is cut off. */
    ZONE_ISOLATED(scene -> {
        SimulatedCluster world = scene.world();
        scene.any().inIsolatedZone = true;
        for (SimulatedCluster.Worker worker : world.workers.values()) {
            boolean struck = world.cloud.zones.size() > 1 || worker.name.hashCode() % 2 == 0;
            worker.inIsolatedZone = worker.zone.equals("a") && struck;
        }
        scene.atEnd(() -> {
            scene.any().inIsolatedZone = false;
            world.workers.values().forEach(worker -> worker.inIsolatedZone = false);
        });
    }),
    /** Connections between controllers are refused. */
    PEERS_REFUSE_CONNECTIONS(scene -> {
        scene.world().peersRefuseConnections = true;
        scene.atEnd(() -> scene.world().peersRefuseConnections = false);
    }),
    /** The leader stands still for some seconds. */
    LEADER_PAUSED_BRIEFLY(scene -> scene.leader().pause(Math.min(scene.forS(), 28))),
    /** Users cancel many jobs at once, and machines hang. */
    MASS_CANCELLATION(scene -> {
        SimulatedCluster world = scene.world();
        SplittableRandom random = scene.random();
        for (String id : world.acceptedJobs()) {
            if (world.outcome(id) == null && random.nextBoolean()) {
                scheduleCancellation(world, id, random.nextDouble() * 0.2, random.nextInt(5));
            }
        }
        List<SimulatedCluster.Worker> hung = new ArrayList<>(scene.some());
        hung.removeIf(worker -> !random.nextBoolean());
        hang(hung, world.nowS + Math.min(scene.forS(), world.workerLeaseS - 0.5));
    }),
    /** Users ask and repeat at all controllers. */
    FREQUENT_POLLS(scene -> {
        SimulatedCluster world = scene.world();
        SplittableRandom random = scene.random();
        for (double t = 0; t < Math.min(scene.forS(), 8); t += 0.09) {
            SimulatedCluster.ControllerProcess node = world.controllers.get(random.nextInt(world.controllers.size()));
            String id = FaultTestSteps.jobId(random.nextInt(26) + 1);
            boolean repeat = random.nextInt(4) == 0;
            world.schedule(t, () -> askOrRepeat(world, node, id, repeat));
        }
    }),
    /** The lead changes three times. */
    REPEATED_LEADER_CHANGES(scene -> {
        SimulatedCluster world = scene.world();
        for (int i = 0; i < 3; i++) {
            world.schedule(i * 5.5 + scene.random().nextDouble(), () -> {
                if (world.leader() != null) {
                    world.leader().restartAfter(0.3);
                }
            });
        }
    }),
    /** The cloud's interface is down. */
    CLOUD_DOWN(scene -> {
        scene.world().cloud.down = true;
        scene.atEnd(() -> scene.world().cloud.down = false);
    }),
    /** The state service answers slowly. */
    STATE_SERVICE_SLOW(scene -> {
        scene.world().stateService.extraLatencyS = 0.1 + scene.random().nextDouble() * 0.5;
        scene.atEnd(() -> scene.world().stateService.extraLatencyS = 0);
    }),
    /** The leader loses its workers. */
    LEADER_CUT_FROM_WORKERS(scene -> {
        scene.leader().cutFromWorkers = true;
        scene.atEnd(() -> scene.leader().cutFromWorkers = false);
    }),
    /** The leader stands still for more than a minute. */
    LEADER_PAUSED_OVER_A_MINUTE(scene -> scene.leader().pause(overAMinute(scene.forS())), InjectedFault::overAMinute),
    /** Some controller stands still for more than a minute, users' requests waiting in its sockets. */
    CONTROLLER_PAUSED_OVER_A_MINUTE(
            scene -> {
                SimulatedCluster.ControllerProcess any = scene.any();
                any.pause(overAMinute(scene.forS()));
                for (String id : scene.world().acceptedJobs()) {
                    any.askAsyncThroughSocket("poll", id, reply -> any.users.poll(id, reply), null);
                    if (scene.random().nextInt(4) == 0) {
                        any.askAsyncThroughSocket("abort", id, reply -> any.users.cancel(id, reply), null);
                    }
                }
            },
            InjectedFault::overAMinute),
    /** The leader reaches the state service and nobody else. */
    LEADER_REACHES_ONLY_STATE_SERVICE(scene -> {
        SimulatedCluster.ControllerProcess leader = scene.leader();
        leader.cutFromWorkers = true;
        leader.cutFromPeers = true;
        scene.atEnd(() -> {
            leader.cutFromWorkers = false;
            leader.cutFromPeers = false;
        });
    }),
    /** The leader reaches its peers and nobody else. */
    LEADER_REACHES_ONLY_PEERS(scene -> {
        scene.leader().cutFromWorkers = true;
        link(scene, scene.leader(), FakeStateService.Link.PARTITIONED, scene.forS());
        scene.atEnd(() -> scene.leader().cutFromWorkers = false);
    }),
    /** Ordered machines come up late. */
    MACHINES_BOOT_SLOWLY(scene -> {
        scene.world().bootSlowdownFactor = 2 + scene.random().nextDouble() * 10;
        scene.atEnd(() -> scene.world().bootSlowdownFactor = 1);
    }),
    /** Every other machine that is ordered never comes up. */
    MACHINES_NEVER_BOOT(scene -> {
        scene.world().everyNthNeverBoots = 2;
        scene.atEnd(() -> scene.world().everyNthNeverBoots = 0);
    }),
    /** Users ask hundreds of times a second at every controller, within the state service's limits. */
    POLL_OVERLOAD(scene -> {
        SimulatedCluster world = scene.world();
        double forS = Math.min(scene.forS(), 12);
        world.stateService.rps = 200;
        for (double at = 0; at < forS; at += 0.05) {
            int first = scene.random().nextInt(26);
            world.schedule(at, () -> askEverybody(world, first));
        }
        world.schedule(forS + 1, () -> world.stateService.rps = Double.POSITIVE_INFINITY);
    }),
    /** Jobs that fail on every machine, until their users cancel them. */
    FAILING_JOBS(scene -> {
        SimulatedCluster world = scene.world();
        for (int i = 0; i < 3; i++) {
            String id = FaultTestSteps.jobId(100 + world.failingJobs.size());
            world.failingJobs.add(id);
            boolean gang = i == 2;
            Map<String, Object> urgent = Map.of("urgency", scene.random().nextBoolean() ? "prod" : "standard");
            SimulatedCluster.ControllerProcess node =
                    world.controllers.get(scene.random().nextInt(world.controllers.size()));
            for (double again = 0; again < 9; again += 3) {
                world.schedule(again, () -> {
                    if (!world.acceptedJobs().contains(id)) {
                        node.submitAsync(id, gang ? 4 : 20, gang, urgent);
                    }
                });
            }
            scheduleCancellation(world, id, scene.forS() + 5, i);
        }
    }),
    /** A team without a guarantee submits idle work, one large array and a swarm. */
    BEST_EFFORT_TEAM(scene -> {
        SimulatedCluster world = scene.world();
        Map<String, Object> idle = Map.of("crew", "guest", "urgency", "idle");
        SimulatedCluster.ControllerProcess node = scene.any();
        int from = 200
                + (int) world.acceptedJobs().stream()
                        .filter(id -> id.compareTo("wk-000200") >= 0)
                        .count();
        node.submitAsync(FaultTestSteps.jobId(from), 150, false, idle);
        for (int i = 1; i <= 25; i++) {
            String id = FaultTestSteps.jobId(from + i);
            world.schedule(i * 0.25, () -> node.submitAsync(id, 1, false, idle));
        }
    });

    private final Consumer<FaultContext> strike;
    private final DoubleUnaryOperator lasts;

    InjectedFault(Consumer<FaultContext> strike) {
        this(strike, DoubleUnaryOperator.identity());
    }

    InjectedFault(Consumer<FaultContext> strike, DoubleUnaryOperator lasts) {
        this.strike = strike;
        this.lasts = lasts;
    }

    /** How many of them, the first ones, the earlier seeds draw from. */
    static final int ORIGINAL_COUNT = LEADER_CUT_FROM_WORKERS.ordinal() + 1;

    /** Where a fault begins: whom it strikes, for how long, and by which luck. */
    record FaultContext(
            SimulatedCluster world,
            SimulatedCluster.ControllerProcess leader,
            SimulatedCluster.ControllerProcess any,
            List<SimulatedCluster.Worker> some,
            double forS,
            double backS,
            SplittableRandom random) {
        static FaultContext of(SimulatedCluster world, double forS, SplittableRandom random) {
            SimulatedCluster.ControllerProcess any = world.controllers.get(random.nextInt(world.controllers.size()));
            SimulatedCluster.ControllerProcess leader = world.leader() == null ? any : world.leader();
            List<SimulatedCluster.Worker> some = new ArrayList<>(world.workers.values());
            some.removeIf(worker -> random.nextInt(3) == 0);
            double backS = random.nextBoolean() ? 0.1 + random.nextDouble() * 0.4 : 1 + random.nextDouble() * 8;
            return new FaultContext(world, leader, any, some, forS, backS, random);
        }

        /** Runs something when the fault is over. */
        void atEnd(Runnable end) {
            world.schedule(forS, end);
        }

        /** Strikes some of the machines for as long as the fault lasts. */
        void forSome(Consumer<SimulatedCluster.Worker> begin, Consumer<SimulatedCluster.Worker> end) {
            for (SimulatedCluster.Worker worker : some) {
                begin.accept(worker);
                atEnd(() -> end.accept(worker));
            }
        }
    }

    void inject(FaultContext scene) {
        strike.accept(scene);
    }

    /** Seconds after which it is over. */
    double durationS(double forS) {
        return lasts.applyAsDouble(forS);
    }

    private static double overAMinute(double forS) {
        return 60 + forS;
    }

    private static void hang(List<SimulatedCluster.Worker> workers, double until) {
        workers.forEach(worker -> worker.hungUntilS = until);
    }

    /** What was held up on its way arrives. */
    private static void carryOut(List<Runnable> held) {
        List<Runnable> now = new ArrayList<>(held);
        held.clear();
        now.forEach(Runnable::run);
    }

    private static void askOrRepeat(
            SimulatedCluster world, SimulatedCluster.ControllerProcess node, String id, boolean repeat) {
        if (world.originalSubmission(id) == null) {
            return;
        }
        if (repeat) {
            node.resubmit(id);
        } else {
            node.askAsync("poll", id, reply -> node.users.poll(id, reply), null);
        }
    }

    private static void askEverybody(SimulatedCluster world, int first) {
        for (SimulatedCluster.ControllerProcess node : world.controllers) {
            for (int i = 0; i < 10; i++) {
                String id = FaultTestSteps.jobId(1 + (first + i) % 26);
                node.askAsync("poll", id, reply -> node.users.poll(id, reply), null);
            }
        }
    }

    private static void linkAll(FaultContext scene, FakeStateService.Link link) {
        double forS = Math.min(scene.forS(), 9);
        scene.world().controllers.forEach(node -> link(scene, node, link, forS));
    }

    /** A user cancels the job, asking again and again at different controllers. */
    static void scheduleCancellation(SimulatedCluster world, String id, double at, int first) {
        for (int i = 0; i < 8; i++) {
            SimulatedCluster.ControllerProcess node = world.controllers.get((first + i) % world.controllers.size());
            world.schedule(at + 2 * i, () -> {
                if (world.acceptedJobs().contains(id) && world.outcome(id) == null) {
                    node.askAsync("abort", id, x -> node.users.cancel(id, x), null);
                }
            });
        }
    }

    private static void link(
            FaultContext scene, SimulatedCluster.ControllerProcess node, FakeStateService.Link link, double forS) {
        node.stateLink = link;
        scene.world().schedule(forS, () -> {
            if (node.stateLink == link) {
                node.stateLink = FakeStateService.Link.HEALTHY;
            }
        });
    }

    private static Runnable oldReports(FaultContext scene) {
        SimulatedCluster world = scene.world();
        SplittableRandom random = scene.random();
        List<Report> old = new ArrayList<>();
        for (SimulatedCluster.Worker worker : world.workers.values()) {
            for (Report node : worker.sentReports.subList(
                    Math.max(0, worker.sentReports.size() - 12), worker.sentReports.size())) {
                if (random.nextInt(3) > 0) {
                    old.add(node);
                }
            }
        }
        return () -> {
            for (SimulatedCluster.ControllerProcess node : world.controllers) {
                if (node.up && node.pausedUntilS <= world.nowS) {
                    old.forEach(node.controller::handleReport);
                }
            }
        };
    }
}
