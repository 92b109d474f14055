package org.mountlug.node;

import java.util.List;
import java.util.function.Consumer;

/** What fails amid the flood, and for how long nobody can be served at all. */
enum AdmissionFault {
    NONE(0, 0, flood -> {}),
    CLOCK_SKEW(0, 0, flood -> {
        List<SimulatedCluster.ControllerProcess> nodes = flood.cluster.controllers;
        for (int i = 0; i < nodes.size(); i++) {
            nodes.get(i).clockSkewMs =
                    i % 2 == 0 ? SimulatedCluster.MAX_CLOCK_SKEW_MS : -SimulatedCluster.MAX_CLOCK_SKEW_MS;
        }
    }),
    USERS_IGNORE_RETRY_AFTER(0, 0, flood -> flood.honorsRetryAfter = false),
    LEADER_RESTARTS_TWICE(0, 6, flood -> {
        flood.cluster.schedule(15, () -> flood.cluster.leader().restartAfter(0.3));
        flood.cluster.schedule(35, () -> flood.cluster.leader().restartAfter(5));
    }),
    ANSWERS_LOST(
            8, 0, flood -> link(flood, flood.cluster.controllers.get(1), FakeStateService.Link.RESPONSES_LOST, 20, 8)),
    WRITES_DELAYED(8, 8, flood -> link(flood, flood.cluster.leader(), FakeStateService.Link.WRITES_DELAYED, 20, 8)),
    STATE_SERVICE_REFUSES_FOLLOWER(0, 0, flood -> link(flood, other(flood), FakeStateService.Link.REFUSED, 15, 20)),
    STATE_SERVICE_REFUSES_LEADER(
            0, 8, flood -> link(flood, flood.cluster.leader(), FakeStateService.Link.REFUSED, 15, 20)),
    FOLLOWER_PAUSED(0, 0, flood -> flood.cluster.schedule(15, () -> other(flood).pause(30))),
    LEADER_PAUSED(
            0,
            8,
            flood -> flood.cluster.schedule(15, () -> flood.cluster.leader().pause(30))),
    PEERS_REFUSE_CONNECTIONS(0, 0, flood -> flood.cluster.peersRefuseConnections = true),
    STATE_SERVICE_OUTAGE(15, 15, flood -> {
        flood.cluster.schedule(20, () -> flood.cluster.stateService.outage = true);
        flood.cluster.schedule(35, flood.cluster.stateService::recover);
    }),
    ALL_CONTROLLERS_RESTART(
            12,
            6,
            flood -> flood.cluster.schedule(20, () -> {
                List<SimulatedCluster.ControllerProcess> nodes = flood.cluster.controllers;
                for (int i = 0; i < nodes.size(); i++) {
                    nodes.get(i).restartAfter(i == 0 ? 0.2 : 4 + i);
                }
            })),
    FOLLOWER_OF_OLD_VERSION(0, 0, flood -> {
        SimulatedCluster.ControllerProcess old = other(flood);
        old.runsProductionVersion = true;
        old.restartAfter(1);
    });

    final double unservedS;
    /** Seconds without a leader that is served. */
    final double leaderlessS;

    final Consumer<LoadGenerator> injection;

    AdmissionFault(double unservedS, double leaderlessS, Consumer<LoadGenerator> strike) {
        this.unservedS = unservedS;
        this.leaderlessS = leaderlessS;
        this.injection = strike;
    }

    private static SimulatedCluster.ControllerProcess other(LoadGenerator flood) {
        return FaultTestSteps.otherController(flood.cluster, flood.cluster.leader());
    }

    private static void link(
            LoadGenerator flood,
            SimulatedCluster.ControllerProcess node,
            FakeStateService.Link link,
            double atS,
            double forS) {
        flood.cluster.schedule(atS, () -> node.stateLink = link);
        flood.cluster.schedule(atS + forS, () -> node.stateLink = FakeStateService.Link.HEALTHY);
    }
}
