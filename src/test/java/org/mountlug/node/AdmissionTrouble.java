package org.mountlug.node;

import java.util.List;
import java.util.function.Consumer;

/** What fails amid the flood, and for how long nobody can be served at all. */
enum AdmissionTrouble {
    NONE(0, 0, flood -> {}),
    CLOCKS_APART(0, 0, flood -> {
        List<SimulatedCluster.Node> nodes = flood.world.nodes;
        for (int i = 0; i < nodes.size(); i++) {
            nodes.get(i).skewMs = i % 2 == 0 ? SimulatedCluster.SKEW_MS : -SimulatedCluster.SKEW_MS;
        }
    }),
    USERS_COME_BACK_AT_ONCE(0, 0, flood -> flood.obedient = false),
    LEADER_ENDS_TWICE(0, 6, flood -> {
        flood.world.in(15, () -> flood.world.leader().restartAfter(0.3));
        flood.world.in(35, () -> flood.world.leader().restartAfter(5));
    }),
    ANSWERS_LOST(8, 0, flood -> link(flood, flood.world.nodes.get(1), StateStandIn.Link.UNHEARD, 20, 8)),
    WRITES_LATE(8, 8, flood -> link(flood, flood.world.leader(), StateStandIn.Link.LATE, 20, 8)),
    ONE_REFUSED(0, 0, flood -> link(flood, other(flood), StateStandIn.Link.REFUSED, 15, 20)),
    LEADER_REFUSED(0, 8, flood -> link(flood, flood.world.leader(), StateStandIn.Link.REFUSED, 15, 20)),
    ONE_PAUSED(0, 0, flood -> flood.world.in(15, () -> other(flood).freeze(30))),
    LEADER_PAUSED(0, 8, flood -> flood.world.in(15, () -> flood.world.leader().freeze(30))),
    PEERS_REFUSE(0, 0, flood -> flood.world.peersRefuse = true),
    STATE_SERVICE_DOWN(15, 15, flood -> {
        flood.world.in(20, () -> flood.world.state.outage = true);
        flood.world.in(35, flood.world.state::recover);
    }),
    ALL_END(
            12,
            6,
            flood -> flood.world.in(20, () -> {
                List<SimulatedCluster.Node> nodes = flood.world.nodes;
                for (int i = 0; i < nodes.size(); i++) {
                    nodes.get(i).restartAfter(i == 0 ? 0.2 : 4 + i);
                }
            })),
    OLD_VERSION_BESIDE(0, 0, flood -> {
        SimulatedCluster.Node old = other(flood);
        old.old = true;
        old.restartAfter(1);
    });

    final double unservedS;
    /** Seconds without a leader that is served. */
    final double leaderlessS;

    final Consumer<FloodScenario> strike;

    AdmissionTrouble(double unservedS, double leaderlessS, Consumer<FloodScenario> strike) {
        this.unservedS = unservedS;
        this.leaderlessS = leaderlessS;
        this.strike = strike;
    }

    private static SimulatedCluster.Node other(FloodScenario flood) {
        return FaultScenario.other(flood.world, flood.world.leader());
    }

    private static void link(
            FloodScenario flood, SimulatedCluster.Node node, StateStandIn.Link link, double atS, double forS) {
        flood.world.in(atS, () -> node.link = link);
        flood.world.in(atS + forS, () -> node.link = StateStandIn.Link.GOOD);
    }
}
