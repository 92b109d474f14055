package org.mountlug.wire;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.http.HttpClientProvider;
import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.URI;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * HTTP client for one address with a connection pool, used on the I/O thread only. Every call has a time limit after which
 * its connection is closed, because a server behind a network partition stays silent without an error. The numbers of
 * connections and of waiting calls are bounded.
 */
public final class PooledHttpClient implements HttpTransport {
    /**
     * The result of a call.
     *
     * @param status HTTP status, or 0 without a (readable) response
     * @param body the decoded body; empty without one
     * @param requestSent false if the request was certainly not sent; if true and the status is 0, it may have been executed
     *     or may still be executed
     */
    public record Response(int status, Map<String, Object> body, boolean requestSent) {
        /** Whether there was no (readable) response. */
        public boolean isMissing() {
            return status == 0;
        }
    }

    private static final Response NO_RESPONSE = new Response(0, Map.of(), true);
    private static final Response NOT_SENT = new Response(0, Map.of(), false);

    private final HttpClientProvider clientProvider = new HttpClientProvider();
    private final XnioIoThread ioThread;
    private final ByteBufferPool bufferPool;
    private final URI uri;
    private final String hostHeader;
    private final int maxConnections;
    private final boolean keepConnections;
    private final ArrayDeque<ClientConnection> idleConnections = new ArrayDeque<>();
    private final ArrayDeque<Call> waitingCalls = new ArrayDeque<>();
    /** Number of connections that are open or being opened. */
    private int openConnections;

    /** Creates a client whose connections, at most {@code maxConnections}, are kept open between calls. */
    public PooledHttpClient(XnioIoThread ioThread, ByteBufferPool bufferPool, String address, int maxConnections) {
        this(ioThread, bufferPool, address, maxConnections, true);
    }

    /**
     * Creates a client with at most {@code maxConnections} connections.
     *
     * @param keepConnections whether connections are kept open for later calls; false for workers, as hundreds of them would
     *     need too many connections
     */
    public PooledHttpClient(
            XnioIoThread ioThread,
            ByteBufferPool bufferPool,
            String address,
            int maxConnections,
            boolean keepConnections) {
        this.keepConnections = keepConnections;
        this.ioThread = ioThread;
        this.bufferPool = bufferPool;
        this.uri = URI.create("http://" + address);
        this.hostHeader = address;
        this.maxConnections = maxConnections;
    }

    /** Must be called on the I/O thread, on which {@code onResponse} runs as well. */
    @Override
    public void call(
            HttpString method, String path, Map<String, Object> body, int timeoutMs, Consumer<Response> onResponse) {
        Call call = new Call(method, path, body == null ? null : Cbor.write(body), timeoutMs, onResponse);
        call.timer = ioThread.executeAfter(call::timeout, timeoutMs, TimeUnit.MILLISECONDS);
        start(call);
    }

    private void start(Call call) {
        ClientConnection idleConnection;
        while ((idleConnection = idleConnections.pollLast()) != null) {
            if (idleConnection.isOpen()) {
                call.send(idleConnection);
                return;
            }
            openConnections--;
        }
        if (openConnections >= maxConnections) {
            if (waitingCalls.size() < 4 * maxConnections) {
                waitingCalls.add(call);
            } else {
                call.finish(NOT_SENT);
            }
            return;
        }
        openConnections++;
        call.connecting = true;
        clientProvider.connect(
                new ClientCallback<>() {
                    @Override
                    public void completed(ClientConnection connection) {
                        if (call.finished) {
                            release(connection, true);
                        } else {
                            call.connecting = false;
                            call.send(connection);
                        }
                    }

                    @Override
                    public void failed(IOException e) {
                        openConnections--;
                        call.finish(NOT_SENT);
                        startNextWaitingCall();
                    }
                },
                uri,
                ioThread,
                null,
                bufferPool,
                OptionMap.EMPTY);
    }

    private void release(ClientConnection connection, boolean reusable) {
        if (reusable && keepConnections && connection.isOpen()) {
            idleConnections.addLast(connection);
        } else {
            IoUtils.safeClose(connection);
            openConnections--;
        }
        startNextWaitingCall();
    }

    private void startNextWaitingCall() {
        while (!waitingCalls.isEmpty() && (openConnections < maxConnections || !idleConnections.isEmpty())) {
            Call call = waitingCalls.poll();
            if (!call.finished) {
                start(call);
                return;
            }
        }
    }

    /** One request and its response. */
    private final class Call {
        final HttpString method;
        final String path;
        final byte[] body;
        final Consumer<Response> onResponse;
        /** Value of {@link System#nanoTime()} after which a response is too old to be used; the timer may fire later. */
        final long deadlineNs;

        XnioExecutor.Key timer;
        ClientConnection connection;
        boolean connecting;
        boolean finished;
        ByteArrayOutputStream responseBytes;

        Call(HttpString method, String path, byte[] body, int timeoutMs, Consumer<Response> onResponse) {
            this.deadlineNs = System.nanoTime() + timeoutMs * 1_000_000L;
            this.method = method;
            this.path = path;
            this.body = body;
            this.onResponse = onResponse;
        }

        void timeout() {
            if (finished) {
                return;
            }
            ClientConnection usedConnection = connection;
            connection = null;
            boolean sent = usedConnection != null;
            if (usedConnection != null) {
                release(usedConnection, false);
            }
            finish(sent ? NO_RESPONSE : NOT_SENT);
        }

        void finish(Response response) {
            if (finished) {
                return;
            }
            finished = true;
            if (timer != null) {
                timer.remove();
            }
            onResponse.accept(response);
        }

        void failConnection() {
            ClientConnection failedConnection = connection;
            connection = null;
            if (failedConnection != null) {
                release(failedConnection, false);
            }
            finish(NO_RESPONSE);
        }

        void send(ClientConnection openConnection) {
            connection = openConnection;
            ClientRequest request = new ClientRequest().setMethod(method).setPath(path);
            request.getRequestHeaders().put(Headers.HOST, hostHeader);
            if (body != null) {
                request.getRequestHeaders().put(Headers.CONTENT_LENGTH, Integer.toString(body.length));
                request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/cbor");
            }
            openConnection.sendRequest(request, new ClientCallback<>() {
                @Override
                public void completed(ClientExchange exchange) {
                    exchange.setResponseListener(new ClientCallback<>() {
                        @Override
                        public void completed(ClientExchange answeredExchange) {
                            startReading(answeredExchange);
                        }

                        @Override
                        public void failed(IOException e) {
                            failConnection();
                        }
                    });
                    if (body != null) {
                        startWriting(exchange.getRequestChannel());
                    }
                }

                @Override
                public void failed(IOException e) {
                    failConnection();
                }
            });
        }

        void startWriting(StreamSinkChannel requestChannel) {
            ByteBuffer buffer = ByteBuffer.wrap(body);
            requestChannel.getWriteSetter().set(c -> continueWriting(c, buffer));
            continueWriting(requestChannel, buffer);
        }

        void continueWriting(StreamSinkChannel requestChannel, ByteBuffer buffer) {
            try {
                while (buffer.hasRemaining()) {
                    if (requestChannel.write(buffer) == 0) {
                        requestChannel.resumeWrites();
                        return;
                    }
                }
                requestChannel.shutdownWrites();
                if (!requestChannel.flush()) {
                    requestChannel
                            .getWriteSetter()
                            .set(ChannelListeners.flushingChannelListener(null, (c, e) -> failConnection()));
                    requestChannel.resumeWrites();
                } else {
                    requestChannel.suspendWrites();
                }
            } catch (IOException e) {
                failConnection();
            }
        }

        void startReading(ClientExchange exchange) {
            responseBytes = new ByteArrayOutputStream(512);
            StreamSourceChannel responseChannel = exchange.getResponseChannel();
            responseChannel.getReadSetter().set(c -> continueReading(exchange, c));
            continueReading(exchange, responseChannel);
        }

        void continueReading(ClientExchange exchange, StreamSourceChannel responseChannel) {
            if (connection == null) {
                return;
            }
            try (PooledByteBuffer pooledBuffer = bufferPool.allocate()) {
                ByteBuffer buffer = pooledBuffer.getBuffer();
                while (true) {
                    buffer.clear();
                    int bytesRead = responseChannel.read(buffer);
                    if (bytesRead == 0) {
                        responseChannel.resumeReads();
                        return;
                    }
                    if (bytesRead < 0) {
                        break;
                    }
                    buffer.flip();
                    byte[] bytes = new byte[buffer.remaining()];
                    buffer.get(bytes);
                    responseBytes.write(bytes, 0, bytes.length);
                }
            } catch (IOException e) {
                failConnection();
                return;
            }
            if (System.nanoTime() - deadlineNs > 0) {
                failConnection(); // the response waited in the socket during a process pause and is out of date
                return;
            }
            int status = exchange.getResponse().getResponseCode();
            Map<String, Object> body = Map.of();
            byte[] encodedBody = responseBytes.toByteArray();
            if (encodedBody.length > 0) {
                try {
                    body = Fields.asMap(Cbor.read(encodedBody));
                } catch (IOException e) {
                    if (status == 200) {
                        status = 0; // an unreadable response does not show whether the request was executed
                    }
                }
            }
            ClientConnection usedConnection = connection;
            connection = null;
            boolean reusable = usedConnection.isOpen()
                    && !"close"
                            .equalsIgnoreCase(
                                    exchange.getResponse().getResponseHeaders().getFirst(Headers.CONNECTION));
            // The connection is free only after Undertow has finished the exchange, after this callback has returned.
            ioThread.execute(() -> release(usedConnection, reusable));
            finish(new Response(status, body, true));
        }
    }
}
