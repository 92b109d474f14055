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
    LEADER_ENDS(scene -> scene.leader().restartAfter(scene.backS())),
    /** All controllers end and come back. */
    ALL_END(scene -> {
        SplittableRandom random = scene.random();
        double laterS = scene.backS() + Math.min(scene.forS(), 20);
        for (SimulatedCluster.Node node : scene.world().nodes) {
            node.restartAfter(random.nextBoolean() ? 0.2 + random.nextDouble() : laterS);
        }
    }),
    /** The state service refuses the leader alone. */
    LEADER_REFUSED(scene -> link(scene, scene.leader(), StateStandIn.Link.REFUSED, scene.forS())),
    /** The state service is out. */
    OUTAGE(scene -> {
        scene.world().state.outage = true;
        scene.atEnd(scene.world().state::recover);
    }),
    /** The leader loses the state service and its peers; what it sent is carried out late. */
    LEADER_SILENT(scene -> {
        StateStandIn state = scene.world().state;
        link(scene, scene.leader(), StateStandIn.Link.SILENT, scene.forS());
        scene.leader().cutFromPeers = true;
        scene.atEnd(() -> {
            scene.leader().cutFromPeers = false;
            carryOut(state.heldBack);
        });
    }),
    /** Transactions are carried out, their answers lost. */
    UNHEARD(scene -> linkAll(scene, StateStandIn.Link.UNHEARD)),
    /** Transactions are carried out late, without an answer. */
    LATE(scene -> {
        scene.world().state.lateS = 2 + scene.random().nextDouble() * 10;
        linkAll(scene, StateStandIn.Link.LATE);
    }),
    /** Machines lose the network. */
    CUT(scene -> scene.forSome(worker -> worker.cut = true, worker -> worker.cut = false)),
    /** Machines hang and go on. */
    HANG(scene -> hang(scene.some(), scene.world().now + Math.min(scene.forS(), 25))),
    /** No report of these machines leaves; direct commands reach them. */
    MUTE(scene -> scene.forSome(worker -> worker.mute = true, worker -> worker.mute = false)),
    /** These machines hear nothing; commands to them arrive late. */
    DEAF(scene -> {
        scene.forSome(worker -> worker.deaf = true, worker -> worker.deaf = false);
        scene.atEnd(() -> carryOut(scene.world().heldCommands));
    }),
    /** Machines stop for good. */
    DIE(scene -> scene.some().subList(0, scene.some().size() / 3).forEach(SimulatedCluster.Worker::die)),
    /** Direct commands are held up. */
    COMMANDS_LATE(scene -> {
        scene.world().commandLateS = 0.5 + scene.random().nextDouble() * 8;
        scene.atEnd(() -> scene.world().commandLateS = 0);
    }),
    /** Old reports arrive again. */
    OLD_REPORTS(scene -> {
        Runnable come = oldReports(scene);
        scene.world().in(2 + scene.random().nextDouble() * scene.forS(), come);
    }),
    /** Old reports arrive at the next leader. */
    OLD_REPORTS_FOR_NEXT(scene -> {
        SimulatedCluster world = scene.world();
        Runnable come = oldReports(scene);
        world.onLead.add(node -> world.in(scene.random().nextInt(3) * 0.4, come));
    }),
    /** A zone with a controller is cut off. */
    ZONE_CUT(scene -> {
        SimulatedCluster world = scene.world();
        scene.any().inside = true;
        for (SimulatedCluster.Worker worker : world.workers.values()) {
            boolean struck = world.cloud.zones.size() > 1 || worker.name.hashCode() % 2 == 0;
            worker.inside = worker.zone.equals("a") && struck;
        }
        scene.atEnd(() -> {
            scene.any().inside = false;
            world.workers.values().forEach(worker -> worker.inside = false);
        });
    }),
    /** Connections between controllers are refused. */
    PEERS_REFUSE(scene -> {
        scene.world().peersRefuse = true;
        scene.atEnd(() -> scene.world().peersRefuse = false);
    }),
    /** The leader stands still for some seconds. */
    FREEZE(scene -> scene.leader().freeze(Math.min(scene.forS(), 28))),
    /** Users cancel many jobs at once, and machines hang. */
    CANCEL(scene -> {
        SimulatedCluster world = scene.world();
        SplittableRandom random = scene.random();
        for (String id : world.accepted()) {
            if (world.outcome(id) == null && random.nextBoolean()) {
                cancel(world, id, random.nextDouble() * 0.2, random.nextInt(5));
            }
        }
        List<SimulatedCluster.Worker> hung = new ArrayList<>(scene.some());
        hung.removeIf(worker -> !random.nextBoolean());
        hang(hung, world.now + Math.min(scene.forS(), world.leaseS - 0.5));
    }),
    /** Users ask and repeat at all controllers. */
    CLOSE_LOOKS(scene -> {
        SimulatedCluster world = scene.world();
        SplittableRandom random = scene.random();
        for (double t = 0; t < Math.min(scene.forS(), 8); t += 0.09) {
            SimulatedCluster.Node node = world.nodes.get(random.nextInt(world.nodes.size()));
            String id = FaultScenario.id(random.nextInt(26) + 1);
            boolean repeat = random.nextInt(4) == 0;
            world.in(t, () -> askOrRepeat(world, node, id, repeat));
        }
    }),
    /** The lead changes three times. */
    HAND_BACK(scene -> {
        SimulatedCluster world = scene.world();
        for (int i = 0; i < 3; i++) {
            world.in(i * 5.5 + scene.random().nextDouble(), () -> {
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
    SLOW_STATE(scene -> {
        scene.world().state.slowS = 0.1 + scene.random().nextDouble() * 0.5;
        scene.atEnd(() -> scene.world().state.slowS = 0);
    }),
    /** The leader loses its workers. */
    LEADER_WITHOUT_WORKERS(scene -> {
        scene.leader().cutFromWorkers = true;
        scene.atEnd(() -> scene.leader().cutFromWorkers = false);
    }),
    /** The leader stands still for more than a minute. */
    LEADER_PAUSED(scene -> scene.leader().freeze(overAMinute(scene.forS())), InjectedFault::overAMinute),
    /** Some controller stands still for more than a minute, users' requests waiting in its sockets. */
    CONTROLLER_PAUSED(
            scene -> {
                SimulatedCluster.Node any = scene.any();
                any.freeze(overAMinute(scene.forS()));
                for (String id : scene.world().accepted()) {
                    any.askThroughSocket("poll", id, reply -> any.users.poll(id, reply), null);
                    if (scene.random().nextInt(4) == 0) {
                        any.askThroughSocket("abort", id, reply -> any.users.abort(id, reply), null);
                    }
                }
            },
            InjectedFault::overAMinute),
    /** The leader reaches the state service and nobody else. */
    ONLY_STATE(scene -> {
        SimulatedCluster.Node leader = scene.leader();
        leader.cutFromWorkers = true;
        leader.cutFromPeers = true;
        scene.atEnd(() -> {
            leader.cutFromWorkers = false;
            leader.cutFromPeers = false;
        });
    }),
    /** The leader reaches its peers and nobody else. */
    ONLY_PEERS(scene -> {
        scene.leader().cutFromWorkers = true;
        link(scene, scene.leader(), StateStandIn.Link.SILENT, scene.forS());
        scene.atEnd(() -> scene.leader().cutFromWorkers = false);
    }),
    /** Ordered machines come up late. */
    BOOTS_LATE(scene -> {
        scene.world().bootFactor = 2 + scene.random().nextDouble() * 10;
        scene.atEnd(() -> scene.world().bootFactor = 1);
    }),
    /** Every other machine that is ordered never comes up. */
    BOOTS_NEVER(scene -> {
        scene.world().neverBootsEvery = 2;
        scene.atEnd(() -> scene.world().neverBootsEvery = 0);
    }),
    /** Users ask hundreds of times a second at every controller, within the state service's limits. */
    QUESTION_STORM(scene -> {
        SimulatedCluster world = scene.world();
        double forS = Math.min(scene.forS(), 12);
        world.state.rps = 200;
        for (double at = 0; at < forS; at += 0.05) {
            int first = scene.random().nextInt(26);
            world.in(at, () -> askEverybody(world, first));
        }
        world.in(forS + 1, () -> world.state.rps = Double.POSITIVE_INFINITY);
    }),
    /** Jobs that fail on every machine, until their users cancel them. */
    FAILING_JOBS(scene -> {
        SimulatedCluster world = scene.world();
        for (int i = 0; i < 3; i++) {
            String id = FaultScenario.id(100 + world.faulty.size());
            world.faulty.add(id);
            boolean gang = i == 2;
            Map<String, Object> urgent = Map.of("urgency", scene.random().nextBoolean() ? "prod" : "standard");
            SimulatedCluster.Node node = world.nodes.get(scene.random().nextInt(world.nodes.size()));
            for (double again = 0; again < 9; again += 3) {
                world.in(again, () -> {
                    if (!world.accepted().contains(id)) {
                        node.send(id, gang ? 4 : 20, gang, urgent);
                    }
                });
            }
            cancel(world, id, scene.forS() + 5, i);
        }
    }),
    /** A team without a guarantee submits idle work, one large array and a swarm. */
    GUEST_TEAM(scene -> {
        SimulatedCluster world = scene.world();
        Map<String, Object> idle = Map.of("crew", "guest", "urgency", "idle");
        SimulatedCluster.Node node = scene.any();
        int from = 200
                + (int) world.accepted().stream()
                        .filter(id -> id.compareTo("wk-000200") >= 0)
                        .count();
        node.send(FaultScenario.id(from), 150, false, idle);
        for (int i = 1; i <= 25; i++) {
            String id = FaultScenario.id(from + i);
            world.in(i * 0.25, () -> node.send(id, 1, false, idle));
        }
    });

    private final Consumer<Scene> strike;
    private final DoubleUnaryOperator lasts;

    InjectedFault(Consumer<Scene> strike) {
        this(strike, DoubleUnaryOperator.identity());
    }

    InjectedFault(Consumer<Scene> strike, DoubleUnaryOperator lasts) {
        this.strike = strike;
        this.lasts = lasts;
    }

    /** How many of them, the first ones, the earlier seeds draw from. */
    static final int EARLIER = LEADER_WITHOUT_WORKERS.ordinal() + 1;

    /** Where a fault begins: whom it strikes, for how long, and by which luck. */
    record Scene(
            SimulatedCluster world,
            SimulatedCluster.Node leader,
            SimulatedCluster.Node any,
            List<SimulatedCluster.Worker> some,
            double forS,
            double backS,
            SplittableRandom random) {
        static Scene of(SimulatedCluster world, double forS, SplittableRandom random) {
            SimulatedCluster.Node any = world.nodes.get(random.nextInt(world.nodes.size()));
            SimulatedCluster.Node leader = world.leader() == null ? any : world.leader();
            List<SimulatedCluster.Worker> some = new ArrayList<>(world.workers.values());
            some.removeIf(worker -> random.nextInt(3) == 0);
            double backS = random.nextBoolean() ? 0.1 + random.nextDouble() * 0.4 : 1 + random.nextDouble() * 8;
            return new Scene(world, leader, any, some, forS, backS, random);
        }

        /** Runs something when the fault is over. */
        void atEnd(Runnable end) {
            world.in(forS, end);
        }

        /** Strikes some of the machines for as long as the fault lasts. */
        void forSome(Consumer<SimulatedCluster.Worker> begin, Consumer<SimulatedCluster.Worker> end) {
            for (SimulatedCluster.Worker worker : some) {
                begin.accept(worker);
                atEnd(() -> end.accept(worker));
            }
        }
    }

    void begin(Scene scene) {
        strike.accept(scene);
    }

    /** Seconds after which it is over. */
    double lastsS(double forS) {
        return lasts.applyAsDouble(forS);
    }

    private static double overAMinute(double forS) {
        return 60 + forS;
    }

    private static void hang(List<SimulatedCluster.Worker> workers, double until) {
        workers.forEach(worker -> worker.hangsUntil = until);
    }

    /** What was held up on its way arrives. */
    private static void carryOut(List<Runnable> held) {
        List<Runnable> now = new ArrayList<>(held);
        held.clear();
        now.forEach(Runnable::run);
    }

    private static void askOrRepeat(SimulatedCluster world, SimulatedCluster.Node node, String id, boolean repeat) {
        if (world.body(id) == null) {
            return;
        }
        if (repeat) {
            node.repeat(id);
        } else {
            node.askLater("poll", id, reply -> node.users.poll(id, reply), null);
        }
    }

    private static void askEverybody(SimulatedCluster world, int first) {
        for (SimulatedCluster.Node node : world.nodes) {
            for (int i = 0; i < 10; i++) {
                String id = FaultScenario.id(1 + (first + i) % 26);
                node.askLater("poll", id, reply -> node.users.poll(id, reply), null);
            }
        }
    }

    private static void linkAll(Scene scene, StateStandIn.Link link) {
        double forS = Math.min(scene.forS(), 9);
        scene.world().nodes.forEach(node -> link(scene, node, link, forS));
    }

    /** A user cancels the job, asking again and again at different controllers. */
    static void cancel(SimulatedCluster world, String id, double at, int first) {
        for (int i = 0; i < 8; i++) {
            SimulatedCluster.Node node = world.nodes.get((first + i) % world.nodes.size());
            world.in(at + 2 * i, () -> {
                if (world.accepted().contains(id) && world.outcome(id) == null) {
                    node.askLater("abort", id, x -> node.users.abort(id, x), null);
                }
            });
        }
    }

    private static void link(Scene scene, SimulatedCluster.Node node, StateStandIn.Link link, double forS) {
        node.link = link;
        scene.world().in(forS, () -> {
            if (node.link == link) {
                node.link = StateStandIn.Link.GOOD;
            }
        });
    }

    private static Runnable oldReports(Scene scene) {
        SimulatedCluster world = scene.world();
        SplittableRandom random = scene.random();
        List<Report> old = new ArrayList<>();
        for (SimulatedCluster.Worker worker : world.workers.values()) {
            for (Report node : worker.sent.subList(Math.max(0, worker.sent.size() - 12), worker.sent.size())) {
                if (random.nextInt(3) > 0) {
                    old.add(node);
                }
            }
        }
        return () -> {
            for (SimulatedCluster.Node node : world.nodes) {
                if (node.up && node.frozenUntil <= world.now) {
                    old.forEach(node.controller::handleReport);
                }
            }
        };
    }
}
