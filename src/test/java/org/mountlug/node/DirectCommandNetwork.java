package org.mountlug.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.mountlug.wire.Fields;
import org.mountlug.wire.HttpTransport;
import org.mountlug.wire.PooledHttpClient;

/** The way of direct commands from the controllers to the workers of a {@link SimulatedCluster}, with its faults. */
final class DirectCommandNetwork {
    /** Seconds that a call or its response takes without a fault. */
    private static final double LATENCY_S = 0.001;

    /** A call that a worker has executed and answered with status 200. */
    record ExecutedCall(SimulatedWorker worker, Map<String, Object> body) {
        /** Whether the call has a start of a task of the job. */
        boolean startsTaskOf(String jobId) {
            return startedAttempts().stream().anyMatch(key -> key.startsWith(jobId + "/"));
        }

        /** Whether the call has a stop. */
        boolean hasStops() {
            return Fields.getList(body, "orders").stream()
                    .anyMatch(command -> "kill".equals(Fields.asMap(command).get("verb")));
        }

        /** Returns the keys, such as {@code wk-000001/0#1}, of the attempts that the call starts. */
        List<String> startedAttempts() {
            List<String> keys = new ArrayList<>();
            for (Object entry : Fields.getList(body, "orders")) {
                Map<String, Object> command = Fields.asMap(entry);
                if ("start".equals(command.get("verb"))) {
                    keys.add(command.get("piece") + "#" + command.get("try"));
                }
            }
            return keys;
        }
    }

    private final SimulatedCluster cluster;
    /** Seconds by which calls reach workers late. */
    double delayS;
    /** Calls to workers whose inbound traffic is blocked, for a test to deliver late. */
    final List<Runnable> heldCalls = new ArrayList<>();
    /** All calls that were executed and answered, in order of time. */
    final List<ExecutedCall> executedCalls = new ArrayList<>();
    /** Draws, for each call that is executed, the seconds after which copies of it arrive again; empty for no copy. */
    Supplier<List<Double>> repeatDelaysS = List::of;
    /** Number of copies that have arrived. */
    int repeatedCalls;

    DirectCommandNetwork(SimulatedCluster cluster) {
        this.cluster = cluster;
    }

    /** Lets a copy of the call arrive now; nobody waits for the response. */
    void repeat(ExecutedCall call) {
        repeatedCalls++;
        call.worker().handleCommands(call.body(), response -> {});
    }

    /** Records a call that a worker has executed, and schedules the copies of it that are drawn; ignores refused ones. */
    void recordResponse(SimulatedWorker worker, Map<String, Object> body, PooledHttpClient.Response response) {
        if (response.status() != 200) {
            return;
        }
        ExecutedCall call = new ExecutedCall(worker, body);
        executedCalls.add(call);
        for (double repeatDelayS : repeatDelaysS.get()) {
            cluster.schedule(repeatDelayS, () -> repeat(call));
        }
    }

    /** Returns the transport from a controller to the worker at the address. */
    HttpTransport transport(String address, SimulatedCluster.ControllerProcess from) {
        return (method, path, body, timeoutMs, then) -> {
            SimulatedWorker worker = cluster.workers.get(address);
            if (worker == null || !worker.reaches(from)) {
                cluster.schedule(
                        timeoutMs / 1000.0, () -> then.accept(new PooledHttpClient.Response(0, Map.of(), false)));
                return;
            }
            boolean[] finished = new boolean[1];
            Consumer<PooledHttpClient.Response> finish = response -> {
                if (!finished[0]) {
                    finished[0] = true;
                    then.accept(response);
                }
            };
            Runnable deliver = () -> worker.handleCommands(body, response -> {
                recordResponse(worker, body, response);
                cluster.schedule(LATENCY_S, () -> finish.accept(response));
            });
            cluster.schedule(timeoutMs / 1000.0, () -> finish.accept(new PooledHttpClient.Response(0, Map.of(), true)));
            if (worker.inboundBlocked) {
                heldCalls.add(deliver);
            } else {
                cluster.schedule(delayS == 0 ? LATENCY_S : delayS, deliver);
            }
        };
    }
}
