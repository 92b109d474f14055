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
 * Connections to the other controllers: one a peer, one question in flight, asked once a second. A peer that does not
 * answer in time loses its connection, so a silent one costs a socket and nothing else.
 */
public final class PeerConnections {
    private static final Logger LOG = LoggerFactory.getLogger(PeerConnections.class);

    private final XnioWorker worker;
    private final XnioIoThread io;
    private final DoubleSupplier clockS;
    private final LongFunction<PeerCodec.StatusResponse> self;
    private final BiConsumer<String, TimedResponse> heard;
    private final Consumer<String> refused;
    private final List<Link> links = new ArrayList<>();
    private final Set<StreamConnection> accepted = new HashSet<>();
    private AcceptingChannel<StreamConnection> server;
    private long serial;
    private boolean closed;

    /** An answer and when its question was sent. */
    public record TimedResponse(double requestedS, PeerCodec.StatusResponse response) {}

    /** Connects to the other controllers, given by label and address. */
    public PeerConnections(
            XnioWorker worker,
            XnioIoThread io,
            DoubleSupplier clockS,
            Map<String, String> others,
            LongFunction<PeerCodec.StatusResponse> self,
            BiConsumer<String, TimedResponse> heard,
            Consumer<String> refused) {
        this.worker = worker;
        this.io = io;
        this.clockS = clockS;
        this.self = self;
        this.heard = heard;
        this.refused = refused;
        others.forEach((label, address) -> links.add(new Link(label, socket(address))));
    }

    private static InetSocketAddress socket(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /** Begins to answer the questions of the other controllers. */
    public void listen(String address) throws IOException {
        server = worker.createStreamConnectionServer(
                socket(address),
                ch -> {
                    try {
                        StreamConnection c;
                        while ((c = ch.accept()) != null) {
                            serve(c);
                        }
                    } catch (IOException e) {
                        LOG.debug("accepting a peer: {}", e.toString());
                    }
                },
                OptionMap.EMPTY);
        server.resumeAccepts();
    }

    /** Closes all connections and stops listening. */
    public void close() {
        closed = true;
        IoUtils.safeClose(server);
        for (Link l : links) {
            l.close();
        }
        List.copyOf(accepted).forEach(IoUtils::safeClose); // each leaves the list as it closes
    }

    private void serve(StreamConnection c) {
        // Each of the others has one connection, and perhaps a dead one not yet noticed.
        if (accepted.size() >= Constants.MAX_ACCEPTED_PER_PEER * Math.max(1, links.size())) {
            StreamConnection oldest = accepted.iterator().next();
            accepted.remove(oldest);
            IoUtils.safeClose(oldest);
        }
        accepted.add(c);
        c.setCloseListener(x -> accepted.remove(c));
        reading(c, f -> write(c, PeerCodec.writeResponse(self.apply(f.getLong()))));
    }

    private static void reading(StreamConnection c, Consumer<ByteBuffer> frames) {
        ByteBuffer in = ByteBuffer.allocate(2 * PeerCodec.FRAME_MAX_BYTES);
        c.getSourceChannel().setReadListener(ch -> {
            try {
                int n;
                while ((n = ch.read(in)) > 0) {
                    in.flip();
                    ByteBuffer f;
                    while ((f = PeerCodec.nextFrame(in)) != null) {
                        frames.accept(f);
                    }
                    in.compact();
                }
                if (n < 0) {
                    IoUtils.safeClose(c);
                }
            } catch (IOException | RuntimeException e) {
                LOG.debug("peer connection: {}", e.toString());
                IoUtils.safeClose(c);
            }
        });
        c.getSourceChannel().resumeReads();
    }

    private static boolean write(StreamConnection c, ByteBuffer b) {
        try {
            while (b.hasRemaining()) {
                if (c.getSinkChannel().write(b) == 0) {
                    IoUtils.safeClose(c); // it does not read: not worth waiting for
                    return false;
                }
            }
            c.getSinkChannel().flush();
            return true;
        } catch (IOException e) {
            IoUtils.safeClose(c);
            return false;
        }
    }

    /** Asks every peer; to be called about once a second. */
    public void requestStatus() {
        for (Link l : links) {
            l.ask();
        }
    }

    private final class Link {
        final String label;
        final InetSocketAddress address;
        StreamConnection connection;
        IoFuture<StreamConnection> opening;
        double sinceS;
        long waitingFor;
        /** Refusals in a row, to ask again soon after the first ones only. */
        int refusals;

        Link(String label, InetSocketAddress address) {
            this.label = label;
            this.address = address;
        }

        void close() {
            StreamConnection c = connection;
            connection = null;
            IoUtils.safeClose(c);
            if (opening != null) {
                opening.cancel();
            }
            opening = null;
            waitingFor = 0;
        }

        void ask() {
            double now = clockS.getAsDouble();
            if ((waitingFor != 0 || opening != null) && now - sinceS > Constants.PEER_TIMEOUT_MS / 1000.0) {
                close();
            }
            if (waitingFor != 0 || opening != null) {
                return;
            }
            if (connection == null || !connection.isOpen()) {
                sinceS = now;
                IoFuture<StreamConnection> f = io.openStreamConnection(
                        address,
                        c -> {
                            if (opening == null) {
                                IoUtils.safeClose(c);
                                return;
                            }
                            opening = null;
                            connection = c;
                            refusals = 0;
                            c.setCloseListener(x -> lost(c));
                            reading(c, this::frame);
                            send();
                        },
                        OptionMap.EMPTY);
                opening = f;
                f.addNotifier(
                        (x, o) -> {
                            if (x.getStatus() == IoFuture.Status.DONE || opening != x) {
                                return;
                            }
                            opening = null;
                            if (x.getStatus() == IoFuture.Status.FAILED
                                    && x.getException() instanceof ConnectException) {
                                refused();
                            }
                        },
                        null);
                return;
            }
            send();
        }

        /** It closed the connection, perhaps because it has ended; a refusal would say so at once. */
        void lost(StreamConnection c) {
            if (connection != c) {
                return;
            }
            connection = null;
            waitingFor = 0;
            if (!closed) {
                io.execute(this::ask);
            }
        }

        void refused() {
            refused.accept(label);
            if (closed || ++refusals > Constants.PEER_ENDED_REFUSALS) {
                return;
            }
            // What the others say now tells an ended process from a filter.
            for (Link l : links) {
                if (l != this) {
                    l.ask();
                }
            }
            io.executeAfter(this::ask, Constants.PEER_REFUSED_RETRY_MS, TimeUnit.MILLISECONDS);
        }

        void send() {
            sinceS = clockS.getAsDouble();
            waitingFor = ++serial;
            if (!write(connection, PeerCodec.writeRequest(serial))) {
                close();
            }
        }

        void frame(ByteBuffer f) {
            PeerCodec.StatusResponse a = PeerCodec.readResponse(f);
            if (a.requestId() != waitingFor) {
                return;
            }
            waitingFor = 0;
            // What waited in the socket while we stood still tells nothing of now.
            if (clockS.getAsDouble() - sinceS > Constants.PEER_TIMEOUT_MS / 1000.0) {
                return;
            }
            heard.accept(label, new TimedResponse(sinceS, a));
        }
    }
}
