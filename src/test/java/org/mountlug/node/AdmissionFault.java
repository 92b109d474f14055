package org.mountlug.node;

import java.util.List;
import java.util.function.Consumer;

/** A fault that is injected while users submit jobs, with the longest delays that it may cause. */
enum AdmissionFault {
    NONE(0, 0, load -> {}),
    CLOCK_SKEW(0, 0, load -> {
        List<SimulatedCluster.ControllerProcess> processes = load.cluster.controllers;
        for (int i = 0; i < processes.size(); i++) {
            processes.get(i).clockSkewMs =
                    i % 2 == 0 ? SimulatedCluster.MAX_CLOCK_SKEW_MS : -SimulatedCluster.MAX_CLOCK_SKEW_MS;
        }
    }),
    USERS_IGNORE_RETRY_AFTER(0, 0, load -> load.honorsRetryAfter = false),
    LEADER_RESTARTS_TWICE(0, 6, load -> {
        load.cluster.schedule(15, () -> load.cluster.leader().restartAfter(0.3));
        load.cluster.schedule(35, () -> load.cluster.leader().restartAfter(5));
    }),
    WRITE_RESPONSES_LOST(
            8,
            0,
            load -> degradeStateLink(
                    load, load.cluster.controllers.get(1), FakeStateService.Link.RESPONSES_LOST, 20, 8)),
    WRITES_DELAYED(
            8, 8, load -> degradeStateLink(load, load.cluster.leader(), FakeStateService.Link.WRITES_DELAYED, 20, 8)),
    STATE_SERVICE_REFUSES_FOLLOWER(
            0, 0, load -> degradeStateLink(load, follower(load), FakeStateService.Link.REFUSED, 15, 20)),
    STATE_SERVICE_REFUSES_LEADER(
            0, 8, load -> degradeStateLink(load, load.cluster.leader(), FakeStateService.Link.REFUSED, 15, 20)),
    FOLLOWER_PAUSED(0, 0, load -> load.cluster.schedule(15, () -> follower(load).pause(30))),
    LEADER_PAUSED(
            0, 8, load -> load.cluster.schedule(15, () -> load.cluster.leader().pause(30))),
    PEERS_REFUSE_CONNECTIONS(0, 0, load -> load.cluster.peersRefuseConnections = true),
    STATE_SERVICE_OUTAGE(15, 15, load -> {
        load.cluster.schedule(20, () -> load.cluster.stateService.outage = true);
        load.cluster.schedule(35, load.cluster.stateService::recover);
    }),
    ALL_CONTROLLERS_RESTART(
            12,
            6,
            load -> load.cluster.schedule(20, () -> {
                List<SimulatedCluster.ControllerProcess> processes = load.cluster.controllers;
                for (int i = 0; i < processes.size(); i++) {
                    processes.get(i).restartAfter(i == 0 ? 0.2 : 4 + i);
                }
            })),
    FOLLOWER_OF_PRODUCTION_VERSION(0, 0, load -> {
        SimulatedCluster.ControllerProcess process = follower(load);
        process.runsProductionVersion = true;
        process.restartAfter(1);
    });

    /** Longest time, in seconds, for which the fault may delay the acceptance of a submission. */
    final double unavailableS;
    /** Longest time, in seconds, without a leader that reaches the state service. */
    final double leaderlessS;

    /** Schedules the fault on the load's cluster. */
    final Consumer<LoadGenerator> injection;

    AdmissionFault(double unavailableS, double leaderlessS, Consumer<LoadGenerator> injection) {
        this.unavailableS = unavailableS;
        this.leaderlessS = leaderlessS;
        this.injection = injection;
    }

    /** Returns the first controller that runs and does not lead. */
    private static SimulatedCluster.ControllerProcess follower(LoadGenerator load) {
        return FaultTestSteps.otherController(load.cluster, load.cluster.leader());
    }

    /** Degrades a controller's link to the state service in {@code delayS} seconds, for {@code durationS} seconds. */
    private static void degradeStateLink(
            LoadGenerator load,
            SimulatedCluster.ControllerProcess process,
            FakeStateService.Link link,
            double delayS,
            double durationS) {
        load.cluster.schedule(delayS, () -> process.stateLink = link);
        load.cluster.schedule(delayS + durationS, () -> process.stateLink = FakeStateService.Link.HEALTHY);
    }
}
