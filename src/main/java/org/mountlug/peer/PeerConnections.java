package org.mountlug.peer;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.LongFunction;
import org.mountlug.Constants;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * Connections to the other controllers. Each peer has one connection with at most one request in flight, sent about once a
 * second. A connection whose peer does not respond in time is closed, so that a silent peer uses no more than one socket.
 */
public final class PeerConnections {
    private static final Logger LOG = LoggerFactory.getLogger(PeerConnections.class);

    private final XnioWorker worker;
    private final XnioIoThread ioThread;
    private final DoubleSupplier clockS;
    private final LongFunction<PeerCodec.StatusResponse> ownStatus;
    private final BiConsumer<String, TimedResponse> responseListener;
    private final Consumer<String> refusalListener;
    private final List<PeerLink> links = new ArrayList<>();
    private final Set<StreamConnection> acceptedConnections = new HashSet<>();
    private AcceptingChannel<StreamConnection> server;
    private long lastRequestId;
    private boolean closed;

    /** A response, and the monotonic time at which its request was sent. */
    public record TimedResponse(double requestedS, PeerCodec.StatusResponse response) {}

    /**
     * Creates the links to the other controllers; connections are opened with the first requests.
     *
     * @param peerAddresses address (host and port) of each peer by its label
     * @param ownStatus returns this controller's status for a request ID
     * @param responseListener receives a peer's label and its response
     * @param refusalListener receives the label of a peer that has refused a connection
     */
    public PeerConnections(
            XnioWorker worker,
            XnioIoThread ioThread,
            DoubleSupplier clockS,
            Map<String, String> peerAddresses,
            LongFunction<PeerCodec.StatusResponse> ownStatus,
            BiConsumer<String, TimedResponse> responseListener,
            Consumer<String> refusalListener) {
        this.worker = worker;
        this.ioThread = ioThread;
        this.clockS = clockS;
        this.ownStatus = ownStatus;
        this.responseListener = responseListener;
        this.refusalListener = refusalListener;
        peerAddresses.forEach((label, address) -> links.add(new PeerLink(label, socketAddress(address))));
    }

    private static InetSocketAddress socketAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /** Begins to accept connections from the other controllers and to answer their requests. */
    public void listen(String address) throws IOException {
        server = worker.createStreamConnectionServer(
                socketAddress(address),
                acceptingChannel -> {
                    try {
                        StreamConnection connection;
                        while ((connection = acceptingChannel.accept()) != null) {
                            answerRequests(connection);
                        }
                    } catch (IOException e) {
                        LOG.debug("cannot accept a peer's connection: {}", e.toString());
                    }
                },
                OptionMap.EMPTY);
        server.resumeAccepts();
    }

    /** Closes all connections and stops listening. */
    public void close() {
        closed = true;
        IoUtils.safeClose(server);
        for (PeerLink link : links) {
            link.close();
        }
        List.copyOf(acceptedConnections).forEach(IoUtils::safeClose); // closing removes a connection from the set
    }

    private void answerRequests(StreamConnection connection) {
        // Each peer uses one connection; others of its connections may be dead without having been closed here. Beyond
        // the
        // limit, any accepted connection is closed.
        if (acceptedConnections.size() >= Constants.MAX_ACCEPTED_PER_PEER * Math.max(1, links.size())) {
            StreamConnection evicted = acceptedConnections.iterator().next();
            acceptedConnections.remove(evicted);
            IoUtils.safeClose(evicted);
        }
        acceptedConnections.add(connection);
        connection.setCloseListener(x -> acceptedConnections.remove(connection));
        readFrames(
                connection, frame -> writeFrame(connection, PeerCodec.writeResponse(ownStatus.apply(frame.getLong()))));
    }

    private static void readFrames(StreamConnection connection, Consumer<ByteBuffer> frameHandler) {
        ByteBuffer buffer = ByteBuffer.allocate(2 * PeerCodec.MAX_FRAME_BYTES);
        connection.getSourceChannel().setReadListener(channel -> {
            try {
                int bytesRead;
                while ((bytesRead = channel.read(buffer)) > 0) {
                    buffer.flip();
                    ByteBuffer frame;
                    while ((frame = PeerCodec.nextFrame(buffer)) != null) {
                        frameHandler.accept(frame);
                    }
                    buffer.compact();
                }
                if (bytesRead < 0) {
                    IoUtils.safeClose(connection);
                }
            } catch (IOException | RuntimeException e) {
                LOG.debug("closing a peer connection: {}", e.toString());
                IoUtils.safeClose(connection);
            }
        });
        connection.getSourceChannel().resumeReads();
    }

    private static boolean writeFrame(StreamConnection connection, ByteBuffer frame) {
        try {
            while (frame.hasRemaining()) {
                if (connection.getSinkChannel().write(frame) == 0) {
                    IoUtils.safeClose(connection); // the peer does not read, so nothing waits for it
                    return false;
                }
            }
            connection.getSinkChannel().flush();
            return true;
        } catch (IOException e) {
            IoUtils.safeClose(connection);
            return false;
        }
    }

    /** Requests the status of every peer; must be called about once a second. */
    public void requestStatus() {
        for (PeerLink link : links) {
            link.connectOrRequest();
        }
    }

    /** The connection to one peer. */
    private final class PeerLink {
        final String label;
        final InetSocketAddress address;
        StreamConnection connection;
        IoFuture<StreamConnection> pendingConnection;
        /** Monotonic time at which the last connection attempt or request started. */
        double startedS;
        /** ID of the request in flight; 0 if there is none. */
        long awaitedRequestId;
        /**
         * Number of refused connections in a row; after more than {@link Constants#PEER_ENDED_REFUSALS}, the next attempt
         * waits for the next {@link #requestStatus}.
         */
        int consecutiveRefusals;

        PeerLink(String label, InetSocketAddress address) {
            this.label = label;
            this.address = address;
        }

        void close() {
            StreamConnection openConnection = connection;
            connection = null;
            IoUtils.safeClose(openConnection);
            if (pendingConnection != null) {
                pendingConnection.cancel();
            }
            pendingConnection = null;
            awaitedRequestId = 0;
        }

        void connectOrRequest() {
            double nowS = clockS.getAsDouble();
            if ((awaitedRequestId != 0 || pendingConnection != null)
                    && nowS - startedS > Constants.PEER_TIMEOUT_MS / 1000.0) {
                close();
            }
            if (awaitedRequestId != 0 || pendingConnection != null) {
                return;
            }
            if (connection == null || !connection.isOpen()) {
                startedS = nowS;
                IoFuture<StreamConnection> connecting = ioThread.openStreamConnection(
                        address,
                        newConnection -> {
                            if (pendingConnection == null) {
                                IoUtils.safeClose(newConnection);
                                return;
                            }
                            pendingConnection = null;
                            connection = newConnection;
                            consecutiveRefusals = 0;
                            newConnection.setCloseListener(x -> handleClosedConnection(newConnection));
                            readFrames(newConnection, this::handleFrame);
                            sendRequest();
                        },
                        OptionMap.EMPTY);
                pendingConnection = connecting;
                connecting.addNotifier(
                        (future, attachment) -> {
                            if (future.getStatus() == IoFuture.Status.DONE || pendingConnection != future) {
                                return;
                            }
                            pendingConnection = null;
                            if (future.getStatus() == IoFuture.Status.FAILED
                                    && future.getException() instanceof ConnectException) {
                                handleRefusedConnection();
                            }
                        },
                        null);
                return;
            }
            sendRequest();
        }

        /** Reconnects at once: if the peer's process has ended, the connection is refused, which shows that without delay. */
        void handleClosedConnection(StreamConnection closedConnection) {
            if (connection != closedConnection) {
                return;
            }
            connection = null;
            awaitedRequestId = 0;
            if (!closed) {
                ioThread.execute(this::connectOrRequest);
            }
        }

        void handleRefusedConnection() {
            refusalListener.accept(label);
            if (closed || ++consecutiveRefusals > Constants.PEER_ENDED_REFUSALS) {
                return;
            }
            // Responses of the other peers distinguish an ended process from a network filter.
            for (PeerLink link : links) {
                if (link != this) {
                    link.connectOrRequest();
                }
            }
            ioThread.executeAfter(this::connectOrRequest, Constants.PEER_REFUSED_RETRY_MS, TimeUnit.MILLISECONDS);
        }

        void sendRequest() {
            startedS = clockS.getAsDouble();
            awaitedRequestId = ++lastRequestId;
            if (!writeFrame(connection, PeerCodec.writeRequest(lastRequestId))) {
                close();
            }
        }

        void handleFrame(ByteBuffer payload) {
            PeerCodec.StatusResponse response = PeerCodec.readResponse(payload);
            if (response.requestId() != awaitedRequestId) {
                return;
            }
            awaitedRequestId = 0;
            // A response that waited in the socket during a process pause is out of date.
            if (clockS.getAsDouble() - startedS > Constants.PEER_TIMEOUT_MS / 1000.0) {
                return;
            }
            responseListener.accept(label, new TimedResponse(startedS, response));
        }
    }
}
