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

/** Runs a {@link Controller} as a process, with its server, its clients and its timers on one I/O thread. */
public final class ControllerServer {
    private static final Logger LOG = LoggerFactory.getLogger(ControllerServer.class);

    private final Settings settings;
    private final OperatorSettings operators;
    private XnioWorker worker;
    private XnioIoThread ioThread;
    private Undertow server;
    private Controller controller;
    private PeerConnections peers;
    private double nextPeerPollS;
    private boolean stopped;
    private final List<String> sizingNotes;

    /** @param sizingNotes notes of {@link org.mountlug.settings.ControllerSizing} for the log */
    public ControllerServer(Settings settings, OperatorSettings operators, List<String> sizingNotes) {
        this.sizingNotes = sizingNotes;
        this.settings = settings;
        this.operators = operators;
    }

    /** Returns the monotonic time in seconds. */
    private static double clockS() {
        return System.nanoTime() / 1e9;
    }

    /** Opens the sockets and starts the ticks of the controller. */
    public void start() throws IOException {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.STACK_SIZE, 1024 * 1024L)
                        .set(Options.TCP_NODELAY, true)
                        .getMap());
        ioThread = worker.getIoThread();
        ByteBufferPool pool = new DefaultByteBufferPool(true, Constants.IO_BUFFER_BYTES, 64, 4);
        StateClient state = new StateClient(
                new PooledHttpClient(ioThread, pool, settings.stateAddress(), Constants.STATE_CONNECTIONS),
                new PooledHttpClient(ioThread, pool, settings.stateAddress(), Constants.WATCH_CONNECTIONS),
                ControllerServer::clockS,
                settings.stateRps(),
                settings.peers().size() + 1);
        Environment environment = new Environment(
                settings,
                operators,
                state,
                new PooledHttpClient(ioThread, pool, settings.cloudAddress(), Constants.CLOUD_CONNECTIONS),
                address -> new PooledHttpClient(ioThread, pool, address, 1, false),
                ControllerServer::clockS,
                System::currentTimeMillis,
                this::runAfter);
        controller = new Controller(environment, new SplittableRandom());
        int colon = settings.listenAddress().lastIndexOf(':');
        server = Undertow.builder()
                .setWorker(worker)
                .setByteBufferPool(pool)
                .addHttpListener(
                        Integer.parseInt(settings.listenAddress().substring(colon + 1)),
                        settings.listenAddress().substring(0, colon))
                .setHandler(new HttpApi(
                        controller, new UserRequestHandler(controller, state, settings, System::currentTimeMillis)))
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, (long) Constants.MAX_BODY_BYTES * 2)
                // A machine that dies or is cut off never closes its connection, which would stay open forever.
                .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, Constants.IDLE_CONNECTION_TIMEOUT_MS)
                .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
                .setServerOption(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .setSocketOption(Options.BACKLOG, ControllerSizing.backlog(settings))
                .build();
        server.start();
        Map<String, String> peerEndpoints = new LinkedHashMap<>();
        for (Settings.Peer peer : settings.peers()) {
            peerEndpoints.put(peer.label(), peer.endpoint());
        }
        peers = new PeerConnections(
                worker,
                ioThread,
                ControllerServer::clockS,
                peerEndpoints,
                controller::answerPeerRequest,
                controller::handlePeerResponse,
                controller::recordPeerRefusal);
        peers.listen(settings.clusterListenAddress());
        LOG.info(
                "controller {} listens on {}: {}",
                settings.label(),
                settings.listenAddress(),
                String.join("; ", sizingNotes));
        ioThread.execute(this::tick);
    }

    /** Stops the controller; for CDS training runs and tests, as a controller in production runs until it is killed. */
    public void stop() {
        stopped = true;
        server.stop();
        // The peer connections are used by the I/O thread alone, which shuts down once it has closed them.
        ioThread.execute(() -> {
            peers.close();
            worker.shutdownNow();
        });
    }

    private void runAfter(Runnable action, int delayMs) {
        if (stopped) {
            return; // pending actions are dropped with the XNIO worker
        }
        ioThread.executeAfter(
                () -> {
                    if (!stopped) {
                        action.run();
                    }
                },
                delayMs,
                TimeUnit.MILLISECONDS);
    }

    private void tick() {
        if (stopped) {
            return;
        }
        try {
            controller.tick();
            double nowS = clockS();
            if (nowS >= nextPeerPollS) {
                nextPeerPollS = nowS + Constants.PEER_POLL_INTERVAL_MS / 1000.0;
                peers.requestStatus();
            }
        } catch (RuntimeException e) {
            LOG.error("a tick of the controller failed", e);
        }
        ioThread.executeAfter(this::tick, Constants.TICK_MS, TimeUnit.MILLISECONDS);
    }
}
