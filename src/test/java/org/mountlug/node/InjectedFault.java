package org.mountlug.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.mountlug.core.model.Report;

/** The faults that meet in {@link SeededFaultsTest}; each begins at once and ends by itself. */
enum InjectedFault {
    /** The leader's process ends and comes back. */
    LEADER_ENDS {
        @Override
        void begin(Scene scene) {
            SimulatedCluster.Node leader = scene.leader();
            double backS = scene.backS();
            leader.restartAfter(backS);
        }
    },
    /** All controllers end and come back. */
    ALL_END {
        @Override
        void begin(Scene scene) {
            SimulatedCluster world = scene.world();
            SplittableRandom random = scene.random();
            double forS = scene.forS();
            double backS = scene.backS();
            for (SimulatedCluster.Node node : world.nodes) {
                node.restartAfter(random.nextBoolean() ? 0.2 + random.nextDouble() : backS + Math.min(forS, 20));
            }
        }
    },
    /** The state service refuses the leader alone. */
    LEADER_REFUSED {
        @Override
        void begin(Scene scene) {
            SimulatedCluster world = scene.world();
            SimulatedCluster.Node leader = scene.leader();
            double forS = scene.forS();
            link(scene, leader, StateStandIn.Link.REFUSED, forS);
        }
    },
    /** The state service is out. */
    OUTAGE {
        @Override
        void begin(Scene scene) {
            SimulatedCluster world = scene.world();
            double forS = scene.forS();
            world.state.outage = true;
            world.in(forS, world.state::recover);
        }
    },
    /** The leader loses the state service and its peers; what it sent is carried out late. */
    LEADER_SILENT {
        @Override
        void begin(Scene scene) {
            SimulatedCluster world = scene.world();
            SimulatedCluster.Node leader = scene.leader();
            double forS = scene.forS();
            link(scene, leader, StateStandIn.Link.SILENT, forS);
            leader.cutFromPeers = true;
            world.in(forS, () -> {
                leader.cutFromPeers = false;
                List<Runnable> held = new ArrayList<>(world.state.heldBack);
                world.state.heldBack.clear();
                held.forEach(Runnable::run);
            });
        }
    },
    /** Transactions are carried out, their answers lost. */
    UNHEARD {
        @Override
        void begin(Scene scene) {
            SimulatedCluster world = scene.world();
            double forS = scene.forS();
            world.nodes.forEach(node -> link(scene, node, StateStandIn.Link.UNHEARD, Math.min(forS, 9)));
        }
    },
    /** Transactions are carried out late, without an answer. */
    LATE {
        @Override
        void begin(Scene scene) {
            SimulatedCluster world = scene.world();
            SplittableRandom random = scene.random();
            double forS = scene.forS();
            world.state.lateS = 2 + random.nextDouble() * 10;
            world.nodes.forEach(node -> link(scene, node, StateStandIn.Link.LATE, Math.min(forS, 9)));
        }
    },
    /** Machines lose the network. */
    CUT {
        @Override
        void begin(Scene scene) {
            SimulatedCluster world = scene.world();
            List<SimulatedCluster.Worker> some = scene.some();
            double forS = scene.forS();
            for (SimulatedCluster.Worker worker : some) {
                worker.cut = true;
                world.in(forS, () -> worker.cut = false);
            }
        }
    },
    /** Machines hang and go on. */
    HANG {
        @Override
        void begin(Scene scene) {
            SimulatedCluster world = scene.world();
            List<SimulatedCluster.Worker> some = scene.some();
            double forS = scene.forS();
            for (SimulatedCluster.Worker worker : some) {
                worker.hangsUntil = world.now + Math.min(forS, 25);
            }
        }
    },
    /** No report of these machines leaves; direct commands reach them. */
    MUTE {
        @Override
        void begin(Scene scene) {
            SimulatedCluster world = scene.world();
            List<SimulatedCluster.Worker> some = scene.some();
            double forS = scene.forS();
            for (SimulatedCluster.Worker worker : some) {
                worker.mute = true;
                world.in(forS, () -> worker.mute = false);
            }
        }
    },
    /** These machines hear nothing; commands to them arrive late. */
    DEAF {
        @Override
        void begin(Scene scene) {
            SimulatedCluster world = scene.world();
            List<SimulatedCluster.Worker> some = scene.some();
            double forS = scene.forS();
            for (SimulatedCluster.Worker worker : some) {
                worker.deaf = true;
                world.in(forS, () -> worker.deaf = false);
            }
            world.in(forS, () -> {
                List<Runnable> held = new ArrayList<>(world.heldCommands);
                world.heldCommands.clear();
                held.forEach(Runnable::run);
            });
        }
    },
    /** Machines stop for good. */
    DIE {
        @Override
        void begin(Scene scene) {
            List<SimulatedCluster.Worker> some = scene.some();
            for (SimulatedCluster.Worker worker : some.subList(0, some.size() / 3)) {
                worker.die();
            }
        }
    },
    /** Direct commands are held up. */
    COMMANDS_LATE {
        @Override
        void begin(Scene scene) {
            SimulatedCluster world = scene.world();
            SplittableRandom random = scene.random();
            double forS = scene.forS();
            world.commandLateS = 0.5 + random.nextDouble() * 8;
            world.in(forS, () -> world.commandLateS = 0);
        }
    },
    /** Old reports arrive again. */
    OLD_REPORTS {
        @Override
        void begin(Scene scene) {
            SimulatedCluster world = scene.world();
            SplittableRandom random = scene.random();
            double forS = scene.forS();
            Runnable come = oldReports(scene);
            world.in(2 + random.nextDouble() * forS, come);
        }
    },
    /** Old reports arrive at the next leader. */
    OLD_REPORTS_FOR_NEXT {
        @Override
        void begin(Scene scene) {
            SimulatedCluster world = scene.world();
            SplittableRandom random = scene.random();
            Runnable come = oldReports(scene);
            world.onLead.add(node -> world.in(random.nextInt(3) * 0.4, come));
        }
    },
    /** A zone with a controller is cut off. */
    ZONE_CUT {
        @Override
        void begin(Scene scene) {
            SimulatedCluster world = scene.world();
            SimulatedCluster.Node any = scene.any();
            double forS = scene.forS();
            any.inside = true;
            for (SimulatedCluster.Worker worker : world.workers.values()) {
                worker.inside =
                        worker.zone.equals("a") && (world.cloud.zones.size() > 1 || worker.name.hashCode() % 2 == 0);
            }
            world.in(forS, () -> {
                any.inside = false;
                for (SimulatedCluster.Worker worker : world.workers.values()) {
                    worker.inside = false;
                }
            });
        }
    },
    /** Connections between controllers are refused. */
    PEERS_REFUSE {
        @Override
        void begin(Scene scene) {
            SimulatedCluster world = scene.world();
            double forS = scene.forS();
            world.peersRefuse = true;
            world.in(forS, () -> world.peersRefuse = false);
        }
    },
    /** The leader stands still for some seconds. */
    FREEZE {
        @Override
        void begin(Scene scene) {
            SimulatedCluster.Node leader = scene.leader();
            double forS = scene.forS();
            leader.freeze(Math.min(forS, 28));
        }
    },
    /** Users cancel many jobs at once, and machines hang. */
    CANCEL {
        @Override
        void begin(Scene scene) {
            SimulatedCluster world = scene.world();
            SplittableRandom random = scene.random();
            List<SimulatedCluster.Worker> some = scene.some();
            double forS = scene.forS();
            for (String id : world.accepted()) {
                if (world.outcome(id) == null && random.nextBoolean()) {
                    cancel(world, id, random.nextDouble() * 0.2, random.nextInt(5));
                }
            }
            for (SimulatedCluster.Worker worker : some) {
                if (random.nextBoolean()) {
                    worker.hangsUntil = world.now + Math.min(forS, world.leaseS - 0.5);
                }
            }
        }
    },
    /** Users ask and repeat at all controllers. */
    CLOSE_LOOKS {
        @Override
        void begin(Scene scene) {
            SimulatedCluster world = scene.world();
            SplittableRandom random = scene.random();
            double forS = scene.forS();
            for (double t = 0; t < Math.min(forS, 8); t += 0.09) {
                SimulatedCluster.Node node = world.nodes.get(random.nextInt(world.nodes.size()));
                int pick = random.nextInt(26) + 1;
                boolean repeat = random.nextInt(4) == 0;
                world.in(t, () -> {
                    String id = String.format("wk-%06d", pick);
                    if (world.body(id) == null) {
                        return;
                    }
                    if (repeat) {
                        node.repeat(id);
                    } else {
                        node.askLater("poll", id, y -> node.users.poll(id, y), null);
                    }
                });
            }
        }
    },
    /** The lead changes three times. */
    HAND_BACK {
        @Override
        void begin(Scene scene) {
            SimulatedCluster world = scene.world();
            SplittableRandom random = scene.random();
            for (int i = 0; i < 3; i++) {
                world.in(i * 5.5 + random.nextDouble(), () -> {
                    if (world.leader() != null) {
                        world.leader().restartAfter(0.3);
                    }
                });
            }
        }
    },
    /** The cloud's interface is down. */
    CLOUD_DOWN {
        @Override
        void begin(Scene scene) {
            SimulatedCluster world = scene.world();
            double forS = scene.forS();
            world.cloud.down = true;
            world.in(forS, () -> world.cloud.down = false);
        }
    },
    /** The state service answers slowly. */
    SLOW_STATE {
        @Override
        void begin(Scene scene) {
            SimulatedCluster world = scene.world();
            SplittableRandom random = scene.random();
            double forS = scene.forS();
            world.state.slowS = 0.1 + random.nextDouble() * 0.5;
            world.in(forS, () -> world.state.slowS = 0);
        }
    },
    /** The leader loses its workers. */
    LEADER_WITHOUT_WORKERS {
        @Override
        void begin(Scene scene) {
            SimulatedCluster world = scene.world();
            SimulatedCluster.Node leader = scene.leader();
            double forS = scene.forS();
            leader.cutFromWorkers = true;
            world.in(forS, () -> leader.cutFromWorkers = false);
        }
    },
    /** The leader stands still for more than a minute. */
    LEADER_PAUSED {
        @Override
        double lastsS(double forS) {
            return 60 + forS;
        }

        @Override
        void begin(Scene scene) {
            scene.leader().freeze(lastsS(scene.forS()));
        }
    },
    /** Some controller stands still for more than a minute, users' requests waiting in its sockets. */
    CONTROLLER_PAUSED {
        @Override
        double lastsS(double forS) {
            return 60 + forS;
        }

        @Override
        void begin(Scene scene) {
            SimulatedCluster.Node any = scene.any();
            any.freeze(lastsS(scene.forS()));
            for (String id : scene.world().accepted()) {
                any.askThroughSocket("poll", id, x -> any.users.poll(id, x), null);
                if (scene.random().nextInt(4) == 0) {
                    any.askThroughSocket("abort", id, x -> any.users.abort(id, x), null);
                }
            }
        }
    },
    /** The leader reaches the state service and nobody else. */
    ONLY_STATE {
        @Override
        void begin(Scene scene) {
            SimulatedCluster.Node leader = scene.leader();
            leader.cutFromWorkers = true;
            leader.cutFromPeers = true;
            scene.world().in(scene.forS(), () -> {
                leader.cutFromWorkers = false;
                leader.cutFromPeers = false;
            });
        }
    },
    /** The leader reaches its peers and nobody else. */
    ONLY_PEERS {
        @Override
        void begin(Scene scene) {
            SimulatedCluster.Node leader = scene.leader();
            leader.cutFromWorkers = true;
            link(scene, leader, StateStandIn.Link.SILENT, scene.forS());
            scene.world().in(scene.forS(), () -> leader.cutFromWorkers = false);
        }
    },
    /** Ordered machines come up late. */
    BOOTS_LATE {
        @Override
        void begin(Scene scene) {
            scene.world().bootFactor = 2 + scene.random().nextDouble() * 10;
            scene.world().in(scene.forS(), () -> scene.world().bootFactor = 1);
        }
    },
    /** Every other machine that is ordered never comes up. */
    BOOTS_NEVER {
        @Override
        void begin(Scene scene) {
            scene.world().neverBootsEvery = 2;
            scene.world().in(scene.forS(), () -> scene.world().neverBootsEvery = 0);
        }
    },
    /** Users ask hundreds of times a second at every controller, within the state service's limits. */
    QUESTION_STORM {
        @Override
        void begin(Scene scene) {
            SimulatedCluster world = scene.world();
            double forS = Math.min(scene.forS(), 12);
            world.state.rps = 200;
            for (double at = 0; at < forS; at += 0.05) {
                int first = scene.random().nextInt(26);
                world.in(at, () -> {
                    for (SimulatedCluster.Node node : world.nodes) {
                        for (int i = 0; i < 10; i++) {
                            String id = String.format("wk-%06d", 1 + (first + i) % 26);
                            node.askLater("poll", id, x -> node.users.poll(id, x), null);
                        }
                    }
                });
            }
            world.in(forS + 1, () -> world.state.rps = Double.POSITIVE_INFINITY);
        }
    },
    /** Jobs that fail on every machine, until their users cancel them. */
    FAILING_JOBS {
        @Override
        void begin(Scene scene) {
            SimulatedCluster world = scene.world();
            for (int i = 0; i < 3; i++) {
                String id = String.format("wk-%06d", 100 + world.faulty.size());
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
        }
    },
    /** A team without a guarantee submits idle work, one large array and a swarm. */
    GUEST_TEAM {
        @Override
        void begin(Scene scene) {
            SimulatedCluster world = scene.world();
            Map<String, Object> idle = Map.of("crew", "guest", "urgency", "idle");
            SimulatedCluster.Node node = scene.any();
            int from = 200
                    + (int) world.accepted().stream()
                            .filter(id -> id.compareTo("wk-000200") >= 0)
                            .count();
            node.send(String.format("wk-%06d", from), 150, false, idle);
            for (int i = 1; i <= 25; i++) {
                String id = String.format("wk-%06d", from + i);
                world.in(i * 0.25, () -> node.send(id, 1, false, idle));
            }
        }
    };

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
    }

    abstract void begin(Scene scene);

    /** Seconds after which it is over. */
    double lastsS(double forS) {
        return forS;
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
