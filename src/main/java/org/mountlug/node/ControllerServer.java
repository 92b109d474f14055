package org.mountlug.node;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.mountlug.Constants;
import org.mountlug.api.HttpApi;
import org.mountlug.api.UserRequestHandler;
import org.mountlug.peer.PeerConnections;
import org.mountlug.settings.ControllerSizing;
import org.mountlug.settings.OperatorSettings;
import org.mountlug.settings.Settings;
import org.mountlug.store.StateClient;
import org.mountlug.wire.PooledHttpClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/** A controller as a process: the server, the clients and the timers round a {@link Controller}, on one I/O thread. */
public final class ControllerServer {
    private static final Logger LOG = LoggerFactory.getLogger(ControllerServer.class);

    private final Settings settings;
    private final OperatorSettings operators;
    private XnioWorker worker;
    private XnioIoThread io;
    private Undertow server;
    private Controller node;
    private PeerConnections peers;
    private double nextPeerS;
    private boolean stopped;
    private final List<String> sizes;

    /** @param sizes what there is to say of the sizes, see {@link org.mountlug.settings.ControllerSizing} */
    public ControllerServer(Settings settings, OperatorSettings operators, List<String> sizes) {
        this.sizes = sizes;
        this.settings = settings;
        this.operators = operators;
    }

    private static double clockS() {
        return System.nanoTime() / 1e9;
    }

    /** Opens the sockets and starts the clock. */
    public void start() throws IOException {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.STACK_SIZE, 1024 * 1024L)
                        .set(Options.TCP_NODELAY, true)
                        .getMap());
        io = worker.getIoThread();
        ByteBufferPool pool = new DefaultByteBufferPool(true, Constants.IO_BUFFER_BYTES, 64, 4);
        StateClient state = new StateClient(
                new PooledHttpClient(io, pool, settings.stateAddress(), Constants.STATE_CONNECTIONS),
                new PooledHttpClient(io, pool, settings.stateAddress(), Constants.WATCH_CONNECTIONS),
                ControllerServer::clockS,
                settings.stateRps(),
                settings.peers().size() + 1);
        Environment environment = new Environment(
                settings,
                operators,
                state,
                new PooledHttpClient(io, pool, settings.cloudAddress(), Constants.CLOUD_CONNECTIONS),
                address -> new PooledHttpClient(io, pool, address, 1, false),
                ControllerServer::clockS,
                System::currentTimeMillis,
                this::after);
        node = new Controller(environment, new SplittableRandom());
        int colon = settings.listenAddress().lastIndexOf(':');
        server = Undertow.builder()
                .setWorker(worker)
                .setByteBufferPool(pool)
                .addHttpListener(
                        Integer.parseInt(settings.listenAddress().substring(colon + 1)),
                        settings.listenAddress().substring(0, colon))
                .setHandler(new HttpApi(node, new UserRequestHandler(node, state, settings, System::currentTimeMillis)))
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long) Constants.MAX_BODY_BYTES * 2)
                // A machine that dies or is cut off closes nothing; its connection would be held for as long as we run.
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, Constants.IDLE_CONNECTION_TIMEOUT_MS)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .setSocketOption(Options.BACKLOG, ControllerSizing.backlog(settings))
                .build();
        server.start();
        Map<String, String> others = new LinkedHashMap<>();
        for (Settings.Peer p : settings.peers()) {
            others.put(p.label(), p.endpoint());
        }
        peers = new PeerConnections(
                worker,
                io,
                ControllerServer::clockS,
                others,
                node::answerPeerRequest,
                node::handlePeerResponse,
                node::recordPeerRefusal);
        peers.listen(settings.clusterListenAddress());
        LOG.info("{} listens on {}: {}", settings.label(), settings.listenAddress(), String.join("; ", sizes));
        io.execute(this::tick);
    }

    /** Ends the node; for rehearsals, as a node in service runs until it is killed. */
    public void stop() {
        stopped = true;
        server.stop();
        // Peers are touched by the I/O thread alone, which shuts down once it has closed them.
        io.execute(() -> {
            peers.close();
            worker.shutdownNow();
        });
    }

    private void after(Runnable r, int ms) {
        if (stopped) {
            return; // what was on its way ends with the worker
        }
        io.executeAfter(
                () -> {
                    if (!stopped) {
                        r.run();
                    }
                },
                ms,
                TimeUnit.MILLISECONDS);
    }

    private void tick() {
        if (stopped) {
            return;
        }
        try {
            node.tick();
            double now = clockS();
            if (now >= nextPeerS) {
                nextPeerS = now + Constants.PEER_POLL_INTERVAL_MS / 1000.0;
                peers.requestStatus();
            }
        } catch (RuntimeException e) {
            LOG.error("a turn failed", e);
        }
        io.executeAfter(this::tick, Constants.TICK_MS, TimeUnit.MILLISECONDS);
    }
}
